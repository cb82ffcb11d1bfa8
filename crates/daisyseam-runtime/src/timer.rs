//! The timer service; no other code in the system sleeps.

use parking_lot::Mutex;
use std::{
    collections::BTreeMap,
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{
        Context,
        Poll,
        Waker,
        ready, //
    },
    time::Duration, //
};
use tokio::{
    sync::Notify,
    task::{
        AbortHandle,
        coop::poll_proceed, //
    },
    time::{
        Instant,
        sleep_until, //
    }, //
};

/// Creates futures that become ready at a given time.
///
/// One task of the runtime sleeps for all of them. When the runtime's clock is paused, the service
/// uses its virtual time.
#[derive(Clone)]
pub struct TimerService {
    shared: Arc<TimerShared>,
}

impl TimerService {
    /// Starts the service on the current runtime; it stops when the last handle and the last future
    /// are dropped.
    pub fn start() -> Self {
        let queue = Arc::new(TimerQueue::default());
        let task = tokio::spawn(drive(Arc::clone(&queue)));
        let shared = TimerShared {
            queue,
            driver: task.abort_handle(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the current time of the monotonic clock.
    pub fn now(&self) -> Instant {
        Instant::now()
    }

    /// Returns a future that becomes ready after a delay.
    pub fn after(&self, delay: Duration) -> TimerFuture {
        self.at(Instant::now() + delay)
    }

    /// Returns a future that becomes ready at a given time.
    pub fn at(&self, moment: Instant) -> TimerFuture {
        TimerFuture {
            shared: Arc::clone(&self.shared),
            moment,
            number: None,
        }
    }

    /// Waits for a future until a deadline; returns `None` if the deadline passes first.
    pub async fn within<F: Future>(&self, moment: Instant, future: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.at(moment) => None,
        }
    }
}

/// A future that becomes ready at a given time; dropping it removes it from the queue.
pub struct TimerFuture {
    shared: Arc<TimerShared>,
    moment: Instant,
    number: Option<u64>,
}

impl TimerFuture {
    /// Returns the time at which it becomes ready.
    pub fn moment(&self) -> Instant {
        self.moment
    }
}

impl Future for TimerFuture {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        // The cooperative budget makes a loop of waits whose time has passed yield to other tasks.
        let budget = ready!(poll_proceed(context));
        if Instant::now() >= self.moment {
            budget.made_progress();
            return Poll::Ready(());
        }
        let number = self
            .shared
            .queue
            .insert(self.moment, self.number, context.waker().clone());
        self.number = Some(number);
        Poll::Pending
    }
}

impl Drop for TimerFuture {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            self.shared.queue.remove(self.moment, number);
        }
    }
}

struct TimerShared {
    queue: Arc<TimerQueue>,
    driver: AbortHandle,
}

impl Drop for TimerShared {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

#[derive(Default)]
struct TimerQueue {
    waiting: Mutex<WaitingTimers>,
    /// Notified when a new timer becomes the earliest one.
    earliest_changed: Notify,
}

#[derive(Default)]
struct WaitingTimers {
    wakers: BTreeMap<(Instant, u64), Waker>,
    next_number: u64,
}

impl TimerQueue {
    fn insert(&self, moment: Instant, number: Option<u64>, waker: Waker) -> u64 {
        let mut waiting = self.waiting.lock();
        let number = number.unwrap_or_else(|| {
            waiting.next_number += 1;
            waiting.next_number
        });
        let first = waiting.wakers.keys().next().copied();
        waiting.wakers.insert((moment, number), waker);
        if first.is_none_or(|first| (moment, number) < first) {
            self.earliest_changed.notify_one();
        }
        number
    }

    fn remove(&self, moment: Instant, number: u64) {
        self.waiting.lock().wakers.remove(&(moment, number));
    }

    /// Removes the timers that are due; returns their wakers and the time of the next timer.
    fn take_due(&self, now: Instant) -> (Vec<Waker>, Option<Instant>) {
        let mut waiting = self.waiting.lock();
        let later = waiting.wakers.split_off(&(now, u64::MAX));
        let due = std::mem::replace(&mut waiting.wakers, later);
        let next = waiting.wakers.keys().next().map(|(moment, _)| *moment);
        (due.into_values().collect(), next)
    }
}

/// Wakes timers when they become due.
async fn drive(queue: Arc<TimerQueue>) {
    loop {
        let (due, next) = queue.take_due(Instant::now());
        for waker in due {
            waker.wake();
        }
        match next {
            Some(moment) => tokio::select! {
                () = sleep_until(moment) => {}
                () = queue.earliest_changed.notified() => {}
            },
            None => queue.earliest_changed.notified().await,
        }
    }
}
