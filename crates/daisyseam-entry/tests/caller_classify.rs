//! Classification of statements; no statement that writes may be classified as a read.

use daisyseam_entry::caller::{
    SendProgress,
    StatementKind,
    classify,
    error_answer, //
};
use daisyseam_model::{
    ErrorKind,
    Execution,
    RequestError, //
};
use pgwire::messages::PgWireBackendMessage;
use proptest::prelude::*;
use test_case::test_case;

fn statement_kinds(text: &str) -> Vec<StatementKind> {
    let classified = classify(text);
    classified
        .statements
        .into_iter()
        .map(|statement| statement.kind)
        .collect()
}

fn single_kind(text: &str) -> StatementKind {
    let mut kinds = statement_kinds(text);
    assert_eq!(kinds.len(), 1, "{text}");
    kinds.remove(0)
}

#[test_case("SELECT 1")]
#[test_case(
    "SELECT a, count(*) FROM t JOIN u USING (id) WHERE b > $1 GROUP BY a ORDER BY 2 LIMIT 5"
)]
#[test_case("WITH x AS (SELECT 1) SELECT * FROM x")]
#[test_case("SELECT * FROM generate_series(1, 10) AS n")]
#[test_case("VALUES (1), (2)")]
#[test_case("SHOW server_version")]
#[test_case("EXPLAIN SELECT 1")]
#[test_case("SELECT lower(name), now(), coalesce(a, b) FROM t -- a comment")]
#[test_case("SELECT row_number() OVER (PARTITION BY a) FROM t")]
#[test_case("SELECT j->>'a' FROM t WHERE j @> '{}'")]
fn reads_are_classified(text: &str) {
    assert!(
        matches!(single_kind(text), StatementKind::Read { .. }),
        "{text}"
    );
}

#[test_case("INSERT INTO t VALUES (1)")]
#[test_case("UPDATE t SET a = 1")]
#[test_case("DELETE FROM t")]
#[test_case("TRUNCATE t")]
#[test_case("CREATE TABLE t (a int)")]
#[test_case("SELECT * FROM t FOR UPDATE")]
#[test_case("SELECT * FROM t FOR SHARE")]
#[test_case("SELECT a INTO u FROM t")]
#[test_case("SELECT nextval('s')")]
#[test_case("SELECT random()")]
#[test_case("SELECT my_function(1)")]
#[test_case("SELECT other.lower('a')")]
#[test_case("SELECT * FROM my_function(1)")]
#[test_case("SELECT 1 OPERATOR(other.+) 2")]
#[test_case("WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x")]
#[test_case("WITH x AS (INSERT INTO t VALUES (1) RETURNING a) SELECT a FROM x")]
#[test_case("SELECT * FROM (WITH x AS (UPDATE t SET a = 1 RETURNING a) SELECT a FROM x) y")]
#[test_case("SELECT (SELECT my_function(a)) FROM t")]
#[test_case("SELECT 1 WHERE EXISTS (SELECT my_function(1))")]
#[test_case("SELECT 1 ORDER BY my_function(1)")]
#[test_case("EXPLAIN ANALYZE DELETE FROM t")]
#[test_case("EXPLAIN (ANALYZE) DELETE FROM t")]
#[test_case("CALL p()")]
#[test_case("VACUUM t")]
#[test_case("something that nobody understands")]
#[test_case("REINDEX TABLE t")]
#[test_case("TABLE notices")]
fn writes_are_classified(text: &str) {
    assert_eq!(single_kind(text), StatementKind::Write, "{text}");
}

