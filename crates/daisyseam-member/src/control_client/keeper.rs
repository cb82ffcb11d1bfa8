//! Puts views in force and keeps the lease on them.

use crate::{
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
use std::sync::Arc;
use tokio::time::Instant;

/// What became of an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum UpdateEnd {
    /// Its view, or a newer one, is in force.
    InForce,
    /// It answers a heartbeat that named an earlier view than is in force by now; nothing changed,
    /// and a lease that came with it is of no use.
    Crossed,
}

/// Owns the view that is in force here, with the text of its document.
pub(super) struct ViewKeeper<O> {
    cell: ViewCell,
    observer: O,
    view: Arc<FleetView>,
    text: String,
    digest: u64,
    whole_wanted: bool,
    sequence: u64,
    members: u64,
}

impl<O: FleetObserver> ViewKeeper<O> {
    pub(super) fn new(cell: ViewCell, observer: O) -> Self {
        Self {
            cell,
            observer,
            view: Arc::default(),
            text: String::new(),
            digest: 0,
            whole_wanted: false,
            sequence: 0,
            members: 0,
        }
    }

    /// Returns the number of the view in force; zero asks for a whole view.
    pub(super) fn named(&self) -> ViewNumber {
        if self.whole_wanted {
            ViewNumber::default()
        } else {
            self.view.number
        }
    }

    /// Returns the number of the next heartbeat, counted over all connections.
    pub(super) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Returns which members of control are known, for the heartbeat.
    pub(super) fn members_known(&self) -> u64 {
        self.members
    }

    /// Takes the members of control in.
    pub(super) fn learn_members(&mut self, known: &ControlAddresses, members: &ControlMembers) {
        let addresses = members.addresses.iter();
        known.learn(addresses.filter_map(|text| text.parse().ok()).collect());
        self.members = members.index;
    }

    /// Returns the digest that came with the view in force.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    /// Puts an update in force; when it returns, nothing here acts on an earlier view.
    ///
    /// An update that is not newer changes nothing.
    ///
    /// # Errors
    ///
    /// [`ConvertError`] when it does not fit; nothing is changed then.
    pub(super) async fn apply(&mut self, update: &WireView) -> Result<UpdateEnd, ConvertError> {
        let held = self.view.number.0;
        if update.number <= held {
            self.whole_wanted = false;
            return Ok(UpdateEnd::InForce);
        }
        if update.since != 0 && update.since < held {
            return Ok(UpdateEnd::Crossed);
        }
        let applied = update.apply(&self.view, &self.text);
        self.whole_wanted = applied.is_err();
        let (view, text) = applied?;
        self.view = Arc::new(view);
        self.text = text;
        self.digest = update.digest;
        // The lease that came with the view is set by the caller.
        self.cell.replace(HeldView {
            view: Arc::clone(&self.view),
            lease_until: self.cell.held().lease_until,
        });
        self.observer.apply(&self.view).await;
        Ok(UpdateEnd::InForce)
    }

    /// Extends the lease on the view in force.
    pub(super) fn extend(&self, until: Instant) {
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
