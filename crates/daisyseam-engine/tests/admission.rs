//! Tests of the tokens of small rates, which one instance of a data centre holds for all there.

mod support;

use daisyseam_coord::{
    membership::rate_homes,
    quota::RateKey, //
};
use daisyseam_model::{
    ErrorKind,
    InstanceId,
    document::Document, //
};
use std::{
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::Duration, //
};
use support::{
    caller::read,
    data_centre,
    relay::RelayFleet, //
};
use tokio::time::Instant;

const INSTANCES: usize = 12;
const SLOTS: usize = 10;

/// Longest time until a request is admitted although the home of its rate does not respond.
const HOME_LOSS_LIMIT: Duration = Duration::from_millis(600);

/// Starts a fleet in which the organisation `one` has this rate and burst.
async fn start(rate: f64) -> RelayFleet {
    let mut fleet = RelayFleet::start(INSTANCES, SLOTS).await;
    fleet
        .change_view(|view| {
            let mut document = Document::clone(view.document.as_ref().unwrap());
            let organisation = document.organisations.get_mut("one").unwrap();
            organisation.rate = rate;
            organisation.burst = rate;
            view.document = Some(Arc::new(document));
        })
        .await;
    fleet
}

/// Returns the indices of the homes of the organisation's rate, and of an instance that is none.
fn homes(fleet: &RelayFleet) -> (Vec<usize>, usize) {
    let view = &fleet.instances[0].fleet.cell.held().view;
    let rate = RateKey::parse("one").unwrap();
    let names = rate_homes(view, &rate, &data_centre("dc-1"));
    let index = |name: &InstanceId| {
        let mut instances = fleet.instances.iter();
        instances.position(|instance| instance.name == *name)
    };
    let homes: Vec<usize> = names.into_iter().filter_map(index).collect();
    let other = (0..INSTANCES).find(|index| !homes.contains(index));
    (homes, other.unwrap())
}

fn set_tokens(fleet: &RelayFleet, index: usize, tokens: usize) {
    let gate = &fleet.instances[index].fleet.gate;
    gate.tokens.store(tokens, Ordering::SeqCst);
}

fn tokens(fleet: &RelayFleet, index: usize) -> usize {
    fleet.instances[index]
        .fleet
        .gate
        .tokens
        .load(Ordering::SeqCst)
}

/// Guards against a control leader that gets a report for most requests, since each of hundreds of
/// instances asks for the tokens of small rates itself.
#[tokio::test]
async fn all_instances_of_a_data_centre_take_tokens_of_a_small_rate_from_its_home() {
    let fleet = start(5.0).await;
    let (homes, _) = homes(&fleet);
    for index in 0..INSTANCES {
        set_tokens(&fleet, index, 0);
    }
    set_tokens(&fleet, homes[0], INSTANCES);
    for instance in &fleet.instances {
        let mut caller = instance.fleet.session("primary").await;
        caller.ok(read("read x")).await;
    }
    assert_eq!(tokens(&fleet, homes[0]), 0);
    let mut caller = fleet.instances[0].fleet.session("primary").await;
    let error = caller.ask(read("read x")).await.outcome.unwrap_err();
    assert_eq!(error.kind, ErrorKind::RateExceeded);
}

#[tokio::test]
async fn a_rate_that_can_be_split_is_not_relayed() {
    let fleet = start(200.0).await;
    let (homes, other) = homes(&fleet);
    set_tokens(&fleet, homes[0], 0);
    set_tokens(&fleet, other, 1);
    let mut caller = fleet.instances[other].fleet.session("primary").await;
    caller.ok(read("read x")).await;
    assert_eq!(tokens(&fleet, other), 0);
}

/// Guards against requests that wait for a home that is frozen or behind a partition.
#[tokio::test]
async fn a_home_that_does_not_respond_is_passed_over_soon() {
    let mut fleet = start(5.0).await;
    let (homes, other) = homes(&fleet);
    let _sockets = fleet.instances[homes[0]].freeze().await;
    set_tokens(&fleet, other, 1);
    let mut caller = fleet.instances[other].fleet.session("primary").await;
    let begin = Instant::now();
    caller.ok(read("read x")).await;
    assert!(begin.elapsed() < HOME_LOSS_LIMIT, "{:?}", begin.elapsed());
    assert_eq!(
        tokens(&fleet, other),
        0,
        "the instance asked control itself"
    );
    // The next home holds the tokens meanwhile.
    let before = tokens(&fleet, homes[1]);
    caller.ok(read("read x")).await;
    assert_eq!(tokens(&fleet, homes[1]), before - 1);
}

#[tokio::test]
async fn a_home_whose_connection_breaks_is_replaced_at_once() {
    let mut fleet = start(5.0).await;
    let (homes, other) = homes(&fleet);
    let mut caller = fleet.instances[other].fleet.session("primary").await;
    caller.ok(read("read x")).await;
    fleet.instances[homes[0]].kill().await;
    set_tokens(&fleet, other, 1);
    for _ in 0..2 {
        caller.ok(read("read x")).await;
    }
    assert_eq!(tokens(&fleet, other), 0);
}

#[tokio::test]
async fn a_home_that_stops_grants_nothing_more() {
    let fleet = start(5.0).await;
    let (homes, other) = homes(&fleet);
    fleet.instances[homes[0]].fleet.stop.stop();
    let before = tokens(&fleet, homes[0]);
    let mut caller = fleet.instances[other].fleet.session("primary").await;
    caller.ok(read("read x")).await;
    assert_eq!(tokens(&fleet, homes[0]), before);
}
