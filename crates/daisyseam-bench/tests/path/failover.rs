//! Primaries that are lost or cut off while callers write: nothing acknowledged is lost.

use crate::support::{
    HANG_GUARD,
    guarded,
    plan,
    start, //
};
use daisyseam_bench::{
    demo::{
        DemoLoad,
        make_tables,
        summarize, //
    },
    fleet::TestFleet, //
};
use daisyseam_model::{
    GroupId,
    UpstreamId, //
};
use std::time::Duration;
use tokio::time::Instant;

const CALLER_PAUSE: Duration = Duration::from_millis(10);

/// Writes acknowledged before each fault and after the last.
const WRITES_BETWEEN: u64 = 10;

fn group() -> GroupId {
    "bookings-db".parse().expect("a name")
}

/// Waits until another database than the lost one is primary everywhere.
async fn wait_replaced(fleet: &TestFleet, lost: &UpstreamId) {
    let deadline = Instant::now() + HANG_GUARD;
    let replaced = fleet.wait_view("another primary", deadline, |view| {
        let state = view.groups.get(&group());
        let active = state.and_then(|state| state.primary.active());
        active.is_some_and(|active| active != lost)
    });
    replaced.await.expect("it is replaced");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_primary_loses_no_acknowledged_write() {
    let mut plan = plan(5);
    plan.lag = Duration::from_millis(5)..=Duration::from_millis(50);
    let mut fleet = start(plan).await;
    make_tables(&fleet).await.expect("tables");
    let load = DemoLoad::start(&fleet, CALLER_PAUSE);
    for _ in 0..2 {
        guarded(load.wait_acknowledged(WRITES_BETWEEN)).await;
        let lost = fleet.primary(&group()).expect("a primary");
        let place = fleet
            .databases
            .iter()
            .position(|node| *node.upstream() == lost);
        let place = place.expect("it is there");
        fleet.databases[place].kill();
        wait_replaced(&fleet, &lost).await;
        fleet.start_database(place).expect("it starts again");
        let deadline = Instant::now() + HANG_GUARD;
        fleet
            .wait_ready(deadline)
            .await
            .expect("the fleet is whole");
    }
    guarded(load.wait_acknowledged(WRITES_BETWEEN)).await;
    let history = guarded(load.stop()).await;
    let deadline = Instant::now() + HANG_GUARD;
    fleet.wait_active(deadline).await.expect("a primary");
    let summary = summarize(&fleet, &history).await.expect("a summary");
    assert!(summary.finding.acknowledged >= WRITES_BETWEEN);
    assert_eq!(summary.finding.violations(), 0, "{summary:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_primary_that_is_cut_off_and_returns_loses_no_acknowledged_write() {
    let mut plan = plan(5);
    plan.lag = Duration::from_millis(5)..=Duration::from_millis(50);
    let fleet = start(plan).await;
    make_tables(&fleet).await.expect("tables");
    let load = DemoLoad::start(&fleet, CALLER_PAUSE);
    guarded(load.wait_acknowledged(WRITES_BETWEEN)).await;
    let lost = fleet.primary(&group()).expect("a primary");
    let site = fleet
        .database(&lost)
        .expect("it is there")
        .data_centre()
        .clone();
    fleet.network().cut_off(&site);
    let deadline = Instant::now() + HANG_GUARD;
    let replaced = async {
        let outside = fleet
            .entries
            .iter()
            .filter(|entry| *entry.data_centre() != site);
        for entry in outside {
            let cell = entry.view().expect("it runs");
            let mut changes = cell.subscribe();
            let active = || {
                let view = cell.valid().ok()?;
                view.groups.get(&group())?.primary.active().cloned()
            };
            while active().is_none_or(|active| active == lost) {
                changes.changed().await.expect("the cell lives");
            }
        }
    };
    guarded(replaced).await;
    fleet.network().heal();
    fleet
        .wait_ready(deadline)
        .await
        .expect("the fleet is whole");
    guarded(load.wait_acknowledged(WRITES_BETWEEN)).await;
    let history = guarded(load.stop()).await;
    fleet.wait_active(deadline).await.expect("a primary");
    let summary = summarize(&fleet, &history).await.expect("a summary");
    assert!(summary.finding.acknowledged >= WRITES_BETWEEN);
    assert_eq!(summary.finding.violations(), 0, "{summary:?}");
}
