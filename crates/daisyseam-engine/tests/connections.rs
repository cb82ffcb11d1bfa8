//! Tests of the number of connections that an instance opens.

mod support;

use daisyseam_engine::{
    ConnectError,
    RefusalKind,
    RequestVerb, //
};
use daisyseam_member::FleetObserver;
use daisyseam_model::{
    ErrorKind,
    FleetView,
    Incarnation,
    InstanceView, //
};
use std::{
    sync::Arc,
    time::Duration, //
};
use support::{
    Fleet,
    caller::{
        BEGIN,
        FakeCaller,
        read, //
    },
    database::Fault, //
};
use test_case::test_case;
use tokio::time::{
    Instant,
    sleep, //
};

/// Connections that each database admits.
const SLOTS: usize = 20;

/// Time after which a database has certainly dropped the connections of an unresponsive client.
const DROP_TIMEOUT: Duration = Duration::from_millis(4_100);

fn instance(incarnation: u64) -> InstanceView {
    InstanceView {
        incarnation: Incarnation(incarnation),
        data_centre: support::data_centre("dc-1"),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        leaving: false,
    }
}

fn insert_instance(view: &mut FleetView, name: &str, incarnation: u64) {
    let name = name.parse().unwrap();
    view.instances.insert(name, instance(incarnation));
}

/// Applies a changed view.
async fn apply_change(fleet: &mut Fleet, change: impl FnOnce(&mut FleetView)) {
    fleet.change_view(change);
    let view = Arc::clone(&fleet.cell.held().view);
    fleet.engine.observer().apply(&view).await;
}

/// Starts a fleet of two instances.
async fn two_instances() -> Fleet {
    let mut fleet = Fleet::start(SLOTS);
    apply_change(&mut fleet, |view| {
        insert_instance(view, "e-1", 1);
        insert_instance(view, "e-2", 1);
    })
    .await;
    fleet
}

