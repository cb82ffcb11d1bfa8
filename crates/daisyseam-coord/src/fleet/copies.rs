//! The number of databases that have each acknowledged commit of a group.
//!
//! Elections rely on this number instead of the one in the document: after the document raises it,
//! commits acknowledged before have fewer copies. It is lowered together with the document, and
//! raised once enough databases are known to have all commits of before.

use super::{
    CommandOutcome,
    CopiesCommand,
    FleetState,
    RefusalReason,
    ViewChanges, //
};
use daisyseam_model::{
    GroupId,
    ViewNumber,
    document::{
        CommitPolicy,
        Document, //
    }, //
};

/// Least number of databases that have each acknowledged commit of a group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CopyGuarantee {
    /// The number; 0 if it is not known.
    pub copies: usize,
    /// View in which the document last changed the number for later commits, or a database was
    /// removed.
    pub since: ViewNumber,
}

impl FleetState {
    /// Returns how many databases have each acknowledged commit of a group, if that was ever recorded.
    pub fn guaranteed_copies(&self, group: &GroupId) -> Option<CopyGuarantee> {
        self.copies.get(group).copied()
    }

    pub(super) fn record_copies(&mut self, command: &CopiesCommand) -> CommandOutcome {
        let CopiesCommand {
            group,
            copies,
            since,
        } = command;
        if let Some(guarantee) = self.copies.get_mut(group) {
            if guarantee.since != *since {
                return CommandOutcome::Refused(RefusalReason::Superseded);
            }
            guarantee.copies = guarantee.copies.max(*copies);
            return CommandOutcome::Done;
        }
        let document = self.view.document.as_deref();
        let copies = match policy_of(document, group).map(copies_of) {
            None => return CommandOutcome::Refused(RefusalReason::Unknown),
            // No commit of a group without a primary has been acknowledged.
            Some(copies) if !self.view.groups.contains_key(group) => copies,
            Some(_) => 0,
        };
        // Earlier program versions did not record copies, so instances have to confirm a later view.
        self.change(ViewChanges::of_group(group), |_| {});
        let guarantee = CopyGuarantee {
            copies,
            since: self.view.number,
        };
        self.copies.insert(group.clone(), guarantee);
        CommandOutcome::Done
    }

    /// Lowers the numbers for which a new document asks for fewer copies.
    pub(super) fn adjust_copies(&mut self, former: Option<&Document>) {
        let current = self.view.document.as_deref();
        for (group, guarantee) in &mut self.copies {
            let policy = policy_of(current, group);
            if policy == policy_of(former, group) {
                continue;
            }
            guarantee.since = self.view.number;
            // No commit is acknowledged without a document that lists the group.
            if let Some(policy) = policy {
                guarantee.copies = guarantee.copies.min(copies_of(policy));
            }
        }
    }

    /// Accounts for a database that was removed from a group with `remaining` other ones.
    pub(super) fn reduce_copies(&mut self, group: &GroupId, remaining: usize) {
        if let Some(guarantee) = self.copies.get_mut(group) {
            guarantee.copies = guarantee.copies.min(remaining);
            guarantee.since = self.view.number;
        }
    }
}

/// Returns how many databases have a commit that an instance acknowledges under a policy; 0 if the
/// instance does not count them.
fn copies_of(policy: CommitPolicy) -> usize {
    match policy {
        CommitPolicy::Replicas(replicas) => replicas + 1,
        CommitPolicy::Majority => 0,
    }
}

fn policy_of(document: Option<&Document>, group: &GroupId) -> Option<CommitPolicy> {
    Some(document?.groups.get(group)?.commit)
}
