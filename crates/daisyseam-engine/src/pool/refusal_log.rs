//! Limits the log lines about requests refused at contended databases.

#[cfg(test)]
mod tests;

use daisyseam_model::UpstreamId;
use std::{
    collections::HashMap,
    time::Duration, //
};
use tokio::time::Instant;

/// Time for which the refusals at one database are summed up before they are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Refusals at each database that have not been logged.
#[derive(Debug, Default)]
pub(super) struct RefusalLog {
    sums: HashMap<UpstreamId, RefusalSum>,
}

/// The refusals at a database since `since`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct RefusalSum {
    since: Instant,
    /// All refusals.
    pub(super) refused: u64,
    /// Those of the most urgent requests.
    pub(super) most_urgent: u64,
}

impl RefusalLog {
    /// Counts a refusal at `now`; returns the sum to log if a line is due. The first refusal after
    /// a quiet time is logged at once.
    pub(super) fn record(
        &mut self,
        upstream: &UpstreamId,
        is_most_urgent: bool,
        now: Instant,
    ) -> Option<RefusalSum> {
        let is_known = self.sums.contains_key(upstream);
        if !is_known {
            self.sums.insert(upstream.clone(), RefusalSum::empty(now));
        }
        let sum = self.sums.get_mut(upstream)?;
        sum.refused += 1;
        sum.most_urgent += u64::from(is_most_urgent);
        if is_known && now < sum.since + LOG_INTERVAL {
            return None;
        }
        Some(std::mem::replace(sum, RefusalSum::empty(now)))
    }

    /// Forgets the databases that are no longer known.
    pub(super) fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.sums.retain(|upstream, _| is_known(upstream));
    }
}

impl RefusalSum {
    fn empty(since: Instant) -> Self {
        Self {
            since,
            refused: 0,
            most_urgent: 0,
        }
    }
}
