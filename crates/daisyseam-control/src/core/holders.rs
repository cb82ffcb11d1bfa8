//! Databases, instances and holders: what was announced goes into the log.

use super::{
    ControlCore,
    announcements::is_news, //
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

/// Longest time that a planned hand-over waits for the former holder to let go.
const LET_GO_WAIT: Duration = Duration::from_secs(5);

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
            .filter(|command| is_news(&view, command))
            .map(|command| FleetCommand::Upstream(command.clone()))
            .collect();
        for command in commands {
            self.propose_upkeep(now, &command);
        }
    }

    /// Takes silent instances off the list, and marks those that are stopping.
    pub(super) fn update_instances(&mut self, now: Moment) {
        let view = Arc::clone(self.fleet.view());
        let Some(leader) = &mut self.leader else {
            return;
        };
        let patience = self.settings.lease.max_duration() + self.settings.forget_after;
        let mut commands = Vec::new();
        for (name, instance) in &view.instances {
            let gone = leader.leases.silence(now, instance.incarnation) > patience;
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
            self.propose_upkeep(now, &command);
        }
    }

    /// Moves holders to where they should be, always with nobody in between.
    pub(super) fn update_holders(&mut self, now: Moment) {
        let view = Arc::clone(self.fleet.view());
        if !self.holders_may_move(&view) {
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
                    self.note_held(name);
                    let direct = is_reached_directly(&view, upstream);
                    let moves = direct || wanted.is_some() && wanted.as_ref() != Some(holder);
                    moves.then_some(None)
                }
                None => self.may_assign(now, name, upstream).then_some(wanted),
            };
            if let Some(next) = next
                && next != upstream.holder
            {
                self.propose_holder(now, name, upstream, next);
            }
        }
    }

    /// Returns whether the view changed since the last look, or somebody still waits for a holder.
    fn holders_may_move(&mut self, view: &FleetView) -> bool {
        let Some(leader) = &mut self.leader else {
            return false;
        };
        let seen = leader.holders_seen.replace(view.number);
        seen != Some(view.number) || !leader.released.is_empty()
    }

    fn propose_holder(
        &mut self,
        now: Moment,
        name: &UpstreamId,
        upstream: &UpstreamView,
        holder: Option<InstanceId>,
    ) {
        if let (Some(leader), Some(_)) = (&mut self.leader, &holder) {
            // A later release waits for its own confirmation.
            leader.released.remove(name);
        }
        let command = FleetCommand::Holder(HolderCommand {
            upstream: name.clone(),
            expected: upstream.holder.clone(),
            holder,
        });
        self.propose_upkeep(now, &command);
    }

    fn note_held(&mut self, name: &UpstreamId) {
        if let Some(leader) = &mut self.leader {
            leader.released.remove(name);
        }
    }

    /// Returns whether a former holder can no longer act on a view in which it was the holder.
    fn may_assign(&mut self, now: Moment, name: &UpstreamId, upstream: &UpstreamView) -> bool {
        let number = self.fleet.view().number;
        let in_charge = self.is_in_charge(now);
        let Some(leader) = &mut self.leader else {
            return false;
        };
        debug_assert!(upstream.holder.is_none(), "a holder is replaced directly");
        let (released, since) = *leader.released.entry(name.clone()).or_insert((number, now));
        if !in_charge || !leader.leases.is_change_complete(now, released) {
            return false;
        }
        let instances = &self.fleet.view().instances;
        let holds = leader.reports_on(name).any(|(instance, note)| {
            let instance = instances.get(instance);
            note.holds
                && instance.is_some_and(|known| leader.leases.may_hold(now, known.incarnation))
        });
        !holds || now.since(since) >= LET_GO_WAIT
    }
}

/// Returns whether every entry opens its own connections to a database, so that nobody holds them.
pub(super) fn is_reached_directly(view: &FleetView, upstream: &UpstreamView) -> bool {
    let groups = view.document.as_ref().map(|document| &document.groups);
    let group = groups.and_then(|groups| groups.get(&upstream.group));
    group.is_some_and(|group| matches!(group.commit, CommitPolicy::Replicas(_)))
}
