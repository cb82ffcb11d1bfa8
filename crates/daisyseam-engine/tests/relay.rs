//! Tests of the connections that a few instances hold for all.

mod support;

use daisyseam_engine::{
    ConnectError,
    RefusalKind,
    RequestVerb,
    TransactionState, //
};
use daisyseam_model::{
    ErrorKind,
    Incarnation, //
};
use std::time::Duration;
use support::{
    caller::{
        BEGIN,
        execute,
        prepare,
        read,
        set,
        write, //
    },
    data_centre,
    database::Fault,
    relay::RelayFleet, //
};
use test_case::test_case;
use tokio::time::{
    Instant,
    sleep, //
};

/// Connections that each database admits: fewer than instances.
const SLOTS: usize = 10;

const INSTANCES: usize = 12;

/// Longest time until a read is answered although the first holder does not respond.
const HOLDER_LOSS_LIMIT: Duration = Duration::from_millis(900);

async fn start() -> RelayFleet {
    RelayFleet::start(INSTANCES, SLOTS).await
}

#[tokio::test]
async fn all_instances_together_stay_within_the_connections_of_a_database() {
    let fleet = start().await;
    let mut callers = Vec::new();
    for instance in &fleet.instances {
        for _ in 0..4 {
            callers.push(instance.fleet.session("primary").await);
        }
    }
    for round in 0..5 {
        for caller in &mut callers {
            caller.send(read("read x"));
        }
        for caller in &mut callers {
            let answer = caller.answer().await;
            assert!(answer.outcome.is_ok(), "round {round}: {answer:?}");
        }
    }
    let (open, connects) = fleet.databases.with("p", |p| (p.max_open, p.connects));
    assert!(open <= SLOTS, "{open} connections were open");
    // The connections are kept and used by all instances.
    assert!(
        connects <= SLOTS,
        "{connects} connections were opened for 240 reads"
    );
}

#[tokio::test]
async fn a_transaction_keeps_its_connection_over_the_relay() {
    let fleet = start().await;
    let mut caller = fleet.session("primary").await;
    caller.ok(set("zone", "n")).await;
    caller.ok(BEGIN).await;
    let first = caller.ok(write("write 1")).await;
    let mut other = fleet.session("primary").await;
    assert_ne!(other.ok(read("read x")).await, first);
    assert_eq!(caller.ok(write("write 2")).await, first);
    let answer = caller.ask(read("read y")).await;
    assert_eq!(answer.rows, ["read y zone=n"]);
    assert_eq!(answer.state, TransactionState::Open);
    assert_eq!(caller.ok(RequestVerb::Commit).await, first);
    let committed = fleet.databases.with("p", |p| p.committed.clone());
    assert_eq!(committed, ["write 1", "write 2"]);
    // The values of one session are not seen by another one on the same connection.
    let answer = other.ask(read("read z")).await;
    assert_eq!(answer.rows, ["read z"]);
}

#[tokio::test]
async fn a_rolled_back_transaction_leaves_nothing_and_frees_its_connection() {
    let fleet = start().await;
    for _ in 0..2 * SLOTS {
        let mut caller = fleet.session("primary").await;
        caller.ok(BEGIN).await;
        caller.ok(write("write 1")).await;
        caller.ok(RequestVerb::Rollback).await;
    }
    for _ in 0..2 * SLOTS {
        let mut caller = fleet.session("primary").await;
        caller.ok(BEGIN).await;
        caller.ok(write("write 1")).await;
        // The caller leaves in the middle of the transaction.
        drop(caller);
    }
    let mut caller = fleet.session("primary").await;
    caller.ok(read("read x")).await;
    assert!(fleet.databases.with("p", |p| p.committed.is_empty()));
}

#[test_case("write 2", write("write 2"); "a statement")]
#[test_case("commit", RequestVerb::Commit; "a commit")]
#[tokio::test]
async fn a_connection_whose_transaction_the_database_ended_is_not_reused(
    refused: &'static str,
    verb: RequestVerb,
) {
    let fleet = start().await;
    let mut caller = fleet.session("primary").await;
    caller.ok(BEGIN).await;
    caller.ok(set("zone", "n")).await;
    let first = caller.ok(write("write 1")).await;
    // A value that was set in the transaction may have been reverted with it.
    let ended = Fault::EndTransaction(RefusalKind::ReadOnly);
    fleet.databases.fault("p", refused, ended);
    assert_eq!(caller.fail(verb).await, ErrorKind::TransactionLost);
    let mut other = fleet.session("primary").await;
    other.ok(set("zone", "n")).await;
    assert_ne!(other.ok(read("read x")).await, first);
}

