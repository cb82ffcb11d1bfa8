//! The one timer service that parts subscribe to; nothing else in the system sleeps.

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

/// Hands out tickets that become ready at their time.
///
/// One task of the runtime sleeps for all of them. With the runtime's clock paused, time is
/// virtual here too.
#[derive(Clone)]
pub struct TimerService {
    shared: Arc<TimerShared>,
}

impl TimerService {
    /// Starts the service on the current runtime; it ends with the last handle.
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

    /// Returns the present moment on the monotonic clock.
    pub fn now(&self) -> Instant {
        Instant::now()
    }

    /// Returns a ticket that is ready after a delay.
    pub fn after(&self, delay: Duration) -> TimerTicket {
        self.at(Instant::now() + delay)
    }

    /// Returns a ticket that is ready at a moment.
    pub fn at(&self, moment: Instant) -> TimerTicket {
        TimerTicket {
            shared: Arc::clone(&self.shared),
            moment,
            number: None,
        }
    }

    /// Waits for a future, but not past a moment; returns nothing when the time is over.
    pub async fn within<F: Future>(&self, moment: Instant, future: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.at(moment) => None,
        }
    }
}

/// A future that is ready at its moment; dropping it takes it off the queue.
pub struct TimerTicket {
    shared: Arc<TimerShared>,
    moment: Instant,
    number: Option<u64>,
}

impl TimerTicket {
    /// Returns the moment at which it is ready.
    pub fn moment(&self) -> Instant {
        self.moment
    }
}

impl Future for TimerTicket {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        // A loop of waits that are over at once gives way to other tasks all the same.
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

impl Drop for TimerTicket {
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
    waiting: Mutex<WaitingTickets>,
    earlier: Notify,
}

#[derive(Default)]
struct WaitingTickets {
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
            self.earlier.notify_one();
        }
        number
    }

    fn remove(&self, moment: Instant, number: u64) {
        self.waiting.lock().wakers.remove(&(moment, number));
    }

    fn take_due(&self, now: Instant) -> (Vec<Waker>, Option<Instant>) {
        let mut waiting = self.waiting.lock();
        let later = waiting.wakers.split_off(&(now, u64::MAX));
        let due = std::mem::replace(&mut waiting.wakers, later);
        let next = waiting.wakers.keys().next().map(|(moment, _)| *moment);
        (due.into_values().collect(), next)
    }
}

async fn drive(queue: Arc<TimerQueue>) {
    loop {
        let (due, next) = queue.take_due(Instant::now());
        for waker in due {
            waker.wake();
        }
        match next {
            Some(moment) => tokio::select! {
                () = sleep_until(moment) => {}
                () = queue.earlier.notified() => {}
            },
            None => queue.earlier.notified().await,
        }
    }
}
