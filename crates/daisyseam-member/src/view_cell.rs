//! The view that this instance acts on and the lease on it.

use arc_swap::ArcSwap;
use daisyseam_model::{
    ErrorKind,
    FleetView, //
};
use daisyseam_runtime::BootClock;
use std::sync::Arc;
use tokio::{
    sync::watch,
    time::Instant, //
};

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