/// Opens transactions until there is no connection for one more; returns how many are open.
async fn open_transactions(fleet: &Fleet, open: &mut Vec<FakeCaller>) -> usize {
    loop {
        let mut caller = fleet.session("primary").await;
        caller.ok(BEGIN).await;
        match caller.ask(read("read x")).await.outcome {
            Ok(_) => open.push(caller),
            Err(error) => {
                assert_eq!(error.kind, ErrorKind::QueueFull);
                return fleet.databases.with("p", |p| p.open);
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn connections_of_an_instance_that_is_gone_count_until_they_are_dropped() {
    let mut fleet = two_instances().await;
    let mut open = Vec::new();
    let share = open_transactions(&fleet, &mut open).await;
    assert_eq!(share, 9);
    apply_change(&mut fleet, |view| {
        view.instances.remove("e-2");
    })
    .await;
    // The departed instance may still have its share: the total must stay within the limit.
    let kept = open_transactions(&fleet, &mut open).await;
    assert!(kept + share <= SLOTS, "{kept}");
    sleep(DROP_TIMEOUT).await;
    open.clear();
    assert_eq!(open_transactions(&fleet, &mut open).await, 18);
}

#[tokio::test(start_paused = true)]
async fn connections_of_a_former_incarnation_count_until_they_are_dropped() {
    let mut fleet = two_instances().await;
    apply_change(&mut fleet, |view| insert_instance(view, "e-2", 2)).await;
    let mut open = Vec::new();
    // The connections of the former incarnation still count: three shares of 20 slots are 6 each.
    assert_eq!(open_transactions(&fleet, &mut open).await, 6);
    open.clear();
    sleep(DROP_TIMEOUT).await;
    assert_eq!(open_transactions(&fleet, &mut open).await, 9);
}

#[tokio::test(start_paused = true)]
async fn an_instance_that_said_that_it_leaves_counts_no_longer_once_it_is_gone() {
    let mut fleet = two_instances().await;
    apply_change(&mut fleet, |view| {
        view.instances.get_mut("e-2").unwrap().leaving = true;
    })
    .await;
    let mut open = Vec::new();
    assert_eq!(open_transactions(&fleet, &mut open).await, 9);
    apply_change(&mut fleet, |view| {
        view.instances.remove("e-2");
    })
    .await;
    assert_eq!(open_transactions(&fleet, &mut open).await, 18);
}

fn set_accepts_connections(fleet: &Fleet, accepts: bool) {
    let refusal = ConnectError::Refused(RefusalKind::TooManyConnections);
    fleet
        .databases
        .with("p", |p| p.connect_error = (!accepts).then_some(refusal));
}

#[tokio::test(start_paused = true)]
async fn a_session_waits_for_an_open_connection_where_the_database_has_no_room() {
    let fleet = Fleet::start(SLOTS);
    let mut first = fleet.session("primary").await;
    first.ok(read("read x")).await;
    set_accepts_connections(&fleet, false);
    fleet
        .databases
        .with("p", |p| p.delay = Duration::from_millis(20));
    let mut callers = Vec::new();
    for _ in 0..4 {
        callers.push(fleet.session("primary").await);
    }
    for caller in &mut callers {
        caller.send(read("read x"));
    }
    for caller in &mut callers {
        let answer = caller.answer().await;
        assert_eq!(answer.outcome, Ok(Some("p-1".into())));
    }
    // Few connection attempts, since each refusal costs the database time.
    let connects = fleet.databases.with("p", |p| p.connects);
    assert!(connects <= 1 + 2 * callers.len(), "{connects}");
    // Once the connection is idle again it is reused without a wait, although the database still
    // refuses new ones.
    let start = Instant::now();
    first.ok(read("read x")).await;
    assert!(start.elapsed() <= Duration::from_millis(21));
}

#[tokio::test(start_paused = true)]
async fn an_open_connection_is_used_while_the_database_has_no_room() {
    let fleet = Fleet::start(SLOTS);
    let mut first = fleet.session("primary").await;
    first.ok(read("read x")).await;
    set_accepts_connections(&fleet, false);
    let mut refused = fleet.caller("primary", "key-two");
    refused.opened().await;
    refused.send(read("read x"));
    // The database has refused the connection of the other organisation.
    sleep(Duration::from_millis(3)).await;
    let start = Instant::now();
    first.ok(read("read x")).await;
    assert!(start.elapsed() <= Duration::from_millis(5));
    set_accepts_connections(&fleet, true);
    assert!(refused.answer().await.outcome.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_session_is_served_soon_after_the_database_has_room_again() {
    let fleet = Fleet::start(SLOTS);
    set_accepts_connections(&fleet, false);
    let mut caller = fleet.session("primary").await;
    caller.send(read("read x"));
    sleep(Duration::from_millis(40)).await;
    set_accepts_connections(&fleet, true);
    let answer = caller.answer().await;
    assert!(answer.outcome.is_ok(), "{answer:?}");
}

/// Makes every database refuse all statements as busy.
fn make_busy(fleet: &Fleet, refusals: usize) {
    for name in ["p", "a", "b"] {
        for _ in 0..refusals {
            let busy = Fault::Refuse(RefusalKind::Busy);
            fleet.databases.fault(name, "read", busy);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn retries_are_a_small_part_of_the_load_while_all_databases_refuse() {
    const REQUESTS: usize = 1_000;
    let fleet = Fleet::start(SLOTS);
    let mut caller = fleet.session("session").await;
    make_busy(&fleet, 4 * REQUESTS);
    for _ in 0..REQUESTS {
        assert_eq!(caller.fail(read("read x")).await, ErrorKind::QueueFull);
    }
    let calls = ["p", "a", "b"].map(|name| fleet.databases.calls(name));
    let calls = calls.iter().flatten();
    let attempts = calls.filter(|call| call.contains("read x")).count();
    // A tenth of the requests, and what was saved up before.
    assert!(attempts <= REQUESTS * 11 / 10 + 20, "{attempts}");
}

#[tokio::test(start_paused = true)]
async fn a_read_is_tried_elsewhere_if_one_database_is_busy() {
    let fleet = Fleet::start(SLOTS);
    let mut caller = fleet.session("session").await;
    for _ in 0..10 {
        fleet
            .databases
            .fault("a", "read", Fault::Refuse(RefusalKind::Busy));
    }
    for _ in 0..10 {
        caller.ok(read("read x")).await;
    }
}

/// Starts a fleet of `instances` instances whose databases admit `slots` connections.
async fn many_instances(instances: usize, slots: usize) -> Fleet {
    let mut fleet = Fleet::start(slots);
    apply_change(&mut fleet, |view| {
        for index in 0..instances {
            insert_instance(view, &format!("e-{index}"), 1);
        }
    })
    .await;
    fleet
}

#[test_case(62, 73, 1; "a share of one")]
#[test_case(300, 170, 0; "fewer connections than instances")]
#[tokio::test(start_paused = true)]
async fn a_transaction_does_not_keep_others_from_a_database_with_few_connections(
    instances: usize,
    slots: usize,
    kept: usize,
) {
    let fleet = many_instances(instances, slots).await;
    let mut idle = fleet.session("primary").await;
    idle.ok(BEGIN).await;
    idle.ok(read("read x")).await;
    let mut other = fleet.session("primary").await;
    other.ok(read("read x")).await;
    idle.ok(RequestVerb::Commit).await;
    // The idle connections of all instances together leave slots for those in use.
    assert_eq!(fleet.databases.with("p", |p| p.open), kept);
}
