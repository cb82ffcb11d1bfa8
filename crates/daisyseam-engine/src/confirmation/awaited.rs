//! The log positions that commits wait for.

use crate::log_ends::LogEnds;
use daisyseam_model::{
    LogPosition,
    UpstreamId, //
};
use parking_lot::Mutex;
use std::collections::HashMap;
use tokio::time::Instant;

/// The highest position that commits wait for at each database that is being asked for the end of
/// its log.
#[derive(Debug, Default)]
pub(crate) struct AwaitedEnds {
    databases: Mutex<HashMap<UpstreamId, AwaitedEnd>>,
}

#[derive(Clone, Copy, Debug)]
struct AwaitedEnd {
    /// Start time of the process that is asked.
    born_ms: u64,
    position: LogPosition,
    until: Instant,
}

impl AwaitedEnds {
    /// Adds a position to wait for until a deadline; returns whether nobody asks the database yet, so
    /// that the caller has to start it.
    pub(super) fn request(
        &self,
        upstream: &UpstreamId,
        born_ms: u64,
        position: LogPosition,
        until: Instant,
    ) -> bool {
        let mut databases = self.databases.lock();
        let awaited = AwaitedEnd {
            born_ms,
            position,
            until,
        };
        let Some(known) = databases.get_mut(upstream) else {
            databases.insert(upstream.clone(), awaited);
            return true;
        };
        if known.born_ms == born_ms {
            known.position = known.position.max(position);
            known.until = known.until.max(until);
        } else {
            *known = awaited;
        }
        false
    }

    /// Returns the process and the position to ask for; `None`, and nobody asks any more, if no commit
    /// waits for it.
    pub(super) fn next(&self, upstream: &UpstreamId, ends: &LogEnds) -> Option<(u64, LogPosition)> {
        let mut databases = self.databases.lock();
        let awaited = *databases.get(upstream)?;
        let reported = ends.highest(upstream, awaited.born_ms);
        let is_reached = reported.is_some_and(|end| end >= awaited.position);
        if is_reached || awaited.until <= Instant::now() {
            databases.remove(upstream);
            return None;
        }
        Some((awaited.born_ms, awaited.position))
    }
}
