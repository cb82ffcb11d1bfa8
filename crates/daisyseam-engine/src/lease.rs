//! How long this instance has been without a lease on the view.

use daisyseam_runtime::TimerService;
use std::time::Duration;
use tokio::{
    sync::watch,
    time::Instant, //
};

/// Time without a lease after which idle sessions are closed and no new ones are let in.
const GIVE_UP_AFTER: Duration = Duration::from_millis(500);

/// Since when there has been no lease.
#[derive(Debug, Default)]
pub(crate) struct LeaseLoss {
    since: watch::Sender<Option<Instant>>,
}

impl LeaseLoss {
    /// Notes that a lease holds again.
    pub(crate) fn begun(&self) {
        self.since.send_replace(None);
    }

    /// Notes that the lease has run out.
    pub(crate) fn ended(&self) {
        self.since.send_if_modified(|since| {
            let news = since.is_none();
            since.get_or_insert_with(Instant::now);
            news
        });
    }

    /// Returns whether there has been no lease for so long that callers are better off elsewhere.
    pub(crate) fn is_given_up(&self) -> bool {
        let since = *self.since.borrow();
        since.is_some_and(|since| since.elapsed() >= GIVE_UP_AFTER)
    }

    /// Waits until there has been no lease for so long that callers are better off elsewhere.
    pub(crate) async fn given_up(&self, timer: &TimerService) {
        let mut lost = self.since.subscribe();
        loop {
            let since = lost.wait_for(Option::is_some).await;
            // The sender lives in `self`, so waiting cannot fail.
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
