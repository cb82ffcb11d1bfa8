//! Tracks how long this instance has been without a lease on the view.

use daisyseam_member::ViewCell;
use daisyseam_runtime::TimerService;
use std::time::Duration;
use tokio::{
    sync::watch,
    time::Instant, //
};

/// Time without a lease after which idle sessions are closed and new ones are refused.
const LEASE_LOSS_GRACE: Duration = Duration::from_millis(500);

/// Records since when there has been no lease.
#[derive(Debug, Default)]
pub(crate) struct LeaseLoss {
    since: watch::Sender<Option<Instant>>,
}

impl LeaseLoss {
    /// Records that there is a valid lease again.
    pub(crate) fn lease_begun(&self) {
        self.since.send_replace(None);
    }

    /// Records that the lease has expired.
    pub(crate) fn lease_ended(&self) {
        self.since.send_if_modified(|since| {
            let changed = since.is_none();
            since.get_or_insert_with(Instant::now);
            changed
        });
    }

    /// Returns whether callers should use another instance: the lease has been missing for some time,
    /// or control is silent, so that no lease can be expected.
    pub(crate) fn is_grace_over(&self, cell: &ViewCell) -> bool {
        let since = *self.since.borrow();
        let is_over = since.is_some_and(|since| since.elapsed() >= LEASE_LOSS_GRACE);
        is_over || cell.is_cut_off()
    }

    /// Waits until callers should use another instance.
    pub(crate) async fn grace_over(&self, cell: &ViewCell, timer: &TimerService) {
        let mut lost = self.since.subscribe();
        loop {
            let since = lost.wait_for(Option::is_some).await;
            // `self` owns the sender, so this cannot fail.
            let Some(since) = since.ok().and_then(|since| *since) else {
                return std::future::pending().await;
            };
            let restored = lost.wait_for(Option::is_none);
            // The cell is only followed without a lease, because each reply of control changes it and
            // would wake all idle sessions.
            tokio::select! {
                biased;
                restored = timer.within(since + LEASE_LOSS_GRACE, restored) => {
                    if restored.is_none() {
                        return;
                    }
                }
                () = cell.cut_off(timer) => return,
            }
        }
    }
}
