//! Read consistency of two instances while the primary moves between databases.

mod support;

use daisyseam_model::{
    LogPosition,
    PrimaryState, //
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
struct Ledger {
    commits: Vec<(Instant, LogPosition)>,
    reads: usize,
}

type SharedLedger = Arc<Mutex<Ledger>>;

/// Reads and writes at random until `end`, and checks the position of each read.
async fn play(
    mut caller: FakeCaller,
    service: &'static str,
    ledger: SharedLedger,
    mut random: ChaCha8Rng,
    end: Instant,
) {
    let mut own = None;
    while Instant::now() < end {
        sleep(Duration::from_millis(random.random_range(1..60))).await;
        if random.random_bool(0.3) {
            let answer = caller.ask(write("write")).await;
            if answer.outcome.is_ok() {
                own = answer.position;
                let told = (Instant::now(), answer.position.unwrap());
                ledger.lock().commits.push(told);
            }
            continue;
        }
        let start = Instant::now();
        let answer = caller.ask(read("read")).await;
        if answer.outcome.is_err() {
            continue;
        }
        let mut ledger = ledger.lock();
        ledger.reads += 1;
        let until = match service {
            "primary" => start,
            _ => start - BOUND,
        };
        let commits = ledger.commits.iter().filter(|(told, _)| *told < until);
        let mut floor = commits
            .map(|(_, at)| *at)
            .max()
            .filter(|_| service != "session");
        if service == "session" {
            floor = floor.max(own);
        }
        assert!(
            answer.position >= floor,
            "{service}: {answer:?} misses {floor:?}"
        );
    }
}

/// Moves the primary as control does: only after all instances have stopped using the former one.
struct Mover {
    fleets: [Fleet; 2],
    primary: &'static str,
    term: u64,
    random: ChaCha8Rng,
}

impl Mover {
    /// Makes one replica acknowledge each commit of the primary.
    fn lead(&mut self) {
        let others = DATABASES.iter().filter(|name| **name != self.primary);
        let others: Vec<_> = others.collect();
        let copy = others[self.random.random_range(0..2)].parse().unwrap();
        let databases = &self.fleets[0].databases;
        databases.at(self.primary, |primary| primary.copies = [copy].into());
    }

    async fn run(mut self, end: Instant) {
        self.lead();
        while Instant::now() < end {
            for _ in 0..self.random.random_range(1..20) {
                self.beat(false);
                sleep(Duration::from_millis(100)).await;
            }
            self.promote().await;
        }
    }

    /// Extends the leases, except that of a cut off instance, and lets replicas catch up at random.
    fn beat(&mut self, cut: bool) {
        self.fleets[0].lease(LEASE);
        if !cut {
            self.fleets[1].lease(LEASE);
        }
        let databases = &self.fleets[0].databases;
        let reached = databases.at(self.primary, |primary| primary.position);
        for name in DATABASES {
            if self.random.random_bool(0.04) {
                databases.at(name, |replica| replica.position = reached);
            }
        }
    }

    async fn promote(&mut self) {
        let cut = self.random.random_bool(0.5);
        let reached = if cut { 1 } else { 2 };
        for fleet in &mut self.fleets[..reached] {
            fleet.change(|view| view.groups.get_mut("g").unwrap().primary = PrimaryState::Fenced);
        }
        if cut {
            sleep(LEASE).await;
        }
        let former = self.primary;
        let databases = &self.fleets[0].databases;
        databases.at(former, |former| former.copies.clear());
        let others = DATABASES.into_iter().filter(|name| *name != former);
        self.primary = others
            .max_by_key(|name| databases.at(name, |replica| replica.position))
            .unwrap();
        self.term += 1;
        let term = self.term;
        databases.at(self.primary, |primary| {
            primary.position = position(term, primary.position.position.0);
        });
        self.lead();
        for fleet in &mut self.fleets[..reached] {
            fleet.promote(self.primary);
        }
        sleep(Duration::from_millis(self.random.random_range(0..600))).await;
        if cut {
            self.fleets[1].promote(self.primary);
        }
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[tokio::test(start_paused = true)]
async fn reads_see_what_they_must(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let first = Fleet::start(60);
    let second = Fleet::over(first.databases.clone(), 60);
    let end = Instant::now() + Duration::from_secs(30);
    let ledger = SharedLedger::default();
    let mut players = Vec::new();
    for fleet in [&first, &second] {
        for service in ["primary", "session", "bounded"] {
            for _ in 0..3 {
                let caller = fleet.session(service).await;
                let random = ChaCha8Rng::seed_from_u64(random.random());
                let player = play(caller, service, Arc::clone(&ledger), random, end);
                players.push(tokio::spawn(player));
            }
        }
    }
    let mover = Mover {
        fleets: [first, second],
        primary: "p",
        term: 1,
        random,
    };
    mover.run(end).await;
    for player in players {
        player.await.unwrap();
    }
    let ledger = ledger.lock();
    assert!(ledger.commits.len() > 500, "{}", ledger.commits.len());
    assert!(ledger.reads > 1_500, "{}", ledger.reads);
}