#[tokio::test]
async fn prepared_statements_work_over_the_relay() {
    let fleet = start().await;
    let mut callers = [
        fleet.session("primary").await,
        fleet.session("primary").await,
    ];
    for (index, caller) in callers.iter_mut().enumerate() {
        // Both sessions use one name for different statements.
        caller.ok(prepare("s", &format!("read {index}"))).await;
    }
    for _ in 0..3 {
        for (index, caller) in callers.iter_mut().enumerate() {
            let answer = caller.ask(execute("s", "x")).await;
            assert_eq!(answer.rows, [format!("read {index} x")]);
        }
    }
    let calls = fleet.databases.calls("p");
    let prepares = calls.iter().filter(|call| call.contains("prepare"));
    assert!(prepares.count() <= 2, "{calls:?}");
}

#[tokio::test]
async fn another_holder_serves_when_the_first_one_is_gone() {
    let mut fleet = start().await;
    let mut caller = fleet.session("primary").await;
    caller.ok(write("write 1")).await;
    let first = fleet.holders("p")[0];
    fleet.instances[first].kill().await;
    let start = Instant::now();
    for _ in 0..5 {
        caller.ok(write("write 2")).await;
    }
    assert!(start.elapsed() < HOLDER_LOSS_LIMIT, "{:?}", start.elapsed());
}

#[tokio::test]
async fn a_write_is_in_doubt_if_the_holder_is_lost_after_it_was_sent() {
    let mut fleet = start().await;
    let mut caller = fleet.session("primary").await;
    caller.ok(read("read x")).await;
    fleet
        .databases
        .with("p", |p| p.delay = Duration::from_millis(300));
    let first = fleet.holders("p")[0];
    caller.send(write("write 1"));
    sleep(Duration::from_millis(100)).await;
    fleet.instances[first].kill().await;
    let answer = caller.answer().await;
    assert_eq!(answer.outcome.unwrap_err().kind, ErrorKind::OutcomeUnknown);
    // It ran, so it must not be repeated.
    let committed = fleet.databases.with("p", |p| p.committed.clone());
    assert_eq!(committed, ["write 1"]);
}

#[tokio::test]
async fn a_transaction_is_lost_with_its_holder_and_a_sent_commit_is_in_doubt() {
    let mut fleet = start().await;
    let first = fleet.holders("p")[0];
    let mut lost = fleet.session("primary").await;
    lost.ok(BEGIN).await;
    lost.ok(write("write 1")).await;
    let mut doubt = fleet.session("primary").await;
    doubt.ok(BEGIN).await;
    doubt.ok(write("write 2")).await;
    fleet
        .databases
        .with("p", |p| p.delay = Duration::from_millis(300));
    doubt.send(RequestVerb::Commit);
    sleep(Duration::from_millis(100)).await;
    fleet.instances[first].kill().await;
    let answer = doubt.answer().await;
    assert_eq!(answer.outcome.unwrap_err().kind, ErrorKind::OutcomeUnknown);
    assert_eq!(
        lost.fail(write("write 3")).await,
        ErrorKind::TransactionLost
    );
    let committed = fleet.databases.with("p", |p| p.committed.clone());
    assert_eq!(committed, ["write 2"]);
}

