//! The view that this instance acts on and the lease on it.

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

/// Time after the end of the lease for which the document of a view still counts.
const DOCUMENT_GRACE: Duration = Duration::from_millis(1_000);

/// A view and the time until which it may be acted on.
#[derive(Clone, Debug, Default)]
pub struct HeldView {
    /// The view.
    pub view: Arc<FleetView>,
    /// End of the lease by [`BootClock`]; none before the first one.
    pub lease_until: Option<Instant>,
}

impl HeldView {
    /// Returns whether the lease holds at this moment; time spent suspended counts.
    pub fn is_valid(&self) -> bool {
        let until = self.lease_until;
        until.is_some_and(|until| BootClock::now() < until)
    }

    /// Returns whether the document may still decide on requests, which it may a little longer
    /// than the lease holds: after that a newer one may have been acknowledged for long.
    pub fn is_current(&self) -> bool {
        let until = self.lease_until;
        until.is_some_and(|until| BootClock::now() < until + DOCUMENT_GRACE)
    }
}

/// Shares the held view between all parts of the instance; reads take no lock.
#[derive(Clone)]
pub struct ViewCell {
    held: Arc<ArcSwap<HeldView>>,
    changes: watch::Sender<()>,
}

impl ViewCell {
    /// Makes a cell that holds no view.
    pub fn new() -> Self {
        Self {
            held: Arc::default(),
            changes: watch::Sender::new(()),
        }
    }

    /// Returns what is held, valid or not.
    pub fn held(&self) -> Arc<HeldView> {
        self.held.load_full()
    }

    /// Returns the view if its lease holds.
    ///
    /// # Errors
    ///
    /// `NoView` when it does not.
    pub fn valid(&self) -> Result<Arc<FleetView>, ErrorKind> {
        let held = self.held.load();
        if held.is_valid() {
            Ok(Arc::clone(&held.view))
        } else {
            Err(ErrorKind::NoView)
        }
    }

    /// Waits until the document of the view is current.
    ///
    /// # Errors
    ///
    /// `NoView` when it is not by `until`.
    pub async fn current(&self, timer: &TimerService, until: Instant) -> Result<(), ErrorKind> {
        let current = self.wait_for(timer, until, HeldView::is_current).await;
        current.map(|_| ())
    }

    /// Waits until what is held meets a condition, and returns it.
    ///
    /// # Errors
    ///
    /// `NoView` when it does not by `until`.
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
            // The sender lives in the cell, so only the time can end the wait.
            let changed = timer.within(until, changes.changed()).await;
            changed
                .ok_or(ErrorKind::NoView)?
                .map_err(|_| ErrorKind::NoView)?;
        }
    }

    /// Replaces what is held.
    ///
    /// # Panics
    ///
    /// When the number of the view would go back.
    pub fn replace(&self, next: HeldView) {
        let held = self.held.load();
        assert!(
            next.view.number >= held.view.number,
            "the view went back from {:?} to {:?}",
            held.view.number,
            next.view.number
        );
        self.held.store(Arc::new(next));
        self.changes.send_replace(());
    }

    /// Returns a receiver that is woken at every replacement.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }
}

impl Default for ViewCell {
    fn default() -> Self {
        Self::new()
    }
}
