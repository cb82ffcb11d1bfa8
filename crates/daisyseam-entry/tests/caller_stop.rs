//! Cancel requests, timeouts, graceful stops and concurrent callers.

mod caller_support;

use caller_support::{
    CallerFixture,
    KEY,
    document,
    raw::{
        RawCaller,
        error_field, //
    }, //
};
use pgwire::messages::{
    PgWireFrontendMessage,
    simplequery::Query, //
};
use tokio_postgres::{
    NoTls,
    SimpleQueryMessage, //
};

fn query(text: &str) -> PgWireFrontendMessage {
    PgWireFrontendMessage::Query(Query::new(text.to_owned()))
}

async fn log_in(fixture: &CallerFixture) -> RawCaller {
    RawCaller::log_in(fixture.address(), "keepers", KEY).await
}

fn value(messages: &[SimpleQueryMessage]) -> &str {
    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    });
    rows.last().expect("a row")
}

#[tokio::test]
async fn a_cancel_reaches_the_statement_and_its_connection_is_not_used_again() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    let token = client.cancel_token();
    let slow = client.simple_query("SELECT slow");
    let cancel = async {
        fixture
            .database
            .wait_until(|database| database.texts() == ["SELECT slow"])
            .await;
        token.cancel_query(NoTls).await.unwrap();
    };
    let (answer, ()) = tokio::join!(slow, cancel);
    assert_eq!(answer.unwrap_err().code().unwrap().code(), "57014");
    assert_eq!(fixture.database.link_counts(), (1, 0, 1));
    let answer = client.simple_query("SELECT 2").await.unwrap();
    assert_eq!(value(&answer), "SELECT 2");
}

#[tokio::test]
async fn a_cancel_with_nothing_running_or_a_wrong_secret_does_nothing() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    client.cancel_token().cancel_query(NoTls).await.unwrap();
    let mut rogue = RawCaller::connect(fixture.address()).await;
    rogue
        .write(&[0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 1, 0, 0, 0, 2])
        .await;
    rogue.read_until_closed().await;
    let answer = client.simple_query("SELECT 1").await.unwrap();
    assert_eq!(value(&answer), "SELECT 1");
    assert_eq!(fixture.database.cancel_count(), 0);
}

#[tokio::test]
async fn a_statement_that_waits_for_a_connection_can_be_cancelled() {
    let fixture = CallerFixture::start().await;
    fixture.database.block_opens(true);
    let client = fixture.connect().await;
    let token = client.cancel_token();
    let waiting = client.simple_query("SELECT 1");
    let cancel = async {
        fixture
            .database
            .wait_until(|database| !database.accesses().is_empty())
            .await;
        token.cancel_query(NoTls).await.unwrap();
    };
    let (answer, ()) = tokio::join!(waiting, cancel);
    assert_eq!(answer.unwrap_err().code().unwrap().code(), "57014");
    fixture.database.block_opens(false);
    client.simple_query("SELECT 2").await.unwrap();
    assert_eq!(fixture.database.texts(), ["SELECT 2"]);
}

#[tokio::test(start_paused = true)]
async fn a_statement_past_its_deadline_is_cancelled_and_its_answer_discarded() {
    let fixture = CallerFixture::start().await;
    let mut caller = log_in(&fixture).await;
    caller.send(query("SELECT slow")).await;
    let answers = caller.read_until_ready().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("57014"));
    let hint = error_field(&answers, b'H');
    assert_eq!(hint.as_deref(), Some("unknown whether it ran"));
    assert_eq!(fixture.database.link_counts(), (1, 0, 1));
    caller.send(query("SELECT 2")).await;
    let answers = caller.read_until_ready().await;
    let row = answers.iter().find(|(tag, _)| *tag == b'D').unwrap();
    assert!(row.1.ends_with(b"SELECT 2"));
}

#[tokio::test(start_paused = true)]
async fn a_statement_that_finds_no_connection_in_time_is_not_run() {
    let fixture = CallerFixture::start().await;
    fixture.database.block_opens(true);
    let mut caller = log_in(&fixture).await;
    caller.send(query("INSERT INTO t VALUES (1)")).await;
    let answers = caller.read_until_ready().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("57014"));
    let hint = error_field(&answers, b'H');
    assert_eq!(hint.as_deref(), Some("not run; may be sent again"));
    assert_eq!(fixture.database.texts(), [""; 0]);
}

#[tokio::test(start_paused = true)]
async fn an_idle_transaction_is_rolled_back_after_its_timeout() {
    let fixture = CallerFixture::start().await;
    let mut caller = log_in(&fixture).await;
    caller.send(query("BEGIN; INSERT INTO t VALUES (1)")).await;
    caller.read_until_ready().await;
    fixture
        .database
        .wait_until(|database| database.link_counts() == (1, 0, 1))
        .await;
    caller.send(query("COMMIT")).await;
    let answers = caller.read_until_ready().await;
    let complete = answers.iter().find(|(tag, _)| *tag == b'C').unwrap();
    assert_eq!(complete.1, b"ROLLBACK\0");
    assert_eq!(fixture.database.committed(), [""; 0]);
}

