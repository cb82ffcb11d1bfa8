//! Tests of sessions under failures of databases, changes of the view and loss of the lease.

mod support;

use daisyseam_engine::{
    ConnectError,
    RefusalKind,
    RequestVerb,
    TransactionState, //
};
use daisyseam_member::{
    FleetObserver,
    HeldView, //
};
use daisyseam_model::{
    ErrorKind,
    FleetView,
    PrimaryState,
    ViewNumber, //
};
use std::{
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::Duration, //
};
use support::{
    Fleet,
    caller::{
        BEGIN,
        BEGIN_READ,
        CallerEvent,
        execute,
        prepare,
        read,
        set,
        write, //
    },
    database::Fault, //
};
use test_case::test_case;
use tokio::time::{
    Instant,
    sleep, //
};

fn count(asked: &[String], words: &str) -> usize {
    asked.iter().filter(|call| call.contains(words)).count()
}

#[tokio::test(start_paused = true)]
async fn a_bounded_read_goes_to_the_primary_until_a_position_is_known() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("bounded").await;
    assert_eq!(caller.ok(read("read 1")).await, "p-1");
    fleet.databases.with("p", |p| p.position.position.0 = 120);
    let mut receipts = Vec::new();
    for _ in 0..8 {
        receipts.push(caller.ok(read("read 2")).await);
    }
    // The position reported by the first read is a floor that the replicas have reached.
    assert!(receipts.contains(&"a-1".to_owned()), "{receipts:?}");
    assert!(count(&fleet.databases.calls("a"), "read 2 @100") > 0);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(caller.ok(read("read 3")).await, "p-1");
}

#[tokio::test(start_paused = true)]
async fn a_bounded_read_needs_no_lease_while_its_position_is_fresh() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("bounded").await;
    caller.ok(read("read 1")).await;
    fleet.set_lease(Duration::ZERO);
    fleet.databases.with("p", |p| {
        p.connect_error = Some(ConnectError::Unreachable("cut".into()))
    });
    caller.ok(read("read 2")).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(caller.fail(read("read 3")).await, ErrorKind::NoView);
}

#[tokio::test(start_paused = true)]
async fn an_idle_session_is_closed_where_the_lease_does_not_come_back() {
    let fleet = Fleet::start(30);
    let observer = fleet.engine.observer();
    let mut idle = fleet.session("primary").await;
    let mut busy = fleet.session("primary").await;
    // A lease that is restored soon closes no session.
    observer.lease_ended();
    sleep(Duration::from_millis(400)).await;
    observer.lease_begun();
    sleep(Duration::from_secs(2)).await;
    idle.ok(read("read 1")).await;
    busy.ok(BEGIN).await;
    let lost_at = Instant::now();
    observer.lease_ended();
    assert!(matches!(idle.event().await, CallerEvent::Closed));
    assert_eq!(lost_at.elapsed().as_millis(), 500);
    // A new session is refused at once instead of being opened and then closed.
    let mut late = fleet.caller("primary", "key-one");
    match late.event().await {
        CallerEvent::Refused(error) => assert_eq!(error.kind, ErrorKind::NoView),
        event => panic!("{event:?}"),
    }
    // A session with an open transaction is not closed.
    sleep(Duration::from_millis(200)).await;
    observer.lease_begun();
    busy.ok(read("read 2")).await;
}

#[tokio::test(start_paused = true)]
async fn positions_of_replicas_and_of_former_terms_are_no_floors() {
    let mut fleet = Fleet::start(30);
    fleet.promote("b");
    let mut caller = fleet.session("session").await;
    for _ in 0..8 {
        caller.ok(read("read 0")).await;
    }
    assert!(count(&fleet.databases.calls("a"), "read 0") > 0);
    let mut caller = fleet.session("bounded").await;
    // The new primary's log still ends in the former term.
    assert_eq!(caller.ok(read("read 1")).await, "b-1");
    assert_eq!(caller.ok(read("read 1")).await, "b-1");
    fleet
        .databases
        .with("b", |b| b.position = support::position(2, 101));
    assert_eq!(caller.ok(read("read 1")).await, "b-1");
    // From here on there is a floor, which the replicas have not reached.
    assert_eq!(caller.ok(read("read 1")).await, "b-1");
    assert!(count(&fleet.databases.calls("a"), "read 1 @101") > 0);
}