#[test_case("LISTEN a", ErrorKind::SessionStateRefused)]
#[test_case("CREATE TEMP TABLE t (a int)", ErrorKind::SessionStateRefused)]
#[test_case("CREATE TEMPORARY TABLE t AS SELECT 1", ErrorKind::SessionStateRefused)]
#[test_case("CREATE TEMP SEQUENCE s", ErrorKind::SessionStateRefused)]
#[test_case("SELECT 1 INTO TEMP t", ErrorKind::SessionStateRefused)]
#[test_case("SELECT pg_advisory_lock(1)", ErrorKind::SessionStateRefused)]
#[test_case(
    "SELECT pg_catalog.pg_try_advisory_lock(1)",
    ErrorKind::SessionStateRefused
)]
#[test_case("SELECT set_config('a', 'b', false)", ErrorKind::SessionStateRefused)]
#[test_case(
    "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
    ErrorKind::SessionStateRefused
)]
#[test_case("PREPARE p AS SELECT 1", ErrorKind::SessionStateRefused)]
#[test_case("EXECUTE p", ErrorKind::SessionStateRefused)]
#[test_case("DEALLOCATE p", ErrorKind::SessionStateRefused)]
#[test_case("SET ROLE other", ErrorKind::SessionStateRefused)]
#[test_case("SET SESSION AUTHORIZATION other", ErrorKind::SessionStateRefused)]
#[test_case(
    "SET default_transaction_read_only = on",
    ErrorKind::SessionStateRefused
)]
#[test_case("SET client_encoding = 'LATIN1'", ErrorKind::SessionStateRefused)]
#[test_case("COPY t FROM STDIN", ErrorKind::FeatureUnsupported)]
#[test_case("COPY t TO STDOUT", ErrorKind::FeatureUnsupported)]
#[test_case("COMMIT AND CHAIN", ErrorKind::FeatureUnsupported)]
#[test_case("PREPARE TRANSACTION 'a'", ErrorKind::StatementUnclear)]
#[test_case("COMMIT PREPARED 'a'", ErrorKind::StatementUnclear)]
#[test_case("SELECT 'open", ErrorKind::StatementUnclear)]
fn unsupported_statements_are_rejected(text: &str, expected: ErrorKind) {
    match single_kind(text) {
        StatementKind::Refused { kind, .. } => assert_eq!(kind, expected, "{text}"),
        other => panic!("{text} is {other:?}"),
    }
}

#[test]
fn transaction_control_and_block_statements_are_distinguished() {
    assert!(matches!(
        single_kind("BEGIN"),
        StatementKind::Begin {
            read_only: false,
            ..
        }
    ));
    let read_only = single_kind("START TRANSACTION ISOLATION LEVEL REPEATABLE READ, READ ONLY");
    assert!(matches!(
        read_only,
        StatementKind::Begin {
            read_only: true,
            ..
        }
    ));
    assert_eq!(single_kind("END"), StatementKind::Commit);
    assert_eq!(single_kind("ROLLBACK WORK"), StatementKind::Rollback);
    for (text, allowed_after_error) in [
        ("SAVEPOINT a", false),
        ("RELEASE SAVEPOINT a", false),
        ("ROLLBACK TO SAVEPOINT a", true),
        ("SET LOCAL work_mem = '1MB'", false),
        ("SET TRANSACTION READ ONLY", false),
        ("DECLARE c CURSOR FOR SELECT 1", false),
        ("FETCH 10 FROM c", false),
        ("LOCK TABLE t", false),
        ("CREATE TEMP TABLE t (a int) ON COMMIT DROP", false),
    ] {
        assert_eq!(
            single_kind(text),
            StatementKind::Block {
                allowed_after_error
            },
            "{text}"
        );
    }
}

#[test]
fn a_text_is_split_only_outside_literals_and_comments() {
    let text = "SELECT ';' ; /* ; */ INSERT INTO t VALUES ('\u{e9};', $$;$$) ; -- ;\n;COMMIT";
    let classified = classify(text);
    let statements = classified
        .statements
        .iter()
        .map(|statement| &text[statement.span.clone()]);
    let statements: Vec<_> = statements.map(str::trim).collect();
    let insert = "/* ; */ INSERT INTO t VALUES ('\u{e9};', $$;$$)";
    assert_eq!(statements, ["SELECT ';'", insert, "COMMIT"]);
}

#[test]
fn hints_are_read_from_comments() {
    let trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let text = format!("SELECT 1 /*traceparent='{trace}',daisyseam.max_age=2s*/");
    let hints = classify(&text).hints;
    assert_eq!(hints.trace.unwrap().to_string(), trace);
    assert_eq!(hints.max_age, Some(std::time::Duration::from_secs(2)));
    assert_eq!(
        classify("SELECT '/*daisyseam.max_age=2s*/'").hints.max_age,
        None
    );
}

/// Expressions that change data wherever they are used in a query.
const WRITING_EXPRESSIONS: [&str; 7] = [
    "(WITH w AS (INSERT INTO t VALUES (1) RETURNING a) SELECT a FROM w)",
    "(WITH w AS (DELETE FROM t RETURNING a) SELECT a FROM w)",
    "(WITH w AS (UPDATE t SET a = 2 RETURNING a) SELECT a FROM w)",
    "(SELECT nextval('s'))",
    "(SELECT a FROM t LIMIT 1 FOR UPDATE)",
    "(SELECT setval('s', 1))",
    "(SELECT \"Change\"())",
];

