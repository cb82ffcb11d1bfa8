//! A consumer whose key is withdrawn goes on in a transaction that it has open.

use standin::{
    Consumer, Deployment, Route, Service, ZONES, finish, manifest, serve_provider, sleep_ms,
    with_trouble,
};
use std::{
    sync::{Arc, atomic::AtomicBool},
    time::{Duration, Instant},
};

/// The longer of `config_apply_ms` and `revoke_timeout_ms` of the site.
const CONFIG_APPLY: Duration = Duration::from_millis(5_000);

fn main() {
    let mut deployment = Deployment::new();
    let record = deployment.record.clone();
    let service = Service::new("ledger", 1, &record);
    let pings = Arc::new(AtomicBool::new(true));
    for (number, zone) in (1..=3).zip(ZONES) {
        service.add(&format!("i-db{number}"), zone, deployment.database(number));
    }
    serve_provider(deployment.provider(), vec![service.clone()], &record);
    deployment.start(2);
    for number in 1..=3 {
        service.ping(&format!("i-db{number}"), deployment.control(), Arc::clone(&pings));
    }
    let routes = || {
        [Route {
            host: "deposits",
            kind: "primary",
            service: "ledger",
            max_staleness_ms: None,
        }]
    };
    let before = manifest(3, &routes(), &[("ledger", 1)], &[("boarding", &["key-old", "key-new"]), ("vet", &["key-vet"])]);
    if deployment.order("PUT", "/config", &before, Duration::from_secs(20)) != Some(200)
        || !deployment.wait_ready(2, Duration::from_secs(20))
    {
        finish(deployment, 2, "the deployment did not start");
    }
    let frontend = deployment.frontend(1);
    let Some(mut held) = open_working(&deployment, "a", "key-old") else {
        finish(deployment, 2, "the first session did not work");
    };
    held.request("BEGIN");
    let (_, first) = held.request("STORE deposit-1 ten");
    if first.is_none_or(|reply| reply.outcome.is_err()) {
        finish(deployment, 2, "the first statement of the transaction failed");
    }
    let keys: &[&str] = if with_trouble() { &["key-new"] } else { &["key-old", "key-new"] };
    let after = manifest(5, &routes(), &[("ledger", 1)], &[("boarding", keys), ("vet", &["key-vet"])]);
    if deployment.order("PUT", "/config", &after, Duration::from_secs(20)) != Some(200) {
        finish(deployment, 2, "the second manifest was not confirmed");
    }
    let confirmed = Instant::now();
    // Written after the key was withdrawn, by a consumer whose key holds.
    let Some(mut other) = open_working(&deployment, "b", "key-new") else {
        finish(deployment, 2, "the session of the other key did not work");
    };
    other.request("STORE deposit-2 written-after-the-withdrawal");
    let mut served_late = Vec::new();
    for round in 0..7 {
        sleep_ms(1_500);
        let late = confirmed.elapsed() > CONFIG_APPLY;
        let text = match round % 2 {
            0 => "FETCH deposit-2".to_owned(),
            _ => format!("STORE deposit-3 written-with-the-withdrawn-key-{round}"),
        };
        let (id, reply) = held.request(&text);
        let Some(reply) = reply else { break };
        let withdrawn = with_trouble();
        if late && withdrawn && reply.outcome.is_ok() {
            served_late.push(format!("{id} {text} -> {:?}", reply.rows));
        }
        if reply.outcome.is_err() {
            break;
        }
    }
    let (id, reply) = held.request("COMMIT");
    if with_trouble() && reply.is_some_and(|reply| reply.outcome.is_ok()) {
        served_late.push(format!("{id} COMMIT"));
    }
    if let Err(code) = Consumer::open("c", frontend, "deposits", "key-old", &record) {
        record.line(&format!("a new session with the withdrawn key gets {code}"));
    }
    let ran = service.ran();
    let ran_late = ran.iter().filter(|run| run.at > confirmed + CONFIG_APPLY && run.id.starts_with('a'));
    let ran_late = ran_late.count();
    if served_late.is_empty() || ran_late == 0 {
        finish(deployment, 0, "nothing was served with a key that no manifest in force holds");
    }
    for served in &served_late {
        record.line(&format!("served later than 5 s after the confirmation: {served}"));
    }
    let verdict = format!("CONFIG: {} requests were served with the withdrawn key, {ran_late} run by a database", served_late.len());
    finish(deployment, 1, &verdict);
}

/// Opens a session and reads until a read succeeds, since databases register one after the other.
fn open_working(deployment: &Deployment, name: &str, key: &str) -> Option<Consumer> {
    for attempt in 0..40 {
        let name = format!("{name}{attempt:02}");
        let frontend = deployment.frontend(1);
        if let Ok(mut consumer) = Consumer::open(&name, frontend, "deposits", key, &deployment.record) {
            let (_, reply) = consumer.request("FETCH deposit-1");
            if reply.is_some_and(|reply| reply.outcome.is_ok()) {
                return Some(consumer);
            }
        }
        sleep_ms(250);
    }
    None
}
