//! A ping of another writer, whose `born` is no number, then the loss of the primary and the final fault.

#[path = "../fleet-2.rs"]
mod fleet;

use fleet::*;
use std::{
    env, process,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// `recovery_s` of the site.
const RECOVERY: Duration = Duration::from_secs(12);

type Served = Arc<Mutex<Vec<(Instant, bool)>>>;

/// Sends a write or a read every 50 ms, over a new session where the last one ended.
fn load(entry: SocketAddr, name: String, record: Record, served: Served, stop: Arc<AtomicBool>) {
    let mut consumer = None;
    let mut count = 0u64;
    while !stop.load(Ordering::SeqCst) {
        count += 1;
        let sent = Instant::now();
        if consumer.is_none() {
            consumer = Consumer::open(entry, &name, &record);
        }
        let text = match count % 2 {
            0 => "FETCH a1".to_owned(),
            _ => format!("STORE a1 {name}{count}"),
        };
        let answer = consumer.as_mut().and_then(|consumer| consumer.query(&text));
        if answer.is_none() {
            consumer = None;
        }
        served.lock().unwrap().push((sent, matches!(answer, Some(Ok(_)))));
        thread::sleep(ms(50).saturating_sub(sent.elapsed()));
    }
}

fn share(served: &Served, from: Instant, to: Instant) -> (usize, usize) {
    let served = served.lock().unwrap();
    let within = served.iter().filter(|(sent, _)| *sent >= from && *sent < to);
    (within.clone().filter(|(_, good)| *good).count(), within.count())
}

fn main() {
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new(&env::args().nth(1).expect("the path of the record"));
    let code = run(trouble, &record);
    record.line(format!("exit code {code}"));
    process::exit(code);
}

fn run(trouble: bool, record: &Record) -> i32 {
    let mut fleet = Fleet::new(record.clone());
    let service = Service::new(&fleet);
    start_provider(fleet.places.provider, service.clone());
    fleet.start_all();
    for (index, id) in ["i-aaaa000001", "i-bbbb000002", "i-cccc000003"].into_iter().enumerate() {
        let address = SocketAddr::new(fleet.places.ip(21 + index as u8), fleet.places.databases);
        service.start(id, index, address);
    }
    if !order(&fleet, "PUT", "/config", &manifest(1), ms(15_000)) {
        return 2;
    }
    thread::sleep(ms(3_000));
    let (served, stop): (Served, _) = (Arc::default(), Arc::new(AtomicBool::new(false)));
    let mut loads = Vec::new();
    for (index, entry) in fleet.entry_addresses().into_iter().enumerate() {
        let (record, served, stop) = (record.clone(), served.clone(), stop.clone());
        loads.push(thread::spawn(move || load(entry, format!("{:x}", 0xa + index), record, served, stop)));
    }
    let began = Instant::now();
    thread::sleep(ms(8_000));
    if trouble {
        // All of a ping, with a `born` of another type. Nothing runs at the address.
        let address = SocketAddr::new(fleet.places.ip(29), fleet.places.databases);
        let body = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"z2\",\"version\":\"v1\",\"capacity\":5,\"state\":\"ready\",\
             \"warmup_left_ms\":0,\"db_role\":\"replica\",\"sequence\":1,\"born\":null}}"
        );
        let answer = http(fleet.control_addresses()[0], "PUT", "/instances/i-dddd000004", &body);
        record.line(format!("another writer: PUT /instances/i-dddd000004 {body}: {answer:?}"));
    }
    thread::sleep(ms(3_000));
    let Some(primary) = service.primary() else { return 2 };
    let before = share(&served, began, Instant::now());
    service.lose(&primary);
    thread::sleep(ms(4_000));
    let after_loss = share(&served, Instant::now() - ms(1_000), Instant::now());
    fleet.kill_all_and_restart();
    let back = Instant::now();
    thread::sleep(RECOVERY + ms(8_000));
    let recovered = share(&served, back + RECOVERY, Instant::now());
    stop.store(true, Ordering::SeqCst);
    for load in loads {
        let _ = load.join();
    }
    service.stop();
    record.line(format!("served before the loss of {primary}: {} of {}", before.0, before.1));
    record.line(format!("served 3 to 4 s after it: {} of {}", after_loss.0, after_loss.1));
    record.line(format!("served later than recovery_s after the machines are back: {} of {}", recovered.0, recovered.1));
    if before.0 * 4 < before.1 || recovered.1 == 0 {
        return 2;
    }
    i32::from(recovered.0 * 4 < recovered.1)
}
