//! A ping of another writer names a service that is not in the manifest and the address of a replica.

use standin::{
    Consumer, Deployment, Reply, Route, Service, ZONES, finish, http, manifest, serve_provider,
    sleep_ms, unix_ms, with_trouble,
};
use std::{
    sync::{Arc, atomic::AtomicBool},
    time::{Duration, Instant},
};

fn main() {
    let mut deployment = Deployment::new();
    let record = deployment.record.clone();
    let service = Service::new("ledger", 1, &record);
    for (number, zone) in (1..=3).zip(ZONES) {
        service.add(&format!("i-db{number}"), zone, deployment.database(number));
    }
    serve_provider(deployment.provider(), vec![service.clone()], &record);
    deployment.start(2);
    let pings = Arc::new(AtomicBool::new(true));
    for number in 1..=3 {
        service.ping(&format!("i-db{number}"), deployment.control(), Arc::clone(&pings));
    }
    let deposits = Route {
        host: "deposits",
        kind: "primary",
        service: "ledger",
        max_staleness_ms: None,
    };
    let config = manifest(3, &[deposits], &[("ledger", 1)], &[("boarding", &["key-b"])]);
    let limit = Duration::from_secs(20);
    if deployment.order("PUT", "/config", &config, limit) != Some(200)
        || !deployment.wait_ready(2, limit)
    {
        finish(deployment, 2, "the deployment did not start");
    }
    let Some(mut owner) = open_working(&deployment) else {
        finish(deployment, 2, "the first session did not work");
    };
    // Time for all three to be found caught up.
    sleep_ms(4_000);
    if with_trouble() {
        let replica = service.get("i-db2");
        let stray = format!(
            "{{\"service\":\"elsewhere\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"capacity\":5,\"state\":\"ready\",\"warmup_left_ms\":0,\"db_role\":\"replica\",\
             \"sequence\":1,\"born\":{}}}",
            replica.address,
            replica.zone,
            unix_ms()
        );
        let member = deployment.control()[0];
        let answer = http("PUT", member, "/instances/i-stray", &stray, Duration::from_secs(1));
        record.line(&format!("stray ping {stray} answered {answer:?}"));
    }
    let until = Instant::now() + Duration::from_secs(66);
    let mut writes = 0;
    while Instant::now() < until {
        sleep_ms(2_000);
        writes += 1;
        owner.request(&format!("STORE deposit-{writes} before"));
    }
    // The named disturbance: a replica receives nothing for a while, and the primary crashes.
    service.change("i-db3", |database| database.deaf = true);
    record.line("database i-db3 receives nothing for a while");
    let mut acknowledged = Vec::new();
    for number in 0..5 {
        let (id, reply) = owner.request(&format!("STORE payment-{number} paid"));
        if reply.is_some_and(|reply| reply.outcome.is_ok()) {
            acknowledged.push(id);
        }
    }
    if acknowledged.is_empty() {
        finish(deployment, 2, "no write was acknowledged while one replica received nothing");
    }
    service.crash("i-db1");
    let until = Instant::now() + Duration::from_secs(14);
    while Instant::now() < until && service.promoted().is_empty() {
        sleep_ms(100);
    }
    let Some(promoted) = service.promoted().first().cloned() else {
        finish(deployment, 0, "no database was promoted, so nothing acknowledged is missing");
    };
    let log = service.get(&promoted).log;
    let lost: Vec<&String> = acknowledged
        .iter()
        .filter(|id| !log.iter().any(|entry| entry.id == **id))
        .collect();
    record.line(&format!("acknowledged with sync_replicas 1: {acknowledged:?}"));
    record.line(&format!("promoted: {promoted}, whose log has {} entries", log.len()));
    if let Ok(mut later) = Consumer::open("later", deployment.frontend(2), "deposits", "key-b", &record) {
        for _ in 0..20 {
            if succeeded(&later.request("FETCH payment-0").1) {
                break;
            }
            sleep_ms(250);
        }
    }
    if lost.is_empty() {
        finish(deployment, 0, &format!("{promoted} was promoted and has each acknowledged commit"));
    }
    let verdict = format!("LOST: {} of {} acknowledged commits are not in the log of {promoted}, which was promoted", lost.len(), acknowledged.len());
    finish(deployment, 1, &verdict);
}

fn succeeded(reply: &Option<Reply>) -> bool {
    reply.as_ref().is_some_and(|reply| reply.outcome.is_ok())
}

/// Opens a session and writes until a write succeeds, since databases register one after the other.
fn open_working(deployment: &Deployment) -> Option<Consumer> {
    for attempt in 0..40 {
        let name = format!("a{attempt:02}");
        let frontend = deployment.frontend(1);
        if let Ok(mut consumer) = Consumer::open(&name, frontend, "deposits", "key-b", &deployment.record)
            && succeeded(&consumer.request("STORE deposit-0 first").1)
        {
            return Some(consumer);
        }
        sleep_ms(250);
    }
    None
}
