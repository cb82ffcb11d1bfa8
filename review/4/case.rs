//! A session's route is moved to another service and back while one replica receives nothing.

use standin::{
    Consumer, Deployment, Reply, Route, Service, ZONES, finish, manifest, serve_provider, sleep_ms,
    with_trouble,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// `max_staleness_ms` of the route.
const BOUND_MS: u64 = 2_500;
const KEYS: &[(&str, &[&str])] = &[("boarding", &["key-b"])];
const SERVICES: &[(&str, u64)] = &[("north", 1), ("south", 1)];

fn main() {
    let mut deployment = Deployment::new();
    let record = deployment.record.clone();
    let north = Service::new("north", 1, &record);
    let south = Service::new("south", 1, &record);
    // The primaries are in the second zone, so the entry in the first prefers the first replica.
    for (service, base) in [(&north, 0), (&south, 10)] {
        for number in [2, 1, 3] {
            let id = format!("i-{}{number}", service.name);
            let address = deployment.database(base + number);
            service.add(&id, ZONES[usize::from(number) - 1], address);
        }
    }
    serve_provider(deployment.provider(), vec![north.clone(), south.clone()], &record);
    deployment.start(1);
    let pings = Arc::new(AtomicBool::new(true));
    for service in [&north, &south] {
        for number in 1..=3 {
            let id = format!("i-{}{number}", service.name);
            service.ping(&id, deployment.control(), Arc::clone(&pings));
        }
    }
    let config = |version: u64, target: &str| {
        let weighin = Route {
            host: "weighin",
            kind: "read_your_writes",
            service: target,
            max_staleness_ms: Some(BOUND_MS),
        };
        let deposits = Route {
            host: "deposits",
            kind: "primary",
            service: "north",
            max_staleness_ms: None,
        };
        manifest(version, &[weighin, deposits], SERVICES, KEYS)
    };
    let limit = Duration::from_secs(20);
    if deployment.order("PUT", "/config", &config(3, "north"), limit) != Some(200)
        || !deployment.wait_ready(1, limit)
        || !wait_for_work(&deployment)
    {
        finish(deployment, 2, "the deployment did not start");
    }
    // Another consumer reads on the primary of the service all the time, as traffic does.
    let going = Arc::new(AtomicBool::new(true));
    let (frontend, others_record, others_going) =
        (deployment.frontend(1), record.clone(), Arc::clone(&going));
    let others = thread::spawn(move || {
        let Ok(mut other) = Consumer::open("other", frontend, "deposits", "key-b", &others_record)
        else {
            return;
        };
        while others_going.load(Ordering::SeqCst) {
            other.request("FETCH fridge-9");
            sleep_ms(60);
        }
    });
    sleep_ms(3_000);
    let Ok(mut keeper) = Consumer::open("keeper", frontend, "weighin", "key-b", &record) else {
        finish(deployment, 2, "the keeper's session did not open");
    };
    keeper.request("FETCH fridge-1");
    if with_trouble() {
        north.change("i-north1", |database| database.deaf = true);
        record.line("database i-north1 receives nothing for a while");
    }
    let began = Instant::now();
    let (written, reply) = keeper.request("STORE fridge-1 first");
    if !succeeded(&reply) {
        finish(deployment, 2, "the first write failed");
    }
    deployment.order("PUT", "/config", &config(5, "south"), limit);
    let moved = request_until_run_by(&mut keeper, &south, "STORE fridge-2 second");
    deployment.order("PUT", "/config", &config(8, "north"), limit);
    let back = wait_until_route_is_back(&deployment, &north);
    let (read, reply) = keeper.request("FETCH fridge-1");
    let waited = began.elapsed();
    going.store(false, Ordering::SeqCst);
    let _ = others.join();
    let ran = north.ran();
    let at = ran.iter().find(|run| run.id == read).map(|run| run.database.clone());
    record.line(&format!("the read came {} ms after the write", waited.as_millis()));
    let (Some(reply), Some(at), true, true) = (reply, at, moved, back) else {
        finish(deployment, 2, "a step of the case did not run");
    };
    let has = north.get(&at).log.iter().any(|entry| entry.id == written);
    let rows = reply.rows.clone();
    if reply.outcome.is_ok() && rows != ["first"] && !has {
        let verdict = format!("STALE: the session's own commit {written} is not in the log of {at}, where its read {read} ran; it got {rows:?}");
        finish(deployment, 1, &verdict);
    }
    finish(deployment, 0, &format!("the read ran at {at} and got {rows:?}"));
}

fn succeeded(reply: &Option<Reply>) -> bool {
    reply.as_ref().is_some_and(|reply| reply.outcome.is_ok())
}

/// Waits until reads work on both routes, since databases register one after the other.
fn wait_for_work(deployment: &Deployment) -> bool {
    for attempt in 0..60 {
        let works = ["weighin", "deposits"].iter().all(|host| {
            let name = format!("w{attempt:02}");
            let opened = Consumer::open(&name, deployment.frontend(1), host, "key-b", &deployment.record);
            opened.is_ok_and(|mut consumer| succeeded(&consumer.request("FETCH fridge-1").1))
        });
        if works {
            return true;
        }
        sleep_ms(250);
    }
    false
}

/// Sends a write until it is run by a service; returns whether that happened.
fn request_until_run_by(keeper: &mut Consumer, service: &Service, text: &str) -> bool {
    for _ in 0..20 {
        let (id, reply) = keeper.request(text);
        if succeeded(&reply) && service.ran().iter().any(|run| run.id == id) {
            return true;
        }
        sleep_ms(50);
    }
    false
}

/// Waits until the route leads to a service again, as other sessions see it.
fn wait_until_route_is_back(deployment: &Deployment, service: &Service) -> bool {
    let opened = Consumer::open("probe", deployment.frontend(1), "weighin", "key-b", &deployment.record);
    let Ok(mut probe) = opened else { return false };
    for _ in 0..20 {
        let (id, reply) = probe.request("FETCH fridge-7");
        if succeeded(&reply) && service.ran().iter().any(|run| run.id == id) {
            return true;
        }
        sleep_ms(30);
    }
    false
}
