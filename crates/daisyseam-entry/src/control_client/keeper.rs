//! Puts views in force and confirms them once nothing older is acted on.

use crate::{
    HeldView,
    ViewCell,
    holder::HolderTable, //
};
use daisyseam_model::{
    FleetView,
    ViewNumber, //
};
use daisyseam_wire::{
    ConvertError,
    WireView, //
};
use std::{
    collections::VecDeque,
    sync::Arc, //
};
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::Instant, //
};

/// A view with the text of its document, from which patches start.
#[derive(Clone, Default)]
struct ViewBase {
    view: Arc<FleetView>,
    text: Arc<str>,
    digest: u64,
}

/// Owns the view that is in force here and the newest one that is confirmed.
pub(super) struct ViewKeeper {
    cell: ViewCell,
    table: HolderTable,
    held: ViewBase,
    confirmed: ViewBase,
    pending: VecDeque<PendingView>,
    whole_wanted: bool,
    numbers: watch::Sender<ViewNumber>,
    heartbeats: u64,
}

/// A view in force whose predecessors are still acted on somewhere here.
struct PendingView {
    base: ViewBase,
    finished: JoinHandle<()>,
}

impl ViewKeeper {
    pub(super) fn new(cell: ViewCell, table: HolderTable) -> Self {
        Self {
            cell,
            table,
            held: ViewBase::default(),
            confirmed: ViewBase::default(),
            pending: VecDeque::new(),
            whole_wanted: false,
            numbers: watch::Sender::default(),
            heartbeats: 0,
        }
    }

    /// Returns a receiver of the confirmed number.
    pub(super) fn subscribe(&self) -> watch::Receiver<ViewNumber> {
        self.numbers.subscribe()
    }

    /// Counts a heartbeat; the count goes on over all connections.
    pub(super) fn next_heartbeat(&mut self) -> u64 {
        self.heartbeats += 1;
        self.heartbeats
    }

    /// Returns the number of the newest view that is confirmed; zero asks for a whole view.
    pub(super) fn named(&self) -> ViewNumber {
        if self.whole_wanted {
            ViewNumber::default()
        } else {
            self.confirmed.view.number
        }
    }

    /// Returns the digest that came with it.
    pub(super) fn digest(&self) -> u64 {
        self.confirmed.digest
    }

    /// Puts an update in force; one that is not newer changes nothing.
    ///
    /// # Errors
    ///
    /// [`ConvertError`] when it does not fit; nothing is changed then.
    pub(super) async fn apply(&mut self, update: &WireView) -> Result<(), ConvertError> {
        if update.number <= self.held.view.number.0 {
            return Ok(());
        }
        let from_confirmed = update.since == self.confirmed.view.number.0;
        let base = if from_confirmed {
            &self.confirmed
        } else {
            &self.held
        };
        let applied = update.apply(&base.view, &base.text);
        self.whole_wanted = applied.is_err();
        let (view, text) = applied?;
        self.held = ViewBase {
            view: Arc::new(view),
            text: text.into(),
            digest: update.digest,
        };
        // The lease that came with the view is set by the caller.
        self.cell.replace(HeldView {
            view: Arc::clone(&self.held.view),
            lease_until: self.cell.held().lease_until,
        });
        let hand_over = self.table.apply(&self.held.view).await;
        let finished = tokio::spawn(hand_over.finish());
        self.pending.push_back(PendingView {
            base: self.held.clone(),
            finished,
        });
        Ok(())
    }

    /// Extends the lease on the view in force.
    pub(super) fn extend(&self, until: Instant) {
        let held = self.cell.held();
        self.cell.replace(HeldView {
            view: Arc::clone(&self.held.view),
            lease_until: held.lease_until.max(Some(until)),
        });
        if !held.is_valid() {
            self.table.wake_all();
        }
    }

    /// Waits until the next view in force can be confirmed, and confirms it.
    ///
    /// Dropping the future loses nothing. It never ends while there is nothing to confirm.
    pub(super) async fn confirm_next(&mut self) {
        let Some(pending) = self.pending.front_mut() else {
            return std::future::pending().await;
        };
        if let Err(error) = (&mut pending.finished).await {
            log::error!("a hand-over ended early: {error}");
        }
        if let Some(pending) = self.pending.pop_front() {
            self.confirmed = pending.base;
            self.numbers.send_replace(self.confirmed.view.number);
        }
    }
}
