//! Tests of requests that wait for a holder's connections by urgency.

mod support;

use daisyseam_model::ErrorKind;
use std::{
    sync::Arc,
    time::Duration, //
};
use support::{
    caller::{
        FakeCaller,
        write, //
    },
    database::Fault,
    relay::RelayFleet, //
};
use tokio::time::{
    Instant,
    sleep, //
};

/// Connections that each database admits, of which the first holder opens seven.
const SLOTS: usize = 10;
const HELD: usize = 7;

const INSTANCES: usize = 5;

/// Starts a fleet where the service `primary` is more urgent than the others.
async fn start(target: Duration) -> RelayFleet {
    let mut fleet = RelayFleet::start(INSTANCES, SLOTS).await;
    fleet
        .change_view(|view| {
            let mut document = view.document.as_deref().unwrap().clone();
            for (name, service) in &mut document.services {
                service.priority = if name.as_str() == "primary" { 0 } else { 2 };
                service.target_latency = Some(target);
                service.statement_timeout = Some(target * 2);
            }
            view.document = Some(Arc::new(document));
        })
        .await;
    fleet
}

async fn sessions(fleet: &RelayFleet, service: &str, count: usize) -> Vec<FakeCaller> {
    let mut sessions = Vec::new();
    for _ in 0..count {
        sessions.push(fleet.session(service).await);
    }
    sessions
}

fn send_all(callers: &mut [FakeCaller], text: &str) {
    for caller in callers {
        caller.send(write(text));
    }
}

/// The priority was not used, nor sent to the holder: urgent requests waited behind all others.
#[tokio::test]
async fn urgent_requests_of_other_instances_are_served_first() {
    let fleet = start(Duration::from_secs(20)).await;
    fleet
        .databases
        .with("p", |found| found.delay = Duration::from_millis(150));
    let mut low = sessions(&fleet, "session", 2 * HELD).await;
    let mut urgent = sessions(&fleet, "primary", HELD).await;
    send_all(&mut low, "write low");
    sleep(Duration::from_millis(50)).await;
    send_all(&mut urgent, "write urgent");
    for caller in urgent.iter_mut().chain(&mut low) {
        let answer = caller.answer().await;
        assert!(answer.outcome.is_ok(), "{answer:?}");
    }
    let calls = fleet.databases.calls("p");
    let writes: Vec<_> = calls.iter().filter(|call| call.contains("write")).collect();
    let last_urgent = writes.iter().rposition(|call| call.contains("urgent"));
    let low_after = writes.len() - 1 - last_urgent.unwrap();
    assert!(low_after >= HELD - 1, "{writes:?}");
}

/// A refusal did not say when a retry can succeed, so that retries came at once.
#[tokio::test]
async fn a_refusal_of_the_holder_says_when_to_retry() {
    const REQUESTS: usize = 60;
    let fleet = start(Duration::from_millis(600)).await;
    let mut callers = sessions(&fleet, "session", REQUESTS).await;
    fleet
        .databases
        .with("p", |found| found.delay = Duration::from_millis(150));
    callers[0].ok(write("write first")).await;
    send_all(&mut callers, "write more");
    let mut refused = 0;
    for caller in &mut callers {
        if let Err(error) = caller.answer().await.outcome {
            assert_eq!(error.kind, ErrorKind::QueueFull);
            refused += usize::from(error.retry_after.is_some());
        }
    }
    // Of the requests, 7 are served in each 150 ms of 600 ms.
    assert!(refused >= REQUESTS / 3, "{refused}");
}

/// A request waited for its whole target, and was refused then, while the database did not respond.
#[tokio::test]
async fn a_request_does_not_wait_for_its_target_while_nothing_is_served() {
    const TARGET: Duration = Duration::from_secs(4);
    let fleet = start(TARGET).await;
    for _ in 0..HELD + 1 {
        fleet.databases.fault("p", "write", Fault::NoReply);
    }
    let mut stuck = sessions(&fleet, "session", HELD + 1).await;
    let mut urgent = fleet.session("primary").await;
    send_all(&mut stuck, "write stuck");
    sleep(Duration::from_millis(100)).await;
    let sent_at = Instant::now();
    let answer = urgent.ask(write("write urgent")).await;
    assert_eq!(answer.outcome.unwrap_err().kind, ErrorKind::QueueFull);
    assert!(sent_at.elapsed() < TARGET / 2, "{:?}", sent_at.elapsed());
}
