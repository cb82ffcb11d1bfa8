//! Tests of leases and views, and of the connections closed when they change.

use crate::support::{
    FakeControl,
    FakeDatabase,
    Instance,
    ViewParts,
    eventually,
    group,
    order,
    position,
    query,
    start_daemon,
    upstream,
    within, //
};
use daisyseam_entry::{
    LinkBroker,
    StatementAccess, //
};
use daisyseam_model::{
    ErrorKind,
    PrimaryState,
    announce::UpstreamRole, //
};
use daisyseam_wire::Heartbeat;
use std::{
    net::SocketAddr,
    time::Duration, //
};
use tokio::time::Instant;

const UNUSED_ADDRESS: SocketAddr = crate::support::LOOPBACK;

#[tokio::test]
async fn connections_are_closed_before_control_is_told_of_a_release() {
    let database = FakeDatabase::start(UpstreamRole::Primary, position(1, 10)).await;
    let held = ViewParts::new()
        .instance("entry-1", 1, UNUSED_ADDRESS)
        .instance("entry-2", 2, UNUSED_ADDRESS)
        .database("one", &database, Some("entry-1"));
    let control = FakeControl::start(held.0.clone()).await;
    let daemon = start_daemon("entry-1", control.address).await;
    eventually("a connection is open", || database.open_count() > 0).await;
    control
        .wait_for_heartbeat(|heartbeat| heartbeat.view == 1)
        .await;
    let moved = held.database("one", &database, None).next();
    control.set_view(moved.0);
    let released = |heartbeat: &Heartbeat| {
        let health = heartbeat.health.iter();
        let mut reports =
            health.filter(|report| report.upstream == "one" && report.held_for_view == 0);
        heartbeat.view == 2 && reports.next().is_some()
    };
    let sequence = control.wait_for_heartbeat(released).await.sequence;
    eventually("all connections are closed", || database.open_count() == 0).await;
    let opened = database.opened_count();
    control
        .wait_for_heartbeat(|heartbeat| heartbeat.sequence > sequence + 2)
        .await;
    assert_eq!(
        database.opened_count(),
        opened,
        "another connection was opened"
    );
    daemon.stop(Duration::from_secs(5)).await;
}

#[tokio::test]
async fn a_running_transaction_ends_before_its_database_is_released() {
    let database = FakeDatabase::start(UpstreamRole::Primary, position(1, 10)).await;
    let instance = Instance::start("entry-1", 1).await;
    let held = ViewParts::new()
        .instance("entry-1", 1, instance.server.address())
        .instance("entry-2", 2, UNUSED_ADDRESS)
        .database("one", &database, Some("entry-1"));
    instance.apply_view(&held.0).await;
    let group = group();
    let opened = instance.broker.open(order(&group, StatementAccess::Write));
    let mut opened = within(opened).await.expect("a link");
    query(&mut opened.link, "BEGIN").await.expect("an answer");
    let moved = held.database("one", &database, Some("entry-2")).next();
    instance.cell.replace(daisyseam_entry::HeldView {
        view: moved.0.clone().into(),
        lease_until: Some(crate::support::deadline()),
    });
    let hand_over = instance.table.apply(&moved.0).await;
    let finished = tokio::spawn(hand_over.finish());
    assert_eq!(instance.table.releasing().len(), 1);
    // The move is planned, so the running transaction may finish.
    query(&mut opened.link, "COMMIT").await.expect("an answer");
    daisyseam_entry::DatabaseLink::release(opened.link);
    within(finished).await.expect("it ends");
    assert!(instance.table.is_empty());
    eventually("all connections are closed", || database.open_count() == 0).await;
}

