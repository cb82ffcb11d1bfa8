//! Answers to the caller for faults at each step of a write.

mod caller_support;

use caller_support::{
    Stage,
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
            let error = error.as_db_error().expect("an answer of the server");
            let hint = error.hint().unwrap_or_default().to_owned();
            Err((error.code().code().to_owned(), hint))
        }
    }
}

fn refused(code: &str, hint: &str) -> Result<(), (String, String)> {
    Err((code.to_owned(), hint.to_owned()))
}

#[tokio::test]
async fn a_refused_link_leaves_the_write_not_run() {
    let stage = Stage::start().await;
    stage.world.fail(FakeFault::Refuse(ErrorKind::NoPrimary));
    let client = stage.connect().await;
    let answer = insert(&client).await;
    assert_eq!(answer, refused("57P03", "not run; may be sent again"));
    assert_eq!(stage.world.committed(), [""; 0]);
    assert_eq!(insert(&client).await, Ok(()));
}

#[test_case(FakeFault::LoseBefore("BEGIN"); "before the begin")]
#[test_case(FakeFault::LoseBefore("INSERT"); "before the statement")]
#[test_case(FakeFault::LoseAfter("INSERT"); "after the statement")]
#[test_case(FakeFault::LoseAfter("SELECT pg_current_xact_id_if_assigned"); "after the id")]
#[tokio::test]
async fn a_link_lost_before_the_commit_is_sent_rolls_back(fault: FakeFault) {
    let stage = Stage::start().await;
    stage.world.fail(fault);
    let client = stage.connect().await;
    let answer = insert(&client).await;
    assert_eq!(answer, refused("40001", "not run; may be sent again"));
    assert_eq!(stage.world.committed(), [""; 0]);
    // A write is retried only if the caller marks it as idempotent.
    let sent = stage.world.texts();
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
async fn a_link_lost_after_the_commit_is_answered_by_its_fate(
    text: &'static str,
    outcome: TransactionOutcome,
    expected: Result<(), (String, String)>,
) {
    let stage = Stage::start().await;
    stage.world.fail(FakeFault::LoseAfter(text));
    stage.world.answer_outcome(outcome);
    let client = stage.connect().await;
    assert_eq!(insert(&client).await, expected);
    let sent = stage.world.texts();
    assert_eq!(sent.iter().filter(|text| *text == INSERT).count(), 1);
}

#[test_case(TransactionOutcome::Committed(at(16)), Ok(()); "committed")]
#[test_case(TransactionOutcome::Aborted,
    refused("40001", "not run; may be sent again"); "aborted")]
#[test_case(TransactionOutcome::Unknown,
    refused("08007", "unknown whether it ran"); "unknown")]
#[tokio::test]
async fn a_commit_that_no_majority_confirms_is_answered_by_its_fate(
    outcome: TransactionOutcome,
    expected: Result<(), (String, String)>,
) {
    let stage = Stage::start().await;
    stage.world.answer_confirm(Err(ErrorKind::NoPrimary));
    stage.world.answer_outcome(outcome);
    let client = stage.connect().await;
    assert_eq!(insert(&client).await, expected);
}

#[tokio::test]
async fn an_explicit_transaction_follows_the_same_rule() {
    let stage = Stage::start().await;
    let client = stage.connect().await;
    client.simple_query("BEGIN").await.unwrap();
    client.simple_query(INSERT).await.unwrap();
    stage.world.fail(FakeFault::LoseAfter("COMMIT"));
    stage.world.answer_outcome(TransactionOutcome::Unknown);
    let error = client.simple_query("COMMIT").await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "08007");
    // The transaction block has ended, even though its outcome is unknown.
    client.simple_query("SELECT 1").await.unwrap();
}

#[tokio::test]
async fn a_link_lost_in_a_block_fails_the_block_until_its_end() {
    let stage = Stage::start().await;
    let client = stage.connect().await;
    client.simple_query("BEGIN").await.unwrap();
    client.simple_query(INSERT).await.unwrap();
    stage.world.fail(FakeFault::LoseBefore("SELECT 2"));
    let error = client.simple_query("SELECT 2").await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "40001");
    let error = client.simple_query("SELECT 3").await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "25P02");
    client.simple_query("ROLLBACK").await.unwrap();
    client.simple_query("SELECT 4").await.unwrap();
    assert_eq!(stage.world.committed(), [""; 0]);
}

#[tokio::test]
async fn a_read_is_repeated_elsewhere_until_the_caller_saw_of_it() {
    let stage = Stage::start().await;
    stage.world.fail(FakeFault::LoseBefore("SELECT 1"));
    stage.world.fail(FakeFault::LoseAfter("SELECT 1"));
    let client = stage.connect().await;
    client.simple_query("SELECT 1").await.unwrap();
    assert_eq!(stage.world.links(), (3, 1, 2));
    for _ in 0..3 {
        stage.world.fail(FakeFault::LoseBefore("SELECT 2"));
    }
    let error = client.simple_query("SELECT 2").await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "40001");
}

#[tokio::test]
async fn a_read_that_finds_no_other_database_says_so() {
    let stage = Stage::start().await;
    stage.world.fail(FakeFault::LoseBefore("SELECT 1"));
    stage.world.fail(FakeFault::Refuse(ErrorKind::NoReplica));
    let client = stage.connect().await;
    let error = client.simple_query("SELECT 1").await.unwrap_err();
    let error = error.as_db_error().unwrap();
    assert_eq!(error.code().code(), "57P03");
    assert_eq!(error.hint(), Some("not run; may be sent again"));
}

#[tokio::test]
async fn a_write_marked_repeatable_is_sent_again() {
    let stage = Stage::start().await;
    stage.world.fail(FakeFault::LoseBefore("INSERT"));
    let client = stage.connect().await;
    let text = "INSERT INTO t VALUES (2) /* daisyseam.idempotent=on */";
    client.simple_query(text).await.unwrap();
    assert_eq!(stage.world.committed(), [text]);
}

#[tokio::test]
async fn a_rate_refusal_says_when_to_come_back() {
    let stage = Stage::start().await;
    stage.gate.refuse(std::time::Duration::from_millis(120));
    let client = stage.connect().await;
    let answer = insert(&client).await;
    let hint = "not run; may be sent again; retry after 120 ms";
    assert_eq!(answer, refused("53400", hint));
    assert_eq!(stage.world.texts(), [""; 0]);
}
