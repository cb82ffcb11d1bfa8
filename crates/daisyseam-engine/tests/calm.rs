//! Tests of sessions without failures.

mod support;

use daisyseam_engine::{
    RequestVerb,
    TransactionState, //
};
use daisyseam_model::ErrorKind;
use support::{
    Fleet,
    caller::{
        BEGIN,
        CallerEvent,
        execute,
        prepare,
        read,
        set,
        write, //
    }, //
};

#[tokio::test(start_paused = true)]
async fn reads_and_writes_go_where_they_may() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("session").await;
    assert_eq!(caller.ok(write("write x")).await, "p-1");
    // No replica holds the write yet.
    assert_eq!(caller.ok(read("read x")).await, "p-1");
    fleet.databases.with("a", |a| a.position.position.0 = 101);
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    fleet.databases.with("p", |p| p.calls.clear());
    let mut receipts = Vec::new();
    for _ in 0..8 {
        receipts.push(caller.ok(read("read x")).await);
    }
    assert!(receipts.contains(&"a-1".to_owned()), "{receipts:?}");
    assert!(
        fleet
            .databases
            .calls("a")
            .contains(&"1 read x @101".to_owned())
    );
}

#[tokio::test(start_paused = true)]
async fn a_transaction_runs_on_one_connection_and_begins_with_its_first_statement() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    let answer = caller.ask(BEGIN).await;
    assert_eq!(
        (answer.outcome, answer.state),
        (Ok(None), TransactionState::Open)
    );
    assert!(fleet.databases.calls("p").is_empty());
    caller.ok(read("read x")).await;
    caller.ok(write("write x")).await;
    let answer = caller.ask(RequestVerb::Commit).await;
    assert_eq!(answer.state, TransactionState::Idle);
    let expected = [
        "1 connect one",
        "1 begin",
        "1 read x",
        "1 write x",
        "1 commit",
    ];
    assert_eq!(fleet.databases.calls("p"), expected);
}

#[tokio::test(start_paused = true)]
async fn an_empty_transaction_ends_without_a_database() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    for end in [RequestVerb::Commit, RequestVerb::Rollback] {
        caller.ok(BEGIN).await;
        let answer = caller.ask(end).await;
        assert_eq!(
            (answer.outcome, answer.state),
            (Ok(None), TransactionState::Idle)
        );
    }
    assert!(fleet.databases.calls("p").is_empty());
}

#[tokio::test(start_paused = true)]
async fn values_are_restored_on_another_connection() {
    let fleet = Fleet::start(30);
    let mut first = fleet.session("primary").await;
    let mut second = fleet.session("primary").await;
    first.ok(set("zone", "utc")).await;
    first.ok(read("read x")).await;
    // The other session uses the same connection, with the value discarded.
    let answer = second.ask(read("read x")).await;
    assert_eq!(answer.rows, ["read x"]);
    let answer = first.ask(read("read x")).await;
    assert_eq!(answer.rows, ["read x zone=utc"]);
    second.ok(set("zone", "cet")).await;
    second.ok(BEGIN).await;
    second.ok(read("read y")).await;
    // The transaction holds the connection, so the first session gets another one.
    let answer = first.ask(read("read x")).await;
    assert_eq!(answer.rows, ["read x zone=utc"]);
    assert_eq!(fleet.databases.with("p", |p| p.connects), 2);
}

#[tokio::test(start_paused = true)]
async fn a_value_that_was_set_in_a_transaction_that_rolled_back_is_set_anew() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    caller.ok(BEGIN).await;
    caller.ok(read("read x")).await;
    caller.ok(set("zone", "utc")).await;
    caller.ok(read("read x")).await;
    caller.ok(RequestVerb::Rollback).await;
    let answer = caller.ask(read("read x")).await;
    assert_eq!(answer.rows, ["read x zone=utc"]);
    let asked = fleet.databases.calls("p");
    let tail = &asked[asked.len() - 3..];
    assert_eq!(tail, ["1 discard", "1 set zone=utc", "1 read x @100"]);
}

#[tokio::test(start_paused = true)]
async fn prepared_names_of_two_sessions_may_collide() {
    let fleet = Fleet::start(30);
    let mut first = fleet.session("primary").await;
    let mut second = fleet.session("primary").await;
    first.ok(prepare("s1", "shape-a")).await;
    second.ok(prepare("s1", "shape-b")).await;
    assert!(fleet.databases.calls("p").is_empty());
    for _ in 0..2 {
        let answer = first.ask(execute("s1", "1")).await;
        assert_eq!(answer.rows, ["shape-a 1"]);
        let answer = second.ask(execute("s1", "1")).await;
        assert_eq!(answer.rows, ["shape-b 1"]);
    }
    let asked = fleet.databases.calls("p");
    let prepared = asked.iter().filter(|call| call.contains("prepare"));
    assert_eq!(prepared.count(), 2);
    assert_eq!(
        first.fail(execute("s2", "1")).await,
        ErrorKind::StatementUnknown
    );
    let name = "s1".into();
    first.ok(RequestVerb::Deallocate { name }).await;
    assert_eq!(
        first.fail(execute("s1", "1")).await,
        ErrorKind::StatementUnknown
    );
}

#[tokio::test(start_paused = true)]
async fn only_known_callers_get_a_session() {
    let fleet = Fleet::start(30);
    let cases = [
        ("primary", "key-none", ErrorKind::KeyRefused),
        ("none", "key-one", ErrorKind::UnknownService),
    ];
    for (service, key, expected) in cases {
        let mut caller = fleet.caller(service, key);
        match caller.event().await {
            CallerEvent::Refused(error) => assert_eq!(error.kind, expected),
            event => panic!("{event:?}"),
        }
    }
    assert_eq!(fleet.engine.open_sessions(), 0);
}
