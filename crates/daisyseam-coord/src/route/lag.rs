//! Replica lag, measured as time on the local clock.

use crate::Moment;
use daisyseam_model::{
    LogPosition,
    UpstreamId, //
};
use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration, //
};

/// Maximum number of positions kept per group.
const HISTORY_LENGTH_MAX: usize = 128;

/// Minimum time between two kept positions.
const HISTORY_SPACING_MIN: Duration = Duration::from_millis(10);

/// Weight of the latest measurement in the moving average, as a divisor.
const AVERAGE_DIVISOR: u32 = 4;

/// Positions of a group's history over time, and the lag of its replicas.
#[derive(Debug, Default)]
pub(super) struct GroupHistory {
    /// When each position was first known to be written; moments and positions are increasing.
    written: VecDeque<(Moment, LogPosition)>,
    replicas: BTreeMap<UpstreamId, ReplicaObservation>,
}

impl GroupHistory {
    pub(super) fn record_written(&mut self, now: Moment, at: LogPosition) {
        if let Some((since, newest)) = self.written.back_mut() {
            if at <= *newest {
                return;
            }
            if now.since(*since) < HISTORY_SPACING_MIN {
                // Keep the earlier moment for both, so that lag is never underestimated.
                *newest = at;
                return;
            }
        }
        if self.written.len() == HISTORY_LENGTH_MAX {
            self.written.pop_front();
        }
        self.written.push_back((now, at));
    }

    pub(super) fn record_replayed(&mut self, now: Moment, upstream: &UpstreamId, at: LogPosition) {
        let first_missing = self.written.partition_point(|(_, written)| *written <= at);
        let missing_since = self.written.get(first_missing).map(|(since, _)| *since);
        let newest = self.written.back().map(|(since, _)| *since);
        let observation = self.replicas.entry(upstream.clone()).or_default();
        observation.at = observation.at.max(at);
        match (missing_since, newest) {
            (Some(since), _) => observation.add_lag_sample(now.since(since)),
            // The replica has every known position, so its lag is at most the age of the newest.
            (None, Some(newest)) => observation.limit_lag(now.since(newest)),
            (None, None) => {}
        }
    }

    pub(super) fn retain(&mut self, keep: impl Fn(&UpstreamId) -> bool) {
        self.replicas.retain(|upstream, _| keep(upstream));
    }

    pub(super) fn lag(&self, upstream: &UpstreamId) -> Option<Duration> {
        self.replicas.get(upstream)?.lag
    }

    pub(super) fn catch_up_time(
        &self,
        now: Moment,
        upstream: &UpstreamId,
        floor: LogPosition,
    ) -> Option<Duration> {
        let observation = self.replicas.get(upstream)?;
        if observation.at >= floor {
            return Some(Duration::ZERO);
        }
        let index = self
            .written
            .partition_point(|(_, written)| *written < floor);
        // A floor beyond all known positions counts as written now.
        let since = self.written.get(index).map_or(now, |(since, _)| *since);
        Some(observation.lag?.saturating_sub(now.since(since)))
    }
}

/// Last position and lag of a replica.
#[derive(Debug, Default)]
struct ReplicaObservation {
    at: LogPosition,
    lag: Option<Duration>,
}

impl ReplicaObservation {
    fn add_lag_sample(&mut self, lag: Duration) {
        self.lag = Some(self.lag.map_or(lag, |former| {
            (former * (AVERAGE_DIVISOR - 1) + lag) / AVERAGE_DIVISOR
        }));
    }

    fn limit_lag(&mut self, lag: Duration) {
        self.lag = self.lag.map(|former| former.min(lag));
    }
}
