//! Keys: at connect, at each request, and never in what a database gets.

mod caller_support;

use caller_support::{
    CallerFixture,
    KEY,
    VETS_KEY,
    document,
    hex,
    raw::{
        RawCaller,
        error_field,
        tags, //
    }, //
};
use pgwire::messages::{
    PgWireFrontendMessage,
    extendedquery::{
        Bind,
        Execute,
        Parse,
        Sync, //
    },
    simplequery::Query, //
};
use test_case::test_case;

fn query(text: &str) -> PgWireFrontendMessage {
    PgWireFrontendMessage::Query(Query::new(text.to_owned()))
}

#[test_case("keepers", "wrong", "bookings", "28P01"; "wrong key")]
#[test_case("keepers", "", "bookings", "28P01"; "empty key")]
#[test_case("nobody", KEY, "bookings", "28P01"; "unknown organisation")]
#[test_case("vets", KEY, "bookings", "28P01"; "key of another organisation")]
#[test_case("keepers", KEY, "nothing", "3D000"; "unknown service")]
#[test_case("keepers", "wrong", "nothing", "28P01"; "unknown service without a key")]
#[test_case("keepers", KEY, "deposits", "42501"; "service of others")]
#[tokio::test]
async fn a_caller_that_may_not_in_is_told_one_thing(
    user: &str,
    key: &str,
    service: &str,
    code: &str,
) {
    let stage = CallerFixture::start().await;
    let mut caller = RawCaller::connect(stage.address()).await;
    caller.send_startup(user, service, &[]).await;
    assert_eq!(caller.read().await.unwrap().0, b'R');
    caller.send_key(key).await;
    let answers = caller.read_until_closed().await;
    assert_eq!(tags(&answers), "E");
    assert_eq!(error_field(&answers, b'C').as_deref(), Some(code));
    assert_eq!(error_field(&answers, b'S').as_deref(), Some("FATAL"));
}

#[tokio::test]
async fn a_key_with_an_inner_nul_is_no_key() {
    let stage = CallerFixture::start().await;
    let mut caller = RawCaller::connect(stage.address()).await;
    caller.send_startup("keepers", "bookings", &[]).await;
    caller.read().await.unwrap();
    caller.send_key(&format!("{KEY}\0more")).await;
    let answers = caller.read_until_closed().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("08P01"));
}

#[tokio::test]
async fn a_key_of_a_megabyte_is_refused_before_it_is_read() {
    let stage = CallerFixture::start().await;
    let mut caller = RawCaller::connect(stage.address()).await;
    caller.send_startup("keepers", "bookings", &[]).await;
    caller.read().await.unwrap();
    // Only the head is sent: the answer must not wait for the rest.
    caller.write(b"p\x00\x10\x00\x00kkkk").await;
    let answers = caller.read_until(b'E').await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("54000"));
}

#[tokio::test]
async fn a_key_works_within_its_times_only() {
    let stage = CallerFixture::start().await;
    for (times, accepted) in [
        (
            "not_before = 2020-01-01T00:00:00Z\nnot_after = 2999-01-01T00:00:00Z",
            true,
        ),
        ("not_before = 2999-01-01T00:00:00Z", false),
        ("not_after = 2020-01-01T00:00:00Z", false),
    ] {
        let line = format!("hash = \"sha256:{}\"", hex(KEY));
        let text = document("").replace(&line, &format!("{line}\n{times}"));
        stage.publish(2, &text);
        let connected = stage.connect_with(&stage.config()).await;
        assert_eq!(connected.is_ok(), accepted, "{times}");
    }
}

#[tokio::test]
async fn a_withdrawn_key_stops_an_open_connection() {
    let stage = CallerFixture::start().await;
    let mut caller = RawCaller::log_in(stage.address(), "keepers", KEY).await;
    stage.publish(2, &document("").replace(&hex(KEY), &hex("another")));
    let answers = caller.read_until_closed().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("28000"));
}

