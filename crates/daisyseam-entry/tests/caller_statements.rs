//! Reads, writes, transactions and prepared statements through a real client.

mod caller_support;

use caller_support::CallerFixture;
use tokio_postgres::SimpleQueryMessage;

fn first_value(messages: &[SimpleQueryMessage]) -> Option<String> {
    messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}

#[tokio::test]
async fn a_read_runs_unwrapped_on_a_replica() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    let answer = client.simple_query("SELECT 1").await.unwrap();
    assert_eq!(first_value(&answer).as_deref(), Some("SELECT 1"));
    assert_eq!(fixture.database.texts(), ["SELECT 1"]);
    assert_eq!(fixture.database.link_counts(), (1, 1, 0));
}

#[tokio::test]
async fn a_read_on_the_primary_runs_in_a_read_only_transaction() {
    let fixture = CallerFixture::start().await;
    fixture.database.serve_reads_on_primary();
    let client = fixture.connect().await;
    client.simple_query("SELECT 1").await.unwrap();
    let texts = fixture.database.texts();
    assert_eq!(texts, ["BEGIN READ ONLY", "SELECT 1", "COMMIT"]);
    assert_eq!(fixture.database.link_counts(), (1, 1, 0));
}

#[tokio::test]
async fn a_write_is_wrapped_and_confirmed() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    client
        .simple_query("INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    let texts = fixture.database.texts();
    let expected = [
        "BEGIN",
        "INSERT INTO t VALUES (1)",
        "SELECT pg_current_xact_id_if_assigned()",
        "COMMIT",
        "SELECT pg_current_wal_lsn()",
    ];
    assert_eq!(texts, expected);
    assert_eq!(fixture.database.committed(), ["INSERT INTO t VALUES (1)"]);
    assert_eq!(fixture.database.link_counts(), (1, 1, 0));
}

#[tokio::test]
async fn a_read_that_turns_out_to_write_runs_again_as_a_write() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    let text = "SELECT * FROM hidden_write";
    client.simple_query(text).await.unwrap();
    assert_eq!(fixture.database.committed(), [text]);
    client.query(text, &[]).await.unwrap();
    assert_eq!(fixture.database.committed(), [text, text]);
}

#[tokio::test]
async fn a_prepared_statement_works_on_any_connection() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    let one = client.prepare("SELECT $1 FROM a").await.unwrap();
    let two = client.prepare("SELECT $1 FROM b").await.unwrap();
    for value in ["x", "y"] {
        let row = client.query_one(&one, &[&value]).await.unwrap();
        assert_eq!(row.get::<_, String>(0), format!("SELECT '{value}' FROM a"));
        let row = client.query_one(&two, &[&value]).await.unwrap();
        assert_eq!(row.get::<_, String>(0), format!("SELECT '{value}' FROM b"));
    }
    let (opened, released, dropped) = fixture.database.link_counts();
    assert_eq!((opened, released, dropped), (6, 6, 0));
}

#[tokio::test]
async fn a_prepared_write_is_confirmed_too() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    let insert = client.prepare("INSERT INTO t VALUES ($1)").await.unwrap();
    let count = client.execute(&insert, &[&"a"]).await.unwrap();
    assert_eq!(count, 1);
    assert_eq!(fixture.database.committed(), ["INSERT INTO t VALUES ('a')"]);
}

#[tokio::test]
async fn a_transaction_holds_one_connection_from_its_first_statement() {
    let fixture = CallerFixture::start().await;
    let mut client = fixture.connect().await;
    let insert = client.prepare("INSERT INTO t VALUES ($1)").await.unwrap();
    let transaction = client.transaction().await.unwrap();
    assert_eq!(fixture.database.link_counts().0, 1);
    transaction.execute(&insert, &[&"a"]).await.unwrap();
    transaction.execute(&insert, &[&"b"]).await.unwrap();
    assert_eq!(fixture.database.committed(), [""; 0]);
    transaction.commit().await.unwrap();
    let committed = fixture.database.committed();
    assert_eq!(
        committed,
        ["INSERT INTO t VALUES ('a')", "INSERT INTO t VALUES ('b')"]
    );
    assert_eq!(fixture.database.link_counts(), (2, 2, 0));
}

#[tokio::test]
async fn a_failed_transaction_can_only_be_rolled_back() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    client.simple_query("BEGIN").await.unwrap();
    client
        .simple_query("INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    let error = client
        .simple_query("SELECT broken FROM t")
        .await
        .unwrap_err();
    assert_eq!(error.code().unwrap().code(), "42601");
    let error = client.simple_query("SELECT 1").await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "25P02");
    client.simple_query("COMMIT").await.unwrap();
    assert_eq!(fixture.database.committed(), [""; 0]);
    client.simple_query("SELECT 1").await.unwrap();
}

#[tokio::test]
async fn a_rollback_to_a_savepoint_recovers_a_failed_transaction() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    client.simple_query("BEGIN; SAVEPOINT s").await.unwrap();
    client
        .simple_query("SELECT broken FROM t")
        .await
        .unwrap_err();
    let rollback = "ROLLBACK TO SAVEPOINT s";
    client.simple_query(rollback).await.unwrap();
    let text = "INSERT INTO t VALUES (1)";
    client.simple_query(text).await.unwrap();
    client.simple_query("COMMIT").await.unwrap();
    assert_eq!(fixture.database.committed(), [text]);
}

#[tokio::test]
async fn block_statements_are_rejected_outside_a_block() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    for text in ["SAVEPOINT s", "SET LOCAL search_path = a", "LOCK TABLE t"] {
        let error = client.simple_query(text).await.unwrap_err();
        assert_eq!(error.code().unwrap().code(), "0A000", "{text}");
    }
    assert_eq!(fixture.database.texts(), [""; 0]);
}

#[tokio::test]
async fn daisyseam_settings_are_shown_without_a_database() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    let set = "SET daisyseam.max_age = '2s'";
    client.simple_query(set).await.unwrap();
    let show = "SHOW daisyseam.max_age";
    let answer = client.simple_query(show).await.unwrap();
    assert_eq!(first_value(&answer).as_deref(), Some("2000ms"));
    let row = client.query_one(show, &[]).await.unwrap();
    assert_eq!(row.get::<_, String>(0), "2000ms");
    assert_eq!(fixture.database.texts(), [""; 0]);
}

#[tokio::test]
async fn discard_all_resets_the_session_settings() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    let set = "SET search_path = a";
    client.simple_query(set).await.unwrap();
    client.simple_query("DISCARD ALL").await.unwrap();
    client.simple_query("SELECT 1").await.unwrap();
    assert_eq!(fixture.database.texts(), ["SELECT 1"]);
}
