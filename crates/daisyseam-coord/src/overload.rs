//! Adaptive concurrency limit for one database.
//!
//! Sending a database more concurrent statements than it can run increases latency without
//! increasing throughput. The limit is lowered when the service time rises well above that of the
//! unloaded database, and raised again while statements wait for a slot.

use crate::Moment;
use std::time::Duration;

/// Parameters of a [`ConcurrencyLimit`].
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyPolicy {
    /// Minimum limit.
    pub limit_min: usize,
    /// Maximum limit: the number of connections that the database accepts.
    pub limit_max: usize,
    /// Duration of a measurement window.
    pub window: Duration,
    /// Minimum number of samples in a window.
    pub samples_min: u32,
    /// Tolerated service time, in percent of the baseline.
    pub tolerance_percent: u32,
}

impl ConcurrencyPolicy {
    /// Creates the policy for a number of slots.
    pub fn for_slots(slots: usize) -> Self {
        Self {
            limit_min: 1,
            limit_max: slots.max(1),
            window: Duration::from_millis(500),
            samples_min: 10,
            tolerance_percent: 200,
        }
    }
}

/// Number of windows after which the baseline is measured again.
const BASELINE_WINDOWS: u32 = 120;

/// Limit on the number of concurrent statements of one database.
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
///     // The service time rises tenfold: the database is overloaded.
///     let took = if tick < 500 { 5 } else { 50 };
///     limit.record(Moment::from_millis(tick), Duration::from_millis(took), true);
/// }
/// assert!(limit.limit() < 5);
/// ```
#[derive(Debug)]
pub struct ConcurrencyLimit {
    policy: ConcurrencyPolicy,
    limit: usize,
    /// Lowest mean service time of a recent window.
    baseline: Option<Duration>,
    /// Number of windows since the baseline was set.
    baseline_age: u32,
    window: MeasureWindow,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at its maximum.
    pub fn new(now: Moment, policy: ConcurrencyPolicy) -> Self {
        Self {
            policy,
            limit: policy.limit_max.max(policy.limit_min),
            baseline: None,
            baseline_age: 0,
            window: MeasureWindow::starting_at(now),
        }
    }

    /// Returns the current limit.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Records a completed statement, its service time, and whether others were waiting for a slot.
    pub fn record(&mut self, now: Moment, took: Duration, waiting: bool) {
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
        self.baseline_age += 1;
        let renewed = self.baseline_age >= BASELINE_WINDOWS;
        let baseline = match self.baseline {
            Some(baseline) if !renewed => baseline.min(mean),
            _ => mean,
        };
        if renewed || self.baseline.is_none_or(|former| baseline < former) {
            self.baseline_age = 0;
        }
        self.baseline = Some(baseline);
        let tolerated = baseline * self.policy.tolerance_percent / 100;
        if mean > tolerated {
            // Lower the limit by a quarter, but at least by one.
            let step = (self.limit / 4).max(1);
            self.limit = self.limit.saturating_sub(step).max(self.policy.limit_min);
        } else if window.waited {
            self.limit = (self.limit + 1).min(self.policy.limit_max);
        }
        assert!(
            (self.policy.limit_min..=self.policy.limit_max.max(self.policy.limit_min))
                .contains(&self.limit),
            "the limit is out of bounds"
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
