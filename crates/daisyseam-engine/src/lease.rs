//! Tracks how long this instance has been without a lease on the view.

use daisyseam_runtime::TimerService;
use std::time::Duration;
use tokio::{
    sync::watch,
    time::Instant, //
};

/// Time without a lease after which idle sessions are closed and new ones are refused.
const GIVE_UP_AFTER: Duration = Duration::from_millis(500);

/// Records since when there has been no lease.
#[derive(Debug, Default)]
pub(crate) struct LeaseLoss {
    since: watch::Sender<Option<Instant>>,
}

impl LeaseLoss {
    /// Records that there is a valid lease again.
    pub(crate) fn begun(&self) {
        self.since.send_replace(None);
    }

    /// Records that the lease has expired.
    pub(crate) fn ended(&self) {
        self.since.send_if_modified(|since| {
            let news = since.is_none();
            since.get_or_insert_with(Instant::now);
            news
        });
    }

    /// Returns whether the lease has been missing for so long that callers should use another
    /// instance.
    pub(crate) fn is_given_up(&self) -> bool {
        let since = *self.since.borrow();
        since.is_some_and(|since| since.elapsed() >= GIVE_UP_AFTER)
    }

    /// Waits until the lease has been missing for so long that callers should use another instance.
    pub(crate) async fn given_up(&self, timer: &TimerService) {
        let mut lost = self.since.subscribe();
        loop {
            let since = lost.wait_for(Option::is_some).await;
            // `self` owns the sender, so this cannot fail.
            let Some(since) = since.ok().and_then(|since| *since) else {
                return std::future::pending().await;
            };
            let back = lost.wait_for(Option::is_none);
            if timer.within(since + GIVE_UP_AFTER, back).await.is_none() {
                return;
            }
        }
    }
}
