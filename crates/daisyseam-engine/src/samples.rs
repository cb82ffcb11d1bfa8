//! Log positions reported by primaries, which determine the floors of bounded reads.

use daisyseam_model::{
    GroupId,
    LogPosition,
    Term,
    UpstreamId, //
};
use parking_lot::Mutex;
use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration, //
};
use tokio::time::Instant;

/// Minimum time between two samples.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of samples per group.
const MAX_SAMPLES: usize = 512;

/// Safety margin subtracted from the staleness bound.
const STALENESS_MARGIN: Duration = Duration::from_millis(50);

/// Samples of primaries' positions, by group.
///
/// A sample states that all commits acknowledged before its time lie at or below its position.
#[derive(Debug, Default)]
pub(crate) struct PositionSamples {
    groups: Mutex<HashMap<GroupId, GroupSamples>>,
}

#[derive(Debug, Default)]
struct GroupSamples {
    /// Sorted by time; positions never decrease.
    samples: VecDeque<(Instant, LogPosition)>,
    highest: Option<LogPosition>,
    /// The database that reported last.
    primary: Option<UpstreamId>,
}

impl PositionSamples {
    /// Records the position that a primary reported in reply to a call sent at `sent_at`.
    ///
    /// The caller must have checked that no other database could be primary when the reply came.
    pub(crate) fn record(
        &self,
        group: &GroupId,
        primary: &UpstreamId,
        sent_at: Instant,
        position: LogPosition,
    ) {
        let mut groups = self.groups.lock();
        let samples = match groups.get_mut(group) {
            Some(samples) => samples,
            None => groups.entry(group.clone()).or_default(),
        };
        if samples.primary.as_ref() != Some(primary) {
            samples.primary = Some(primary.clone());
        }
        samples.record(sent_at, position);
    }

    /// Returns the highest position that was reported in a group, if a database was its last known
    /// primary.
    pub(crate) fn highest_of(&self, group: &GroupId, primary: &UpstreamId) -> Option<LogPosition> {
        let groups = self.groups.lock();
        let samples = groups.get(group)?;
        let is_primary = samples.primary.as_ref() == Some(primary);
        samples.highest.filter(|_| is_primary)
    }

    /// Returns the highest position that the primary of a term has reported. Its log keeps that
    /// position unless another process has taken its place.
    pub(crate) fn highest(&self, group: &GroupId, term: Term) -> Option<LogPosition> {
        let groups = self.groups.lock();
        let highest = groups.get(group)?.highest;
        highest.filter(|highest| highest.term == term)
    }

    /// Returns the lowest sampled position that includes all commits acknowledged more than `bound`
    /// before `start`, or `None` if no sample is recent enough.
    pub(crate) fn floor(
        &self,
        group: &GroupId,
        start: Instant,
        bound: Duration,
    ) -> Option<LogPosition> {
        let window = bound.saturating_sub(STALENESS_MARGIN);
        let groups = self.groups.lock();
        let samples = &groups.get(group)?.samples;
        let first = samples.partition_point(|(sent_at, _)| *sent_at + window < start);
        samples.get(first).map(|(_, position)| *position)
    }

    /// Removes groups that are no longer in the view.
    pub(crate) fn retain(&self, keep: impl Fn(&GroupId) -> bool) {
        self.groups.lock().retain(|group, _| keep(group));
    }
}

impl GroupSamples {
    fn record(&mut self, sent_at: Instant, position: LogPosition) {
        self.highest = self.highest.max(Some(position));
        if let Some((latest, highest)) = self.samples.back() {
            // A sample that arrives out of order or too soon adds nothing.
            if sent_at < *latest + MIN_SAMPLE_INTERVAL || position < *highest {
                return;
            }
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((sent_at, position));
    }
}
