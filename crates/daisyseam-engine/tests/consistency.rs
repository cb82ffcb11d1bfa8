//! Read consistency of two instances while the primary moves between databases.

mod support;

use daisyseam_model::{
    LogPosition,
    PrimaryState,
    document::ServiceEntry, //
};
use parking_lot::Mutex;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use std::{
    sync::Arc,
    time::Duration, //
};
use support::{
    Fleet,
    caller::{
        FakeCaller,
        read,
        write, //
    },
    database::FakeDatabases,
    position, //
};
use test_case::test_case;
use tokio::time::{
    Instant,
    sleep, //
};

const LEASE: Duration = Duration::from_millis(400);
const BOUND: Duration = Duration::from_secs(1);
const DATABASES: [&str; 3] = ["p", "a", "b"];

/// The acknowledged commits of a run and the number of successful reads.
#[derive(Default)]
struct History {
    commits: Vec<(Instant, LogPosition)>,
    reads: usize,
}

type SharedHistory = Arc<Mutex<History>>;

/// Reads and writes at random until `end`, and checks the position of each read.
async fn read_and_write(
    mut caller: FakeCaller,
    service: &'static str,
    history: SharedHistory,
    mut random: ChaCha8Rng,
    end: Instant,
) {
    let mut own_commit = None;
    while Instant::now() < end {
        sleep(Duration::from_millis(random.random_range(1..60))).await;
        if random.random_bool(0.3) {
            let answer = caller.ask(write("write")).await;
            if answer.outcome.is_ok() {
                own_commit = answer.position;
                let commit = (Instant::now(), answer.position.unwrap());
                history.lock().commits.push(commit);
            }
            continue;
        }
        let start = Instant::now();
        let answer = caller.ask(read("read")).await;
        if answer.outcome.is_err() {
            continue;
        }
        let mut history = history.lock();
        history.reads += 1;
        let until = match service {
            "primary" => start,
            _ => start - BOUND,
        };
        let commits = history
            .commits
            .iter()
            .filter(|(acknowledged_at, _)| *acknowledged_at < until);
        let mut floor = commits
            .map(|(_, at)| *at)
            .max()
            .filter(|_| service != "session");
        if service == "session" {
            floor = floor.max(own_commit);
        }
        assert!(
            answer.position >= floor,
            "{service}: {answer:?} misses {floor:?}"
        );
    }
}

/// Moves the primary as control does: only after all instances have stopped using the former one.
struct PrimaryMover {
    fleets: [Fleet; 2],
    primary: &'static str,
    term: u64,
    random: ChaCha8Rng,
}

impl PrimaryMover {
    /// Makes one replica acknowledge each commit of the primary.
    fn choose_sync_replica(&mut self) {
        let others = DATABASES.iter().filter(|name| **name != self.primary);
        let others: Vec<_> = others.collect();
        let replica = others[self.random.random_range(0..2)].parse().unwrap();
        let databases = &self.fleets[0].databases;
        databases.with(self.primary, |primary| {
            primary.sync_replicas = [replica].into()
        });
    }

    async fn run(mut self, end: Instant) {
        self.choose_sync_replica();
        while Instant::now() < end {
            for _ in 0..self.random.random_range(1..20) {
                self.renew_leases(false);
                sleep(Duration::from_millis(100)).await;
            }
            self.promote().await;
        }
    }

    /// Extends the leases, except that of a cut off instance, and lets replicas catch up at random.
    fn renew_leases(&mut self, cut: bool) {
        self.fleets[0].set_lease(LEASE);
        if !cut {
            self.fleets[1].set_lease(LEASE);
        }
        let databases = &self.fleets[0].databases;
        let reached = databases.with(self.primary, |primary| primary.position);
        for name in DATABASES {
            if self.random.random_bool(0.04) {
                databases.with(name, |replica| replica.position = reached);
            }
        }
    }

    async fn promote(&mut self) {
        let cut = self.random.random_bool(0.5);
        let reached = if cut { 1 } else { 2 };
        for fleet in &mut self.fleets[..reached] {
            fleet.change_view(|view| {
                view.groups.get_mut("g").unwrap().primary = PrimaryState::Fenced
            });
        }
        if cut {
            sleep(LEASE).await;
        }
        let former = self.primary;
        let databases = &self.fleets[0].databases;
        databases.with(former, |former| former.sync_replicas.clear());
        let others = DATABASES.into_iter().filter(|name| *name != former);
        self.primary = others
            .max_by_key(|name| databases.with(name, |replica| replica.position))
            .unwrap();
        self.term += 1;
        let term = self.term;
        databases.with(self.primary, |primary| {
            primary.position = position(term, primary.position.position.0);
        });
        self.choose_sync_replica();
        for fleet in &mut self.fleets[..reached] {
            fleet.promote(self.primary);
        }
        sleep(Duration::from_millis(self.random.random_range(0..600))).await;
        if cut {
            self.fleets[1].promote(self.primary);
        }
    }
}

/// Adds a group with one database and a service of its own, and returns the service.
fn add_other_group(fleet: &mut Fleet) -> ServiceEntry {
    let mut service = fleet.service("session");
    service.group = "h".parse().unwrap();
    fleet.change_view(|view| {
        let mut group = view.groups["g"].clone();
        group.primary = PrimaryState::Active("q".parse().unwrap());
        view.groups.insert("h".parse().unwrap(), group);
        let upstream = view.upstreams.get_mut("q").unwrap();
        upstream.group = "h".parse().unwrap();
    });
    fleet.change_document(|document| {
        let group = document.groups["g"].clone();
        document.groups.insert("h".parse().unwrap(), group);
    });
    service
}

/// Guards against a read that misses its session's own commit after the service was moved to
/// another group and back.
#[tokio::test(start_paused = true)]
async fn a_session_reads_its_own_writes_after_its_service_was_moved_away_and_back() {
    let databases = FakeDatabases::new(&["p", "a", "b", "q"]);
    let mut fleet = Fleet::with_databases(databases, 30);
    let moved = add_other_group(&mut fleet);
    let former = fleet.service("session");
    let mut caller = fleet.session("session").await;
    let committed = caller.ask(write("write 1")).await.position;
    fleet.change_document(|document| {
        document.services.insert("session".parse().unwrap(), moved);
    });
    caller.ok(write("write 2")).await;
    fleet.change_document(|document| {
        document.services.insert("session".parse().unwrap(), former);
    });
    let read = caller.ask(read("read 1")).await;
    assert!(committed.is_some());
    assert!(read.position >= committed, "{read:?} misses {committed:?}");
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[tokio::test(start_paused = true)]
async fn reads_see_what_they_must(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let first = Fleet::start(60);
    let second = Fleet::with_databases(first.databases.clone(), 60);
    let end = Instant::now() + Duration::from_secs(30);
    let history = SharedHistory::default();
    let mut tasks = Vec::new();
    for fleet in [&first, &second] {
        for service in ["primary", "session", "bounded"] {
            for _ in 0..3 {
                let caller = fleet.session(service).await;
                let random = ChaCha8Rng::seed_from_u64(random.random());
                let task = read_and_write(caller, service, Arc::clone(&history), random, end);
                tasks.push(tokio::spawn(task));
            }
        }
    }
    let primary_mover = PrimaryMover {
        fleets: [first, second],
        primary: "p",
        term: 1,
        random,
    };
    primary_mover.run(end).await;
    for task in tasks {
        task.await.unwrap();
    }
    let history = history.lock();
    assert!(history.commits.len() > 500, "{}", history.commits.len());
    assert!(history.reads > 1_500, "{}", history.reads);
}
