//! Tests of when a database's health is reported to control.

use super::HealthTable;
use daisyseam_model::UpstreamId;
use std::time::Duration;
use tokio::time::Instant;

/// The recovery of a database reported as unreachable is due at the `now` passed in. If it were due
/// at a later reading of the clock, a loop that waits for it would never end.
#[tokio::test]
async fn recovery_of_a_database_is_reported_at_once() {
    let table = HealthTable::default();
    let upstream: UpstreamId = "copy-1".parse().expect("a valid name");
    table.record_failure(&upstream);
    table.record_failure(&upstream);
    let unreachable_at = Instant::now() + Duration::from_secs(1);
    assert!(
        table
            .next_report_at(unreachable_at)
            .is_some_and(|at| at <= unreachable_at)
    );
    report_unreachable(&table).await;
    table.record_reply(&upstream);
    let now = Instant::now();
    assert_eq!(table.next_report_at(now), Some(now));
}

/// A wait that is not renewed would keep reads away from a database whose queue has long been
/// served.
#[tokio::test(start_paused = true)]
async fn a_reported_wait_counts_half_after_half_a_second() {
    let table = HealthTable::default();
    let upstream: UpstreamId = "copy-1".parse().expect("a valid name");
    assert_eq!(table.expected_wait(&upstream), None);
    table.record_wait(&upstream, Duration::from_millis(800));
    tokio::time::advance(Duration::from_millis(500)).await;
    let wait = table.expected_wait(&upstream).expect("a reported wait");
    assert!(
        wait.abs_diff(Duration::from_millis(400)) < Duration::from_millis(1),
        "{wait:?}"
    );
}

/// Takes the reports once a database counts as unreachable, so that it is marked as reported.
async fn report_unreachable(table: &HealthTable) {
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(1)).await;
    let reports = table.take_reports();
    assert!(reports.iter().any(|report| !report.reachable));
    tokio::time::resume();
}
