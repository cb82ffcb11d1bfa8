//! The view that this instance acts on and the lease on it.

use crate::ContactState;
use arc_swap::ArcSwap;
use daisyseam_model::{
    ErrorKind,
    FleetView, //
};
use daisyseam_runtime::{
    BootClock,
    TimerService, //
};
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};

/// Time after the end of the lease for which the document of a view may still be used.
const DOCUMENT_GRACE_PERIOD: Duration = Duration::from_millis(1_000);

/// A view and the time until which it may be acted on.
#[derive(Clone, Debug, Default)]
pub struct HeldView {
    /// The view.
    pub view: Arc<FleetView>,
    /// End of the lease by [`BootClock`]; `None` before the first lease.
    pub lease_until: Option<Instant>,
}

impl HeldView {
    /// Returns whether the lease is valid now; time during which the machine was suspended counts.
    pub fn is_valid(&self) -> bool {
        let until = self.lease_until;
        until.is_some_and(|until| BootClock::now() < until)
    }

    /// Returns whether requests may still be decided by the document of this view.
    ///
    /// The document may be used slightly longer than the lease is valid. After that, a newer document
    /// may have been acknowledged long ago.
    pub fn is_current(&self) -> bool {
        let until = self.lease_until;
        until.is_some_and(|until| BootClock::now() < until + DOCUMENT_GRACE_PERIOD)
    }
}

/// Shares the held view between all parts of the instance; reads take no lock.
#[derive(Clone)]
pub struct ViewCell {
    held: Arc<ArcSwap<HeldView>>,
    contact: Arc<ArcSwap<ContactState>>,
    changes: watch::Sender<()>,
}

impl ViewCell {
    /// Creates a cell with an empty view and no lease.
    pub fn new() -> Self {
        Self {
            held: Arc::default(),
            contact: Arc::default(),
            changes: watch::Sender::new(()),
        }
    }

    /// Returns the held view, whether or not its lease is valid.
    pub fn held(&self) -> Arc<HeldView> {
        self.held.load_full()
    }

    /// Returns the view if its lease is valid.
    ///
    /// # Errors
    ///
    /// `NoView` if the lease is not valid.
    pub fn valid(&self) -> Result<Arc<FleetView>, ErrorKind> {
        let held = self.held.load();
        if held.is_valid() {
            Ok(Arc::clone(&held.view))
        } else {
            Err(ErrorKind::NoView)
        }
    }

    /// Returns whether control instances answer this instance.
    pub fn contact(&self) -> ContactState {
        **self.contact.load()
    }

    /// Sets whether control instances answer this instance, and notifies the subscribers.
    pub fn set_contact(&self, contact: ContactState) {
        self.contact.store(Arc::new(contact));
        self.changes.send_replace(());
    }

    /// Returns whether there is no valid lease, and none can be expected because control is silent.
    ///
    /// Requests that need a lease are then refused without a wait, so that callers try an instance
    /// that has one.
    pub fn is_cut_off(&self) -> bool {
        self.contact() == ContactState::Silent && !self.held.load().is_valid()
    }

    /// Waits until there is no valid lease and control is silent.
    pub async fn cut_off(&self, timer: &TimerService) {
        let mut changes = self.subscribe();
        while !self.is_cut_off() {
            let until = self.held.load().lease_until;
            // The cell owns the sender, so the waits cannot fail.
            match until.filter(|_| self.contact() == ContactState::Silent) {
                Some(until) => {
                    let until = BootClock::to_monotonic(until);
                    let _ = timer.within(until, changes.changed()).await;
                }
                None => {
                    let _ = changes.changed().await;
                }
            }
        }
    }

    /// Waits until the document of the view is current.
    ///
    /// # Errors
    ///
    /// `NoView` if it is still not current at `until`, or if control is silent.
    pub async fn wait_until_current(
        &self,
        timer: &TimerService,
        until: Instant,
    ) -> Result<(), ErrorKind> {
        let current = self.wait_for(timer, until, HeldView::is_current).await;
        current.map(|_| ())
    }

    /// Waits until the held view meets a condition, and returns it.
    ///
    /// # Errors
    ///
    /// `NoView` if the condition is still not met at `until`, or if there is no valid lease and control
    /// is silent.
    pub(crate) async fn wait_for(
        &self,
        timer: &TimerService,
        until: Instant,
        condition: fn(&HeldView) -> bool,
    ) -> Result<Arc<HeldView>, ErrorKind> {
        let mut changes = self.subscribe();
        loop {
            let held = self.held();
            if condition(&held) {
                return Ok(held);
            }
            if self.is_cut_off() {
                return Err(ErrorKind::NoView);
            }
            // The cell owns the sender, so the wait can fail only by timing out.
            let changed = timer.within(until, changes.changed()).await;
            changed
                .ok_or(ErrorKind::NoView)?
                .map_err(|_| ErrorKind::NoView)?;
        }
    }

    /// Replaces the held view.
    ///
    /// # Panics
    ///
    /// If the new view has a lower number than the held one.
    pub fn replace(&self, next: HeldView) {
        let held = self.held.load();
        assert!(
            next.view.number >= held.view.number,
            "view number decreased from {:?} to {:?}",
            held.view.number,
            next.view.number
        );
        self.held.store(Arc::new(next));
        self.changes.send_replace(());
    }

    /// Returns a receiver that is notified of every replacement.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }
}

impl Default for ViewCell {
    fn default() -> Self {
        Self::new()
    }
}
