//! Session consistency: sessions read their own writes on any connection, with or without a token.

mod caller_support;

use caller_support::{
    CallerFixture,
    KEY,
    VETS_KEY,
    document,
    fake::at,
    raw::{
        RawCaller,
        RawMessage,
        error_field, //
    }, //
};
use daisyseam_entry::StatementAccess;
use pgwire::messages::{
    PgWireFrontendMessage,
    simplequery::Query, //
};
use std::time::Duration;
use test_case::test_case;

fn query(text: &str) -> PgWireFrontendMessage {
    PgWireFrontendMessage::Query(Query::new(text.to_owned()))
}

/// Returns the session token reported in the messages.
fn token(messages: &[RawMessage]) -> Option<String> {
    let statuses = messages.iter().filter(|(tag, _)| *tag == b'S');
    statuses.map(|(_, body)| body).find_map(|body| {
        let text = String::from_utf8(body.clone()).unwrap();
        let (name, value) = text.split_once('\0').unwrap();
        (name == "daisyseam.session").then(|| value.trim_end_matches('\0').to_owned())
    })
}

async fn log_in_with_token(fixture: &CallerFixture, token: &str) -> RawCaller {
    let options = format!("-c daisyseam.session={token}");
    let parameters = [("options", options.as_str())];
    RawCaller::log_in_with(fixture.address(), "keepers", KEY, &parameters).await
}

#[tokio::test]
async fn a_session_without_a_token_fetches_its_floor_once() {
    let fixture = CallerFixture::start().await;
    fixture.database.set_log_end(480);
    let client = fixture.connect().await;
    client.simple_query("SELECT 1").await.unwrap();
    client.simple_query("SELECT 2").await.unwrap();
    let expected = [StatementAccess::ReadAtLeast(at(480)); 2];
    assert_eq!(fixture.database.accesses(), expected);
    assert_eq!(fixture.database.barrier_count(), 1);
}

#[tokio::test]
async fn a_write_raises_the_floor_of_the_reads_after_it() {
    let fixture = CallerFixture::start().await;
    fixture.database.set_replica_lag(1_000);
    let client = fixture.connect().await;
    client
        .simple_query("INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    client.simple_query("SELECT 1").await.unwrap();
    let last = fixture.database.accesses().pop();
    assert_eq!(last, Some(StatementAccess::ReadAtLeast(at(16))));
    assert_eq!(fixture.database.barrier_count(), 0);
}

#[tokio::test]
async fn a_token_carries_the_floor_to_another_connection() {
    let fixture = CallerFixture::start().await;
    let mut first = RawCaller::log_in(fixture.address(), "keepers", KEY).await;
    first.send(query("INSERT INTO t VALUES (1)")).await;
    let token = token(&first.read_until_ready().await).expect("a token");
    let mut second = log_in_with_token(&fixture, &token).await;
    second.send(query("SELECT 1")).await;
    second.read_until_ready().await;
    let last = fixture.database.accesses().pop();
    assert_eq!(last, Some(StatementAccess::ReadAtLeast(at(16))));
    assert_eq!(fixture.database.barrier_count(), 0);
}

#[tokio::test]
async fn a_token_is_reported_only_when_it_changes() {
    let fixture = CallerFixture::start().await;
    let mut caller = RawCaller::log_in(fixture.address(), "keepers", KEY).await;
    caller.send(query("SELECT 1")).await;
    assert!(token(&caller.read_until_ready().await).is_some());
    caller.send(query("SELECT 1")).await;
    assert_eq!(token(&caller.read_until_ready().await), None);
}

#[tokio::test]
async fn a_token_of_another_organisation_or_term_is_rejected() {
    let fixture = CallerFixture::start().await;
    let mut caller = RawCaller::log_in(fixture.address(), "keepers", KEY).await;
    caller.send(query("INSERT INTO t VALUES (1)")).await;
    let token = token(&caller.read_until_ready().await).unwrap();
    for token in [token.as_str(), "1-1-1-1", "2-1-1-1", "rubbish"] {
        let mut other = RawCaller::connect(fixture.address()).await;
        let options = format!("-c daisyseam.session={token}");
        other
            .send_startup("vets", "bookings", &[("options", &options)])
            .await;
        other.read().await.unwrap();
        other.send_key(VETS_KEY).await;
        let answers = other.read_until_closed().await;
        assert_eq!(error_field(&answers, b'C').as_deref(), Some("22023"));
    }
}

#[tokio::test]
async fn a_token_beyond_all_acknowledged_writes_is_rejected() {
    let fixture = CallerFixture::start().await;
    fixture.database.set_log_end(4_096);
    let mut first = RawCaller::log_in(fixture.address(), "keepers", KEY).await;
    first.send(query("SELECT 1")).await;
    let token = token(&first.read_until_ready().await).unwrap();
    fixture.database.set_log_end(16);
    let mut second = log_in_with_token(&fixture, &token).await;
    second.send(query("SELECT 1")).await;
    let answers = second.read_until_ready().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("22023"));
}

