//! PostgreSQL protocol: startup, batches, portals, large results and invalid input.

mod caller_support;

use caller_support::{
    CallerFixture,
    KEY,
    raw::{
        RawCaller,
        RawMessage,
        error_field,
        tags, //
    }, //
};
use pgwire::messages::{
    PgWireFrontendMessage,
    extendedquery::{
        Bind,
        Close,
        Describe,
        Execute,
        Flush,
        Parse,
        Sync, //
    },
    simplequery::Query, //
};
use proptest::{
    prelude::*,
    test_runner::{
        Config,
        TestRunner, //
    }, //
};
use test_case::test_case;

const SSL_REQUEST: &[u8] = &[0, 0, 0, 8, 4, 210, 22, 47];
const GSS_REQUEST: &[u8] = &[0, 0, 0, 8, 4, 210, 22, 48];

fn query(text: &str) -> PgWireFrontendMessage {
    PgWireFrontendMessage::Query(Query::new(text.to_owned()))
}

fn parse(name: &str, text: &str) -> PgWireFrontendMessage {
    let name = (!name.is_empty()).then(|| name.to_owned());
    PgWireFrontendMessage::Parse(Parse::new(name, text.to_owned(), Vec::new()))
}

fn bind(portal: &str, name: &str) -> PgWireFrontendMessage {
    let name = (!name.is_empty()).then(|| name.to_owned());
    let portal = (!portal.is_empty()).then(|| portal.to_owned());
    PgWireFrontendMessage::Bind(Bind::new(portal, name, vec![], vec![], vec![]))
}

fn describe(target: u8, name: &str) -> PgWireFrontendMessage {
    let name = (!name.is_empty()).then(|| name.to_owned());
    PgWireFrontendMessage::Describe(Describe::new(target, name))
}

fn execute(portal: &str, max_rows: i32) -> PgWireFrontendMessage {
    let portal = (!portal.is_empty()).then(|| portal.to_owned());
    PgWireFrontendMessage::Execute(Execute::new(portal, max_rows))
}

fn sync() -> PgWireFrontendMessage {
    PgWireFrontendMessage::Sync(Sync::new())
}

fn flush() -> PgWireFrontendMessage {
    PgWireFrontendMessage::Flush(Flush::new())
}

async fn log_in(fixture: &CallerFixture) -> RawCaller {
    RawCaller::log_in(fixture.address(), "keepers", KEY).await
}

async fn send_all(
    caller: &mut RawCaller,
    messages: impl IntoIterator<Item = PgWireFrontendMessage>,
) {
    for message in messages {
        caller.send(message).await;
    }
}

/// Returns the tags of a response, without the parameter status that reports the session token.
fn response_tags(messages: &[RawMessage]) -> String {
    tags(messages).replace('S', "")
}

#[tokio::test]
async fn encryption_requests_are_answered_before_the_startup_packet() {
    let fixture = CallerFixture::start().await;
    let mut caller = RawCaller::connect(fixture.address()).await;
    caller.write(GSS_REQUEST).await;
    assert_eq!(caller.read_byte().await, b'N');
    caller.write(SSL_REQUEST).await;
    assert_eq!(caller.read_byte().await, b'N');
    caller.send_startup("keepers", "bookings", &[]).await;
    assert_eq!(caller.read().await.unwrap().0, b'R');
}

#[test_case(&[0, 0, 0, 4, 0, 3, 0, 0], "08P01"; "too short")]
#[test_case(&[255, 255, 255, 255, 0, 3, 0, 0], "08P01"; "negative length")]
#[test_case(&[0, 1, 0, 0, 0, 3, 0, 0], "08P01"; "too long")]
#[test_case(&[0, 0, 0, 9, 0, 2, 0, 0, 0], "08P01"; "protocol 2")]
#[test_case(b"GET / HTTP/1.1\r\n\r\n", "08P01"; "another protocol")]
#[test_case(&[0, 0, 0, 8, 4, 210, 22, 47, 22, 3, 1, 2, 0], "08P01"; "bytes after the TLS request")]
#[tokio::test]
async fn an_invalid_startup_packet_gets_a_single_error(bytes: &[u8], code: &str) {
    let fixture = CallerFixture::start().await;
    let mut caller = RawCaller::connect(fixture.address()).await;
    caller.write(bytes).await;
    let answers = caller.read_until_closed().await;
    assert_eq!(tags(&answers), "E");
    assert_eq!(error_field(&answers, b'C').as_deref(), Some(code));
    fixture.server.drained().await;
}