#[tokio::test]
async fn a_holder_that_does_not_answer_is_passed_over() {
    let mut fleet = start().await;
    let mut reader = fleet.session("primary").await;
    let mut writer = fleet.session("primary").await;
    reader.ok(read("read x")).await;
    writer.ok(read("read x")).await;
    let first = fleet.holders("p")[0];
    let _frozen = fleet.instances[first].freeze().await;
    let start = Instant::now();
    reader.send(read("read y"));
    writer.send(write("write 1"));
    assert!(reader.answer().await.outcome.is_ok());
    assert!(start.elapsed() < HOLDER_LOSS_LIMIT, "{:?}", start.elapsed());
    // It never reached the database, but the instance cannot know that.
    let answer = writer.answer().await;
    match answer.outcome {
        Ok(_) => {}
        Err(error) => assert_eq!(error.kind, ErrorKind::OutcomeUnknown),
    }
    // Later calls do not wait for the frozen holder.
    let start = Instant::now();
    reader.ok(read("read z")).await;
    assert!(
        start.elapsed() < Duration::from_millis(100),
        "{:?}",
        start.elapsed()
    );
}

#[tokio::test]
async fn another_holder_serves_when_the_first_one_is_cut_off_from_the_database() {
    let fleet = start().await;
    let mut callers = Vec::new();
    for _ in 0..20 {
        let mut caller = fleet.session("primary").await;
        caller.ok(read("read x")).await;
        callers.push(caller);
    }
    let first = fleet.holders("p")[0];
    fleet.instances[first].fleet.databases.cut_off("p");
    for caller in &mut callers {
        caller.send(read("read y"));
    }
    // Those that were sent get no reply before their timeout; the others need not wait for them.
    sleep(Duration::from_millis(700)).await;
    let mut late = fleet.session("primary").await;
    let start = Instant::now();
    late.ok(read("read z")).await;
    assert!(
        start.elapsed() < Duration::from_millis(300),
        "{:?}",
        start.elapsed()
    );
    for caller in &mut callers {
        caller.answer().await;
    }
    for caller in &mut callers {
        caller.ok(read("read z")).await;
    }
}

#[tokio::test]
async fn a_stopping_holder_ends_its_transactions_and_cuts_no_call() {
    let fleet = start().await;
    let first = fleet.holders("p")[0];
    let mut open = fleet.session("primary").await;
    open.ok(BEGIN).await;
    open.ok(write("write 1")).await;
    let mut single = fleet.session("primary").await;
    single.ok(read("read x")).await;
    fleet
        .databases
        .with("p", |p| p.delay = Duration::from_millis(100));
    single.send(write("write 2"));
    sleep(Duration::from_millis(20)).await;
    let holder = &fleet.instances[first];
    holder.fleet.stop.stop();
    let drained = holder.fleet.engine.clone();
    let drained = tokio::spawn(async move { drained.drained().await });
    assert!(single.answer().await.outcome.is_ok());
    // New work goes to the next holder.
    single.ok(write("write 3")).await;
    assert!(!drained.is_finished());
    open.ok(write("write 4")).await;
    open.ok(RequestVerb::Commit).await;
    drained.await.unwrap();
    let mut committed = fleet.databases.with("p", |p| p.committed.clone());
    committed.sort();
    assert_eq!(committed, ["write 1", "write 2", "write 3", "write 4"]);
}

#[tokio::test]
async fn a_holder_without_a_lease_sends_nothing_to_the_primary() {
    let fleet = start().await;
    let mut caller = fleet.session("primary").await;
    caller.ok(read("read x")).await;
    for index in fleet.holders("p") {
        fleet.instances[index].fleet.set_lease(Duration::ZERO);
    }
    let kind = caller.fail(write("write 1")).await;
    assert!(
        matches!(kind, ErrorKind::NoPrimary | ErrorKind::NoView),
        "{kind:?}"
    );
    assert!(fleet.databases.with("p", |p| p.committed.is_empty()));
}

#[tokio::test]
async fn a_holder_with_a_newer_term_refuses_a_write_of_an_older_one() {
    let mut fleet = start().await;
    let mut caller = fleet.session("primary").await;
    caller.ok(read("read x")).await;
    for index in fleet.holders("p") {
        fleet.instances[index].fleet.promote("a");
    }
    let start = Instant::now();
    caller.fail(write("write 1")).await;
    assert!(start.elapsed() < Duration::from_secs(1));
    for name in ["p", "a", "b"] {
        assert!(
            fleet
                .databases
                .with(name, |found| found.committed.is_empty())
        );
    }
}

