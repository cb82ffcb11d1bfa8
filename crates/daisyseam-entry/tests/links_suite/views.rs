//! The lease, the view, and what is closed when they change.

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

const ANYWHERE: SocketAddr = crate::support::LOOPBACK;

#[tokio::test]
async fn connections_are_closed_before_control_hears_that_the_database_is_let_go() {
    let database = FakeDatabase::start(UpstreamRole::Primary, position(1, 10)).await;
    let held = ViewParts::new()
        .instance("entry-1", 1, ANYWHERE)
        .instance("entry-2", 2, ANYWHERE)
        .database("one", &database, Some("entry-1"));
    let control = FakeControl::start(held.0.clone()).await;
    let daemon = start_daemon("entry-1", control.address).await;
    eventually("a connection is open", || database.open() > 0).await;
    control.heard(|heartbeat| heartbeat.view == 1).await;
    let moved = held.database("one", &database, None).next();
    control.set_view(moved.0);
    let let_go = |heartbeat: &Heartbeat| {
        let health = heartbeat.health.iter();
        let mut gone =
            health.filter(|report| report.upstream == "one" && report.held_for_view == 0);
        heartbeat.view == 2 && gone.next().is_some()
    };
    let heard = control.heard(let_go).await.sequence;
    eventually("all are closed", || database.open() == 0).await;
    let opened = database.opened();
    control
        .heard(|heartbeat| heartbeat.sequence > heard + 2)
        .await;
    assert_eq!(database.opened(), opened, "it opened another connection");
    daemon.stop(Duration::from_secs(5)).await;
}

#[tokio::test]
async fn a_running_transaction_ends_before_its_database_is_let_go() {
    let database = FakeDatabase::start(UpstreamRole::Primary, position(1, 10)).await;
    let instance = Instance::start("entry-1", 1).await;
    let held = ViewParts::new()
        .instance("entry-1", 1, instance.server.address())
        .instance("entry-2", 2, ANYWHERE)
        .database("one", &database, Some("entry-1"));
    instance.hold(&held.0).await;
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
    // The transaction goes on to its end, since the move was planned.
    query(&mut opened.link, "COMMIT").await.expect("an answer");
    daisyseam_entry::DatabaseLink::release(opened.link);
    within(finished).await.expect("it ends");
    assert!(instance.table.is_empty());
    eventually("all are closed", || database.open() == 0).await;
}

#[tokio::test]
async fn links_end_with_the_lease_and_none_is_opened_after_it() {
    let database = FakeDatabase::start(UpstreamRole::Primary, position(1, 10)).await;
    let held = ViewParts::new().instance("entry-1", 1, ANYWHERE).database(
        "one",
        &database,
        Some("entry-1"),
    );
    let control = FakeControl::start(held.0).await;
    let daemon = start_daemon("entry-1", control.address).await;
    eventually("a connection is open", || database.open() > 0).await;
    control.set_lease_ms(0);
    let heard = control
        .heard(|heartbeat| heartbeat.view == 1)
        .await
        .sequence;
    control
        .heard(|heartbeat| heartbeat.sequence > heard + 1)
        .await;
    // The lease that was given before ends by itself only after the test, so end it here.
    let cell = daemon.view();
    let view = cell.held().view.clone();
    cell.replace(daisyseam_entry::HeldView {
        view,
        lease_until: Some(Instant::now()),
    });
    eventually("all are closed", || database.open() == 0).await;
    let opened = database.opened();
    control
        .heard(|heartbeat| heartbeat.sequence > heard + 3)
        .await;
    assert_eq!(database.opened(), opened, "it opened another connection");
    assert_eq!(cell.valid().err(), Some(ErrorKind::NoView));
}

#[tokio::test]
async fn heartbeats_count_on_over_a_connection_that_was_lost() {
    let held = ViewParts::new().instance("entry-1", 1, ANYWHERE);
    let control = FakeControl::start(held.0).await;
    let daemon = start_daemon("entry-1", control.address).await;
    let before = control.heard(|heartbeat| heartbeat.sequence >= 3).await;
    control.cut();
    let first = control
        .heard(|heartbeat| heartbeat.sequence != before.sequence)
        .await;
    // Control refuses a lease to a heartbeat that is older than one it has answered.
    assert!(first.sequence > before.sequence);
    daemon.stop(Duration::from_secs(5)).await;
}

#[tokio::test]
async fn a_daemon_that_is_dropped_leaves_no_connection_open() {
    let database = FakeDatabase::start(UpstreamRole::Primary, position(1, 10)).await;
    let held = ViewParts::new().instance("entry-1", 1, ANYWHERE).database(
        "one",
        &database,
        Some("entry-1"),
    );
    let control = FakeControl::start(held.0).await;
    let daemon = start_daemon("entry-1", control.address).await;
    eventually("a connection is open", || database.open() > 0).await;
    drop(daemon);
    eventually("all are closed", || database.open() == 0).await;
}