#[test_case(&[("options", "-c work_mem=1MB")], "22023"; "a setting that is not supported")]
#[test_case(&[("options", "-x")], "22023"; "an unknown option")]
#[test_case(&[("options", "-c daisyseam.max_age=-5")], "22023"; "a negative age")]
#[test_case(&[("replication", "true")], "0A000"; "replication")]
#[test_case(&[("client_encoding", "LATIN1")], "22023"; "another encoding")]
#[tokio::test]
async fn an_invalid_startup_parameter_is_rejected(parameters: &[(&str, &str)], code: &str) {
    let fixture = CallerFixture::start().await;
    let mut caller = RawCaller::connect(fixture.address()).await;
    caller.send_startup("keepers", "bookings", parameters).await;
    let answers = caller.read_until_closed().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some(code));
}

#[tokio::test]
async fn a_half_open_connection_is_cleaned_up() {
    let fixture = CallerFixture::start().await;
    let mut caller = RawCaller::connect(fixture.address()).await;
    caller.write(&[0, 0, 0, 40, 0, 3]).await;
    caller.shut_down().await;
    caller.read_until_closed().await;
    fixture.server.drained().await;
}

#[test_case(&[b'Q', 0, 0, 0, 3], "08P01"; "a length below its own")]
#[test_case(&[b'!', 0, 0, 0, 4], "08P01"; "an unknown type")]
#[test_case(&[b'Q', 127, 0, 0, 0, 1], "54000"; "a length above the limit")]
#[test_case(&[b'Q', 0, 0, 0, 6, b'a', b'b'], "08P01"; "a text without its end")]
#[test_case(&[b'Q', 0, 0, 0, 8, b'a', 0, b'b', 0], "08P01"; "a text with an inner end")]
#[test_case(&[b'P', 0, 0, 0, 8, 0, 0, 255, 255], "08P01"; "more types than there are")]
#[test_case(&[b'B', 0, 0, 0, 10, 0, 0, 0, 0, 255, 255], "08P01"; "more values than there are")]
#[test_case(&[b'D', 0, 0, 0, 6, b'X', 0], "08P01"; "an unknown target")]
#[test_case(&[b'E', 0, 0, 0, 5, 0], "08P01"; "no row count")]
#[test_case(&[b'p', 0, 0, 0, 5, 0], "08P01"; "a password again")]
#[tokio::test]
async fn an_invalid_message_closes_the_connection(bytes: &[u8], code: &str) {
    let fixture = CallerFixture::start().await;
    let mut caller = log_in(&fixture).await;
    caller.write(bytes).await;
    let answers = caller.read_until_closed().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some(code));
    fixture.server.drained().await;
}

#[tokio::test]
async fn an_oversized_message_is_rejected_before_it_is_read() {
    let fixture = CallerFixture::with_limits("message_bytes = 1024").await;
    let mut caller = log_in(&fixture).await;
    caller.write(&[b'Q', 0, 0, 4, 1]).await;
    let answers = caller.read_until_closed().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("54000"));
}

#[tokio::test]
async fn a_statement_that_is_not_utf_8_is_rejected_without_closing_the_connection() {
    let fixture = CallerFixture::start().await;
    let mut caller = log_in(&fixture).await;
    caller.write(b"Q\x00\x00\x00\x08\xff\xfe\xfd\x00").await;
    let answers = caller.read_until_ready().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("42601"));
    caller.send(query("SELECT 1")).await;
    assert_eq!(response_tags(&caller.read_until_ready().await), "TDCZ");
}