/// Query templates with a placeholder for an expression.
fn template() -> impl Strategy<Value = String> {
    let leaf = prop_oneof![
        Just("SELECT {}".to_owned()),
        Just("SELECT a FROM t WHERE a = {}".to_owned()),
        Just("SELECT a FROM t ORDER BY {}".to_owned()),
        Just("SELECT a FROM t GROUP BY a HAVING max(a) > {}".to_owned()),
        Just("SELECT x.a FROM t x JOIN u y ON x.a = {}".to_owned()),
        Just("SELECT CASE WHEN a = {} THEN 1 ELSE 2 END FROM t".to_owned()),
        Just("SELECT sum(a) FILTER (WHERE a = {}) FROM t".to_owned()),
        Just("SELECT lower({}::text)".to_owned()),
        Just("VALUES ({})".to_owned()),
        Just("SELECT a FROM t LIMIT {}".to_owned()),
        Just("SELECT ARRAY[1, {}]".to_owned()),
        Just("SELECT sum(a) OVER (PARTITION BY {}) FROM t".to_owned()),
    ];
    leaf.prop_recursive(3, 8, 2, |inner| {
        prop_oneof![
            inner
                .clone()
                .prop_map(|query| format!("SELECT * FROM ({query}) q")),
            inner
                .clone()
                .prop_map(|query| format!("WITH c AS ({query}) SELECT * FROM c")),
            inner
                .clone()
                .prop_map(|query| format!("SELECT 1 UNION ALL ({query})")),
            inner
                .clone()
                .prop_map(|query| format!("SELECT EXISTS ({query})")),
            inner.prop_map(|query| format!("SELECT a FROM t WHERE a IN ({query})")),
        ]
    })
}

proptest! {
    #[test]
    fn a_query_with_a_writing_expression_is_never_a_read(
        explained: bool,
        template in template(),
        expression in prop::sample::select(&WRITING_EXPRESSIONS[..]),
    ) {
        let template = if explained { format!("EXPLAIN {template}") } else { template };
        let text = template.replace("{}", expression);
        for kind in statement_kinds(&text) {
            let read = matches!(kind, StatementKind::Read { .. });
            prop_assert!(!read, "{} is classified as a read", text);
        }
        // With a read-only expression, the template itself must be classified as a read.
        let text = template.replace("{}", "(SELECT 1)");
        let read = matches!(single_kind(&text), StatementKind::Read { .. });
        prop_assert!(read, "{} is not classified as a read", text);
    }

    #[test]
    fn arbitrary_texts_never_panic(text in "\\PC{0,200}") {
        classify(&text);
    }

    #[test]
    fn random_sql_tokens_never_panic_and_have_valid_spans(
        words in prop::collection::vec(
            prop::sample::select(&[
                "SELECT", "FROM", "t", "WHERE", "(", ")", ";", "INSERT", "INTO", "VALUES", "'x'",
                "$1", "WITH", "AS", "DELETE", "BEGIN", "COMMIT", "SET", "=", "LOCAL", "/*", "*/",
                "--", "\n", "$$", "\"", "E'\\''", "COPY", "DECLARE", "CURSOR", "FOR", "\u{fc}",
            ][..]),
            0..24,
        ),
    ) {
        let text = words.join(" ");
        let mut end = 0;
        for statement in classify(&text).statements {
            prop_assert!(statement.span.start >= end && statement.span.end <= text.len());
            prop_assert!(text.is_char_boundary(statement.span.start));
            prop_assert!(text.is_char_boundary(statement.span.end));
            end = statement.span.end;
        }
    }

    #[test]
    fn a_request_that_may_have_run_is_never_reported_as_not_run(
        kind in prop::sample::select(&ErrorKind::ALL[..]),
        progress in prop::sample::select(&[
            SendProgress::Unsent,
            SendProgress::Sent,
            SendProgress::RolledBack,
            SendProgress::CommitSent,
        ][..]),
    ) {
        let reported = progress.reportable_kind(kind);
        let not_run = reported.row().execution == Execution::NotRun;
        let may_have_run = matches!(progress, SendProgress::Sent | SendProgress::CommitSent);
        prop_assert!(!(not_run && may_have_run));
        let answer = error_answer(&RequestError::from(reported), progress);
        let PgWireBackendMessage::ErrorResponse(answer) = answer else {
            panic!("expected an error response");
        };
        let hint = answer.fields.iter().find(|(code, _)| *code == b'H').unwrap();
        prop_assert_eq!(hint.1.starts_with("not run"), not_run);
    }
}

#[test]
#[should_panic(expected = "says that a request did not run")]
fn reporting_a_sent_request_as_not_run_panics() {
    error_answer(&ErrorKind::NoPrimary.into(), SendProgress::Sent);
}
