//! Samples of the positions of primaries over time.

use daisyseam_model::{
    GroupId,
    LogPosition, //
};
use parking_lot::Mutex;
use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration, //
};
use tokio::time::Instant;

/// Largest number of samples kept per group.
const SAMPLES_MAX: usize = 256;

/// Shortest time between two kept samples of a group.
const SAMPLE_INTERVAL_MIN: Duration = Duration::from_millis(20);

/// Positions of primaries, with the times on this instance's clock at which they were requested.
///
/// A position read after a given time includes everything acknowledged before that time, so a
/// database that has reached it is no older than that, regardless of the clocks of other machines.
#[derive(Debug, Default)]
pub(super) struct PrimarySamples {
    samples: Mutex<BTreeMap<GroupId, VecDeque<(Instant, LogPosition)>>>,
}

impl PrimarySamples {
    /// Adds a position that was read after the given time.
    pub(super) fn add(&self, group: &GroupId, requested_at: Instant, at: LogPosition) {
        let mut samples = self.samples.lock();
        let samples = samples.entry(group.clone()).or_default();
        if samples
            .back()
            .is_some_and(|(newest, _)| requested_at < *newest + SAMPLE_INTERVAL_MIN)
        {
            return;
        }
        if samples.len() == SAMPLES_MAX {
            samples.pop_front();
        }
        samples.push_back((requested_at, at));
    }

    /// Returns the lowest position that proves that data is no older than `age`.
    pub(super) fn position_for_age(&self, group: &GroupId, age: Duration) -> Option<LogPosition> {
        let oldest = Instant::now().checked_sub(age)?;
        let samples = self.samples.lock();
        let mut recent = samples
            .get(group)?
            .iter()
            .filter(|(requested_at, _)| *requested_at >= oldest);
        recent.next().map(|(_, at)| *at)
    }

    /// Returns whether the newest sample is at least as old as `after`.
    pub(super) fn is_due(&self, group: &GroupId, after: Duration) -> bool {
        let samples = self.samples.lock();
        let newest = samples.get(group).and_then(VecDeque::back);
        newest.is_none_or(|(requested_at, _)| requested_at.elapsed() >= after)
    }
}