#[tokio::test(start_paused = true)]
async fn a_primary_that_came_back_without_its_log_serves_nothing() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    caller.ok(write("write 1")).await;
    fleet
        .databases
        .with("p", |p| p.position = support::position(0, 0));
    assert_eq!(caller.fail(read("read 1")).await, ErrorKind::NoReplica);
    caller.ok(BEGIN).await;
    assert_eq!(caller.fail(write("write 2")).await, ErrorKind::NoReplica);
    assert_eq!(count(&fleet.databases.calls("p"), "write 2"), 0);
}

#[test_case(RefusalKind::Lagging)]
#[test_case(RefusalKind::Busy)]
#[test_case(RefusalKind::Failed)]
#[tokio::test(start_paused = true)]
async fn a_read_that_is_refused_is_tried_elsewhere(refusal: RefusalKind) {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("session").await;
    for name in ["a", "p"] {
        fleet.databases.fault(name, "read", Fault::Refuse(refusal));
    }
    assert_eq!(caller.ok(read("read x")).await, "b-1");
}

#[tokio::test(start_paused = true)]
async fn a_read_whose_database_is_lost_is_tried_elsewhere() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("session").await;
    fleet.databases.fault("a", "read", Fault::LoseReply);
    let unreachable = ConnectError::Unreachable("cut".into());
    fleet
        .databases
        .with("p", |p| p.connect_error = Some(unreachable));
    assert_eq!(caller.ok(read("read x")).await, "b-1");
    // Both failed databases are avoided for a while.
    assert_eq!(caller.ok(read("read x")).await, "b-1");
}

#[tokio::test(start_paused = true)]
async fn a_write_is_repeated_only_while_it_did_not_run() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    for refusal in [RefusalKind::Busy, RefusalKind::ReadOnly] {
        fleet.databases.fault("p", "write", Fault::Refuse(refusal));
    }
    caller.ok(write("write 1")).await;
    assert_eq!(count(&fleet.databases.calls("p"), "write 1"), 3);
    fleet.databases.fault("p", "write", Fault::LoseReply);
    assert_eq!(
        caller.fail(write("write 2")).await,
        ErrorKind::OutcomeUnknown
    );
    assert_eq!(count(&fleet.databases.calls("p"), "write 2"), 1);
    sleep(Duration::from_secs(1)).await;
    fleet.databases.fault("p", "write", Fault::NoReply);
    let start = Instant::now();
    assert_eq!(
        caller.fail(write("write 3")).await,
        ErrorKind::OutcomeUnknown
    );
    assert!(start.elapsed() < Duration::from_millis(1_010));
    assert_eq!(count(&fleet.databases.calls("p"), "write 3"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_refused_begin_never_runs_the_statement() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    caller.ok(BEGIN).await;
    for _ in 0..4 {
        fleet
            .databases
            .fault("p", "begin", Fault::Refuse(RefusalKind::ReadOnly));
    }
    let answer = caller.ask(write("write x")).await;
    assert_eq!(answer.outcome.unwrap_err().kind, ErrorKind::NoPrimary);
    assert_eq!(answer.state, TransactionState::Failed);
    assert_eq!(
        caller.fail(write("write y")).await,
        ErrorKind::TransactionAborted
    );
    let answer = caller.ask(RequestVerb::Rollback).await;
    assert_eq!(
        (answer.outcome, answer.state),
        (Ok(None), TransactionState::Idle)
    );
    assert_eq!(count(&fleet.databases.calls("p"), "write"), 0);
}

#[tokio::test(start_paused = true)]
async fn a_transaction_is_lost_with_its_connection_before_the_commit() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    caller.ok(BEGIN).await;
    caller.ok(write("write 1")).await;
    fleet.databases.fault("p", "write 2", Fault::LoseReply);
    let answer = caller.ask(write("write 2")).await;
    assert_eq!(answer.outcome.unwrap_err().kind, ErrorKind::TransactionLost);
    assert_eq!(answer.state, TransactionState::Failed);
    // A commit of a failed transaction must not succeed.
    let answer = caller.ask(RequestVerb::Commit).await;
    assert_eq!(answer.outcome.unwrap_err().kind, ErrorKind::TransactionLost);
    assert_eq!(answer.state, TransactionState::Idle);
    assert_eq!(count(&fleet.databases.calls("p"), "commit"), 0);
    assert_eq!(fleet.databases.with("p", |p| p.position.position.0), 100);
}

