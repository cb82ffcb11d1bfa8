//! Proposes changes of databases, instances and holders that result from announcements and
//! heartbeats.

use super::{
    ControlCore,
    announcements::changes_view, //
};
use daisyseam_coord::{
    Moment,
    fleet::{
        FleetCommand,
        HolderCommand,
        LeaveCommand, //
    },
    membership::wanted_holders, //
};
use daisyseam_model::{
    FleetView,
    InstanceId,
    UpstreamId,
    UpstreamView,
    document::CommitPolicy, //
};
use std::{
    sync::Arc,
    time::Duration, //
};

/// Maximum time that a planned change of holder waits for the former holder to close its
/// connections.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

impl ControlCore {
    pub(super) fn update_upstreams(&mut self, now: Moment) {
        let view = Arc::clone(self.fleet.view());
        let Some(leader) = &self.leader else {
            return;
        };
        let commands: Vec<FleetCommand> = leader
            .announced
            .values()
            .map(|announced| &announced.command)
            .filter(|command| changes_view(&view, command))
            .map(|command| FleetCommand::Upstream(command.clone()))
            .collect();
        for command in commands {
            self.propose_reconcile(now, &command);
        }
    }

    /// Removes silent instances from the view, and marks those that are leaving.
    pub(super) fn update_instances(&mut self, now: Moment) {
        let view = Arc::clone(self.fleet.view());
        let Some(leader) = &mut self.leader else {
            return;
        };
        let removal_timeout = self.settings.lease.max_duration() + self.settings.removal_grace;
        let mut commands = Vec::new();
        for (name, instance) in &view.instances {
            let gone = leader.leases.silence(now, instance.incarnation) > removal_timeout;
            let leaving = !instance.leaving && leader.leaving.contains(&instance.incarnation);
            if gone || leaving {
                commands.push(FleetCommand::Leave(LeaveCommand {
                    instance: name.clone(),
                    incarnation: instance.incarnation,
                    gone,
                }));
            }
        }
        leader.leases.prune(now, |name, incarnation| {
            let known = view.instances.get(name);
            known.is_some_and(|known| known.incarnation == incarnation)
        });
        for command in commands {
            self.propose_reconcile(now, &command);
        }
    }

    /// Assigns holders as wanted. Each change goes through a state without any holder.
    pub(super) fn update_holders(&mut self, now: Moment) {
        let view = Arc::clone(self.fleet.view());
        if !self.should_check_holders(&view) {
            return;
        }
        let wanted = wanted_holders(&view);
        for (name, upstream) in &view.upstreams {
            let wanted = wanted.get(name).cloned().flatten();
            if upstream.holder.is_none() && is_reached_directly(&view, upstream) {
                continue;
            }
            let next = match &upstream.holder {
                Some(holder) => {
                    self.clear_release(name);
                    let direct = is_reached_directly(&view, upstream);
                    let moves = direct || wanted.is_some() && wanted.as_ref() != Some(holder);
                    moves.then_some(None)
                }
                None => self
                    .may_assign_holder(now, name, upstream)
                    .then_some(wanted),
            };
            if let Some(next) = next
                && next != upstream.holder
            {
                self.propose_holder(now, name, upstream, next);
            }
        }
    }

    /// Returns whether the view changed since the last check, or a database waits for a holder.
    fn should_check_holders(&mut self, view: &FleetView) -> bool {
        let Some(leader) = &mut self.leader else {
            return false;
        };
        let seen = leader.holders_checked_view.replace(view.number);
        seen != Some(view.number) || !leader.holder_released.is_empty()
    }

    fn propose_holder(
        &mut self,
        now: Moment,
        name: &UpstreamId,
        upstream: &UpstreamView,
        holder: Option<InstanceId>,
    ) {
        if let (Some(leader), Some(_)) = (&mut self.leader, &holder) {
            // A later release has to be confirmed by itself.
            leader.holder_released.remove(name);
        }
        let command = FleetCommand::Holder(HolderCommand {
            upstream: name.clone(),
            expected: upstream.holder.clone(),
            holder,
        });
        self.propose_reconcile(now, &command);
    }

    fn clear_release(&mut self, name: &UpstreamId) {
        if let Some(leader) = &mut self.leader {
            leader.holder_released.remove(name);
        }
    }

    /// Returns whether no former holder can still act on a view in which it holds the database.
    fn may_assign_holder(
        &mut self,
        now: Moment,
        name: &UpstreamId,
        upstream: &UpstreamView,
    ) -> bool {
        let number = self.fleet.view().number;
        let acting = self.is_acting_leader(now);
        let Some(leader) = &mut self.leader else {
            return false;
        };
        debug_assert!(upstream.holder.is_none(), "the database still has a holder");
        let (released, since) = *leader
            .holder_released
            .entry(name.clone())
            .or_insert((number, now));
        if !acting || !leader.leases.is_change_complete(now, released) {
            return false;
        }
        let instances = &self.fleet.view().instances;
        let holds = leader.reports_on(name).any(|(instance, note)| {
            let instance = instances.get(instance);
            note.holds_connections
                && instance.is_some_and(|known| leader.leases.may_hold(now, known.incarnation))
        });
        !holds || now.since(since) >= RELEASE_TIMEOUT
    }
}

/// Returns whether every entry opens its own connections to a database, so that it needs no holder.
pub(super) fn is_reached_directly(view: &FleetView, upstream: &UpstreamView) -> bool {
    let groups = view.document.as_ref().map(|document| &document.groups);
    let group = groups.and_then(|groups| groups.get(&upstream.group));
    group.is_some_and(|group| matches!(group.commit, CommitPolicy::Replicas(_)))
}
