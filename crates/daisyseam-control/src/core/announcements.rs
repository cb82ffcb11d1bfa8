//! Handles announcements that arrive one by one. Each is acknowledged once its changes are durable.

use super::{
    ControlCore,
    RequestId,
    WaiterKind,
    leader::{
        AnnouncedUpstream,
        DepartureRecord,
        LeaderState,
        parse_announcement, //
    }, //
};
use daisyseam_coord::{
    Moment,
    fleet::{
        FleetCommand,
        UpstreamCommand, //
    },
    log::LogIndex, //
};
use daisyseam_model::{
    FleetView,
    UpstreamId,
    UpstreamView, //
};
use daisyseam_wire::{
    AnnounceReply,
    AnnounceRequest,
    control_message::Body, //
};
use std::{
    sync::Arc,
    time::Duration, //
};

/// Time for which a departed database is remembered, to reject its late announcements.
const DEPARTED_RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of records of departed databases. Above as many announcements, those of databases
/// outside the view are dropped.
pub(super) const RECORDS_MAX: usize = 4_096;

impl ControlCore {
    pub(super) fn announce(&mut self, now: Moment, request: RequestId, announce: &AnnounceRequest) {
        if !self.is_acting_leader(now) {
            return self.reply_not_leader(request);
        }
        let commands = match (&announce.report, announce.gone) {
            (Some(report), true) => self.handle_departure(now, &report.upstream),
            (Some(report), false) => match parse_announcement(now, report) {
                Some(announced) => self.handle_announcement(announced),
                None => Vec::new(),
            },
            (None, _) => Vec::new(),
        };
        let mut last = None;
        for command in &commands {
            match self.propose(now, command) {
                Some(index) => last = Some(index),
                None => return self.reply_not_leader(request),
            }
        }
        self.answer_announcement(request, last);
    }

    /// Replies once all announcements so far are durable, because this one may be a resend of any.
    fn answer_announcement(&mut self, request: RequestId, last: Option<LogIndex>) {
        let Some(leader) = &mut self.leader else {
            return self.reply_not_leader(request);
        };
        leader.announced_index = leader.announced_index.max(last.unwrap_or_default());
        let index = leader.announced_index;
        if self.applied < index {
            return self.wait_for(index, request, WaiterKind::Announce);
        }
        self.reply(request, Body::Announced(AnnounceReply {}));
    }

    /// Records an announcement, and returns the commands for its changes.
    pub(super) fn handle_announcement(
        &mut self,
        announced: AnnouncedUpstream,
    ) -> Vec<FleetCommand> {
        let view = Arc::clone(self.fleet.view());
        let Some(leader) = &mut self.leader else {
            return Vec::new();
        };
        let Some(mut announced) = leader.defer_unlisted(&view, announced) else {
            return Vec::new();
        };
        if leader.is_outdated(&view, &announced) {
            return Vec::new();
        }
        if !leader.follows_recorded(&announced) {
            keep_leaving(&view, &mut announced.command);
        }
        let superseded = leader.superseded(&view, &announced.command);
        let mut commands = Vec::new();
        for name in superseded {
            log::info!("the address of database {name} now belongs to another database");
            commands.extend(leader.record_departure(announced.announced_at, &view, &name));
        }
        let command = announced.command.clone();
        let name = command.upstream.clone();
        leader.departed.remove(&name);
        let former = leader.announced.insert(name.clone(), announced);
        let role = |known: &AnnouncedUpstream| (known.command.born_ms, known.state.primary);
        let changed = former.as_ref().map(role) != leader.announced.get(&name).map(role);
        if changed {
            leader.schedule_now();
        }
        if changes_view(&view, &command) {
            commands.push(FleetCommand::Upstream(command));
        }
        commands
    }

    fn handle_departure(&mut self, now: Moment, name: &str) -> Vec<FleetCommand> {
        let view = Arc::clone(self.fleet.view());
        let (Some(leader), Ok(name)) = (&mut self.leader, name.parse::<UpstreamId>()) else {
            return Vec::new();
        };
        log::info!("database {name} announced that it is gone");
        leader.record_departure(now, &view, &name)
    }
}

impl LeaderState {
    /// Returns whether an announcement is older than the recorded state.
    fn is_outdated(&self, view: &FleetView, announced: &AnnouncedUpstream) -> bool {
        let command = &announced.command;
        let name = &command.upstream;
        let listed = view.upstreams.get(name);
        if listed.is_some_and(|known| known.born_ms > command.born_ms) {
            return true;
        }
        let gone = self.departed.get(name);
        if gone.is_some_and(|gone| !gone.is_contradicted_by(announced)) {
            return true;
        }
        let known = self.announced.get(name);
        let older = known.is_some_and(|known| {
            let (born, sequence) = (known.command.born_ms, known.sequence);
            command.born_ms < born
                || command.born_ms == born
                    && announced.sequence != 0
                    && announced.sequence <= sequence
        });
        older
            || self
                .at_address(view, command)
                .any(|(_, born_ms)| command.born_ms < born_ms)
    }

