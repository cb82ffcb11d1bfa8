//! Changes between two views.

use daisyseam_model::{
    DocumentNumber,
    GroupId,
    InstanceId,
    UpstreamId,
    ViewNumber, //
};
use std::collections::{
    BTreeSet,
    VecDeque, //
};

/// Number of views whose changes are kept.
const CHANGE_HISTORY_LENGTH: usize = 1_024;

/// Names of the objects that changed between two views.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ViewChanges {
    /// Changed groups.
    pub groups: BTreeSet<GroupId>,
    /// Changed databases.
    pub upstreams: BTreeSet<UpstreamId>,
    /// Changed instances.
    pub instances: BTreeSet<InstanceId>,
    /// The change of the document, if it was replaced.
    pub document: Option<DocumentChange>,
}

/// Replacement of the document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DocumentChange {
    /// Number of the replaced document; 0 for none.
    pub from: DocumentNumber,
}

impl ViewChanges {
    fn add(&mut self, later: &Self) {
        self.groups.extend(later.groups.iter().cloned());
        self.upstreams.extend(later.upstreams.iter().cloned());
        self.instances.extend(later.instances.iter().cloned());
        self.document = self.document.or(later.document);
    }

    pub(super) fn of_group(group: &GroupId) -> Self {
        Self {
            groups: BTreeSet::from([group.clone()]),
            ..Self::default()
        }
    }

    pub(super) fn of_upstream(upstream: &UpstreamId) -> Self {
        Self {
            upstreams: BTreeSet::from([upstream.clone()]),
            ..Self::default()
        }
    }

    pub(super) fn of_instance(instance: &InstanceId) -> Self {
        Self {
            instances: BTreeSet::from([instance.clone()]),
            ..Self::default()
        }
    }

    pub(super) fn of_document(from: DocumentNumber) -> Self {
        Self {
            document: Some(DocumentChange { from }),
            ..Self::default()
        }
    }
}

/// Changes of the most recent views, one element per view.
#[derive(Clone, Debug, Default)]
pub(super) struct ChangeHistory {
    changes: VecDeque<ViewChanges>,
}

impl ChangeHistory {
    pub(super) fn push(&mut self, changes: ViewChanges) {
        self.changes.push_back(changes);
        if self.changes.len() > CHANGE_HISTORY_LENGTH {
            self.changes.pop_front();
        }
    }

    /// Returns the changes since a view, if the history reaches back to it.
    pub(super) fn since(&self, held: ViewNumber, now: ViewNumber) -> Option<ViewChanges> {
        let missing = now.0.checked_sub(held.0)?;
        let missing = usize::try_from(missing).ok()?;
        let first = self.changes.len().checked_sub(missing)?;
        let mut sum = ViewChanges::default();
        for changes in self.changes.range(first..) {
            sum.add(changes);
        }
        Some(sum)
    }
}
