//! Tests of the engine's reactions to views and to a stop, and of its reports to control.

mod support;

use daisyseam_engine::{
    ConnectError,
    RequestVerb,
    TransactionState, //
};
use daisyseam_member::FleetObserver;
use daisyseam_model::{
    ErrorKind,
    FleetView,
    PrimaryState,
    ViewNumber, //
};
use std::{
    sync::Arc,
    time::Duration, //
};
use support::{
    Fleet,
    caller::{
        BEGIN,
        CallerEvent,
        read,
        write, //
    }, //
};
use tokio::time::{
    Instant,
    sleep,
    timeout, //
};

fn view(fleet: &Fleet) -> Arc<FleetView> {
    Arc::clone(&fleet.cell.held().view)
}

#[tokio::test(start_paused = true)]
async fn a_stop_closes_idle_sessions_and_lets_an_open_transaction_commit() {
    let fleet = Fleet::start(30);
    let mut idle = fleet.session("primary").await;
    let mut open = fleet.session("primary").await;
    open.ok(BEGIN).await;
    open.ok(write("write 1")).await;
    fleet.stop.stop();
    assert!(matches!(idle.event().await, CallerEvent::Closed));
    match fleet.caller("primary", "key-one").event().await {
        CallerEvent::Refused(error) => assert_eq!(error.kind, ErrorKind::Stopping),
        event => panic!("{event:?}"),
    }
    sleep(Duration::from_secs(2)).await;
    open.ok(write("write 2")).await;
    let answer = open.ask(RequestVerb::Commit).await;
    assert!(answer.outcome.is_ok());
    assert_eq!(answer.state, TransactionState::Idle);
    assert!(matches!(open.event().await, CallerEvent::Closed));
    fleet.engine.drained().await;
    assert_eq!(fleet.engine.open_sessions(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_stop_ends_transactions_that_stay_open() {
    let fleet = Fleet::start(30);
    let mut open = fleet.session("primary").await;
    open.ok(BEGIN).await;
    open.ok(write("write 1")).await;
    fleet.stop.stop();
    let start = Instant::now();
    for _ in 0..2 {
        sleep(Duration::from_secs(2)).await;
        open.ok(write("write 2")).await;
    }
    match open.event().await {
        CallerEvent::Refused(error) => assert_eq!(error.kind, ErrorKind::Stopping),
        event => panic!("{event:?}"),
    }
    assert_eq!(start.elapsed().as_millis(), 5_000);
    fleet.engine.drained().await;
    assert_eq!(fleet.databases.with("p", |p| p.position.position.0), 100);
}

#[tokio::test(start_paused = true)]
async fn connections_to_databases_that_take_no_work_are_closed() {
    let mut fleet = Fleet::start(30);
    let observer = fleet.engine.observer();
    let mut caller = fleet.session("session").await;
    for _ in 0..8 {
        caller.ok(read("read x")).await;
    }
    fleet.databases.with("a", |a| assert_eq!(a.open, 1));
    fleet.change_view(|view| view.upstreams.get_mut("a").unwrap().leaving = true);
    observer.apply(&view(&fleet)).await;
    fleet.databases.with("a", |a| assert_eq!(a.open, 0));
    caller.ok(write("write x")).await;
    fleet.databases.with("p", |p| assert_eq!(p.open, 1));
    let evacuated = support::data_centre("dc-1");
    fleet.change_view(|view| {
        view.evacuated.insert(evacuated);
    });
    observer.apply(&view(&fleet)).await;
    fleet.databases.with("p", |p| assert_eq!(p.open, 0));
    assert_eq!(caller.fail(write("write y")).await, ErrorKind::NoPrimary);
    fleet.databases.with("p", |p| assert_eq!(p.open, 0));
}

#[tokio::test(start_paused = true)]
async fn transactions_get_little_time_where_the_data_centre_is_out() {
    let mut fleet = Fleet::start(30);
    let observer = fleet.engine.observer();
    let mut quick = fleet.session("primary").await;
    let mut slow = fleet.session("primary").await;
    for caller in [&mut quick, &mut slow] {
        caller.ok(BEGIN).await;
        caller.ok(write("write 1")).await;
    }
    let evacuated = support::data_centre("dc-1");
    fleet.change_view(|view| {
        view.evacuated.insert(evacuated);
    });
    observer.apply(&view(&fleet)).await;
    sleep(Duration::from_millis(250)).await;
    quick.ok(RequestVerb::Commit).await;
    sleep(Duration::from_millis(250)).await;
    let asked = fleet.databases.calls("p");
    assert_eq!(
        slow.fail(write("write 2")).await,
        ErrorKind::TransactionLost
    );
    slow.ok(RequestVerb::Rollback).await;
    assert_eq!(fleet.databases.calls("p"), asked);
    assert_eq!(fleet.databases.with("p", |p| p.open), 0);
}

#[tokio::test(start_paused = true)]
async fn control_learns_which_databases_do_not_answer() {
    let fleet = Fleet::start(30);
    let observer = fleet.engine.observer();
    let mut caller = fleet.session("primary").await;
    caller.ok(read("read 1")).await;
    let report = || observer.report(ViewNumber(7), &view(&fleet)).health;
    assert!(report().is_empty());
    let unreachable = ConnectError::Unreachable("cut".into());
    fleet
        .databases
        .fault("p", "read", support::database::Fault::LoseReply);
    fleet
        .databases
        .with("p", |p| p.connect_error = Some(unreachable));
    let news = observer.clone();
    let news = tokio::spawn(async move { news.report_due().await });
    caller.fail(read("read 2")).await;
    caller.fail(read("read 3")).await;
    timeout(Duration::from_millis(300), news)
        .await
        .unwrap()
        .unwrap();
    for _ in 0..2 {
        let report = report();
        assert_eq!(report.len(), 1);
        assert_eq!(
            (report[0].upstream.as_str(), report[0].reachable),
            ("p", false)
        );
        assert!(report[0].silent_ms >= 300, "{report:?}");
    }
    // No session uses the database any more; its recovery is still detected by a probe.
    fleet.databases.with("p", |p| p.connect_error = None);
    sleep(Duration::from_secs(2)).await;
    assert!(!report()[0].reachable);
    timeout(Duration::from_millis(10), observer.report_due())
        .await
        .unwrap();
    assert!(report()[0].reachable);
    assert!(report().is_empty());
    caller.ok(read("read 4")).await;
    assert_eq!(fleet.databases.with("p", |p| p.open), 1);
}

#[tokio::test(start_paused = true)]
async fn control_learns_how_many_transactions_a_planned_move_waits_for() {
    let mut fleet = Fleet::start(30);
    let observer = fleet.engine.observer();
    let mut caller = fleet.session("primary").await;
    caller.ok(BEGIN).await;
    caller.ok(write("write 1")).await;
    let open = |fleet: &Fleet| {
        let report = observer.report(ViewNumber(7), &view(fleet));
        let groups = report.groups.iter();
        groups
            .map(|group| group.open_transactions)
            .collect::<Vec<_>>()
    };
    assert!(open(&fleet).is_empty());
    let draining = PrimaryState::Draining("p".parse().unwrap());
    fleet.change_view(|view| view.groups.get_mut("g").unwrap().primary = draining);
    observer.apply(&view(&fleet)).await;
    assert_eq!(open(&fleet), [1]);
    let news = observer.clone();
    let news = tokio::spawn(async move { news.report_due().await });
    caller.ok(RequestVerb::Commit).await;
    timeout(Duration::from_millis(10), news)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(open(&fleet), [0]);
}

/// Guards against elections that know no position which a database must have if it kept its log.
#[tokio::test(start_paused = true)]
async fn control_learns_the_ends_of_logs_while_there_is_no_primary() {
    let mut fleet = Fleet::start(30);
    let observer = fleet.engine.observer();
    let mut caller = fleet.session("primary").await;
    caller.ok(write("write 1")).await;
    let mut caller = fleet.session("session").await;
    caller.ok(read("read 1")).await;
    let ends = |fleet: &Fleet| {
        let reports = observer.report(ViewNumber(7), &view(fleet)).health;
        let ends = reports.iter().filter(|report| report.position != 0);
        let ends = ends.map(|report| (report.upstream.clone(), report.term, report.position));
        ends.collect::<Vec<_>>()
    };
    assert_eq!(ends(&fleet), []);
    fleet.change_view(|view| view.groups.get_mut("g").unwrap().primary = PrimaryState::Fenced);
    observer.apply(&view(&fleet)).await;
    let (primary, replica) = (("p".to_owned(), 1, 101), ("a".to_owned(), 1, 100));
    let reported = ends(&fleet);
    assert!(reported.contains(&primary), "{reported:?}");
    assert!(reported.contains(&replica), "{reported:?}");
}
