//! Positions that primaries told, from which the floors of bounded reads follow.

use daisyseam_model::{
    GroupId,
    LogPosition, //
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
    groups: Mutex<HashMap<GroupId, VecDeque<(Instant, LogPosition)>>>,
}

impl PositionSamples {
    /// Learns the position of a primary that was asked at a moment.
    ///
    /// The caller has made sure that no other database could be primary when the answer came.
    pub(crate) fn learn(&self, group: &GroupId, asked: Instant, position: LogPosition) {
        let mut groups = self.groups.lock();
        if !groups.contains_key(group) {
            groups.insert(group.clone(), VecDeque::new());
        }
        let Some(samples) = groups.get_mut(group) else {
            return;
        };
        if let Some((latest, highest)) = samples.back() {
            // A sample that came late adds nothing; a primary's position never goes back.
            if asked < *latest + SPACING || position < *highest {
                return;
            }
        }
        if samples.len() == SAMPLES_MAX {
            samples.pop_front();
        }
        samples.push_back((asked, position));
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
        let samples = groups.get(group)?;
        let first = samples.partition_point(|(asked, _)| *asked + window < start);
        samples.get(first).map(|(_, position)| *position)
    }

    /// Forgets groups that are gone.
    pub(crate) fn retain(&self, keep: impl Fn(&GroupId) -> bool) {
        self.groups.lock().retain(|group, _| keep(group));
    }
}
