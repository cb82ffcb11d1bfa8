//! Answers to the caller for faults at each step of a write.

mod caller_support;

use caller_support::{
    CallerFixture,
    fake::{
        FakeFault,
        at, //
    }, //
};
use daisyseam_entry::TransactionOutcome;
use daisyseam_model::ErrorKind;
use test_case::test_case;
use tokio_postgres::Client;

const INSERT: &str = "INSERT INTO t VALUES (1)";

/// Runs the insert; on an error returns its SQLSTATE and hint.
async fn insert(client: &Client) -> Result<(), (String, String)> {
    match client.simple_query(INSERT).await {
        Ok(_) => Ok(()),
        Err(error) => {
            let error = error.as_db_error().expect("an error response");
            let hint = error.hint().unwrap_or_default().to_owned();
            Err((error.code().code().to_owned(), hint))
        }
    }
}

fn refused(code: &str, hint: &str) -> Result<(), (String, String)> {
    Err((code.to_owned(), hint.to_owned()))
}

#[tokio::test]
async fn a_write_is_not_run_if_no_link_opens() {
    let fixture = CallerFixture::start().await;
    fixture
        .database
        .inject_fault(FakeFault::RefuseLink(ErrorKind::NoPrimary));
    let client = fixture.connect().await;
    let answer = insert(&client).await;
    assert_eq!(answer, refused("57P03", "not run; may be sent again"));
    assert_eq!(fixture.database.committed(), [""; 0]);
    assert_eq!(insert(&client).await, Ok(()));
}

#[test_case(FakeFault::DisconnectBefore("BEGIN"); "before the begin")]
#[test_case(FakeFault::DisconnectBefore("INSERT"); "before the statement")]
#[test_case(FakeFault::DisconnectAfter("INSERT"); "after the statement")]
#[test_case(FakeFault::DisconnectAfter("SELECT pg_current_xact_id_if_assigned"); "after the id")]
#[tokio::test]
async fn a_link_lost_before_the_commit_is_sent_rolls_back(fault: FakeFault) {
    let fixture = CallerFixture::start().await;
    fixture.database.inject_fault(fault);
    let client = fixture.connect().await;
    let answer = insert(&client).await;
    assert_eq!(answer, refused("40001", "not run; may be sent again"));
    assert_eq!(fixture.database.committed(), [""; 0]);
    // A write is retried only if the caller marks it as idempotent.
    let sent = fixture.database.texts();
    assert!(sent.iter().filter(|text| *text == INSERT).count() <= 1);
    assert_eq!(insert(&client).await, Ok(()));
}

#[test_case("COMMIT", TransactionOutcome::Committed(at(16)), Ok(()); "committed")]
#[test_case("COMMIT", TransactionOutcome::Aborted,
    refused("40001", "not run; may be sent again"); "aborted")]
#[test_case("COMMIT", TransactionOutcome::Unknown,
    refused("08007", "unknown whether it ran"); "unknown")]
#[test_case("SELECT pg_current_wal_lsn", TransactionOutcome::Committed(at(16)), Ok(());
    "committed, position lost")]
#[tokio::test]
async fn a_link_lost_after_the_commit_reports_the_looked_up_outcome(
    text: &'static str,
    outcome: TransactionOutcome,
    expected: Result<(), (String, String)>,
) {
    let fixture = CallerFixture::start().await;
    fixture
        .database
        .inject_fault(FakeFault::DisconnectAfter(text));
    fixture.database.queue_outcome(outcome);
    let client = fixture.connect().await;
    assert_eq!(insert(&client).await, expected);
    let sent = fixture.database.texts();
    assert_eq!(sent.iter().filter(|text| *text == INSERT).count(), 1);
}

#[test_case(TransactionOutcome::Committed(at(16)), Ok(()); "committed")]
#[test_case(TransactionOutcome::Aborted,
    refused("40001", "not run; may be sent again"); "aborted")]
#[test_case(TransactionOutcome::Unknown,
    refused("08007", "unknown whether it ran"); "unknown")]
