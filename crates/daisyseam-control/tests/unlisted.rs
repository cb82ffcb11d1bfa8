//! Tests that no commit is lost of which a client was told, although databases that control has not
//! heard of receive commits and make the primary acknowledge them.

#[expect(dead_code, reason = "the other test files use the rest")]
mod support;

#[expect(dead_code, reason = "the other test files use the rest")]
mod core_support;

use crate::core_support::{
    Simulation,
    direct::DatabaseCopy,
    told::{
        announce_nowhere,
        group,
        heal,
        heal_control,
        listed,
        missing,
        request_everywhere,
        require_replicas,
        settled,
        start_fleet,
        submit_replicas,
        told,
        wait_for_the_primary_alone, //
    }, //
};
use rand::Rng;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::SeedableRng, //
};
use test_case::test_case;

/// Cuts databases and entries off from everything else.
fn cut(sim: &mut Simulation, entries: &[usize], is_cut: impl Fn(&DatabaseCopy) -> bool) {
    let now = sim.now;
    group(sim).cut(now, 1, is_cut);
    for entry in entries {
        (sim.entries[*entry].side, sim.entries[*entry].disconnected) = (1, true);
    }
}

/// Plays the day of the incident: a cut of the primary, a new database beside it, and an election.
fn play_join_behind_a_cut(trusts_databases: bool) -> Simulation {
    let mut sim = start_fleet(3, 1, trusts_databases);
    sim.advance(500);
    assert!(told(&sim) > 50, "clients are told of commits");
    cut(&mut sim, &[0], |copy| copy.name == "copy-0");
    sim.advance(300);
    let now = sim.now;
    group(&mut sim).join(now, 1, false);
    sim.advance_until("another is primary", |sim| {
        sim.primary(1).is_some_and(|primary| primary != "copy-0")
    });
    heal(&mut sim);
    sim
}

#[test]
#[should_panic(expected = "commits from")]
fn a_databases_acknowledgement_alone_promises_nothing() {
    drop(play_join_behind_a_cut(true));
}

#[test]
fn a_copy_that_joined_behind_a_cut_makes_no_client_hear_of_a_commit() {
    let sim = play_join_behind_a_cut(false);
    assert!(
        missing(&sim) > 0,
        "the databases acknowledged commits that are missing"
    );
}

/// Number of random runs, which `DAISYSEAM_UNLISTED_RUNS` overrides.
fn runs() -> u64 {
    let given = std::env::var("DAISYSEAM_UNLISTED_RUNS").ok();
    given.and_then(|given| given.parse().ok()).unwrap_or(12)
}

/// Seed of the first random run, which `DAISYSEAM_UNLISTED_SEED` overrides.
fn first_seed() -> u64 {
    let given = std::env::var("DAISYSEAM_UNLISTED_SEED").ok();
    given
        .and_then(|given| given.parse().ok())
        .unwrap_or(20_261_206)
}

/// What ends a database that leaves.
#[derive(Clone, Copy, Debug)]
enum Departure {
    WithoutSuccessor,
    WithSuccessor,
}

/// A random run, with the databases that are about to leave.
struct RandomRun {
    sim: Simulation,
    random: ChaCha8Rng,
    leaving: Vec<(u64, usize, Departure)>,
    /// Number of the document in force, if the run changes documents.
    document: Option<u64>,
}

impl RandomRun {
    fn new(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let copies = random.random_range(3..=4);
        let replicas = if random.random_bool(0.8) { 1 } else { 2 };
        Self::of(random.random(), copies, replicas)
    }

    fn of(seed: u64, copies: usize, replicas: usize) -> Self {
        Self {
            sim: start_fleet(copies, replicas, false),
            random: ChaCha8Rng::seed_from_u64(seed),
            leaving: Vec::new(),
            document: None,
        }
    }

    fn play(mut self, faults: usize) {
        for _ in 0..faults {
            self.change_document();
            self.inject_fault();
            let until = self.sim.now + self.random.random_range(1..700);
            while self.sim.now < until {
                self.sim.advance(1);
                self.end_leaving();
            }
        }
        while !self.leaving.is_empty() {
            self.sim.advance(1);
            self.end_leaving();
        }
        if let Some(number) = self.document {
            heal_control(&mut self.sim);
            require_replicas(&mut self.sim, number + 1, 1);
        }
        heal(&mut self.sim);
    }

