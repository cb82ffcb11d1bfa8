//! Tests of the check that a database leads, before reads from one of whose log nothing is known.

mod support;

use daisyseam_engine::{
    RefusalKind,
    RequestVerb,
    TransactionMode, //
};
use daisyseam_model::LogPosition;
use support::{
    Fleet,
    caller::read,
    database::Fault, //
};
use test_case::test_case;

/// Starts an instance that has spoken to no database, and a primary with an empty log.
fn start() -> Fleet {
    let fleet = Fleet::start(30);
    let empty = LogPosition::default();
    fleet.databases.with("p", |p| p.position = empty);
    fleet
}

/// Returns the number of calls to the primary whose text starts with a verb.
fn calls(fleet: &Fleet, verb: &str) -> usize {
    let calls = fleet.databases.calls("p");
    let is_of = |call: &&String| call.split(' ').any(|word| word == verb);
    calls.iter().filter(is_of).count()
}

/// Guards against stale reads by an instance that starts together with a primary that has lost its
/// log: it knows no position of that log.
#[test_case("primary", false; "a read of the newest state")]
#[test_case("bounded", false; "a read of bounded staleness")]
#[test_case("primary", true; "a transaction")]
#[tokio::test(start_paused = true)]
async fn a_primary_that_started_again_empty_runs_no_read(service: &str, in_transaction: bool) {
    let fleet = start();
    for _ in 0..16 {
        let refusal = Fault::Refuse(RefusalKind::ReadOnly);
        fleet.databases.fault("p", "begin", refusal);
    }
    let mut caller = fleet.session(service).await;
    if in_transaction {
        let begin = RequestVerb::Begin(TransactionMode::ReadOnly);
        caller.ok(begin).await;
    }
    caller.fail(read("read 1")).await;
    assert_eq!(calls(&fleet, "read"), 0, "{:?}", fleet.databases.calls("p"));
    assert_eq!(calls(&fleet, "begin-read"), 0);
}

#[tokio::test(start_paused = true)]
async fn a_primary_whose_log_is_empty_is_read() {
    let fleet = start();
    let mut caller = fleet.session("primary").await;
    caller.ok(read("read 1")).await;
    assert_eq!(calls(&fleet, "begin"), 1);
    assert_eq!(calls(&fleet, "rollback"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_primary_is_checked_only_until_a_position_is_known() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    for _ in 0..5 {
        caller.ok(read("read 1")).await;
    }
    assert_eq!(calls(&fleet, "begin"), 1);
    let mut caller = fleet.session("bounded").await;
    caller.ok(read("read 1")).await;
    assert_eq!(calls(&fleet, "begin"), 1);
}

#[tokio::test(start_paused = true)]
async fn reads_that_wait_together_share_a_check() {
    let fleet = start();
    let mut callers = Vec::new();
    for _ in 0..10 {
        callers.push(fleet.session("primary").await);
    }
    for caller in &mut callers {
        caller.send(read("read 1"));
    }
    for caller in &mut callers {
        assert!(caller.answer().await.outcome.is_ok());
    }
    assert!(
        calls(&fleet, "begin") <= 2,
        "{:?}",
        fleet.databases.calls("p")
    );
    assert_eq!(calls(&fleet, "read"), 10);
}
