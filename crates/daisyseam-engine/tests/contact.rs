//! Requests and sessions while control is silent, and while it only has no leader.

mod support;

use daisyseam_engine::RequestVerb;
use daisyseam_member::{
    ContactState,
    FleetObserver, //
};
use daisyseam_model::{
    ErrorKind,
    PrimaryState, //
};
use std::time::Duration;
use support::{
    Fleet,
    caller::{
        BEGIN,
        CallerEvent,
        read,
        write, //
    }, //
};
use test_case::test_case;
use tokio::time::{
    Instant,
    sleep, //
};

/// Longest time in which a request is refused that does not wait. The clock is virtual.
const AT_ONCE: Duration = Duration::from_millis(5);

/// Longer than a document stays valid after its lease.
const DOCUMENT_EXPIRY: Duration = Duration::from_millis(1_500);

/// Returns how long a write takes that is refused without a lease.
async fn refusal_time(contact: ContactState, expiry: Duration) -> Duration {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("session").await;
    fleet.set_lease(Duration::ZERO);
    sleep(expiry).await;
    fleet.cell.set_contact(contact);
    let began = Instant::now();
    assert_eq!(caller.fail(write("write 1")).await, ErrorKind::NoView);
    let asked = fleet.databases.calls("p");
    assert!(!asked.iter().any(|call| call.contains("write 1")));
    began.elapsed()
}

/// Guards against requests that wait at an instance behind a partition, while other instances that the
/// caller could try hold leases.
#[test_case(Duration::ZERO; "while the document may still be used")]
#[test_case(DOCUMENT_EXPIRY; "once the document is out of date")]
#[tokio::test(start_paused = true)]
async fn a_request_is_refused_at_once_while_control_is_silent(expiry: Duration) {
    let silent = refusal_time(ContactState::Silent, expiry).await;
    assert!(silent <= AT_ONCE, "{silent:?}");
    // While control has no leader, a lease may come at any time.
    let leaderless = refusal_time(ContactState::Leaderless, expiry).await;
    assert!(leaderless > 4 * AT_ONCE, "{leaderless:?}");
}

/// Guards against requests that began to wait before control was known to be silent.
#[test_case(Duration::ZERO; "while the document may still be used")]
#[test_case(DOCUMENT_EXPIRY; "once the document is out of date")]
#[tokio::test(start_paused = true)]
async fn a_request_that_waits_is_refused_once_control_is_silent(expiry: Duration) {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("session").await;
    fleet.set_lease(Duration::ZERO);
    sleep(expiry).await;
    let began = Instant::now();
    caller.send(write("write 1"));
    sleep(2 * AT_ONCE).await;
    fleet.cell.set_contact(ContactState::Silent);
    let kind = caller.answer().await.outcome.unwrap_err().kind;
    assert_eq!(kind, ErrorKind::NoView);
    assert!(began.elapsed() <= 3 * AT_ONCE, "{:?}", began.elapsed());
}

/// Guards against an instance that refuses although its lease is valid for some time yet.
#[tokio::test(start_paused = true)]
async fn a_valid_lease_is_used_while_control_is_silent() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("session").await;
    fleet.cell.set_contact(ContactState::Silent);
    caller.ok(write("write 1")).await;
    caller.ok(BEGIN).await;
    caller.ok(write("write 2")).await;
    caller.ok(RequestVerb::Commit).await;
}

/// Guards against a request that waits for a primary under a lease, and goes on waiting after its end.
#[tokio::test(start_paused = true)]
async fn a_wait_for_a_primary_ends_with_the_last_lease() {
    const LEASE: Duration = Duration::from_millis(20);
    let mut fleet = Fleet::start(30);
    let mut caller = fleet.session("session").await;
    fleet.change_view(|view| {
        view.groups.get_mut("g").unwrap().primary = PrimaryState::Fenced;
    });
    fleet.cell.set_contact(ContactState::Silent);
    fleet.set_lease(LEASE);
    let began = Instant::now();
    let kind = caller.fail(write("write 1")).await;
    assert_eq!(kind, ErrorKind::NoView);
    assert!(began.elapsed() >= LEASE, "{:?}", began.elapsed());
    assert!(began.elapsed() <= LEASE + AT_ONCE, "{:?}", began.elapsed());
}

/// Guards against a commit that waits for a lease, although nothing has been committed yet.
#[tokio::test(start_paused = true)]
async fn a_commit_is_not_sent_while_control_is_silent() {
    let fleet = Fleet::start(30);
    let mut caller = fleet.session("session").await;
    caller.ok(BEGIN).await;
    caller.ok(write("write 1")).await;
    fleet.set_lease(Duration::ZERO);
    fleet.cell.set_contact(ContactState::Silent);
    let began = Instant::now();
    let kind = caller.fail(RequestVerb::Commit).await;
    assert_ne!(kind, ErrorKind::OutcomeUnknown);
    assert!(began.elapsed() <= AT_ONCE, "{:?}", began.elapsed());
    let asked = fleet.databases.calls("p");
    assert!(!asked.iter().any(|call| call.contains("commit")));
}

/// Guards against callers that stay connected to an instance that cannot serve them.
#[tokio::test(start_paused = true)]
async fn sessions_end_at_once_while_control_is_silent() {
    for contact in [ContactState::Silent, ContactState::Leaderless] {
        let fleet = Fleet::start(30);
        let mut idle = fleet.session("session").await;
        idle.ok(read("read 1")).await;
        fleet.set_lease(Duration::ZERO);
        fleet.engine.observer().lease_ended();
        fleet.cell.set_contact(contact);
        let began = Instant::now();
        let event = idle.event().await;
        assert!(matches!(event, CallerEvent::Closed), "{event:?}");
        let is_at_once = began.elapsed() <= AT_ONCE;
        assert_eq!(is_at_once, contact == ContactState::Silent);
        let mut other = fleet.caller("session", "key-one");
        let event = other.event().await;
        assert!(
            matches!(&event, CallerEvent::Refused(error) if error.kind == ErrorKind::NoView),
            "{event:?}"
        );
    }
}