#[tokio::test]
async fn an_unconfirmed_commit_reports_the_looked_up_outcome(
    outcome: TransactionOutcome,
    expected: Result<(), (String, String)>,
) {
    let fixture = CallerFixture::start().await;
    fixture.database.queue_confirm(Err(ErrorKind::NoPrimary));
    fixture.database.queue_outcome(outcome);
    let client = fixture.connect().await;
    assert_eq!(insert(&client).await, expected);
}

#[tokio::test]
async fn an_explicit_transaction_reports_an_unknown_outcome() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    client.simple_query("BEGIN").await.unwrap();
    client.simple_query(INSERT).await.unwrap();
    fixture
        .database
        .inject_fault(FakeFault::DisconnectAfter("COMMIT"));
    fixture.database.queue_outcome(TransactionOutcome::Unknown);
    let error = client.simple_query("COMMIT").await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "08007");
    // The transaction block has ended, even though its outcome is unknown.
    client.simple_query("SELECT 1").await.unwrap();
}

#[tokio::test]
async fn a_link_lost_in_a_block_fails_the_block_until_its_end() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    client.simple_query("BEGIN").await.unwrap();
    client.simple_query(INSERT).await.unwrap();
    fixture
        .database
        .inject_fault(FakeFault::DisconnectBefore("SELECT 2"));
    let error = client.simple_query("SELECT 2").await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "40001");
    let error = client.simple_query("SELECT 3").await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "25P02");
    client.simple_query("ROLLBACK").await.unwrap();
    client.simple_query("SELECT 4").await.unwrap();
    assert_eq!(fixture.database.committed(), [""; 0]);
}

#[tokio::test]
async fn a_read_is_retried_on_another_link_up_to_a_limit() {
    let fixture = CallerFixture::start().await;
    fixture
        .database
        .inject_fault(FakeFault::DisconnectBefore("SELECT 1"));
    fixture
        .database
        .inject_fault(FakeFault::DisconnectAfter("SELECT 1"));
    let client = fixture.connect().await;
    client.simple_query("SELECT 1").await.unwrap();
    assert_eq!(fixture.database.link_counts(), (3, 1, 2));
    for _ in 0..3 {
        fixture
            .database
            .inject_fault(FakeFault::DisconnectBefore("SELECT 2"));
    }
    let error = client.simple_query("SELECT 2").await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "40001");
}

#[tokio::test]
async fn a_retried_read_without_another_database_is_not_run() {
    let fixture = CallerFixture::start().await;
    fixture
        .database
        .inject_fault(FakeFault::DisconnectBefore("SELECT 1"));
    fixture
        .database
        .inject_fault(FakeFault::RefuseLink(ErrorKind::NoReplica));
    let client = fixture.connect().await;
    let error = client.simple_query("SELECT 1").await.unwrap_err();
    let error = error.as_db_error().unwrap();
    assert_eq!(error.code().code(), "57P03");
    assert_eq!(error.hint(), Some("not run; may be sent again"));
}

#[tokio::test]
async fn a_write_marked_idempotent_is_retried() {
    let fixture = CallerFixture::start().await;
    fixture
        .database
        .inject_fault(FakeFault::DisconnectBefore("INSERT"));
    let client = fixture.connect().await;
    let text = "INSERT INTO t VALUES (2) /* daisyseam.idempotent=on */";
    client.simple_query(text).await.unwrap();
    assert_eq!(fixture.database.committed(), [text]);
}

#[tokio::test]
async fn a_rate_limit_error_reports_the_retry_delay() {
    let fixture = CallerFixture::start().await;
    fixture
        .gate
        .refuse_next(std::time::Duration::from_millis(120));
    let client = fixture.connect().await;
    let answer = insert(&client).await;
    let hint = "not run; may be sent again; retry after 120 ms";
    assert_eq!(answer, refused("53400", hint));
    assert_eq!(fixture.database.texts(), [""; 0]);
}