#[test_case(true, ErrorKind::OutcomeUnknown; "with a write")]
#[test_case(false, ErrorKind::TransactionLost; "without a write")]
#[tokio::test(start_paused = true)]
async fn a_lost_commit_is_not_told_as_anything_else(writes: bool, expected: ErrorKind) {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    caller.ok(BEGIN).await;
    let statement = if writes {
        write("write 1")
    } else {
        read("read 1")
    };
    caller.ok(statement).await;
    fleet.databases.fault("p", "commit", Fault::LoseReply);
    let answer = caller.ask(RequestVerb::Commit).await;
    assert_eq!(answer.outcome.unwrap_err().kind, expected);
    assert_eq!(answer.state, TransactionState::Idle);
    caller.ok(read("read 2")).await;
}

#[tokio::test(start_paused = true)]
async fn a_statement_that_fails_leaves_only_the_roll_back() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    caller.ok(BEGIN).await;
    caller.ok(write("write 1")).await;
    fleet
        .databases
        .fault("p", "read", Fault::Refuse(RefusalKind::Failed));
    assert_eq!(
        caller.fail(read("read 1")).await,
        ErrorKind::StatementFailed
    );
    assert_eq!(
        caller.fail(read("read 1")).await,
        ErrorKind::TransactionAborted
    );
    assert_eq!(caller.ok(RequestVerb::Rollback).await, "p-1");
    caller.ok(read("read 2")).await;
    assert_eq!(fleet.databases.with("p", |p| p.connects), 1);
}

/// Applies the view of the next term while a call is in flight, as control does.
fn fence_during_call(fleet: &Fleet) -> Fault {
    let cell = fleet.cell.clone();
    Fault::RunThen(Box::new(move || {
        let held = cell.held();
        let mut view = FleetView::clone(&held.view);
        view.number = ViewNumber(view.number.0 + 1);
        let group = view.groups.get_mut("g").unwrap();
        group.term = group.term.next();
        group.primary = PrimaryState::Fenced;
        let lease_until = held.lease_until;
        cell.replace(HeldView {
            view: Arc::new(view),
            lease_until,
        });
    }))
}

#[tokio::test(start_paused = true)]
async fn a_write_is_not_acknowledged_once_the_term_has_moved_on() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    fleet
        .databases
        .fault("p", "write", fence_during_call(&fleet));
    assert_eq!(
        caller.fail(write("write 1")).await,
        ErrorKind::OutcomeUnknown
    );
    assert_eq!(count(&fleet.databases.calls("p"), "write 1"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_commit_is_not_acknowledged_once_the_term_has_moved_on() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    caller.ok(BEGIN).await;
    caller.ok(write("write 1")).await;
    fleet
        .databases
        .fault("p", "commit", fence_during_call(&fleet));
    assert_eq!(
        caller.fail(RequestVerb::Commit).await,
        ErrorKind::OutcomeUnknown
    );
}

#[tokio::test(start_paused = true)]
async fn a_write_is_not_acknowledged_without_a_lease() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    caller.ok(write("write 1")).await;
    fleet.set_lease(Duration::from_millis(1));
    assert_eq!(
        caller.fail(write("write 2")).await,
        ErrorKind::OutcomeUnknown
    );
    assert_eq!(caller.fail(write("write 3")).await, ErrorKind::NoView);
    assert_eq!(count(&fleet.databases.calls("p"), "write 3"), 0);
}

#[tokio::test(start_paused = true)]
async fn nothing_of_a_transaction_is_sent_once_the_term_has_moved_on() {
    let mut fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    caller.ok(BEGIN).await;
    caller.ok(write("write 1")).await;
    fleet.promote("a");
    assert_eq!(
        caller.fail(write("write 2")).await,
        ErrorKind::TransactionLost
    );
    caller.ok(RequestVerb::Rollback).await;
    assert_eq!(count(&fleet.databases.calls("p"), "write 2"), 0);
    assert_eq!(caller.ok(write("write 3")).await, "a-1");
}