#[tokio::test]
async fn a_key_withdrawn_in_a_transaction_rolls_it_back() {
    let stage = CallerFixture::start().await;
    let mut caller = RawCaller::log_in(stage.address(), "keepers", KEY).await;
    caller.send(query("BEGIN")).await;
    caller.read_until_ready().await;
    caller.send(query("INSERT INTO t VALUES (1)")).await;
    caller.read_until_ready().await;
    stage.publish(2, &document("").replace(&hex(KEY), &hex("another")));
    let answers = caller.read_until_closed().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("28000"));
    stage
        .database
        .wait_until(|database| database.link_counts() == (1, 1, 0))
        .await;
    assert_eq!(stage.database.committed(), [""; 0]);
    assert_eq!(stage.database.texts().last().unwrap(), "ROLLBACK");
}

#[tokio::test]
async fn a_key_withdrawn_while_a_request_waits_for_a_connection_stops_it() {
    let stage = CallerFixture::start().await;
    let mut caller = RawCaller::log_in(stage.address(), "keepers", KEY).await;
    stage.database.block_opens(true);
    caller.send(query("INSERT INTO t VALUES (1)")).await;
    stage
        .database
        .wait_until(|database| !database.accesses().is_empty())
        .await;
    stage.publish(2, &document("").replace(&hex(KEY), &hex("another")));
    stage.database.block_opens(false);
    let answers = caller.read_until_closed().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("28000"));
    assert_eq!(error_field(&answers, b'H').as_deref(), Some("not run"));
    assert_eq!(stage.database.texts(), [""; 0]);
}

#[tokio::test]
async fn a_request_waits_for_a_lease_that_comes_back_soon() {
    let stage = CallerFixture::start().await;
    let client = stage.connect().await;
    stage.expire_view_lease();
    let request = client.simple_query("SELECT 1");
    let renewal = async {
        tokio::task::yield_now().await;
        stage.publish(1, &document(""));
    };
    let (answer, ()) = tokio::join!(request, renewal);
    answer.unwrap();
}

#[tokio::test(start_paused = true)]
async fn without_a_lease_keyed_requests_are_refused_and_open_ones_served() {
    let stage = CallerFixture::start().await;
    let client = stage.connect().await;
    let mut open = RawCaller::log_in(stage.address(), "open", "").await;
    stage.expire_view_lease();
    let error = client.simple_query("SELECT 1").await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "57P03");
    open.send(query("SELECT * FROM notices")).await;
    assert_eq!(tags(&open.read_until_ready().await), "TDCSZ");
    assert!(stage.connect_with(&stage.config()).await.is_err());
}

#[test_case("SELECT '{}'"; "in a literal")]
#[test_case("SELECT 1 /* {} */"; "in a comment")]
#[test_case("INSERT INTO t VALUES ('before {} after')"; "within a literal")]
#[tokio::test]
async fn a_statement_that_holds_the_key_is_refused(text: &str) {
    let stage = CallerFixture::start().await;
    let client = stage.connect().await;
    let error = client
        .simple_query(&text.replace("{}", KEY))
        .await
        .unwrap_err();
    assert_eq!(error.code().unwrap().code(), "28000");
    client.simple_query("SELECT 1").await.unwrap();
    assert!(!stage.database.has_seen(KEY.as_bytes()));
}

#[tokio::test]
async fn a_parameter_or_a_name_that_holds_the_key_is_refused() {
    let stage = CallerFixture::start().await;
    let client = stage.connect().await;
    let statement = client.prepare("SELECT $1 FROM t").await.unwrap();
    let value = format!("x{KEY}");
    let error = client.query(&statement, &[&value]).await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "28000");
    client.query(&statement, &[&"harmless"]).await.unwrap();

    let mut caller = RawCaller::log_in(stage.address(), "keepers", KEY).await;
    let parse = Parse::new(None, "SELECT 1".to_owned(), Vec::new());
    let bind = Bind::new(Some(KEY.to_owned()), None, vec![], vec![], vec![]);
    caller.send(PgWireFrontendMessage::Parse(parse)).await;
    caller.send(PgWireFrontendMessage::Bind(bind)).await;
    let execute = Execute::new(Some(KEY.to_owned()), 0);
    caller.send(PgWireFrontendMessage::Execute(execute)).await;
    caller.send(PgWireFrontendMessage::Sync(Sync::new())).await;
    let answers = caller.read_until_ready().await;
    assert_eq!(tags(&answers), "EZ");
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("28000"));
    assert!(!stage.database.has_seen(KEY.as_bytes()));
}