#[tokio::test]
async fn copy_is_rejected_without_closing_the_connection() {
    let fixture = CallerFixture::start().await;
    let mut caller = log_in(&fixture).await;
    caller.send(query("COPY t FROM STDIN")).await;
    let answers = caller.read_until_ready().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("0A000"));
    // A client that sends copy data nevertheless must not break the session.
    caller.write(b"d\x00\x00\x00\x05xc\x00\x00\x00\x04").await;
    caller.send(query("")).await;
    assert_eq!(response_tags(&caller.read_until_ready().await), "IZ");
}

#[tokio::test]
async fn a_newer_minor_version_is_negotiated_down() {
    let fixture = CallerFixture::start().await;
    let mut caller = RawCaller::connect(fixture.address()).await;
    let body = b"user\0keepers\0database\0bookings\0\0";
    let length = u32::try_from(body.len() + 8).unwrap();
    let header = [&length.to_be_bytes()[..], &[0, 3, 0, 2]].concat();
    caller.write(&[&header[..], &body[..]].concat()).await;
    let (tag, version) = caller.read().await.unwrap();
    assert_eq!((tag, &version[..4]), (b'v', &[0, 3, 0, 0][..]));
    assert_eq!(caller.read().await.unwrap().0, b'R');
}

#[tokio::test]
async fn pipelined_batches_are_answered_in_order() {
    let fixture = CallerFixture::start().await;
    let mut caller = log_in(&fixture).await;
    let batch = |text: &str| [parse("", text), bind("", ""), execute("", 0), sync()];
    send_all(&mut caller, batch("SELECT 1")).await;
    send_all(&mut caller, batch("INSERT INTO t VALUES (1)")).await;
    send_all(&mut caller, batch("SELECT broken")).await;
    send_all(&mut caller, batch("SELECT 2")).await;
    assert_eq!(response_tags(&caller.read_until_ready().await), "12DCZ");
    assert_eq!(response_tags(&caller.read_until_ready().await), "12CZ");
    assert_eq!(response_tags(&caller.read_until_ready().await), "12EZ");
    assert_eq!(response_tags(&caller.read_until_ready().await), "12DCZ");
}

#[tokio::test]
async fn an_error_skips_the_rest_of_its_batch() {
    let fixture = CallerFixture::start().await;
    let mut caller = log_in(&fixture).await;
    let messages = [
        parse("a", "SELECT 1"),
        parse("b", "SELECT unparsable"),
        parse("c", "SELECT 3"),
        sync(),
    ];
    send_all(&mut caller, messages).await;
    assert_eq!(response_tags(&caller.read_until_ready().await), "1EZ");
    for (name, expected) in [("a", "2DCZ"), ("b", "EZ"), ("c", "EZ")] {
        send_all(&mut caller, [bind("", name), execute("", 0), sync()]).await;
        assert_eq!(
            response_tags(&caller.read_until_ready().await),
            expected,
            "{name}"
        );
    }
}

#[tokio::test]
async fn a_rejected_statement_fails_its_batch_before_anything_runs() {
    let fixture = CallerFixture::start().await;
    let mut caller = log_in(&fixture).await;
    let messages = [
        parse("", "INSERT INTO t VALUES (1)"),
        bind("", ""),
        execute("", 0),
        parse("", "LISTEN a"),
        sync(),
    ];
    send_all(&mut caller, messages).await;
    assert_eq!(response_tags(&caller.read_until_ready().await), "EZ");
    assert_eq!(fixture.database.texts(), [""; 0]);
}

