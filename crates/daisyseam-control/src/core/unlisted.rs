//! Keeps announcements that name no group of the document apart from those of known databases.
//!
//! Such an announcement may come from another program. Until a document lists its group, it says
//! nothing about the database that has its name or its address.

use super::{
    ControlCore,
    announcements::RECORDS_MAX,
    leader::{
        AnnouncedUpstream,
        LeaderState, //
    }, //
};
use daisyseam_coord::{
    Moment,
    fleet::UpstreamCommand, //
};
use daisyseam_model::FleetView;
use std::{
    sync::Arc,
    time::Duration, //
};

/// Time without a further announcement after which an unlisted database is forgotten.
const UNLISTED_RETENTION: Duration = Duration::from_secs(30);

impl ControlCore {
    /// Handles the announcements whose group the document lists by now.
    pub(super) fn admit_listed(&mut self, now: Moment) {
        let view = Arc::clone(self.fleet.view());
        let Some(leader) = &mut self.leader else {
            return;
        };
        for announced in leader.take_listed(&view) {
            for command in self.handle_announcement(announced) {
                self.propose_reconcile(now, &command);
            }
        }
    }
}

impl LeaderState {
    /// Returns the announcement if the document lists its group, and keeps it for later otherwise.
    pub(super) fn defer_unlisted(
        &mut self,
        view: &FleetView,
        announced: AnnouncedUpstream,
    ) -> Option<AnnouncedUpstream> {
        let command = &announced.command;
        let name = &command.upstream;
        if is_listed(view, command) {
            self.unlisted.remove(name);
            return Some(announced);
        }
        let age = |known: &AnnouncedUpstream| (known.command.born_ms, known.sequence);
        match self.unlisted.get(name) {
            Some(known) if age(known) > age(&announced) => return None,
            Some(_) => {}
            None if self.unlisted.len() >= RECORDS_MAX => return None,
            None => log::info!(
                "database {name} announces itself in group {}, which is not its group in the \
                 document",
                command.group
            ),
        }
        self.unlisted.insert(name.clone(), announced);
        None
    }

    fn take_listed(&mut self, view: &FleetView) -> Vec<AnnouncedUpstream> {
        let listed = self
            .unlisted
            .extract_if(.., |_, announced| is_listed(view, &announced.command));
        listed.map(|(_, announced)| announced).collect()
    }

    pub(super) fn prune_unlisted(&mut self, now: Moment) {
        self.unlisted
            .retain(|_, announced| now.since(announced.announced_at) < UNLISTED_RETENTION);
    }
}

/// Returns whether a command names a group of the document, and no other group than before.
fn is_listed(view: &FleetView, command: &UpstreamCommand) -> bool {
    let document = view.document.as_ref();
    let known = view.upstreams.get(&command.upstream);
    document.is_some_and(|document| document.groups.contains_key(&command.group))
        && known.is_none_or(|known| known.group == command.group)
}
