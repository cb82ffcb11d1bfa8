//! A lost member of control is replaced by a spare, one change at a time.

use super::{
    ControlCore,
    leader::LeaderWork, //
};
use daisyseam_coord::{
    Moment,
    log::MemberChange, //
};
use daisyseam_model::{
    DataCentreId,
    InstanceId, //
};
use std::{
    cmp::Reverse,
    net::SocketAddr,
    time::Duration, //
};

/// Silence after which a spare no longer counts as there.
const SPARE_SILENCE: Duration = Duration::from_secs(3);

impl ControlCore {
    pub(super) fn repair_members(&mut self, now: Moment) {
        if !self.is_in_charge(now) {
            return;
        }
        let Some(change) = self.wanted_change(now) else {
            return;
        };
        match self.log.propose_change(now, &change) {
            Ok(_) => log::warn!("the members of control change: {change:?}"),
            Err(error) => log::debug!("{change:?} is not proposed: {error}"),
        }
    }

    /// Returns the next step of a repair: a spare learns, it counts, the lost voter goes.
    ///
    /// The leader's lease proves that a majority answers, and it still is one with the spare. In
    /// between, a voter that was only silent can still come back and help; without it, two voters
    /// that must both be there would be left, and one more loss would be for good.
    fn wanted_change(&self, now: Moment) -> Option<MemberChange> {
        let members = self.log.members();
        let lost = self.lost_voter(now);
        if members.voters.len() > self.wanted_voters() {
            let odd_one = lost.or_else(|| self.odd_voter());
            return odd_one.map(MemberChange::Remove);
        }
        let leaving = lost.or_else(|| self.crowded_voter(now));
        if let Some(learner) = members.learners.keys().next() {
            return self.learner_change(now, learner, leaving.is_some());
        }
        if leaving.is_none() && members.voters.len() == self.wanted_voters() {
            return None;
        }
        let (name, address) = self.fit_spare(now, leaving.as_ref())?;
        Some(MemberChange::AddLearner(name, address))
    }

    /// Returns how many voters there are to be.
    fn wanted_voters(&self) -> usize {
        let first = self.log.members().target_voters;
        first.max(self.settings.voters_wanted)
    }

    fn learner_change(
        &self,
        now: Moment,
        learner: &InstanceId,
        one_leaves: bool,
    ) -> Option<MemberChange> {
        let leader = self.leader.as_ref()?;
        let members = self.log.members();
        let there = leader.is_spare_there(now, learner) || !self.is_silent(now, learner);
        if !there || self.is_replaced(now, learner) {
            return Some(MemberChange::Remove(learner.clone()));
        }
        if !one_leaves && members.voters.len() == self.wanted_voters() {
            // Whom it was to replace has come back.
            let known = !self.misses_places();
            return known.then(|| MemberChange::Remove(learner.clone()));
        }
        let caught_up = self.log.has_caught_up(learner);
        caught_up.then(|| MemberChange::Promote(learner.clone()))
    }

    /// Returns the other voter with most voters in its region, of these the one that answered
    /// longest ago.
    fn odd_voter(&self) -> Option<InstanceId> {
        let voters = self.log.members().voters.keys();
        let others = voters.filter(|voter| **voter != self.settings.me);
        let rank = |voter: &&InstanceId| {
            let neighbours = self.neighbours(voter, None);
            (Reverse(neighbours), self.log.last_response(voter))
        };
        others.min_by_key(rank).cloned()
    }

    /// Returns the spare that is to learn, best in a region where no voter stays.
    fn fit_spare(
        &self,
        now: Moment,
        leaving: Option<&InstanceId>,
    ) -> Option<(InstanceId, SocketAddr)> {
        let leader = self.leader.as_ref()?;
        let members = self.log.members();
        let fit =
            |name: &InstanceId| members.address(name).is_none() && leader.is_spare_there(now, name);
        let spares = leader.spares.iter().filter(|(name, _)| fit(name));
        // At one address only the newest process can still be there.
        let best = spares.min_by_key(|(name, spare)| {
            (self.neighbours(name, leaving), Reverse(spare.first_heard))
        });
        best.map(|(name, spare)| (name.clone(), spare.address))
    }

    /// Returns a voter that has lost its folder, else one that has been silent for too long.
    fn lost_voter(&self, now: Moment) -> Option<InstanceId> {
        let voters = self.log.members().voters.keys();
        let others = voters.filter(|voter| **voter != self.settings.me);
        let others: Vec<&InstanceId> = others.collect();
        let replaced = others.iter().find(|voter| self.is_replaced(now, voter));
        let lost = replaced.or_else(|| others.iter().find(|voter| self.is_silent(now, voter)));
        lost.map(|voter| (*voter).clone())
    }

    /// Returns whether another process answers at a member's address: what it held is lost.
    fn is_replaced(&self, now: Moment, member: &InstanceId) -> bool {
        let Some(leader) = &self.leader else {
            return false;
        };
        let address = self.log.members().address(member);
        let mut spares = leader.spares.iter();
        let successor = spares.find(|(name, spare)| {
            *name != member && Some(spare.address) == address && spare.is_there(now)
        });
        // An answer to a later round would prove that the member is still there.
        successor.is_some_and(|(_, spare)| {
            let answered = self.log.last_response(member);
            answered.is_none_or(|answered| answered <= spare.first_heard)
        })
    }

    fn is_silent(&self, now: Moment, member: &InstanceId) -> bool {
        let answered = self.log.last_response(member);
        answered.is_some_and(|answered| now.since(answered) > self.settings.repair_after)
    }
}

/// A control instance that waits to be taken in.
#[derive(Clone, Debug)]
pub(super) struct SpareNote {
    pub(super) address: SocketAddr,
    pub(super) data_centre: Option<DataCentreId>,
    pub(super) first_heard: Moment,
    pub(super) heard: Moment,
}

impl SpareNote {
    pub(super) fn is_there(&self, now: Moment) -> bool {
        now.since(self.heard) < SPARE_SILENCE
    }
}

impl LeaderWork {
    pub(super) fn note_spare(
        &mut self,
        now: Moment,
        name: InstanceId,
        address: SocketAddr,
        data_centre: Option<DataCentreId>,
    ) {
        let known = self.spares.get(&name);
        let note = SpareNote {
            address,
            data_centre,
            first_heard: known.map_or(now, |known| known.first_heard),
            heard: now,
        };
        self.spares.insert(name, note);
        self.spares.retain(|_, note| note.is_there(now));
    }

    fn is_spare_there(&self, now: Moment, name: &InstanceId) -> bool {
        let note = self.spares.get(name);
        note.is_some_and(|note| note.is_there(now))
    }
}
