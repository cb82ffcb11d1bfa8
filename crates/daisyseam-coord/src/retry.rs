//! Retry budgets, back-off and deadlines.

use crate::Moment;
use rand::Rng;
use std::time::Duration;

/// Parts into which a retry is divided in the count.
const PARTS: u64 = 1_000;

/// Limits retries to a share of the requests, so that a failure is not made worse by repeats.
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
    parts: u64,
    parts_max: u64,
}

impl RetryBudget {
    /// Makes a full budget: so many retries for a thousand requests, and at most so many saved up.
    pub fn new(permille: u32, saved_max: u32) -> Self {
        let parts_max = u64::from(saved_max) * PARTS;
        Self {
            permille: u64::from(permille),
            parts: parts_max,
            parts_max,
        }
    }

    /// Counts a request; retries are no requests.
    pub fn count_request(&mut self) {
        self.parts = (self.parts + self.permille).min(self.parts_max);
    }

    /// Takes one retry if the budget has it.
    pub fn take(&mut self) -> bool {
        let enough = self.parts >= PARTS;
        if enough {
            self.parts -= PARTS;
        }
        enough
    }
}

/// How long to wait before which attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BackoffPolicy {
    /// Longest wait before the first retry.
    pub first: Duration,
    /// Longest wait before any retry.
    pub longest: Duration,
}

/// Waits between attempts: each one is drawn between nothing and a bound that doubles.
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
    /// Makes the schedule of one request.
    pub fn new(policy: BackoffPolicy, deadline: Moment) -> Self {
        Self {
            policy,
            deadline,
            bound: policy.first.min(policy.longest),
        }
    }

    /// Returns when to try again, or nothing if an attempt that takes `expected` would end past
    /// the deadline.
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