#[tokio::test(start_paused = true)]
async fn a_write_waits_for_a_primary_but_not_for_long() {
    let mut fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    let state = |state: PrimaryState| {
        move |view: &mut FleetView| view.groups.get_mut("g").unwrap().primary = state
    };
    fleet.change_view(state(PrimaryState::Fenced));
    let start = Instant::now();
    assert_eq!(caller.fail(write("write 1")).await, ErrorKind::NoPrimary);
    assert_eq!(start.elapsed().as_millis(), 400);
    caller.send(write("write 2"));
    sleep(Duration::from_millis(100)).await;
    fleet.promote("a");
    assert!(caller.answer().await.outcome.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_planned_move_lets_open_transactions_end_and_holds_new_ones() {
    let mut fleet = Fleet::start(30);
    let mut open = fleet.session("primary").await;
    open.ok(BEGIN).await;
    open.ok(write("write 1")).await;
    let draining = PrimaryState::Draining("p".parse().unwrap());
    fleet.change_view(|view| view.groups.get_mut("g").unwrap().primary = draining);
    let mut other = fleet.session("primary").await;
    assert_eq!(other.ok(read("read 1")).await, "p-2");
    assert_eq!(other.fail(write("write 2")).await, ErrorKind::NoPrimary);
    open.ok(write("write 3")).await;
    open.ok(RequestVerb::Commit).await;
}

#[tokio::test(start_paused = true)]
async fn a_read_only_transaction_stays_on_its_replica() {
    let fleet = Fleet::start(30);
    let unreachable = Some(ConnectError::Unreachable("cut".into()));
    fleet.databases.with("p", |p| p.connect_error = unreachable);
    let mut caller = fleet.session("session").await;
    caller.ok(BEGIN_READ).await;
    assert_eq!(caller.ok(read("read 1")).await, "a-1");
    assert_eq!(caller.ok(read("read 2")).await, "a-1");
    assert_eq!(caller.ok(RequestVerb::Commit).await, "a-1");
}

#[tokio::test(start_paused = true)]
async fn a_prepared_statement_that_the_database_forgot_is_prepared_again() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    caller.ok(prepare("s", "shape")).await;
    caller.ok(execute("s", "1")).await;
    let forgotten = Fault::Refuse(RefusalKind::UnknownStatement);
    fleet.databases.fault("p", "execute", forgotten);
    let answer = caller.ask(execute("s", "2")).await;
    assert_eq!(answer.rows, ["shape 2"]);
    assert_eq!(count(&fleet.databases.calls("p"), "prepare"), 2);
}

#[tokio::test(start_paused = true)]
async fn the_connections_to_a_database_stay_within_the_budget() {
    let fleet = Fleet::start(5);
    fleet
        .databases
        .with("p", |p| p.delay = Duration::from_millis(20));
    let mut callers = Vec::new();
    for number in 0..24 {
        let key = if number % 2 == 0 {
            "key-one"
        } else {
            "key-two"
        };
        let mut caller = fleet.caller("primary", key);
        caller.opened().await;
        callers.push(caller);
    }
    for round in 0..4 {
        for caller in &mut callers {
            caller.send(write("write x"));
        }
        let mut served = 0;
        for caller in &mut callers {
            served += usize::from(caller.answer().await.outcome.is_ok());
        }
        assert!(served >= 12, "round {round}: {served}");
    }
    assert!(fleet.databases.with("p", |p| p.max_open) <= 4);
    // Sessions that hold all connections in transactions make others fail after the queue timeout.
    for caller in callers.iter_mut().take(4) {
        caller.ok(BEGIN).await;
        caller.ok(read("read x")).await;
    }
    let start = Instant::now();
    assert_eq!(callers[5].fail(read("read x")).await, ErrorKind::QueueFull);
    assert_eq!(start.elapsed().as_millis(), 100);
}

#[tokio::test(start_paused = true)]
async fn an_idle_transaction_is_rolled_back() {
    let fleet = Fleet::start(1);
    let mut caller = fleet.session("primary").await;
    caller.ok(BEGIN).await;
    caller.ok(write("write 1")).await;
    sleep(Duration::from_millis(3_100)).await;
    fleet.session("primary").await.ok(read("read 1")).await;
    assert_eq!(
        caller.fail(write("write 2")).await,
        ErrorKind::TransactionAborted
    );
    caller.ok(RequestVerb::Rollback).await;
    caller.ok(write("write 3")).await;
    assert_eq!(fleet.databases.with("p", |p| p.connects), 1);
    assert_eq!(
        fleet.databases.with("p", |p| p.committed.clone()),
        ["write 3"]
    );
}

#[tokio::test(start_paused = true)]
async fn a_commit_is_not_sent_on_a_connection_that_is_closed() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    caller.ok(BEGIN).await;
    caller.ok(write("write 1")).await;
    fleet.databases.with("p", |p| p.stale = true);
    assert_eq!(
        caller.fail(RequestVerb::Commit).await,
        ErrorKind::TransactionLost
    );
    assert_eq!(count(&fleet.databases.calls("p"), "commit"), 0);
}

