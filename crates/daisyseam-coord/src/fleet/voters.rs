//! Voters: the databases that elections count.
//!
//! A database becomes a voter once it has caught up, and remains one until no acknowledged commit
//! depends on its log. The copies of a voter stop counting for later commits when it restarts or is
//! suspended, which the view shows; elections count it until it is demoted or removed.

use super::{
    CaughtUpCommand,
    CommandOutcome,
    FleetState,
    RefusalReason,
    ViewChanges,
    VoterCommand, //
};
use daisyseam_model::{
    GroupId,
    UpstreamId, //
};

/// A database that elections count.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct VoterRecord {
    /// Start time of the last process that has caught up.
    pub(super) born_ms: u64,
    /// Whether its copies no longer count for later commits.
    pub(super) is_suspended: bool,
}

impl FleetState {
    /// Returns whether the current process of a database has caught up since it started.
    pub fn has_caught_up(&self, upstream: &UpstreamId) -> bool {
        let known = self.view.upstreams.get(upstream);
        let record = self.voters.get(upstream);
        known.is_some_and(|known| record.is_some_and(|record| record.born_ms == known.born_ms))
    }

    /// Returns whether elections count a database.
    pub fn is_voter(&self, upstream: &UpstreamId) -> bool {
        self.voters.contains_key(upstream)
    }

    /// Counts the databases of a group that elections count.
    pub fn voter_count(&self, group: &GroupId) -> usize {
        let members = self.view.members(group);
        members.filter(|(name, _)| self.is_voter(name)).count()
    }

    /// Returns whether the copies of a database process count for commits.
    pub(super) fn counts_copies(&self, upstream: &UpstreamId, born_ms: u64) -> bool {
        let record = self.voters.get(upstream);
        record.is_some_and(|record| record.born_ms == born_ms && !record.is_suspended)
    }

    pub(super) fn record_caught_up(&mut self, command: &CaughtUpCommand) -> CommandOutcome {
        let name = &command.upstream;
        if let Some(reason) = self.refusal(name, command.born_ms) {
            return CommandOutcome::Refused(reason);
        }
        let record = VoterRecord {
            born_ms: command.born_ms,
            is_suspended: false,
        };
        self.voters.insert(name.clone(), record);
        self.show_voter(name, true);
        CommandOutcome::Done
    }

    pub(super) fn suspend_voter(&mut self, command: &VoterCommand) -> CommandOutcome {
        let name = &command.upstream;
        if let Some(reason) = self.refusal(name, command.born_ms) {
            return CommandOutcome::Refused(reason);
        }
        let Some(record) = self.voters.get_mut(name) else {
            return CommandOutcome::Refused(RefusalReason::Unknown);
        };
        record.is_suspended = true;
        self.show_voter(name, false);
        CommandOutcome::Done
    }

    pub(super) fn demote_voter(&mut self, command: &VoterCommand) -> CommandOutcome {
        let name = &command.upstream;
        if let Some(reason) = self.refusal(name, command.born_ms) {
            return CommandOutcome::Refused(reason);
        }
        let listed = &self.view.upstreams[name];
        if listed.voter {
            // Instances count its copies again.
            return CommandOutcome::Refused(RefusalReason::Superseded);
        }
        let group = listed.group.clone();
        if self.voters.remove(name).is_some() {
            // The number of the view dates the change of the copies.
            self.change(ViewChanges::of_upstream(name), |_| {});
            self.reduce_copies(&group, self.voter_count(&group));
        }
        CommandOutcome::Done
    }

    /// Returns why a command for a process of a database does not apply.
    fn refusal(&self, upstream: &UpstreamId, born_ms: u64) -> Option<RefusalReason> {
        match self.view.upstreams.get(upstream) {
            None => Some(RefusalReason::Unknown),
            Some(listed) if listed.born_ms != born_ms => Some(RefusalReason::Superseded),
            Some(_) => None,
        }
    }

    fn show_voter(&mut self, upstream: &UpstreamId, is_voter: bool) {
        if self.view.upstreams[upstream].voter == is_voter {
            return;
        }
        self.change(ViewChanges::of_upstream(upstream), |view| {
            if let Some(listed) = view.upstreams.get_mut(upstream) {
                listed.voter = is_voter;
            }
        });
    }
}
