//! Tests of sessions after the lease has expired, when the document may be outdated.

mod support;

use daisyseam_engine::RequestVerb;
use daisyseam_model::{
    ErrorKind,
    document::Document, //
};
use std::time::Duration;
use support::{
    Fleet,
    caller::{
        BEGIN,
        CallerEvent,
        FakeCaller,
        read, //
    }, //
};
use tokio::time::{
    Instant,
    sleep, //
};

/// Longer than a document stays valid after its lease.
const DOCUMENT_EXPIRY: Duration = Duration::from_millis(1_500);

/// Time from the start of a wait until the next message from control.
const RENEWAL_DELAY: Duration = Duration::from_millis(20);

fn without_bounded(document: &mut Document) {
    document.services.remove("bounded");
}

/// Waits until the lease and then the document have expired.
async fn expire_document(fleet: &Fleet) {
    fleet.set_lease(Duration::ZERO);
    sleep(DOCUMENT_EXPIRY).await;
}

/// Sends a request and removes the service while the request waits.
async fn ask_removed_service(fleet: &mut Fleet, caller: &mut FakeCaller, verb: RequestVerb) {
    fleet.databases.with("a", |a| a.calls.clear());
    fleet.databases.with("p", |p| p.calls.clear());
    caller.send(verb);
    sleep(RENEWAL_DELAY).await;
    fleet.change_document(without_bounded);
    let kind = caller.answer().await.outcome.unwrap_err().kind;
    assert_eq!(kind, ErrorKind::UnknownService);
    let asked = ["p", "a", "b"].map(|name| fleet.databases.calls(name));
    let ran = asked.iter().flatten().any(|call| call.contains("read 1"));
    assert!(!ran, "{asked:?}");
}

#[tokio::test(start_paused = true)]
async fn a_read_that_waited_for_the_lease_obeys_the_document_that_came_with_it() {
    let mut fleet = Fleet::start(30);
    let mut caller = fleet.session("bounded").await;
    caller.ok(read("read 0")).await;
    expire_document(&fleet).await;
    ask_removed_service(&mut fleet, &mut caller, read("read 1")).await;
}

#[tokio::test(start_paused = true)]
async fn a_transaction_does_not_begin_by_a_document_that_is_out_of_date() {
    let mut fleet = Fleet::start(30);
    let mut caller = fleet.session("bounded").await;
    expire_document(&fleet).await;
    ask_removed_service(&mut fleet, &mut caller, BEGIN).await;
}

#[tokio::test(start_paused = true)]
async fn a_session_is_let_in_by_the_document_that_comes_with_the_next_lease() {
    let mut fleet = Fleet::start(30);
    fleet.change_document(without_bounded);
    expire_document(&fleet).await;
    let mut caller = fleet.caller("bounded", "key-one");
    sleep(RENEWAL_DELAY).await;
    let entry = fleet.service("session");
    fleet.change_document(|document| {
        document.services.insert("bounded".parse().unwrap(), entry);
    });
    caller.opened().await;
}

#[tokio::test(start_paused = true)]
async fn nothing_is_called_unknown_by_a_document_that_is_out_of_date() {
    let fleet = Fleet::start(30);
    expire_document(&fleet).await;
    let began = Instant::now();
    let mut caller = fleet.caller("nothing", "key-one");
    let event = caller.event().await;
    let CallerEvent::Refused(error) = event else {
        panic!("{event:?}");
    };
    assert_eq!(error.kind, ErrorKind::NoView);
    assert!(began.elapsed() <= Duration::from_millis(250));
}

#[tokio::test(start_paused = true)]
async fn a_request_without_a_lease_is_given_up_soon() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("session").await;
    expire_document(&fleet).await;
    let began = Instant::now();
    assert_eq!(caller.fail(read("read 1")).await, ErrorKind::NoView);
    assert!(began.elapsed() <= Duration::from_millis(100));
}

/// Guards against a key that was withdrawn while the instance had no lease, and that goes on in an
/// open transaction because the instance does not know.
#[tokio::test(start_paused = true)]
async fn a_transaction_waits_for_the_lease_and_obeys_the_document_that_came_with_it() {
    let mut fleet = Fleet::start(30);
    let mut caller = fleet.session("session").await;
    caller.ok(BEGIN).await;
    caller.ok(read("read 0")).await;
    expire_document(&fleet).await;
    caller.send(read("read 1"));
    sleep(RENEWAL_DELAY).await;
    fleet.change_document(|document| {
        document.organisations.remove("one");
    });
    let kind = caller.answer().await.outcome.unwrap_err().kind;
    assert_eq!(kind, ErrorKind::KeyWithdrawn);
    let calls = fleet.databases.calls("p");
    assert!(
        !calls.iter().any(|call| call.contains("read 1")),
        "{calls:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn reads_go_on_for_a_moment_after_the_lease() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("session").await;
    fleet.set_lease(Duration::ZERO);
    sleep(Duration::from_millis(500)).await;
    caller.ok(read("read 1")).await;
}