#[tokio::test]
async fn max_age_still_includes_the_session_s_own_writes() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    client
        .simple_query("SET daisyseam.max_age = '2s'")
        .await
        .unwrap();
    client.simple_query("SELECT 1").await.unwrap();
    client
        .simple_query("INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    client
        .simple_query("SELECT 2 /* daisyseam.max_age=500ms */")
        .await
        .unwrap();
    client
        .simple_query("RESET daisyseam.max_age")
        .await
        .unwrap();
    client.simple_query("SELECT 3").await.unwrap();
    let within = |millis, floor| StatementAccess::ReadWithin {
        age: Duration::from_millis(millis),
        floor,
    };
    let expected = [
        within(2_000, None),
        StatementAccess::Write,
        within(500, Some(at(16))),
        StatementAccess::ReadAtLeast(at(16)),
    ];
    assert_eq!(fixture.database.accesses(), expected);
    assert_eq!(fixture.database.barrier_count(), 0);
}

/// Guards against a read that misses the session's own write after the service was moved to another
/// group and back.
#[tokio::test]
async fn a_session_keeps_its_floor_while_its_service_is_moved_away_and_back() {
    let fixture = CallerFixture::start().await;
    let before = document("");
    let group = "[[group]]\nname = \"other-db\"\ndatabases = 3\nslots = 5\n\n[[service]]";
    let moved = before
        .replace("group = \"bookings-db\"", "group = \"other-db\"")
        .replacen("[[service]]", group, 1);
    let client = fixture.connect().await;
    client
        .simple_query("SET daisyseam.max_age = '2s'")
        .await
        .unwrap();
    client
        .simple_query("INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    fixture.publish(2, &moved);
    client
        .simple_query("INSERT INTO t VALUES (2)")
        .await
        .unwrap();
    fixture.publish(3, &before);
    client.simple_query("SELECT 1").await.unwrap();
    let expected = StatementAccess::ReadWithin {
        age: Duration::from_secs(2),
        floor: Some(at(16)),
    };
    assert_eq!(fixture.database.accesses().pop(), Some(expected));
}

#[test_case("-1"; "negative")]
#[test_case("9999999999999999999s"; "too large")]
#[test_case("3 fortnights"; "no unit")]
#[tokio::test]
async fn an_invalid_max_age_is_rejected(age: &str) {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    let text = format!("SET daisyseam.max_age = '{age}'");
    let error = client.simple_query(&text).await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "22023");
    client.simple_query("SELECT 1").await.unwrap();
}

#[tokio::test]
async fn a_read_only_transaction_runs_on_a_single_replica() {
    let fixture = CallerFixture::start().await;
    let mut client = fixture.connect().await;
    let builder = client.build_transaction().read_only(true);
    let transaction = builder.start().await.unwrap();
    transaction.simple_query("SELECT 1").await.unwrap();
    transaction.simple_query("SELECT 2").await.unwrap();
    transaction.commit().await.unwrap();
    assert_eq!(
        fixture.database.accesses(),
        [StatementAccess::ReadAtLeast(at(0))]
    );
    assert_eq!(fixture.database.link_counts(), (1, 1, 0));
}

#[tokio::test]
async fn settings_are_replayed_in_each_transaction() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    client.simple_query("SET search_path = a, b").await.unwrap();
    client.simple_query("SELECT 1").await.unwrap();
    client.simple_query("RESET ALL").await.unwrap();
    client.simple_query("SELECT 2").await.unwrap();
    let expected = [
        "BEGIN READ ONLY",
        "SET LOCAL search_path = 'a', 'b'",
        "SELECT 1",
        "COMMIT",
        "SELECT 2",
    ];
    assert_eq!(fixture.database.texts(), expected);
}