    /// Returns whether an announcement provably follows the recorded one of the same process.
    fn follows_recorded(&self, announced: &AnnouncedUpstream) -> bool {
        let known = self.announced.get(&announced.command.upstream);
        known.is_some_and(|known| {
            known.command.born_ms == announced.command.born_ms
                && announced.sequence > known.sequence
        })
    }

    /// Returns the databases whose address a newer database has taken over.
    fn superseded(&self, view: &FleetView, command: &UpstreamCommand) -> Vec<UpstreamId> {
        let others = self.at_address(view, command);
        let older = others.filter(|(_, born_ms)| *born_ms < command.born_ms);
        older.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the other databases at the same address, if both start times are known.
    fn at_address<'a>(
        &'a self,
        view: &'a FleetView,
        command: &'a UpstreamCommand,
    ) -> impl Iterator<Item = (&'a UpstreamId, u64)> {
        let dated = command.born_ms != 0;
        let listed = view.upstreams.iter();
        let listed = listed.map(|(name, known)| (name, known.address, known.born_ms));
        let others = listed.filter(move |(name, address, born_ms)| {
            dated && *born_ms != 0 && **name != command.upstream && *address == command.address
        });
        // A departed database no longer occupies its address.
        let others = others.filter(|(name, ..)| !self.departed.contains_key(*name));
        others.map(|(name, _, born_ms)| (name, born_ms))
    }

    /// Records that a database is gone. It is dropped once no acknowledged write depends on it.
    fn record_departure(
        &mut self,
        now: Moment,
        view: &FleetView,
        name: &UpstreamId,
    ) -> Vec<FleetCommand> {
        let announced = self.announced.remove(name);
        let announced_born = announced.as_ref().map(|known| known.command.born_ms);
        let listed = view.upstreams.get(name);
        let born_ms = listed.map(|known| known.born_ms).max(announced_born);
        if let Some(born_ms) = born_ms
            && self.departed.len() < RECORDS_MAX
        {
            let known = announced.filter(|known| known.command.born_ms == born_ms);
            let record = DepartureRecord {
                born_ms,
                sequence: known.map(|known| known.sequence),
                at: now,
            };
            self.departed.entry(name.clone()).or_insert(record);
        }
        self.schedule_now();
        let Some(listed) = listed else {
            return Vec::new();
        };
        match view.groups.contains_key(&listed.group) {
            // The group has no state yet, so no write depends on the database.
            false => vec![FleetCommand::DropUpstream(name.clone())],
            true if !listed.leaving => vec![leave_command(name, listed)],
            true => Vec::new(),
        }
    }

    /// Drops records that are no longer needed.
    pub(super) fn prune_records(&mut self, now: Moment, view: &FleetView) {
        self.departed.retain(|name, gone| {
            view.upstreams.contains_key(name) || now.since(gone.at) < DEPARTED_RETENTION
        });
        self.health.retain(|upstream, notes| {
            notes.retain(|instance, _| view.instances.contains_key(instance));
            view.upstreams.contains_key(upstream) && !notes.is_empty()
        });
        self.holder_released
            .retain(|upstream, _| view.upstreams.contains_key(upstream));
        self.prune_unlisted(now);
        if self.announced.len() > RECORDS_MAX {
            self.announced
                .retain(|name, _| view.upstreams.contains_key(name));
        }
    }
}

pub(super) fn leave_command(name: &UpstreamId, listed: &UpstreamView) -> FleetCommand {
    FleetCommand::Upstream(UpstreamCommand {
        upstream: name.clone(),
        group: listed.group.clone(),
        data_centre: listed.data_centre.clone(),
        address: listed.address,
        admin_address: listed.admin_address,
        leaving: true,
        born_ms: listed.born_ms,
    })
}

/// Keeps a process that announced that it leaves as leaving. An announcement that contradicts this
/// may be a late one.
fn keep_leaving(view: &FleetView, command: &mut UpstreamCommand) {
    let known = view.upstreams.get(&command.upstream);
    let same = known.filter(|known| known.born_ms == command.born_ms && known.born_ms != 0);
    command.leaving |= same.is_some_and(|known| known.leaving);
}

/// Returns whether a command changes the view. A command for an unknown group does not.
pub(super) fn changes_view(view: &FleetView, command: &UpstreamCommand) -> bool {
    let document = view.document.as_ref();
    if !document.is_some_and(|document| document.groups.contains_key(&command.group)) {
        return false;
    }
    let known = view.upstreams.get(&command.upstream);
    known.is_none_or(|known| {
        let later = known.born_ms <= command.born_ms;
        later && known.group == command.group && differs(known, command)
    })
}

fn differs(known: &UpstreamView, command: &UpstreamCommand) -> bool {
    let announced = UpstreamView {
        group: command.group.clone(),
        data_centre: command.data_centre.clone(),
        address: command.address,
        admin_address: command.admin_address,
        holder: known.holder.clone(),
        leaving: command.leaving,
        born_ms: command.born_ms,
        voter: known.voter,
    };
    *known != announced
}
