//! When control is told of a database's health.

use super::HealthTable;
use daisyseam_model::UpstreamId;
use std::time::Duration;
use tokio::time::Instant;

/// A database that was told to be out of reach and answers again is news at the moment that is
/// asked for, not at a later reading of the clock: who waits for that one never stops.
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

/// Takes notes until the table counts a database as told to be bad.
async fn report_bad(table: &HealthTable) {
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(1)).await;
    let notes = table.notes();
    assert!(notes.iter().any(|note| !note.reachable));
    tokio::time::resume();
}