#[tokio::test]
async fn links_end_with_the_lease_and_none_is_opened_after_it() {
    let database = FakeDatabase::start(UpstreamRole::Primary, position(1, 10)).await;
    let held = ViewParts::new()
        .instance("entry-1", 1, UNUSED_ADDRESS)
        .database("one", &database, Some("entry-1"));
    let control = FakeControl::start(held.0).await;
    let daemon = start_daemon("entry-1", control.address).await;
    eventually("a connection is open", || database.open_count() > 0).await;
    control.set_lease_ms(0);
    let sequence = control
        .wait_for_heartbeat(|heartbeat| heartbeat.view == 1)
        .await
        .sequence;
    control
        .wait_for_heartbeat(|heartbeat| heartbeat.sequence > sequence + 1)
        .await;
    // The lease granted before outlasts the test, so end it here.
    let cell = daemon.view();
    let view = cell.held().view.clone();
    cell.replace(daisyseam_entry::HeldView {
        view,
        lease_until: Some(Instant::now()),
    });
    eventually("all connections are closed", || database.open_count() == 0).await;
    let opened = database.opened_count();
    control
        .wait_for_heartbeat(|heartbeat| heartbeat.sequence > sequence + 3)
        .await;
    assert_eq!(
        database.opened_count(),
        opened,
        "another connection was opened"
    );
    assert_eq!(cell.valid().err(), Some(ErrorKind::NoView));
}

#[tokio::test]
async fn heartbeat_numbers_continue_after_a_lost_connection() {
    let held = ViewParts::new().instance("entry-1", 1, UNUSED_ADDRESS);
    let control = FakeControl::start(held.0).await;
    let daemon = start_daemon("entry-1", control.address).await;
    let before = control
        .wait_for_heartbeat(|heartbeat| heartbeat.sequence >= 3)
        .await;
    control.disconnect();
    let first = control
        .wait_for_heartbeat(|heartbeat| heartbeat.sequence != before.sequence)
        .await;
    // Control grants no lease for a heartbeat older than one that it has answered.
    assert!(first.sequence > before.sequence);
    daemon.stop(Duration::from_secs(5)).await;
}

#[tokio::test]
async fn a_daemon_that_is_dropped_leaves_no_connection_open() {
    let database = FakeDatabase::start(UpstreamRole::Primary, position(1, 10)).await;
    let held = ViewParts::new()
        .instance("entry-1", 1, UNUSED_ADDRESS)
        .database("one", &database, Some("entry-1"));
    let control = FakeControl::start(held.0).await;
    let daemon = start_daemon("entry-1", control.address).await;
    eventually("a connection is open", || database.open_count() > 0).await;
    drop(daemon);
    eventually("all connections are closed", || database.open_count() == 0).await;
}

#[tokio::test]
async fn no_link_is_opened_without_a_lease() {
    let database = FakeDatabase::start(UpstreamRole::Primary, position(1, 10)).await;
    let instance = Instance::start("entry-1", 1).await;
    let held = ViewParts::new()
        .instance("entry-1", 1, instance.server.address())
        .database("one", &database, Some("entry-1"));
    instance
        .apply_view_until(&held.0, Some(Instant::now()))
        .await;
    let group = group();
    let mut order = order(&group, StatementAccess::ReadAtLeast(position(0, 0)));
    order.deadline = Instant::now() + Duration::from_millis(50);
    let refused = within(instance.broker.open(order)).await.err();
    assert_eq!(refused.map(|error| error.kind), Some(ErrorKind::NoView));
}

#[tokio::test]
async fn fencing_a_term_aborts_its_transactions_and_delays_new_ones() {
    let database = FakeDatabase::start(UpstreamRole::Primary, position(1, 10)).await;
    let instance = Instance::start("entry-1", 1).await;
    let held = ViewParts::new()
        .instance("entry-1", 1, instance.server.address())
        .database("one", &database, Some("entry-1"));
    instance.apply_view(&held.0).await;
    let bookings = group();
    let opened = instance
        .broker
        .open(order(&bookings, StatementAccess::Write));
    let mut opened = within(opened).await.expect("a link");
    query(&mut opened.link, "BEGIN").await.expect("an answer");
    let fenced = held.group(2, PrimaryState::Fenced);
    instance.apply_view(&fenced.0).await;
    within(query(&mut opened.link, "SELECT late"))
        .await
        .expect_err("the link is closed");
    let broker = instance.broker.clone();
    let waiting = tokio::spawn(async move {
        let group = group();
        let opened = broker.open(order(&group, StatementAccess::Write)).await;
        opened.map(|opened| opened.term)
    });
    database.set_state(2, UpstreamRole::Primary);
    database.set_end(position(2, 11));
    let active = fenced.group(2, PrimaryState::Active(upstream("one")));
    instance.apply_view(&active.0).await;
    let term = within(waiting)
        .await
        .expect("the task completes")
        .expect("the request succeeds");
    assert_eq!(term.0, 2);
}

