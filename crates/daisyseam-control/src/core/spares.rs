//! Informs spares, members that no leader contacts, and entries of the control members.

use super::{
    ControlCore,
    CoreSettings,
    RequestId, //
};
use daisyseam_coord::{
    Moment,
    log::{
        DurableLog,
        ReplicatedLog, //
    }, //
};
use daisyseam_model::{
    ClusterId,
    InstanceId, //
};
use daisyseam_wire::{
    ControlMembers,
    SpareNotice,
    SpareReply,
    control_message::Body, //
};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;

impl ControlCore {
    /// Returns the cluster that this instance belongs to.
    pub fn cluster(&self) -> &ClusterId {
        &self.settings.cluster
    }

    /// Sets the address of the leader as learned from outside the log.
    pub fn set_leader_hint(&mut self, leader: Option<SocketAddr>) {
        self.leader_hint = leader;
    }

    /// Creates a core with the same settings, but with another name and an empty log.
    pub fn recreate_as(&self, name: InstanceId, now: Moment, random: ChaCha8Rng) -> Self {
        let settings = CoreSettings {
            instance: name,
            ..self.settings.clone()
        };
        self.recreate(settings, DurableLog::default(), now, random)
    }

    /// Creates a core with the same settings and name from a durable log, as after a restart.
    pub fn recreate_from(&self, durable: DurableLog, now: Moment, random: ChaCha8Rng) -> Self {
        self.recreate(self.settings.clone(), durable, now, random)
    }

    fn recreate(
        &self,
        settings: CoreSettings,
        durable: DurableLog,
        now: Moment,
        random: ChaCha8Rng,
    ) -> Self {
        let times = self.log.settings().clone();
        let log = ReplicatedLog::recover(settings.instance.clone(), times, durable, now, random);
        Self::new(settings, log)
    }

    /// Returns whether this instance is a member according to its own log.
    pub fn is_member(&self) -> bool {
        self.log
            .members()
            .address(&self.settings.instance)
            .is_some()
    }

    /// Returns the address of the leader, or an empty string if it is unknown.
    pub(super) fn leader_address(&self) -> String {
        let leader = self.log.leader();
        let address = leader.and_then(|leader| self.log.members().address(leader));
        let hint = self.leader_hint.filter(|_| !self.is_member());
        let address = address.or(hint);
        address
            .map(|address| address.to_string())
            .unwrap_or_default()
    }

    /// Handles the notice of a spare, or of a member that no leader contacts.
    pub(super) fn spare(&mut self, now: Moment, request: RequestId, notice: &SpareNotice) {
        let acting = self.is_acting_leader(now);
        let read = notice.instance.parse::<InstanceId>();
        let (Ok(name), Ok(address)) = (read, notice.address.parse()) else {
            return log::warn!("invalid notice of spare `{}`", notice.instance);
        };
        let known = self.log.members().address(&name).is_some();
        // Names are never reused, so a member that a committed change removed stays removed.
        let decided = self.log.members_index() <= self.log.commit();
        let removed = acting && decided && notice.member && !known;
        let spare = acting && !known && !removed;
        if let Some(leader) = self.leader.as_mut().filter(|_| spare) {
            let data_centre = notice.data_centre.parse().ok();
            leader.record_spare(now, name, address, data_centre);
        }
        let members = match acting {
            true => self.member_addresses(),
            false => Vec::new(),
        };
        let reply = SpareReply {
            leader: self.leader_address(),
            members,
            removed,
        };
        self.reply(request, Body::SpareKnown(reply));
    }

    /// Returns the members if an entry knows an outdated list and the change is committed.
    pub(super) fn members_update(&self, known: u64) -> Option<ControlMembers> {
        let index = self.log.members_index();
        if known == index.next().0 || index > self.log.commit() {
            return None;
        }
        Some(ControlMembers {
            index: index.next().0,
            addresses: self.member_addresses(),
        })
    }

    fn member_addresses(&self) -> Vec<String> {
        let voters = self.log.members().voters.values();
        voters.map(ToString::to_string).collect()
    }
}
