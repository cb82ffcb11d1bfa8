use super::{
    INITIAL_LIMIT,
    MAX_LIMIT,
    MIN_LIMIT,
    REDUCTION_INTERVAL,
    RunLimit, //
};
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn refusals_reduce_the_limit_once_in_an_interval() {
    let mut limit = RunLimit::new();
    let start = Instant::now();
    for _ in 0..10 {
        limit.record_refusal(start);
    }
    assert_eq!(limit.limit(), INITIAL_LIMIT * 3 / 4);
    for interval in 1..20 {
        limit.record_refusal(start + REDUCTION_INTERVAL * interval);
    }
    assert_eq!(limit.limit(), MIN_LIMIT);
}

#[test]
fn the_limit_rises_only_while_work_waits() {
    let mut limit = RunLimit::new();
    for _ in 0..1_000 {
        limit.record_run(Duration::from_millis(10), false);
    }
    assert_eq!(limit.limit(), INITIAL_LIMIT);
    for _ in 0..100_000 {
        limit.record_run(Duration::from_millis(10), true);
    }
    assert_eq!(limit.limit(), MAX_LIMIT);
}

#[test]
fn the_expected_wait_follows_the_service_time() {
    let mut limit = RunLimit::new();
    assert_eq!(limit.expected_wait(100), Duration::ZERO);
    for _ in 0..100 {
        limit.record_run(Duration::from_millis(16), false);
    }
    assert_eq!(limit.expected_wait(0), Duration::ZERO);
    let wait = limit.expected_wait(100);
    assert!(wait > Duration::from_millis(190), "{wait:?}");
    assert!(wait <= Duration::from_millis(200), "{wait:?}");
}

/// A database with three slots and room for six more statements.
#[test]
fn the_limit_settles_at_what_a_database_carries() {
    const CARRIED: usize = 9;
    let mut limit = RunLimit::new();
    let mut now = Instant::now();
    let mut refused = 0;
    let mut lowest = usize::MAX;
    for _ in 0..2_000 {
        now += Duration::from_millis(10);
        for running in 0..limit.limit() {
            if running < CARRIED {
                limit.record_run(Duration::from_millis(10), true);
            } else {
                refused += 1;
                limit.record_refusal(now);
            }
        }
        lowest = lowest.min(limit.limit());
        assert!(limit.limit() <= CARRIED + 2, "{limit:?}");
    }
    assert!(lowest >= 6, "{lowest}");
    assert!(refused < 2_000 * CARRIED / 20, "{refused}");
}

/// Requests were admitted by the time of statements while transactions held all connections.
#[test]
fn connections_in_transactions_count_for_the_interval() {
    const STATEMENT: Duration = Duration::from_millis(16);
    const TRANSACTION: Duration = Duration::from_millis(200);
    let mut limit = RunLimit::new();
    assert_eq!(limit.interval(4), Duration::ZERO);
    limit.record_run(STATEMENT, false);
    assert_eq!(limit.interval(4), STATEMENT / 4);
    assert_eq!(limit.interval(100), STATEMENT / 8);
    limit.record_use(TRANSACTION);
    assert_eq!(limit.interval(4), TRANSACTION / 4);
    assert_eq!(limit.interval(1_000), STATEMENT / 8);
}