#[tokio::test]
async fn a_batch_can_begin_and_end_transactions() {
    let fixture = CallerFixture::start().await;
    let mut caller = log_in(&fixture).await;
    let messages = [
        parse("", "BEGIN"),
        bind("", ""),
        execute("", 0),
        parse("", "INSERT INTO t VALUES (1)"),
        bind("", ""),
        describe(b'P', ""),
        execute("", 0),
        sync(),
    ];
    send_all(&mut caller, messages).await;
    let answers = caller.read_until_ready().await;
    assert_eq!(response_tags(&answers), "12C12nCZ");
    assert_eq!(answers.last().unwrap().1, b"T");
    assert_eq!(fixture.database.committed(), [""; 0]);
    let messages = [parse("", "COMMIT"), bind("", ""), execute("", 0), sync()];
    send_all(&mut caller, messages).await;
    let answers = caller.read_until_ready().await;
    assert_eq!(response_tags(&answers), "12CZ");
    assert_eq!(answers.last().unwrap().1, b"I");
    assert_eq!(fixture.database.committed(), ["INSERT INTO t VALUES (1)"]);
}

#[tokio::test]
async fn flush_returns_responses_before_the_batch_ends() {
    let fixture = CallerFixture::start().await;
    let mut caller = log_in(&fixture).await;
    let first = [
        parse("s", "INSERT INTO t VALUES (1)"),
        describe(b'S', "s"),
        flush(),
    ];
    send_all(&mut caller, first).await;
    assert_eq!(response_tags(&caller.read_until(b'n').await), "1tn");
    send_all(&mut caller, [bind("", "s"), execute("", 0), flush()]).await;
    assert_eq!(response_tags(&caller.read_until(b'C').await), "2C");
    assert_eq!(fixture.database.committed(), [""; 0]);
    caller.send(sync()).await;
    assert_eq!(response_tags(&caller.read_until_ready().await), "Z");
    assert_eq!(fixture.database.committed(), ["INSERT INTO t VALUES (1)"]);
    assert_eq!(fixture.database.link_counts(), (2, 2, 0));
}

#[tokio::test]
async fn an_error_after_a_flush_rolls_back_the_whole_batch() {
    let fixture = CallerFixture::start().await;
    let mut caller = log_in(&fixture).await;
    let insert = parse("", "INSERT INTO t VALUES (1)");
    send_all(&mut caller, [insert, bind("", ""), execute("", 0), flush()]).await;
    caller.read_until(b'C').await;
    let broken = parse("", "SELECT broken");
    send_all(&mut caller, [broken, bind("", ""), execute("", 0), sync()]).await;
    assert_eq!(response_tags(&caller.read_until_ready().await), "12EZ");
    assert_eq!(fixture.database.committed(), [""; 0]);
    assert_eq!(fixture.database.link_counts(), (1, 1, 0));
}

#[tokio::test]
async fn a_portal_ends_with_its_transaction() {
    let fixture = CallerFixture::start().await;
    let mut caller = log_in(&fixture).await;
    caller.send(query("BEGIN")).await;
    caller.read_until_ready().await;
    let messages = [
        parse("", "SELECT 1"),
        bind("p", ""),
        execute("p", 1),
        sync(),
    ];
    send_all(&mut caller, messages).await;
    assert_eq!(response_tags(&caller.read_until_ready().await), "12DsZ");
    send_all(&mut caller, [execute("p", 0), sync()]).await;
    assert_eq!(response_tags(&caller.read_until_ready().await), "DCZ");
    let close = PgWireFrontendMessage::Close(Close::new(b'P', Some("p".to_owned())));
    send_all(&mut caller, [close, sync()]).await;
    assert_eq!(response_tags(&caller.read_until_ready().await), "3Z");
    caller.send(query("COMMIT")).await;
    caller.read_until_ready().await;
    send_all(&mut caller, [execute("p", 0), sync()]).await;
    assert_eq!(response_tags(&caller.read_until_ready().await), "EZ");
}

#[tokio::test]
async fn a_closed_prepared_statement_is_removed() {
    let fixture = CallerFixture::start().await;
    let mut caller = log_in(&fixture).await;
    send_all(&mut caller, [parse("s", "SELECT 1"), sync()]).await;
    caller.read_until_ready().await;
    let close = || PgWireFrontendMessage::Close(Close::new(b'S', Some("s".to_owned())));
    let opened = fixture.database.link_counts().0;
    send_all(&mut caller, [close(), sync()]).await;
    assert_eq!(response_tags(&caller.read_until_ready().await), "3Z");
    assert_eq!(fixture.database.link_counts().0, opened);
    send_all(&mut caller, [bind("", "s"), sync()]).await;
    assert_eq!(response_tags(&caller.read_until_ready().await), "EZ");
    send_all(&mut caller, [parse("s", "SELECT 2"), sync()]).await;
    assert_eq!(response_tags(&caller.read_until_ready().await), "1Z");
}

