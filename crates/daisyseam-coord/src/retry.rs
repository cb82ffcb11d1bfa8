//! Retry budgets and exponential backoff with deadlines.

use crate::Moment;
use rand::Rng;
use std::time::Duration;

/// Budget units per retry.
const UNITS_PER_RETRY: u64 = 1_000;

/// Limits retries to a fraction of the requests, so that retries do not amplify an outage.
///
/// # Examples
///
/// ```
/// use daisyseam_coord::retry::RetryBudget;
///
/// let mut budget = RetryBudget::new(100, 2);
/// assert!(budget.take() && budget.take() && !budget.take());
/// for _ in 0..10 {
///     budget.count_request();
/// }
/// assert!(budget.take() && !budget.take());
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    permille: u64,
    units: u64,
    units_max: u64,
}

impl RetryBudget {
    /// Creates a full budget of `permille` retries per thousand requests, of which at most
    /// `saved_max` are saved up.
    pub fn new(permille: u32, saved_max: u32) -> Self {
        let units_max = u64::from(saved_max) * UNITS_PER_RETRY;
        Self {
            permille: u64::from(permille),
            units: units_max,
            units_max,
        }
    }

    /// Counts a request; must not be called for retries.
    pub fn count_request(&mut self) {
        self.units = (self.units + self.permille).min(self.units_max);
    }

    /// Takes one retry from the budget; returns whether it was available.
    pub fn take(&mut self) -> bool {
        let enough = self.units >= UNITS_PER_RETRY;
        if enough {
            self.units -= UNITS_PER_RETRY;
        }
        enough
    }
}

/// Bounds on the delay before a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BackoffPolicy {
    /// Maximum delay before the first retry.
    pub first: Duration,
    /// Maximum delay before any retry.
    pub longest: Duration,
}

/// Exponential backoff with full jitter: each delay is drawn between zero and a bound that doubles.
///
/// # Examples
///
/// ```
/// use daisyseam_coord::{Moment, retry::{BackoffPolicy, RetrySchedule}};
/// use rand::SeedableRng;
/// use std::time::Duration;
///
/// let policy = BackoffPolicy {
///     first: Duration::from_millis(20),
///     longest: Duration::from_millis(500),
/// };
/// let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// let mut schedule = RetrySchedule::new(policy, Moment::from_millis(1_000));
/// let at = schedule.next(Moment::ORIGIN, Duration::ZERO, &mut random).unwrap();
/// assert!(at <= Moment::from_millis(20));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetrySchedule {
    policy: BackoffPolicy,
    deadline: Moment,
    bound: Duration,
}

impl RetrySchedule {
    /// Creates the schedule of one request.
    pub fn new(policy: BackoffPolicy, deadline: Moment) -> Self {
        Self {
            policy,
            deadline,
            bound: policy.first.min(policy.longest),
        }
    }

    /// Returns the time of the next attempt, or `None` if an attempt that takes `expected` would end
    /// after the deadline.
    pub fn next<R: Rng>(
        &mut self,
        now: Moment,
        expected: Duration,
        random: &mut R,
    ) -> Option<Moment> {
        let wait = self.bound.mul_f64(random.random());
        self.bound = (self.bound * 2).min(self.policy.longest);
        let at = now + wait;
        (at + expected < self.deadline).then_some(at)
    }
}
