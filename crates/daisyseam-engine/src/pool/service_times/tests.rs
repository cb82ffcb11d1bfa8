//! Tests of the delay of statements inside a database.

use super::ServiceTimes;
use std::time::Duration;

const SERVICE: Duration = Duration::from_millis(20);

/// A database that queues statements itself shows no queue at its holder, and reads would be sent
/// to it as if it were idle.
#[test]
fn statements_that_the_database_queues_count_as_delay() {
    let mut times = ServiceTimes::default();
    for _ in 0..100 {
        times.record(SERVICE, 1);
    }
    assert_eq!(times.delay(20), Duration::ZERO);
    for _ in 0..100 {
        times.record(SERVICE * 4, 20);
    }
    // The statements take 3 times as long in addition, less the tolerated half.
    let delay = times.delay(20);
    assert!(delay > SERVICE * 2 && delay <= SERVICE * 5 / 2, "{delay:?}");
}

/// The delay of a past burst must not keep reads away from an idle database.
#[test]
fn a_database_that_runs_little_does_not_delay() {
    let mut times = ServiceTimes::default();
    times.record(SERVICE, 1);
    for _ in 0..100 {
        times.record(SERVICE * 4, 20);
    }
    assert_eq!(times.delay(1), Duration::ZERO);
}

/// Without a statement that ran alone nothing is known, and no delay may be assumed.
#[test]
fn a_delay_needs_an_undelayed_statement() {
    let mut times = ServiceTimes::default();
    for _ in 0..100 {
        times.record(SERVICE * 4, 20);
    }
    assert_eq!(times.delay(20), Duration::ZERO);
}

/// Statements of another length are no sign of a queue.
#[test]
fn a_moderately_longer_service_time_is_tolerated() {
    let mut times = ServiceTimes::default();
    for _ in 0..100 {
        times.record(SERVICE, 1);
        times.record(SERVICE * 3 / 2, 5);
    }
    assert_eq!(times.delay(5), Duration::ZERO);
}
