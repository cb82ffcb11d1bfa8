//! The leader's lease, as seen by the calls that the leader has in progress.
//!
//! A call that outlives the leader that decided it could contradict the next leader.

#[cfg(test)]
mod tests;

use daisyseam_runtime::{
    BootClock,
    TimerService, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};

/// The lease of a leader on its term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct TermLease {
    /// Term of the log, which is also the fencing token of the leader's calls.
    pub(crate) term: u64,
    /// When the lease ends, by [`BootClock`], unless it is renewed before.
    pub(crate) until: Instant,
}

/// The lease under which a call was decided.
#[derive(Clone)]
pub struct CallLease {
    term: u64,
    current: watch::Receiver<Option<TermLease>>,
    timer: TimerService,
}

impl CallLease {
    pub(crate) fn new(
        term: u64,
        current: watch::Receiver<Option<TermLease>>,
        timer: TimerService,
    ) -> Self {
        Self {
            term,
            current,
            timer,
        }
    }

    /// Returns a lease that ends at the given time of [`BootClock`] and is not renewed.
    pub fn fixed(until: Instant, timer: TimerService) -> Self {
        let (_, current) = watch::channel(Some(TermLease { term: 0, until }));
        Self::new(0, current, timer)
    }

    /// Returns whether the leader that decided the call still holds its lease. To be asked last
    /// before anything is sent that changes a database.
    pub fn holds(&self) -> bool {
        self.until().is_some_and(|until| BootClock::now() < until)
    }

    /// Waits until the lease has ended.
    pub async fn ended(&mut self) {
        while let Some(until) = self.until()
            && BootClock::now() < until
        {
            let due = self.timer.at(BootClock::to_monotonic(until));
            tokio::select! {
                () = due => {}
                changed = self.current.changed() => {
                    if changed.is_err() {
                        // Nobody renews the lease any more.
                        self.timer.at(BootClock::to_monotonic(until)).await;
                    }
                }
            }
        }
    }

    fn until(&self) -> Option<Instant> {
        let lease = *self.current.borrow();
        lease
            .filter(|lease| lease.term == self.term)
            .map(|lease| lease.until)
    }
}