    /// Changes the number of replicas at times, or has a database announced that never runs.
    fn change_document(&mut self) {
        let Some(number) = &mut self.document else {
            return;
        };
        match self.random.random_range(0..5) {
            0 | 1 => {
                *number += 1;
                // Without replicas, a lost disk may have the only copy of a commit.
                let replicas = self.random.random_range(1..=2);
                let submit = submit_replicas(*number, replicas);
                group(&mut self.sim).replicas = replicas;
                request_everywhere(&mut self.sim, &submit);
            }
            2 => {
                let announce = announce_nowhere(&format!("nowhere-{number}"), 77);
                request_everywhere(&mut self.sim, &announce);
            }
            _ => {}
        }
    }

    fn end_leaving(&mut self) {
        let now = self.sim.now;
        let databases = self.sim.direct.as_mut().expect("a group");
        self.leaving.retain(|(at, number, departure)| {
            let due = now >= *at;
            if due && databases.copies[*number].up {
                match departure {
                    Departure::WithoutSuccessor => drop(databases.depart(now, *number)),
                    Departure::WithSuccessor => drop(databases.succeed(now, *number)),
                }
            }
            !due
        });
    }

    fn leave(&mut self, number: usize, departure: Departure) {
        let listed = self.leaving.iter().any(|(_, other, _)| *other == number);
        let copy = &mut group(&mut self.sim).copies[number];
        if listed || !copy.up {
            return;
        }
        copy.leaving = true;
        copy.announce_now();
        let at = self.sim.now + self.random.random_range(1_500..4_000);
        self.leaving.push((at, number, departure));
    }

    /// Cuts the primary off, or a random database, with some of the others and of the entries.
    fn cut_some(&mut self) {
        let leads = self.random.random_bool(0.7);
        let chosen: u32 = self.random.random();
        let share: u32 = self.random.random();
        let with = chosen & share;
        let mut index = 0;
        let now = self.sim.now;
        group(&mut self.sim).cut(now, 1, |copy| {
            index += 1;
            leads && copy.leads || with >> index & 1 == 1
        });
        for number in 0..2 {
            let entry = &mut self.sim.entries[number];
            if self.random.random_bool(0.5) {
                (entry.side, entry.disconnected) = (1, true);
            }
        }
    }

    fn inject_fault(&mut self) {
        let now = self.sim.now;
        let count = group(&mut self.sim).copies.len();
        let number = self.random.random_range(0..count);
        let millis = self.random.random_range(100..4_000);
        let member = self.random.random_range(0..3);
        let databases = self.sim.direct.as_mut().expect("a group");
        match self.random.random_range(0..26) {
            0..=4 => self.cut_some(),
            5..=7 => {
                databases.cut(now, 0, |_| true);
                for entry in &mut self.sim.entries {
                    (entry.side, entry.disconnected) = (0, false);
                }
            }
            8..=11 if count < 9 => {
                let beside = databases.copies.iter().find(|copy| copy.up && copy.leads);
                let side = beside.map_or(0, |primary| primary.side);
                let unheard = self.random.random_bool(0.5);
                databases.join(now, side, unheard);
                if databases.replicas > 0 && self.random.random_bool(0.5) {
                    self.leave(number, Departure::WithoutSuccessor);
                }
            }
            12 | 13 if count < 9 => self.leave(number, Departure::WithSuccessor),
            14 if databases.replicas > 0 => self.leave(number, Departure::WithoutSuccessor),
            15 | 16 => databases.crash(now, number, millis),
            17 if databases.replicas > 0 => {
                databases.wipe(now, number, millis, self.random.random());
            }
            18 => databases.copies[number].disconnected = true,
            19 => databases.copies[number].isolated = true,
            20 => databases.copies[number].hidden_from_entries = true,
            21 => {
                for copy in &mut databases.copies {
                    (copy.disconnected, copy.hidden_from_entries, copy.isolated) =
                        (false, false, false);
                }
            }
            22 => drop(self.sim.disconnected_members.insert(member)),
            23 => self.sim.stop(member),
            _ => {
                self.sim.disconnected_members.clear();
                for member in 0..3 {
                    if !self.sim.runs(member) {
                        self.sim.start(member);
                    }
                }
            }
        }
    }
}

#[test_case(0)]
#[test_case(1)]
#[test_case(2)]
fn no_commit_of_which_a_client_heard_is_lost(lane: u64) {
    for number in (lane..runs()).step_by(3) {
        let seed = first_seed() + number;
        println!("seed {seed}");
        RandomRun::new(seed).play(14);
    }
}