#[tokio::test]
async fn a_long_batch_is_sent_in_chunks_and_answered_completely() {
    let fixture = CallerFixture::start().await;
    let mut caller = log_in(&fixture).await;
    caller.send(parse("", "INSERT INTO t VALUES (1)")).await;
    for _ in 0..500 {
        send_all(&mut caller, [bind("", ""), execute("", 0)]).await;
    }
    caller.send(sync()).await;
    let answers = caller.read_until_ready().await;
    assert_eq!(response_tags(&answers), format!("1{}Z", "2C".repeat(500)));
    assert_eq!(fixture.database.committed().len(), 500);
}

#[tokio::test]
async fn several_statements_in_one_query_share_a_transaction() {
    let fixture = CallerFixture::start().await;
    let mut caller = log_in(&fixture).await;
    caller
        .send(query("BEGIN; INSERT INTO t VALUES (1); COMMIT; SELECT 1"))
        .await;
    let answers = caller.read_until_ready().await;
    assert_eq!(error_field(&answers, b'C').as_deref(), Some("0A000"));
    caller
        .send(query("BEGIN; INSERT INTO t VALUES (1); COMMIT"))
        .await;
    assert_eq!(response_tags(&caller.read_until_ready().await), "CCCZ");
    caller
        .send(query("INSERT INTO t VALUES (2); INSERT INTO t VALUES (3)"))
        .await;
    caller.read_until_ready().await;
    let text = "INSERT INTO t VALUES (2); INSERT INTO t VALUES (3)";
    assert_eq!(
        fixture.database.committed(),
        ["INSERT INTO t VALUES (1)", text]
    );
}

#[tokio::test]
async fn a_large_result_is_delivered_completely() {
    let fixture = CallerFixture::start().await;
    let mut caller = log_in(&fixture).await;
    caller.send(query("SELECT * FROM rows_50000")).await;
    let answers = caller.read_until_ready().await;
    let rows = answers.iter().filter(|(tag, _)| *tag == b'D').count();
    assert_eq!(rows, 50_000);
}

#[test]
fn arbitrary_bytes_do_not_stop_the_server() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let fixture = runtime.block_on(CallerFixture::start());
    let tag = prop::sample::select(&b"QPBCDEfHSXpcdR!"[..]);
    let body = prop::collection::vec(any::<u8>(), 0..40);
    let message = (tag, body).prop_map(|(tag, body)| {
        let length = u32::try_from(body.len() + 4).unwrap();
        [&[tag][..], &length.to_be_bytes()[..], &body[..]].concat()
    });
    let garbage = prop::collection::vec(any::<u8>(), 0..60);
    let bytes = prop::collection::vec(prop_oneof![message, garbage], 0..6);
    let mut runner = TestRunner::new(Config::with_cases(200));
    runner
        .run(&(any::<bool>(), bytes), |(logged_in, bytes)| {
            runtime.block_on(async {
                let mut caller = match logged_in {
                    true => log_in(&fixture).await,
                    false => RawCaller::connect(fixture.address()).await,
                };
                // The server may close the connection before all bytes are written.
                let _ = caller.try_write(&bytes.concat()).await;
                let _ = caller.try_shut_down().await;
                caller.read_until_closed().await;
                // The session must end, and new ones must still be served.
                fixture.server.drained().await;
                log_in(&fixture).await.send(query("SELECT 1")).await;
            });
            Ok(())
        })
        .unwrap();
    runtime.block_on(async {
        let client = fixture.connect().await;
        client.simple_query("SELECT 1").await.unwrap();
    });
}
