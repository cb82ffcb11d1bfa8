//! What a stand-in can be told to do while it runs.

use parking_lot::Mutex;
use rand::Rng;
use std::{
    ops::RangeInclusive,
    sync::atomic::{
        AtomicBool,
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};
use tokio::sync::watch;

/// Settings that may change while a stand-in runs.
pub struct StandInOptions {
    service_us: AtomicU64,
    answer_delay_us: AtomicU64,
    open_delay_us: AtomicU64,
    ignores_cancel: AtomicBool,
    leaving: AtomicBool,
    lag: Mutex<RangeInclusive<Duration>>,
    stalled: watch::Sender<bool>,
    cuts: watch::Sender<u64>,
}

impl StandInOptions {
    pub(super) fn new(
        open_delay: Duration,
        service: Duration,
        lag: RangeInclusive<Duration>,
    ) -> Self {
        Self {
            service_us: AtomicU64::new(micros(service)),
            answer_delay_us: AtomicU64::new(0),
            open_delay_us: AtomicU64::new(micros(open_delay)),
            ignores_cancel: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            lag: Mutex::new(lag),
            stalled: watch::Sender::new(false),
            cuts: watch::Sender::new(0),
        }
    }

    /// Sets the time that each statement takes.
    pub fn set_service_time(&self, time: Duration) {
        self.service_us.store(micros(time), Ordering::Relaxed);
    }

    /// Sets the time by which each answer is held back after its statement has run.
    pub fn set_answer_delay(&self, delay: Duration) {
        self.answer_delay_us.store(micros(delay), Ordering::Relaxed);
    }

    /// Sets whether cancel requests are passed over.
    pub fn set_ignores_cancel(&self, ignores: bool) {
        self.ignores_cancel.store(ignores, Ordering::Relaxed);
    }

    /// Sets the bounds between which each record's way to this replica takes.
    pub fn set_lag(&self, lag: RangeInclusive<Duration>) {
        *self.lag.lock() = lag;
    }

    /// Sets whether it answers nothing at all, neither statements nor admin calls.
    pub fn set_stalled(&self, stalled: bool) {
        self.stalled.send_replace(stalled);
    }

    /// Closes every connection of clients.
    pub fn cut_links(&self) {
        self.cuts.send_modify(|cuts| *cuts += 1);
    }

    /// Says in its announcements that it is leaving.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    pub(super) fn service_time(&self) -> Duration {
        Duration::from_micros(self.service_us.load(Ordering::Relaxed))
    }

    pub(super) fn answer_delay(&self) -> Duration {
        Duration::from_micros(self.answer_delay_us.load(Ordering::Relaxed))
    }

    pub(super) fn open_delay(&self) -> Duration {
        Duration::from_micros(self.open_delay_us.load(Ordering::Relaxed))
    }

    pub(super) fn ignores_cancel(&self) -> bool {
        self.ignores_cancel.load(Ordering::Relaxed)
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    pub(super) fn draw_lag(&self, random: &mut impl Rng) -> Duration {
        random.random_range(self.lag.lock().clone())
    }

    pub(super) async fn unstalled(&self) {
        let mut stalled = self.stalled.subscribe();
        // The sender lives in `self`, so waiting cannot fail.
        let _ = stalled.wait_for(|stalled| !stalled).await;
    }

    pub(super) fn cuts(&self) -> watch::Receiver<u64> {
        self.cuts.subscribe()
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
