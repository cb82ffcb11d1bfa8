//! The limit adapts to the capacity of a database, stays within its bounds and recovers.

use daisyseam_coord::{
    Moment,
    overload::{
        ConcurrencyLimit,
        ConcurrencyPolicy, //
    }, //
};
use proptest::prelude::*;
use std::time::Duration;

/// Simulates a database that runs `capacity` statements at full speed and slows down beyond that.
fn simulate(limit: &mut ConcurrencyLimit, from: Moment, capacity: usize, windows: u32) -> Moment {
    let mut now = from;
    for _ in 0..windows * 100 {
        let running = limit.limit();
        let load = running.max(capacity) as u32;
        // Beyond the capacity the service time grows quadratically because of context switches.
        let took = Duration::from_millis(10) * load * load / (capacity * capacity) as u32;
        now = now + took / running as u32;
        limit.record(now, took, true);
    }
    now
}

#[test]
fn the_limit_falls_under_overload_and_rises_after_recovery() {
    let mut limit = ConcurrencyLimit::new(Moment::ORIGIN, ConcurrencyPolicy::for_slots(32));
    let now = simulate(&mut limit, Moment::ORIGIN, 32, 20);
    assert_eq!(limit.limit(), 32);
    let now = simulate(&mut limit, now, 8, 60);
    assert!((6..=16).contains(&limit.limit()), "{}", limit.limit());
    simulate(&mut limit, now, 32, 400);
    assert_eq!(limit.limit(), 32);
}

#[test]
fn an_idle_database_keeps_its_limit() {
    let mut limit = ConcurrencyLimit::new(Moment::ORIGIN, ConcurrencyPolicy::for_slots(5));
    for tick in 0..100 {
        let now = Moment::from_millis(tick * 1_000);
        limit.record(now, Duration::from_millis(tick % 7), false);
    }
    assert_eq!(limit.limit(), 5);
}

proptest! {
    #[test]
    fn the_limit_stays_in_its_bounds(
        slots in 0_usize..40,
        answers in prop::collection::vec((0_u64..200, 0_u64..2_000, any::<bool>()), 0..600),
    ) {
        let policy = ConcurrencyPolicy::for_slots(slots);
        let mut limit = ConcurrencyLimit::new(Moment::ORIGIN, policy);
        let mut now = Moment::ORIGIN;
        for (step, took, waiting) in answers {
            now = now + Duration::from_millis(step);
            limit.record(now, Duration::from_millis(took), waiting);
            prop_assert!((1..=slots.max(1)).contains(&limit.limit()));
        }
    }
}
