//! Encoded updates of the view, computed once for all entries that hold the same earlier view.

#[cfg(test)]
mod tests;

use daisyseam_coord::fleet::{
    FleetState,
    ViewChanges, //
};
use daisyseam_model::{
    DocumentNumber,
    GroupId,
    InstanceId,
    UpstreamId,
    ViewNumber, //
};
use daisyseam_wire::{
    DocumentPatch,
    EncodedDocument,
    EncodedUpdate,
    WireGroup,
    WireInstance,
    WireUpstream,
    WireView, //
};
use std::collections::BTreeMap;

/// Updates to the newest view.
#[derive(Debug, Default)]
pub(super) struct ViewUpdates {
    /// The newest view when the updates were computed.
    number: ViewNumber,
    /// Encoded updates by the view that they start from; number 0 is the whole view.
    encoded: BTreeMap<ViewNumber, EncodedUpdate>,
    /// The document that the patches lead to.
    document: DocumentNumber,
    /// Encoded patches by the document that they start from; number 0 is the whole text.
    patches: BTreeMap<DocumentNumber, EncodedDocument>,
}

impl ViewUpdates {
    /// Returns the encoded update for an instance that has a given view; `None` if it has the newest
    /// one.
    pub(super) fn get(&mut self, state: &FleetState, held: ViewNumber) -> Option<EncodedUpdate> {
        let newest = state.view().number;
        if held == newest {
            return None;
        }
        if self.number != newest {
            self.number = newest;
            self.encoded.clear();
        }
        if let Some(known) = self.encoded.get(&held) {
            return Some(known.clone());
        }
        let changes = match held {
            ViewNumber(0) => None,
            held => state.changes_since(held),
        };
        let delta = changes.and_then(|changes| self.delta(state, held, &changes));
        let encoded = match delta {
            Some(delta) => delta,
            None if held.0 == 0 => {
                let document = self.patch(state, DocumentNumber(0));
                EncodedUpdate::new(document.as_ref(), &WireView::whole(state.view(), None))
            }
            None => self.get(state, ViewNumber(0))?,
        };
        self.encoded.insert(held, encoded.clone());
        Some(encoded)
    }

    fn delta(
        &mut self,
        state: &FleetState,
        held: ViewNumber,
        changes: &ViewChanges,
    ) -> Option<EncodedUpdate> {
        let view = state.view();
        let document = match changes.document {
            None => None,
            Some(change) => Some(self.patch(state, change.from)?),
        };
        let group = |name: &GroupId| match view.groups.get(name) {
            Some(group) => WireGroup::present(name.as_str(), group),
            None => WireGroup {
                name: name.to_string(),
                removed: true,
                ..WireGroup::default()
            },
        };
        let upstream = |name: &UpstreamId| match view.upstreams.get(name) {
            Some(upstream) => WireUpstream::present(name.as_str(), upstream),
            None => WireUpstream {
                name: name.to_string(),
                removed: true,
                ..WireUpstream::default()
            },
        };
        let instance = |name: &InstanceId| match view.instances.get(name) {
            Some(instance) => WireInstance::present(name.as_str(), instance),
            None => WireInstance {
                name: name.to_string(),
                removed: true,
                ..WireInstance::default()
            },
        };
        let others = WireView {
            number: view.number.0,
            since: held.0,
            document_number: view.document_number.0,
            document: None,
            groups: changes.groups.iter().map(group).collect(),
            upstreams: changes.upstreams.iter().map(upstream).collect(),
            instances: changes.instances.iter().map(instance).collect(),
            digest: 0,
            evacuated: view.evacuated.iter().map(ToString::to_string).collect(),
        };
        Some(EncodedUpdate::new(document.as_ref(), &others))
    }

    /// Returns the encoded patch from a document to the one in force, if the former's text is still
    /// kept.
    fn patch(&mut self, state: &FleetState, from: DocumentNumber) -> Option<EncodedDocument> {
        let documents = state.documents();
        let current = documents.current()?;
        if self.document != current.number {
            self.document = current.number;
            self.patches.clear();
        }
        if let Some(known) = self.patches.get(&from) {
            return Some(known.clone());
        }
        let patch = match from.0 {
            0 => DocumentPatch::whole(&current.text),
            _ => DocumentPatch::between(from, &documents.get(from)?.text, &current.text),
        };
        let encoded = EncodedDocument::new(patch);
        self.patches.insert(from, encoded.clone());
        Some(encoded)
    }
}
