//! Limits the log lines about commits that were not confirmed.

use daisyseam_model::GroupId;
use parking_lot::Mutex;
use std::{
    collections::HashMap,
    time::Duration, //
};
use tokio::time::Instant;

/// Time for which commits are counted before they are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Commits of each group that were not confirmed.
#[derive(Debug, Default)]
pub(crate) struct UnconfirmedLog {
    /// Commits that have not been logged, and since when they are counted.
    counts: Mutex<HashMap<GroupId, (u64, Instant)>>,
}

impl UnconfirmedLog {
    /// Counts a commit; returns the number to log if a line is due. The first one after a quiet time
    /// is logged at once.
    pub(super) fn record(&self, group: &GroupId, now: Instant) -> Option<u64> {
        let mut counts = self.counts.lock();
        let Some((count, since)) = counts.get_mut(group) else {
            counts.insert(group.clone(), (0, now));
            return Some(1);
        };
        *count += 1;
        if now < *since + LOG_INTERVAL {
            return None;
        }
        *since = now;
        Some(std::mem::take(count))
    }

    /// Forgets the groups that are no longer in the view.
    pub(crate) fn retain(&self, is_known: impl Fn(&GroupId) -> bool) {
        self.counts.lock().retain(|group, _| is_known(group));
    }
}
