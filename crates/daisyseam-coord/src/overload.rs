//! Adaptive concurrency for one database.
//!
//! A database that is given more statements at once than it can run answers each of them later
//! without finishing more of them. The limit falls when the time in service rises above what the
//! database needs when it is not crowded, and rises again while statements wait for a slot.

use crate::Moment;
use std::time::Duration;

/// Bounds and speed of a [`ConcurrencyLimit`].
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyPolicy {
    /// Lowest limit.
    pub least: usize,
    /// Highest limit: the connections that the database admits.
    pub most: usize,
    /// Time of one window of measurement.
    pub window: Duration,
    /// Answers that a window must have to count.
    pub samples_min: u32,
    /// Time in service, as a multiple of the uncrowded time in hundredths, that is tolerated.
    pub tolerance_percent: u32,
}

impl ConcurrencyPolicy {
    /// Makes the policy for a number of slots.
    pub fn for_slots(slots: usize) -> Self {
        Self {
            least: 1,
            most: slots.max(1),
            window: Duration::from_millis(500),
            samples_min: 10,
            tolerance_percent: 200,
        }
    }
}

/// Windows after which the uncrowded time is measured anew.
const BASE_WINDOWS: u32 = 120;

/// How many statements one database runs at once.
///
/// # Examples
///
/// ```
/// use daisyseam_coord::{Moment, overload::{ConcurrencyLimit, ConcurrencyPolicy}};
/// use std::time::Duration;
///
/// let mut limit = ConcurrencyLimit::new(Moment::ORIGIN, ConcurrencyPolicy::for_slots(5));
/// assert_eq!(limit.limit(), 5);
/// for tick in 0..2_000 {
///     // Ten times as long as at first: the database is crowded.
///     let took = if tick < 500 { 5 } else { 50 };
///     limit.finished(Moment::from_millis(tick), Duration::from_millis(took), true);
/// }
/// assert!(limit.limit() < 5);
/// ```
#[derive(Debug)]
pub struct ConcurrencyLimit {
    policy: ConcurrencyPolicy,
    limit: usize,
    /// Mean time in service of the best recent window.
    base: Option<Duration>,
    base_age: u32,
    window: MeasureWindow,
}

impl ConcurrencyLimit {
    /// Makes a limit that starts at its highest.
    pub fn new(now: Moment, policy: ConcurrencyPolicy) -> Self {
        Self {
            policy,
            limit: policy.most.max(policy.least),
            base: None,
            base_age: 0,
            window: MeasureWindow::starting_at(now),
        }
    }

    /// Returns the present limit.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Notes a statement that was answered, the time it was in service, and whether others were
    /// waiting for a slot.
    pub fn finished(&mut self, now: Moment, took: Duration, waiting: bool) {
        self.window.add(took, waiting);
        let over = now.since(self.window.start) >= self.policy.window;
        if !over || self.window.count < self.policy.samples_min {
            return;
        }
        let window = std::mem::replace(&mut self.window, MeasureWindow::starting_at(now));
        self.adapt(&window);
    }

    fn adapt(&mut self, window: &MeasureWindow) {
        let mean = window.sum / window.count;
        self.base_age += 1;
        let renewed = self.base_age >= BASE_WINDOWS;
        let base = match self.base {
            Some(base) if !renewed => base.min(mean),
            _ => mean,
        };
        if renewed || self.base.is_none_or(|former| base < former) {
            self.base_age = 0;
        }
        self.base = Some(base);
        let tolerated = base * self.policy.tolerance_percent / 100;
        if mean > tolerated {
            // By a quarter, and by one at least.
            let step = (self.limit / 4).max(1);
            self.limit = self.limit.saturating_sub(step).max(self.policy.least);
        } else if window.waited {
            self.limit = (self.limit + 1).min(self.policy.most);
        }
        assert!(
            (self.policy.least..=self.policy.most.max(self.policy.least)).contains(&self.limit),
            "the limit left its bounds"
        );
    }
}

#[derive(Debug)]
struct MeasureWindow {
    start: Moment,
    sum: Duration,
    count: u32,
    waited: bool,
}

impl MeasureWindow {
    fn starting_at(start: Moment) -> Self {
        Self {
            start,
            sum: Duration::ZERO,
            count: 0,
            waited: false,
        }
    }

    fn add(&mut self, took: Duration, waiting: bool) {
        self.sum += took;
        self.count += 1;
        self.waited |= waiting;
    }
}
