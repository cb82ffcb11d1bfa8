//! A lost member of control is replaced by a spare, one change at a time.

use super::{
    ControlCore,
    leader::LeaderWork, //
};
use daisyseam_coord::{
    Moment,
    log::MemberChange, //
};
use daisyseam_model::InstanceId;
use std::time::Duration;

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

    /// Returns the next step of a repair: a spare learns, the lost voter goes, the spare counts.
    fn wanted_change(&self, now: Moment) -> Option<MemberChange> {
        let leader = self.leader.as_ref()?;
        let members = self.log.members();
        let lost = self.lost_voter(now);
        let learner = members.learners.keys().next();
        if let Some(learner) = learner {
            let there = leader.is_spare_there(now, learner);
            if !there && self.is_silent(now, learner) {
                return Some(MemberChange::Remove(learner.clone()));
            }
            if !self.log.has_caught_up(learner) {
                return None;
            }
            return Some(match lost {
                Some(lost) => MemberChange::Remove(lost),
                None => MemberChange::Promote(learner.clone()),
            });
        }
        lost.as_ref()?;
        let mut spares = leader.spares.iter();
        let fit =
            |name: &InstanceId| members.address(name).is_none() && leader.is_spare_there(now, name);
        let (name, (address, _)) = spares.find(|(name, _)| fit(name))?;
        Some(MemberChange::AddLearner(name.clone(), *address))
    }

    fn lost_voter(&self, now: Moment) -> Option<InstanceId> {
        let voters = self.log.members().voters.keys();
        let others = voters.filter(|voter| **voter != self.settings.me);
        others
            .into_iter()
            .find(|voter| self.is_silent(now, voter))
            .cloned()
    }

    fn is_silent(&self, now: Moment, member: &InstanceId) -> bool {
        let answered = self.log.last_answer(member);
        answered.is_some_and(|answered| now.since(answered) > self.settings.repair_after)
    }
}

impl LeaderWork {
    fn is_spare_there(&self, now: Moment, name: &InstanceId) -> bool {
        let heard = self.spares.get(name);
        heard.is_some_and(|(_, heard)| now.since(*heard) < SPARE_SILENCE)
    }
}
