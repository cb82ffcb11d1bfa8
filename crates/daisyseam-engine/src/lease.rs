//! Tracks how long this instance has been without a lease on the view.

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

    /// Returns whether the lease has been missing for so long that callers should use another
    /// instance.
    pub(crate) fn is_grace_over(&self) -> bool {
        let since = *self.since.borrow();
        since.is_some_and(|since| since.elapsed() >= LEASE_LOSS_GRACE)
    }

    /// Waits until the lease has been missing for so long that callers should use another instance.
    pub(crate) async fn grace_over(&self, timer: &TimerService) {
        let mut lost = self.since.subscribe();
        loop {
            let since = lost.wait_for(Option::is_some).await;
            // `self` owns the sender, so this cannot fail.
            let Some(since) = since.ok().and_then(|since| *since) else {
                return std::future::pending().await;
            };
            let restored = lost.wait_for(Option::is_none);
            if timer
                .within(since + LEASE_LOSS_GRACE, restored)
                .await
                .is_none()
            {
                return;
            }
        }
    }
}
