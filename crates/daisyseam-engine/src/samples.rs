//! Log positions reported by primaries, which determine the floors of bounded reads.

use daisyseam_model::{
    GroupId,
    LogPosition,
    Term, //
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
const SPACING: Duration = Duration::from_millis(20);

/// Maximum number of samples per group.
const SAMPLES_MAX: usize = 512;

/// Safety margin subtracted from the staleness bound.
const MARGIN: Duration = Duration::from_millis(50);

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
    told: VecDeque<(Instant, LogPosition)>,
    highest: Option<LogPosition>,
}

impl PositionSamples {
    /// Records the position that a primary reported in reply to a call sent at `asked`.
    ///
    /// The caller must have checked that no other database could be primary when the reply came.
    pub(crate) fn learn(&self, group: &GroupId, asked: Instant, position: LogPosition) {
        let mut groups = self.groups.lock();
        match groups.get_mut(group) {
            Some(samples) => samples.learn(asked, position),
            None => {
                let mut samples = GroupSamples::default();
                samples.learn(asked, position);
                groups.insert(group.clone(), samples);
            }
        }
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
        let window = bound.saturating_sub(MARGIN);
        let groups = self.groups.lock();
        let samples = &groups.get(group)?.told;
        let first = samples.partition_point(|(asked, _)| *asked + window < start);
        samples.get(first).map(|(_, position)| *position)
    }

    /// Removes groups that are no longer in the view.
    pub(crate) fn retain(&self, keep: impl Fn(&GroupId) -> bool) {
        self.groups.lock().retain(|group, _| keep(group));
    }
}

impl GroupSamples {
    fn learn(&mut self, asked: Instant, position: LogPosition) {
        self.highest = self.highest.max(Some(position));
        if let Some((latest, highest)) = self.told.back() {
            // A sample that arrives out of order or too soon adds nothing.
            if asked < *latest + SPACING || position < *highest {
                return;
            }
        }
        if self.told.len() == SAMPLES_MAX {
            self.told.pop_front();
        }
        self.told.push_back((asked, position));
    }
}