#[tokio::test(start_paused = true)]
async fn what_a_caller_left_open_is_rolled_back_and_its_connection_kept() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    caller.ok(BEGIN).await;
    caller.ok(write("write 1")).await;
    drop(caller);
    sleep(Duration::from_millis(10)).await;
    assert_eq!(
        fleet.session("primary").await.ok(read("read 1")).await,
        "p-1"
    );
    assert_eq!(fleet.databases.with("p", |p| p.position.position.0), 100);
}

#[tokio::test(start_paused = true)]
async fn a_withdrawn_key_ends_the_session() {
    let mut fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    caller.ok(read("read 1")).await;
    fleet.change_document(|document| {
        document.organisations.remove("one");
    });
    assert_eq!(caller.fail(read("read 2")).await, ErrorKind::KeyWithdrawn);
    assert!(matches!(caller.event().await, CallerEvent::Closed));
    assert_eq!(count(&fleet.databases.calls("p"), "read 2"), 0);
}

/// Guards against a withdrawn key that goes on in the transaction that it has open.
#[test_case(read("read 2"); "read")]
#[test_case(write("write 2"); "write")]
#[test_case(RequestVerb::Commit; "commit")]
#[tokio::test(start_paused = true)]
async fn a_withdrawn_key_ends_an_open_transaction(verb: RequestVerb) {
    let mut fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    caller.ok(BEGIN).await;
    caller.ok(write("write 1")).await;
    fleet.change_document(|document| {
        let organisation = document.organisations.get_mut("one").unwrap();
        organisation.keys.clear();
    });
    assert_eq!(caller.fail(verb).await, ErrorKind::KeyWithdrawn);
    assert!(matches!(caller.event().await, CallerEvent::Closed));
    sleep(Duration::from_secs(1)).await;
    let calls = fleet.databases.calls("p");
    for text in ["read 2", "write 2", "commit"] {
        assert_eq!(count(&calls, text), 0, "{calls:?}");
    }
    let committed = fleet.databases.with("p", |p| p.committed.clone());
    assert!(committed.is_empty(), "{committed:?}");
}

/// Guards against a withdrawn key whose requests are still answered because no database is needed.
#[test_case(set("zone", "b"); "set")]
#[test_case(prepare("s", "shape"); "prepare")]
#[test_case(RequestVerb::Deallocate { name: "s".into() }; "deallocate")]
#[tokio::test(start_paused = true)]
async fn a_withdrawn_key_ends_the_session_without_a_database(verb: RequestVerb) {
    let mut fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    caller.ok(prepare("s", "shape")).await;
    fleet.change_document(|document| {
        let organisation = document.organisations.get_mut("one").unwrap();
        organisation.keys.clear();
    });
    assert_eq!(caller.fail(verb).await, ErrorKind::KeyWithdrawn);
    assert!(matches!(caller.event().await, CallerEvent::Closed));
}

#[tokio::test(start_paused = true)]
async fn a_withdrawn_key_may_still_roll_back() {
    let mut fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    caller.ok(BEGIN).await;
    caller.ok(write("write 1")).await;
    fleet.change_document(|document| {
        document.organisations.remove("one");
    });
    caller.ok(RequestVerb::Rollback).await;
    assert_eq!(caller.fail(BEGIN).await, ErrorKind::KeyWithdrawn);
}

#[tokio::test(start_paused = true)]
async fn a_changed_service_applies_from_the_next_transaction() {
    let mut fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    caller.ok(BEGIN).await;
    caller.ok(read("read 1")).await;
    fleet.change_document(|document| {
        document.services.remove("primary");
    });
    caller.ok(read("read 2")).await;
    caller.ok(RequestVerb::Commit).await;
    assert_eq!(caller.fail(BEGIN).await, ErrorKind::UnknownService);
}

#[tokio::test(start_paused = true)]
async fn an_operation_takes_one_token() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("primary").await;
    fleet.gate.tokens.store(2, Ordering::SeqCst);
    caller.ok(BEGIN).await;
    caller.ok(read("read 1")).await;
    caller.ok(read("read 2")).await;
    caller.ok(RequestVerb::Commit).await;
    caller.ok(prepare("s", "shape")).await;
    caller.ok(read("read 3")).await;
    assert_eq!(caller.fail(read("read 4")).await, ErrorKind::RateExceeded);
    assert_eq!(caller.fail(BEGIN).await, ErrorKind::RateExceeded);
}
