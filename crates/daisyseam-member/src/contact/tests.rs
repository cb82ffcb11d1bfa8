//! Control is silent only if several instances fail in a row for some time.

use super::{
    ContactState,
    ControlContact,
    SILENCE_MIN, //
};
use std::{
    net::SocketAddr,
    time::Duration, //
};
use tokio::time::Instant;

fn instance(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 7_000 + number).into()
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against requests that are refused during an ordinary change of the leader.
#[test]
fn a_lost_leader_is_not_a_silent_control() {
    let began = Instant::now();
    for known in [3, 5, 13] {
        let mut contact = ControlContact::new(began);
        contact.record_leader(began);
        // The leader and one more instance of its data centre are lost.
        contact.record_failure(began + millis(700), instance(1), known);
        contact.record_failure(began + millis(1_100), instance(2), known);
        assert_eq!(contact.state(), ContactState::Leaderless, "{known} known");
        contact.record_not_leader(began + millis(1_200));
        // Further failures of the same instances stay between answers of another one.
        for round in 0..20 {
            let at = began + millis(1_300 + 400 * round);
            contact.record_failure(at, instance(1), known);
            contact.record_failure(at + millis(200), instance(2), known);
            assert_eq!(contact.state(), ContactState::Leaderless, "{known} known");
            contact.record_not_leader(at + millis(300));
        }
    }
}

/// Guards against requests that wait for a lease while a partition separates this instance from control.
#[test]
fn control_is_silent_once_the_instances_fail_one_after_the_other() {
    let began = Instant::now();
    for known in [1, 2, 3, 13] {
        let mut contact = ControlContact::new(began);
        contact.record_leader(began);
        let mut at = began + millis(700);
        for number in 0..3.min(known) {
            assert_ne!(contact.state(), ContactState::Silent, "{known} known");
            contact.record_failure(at, instance(u16::try_from(number).unwrap()), known);
            at += millis(300);
        }
        assert_eq!(contact.state(), ContactState::Silent, "{known} known");
        contact.record_failure(at, instance(0), known);
        assert_eq!(contact.state(), ContactState::Silent, "{known} known");
        contact.record_not_leader(at);
        assert_eq!(contact.state(), ContactState::Leaderless);
    }
}

/// Guards against requests that are refused because connections are refused for a moment, as while
/// control restarts.
#[test]
fn failures_within_a_short_time_are_not_silence() {
    let began = Instant::now();
    let mut contact = ControlContact::new(began);
    contact.record_leader(began);
    for number in 1..=3 {
        contact.record_failure(began + SILENCE_MIN / 2, instance(number), 3);
    }
    assert_eq!(contact.state(), ContactState::Leaderless);
    contact.record_failure(began + SILENCE_MIN, instance(1), 3);
    assert_eq!(contact.state(), ContactState::Silent);
    contact.record_leader(began + SILENCE_MIN);
    assert_eq!(contact.state(), ContactState::Led);
}

#[test]
fn an_answer_that_is_recorded_late_counts_from_when_it_arrived() {
    let began = Instant::now();
    let mut contact = ControlContact::new(began);
    contact.record_leader(began + millis(600));
    contact.record_leader(began + millis(500));
    let now = began + millis(900);
    assert_eq!(contact.time_without_answer(now), millis(300));
}
