//! Positions that primaries told, from which the floors of bounded reads follow.

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

/// Least time between two samples that are kept.
const SPACING: Duration = Duration::from_millis(20);

/// Most samples of one group.
const SAMPLES_MAX: usize = 512;

/// Part of a bound that is left unused.
const MARGIN: Duration = Duration::from_millis(50);

/// What primaries told, by group.
///
/// A sample says that all commits acknowledged before its moment lie at or below its position.
#[derive(Debug, Default)]
pub(crate) struct PositionSamples {
    groups: Mutex<HashMap<GroupId, GroupSamples>>,
}

#[derive(Debug, Default)]
struct GroupSamples {
    /// By moment; positions never go back.
    told: VecDeque<(Instant, LogPosition)>,
    highest: Option<LogPosition>,
}

impl PositionSamples {
    /// Learns the position of a primary that was asked at a moment.
    ///
    /// The caller has made sure that no other database could be primary when the answer came.
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

    /// Returns the highest position that the primary of a term told; its log holds it for ever,
    /// unless another process answers in its place.
    pub(crate) fn highest(&self, group: &GroupId, term: Term) -> Option<LogPosition> {
        let groups = self.groups.lock();
        let highest = groups.get(group)?.highest;
        highest.filter(|highest| highest.term == term)
    }

    /// Returns the lowest position that holds all commits which were acknowledged longer than
    /// `bound` before `start`; none if no sample is fresh enough.
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

    /// Forgets groups that are gone.
    pub(crate) fn retain(&self, keep: impl Fn(&GroupId) -> bool) {
        self.groups.lock().retain(|group, _| keep(group));
    }
}

impl GroupSamples {
    fn learn(&mut self, asked: Instant, position: LogPosition) {
        self.highest = self.highest.max(Some(position));
        if let Some((latest, highest)) = self.told.back() {
            // A sample that came late adds nothing.
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
