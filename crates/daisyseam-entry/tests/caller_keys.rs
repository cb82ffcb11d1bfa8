//! Keys are checked on login and on each request, and are never sent to a database.

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
async fn a_rejected_login_gets_a_single_error(user: &str, key: &str, service: &str, code: &str) {
    let fixture = CallerFixture::start().await;
    let mut caller = RawCaller::connect(fixture.address()).await;
    caller.send_startup(user, service, &[]).await;
    assert_eq!(caller.read().await.unwrap().0, b'R');
    caller.send_key(key).await;
    let answers = caller.read_until_closed().await;
    assert_eq!(tags(&answers), "E");
    assert_eq!(error_field(&answers, b'C').as_deref(), Some(code));
    assert_eq!(error_field(&answers, b'S').as_deref(), Some("FATAL"));
}

#[tokio::test]
async fn a_key_that_contains_nul_is_rejected() {
    let fixture = CallerFixture::start().await;
    let mut caller = RawCaller::connect(fixture.address()).await;
    caller.send_startup("keepers", "bookings", &[]).await;
    caller.read().await.unwrap();
    caller.send_key(&format!("{KEY}\0more")).await;
    let answers = caller.read_until_closed().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("08P01"));
}

#[tokio::test]
async fn an_oversized_key_is_rejected_before_it_is_read() {
    let fixture = CallerFixture::start().await;
    let mut caller = RawCaller::connect(fixture.address()).await;
    caller.send_startup("keepers", "bookings", &[]).await;
    caller.read().await.unwrap();
    // Sends only the header; the server must respond without waiting for the body.
    caller.write(b"p\x00\x10\x00\x00kkkk").await;
    let answers = caller.read_until(b'E').await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("54000"));
}

#[tokio::test]
async fn a_key_is_accepted_only_within_its_validity_period() {
    let fixture = CallerFixture::start().await;
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
        fixture.publish(2, &text);
        let connected = fixture.connect_with(&fixture.config()).await;
        assert_eq!(connected.is_ok(), accepted, "{times}");
    }
}

#[tokio::test]
async fn withdrawing_a_key_closes_open_connections() {
    let fixture = CallerFixture::start().await;
    let mut caller = RawCaller::log_in(fixture.address(), "keepers", KEY).await;
    fixture.publish(2, &document("").replace(&hex(KEY), &hex("another")));
    let answers = caller.read_until_closed().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("28000"));
}

#[tokio::test]
async fn withdrawing_a_key_rolls_back_an_open_transaction() {
    let fixture = CallerFixture::start().await;
    let mut caller = RawCaller::log_in(fixture.address(), "keepers", KEY).await;
    caller.send(query("BEGIN")).await;
    caller.read_until_ready().await;
    caller.send(query("INSERT INTO t VALUES (1)")).await;
    caller.read_until_ready().await;
    fixture.publish(2, &document("").replace(&hex(KEY), &hex("another")));
    let answers = caller.read_until_closed().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("28000"));
    fixture
        .database
        .wait_until(|database| database.link_counts() == (1, 1, 0))
        .await;
    assert_eq!(fixture.database.committed(), [""; 0]);
    assert_eq!(fixture.database.texts().last().unwrap(), "ROLLBACK");
}

#[tokio::test]
async fn withdrawing_a_key_stops_a_request_that_waits_for_a_connection() {
    let fixture = CallerFixture::start().await;
    let mut caller = RawCaller::log_in(fixture.address(), "keepers", KEY).await;
    fixture.database.block_opens(true);
    caller.send(query("INSERT INTO t VALUES (1)")).await;
    fixture
        .database
        .wait_until(|database| !database.accesses().is_empty())
        .await;
    fixture.publish(2, &document("").replace(&hex(KEY), &hex("another")));
    fixture.database.block_opens(false);
    let answers = caller.read_until_closed().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("28000"));
    assert_eq!(error_field(&answers, b'H').as_deref(), Some("not run"));
    assert_eq!(fixture.database.texts(), [""; 0]);
}

