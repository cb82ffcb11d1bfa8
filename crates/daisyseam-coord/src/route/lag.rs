//! How far replicas are behind, in time on this instance's clock.

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

/// Most moments kept of one group's history.
const WRITTEN_MAX: usize = 128;

/// Least time between two kept moments.
const WRITTEN_SPACING: Duration = Duration::from_millis(10);

/// Part of the latest measurement in the moving average, as a divisor.
const AVERAGE_DIVISOR: u32 = 4;

/// When a group's history had reached which position, and when its replicas did.
#[derive(Debug, Default)]
pub(super) struct GroupHistory {
    /// Moments at which positions were first known to be written; both rise.
    written: VecDeque<(Moment, LogPosition)>,
    replicas: BTreeMap<UpstreamId, ReplicaObservation>,
}

impl GroupHistory {
    pub(super) fn written(&mut self, now: Moment, at: LogPosition) {
        if let Some((since, newest)) = self.written.back_mut() {
            if at <= *newest {
                return;
            }
            if now.since(*since) < WRITTEN_SPACING {
                // The earlier moment stands for both, so that no replica seems nearer than it is.
                *newest = at;
                return;
            }
        }
        if self.written.len() == WRITTEN_MAX {
            self.written.pop_front();
        }
        self.written.push_back((now, at));
    }

    pub(super) fn replayed(&mut self, now: Moment, upstream: &UpstreamId, at: LogPosition) {
        let first_missing = self.written.partition_point(|(_, written)| *written <= at);
        let missing_since = self.written.get(first_missing).map(|(since, _)| *since);
        let newest = self.written.back().map(|(since, _)| *since);
        let observation = self.replicas.entry(upstream.clone()).or_default();
        observation.at = observation.at.max(at);
        match (missing_since, newest) {
            (Some(since), _) => observation.measured(now.since(since)),
            // It has all that is known, so it is at most as far behind as that is old.
            (None, Some(newest)) => observation.at_most(now.since(newest)),
            (None, None) => {}
        }
    }

    pub(super) fn retain(&mut self, keep: impl Fn(&UpstreamId) -> bool) {
        self.replicas.retain(|upstream, _| keep(upstream));
    }

    pub(super) fn lag(&self, upstream: &UpstreamId) -> Option<Duration> {
        self.replicas.get(upstream)?.lag
    }

    pub(super) fn catch_up(
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
        // A floor that was never seen here counts as written now.
        let since = self.written.get(index).map_or(now, |(since, _)| *since);
        Some(observation.lag?.saturating_sub(now.since(since)))
    }
}

/// What is known of one replica.
#[derive(Debug, Default)]
struct ReplicaObservation {
    at: LogPosition,
    lag: Option<Duration>,
}

impl ReplicaObservation {
    fn measured(&mut self, lag: Duration) {
        self.lag = Some(self.lag.map_or(lag, |former| {
            (former * (AVERAGE_DIVISOR - 1) + lag) / AVERAGE_DIVISOR
        }));
    }

    fn at_most(&mut self, lag: Duration) {
        self.lag = self.lag.map(|former| former.min(lag));
    }
}
