//! Number of statements that a database is given at the same time.

#[cfg(test)]
mod tests;

use std::time::Duration;
use tokio::time::Instant;

/// Limit at the start and bounds of the limit.
const INITIAL_LIMIT: usize = 8;
const MIN_LIMIT: usize = 2;
const MAX_LIMIT: usize = 64;

/// Shortest time between two reductions: refusals that follow each other have one cause.
const REDUCTION_INTERVAL: Duration = Duration::from_millis(100);

/// Number of statements for each unit of the limit that must complete before it rises.
const RUNS_PER_RISE: usize = 8;

/// Weight of a new service time in the average, as a divisor.
const SERVICE_WEIGHT: u32 = 8;

/// Follows what a database is seen to carry: the limit is reduced when the database refuses work
/// because its slots and queue are full, and rises while work waits and none is refused.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunLimit {
    limit: usize,
    /// Number of statements completed while others waited since the last change.
    completed: usize,
    reduced_at: Option<Instant>,
    service_time: Option<Duration>,
    /// Average time for which a connection is used, which includes idle times in transactions.
    use_time: Option<Duration>,
}

impl RunLimit {
    pub(super) fn new() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            completed: 0,
            reduced_at: None,
            service_time: None,
            use_time: None,
        }
    }

    /// Returns the limit.
    pub(super) fn limit(&self) -> usize {
        self.limit
    }

    /// Records a refusal for overload at `now`.
    pub(super) fn record_refusal(&mut self, now: Instant) {
        let is_recent = self
            .reduced_at
            .is_some_and(|reduced_at| now < reduced_at + REDUCTION_INTERVAL);
        if !is_recent {
            self.limit = (self.limit * 3 / 4).max(MIN_LIMIT);
            self.reduced_at = Some(now);
            self.completed = 0;
        }
    }

    /// Records the end of a run, the time that it took, and whether others waited.
    pub(super) fn record_run(&mut self, took: Duration, waiting: bool) {
        self.service_time = Some(averaged(self.service_time, took));
        if !waiting {
            return;
        }
        self.completed += 1;
        if self.completed >= self.limit * RUNS_PER_RISE {
            self.limit = (self.limit + 1).min(MAX_LIMIT);
            self.completed = 0;
        }
    }

    /// Records the time for which a connection was used.
    pub(super) fn record_use(&mut self, took: Duration) {
        self.use_time = Some(averaged(self.use_time, took));
    }

    /// Returns the mean time between two requests that get a connection if there are
    /// `connections`; zero if unknown.
    pub(super) fn interval(&self, connections: usize) -> Duration {
        let divisor = |count: usize| u32::try_from(count.max(1)).unwrap_or(u32::MAX);
        let between_statements = self.service_time() / divisor(self.limit.min(connections));
        let between_uses = self.use_time.unwrap_or_default() / divisor(connections);
        between_statements.max(between_uses)
    }

    /// Returns the average service time, zero if unknown.
    pub(super) fn service_time(&self) -> Duration {
        self.service_time.unwrap_or_default()
    }

    /// Returns how long a request waits if `ahead` others are served before it.
    pub(super) fn expected_wait(&self, ahead: usize) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let limit = u32::try_from(self.limit).unwrap_or(u32::MAX);
        let service_time = self.service_time.unwrap_or_default();
        service_time.saturating_mul(ahead) / limit
    }
}

fn averaged(average: Option<Duration>, took: Duration) -> Duration {
    average.map_or(took, |average| {
        average - average / SERVICE_WEIGHT + took / SERVICE_WEIGHT
    })
}
