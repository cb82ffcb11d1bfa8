//! Number, waiting time and processing time of the requests that a node handles.

use daisyseam_coord::Moment;
use std::time::Duration;

/// Interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Wait of a request from which on a report is a warning; entries renew leases of a second.
const LONG_WAIT: Duration = Duration::from_millis(250);

/// Sums over the requests since the last report.
#[derive(Debug, Default)]
pub(super) struct RequestLoad {
    reported_at: Moment,
    sums: LoadSums,
}

/// Sums over the requests of an interval.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct LoadSums {
    /// Number of requests that were handled.
    pub(super) handled: u64,
    /// Longest time that one of them waited for its turn.
    pub(super) longest_wait: Duration,
    /// Time spent on handling them, without writing and sending.
    pub(super) busy: Duration,
    /// Number of requests that were still waiting at the end.
    pub(super) waiting: usize,
}

impl LoadSums {
    /// Returns whether entries may have lost their leases because their requests waited.
    pub(super) fn is_overloaded(&self) -> bool {
        self.longest_wait >= LONG_WAIT
    }
}

impl RequestLoad {
    /// Records a request that waited for its turn.
    pub(super) fn record_wait(&mut self, wait: Duration) {
        self.sums.handled += 1;
        self.sums.longest_wait = self.sums.longest_wait.max(wait);
    }

    /// Records the time spent on a batch of requests.
    pub(super) fn record_busy(&mut self, busy: Duration) {
        self.sums.busy += busy;
    }

    /// Returns the sums since the last report once per interval.
    pub(super) fn take_due(&mut self, now: Moment, waiting: usize) -> Option<LoadSums> {
        if now.since(self.reported_at) < REPORT_INTERVAL {
            return None;
        }
        self.reported_at = now;
        let sums = std::mem::take(&mut self.sums);
        Some(LoadSums { waiting, ..sums })
    }
}