#[tokio::test]
async fn no_start_up_parameter_reaches_a_database() {
    let stage = CallerFixture::start().await;
    let parameters = [("application_name", KEY), ("options", "-c search_path=a")];
    let address = stage.address();
    let mut caller = RawCaller::log_in_with(address, "keepers", KEY, &parameters).await;
    caller.send(query("SELECT 1")).await;
    caller.read_until_ready().await;
    assert!(!stage.database.has_seen(KEY.as_bytes()));
    assert!(!stage.database.has_seen(b"keepers"));
}

#[tokio::test]
async fn every_request_is_charged_to_the_organisation_of_its_key() {
    let stage = CallerFixture::start().await;
    let mut config = stage.config();
    config.user("vets").password(VETS_KEY);
    let vets = stage.connect_with(&config).await.unwrap();
    let keepers = stage.connect().await;
    vets.simple_query("SELECT 1").await.unwrap();
    keepers.simple_query("SELECT 1; SELECT 2").await.unwrap();
    let mut open = RawCaller::log_in(stage.address(), "open", "").await;
    open.send(query("SELECT * FROM notices")).await;
    open.read_until_ready().await;
    let admitted = stage.gate.admitted();
    assert_eq!(admitted, ["vets", "keepers", "keepers", "open:bookings"]);
}

#[test_case("SELECT * FROM notices", None; "its table")]
#[test_case("SELECT count(*) FROM public.notices n", None; "its table by its schema")]
#[test_case("BEGIN; SELECT * FROM notices; COMMIT", None; "in a transaction")]
#[test_case("SELECT * FROM deposits", Some("42501"); "another table")]
#[test_case("SELECT * FROM notices, deposits", Some("42501"); "another table besides")]
#[test_case("SELECT * FROM other.notices", Some("42501"); "another schema")]
#[test_case("INSERT INTO notices VALUES (1)", Some("42501"); "a write")]
#[test_case("SELECT nextval('s')", Some("42501"); "an unknown function")]
#[test_case("BEGIN; INSERT INTO notices VALUES (1); COMMIT", Some("42501"); "a write in a block")]
#[test_case("SELECT * FROM notices WHERE id IN (SELECT id FROM deposits)", Some("42501");
    "another table inside")]
#[test_case("SET search_path = other", Some("42501"); "another search path")]
#[test_case("BEGIN; SET LOCAL search_path = other; SELECT * FROM notices", Some("42501");
    "another search path in a block")]
#[test_case("SELECT * FROM notices /* hidden_write */", Some("42501"); "a hidden write")]
#[test_case("BEGIN; DECLARE c CURSOR FOR SELECT * FROM deposits", Some("42501"); "a cursor")]
#[tokio::test]
async fn an_open_route_reads_its_tables_and_nothing_else(text: &str, code: Option<&str>) {
    let stage = CallerFixture::start().await;
    let mut open = RawCaller::log_in(stage.address(), "open", "").await;
    open.send(query(text)).await;
    let answers = open.read_until_ready().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), code);
    assert_eq!(stage.database.committed(), [""; 0]);
}

#[tokio::test]
async fn an_open_route_takes_no_search_path_at_its_start() {
    let stage = CallerFixture::start().await;
    let mut open = RawCaller::connect(stage.address()).await;
    let parameters = [("options", "-c search_path=other")];
    open.send_startup("open", "bookings", &parameters).await;
    let answers = open.read_until_closed().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("42501"));
}
