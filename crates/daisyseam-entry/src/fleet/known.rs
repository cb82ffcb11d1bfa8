//! What this instance has learned of the positions of primaries over time.

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

/// Most samples kept of one primary.
const SAMPLES_MAX: usize = 256;

/// Shortest time between two kept samples of one primary.
const SAMPLE_SPACING: Duration = Duration::from_millis(20);

/// Where primaries were at moments of this instance's clock.
///
/// A position that was read after a moment holds everything acknowledged before it, so a database
/// that has reached it is no older than that moment, whatever other clocks say.
#[derive(Debug, Default)]
pub(super) struct PrimarySamples {
    samples: Mutex<BTreeMap<GroupId, VecDeque<(Instant, LogPosition)>>>,
}

impl PrimarySamples {
    /// Takes a position in that was read after a moment.
    pub(super) fn add(&self, group: &GroupId, asked: Instant, at: LogPosition) {
        let mut samples = self.samples.lock();
        let samples = samples.entry(group.clone()).or_default();
        if samples
            .back()
            .is_some_and(|(newest, _)| asked < *newest + SAMPLE_SPACING)
        {
            return;
        }
        if samples.len() == SAMPLES_MAX {
            samples.pop_front();
        }
        samples.push_back((asked, at));
    }

    /// Returns the lowest position that proves an age, and when it was read.
    pub(super) fn proves(&self, group: &GroupId, age: Duration) -> Option<LogPosition> {
        let oldest = Instant::now().checked_sub(age)?;
        let samples = self.samples.lock();
        let mut fitting = samples
            .get(group)?
            .iter()
            .filter(|(asked, _)| *asked >= oldest);
        fitting.next().map(|(_, at)| *at)
    }

    /// Returns whether the newest sample is older than a time.
    pub(super) fn is_due(&self, group: &GroupId, after: Duration) -> bool {
        let samples = self.samples.lock();
        let newest = samples.get(group).and_then(VecDeque::back);
        newest.is_none_or(|(asked, _)| asked.elapsed() >= after)
    }
}
