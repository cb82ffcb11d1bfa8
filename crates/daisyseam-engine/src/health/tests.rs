//! Tests of when a database's health is reported to control.

use super::HealthTable;
use daisyseam_model::UpstreamId;
use std::time::Duration;
use tokio::time::Instant;

/// The recovery of a database reported as unreachable is due at the `now` passed in. If it were due
/// at a later reading of the clock, a loop that waits for it would never end.
#[tokio::test]
async fn a_database_that_answers_again_is_news_at_once() {
    let table = HealthTable::default();
    let upstream: UpstreamId = "copy-1".parse().expect("a valid name");
    table.failed(&upstream);
    table.failed(&upstream);
    let bad = Instant::now() + Duration::from_secs(1);
    assert!(table.news_at(bad).is_some_and(|at| at <= bad));
    report_bad(&table).await;
    table.good(&upstream);
    let now = Instant::now();
    assert_eq!(table.news_at(now), Some(now));
}

/// Takes the reports once a database counts as unreachable, so that it is marked as reported.
async fn report_bad(table: &HealthTable) {
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(1)).await;
    let notes = table.notes();
    assert!(notes.iter().any(|note| !note.reachable));
    tokio::time::resume();
}