#[tokio::test]
async fn a_request_waits_for_a_view_lease_that_is_renewed_soon() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    fixture.expire_view_lease();
    let request = client.simple_query("SELECT 1");
    let renewal = async {
        tokio::task::yield_now().await;
        fixture.publish(1, &document(""));
    };
    let (answer, ()) = tokio::join!(request, renewal);
    answer.unwrap();
}

#[tokio::test(start_paused = true)]
async fn without_a_view_lease_only_open_routes_are_served() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    let mut open = RawCaller::log_in(fixture.address(), "open", "").await;
    fixture.expire_view_lease();
    let error = client.simple_query("SELECT 1").await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "57P03");
    open.send(query("SELECT * FROM notices")).await;
    assert_eq!(tags(&open.read_until_ready().await), "TDCSZ");
    assert!(fixture.connect_with(&fixture.config()).await.is_err());
}

#[test_case("SELECT '{}'"; "in a literal")]
#[test_case("SELECT 1 /* {} */"; "in a comment")]
#[test_case("INSERT INTO t VALUES ('before {} after')"; "within a literal")]
#[tokio::test]
async fn a_statement_that_contains_the_key_is_rejected(text: &str) {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    let error = client
        .simple_query(&text.replace("{}", KEY))
        .await
        .unwrap_err();
    assert_eq!(error.code().unwrap().code(), "28000");
    client.simple_query("SELECT 1").await.unwrap();
    assert!(!fixture.database.has_seen(KEY.as_bytes()));
}

#[tokio::test]
async fn a_parameter_or_name_that_contains_the_key_is_rejected() {
    let fixture = CallerFixture::start().await;
    let client = fixture.connect().await;
    let statement = client.prepare("SELECT $1 FROM t").await.unwrap();
    let value = format!("x{KEY}");
    let error = client.query(&statement, &[&value]).await.unwrap_err();
    assert_eq!(error.code().unwrap().code(), "28000");
    client.query(&statement, &[&"harmless"]).await.unwrap();

    let mut caller = RawCaller::log_in(fixture.address(), "keepers", KEY).await;
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
    assert!(!fixture.database.has_seen(KEY.as_bytes()));
}

#[tokio::test]
async fn startup_parameters_are_not_sent_to_databases() {
    let fixture = CallerFixture::start().await;
    let parameters = [("application_name", KEY), ("options", "-c search_path=a")];
    let address = fixture.address();
    let mut caller = RawCaller::log_in_with(address, "keepers", KEY, &parameters).await;
    caller.send(query("SELECT 1")).await;
    caller.read_until_ready().await;
    assert!(!fixture.database.has_seen(KEY.as_bytes()));
    assert!(!fixture.database.has_seen(b"keepers"));
}

#[tokio::test]
async fn every_request_is_charged_to_the_organisation_of_its_key() {
    let fixture = CallerFixture::start().await;
    let mut config = fixture.config();
    config.user("vets").password(VETS_KEY);
    let vets = fixture.connect_with(&config).await.unwrap();
    let keepers = fixture.connect().await;
    vets.simple_query("SELECT 1").await.unwrap();
    keepers.simple_query("SELECT 1; SELECT 2").await.unwrap();
    let mut open = RawCaller::log_in(fixture.address(), "open", "").await;
    open.send(query("SELECT * FROM notices")).await;
    open.read_until_ready().await;
    let admitted = fixture.gate.admitted();
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
async fn an_open_route_can_only_read_its_tables(text: &str, code: Option<&str>) {
    let fixture = CallerFixture::start().await;
    let mut open = RawCaller::log_in(fixture.address(), "open", "").await;
    open.send(query(text)).await;
    let answers = open.read_until_ready().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), code);
    assert_eq!(fixture.database.committed(), [""; 0]);
}

#[tokio::test]
async fn an_open_route_rejects_a_search_path_at_startup() {
    let fixture = CallerFixture::start().await;
    let mut open = RawCaller::connect(fixture.address()).await;
    let parameters = [("options", "-c search_path=other")];
    open.send_startup("open", "bookings", &parameters).await;
    let answers = open.read_until_closed().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("42501"));
}
