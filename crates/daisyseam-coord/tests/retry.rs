//! Retries stay within their budget, the delay bounds and the deadline.

use daisyseam_coord::{
    Moment,
    retry::{
        BackoffPolicy,
        RetryBudget,
        RetrySchedule, //
    }, //
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

proptest! {
    /// The number of retries never exceeds the saved ones plus the configured fraction of requests.
    #[test]
    fn retries_stay_within_the_budget(
        permille in 0_u32..1_000,
        saved in 0_u32..20,
        asks in prop::collection::vec(any::<bool>(), 0..500),
    ) {
        let mut budget = RetryBudget::new(permille, saved);
        let (mut requests, mut retries) = (0_u64, 0_u64);
        for is_request in asks {
            if is_request {
                budget.count_request();
                requests += 1;
            } else if budget.take() {
                retries += 1;
            }
            prop_assert!(retries * 1_000 <= u64::from(saved) * 1_000 + requests * u64::from(permille));
        }
    }

    /// Delays stay within their doubling bounds, and no attempt is scheduled after the deadline.
    #[test]
    fn delays_are_bounded(
        first in 1_u64..100,
        longest in 1_u64..1_000,
        deadline in 0_u64..5_000,
        expected in 0_u64..100,
        seed in any::<u64>(),
    ) {
        let policy = BackoffPolicy {
            first: Duration::from_millis(first),
            longest: Duration::from_millis(longest),
        };
        let deadline = Moment::from_millis(deadline);
        let expected = Duration::from_millis(expected);
        let mut schedule = RetrySchedule::new(policy, deadline);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut now = Moment::ORIGIN;
        let mut bound = policy.first.min(policy.longest);
        for _ in 0..20 {
            let Some(at) = schedule.next(now, expected, &mut random) else {
                break;
            };
            prop_assert!(at.since(now) <= bound);
            prop_assert!(at + expected < deadline);
            bound = (bound * 2).min(policy.longest);
            now = at;
        }
    }
}
