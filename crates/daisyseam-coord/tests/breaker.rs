//! Outliers are ejected and readmitted, and at least one member always stays.

use daisyseam_coord::{
    Moment,
    breaker::{
        BreakerPolicy,
        MemberState,
        OutlierBreaker, //
    }, //
};
use proptest::prelude::*;
use std::time::Duration;

const FAST: Duration = Duration::from_millis(5);

fn breaker(count: usize) -> OutlierBreaker<usize> {
    let mut breaker = OutlierBreaker::new(BreakerPolicy::default());
    breaker.set_members(0..count);
    breaker
}

#[test]
fn consecutive_failures_eject_and_a_successful_probe_readmits() {
    let mut breaker = breaker(3);
    for _ in 0..5 {
        breaker.record_failure(Moment::ORIGIN, &0);
    }
    let back = Moment::from_millis(1_000);
    assert_eq!(breaker.state(Moment::ORIGIN, &0), MemberState::Open(back));
    assert!(!breaker.try_acquire(Moment::ORIGIN, &0));
    assert_eq!(breaker.state(back, &0), MemberState::HalfOpen);
    assert!(breaker.try_acquire(back, &0));
    assert!(
        !breaker.try_acquire(back, &0),
        "a second request may not probe the member"
    );
    breaker.record_success(back, &0, FAST);
    assert_eq!(breaker.state(back, &0), MemberState::Closed);
}

#[test]
fn a_failed_probe_ejects_for_longer() {
    let mut breaker = breaker(3);
    for _ in 0..5 {
        breaker.record_failure(Moment::ORIGIN, &0);
    }
    let back = Moment::from_millis(1_000);
    assert!(breaker.try_acquire(back, &0));
    breaker.record_failure(back, &0);
    let later = Moment::from_millis(3_000);
    assert_eq!(breaker.state(back, &0), MemberState::Open(later));
}

#[test]
fn a_slow_member_is_ejected() {
    let mut breaker = breaker(3);
    for _ in 0..50 {
        breaker.record_success(Moment::ORIGIN, &1, FAST);
        breaker.record_success(Moment::ORIGIN, &2, FAST);
        breaker.record_success(Moment::ORIGIN, &0, FAST * 40);
    }
    assert!(matches!(
        breaker.state(Moment::ORIGIN, &0),
        MemberState::Open(_)
    ));
    assert_eq!(breaker.state(Moment::ORIGIN, &1), MemberState::Closed);
}

#[test]
fn equally_slow_members_are_not_outliers() {
    let mut breaker = breaker(3);
    for round in 0..300 {
        breaker.record_success(Moment::ORIGIN, &(round % 3), FAST * 100);
    }
    for member in 0..3 {
        assert_eq!(breaker.state(Moment::ORIGIN, &member), MemberState::Closed);
    }
}

#[test]
fn an_ejected_member_is_readmitted_when_no_other_is_left() {
    let mut breaker = breaker(2);
    for _ in 0..5 {
        breaker.record_failure(Moment::ORIGIN, &0);
    }
    breaker.set_members([0]);
    assert_eq!(breaker.state(Moment::ORIGIN, &0), MemberState::Closed);
}

proptest! {
    /// At least one member accepts requests after any sequence of events.
    #[test]
    fn the_last_one_is_never_ejected(
        count in 1_usize..6,
        events in prop::collection::vec((0_usize..6, 0_u8..3, 0_u64..500), 0..400),
    ) {
        let mut breaker = breaker(count);
        let mut now = Moment::ORIGIN;
        for (member, event, step) in events {
            now = now + Duration::from_millis(step);
            let member = member % count;
            breaker.try_acquire(now, &member);
            match event {
                0 => breaker.record_success(now, &member, FAST * (1 + member as u32 * 30)),
                _ => breaker.record_failure(now, &member),
            }
            let closed = (0..count).filter(|member| breaker.state(now, member) == MemberState::Closed);
            prop_assert!(closed.count() >= 1);
        }
    }
}