#[tokio::test]
async fn a_transaction_is_rolled_back_when_its_caller_disconnects() {
    let fixture = CallerFixture::start().await;
    let mut caller = log_in(&fixture).await;
    caller.send(query("BEGIN; INSERT INTO t VALUES (1)")).await;
    caller.read_until_ready().await;
    drop(caller);
    fixture
        .database
        .wait_until(|database| database.link_counts() == (1, 1, 0))
        .await;
    assert_eq!(fixture.database.committed(), [""; 0]);
    fixture.server.drained().await;
}

#[tokio::test]
async fn a_stop_lets_transactions_finish_and_closes_idle_connections() {
    let fixture = CallerFixture::start().await;
    let mut idle = log_in(&fixture).await;
    let mut busy = log_in(&fixture).await;
    busy.send(query("BEGIN; INSERT INTO t VALUES (1)")).await;
    busy.read_until_ready().await;
    fixture.stop.stop();
    let answers = idle.read_until_closed().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("57P01"));
    busy.send(query("COMMIT")).await;
    busy.read_until_ready().await;
    assert_eq!(fixture.database.committed().len(), 1);
    let answers = busy.read_until_closed().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("57P01"));
    let mut late = RawCaller::connect(fixture.address()).await;
    late.send_startup("keepers", "bookings", &[]).await;
    let answers = late.read_until_closed().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("57P01"));
    fixture.server.drained().await;
}

#[tokio::test(start_paused = true)]
async fn a_stop_closes_a_session_whose_transaction_ran_nothing() {
    let fixture = CallerFixture::start().await;
    let mut pending = log_in(&fixture).await;
    pending.send(query("BEGIN")).await;
    pending.read_until_ready().await;
    fixture.stop.stop();
    let answers = pending.read_until_closed().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("57P01"));
    fixture.server.drained().await;
}

#[tokio::test(start_paused = true)]
async fn sessions_close_when_their_data_centre_is_out_of_service() {
    let fixture = CallerFixture::start().await;
    let mut idle = log_in(&fixture).await;
    let mut busy = log_in(&fixture).await;
    busy.send(query("BEGIN; INSERT INTO t VALUES (1)")).await;
    busy.read_until_ready().await;
    let place = "name = \"khomas-1\"\nregion = \"khomas\"";
    let other = "[[data_centre]]\nname = \"khomas-2\"\nregion = \"khomas\"";
    let out = format!("{place}\nstate = \"out\"\n\n{other}");
    fixture.publish(2, &document("").replace(place, &out));
    let answers = idle.read_until_closed().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("57P01"));
    busy.send(query("COMMIT")).await;
    busy.read_until_ready().await;
    let answers = busy.read_until_closed().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("57P01"));
    assert_eq!(fixture.database.committed().len(), 1);
    let mut late = RawCaller::connect(fixture.address()).await;
    late.send_startup("keepers", "bookings", &[]).await;
    late.read().await.unwrap();
    late.send_key(KEY).await;
    let answers = late.read_until_closed().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("57P01"));
}

#[tokio::test]
async fn connections_over_the_limit_are_rejected() {
    let fixture = CallerFixture::with_limits("connections_per_instance = 1").await;
    let first = fixture.connect().await;
    let error = fixture.connect_with(&fixture.config()).await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "53300");
    first.simple_query("SELECT 1").await.unwrap();
}

#[tokio::test]
async fn concurrent_callers_receive_their_own_answers() {
    const CALLERS: usize = 16;
    const REQUESTS: usize = 40;

    let fixture = CallerFixture::start().await;
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let client = fixture.connect().await;
        callers.push(tokio::spawn(async move {
            let read = client.prepare("SELECT $1 FROM t").await.unwrap();
            for request in 0..REQUESTS {
                let own = format!("c{caller}r{request}");
                client.simple_query("BEGIN").await.unwrap();
                let insert = format!("INSERT INTO t VALUES ('{own}')");
                client.simple_query(&insert).await.unwrap();
                let select = format!("SELECT '{own}'");
                let answer = client.simple_query(&select).await.unwrap();
                assert_eq!(value(&answer), select);
                client.simple_query("COMMIT").await.unwrap();
                let row = client.query_one(&read, &[&own]).await.unwrap();
                let answer: String = row.get(0);
                assert_eq!(answer, format!("SELECT '{own}' FROM t"));
            }
        }));
    }
    for caller in callers {
        caller.await.unwrap();
    }
    assert_eq!(fixture.database.committed().len(), CALLERS * REQUESTS);
    // Each transaction runs complete on a link of its own.
    for texts in fixture.database.texts_by_link() {
        let begins = texts.iter().filter(|text| *text == "BEGIN").count();
        let inserts = texts
            .iter()
            .filter(|text| text.starts_with("INSERT"))
            .count();
        let ends = texts.iter().filter(|text| *text == "COMMIT").count();
        assert!(
            begins <= 1 && begins == inserts && inserts == ends,
            "{texts:?}"
        );
    }
}
