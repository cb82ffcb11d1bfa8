//! Replaces lost control members by spares, one membership change at a time.

use super::{
    ControlCore,
    leader::LeaderState, //
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

/// Time without a notice after which a spare counts as lost.
const SPARE_TIMEOUT: Duration = Duration::from_secs(3);

impl ControlCore {
    pub(super) fn repair_members(&mut self, now: Moment) {
        if !self.is_acting_leader(now) {
            return;
        }
        let Some(change) = self.next_member_change(now) else {
            return;
        };
        match self.log.propose_change(now, &change) {
            Ok(_) => log::warn!("proposed a control membership change: {change:?}"),
            Err(error) => log::debug!("cannot propose the membership change {change:?}: {error}"),
        }
    }

    /// Returns the next step of a repair: a spare becomes a learner, the learner becomes a voter,
    /// and the lost voter is removed.
    ///
    /// The leader's lease proves that a majority of the voters answers, and it remains a majority
    /// when the spare becomes a voter. The lost voter is removed last because it may only have been
    /// silent and can still return. If it were removed first, of three voters two would remain that
    /// are both required, and one more loss would be permanent.
    fn next_member_change(&self, now: Moment) -> Option<MemberChange> {
        let members = self.log.members();
        let lost = self.lost_voter(now);
        if members.voters.len() > self.target_voters() {
            let surplus = lost.or_else(|| self.surplus_voter());
            return surplus.map(MemberChange::Remove);
        }
        let leaving = lost.or_else(|| self.colocated_voter(now));
        if let Some(learner) = members.learners.keys().next() {
            return self.learner_change(now, learner, leaving.is_some());
        }
        if leaving.is_none() && members.voters.len() == self.target_voters() {
            return None;
        }
        let (name, address) = self.best_spare(now, leaving.as_ref())?;
        Some(MemberChange::AddLearner(name, address))
    }

    /// Returns the target number of voters.
    fn target_voters(&self) -> usize {
        let first = self.log.members().target_voters;
        first.max(self.settings.min_voters)
    }

    fn learner_change(
        &self,
        now: Moment,
        learner: &InstanceId,
        one_leaves: bool,
    ) -> Option<MemberChange> {
        let leader = self.leader.as_ref()?;
        let members = self.log.members();
        let live = leader.is_spare_live(now, learner) || !self.is_silent(now, learner);
        if !live || self.is_replaced(now, learner) {
            return Some(MemberChange::Remove(learner.clone()));
        }
        if !one_leaves && members.voters.len() == self.target_voters() {
            // The voter that the learner was to replace has come back.
            let known = !self.has_voter_without_region();
            return known.then(|| MemberChange::Remove(learner.clone()));
        }
        let caught_up = self.log.has_caught_up(learner);
        caught_up.then(|| MemberChange::Promote(learner.clone()))
    }

    /// Returns the voter other than this instance with the most voters in its region. Among equals,
    /// it is the one that has not answered for the longest time.
    fn surplus_voter(&self) -> Option<InstanceId> {
        let voters = self.log.members().voters.keys();
        let others = voters.filter(|voter| **voter != self.settings.instance);
        let rank = |voter: &&InstanceId| {
            let voters_in_same_region = self.voters_in_same_region(voter, None);
            (
                Reverse(voters_in_same_region),
                self.log.last_response(voter),
            )
        };
        others.min_by_key(rank).cloned()
    }

    /// Returns the spare to add as a learner, preferably from a region where no voter remains.
    fn best_spare(
        &self,
        now: Moment,
        leaving: Option<&InstanceId>,
    ) -> Option<(InstanceId, SocketAddr)> {
        let leader = self.leader.as_ref()?;
        let members = self.log.members();
        let fit =
            |name: &InstanceId| members.address(name).is_none() && leader.is_spare_live(now, name);
        let spares = leader.spares.iter().filter(|(name, _)| fit(name));
        // Of several processes at one address, only the newest can still be running.
        let best = spares.min_by_key(|(name, spare)| {
            (
                self.voters_in_same_region(name, leaving),
                Reverse(spare.first_seen),
            )
        });
        best.map(|(name, spare)| (name.clone(), spare.address))
    }

    /// Returns a voter that has lost its data folder, or else one that has been silent too long.
    fn lost_voter(&self, now: Moment) -> Option<InstanceId> {
        let voters = self.log.members().voters.keys();
        let others = voters.filter(|voter| **voter != self.settings.instance);
        let others: Vec<&InstanceId> = others.collect();
        let replaced = others.iter().find(|voter| self.is_replaced(now, voter));
        let lost = replaced.or_else(|| others.iter().find(|voter| self.is_silent(now, voter)));
        lost.map(|voter| (*voter).clone())
    }

    /// Returns whether another process runs at a member's address, so that its data is lost.
    fn is_replaced(&self, now: Moment, member: &InstanceId) -> bool {
        let Some(leader) = &self.leader else {
            return false;
        };
        let address = self.log.members().address(member);
        let mut spares = leader.spares.iter();
        let successor = spares.find(|(name, spare)| {
            *name != member && Some(spare.address) == address && spare.is_live(now)
        });
        // An answer from after the spare appeared would prove that the member is still running.
        successor.is_some_and(|(_, spare)| {
            let answered = self.log.last_response(member);
            answered.is_none_or(|answered| answered <= spare.first_seen)
        })
    }

    fn is_silent(&self, now: Moment, member: &InstanceId) -> bool {
        let answered = self.log.last_response(member);
        answered.is_some_and(|answered| now.since(answered) > self.settings.repair_delay)
    }
}

/// A control instance that waits to become a member.
#[derive(Clone, Debug)]
pub(super) struct SpareRecord {
    pub(super) address: SocketAddr,
    pub(super) data_centre: Option<DataCentreId>,
    pub(super) first_seen: Moment,
    pub(super) last_seen: Moment,
}

impl SpareRecord {
    pub(super) fn is_live(&self, now: Moment) -> bool {
        now.since(self.last_seen) < SPARE_TIMEOUT
    }
}

impl LeaderState {
    pub(super) fn record_spare(
        &mut self,
        now: Moment,
        name: InstanceId,
        address: SocketAddr,
        data_centre: Option<DataCentreId>,
    ) {
        let known = self.spares.get(&name);
        let note = SpareRecord {
            address,
            data_centre,
            first_seen: known.map_or(now, |known| known.first_seen),
            last_seen: now,
        };
        self.spares.insert(name, note);
        self.spares.retain(|_, note| note.is_live(now));
    }

    fn is_spare_live(&self, now: Moment, name: &InstanceId) -> bool {
        let note = self.spares.get(name);
        note.is_some_and(|note| note.is_live(now))
    }
}