#[tokio::test]
async fn a_request_waiting_for_a_slot_of_a_former_primary_moves_to_the_new_one() {
    let one = FakeDatabase::start(UpstreamRole::Primary, position(1, 10)).await;
    let two = FakeDatabase::start(UpstreamRole::Primary, position(2, 11)).await;
    let instance = Instance::start("entry-1", 1).await;
    let held = ViewParts::new()
        .instance("entry-1", 1, instance.server.address())
        .database("one", &one, Some("entry-1"))
        .database("two", &two, Some("entry-1"));
    instance.apply_view(&held.0).await;
    let bookings = group();
    let mut links = Vec::new();
    for _ in 0..2 {
        let opened = instance
            .broker
            .open(order(&bookings, StatementAccess::Write));
        links.push(within(opened).await.expect("a link").link);
    }
    let broker = instance.broker.clone();
    let waiting = tokio::spawn(async move {
        let group = group();
        let opened = broker.open(order(&group, StatementAccess::Write)).await;
        opened.map(|opened| opened.upstream)
    });
    let handle = instance.table.get(&upstream("one")).expect("it is held");
    eventually("a request waits", || handle.counts().queued == 1).await;
    let active = held.group(2, PrimaryState::Active(upstream("two")));
    instance.apply_view(&active.0).await;
    // The links to the former primary are still in use.
    let opened = within(waiting).await.expect("the task completes");
    assert_eq!(opened, Ok(upstream("two")));
    drop(links);
}

#[tokio::test]
async fn a_database_of_another_term_or_role_gets_no_write() {
    let database = FakeDatabase::start(UpstreamRole::Primary, position(1, 10)).await;
    database.set_state(2, UpstreamRole::Detached);
    let instance = Instance::start("entry-1", 1).await;
    let held = ViewParts::new()
        .instance("entry-1", 1, instance.server.address())
        .database("one", &database, Some("entry-1"));
    instance.apply_view(&held.0).await;
    let group = group();
    let mut order = order(&group, StatementAccess::Write);
    order.deadline = Instant::now() + Duration::from_millis(100);
    let refused = within(instance.broker.open(order)).await.err();
    let kind = refused.map(|error| error.kind);
    assert_eq!(kind, Some(ErrorKind::UpstreamUnreachable));
}

#[tokio::test]
async fn an_abandoned_log_branch_serves_no_read() {
    // The database wrote past the position from which the current primary continued.
    let database = FakeDatabase::start(UpstreamRole::Replica, position(1, 90)).await;
    let instance = Instance::start("entry-1", 1).await;
    let mut held = ViewParts::new()
        .instance("entry-1", 1, instance.server.address())
        .database("two", &database, Some("entry-1"))
        .group(2, PrimaryState::Fenced);
    let entry = held.0.groups.get_mut(&group()).expect("it is there");
    entry.lineage_start = position(1, 50);
    instance.apply_view(&held.0).await;
    let group = group();
    let mut late = order(&group, StatementAccess::ReadAtLeast(position(1, 40)));
    late.deadline = Instant::now() + Duration::from_millis(100);
    let refused = within(instance.broker.open(late)).await;
    assert!(refused.is_err(), "an abandoned branch of the log was read");
    database.set_end(position(1, 50));
    let opened = instance
        .broker
        .open(order(&group, StatementAccess::ReadAtLeast(position(1, 40))));
    within(opened)
        .await
        .expect("it lies within the lineage now");
}
