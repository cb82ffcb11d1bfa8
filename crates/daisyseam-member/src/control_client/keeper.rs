//! Applies view updates and extends the lease on the view.

use crate::{
    ContactState,
    ControlContact,
    FleetObserver,
    HeldView,
    ViewCell, //
};
use daisyseam_model::{
    FleetView,
    ViewNumber, //
};
use daisyseam_runtime::{
    BootClock,
    ControlAddresses, //
};
use daisyseam_wire::{
    ControlMembers,
    ConvertError,
    WireView, //
};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};
use tokio::time::Instant;

/// Outcome of applying an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum UpdateOutcome {
    /// The view of the update, or a newer one, is in force.
    InForce,
    /// The update replies to a heartbeat that reported an earlier view than the one in force now.
    ///
    /// Nothing has changed, and a lease granted with the update must be ignored.
    Outdated,
}

/// Owns the view in force on this instance and the text of its document.
pub(super) struct ViewKeeper<O> {
    cell: ViewCell,
    observer: O,
    contact: ControlContact,
    view: Arc<FleetView>,
    document_text: String,
    digest: u64,
    needs_full_view: bool,
    sequence: u64,
    members_index: u64,
}

impl<O: FleetObserver> ViewKeeper<O> {
    pub(super) fn new(cell: ViewCell, observer: O) -> Self {
        Self {
            cell,
            observer,
            contact: ControlContact::new(Instant::now()),
            view: Arc::default(),
            document_text: String::new(),
            digest: 0,
            needs_full_view: false,
            sequence: 0,
            members_index: 0,
        }
    }

    /// Records that the leader answered, or a part of its answer arrived.
    pub(super) fn record_leader(&mut self, at: Instant) {
        let before = self.contact.state();
        let gap = self.contact.time_without_answer(Instant::now());
        self.contact.record_leader(at);
        self.publish_contact(before, gap);
    }

    /// Records that a control instance answered that it does not lead.
    pub(super) fn record_not_leader(&mut self) {
        let before = self.contact.state();
        let now = Instant::now();
        let gap = self.contact.time_without_answer(now);
        self.contact.record_not_leader(now);
        self.publish_contact(before, gap);
    }

    /// Records that a control instance did not answer, out of `known` instances; returns whether
    /// control has become silent.
    pub(super) fn record_no_answer(&mut self, target: SocketAddr, known: usize) -> bool {
        let before = self.contact.state();
        let now = Instant::now();
        self.contact.record_failure(now, target, known);
        self.publish_contact(before, self.contact.time_without_answer(now));
        self.contact.state() == ContactState::Silent && before != ContactState::Silent
    }

    fn publish_contact(&self, before: ContactState, gap: Duration) {
        let state = self.contact.state();
        if state == before {
            return;
        }
        let gap = gap.as_millis();
        match (before, state) {
            (_, ContactState::Silent) => {
                log::warn!("no control instance has answered for {gap} ms: control is silent");
            }
            (ContactState::Silent, _) => {
                log::warn!("control answers again after {gap} ms");
            }
            _ => {}
        }
        self.cell.set_contact(state);
    }

    /// Returns the view number to report: that of the view in force, or zero to request a full view.
    pub(super) fn reported_number(&self) -> ViewNumber {
        if self.needs_full_view {
            ViewNumber::default()
        } else {
            self.view.number
        }
    }

    /// Returns the sequence number of the next heartbeat, which increases across connections.
    pub(super) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Returns the log index of the known control membership, for the heartbeat.
    pub(super) fn members_index(&self) -> u64 {
        self.members_index
    }

    /// Records the addresses of the control members.
    pub(super) fn update_members(&mut self, known: &ControlAddresses, members: &ControlMembers) {
        let addresses = members.addresses.iter();
        known.learn(addresses.filter_map(|text| text.parse().ok()).collect());
        self.members_index = members.index;
    }

    /// Returns the digest that came with the view in force.
    pub(super) fn view_digest(&self) -> u64 {
        self.digest
    }

    /// Applies an update; once this returns, nothing on this instance acts on an earlier view.
    ///
    /// An update to a view that is not newer changes nothing.
    ///
    /// # Errors
    ///
    /// [`ConvertError`] if the update cannot be applied to the view in force, which is then unchanged.
    pub(super) async fn apply(&mut self, update: &WireView) -> Result<UpdateOutcome, ConvertError> {
        let current = self.view.number.0;
        if update.number <= current {
            self.needs_full_view = false;
            return Ok(UpdateOutcome::InForce);
        }
        if update.since != 0 && update.since < current {
            return Ok(UpdateOutcome::Outdated);
        }
        let applied = update.apply(&self.view, &self.document_text);
        self.needs_full_view = applied.is_err();
        let (view, text) = applied?;
        self.view = Arc::new(view);
        self.document_text = text;
        self.digest = update.digest;
        // The caller extends the lease afterwards if one was granted with the update.
        self.cell.replace(HeldView {
            view: Arc::clone(&self.view),
            lease_until: self.cell.held().lease_until,
        });
        self.observer.apply(&self.view).await;
        Ok(UpdateOutcome::InForce)
    }

    /// Extends the lease on the view in force.
    pub(super) fn extend_lease(&self, until: Instant) {
        let held = self.cell.held();
        self.cell.replace(HeldView {
            view: Arc::clone(&self.view),
            lease_until: held.lease_until.max(Some(until)),
        });
        if !held.is_valid() {
            match held.lease_until {
                Some(ended) => {
                    let gap = BootClock::now().saturating_duration_since(ended);
                    log::warn!(
                        "the lease on the view holds again after {} ms",
                        gap.as_millis()
                    );
                }
                None => log::warn!("the first lease on a view holds"),
            }
            self.observer.lease_begun();
        }
    }
}
