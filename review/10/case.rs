//! A manifest raises `sync_replicas` while one replica receives nothing, then the two databases that have
//! the commits are away.

#[path = "../fleet-2.rs"]
mod fleet;

use fleet::*;
use std::{
    env,
    net::SocketAddr,
    process,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Instant,
};

const DATABASES: [&str; 3] = ["i-aaaa000001", "i-bbbb000002", "i-cccc000003"];

/// Writes an item of its own every 30 ms, and notes those that were acknowledged.
fn load(entry: SocketAddr, name: String, record: Record, acked: Arc<Mutex<Vec<String>>>, stop: Arc<AtomicBool>) {
    let mut consumer = None;
    let mut count = 0u64;
    while !stop.load(Ordering::SeqCst) {
        count += 1;
        let sent = Instant::now();
        if consumer.is_none() {
            consumer = Consumer::open(entry, &name, &record);
        }
        let item = format!("{name}{count}");
        let answer = consumer.as_mut().and_then(|consumer| consumer.query(&format!("STORE {item} x")));
        match answer {
            Some(Ok(_)) => acked.lock().unwrap().push(item),
            Some(Err(_)) => {}
            None => consumer = None,
        }
        thread::sleep(ms(30).saturating_sub(sent.elapsed()));
    }
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
    for (index, id) in DATABASES.into_iter().enumerate() {
        let address = SocketAddr::new(fleet.places.ip(21 + index as u8), fleet.places.databases);
        service.start(id, index, address);
    }
    if !order(&fleet, "PUT", "/config", &manifest_with(1, 1), ms(15_000)) {
        return 2;
    }
    thread::sleep(ms(3_000));
    let (acked, stop): (Arc<Mutex<Vec<String>>>, _) = (Arc::default(), Arc::new(AtomicBool::new(false)));
    let mut loads = Vec::new();
    for (index, entry) in fleet.entry_addresses().into_iter().enumerate() {
        let (record, acked, stop) = (record.clone(), acked.clone(), stop.clone());
        loads.push(thread::spawn(move || load(entry, format!("{:x}", 0xa + index), record, acked, stop)));
    }
    thread::sleep(ms(6_000));
    let Some(primary) = service.primary() else { return 2 };
    let replicas: Vec<&str> = DATABASES.into_iter().filter(|id| *id != primary).collect();
    // The one that would be preferred among equals stays behind, so that the choice is by the log.
    let (near, deaf) = (replicas[0], replicas[1]);
    let began = Instant::now();
    service.with(deaf, |state| state.deaf = true);
    record.line(format!("database {deaf} receives nothing"));
    thread::sleep(ms(500));
    let before = acked.lock().unwrap().len();
    thread::sleep(ms(500));
    let version = if trouble { manifest_with(2, 2) } else { manifest_with(2, 1) };
    if !order(&fleet, "PUT", "/config", &version, ms(3_000)) {
        return 2;
    }
    if trouble {
        service.sync.store(2, Ordering::SeqCst);
    }
    thread::sleep(ms(500));
    service.lose(&primary);
    service.with(near, |state| state.dark = true);
    record.line(format!("database {near} is dark"));
    let dark_at = Instant::now();
    // Nothing is acknowledged from here on until another database leads.
    let acked = acked.lock().unwrap().clone();
    let mut leads = None;
    while leads.is_none() && dark_at.elapsed() < ms(25_000) {
        thread::sleep(ms(50));
        if began.elapsed() >= ms(6_500) && service.get(deaf).deaf {
            service.with(deaf, |state| state.deaf = false);
            record.line(format!("database {deaf} receives again"));
        }
        if dark_at.elapsed() >= ms(7_000) && service.get(near).dark {
            service.with(near, |state| state.dark = false);
            record.line(format!("database {near} is back with its log"));
        }
        leads = service.led.lock().unwrap().first().cloned();
    }
    stop.store(true, Ordering::SeqCst);
    for load in loads {
        let _ = load.join();
    }
    service.stop();
    record.line(format!("{} commits acknowledged before the loss, {} of them after {deaf} received nothing", acked.len(), acked.len() - before));
    let Some((leader, log)) = leads else {
        record.line("no database was promoted");
        return 2;
    };
    let lost: Vec<&String> = acked.iter().filter(|item| !log.iter().any(|write| write.item == **item)).collect();
    record.line(format!("{leader} was promoted; {} acknowledged commits are not in its log: {lost:?}", lost.len()));
    i32::from(!lost.is_empty())
}
