//! The limit finds what a database can run at once, stays in its bounds and recovers.

use daisyseam_coord::{
    Moment,
    overload::{
        ConcurrencyLimit,
        ConcurrencyPolicy, //
    }, //
};
use proptest::prelude::*;
use std::time::Duration;

/// Runs a database that serves `able` at once at full speed and slows down past that.
fn drive(limit: &mut ConcurrencyLimit, from: Moment, able: usize, windows: u32) -> Moment {
    let mut now = from;
    for _ in 0..windows * 100 {
        let running = limit.limit();
        let crowd = running.max(able) as u32;
        // Past its ability the time grows with the square: it works on nothing but switching.
        let took = Duration::from_millis(10) * crowd * crowd / (able * able) as u32;
        now = now + took / running as u32;
        limit.finished(now, took, true);
    }
    now
}

#[test]
fn a_crowded_database_is_given_less_and_more_again_when_it_recovers() {
    let mut limit = ConcurrencyLimit::new(Moment::ORIGIN, ConcurrencyPolicy::for_slots(32));
    let now = drive(&mut limit, Moment::ORIGIN, 32, 20);
    assert_eq!(limit.limit(), 32);
    let now = drive(&mut limit, now, 8, 60);
    assert!((6..=16).contains(&limit.limit()), "{}", limit.limit());
    drive(&mut limit, now, 32, 400);
    assert_eq!(limit.limit(), 32);
}

#[test]
fn an_idle_database_keeps_its_limit() {
    let mut limit = ConcurrencyLimit::new(Moment::ORIGIN, ConcurrencyPolicy::for_slots(5));
    for tick in 0..100 {
        let now = Moment::from_millis(tick * 1_000);
        limit.finished(now, Duration::from_millis(tick % 7), false);
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
            limit.finished(now, Duration::from_millis(took), waiting);
            prop_assert!((1..=slots.max(1)).contains(&limit.limit()));
        }
    }
}