#[tokio::test]
async fn reads_go_to_a_replica_if_the_holders_cannot_reach_a_database() {
    let fleet = start().await;
    let mut caller = fleet.session("session").await;
    caller.ok(read("read x")).await;
    for name in ["a", "b"] {
        let error = ConnectError::Unreachable("cut".to_owned());
        fleet
            .databases
            .with(name, |found| found.connect_error = Some(error));
    }
    for _ in 0..10 {
        caller.ok(read("read x")).await;
    }
    // One report of a holder is enough for each database; this instance opens no connection itself.
    let connects = fleet.databases.with("a", |a| a.connects);
    assert!(connects <= 6, "{connects}");
}

/// An instance that knows only its own calls would send every read to the nearest database, however
/// long the queue at its holder is.
#[tokio::test]
async fn reads_leave_a_primary_whose_holder_reports_a_queue() {
    let mut fleet = start().await;
    fleet
        .change_view(|view| {
            view.upstreams.remove("a");
            let replica = view.upstreams.get_mut("b").unwrap();
            replica.data_centre = data_centre("dc-2");
        })
        .await;
    let mut reader = fleet.session("session").await;
    for _ in 0..10 {
        reader.ok(read("read x")).await;
    }
    assert_eq!(reads(&fleet, "b"), 0);
    fleet
        .databases
        .with("p", |p| p.delay = Duration::from_millis(50));
    // More than the holder's connections, and few enough that none is refused.
    let mut busy = Vec::new();
    for _ in 0..12 {
        let mut caller = fleet.session("primary").await;
        busy.push(tokio::spawn(async move {
            loop {
                caller.ask(read("read y")).await;
            }
        }));
    }
    let until = Instant::now() + Duration::from_secs(10);
    while reads(&fleet, "b") == 0 && Instant::now() < until {
        reader.ok(read("read x")).await;
    }
    for caller in &busy {
        caller.abort();
    }
    assert!(reads(&fleet, "b") > 0, "no read left the primary");
}

/// Returns how many reads of the test `read x` a database has received.
fn reads(fleet: &RelayFleet, upstream: &str) -> usize {
    let calls = fleet.databases.calls(upstream);
    calls.iter().filter(|call| call.contains("read x")).count()
}

#[tokio::test]
async fn an_instance_opens_a_connection_itself_if_no_holder_responds() {
    let mut fleet = start().await;
    let mut caller = fleet.session("primary").await;
    for index in fleet.holders("p") {
        fleet.instances[index].kill().await;
    }
    caller.ok(read("read x")).await;
    caller.ok(read("read x")).await;
    // It keeps none, as the connections are for the holders.
    assert_eq!(fleet.databases.with("p", |p| p.open), 0);
}

#[tokio::test]
async fn a_restarted_instance_holds_no_connections_at_first() {
    let mut fleet = start().await;
    let first = fleet.holders("p")[0];
    let name = fleet.instances[first].name.clone();
    let mut caller = fleet.session("primary").await;
    caller.ok(read("read x")).await;
    fleet
        .change_view(|view| {
            view.instances.get_mut(&name).unwrap().incarnation = Incarnation(2);
        })
        .await;
    let before = held(&fleet, first);
    for _ in 0..5 {
        caller.ok(read("read x")).await;
    }
    assert_eq!(
        held(&fleet, first),
        before,
        "a call went to the restarted instance"
    );
}

/// Returns the number of calls that an instance has made for others.
fn held(fleet: &RelayFleet, index: usize) -> u64 {
    let counters = fleet.instances[index].fleet.metrics.counters();
    counters.get("call_relayed").copied().unwrap_or_default()
}

#[tokio::test]
async fn a_write_whose_reply_the_database_lost_is_in_doubt() {
    let fleet = start().await;
    let mut caller = fleet.session("primary").await;
    fleet.databases.fault("p", "write", Fault::LoseReply);
    let kind = caller.fail(write("write 1")).await;
    assert_eq!(kind, ErrorKind::OutcomeUnknown);
    assert_eq!(fleet.databases.with("p", |p| p.committed.len()), 1);
}

#[tokio::test]
async fn a_read_whose_reply_the_database_lost_is_repeated() {
    let fleet = start().await;
    let mut caller = fleet.session("primary").await;
    fleet.databases.fault("p", "read", Fault::LoseReply);
    caller.ok(read("read y")).await;
}
