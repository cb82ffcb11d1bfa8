//! Spreads voters over regions, so that a majority survives the loss of one region.

use super::ControlCore;
use daisyseam_coord::Moment;
use daisyseam_model::{
    DataCentreId,
    InstanceId, //
};

impl ControlCore {
    /// Returns the data centre of this instance, if voters are to be spread over regions.
    pub fn data_centre(&self) -> Option<&DataCentreId> {
        self.settings.data_centre.as_ref()
    }

    /// Records the data centre of another member.
    pub fn set_member_data_centre(&mut self, member: InstanceId, data_centre: DataCentreId) {
        let members = self.log.members();
        self.member_data_centres
            .retain(|name, _| members.address(name).is_some());
        self.member_data_centres.insert(member, data_centre);
    }

    /// Returns the region of a member or spare by the newest document. A data centre that is not in
    /// the document counts as a region of its own.
    pub(super) fn region(&self, name: &InstanceId) -> Option<&str> {
        let spares = self.leader.as_ref().map(|leader| &leader.spares);
        let data_centre = match *name == self.settings.instance {
            true => self.settings.data_centre.as_ref(),
            false => self
                .member_data_centres
                .get(name)
                .or_else(|| spares?.get(name)?.data_centre.as_ref()),
        }?;
        let document = self.fleet.view().document.as_ref();
        let entry = document.and_then(|document| document.data_centres.get(data_centre));
        Some(entry.map_or(data_centre.as_str(), |entry| entry.region.as_str()))
    }

    /// Counts the other voters in the region of a member or spare, except `without`.
    pub(super) fn voters_in_same_region(
        &self,
        name: &InstanceId,
        without: Option<&InstanceId>,
    ) -> usize {
        let Some(region) = self.region(name) else {
            return 0;
        };
        let voters = self.log.members().voters.keys();
        let others = voters.filter(|voter| *voter != name && Some(*voter) != without);
        others
            .filter(|voter| self.region(voter) == Some(region))
            .count()
    }

    /// Returns whether the region of some voter is still unknown.
    pub(super) fn has_voter_without_region(&self) -> bool {
        let mut voters = self.log.members().voters.keys();
        self.settings.data_centre.is_some() && voters.any(|voter| self.region(voter).is_none())
    }

    /// Returns a voter that shares its region with another voter while a spare or the learner runs
    /// in a region without any.
    pub(super) fn colocated_voter(&self, now: Moment) -> Option<InstanceId> {
        let leader = self.leader.as_ref()?;
        if self.settings.data_centre.is_none() || self.has_voter_without_region() {
            return None;
        }
        let members = self.log.members();
        let spares = leader.spares.iter();
        let spares = spares.filter(|(_, spare)| spare.is_live(now));
        let mut free = spares.map(|(name, _)| name).chain(members.learners.keys());
        let is_free = |name: &InstanceId| {
            let known = self.region(name).is_some();
            known
                && !members.voters.contains_key(name)
                && self.voters_in_same_region(name, None) == 0
        };
        if !free.any(is_free) {
            return None;
        }
        let others = members.voters.keys();
        let mut others = others.filter(|voter| **voter != self.settings.instance);
        others
            .find(|voter| self.voters_in_same_region(voter, None) > 0)
            .cloned()
    }
}