#[tokio::test]
async fn without_a_lease_no_link_is_given() {
    let database = FakeDatabase::start(UpstreamRole::Primary, position(1, 10)).await;
    let instance = Instance::start("entry-1", 1).await;
    let held = ViewParts::new()
        .instance("entry-1", 1, instance.server.address())
        .database("one", &database, Some("entry-1"));
    instance.hold_until(&held.0, Some(Instant::now())).await;
    let group = group();
    let mut order = order(&group, StatementAccess::ReadAtLeast(position(0, 0)));
    order.deadline = Instant::now() + Duration::from_millis(50);
    let refused = within(instance.broker.open(order)).await.err();
    assert_eq!(refused.map(|error| error.kind), Some(ErrorKind::NoView));
}

#[tokio::test]
async fn a_fenced_term_cuts_its_transactions_and_holds_new_ones() {
    let database = FakeDatabase::start(UpstreamRole::Primary, position(1, 10)).await;
    let instance = Instance::start("entry-1", 1).await;
    let held = ViewParts::new()
        .instance("entry-1", 1, instance.server.address())
        .database("one", &database, Some("entry-1"));
    instance.hold(&held.0).await;
    let bookings = group();
    let opened = instance
        .broker
        .open(order(&bookings, StatementAccess::Write));
    let mut opened = within(opened).await.expect("a link");
    query(&mut opened.link, "BEGIN").await.expect("an answer");
    let fenced = held.group(2, PrimaryState::Fenced);
    instance.hold(&fenced.0).await;
    within(query(&mut opened.link, "SELECT late"))
        .await
        .expect_err("the link was cut");
    let broker = instance.broker.clone();
    let waiting = tokio::spawn(async move {
        let group = group();
        let opened = broker.open(order(&group, StatementAccess::Write)).await;
        opened.map(|opened| opened.term)
    });
    database.set_state(2, UpstreamRole::Primary);
    database.set_end(position(2, 11));
    let active = fenced.group(2, PrimaryState::Active(upstream("one")));
    instance.hold(&active.0).await;
    let term = within(waiting)
        .await
        .expect("it runs")
        .expect("it was held");
    assert_eq!(term.0, 2);
}

#[tokio::test]
async fn a_request_that_waits_for_a_slot_of_a_fenced_primary_goes_to_the_next() {
    let one = FakeDatabase::start(UpstreamRole::Primary, position(1, 10)).await;
    let two = FakeDatabase::start(UpstreamRole::Primary, position(2, 11)).await;
    let instance = Instance::start("entry-1", 1).await;
    let held = ViewParts::new()
        .instance("entry-1", 1, instance.server.address())
        .database("one", &one, Some("entry-1"))
        .database("two", &two, Some("entry-1"));
    instance.hold(&held.0).await;
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
    eventually("one waits", || handle.counts().queued == 1).await;
    let active = held.group(2, PrimaryState::Active(upstream("two")));
    instance.hold(&active.0).await;
    // The links of the former primary are still in the hands of those that use them.
    let opened = within(waiting).await.expect("it runs");
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
    instance.hold(&held.0).await;
    let group = group();
    let mut order = order(&group, StatementAccess::Write);
    order.deadline = Instant::now() + Duration::from_millis(100);
    let refused = within(instance.broker.open(order)).await.err();
    let kind = refused.map(|error| error.kind);
    assert_eq!(kind, Some(ErrorKind::UpstreamUnreachable));
}

#[tokio::test]
async fn a_dead_history_serves_no_read() {
    // It wrote past the place from which the present primary went on.
    let database = FakeDatabase::start(UpstreamRole::Replica, position(1, 90)).await;
    let instance = Instance::start("entry-1", 1).await;
    let mut held = ViewParts::new()
        .instance("entry-1", 1, instance.server.address())
        .database("two", &database, Some("entry-1"))
        .group(2, PrimaryState::Fenced);
    let entry = held.0.groups.get_mut(&group()).expect("it is there");
    entry.lineage_start = position(1, 50);
    instance.hold(&held.0).await;
    let group = group();
    let mut late = order(&group, StatementAccess::ReadAtLeast(position(1, 40)));
    late.deadline = Instant::now() + Duration::from_millis(100);
    let refused = within(instance.broker.open(late)).await;
    assert!(refused.is_err(), "a dead history was read");
    database.set_end(position(1, 50));
    let opened = instance
        .broker
        .open(order(&group, StatementAccess::ReadAtLeast(position(1, 40))));
    within(opened)
        .await
        .expect("it lies within the lineage now");
}