/// Guards against elections that rely on more copies than the documents of the past asked for.
#[test_case(0)]
#[test_case(1)]
#[test_case(2)]
fn no_commit_is_lost_while_the_number_of_replicas_changes(lane: u64) {
    for number in (lane..runs()).step_by(3) {
        let seed = first_seed() + number;
        println!("seed {seed}");
        let mut run = RandomRun::of(seed, 3 + (seed % 2) as usize, 1);
        run.document = Some(1);
        run.play(14);
    }
}

#[test_case(0, 2)]
#[test_case(1, 2)]
#[test_case(0, 4)]
#[test_case(1, 4)]
#[test_case(2, 4)]
#[test_case(1, 5)]
#[test_case(2, 5)]
fn no_commit_is_lost_whatever_the_policy_and_the_number_of_databases(
    replicas: usize,
    copies: usize,
) {
    RandomRun::of(first_seed() + 10 * copies as u64, copies, replicas).play(10);
}

/// Lets the primary and `copy-1` leave with the last commits, and new databases take their logs.
fn move_both_databases_with_all(millis: u64) -> Simulation {
    let mut sim = start_fleet(3, 1, false);
    group(&mut sim).copies[2].isolated = true;
    let before = told(&sim);
    sim.advance(500);
    assert!(told(&sim) > before, "clients are told of commits");
    sim.stop(sim.leader().expect("a leader"));
    let now = sim.now;
    let databases = group(&mut sim);
    for number in [1, 0] {
        let successor = databases.succeed(now, number);
        databases.copies[successor].disconnected = true;
    }
    sim.advance(millis);
    let databases = group(&mut sim);
    databases.copies[3].disconnected = false;
    databases.copies[4].disconnected = false;
    heal(&mut sim);
    sim
}

#[test_case(0)]
#[test_case(8_000)]
fn databases_that_left_with_all_commits_are_missed_until_others_have_their_logs(millis: u64) {
    drop(move_both_databases_with_all(millis));
}

/// Guards against a group that waits for a successor that has left in turn: the log is on the last
/// database at the address.
#[test]
fn a_log_that_moved_twice_is_found_at_its_last_database() {
    let mut sim = start_fleet(3, 1, false);
    group(&mut sim).copies[2].isolated = true;
    sim.advance(500);
    let now = sim.now;
    let databases = group(&mut sim);
    databases.succeed(now, 1);
    let successor = databases.succeed(now, 0);
    let name = databases.copies[successor].name.clone();
    databases.copies[successor].isolated = true;
    sim.advance_until("it is listed", |sim| {
        let leader = sim.leader().expect("a leader");
        let view = sim.core(leader).fleet().view();
        view.upstreams.keys().any(|listed| listed.as_str() == name)
    });
    let now = sim.now;
    group(&mut sim).succeed(now, successor);
    heal(&mut sim);
}

#[test]
fn a_process_that_control_has_not_heard_of_makes_no_client_hear_of_a_commit() {
    let mut sim = start_fleet(3, 1, false);
    let now = sim.now;
    let databases = group(&mut sim);
    (
        databases.copies[1].disconnected,
        databases.copies[2].isolated,
    ) = (true, true);
    assert!(databases.wipe(now, 1, 300, false));
    sim.advance(400);
    let (before, acknowledged) = (told(&sim), group(&mut sim).acknowledged.len());
    sim.advance(2_000);
    assert!(
        group(&mut sim).acknowledged.len() > acknowledged,
        "it counts for the primary"
    );
    assert_eq!(told(&sim), before, "entries do not count it");
    wait_for_the_primary_alone(&mut sim);
}

/// Guards against clients that hear of commits that only the primary and a database off the list have.
#[test]
fn a_copy_that_left_the_list_while_it_ran_makes_no_client_hear_of_a_commit() {
    let mut sim = start_fleet(3, 1, false);
    let silent = &mut group(&mut sim).copies[1];
    (silent.disconnected, silent.isolated) = (true, true);
    sim.advance_until("it is dropped", |sim| listed(sim) == 2);
    // Control still does not hear from it, but commits reach only it and the primary.
    group(&mut sim).copies[1].isolated = false;
    group(&mut sim).copies[2].isolated = true;
    sim.advance(100);
    let (before, acknowledged) = (told(&sim), group(&mut sim).acknowledged.len());
    sim.advance(5_000);
    assert!(
        group(&mut sim).acknowledged.len() > acknowledged,
        "it counts for the primary"
    );
    assert_eq!(told(&sim), before, "entries do not count it");
    let now = sim.now;
    group(&mut sim).crash(now, 0, 9_000);
    sim.advance(8_000);
    heal(&mut sim);
    sim.advance_until("all are settled", |sim| settled(sim) == 3);
    group(&mut sim).check_all_told();
}
