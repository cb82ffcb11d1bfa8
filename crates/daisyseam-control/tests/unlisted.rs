//! Tests that no commit is lost of which a client was told, although databases that control has not
//! heard of receive commits and make the primary acknowledge them.

#[expect(dead_code, reason = "the other test files use the rest")]
mod support;

#[expect(dead_code, reason = "the other test files use the rest")]
mod core_support;

use crate::core_support::{
    GROUP,
    Simulation,
    clients::ClientLedger,
    direct::{
        DatabaseCopy,
        DirectGroup, //
    },
    document, //
};
use daisyseam_wire::{
    AnnounceRequest,
    SubmitNewestRequest,
    UpstreamReport,
    control_message::Body, //
};
use rand::Rng;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::SeedableRng, //
};
use test_case::test_case;

/// Starts a fleet of databases that have all caught up, with entries that tell their clients of
/// commits.
fn start_fleet(copies: usize, replicas: usize, trusts_databases: bool) -> Simulation {
    let mut sim = Simulation::new(3, 0, 2);
    let mut databases = DirectGroup::new(copies, false);
    databases.clients = Some(ClientLedger::new(trusts_databases));
    databases.replicas = replicas;
    sim.direct = Some(databases);
    sim.order(submit_replicas(1, replicas));
    sim.writes = true;
    sim.advance_until("the fleet is up", |sim| {
        sim.primary(0).is_some() && sim.primary(1).is_some() && settled(sim) == copies
    });
    sim
}

/// Returns the submission of a document that asks for a number of replicas.
fn submit_replicas(number: u64, replicas: usize) -> Body {
    let policy = format!("acknowledging_replicas = {replicas}");
    Body::SubmitNewest(SubmitNewestRequest {
        number,
        text: document(number).replace("databases = 3", &policy),
        source: String::new(),
        operator: "amalia".to_owned(),
    })
}

fn group(sim: &mut Simulation) -> &mut DirectGroup {
    sim.direct.as_mut().expect("a group")
}

fn told(sim: &Simulation) -> usize {
    let group = sim.direct.as_ref().expect("a group");
    group.clients.as_ref().expect("clients").told.len()
}

fn missing(sim: &Simulation) -> usize {
    let group = sim.direct.as_ref().expect("a group");
    group.clients.as_ref().expect("clients").missing
}

fn promotions(sim: &Simulation) -> usize {
    sim.direct.as_ref().expect("a group").promotions
}

fn settled(sim: &Simulation) -> usize {
    let Some(leader) = sim.leader() else {
        return 0;
    };
    let fleet = sim.core(leader).fleet();
    let names = fleet.view().upstreams.keys();
    names.filter(|name| fleet.has_caught_up(name)).count()
}

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

/// Ends all faults of control.
fn heal_control(sim: &mut Simulation) {
    sim.disconnected_members.clear();
    for member in 0..3 {
        if !sim.runs(member) {
            sim.start(member);
        }
    }
}

/// Ends all faults, and expects that clients are told of commits again and that none is missing.
fn heal(sim: &mut Simulation) {
    heal_control(sim);
    for entry in &mut sim.entries {
        (entry.side, entry.disconnected) = (0, false);
    }
    let now = sim.now;
    let databases = group(sim);
    databases.heal();
    let remaining = databases.copies.iter().filter(|copy| !copy.gone).count();
    for _ in remaining..databases.replicas + 1 {
        databases.join(now, 0, false);
    }
    sim.advance(2_000);
    let before = told(sim);
    sim.advance_until("clients of a healed group are told of commits", |sim| {
        told(sim) > before && sim.active().is_some()
    });
    group(sim).check_all_told();
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
                let replicas = self.random.random_range(0..=2);
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

/// Starts a fleet in which control no longer hears from `copy-1`, which goes on receiving commits.
fn fleet_with_silent_copy() -> Simulation {
    let mut sim = start_fleet(3, 1, false);
    group(&mut sim).copies[1].disconnected = true;
    sim
}

fn listed(sim: &Simulation) -> usize {
    let leader = sim.leader().expect("a leader");
    sim.core(leader).fleet().view().upstreams.len()
}

/// Demotes the silent `copy-1`, and isolates `copy-2` some milliseconds before.
fn demote_beside_an_isolated_copy(millis: u64) -> Simulation {
    let mut sim = fleet_with_silent_copy();
    sim.advance_until("it is demoted", |sim| voters(sim) == 2);
    let demoted_at = sim.now;
    let mut sim = fleet_with_silent_copy();
    sim.advance(demoted_at - millis - sim.now);
    group(&mut sim).copies[2].isolated = true;
    sim.entries[0].disconnected = true;
    sim.advance(3_000);
    sim
}

/// Expects that nobody takes over from a crashed primary until it is back.
fn wait_for_the_primary_alone(sim: &mut Simulation) {
    let now = sim.now;
    let before = promotions(sim);
    group(sim).crash(now, 0, 20_000);
    sim.advance(15_000);
    assert_eq!(promotions(sim), before, "the log of the primary is missing");
    heal(sim);
}

/// Guards against the loss of commits that an entry confirmed by a copy just before it was demoted,
/// and against elections that wait for a demoted copy. Each promotion is checked for lost commits.
#[test_case(1)]
#[test_case(30)]
fn no_commit_depends_on_a_copy_that_was_demoted_while_an_entry_counted_it(millis: u64) {
    let mut sim = demote_beside_an_isolated_copy(millis);
    assert_eq!(voters(&sim), 2);
    let now = sim.now;
    group(&mut sim).crash(now, 0, 900_000);
    expect_replacement(&mut sim, "copy-0");
}

/// Guards against the loss of commits of a silent copy that the other ones may lack, so that it is not
/// demoted.
#[test_case(150)]
#[test_case(700)]
fn a_copy_whose_commits_the_others_may_lack_is_missed_by_elections(millis: u64) {
    let mut sim = demote_beside_an_isolated_copy(millis);
    assert_eq!(voters(&sim), 3);
    wait_for_the_primary_alone(&mut sim);
}

/// Guards against a database that left in order and is waited for by the next election (review/8).
#[test_case(false; "under the same leader of control")]
#[test_case(true; "under the next leader of control")]
fn a_database_that_was_replaced_in_order_blocks_no_election(stops_leader: bool) {
    let mut sim = start_fleet(3, 1, false);
    let now = sim.now;
    group(&mut sim).join(now, 0, false);
    sim.advance_until("it has caught up", |sim| settled(sim) == 4);
    let former = &mut group(&mut sim).copies[1];
    former.leaving = true;
    former.announce_now();
    sim.advance(2_000);
    let now = sim.now;
    assert!(group(&mut sim).depart(now, 1));
    sim.advance_until("it is dropped", |sim| listed(sim) == 3);
    if stops_leader {
        let leader = sim.leader().expect("a leader");
        sim.stop(leader);
    }
    sim.advance(10_000);
    let now = sim.now;
    group(&mut sim).crash(now, 0, 900_000);
    expect_replacement(&mut sim, "copy-0");
}

#[test_case(30)]
#[test_case(700)]
fn a_copy_demoted_while_an_entry_counts_it_is_not_forgotten_by_time_alone(millis: u64) {
    let mut sim = demote_beside_an_isolated_copy(millis);
    sim.writes = false;
    sim.advance(62_000);
    let now = sim.now;
    group(&mut sim).crash(now, 0, 20_000);
    sim.advance(15_000);
    sim.writes = true;
    heal(&mut sim);
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

/// Makes the document ask for a number of replicas, as entries and databases do from then on.
fn require_replicas(sim: &mut Simulation, number: u64, replicas: usize) {
    sim.order(submit_replicas(number, replicas));
    group(sim).replicas = replicas;
}

/// Loses the primary for good while `copy-2` lacks commits and `copy-1` is silent for 7 s.
fn lose_the_primary_beside_a_deaf_and_a_silent_copy(sim: &mut Simulation) {
    sim.advance(500);
    let now = sim.now;
    let databases = group(sim);
    databases.crash(now, 0, 900_000);
    let silent = &mut databases.copies[1];
    (
        silent.disconnected,
        silent.hidden_from_entries,
        silent.isolated,
    ) = (true, true, true);
    sim.advance(7_000);
    assert_eq!(
        promotions(sim),
        0,
        "the only copy with all commits is silent"
    );
    let silent = &mut group(sim).copies[1];
    (
        silent.disconnected,
        silent.hidden_from_entries,
        silent.isolated,
    ) = (false, false, false);
    sim.advance_until("it takes over", |sim| sim.active().is_some());
    assert_eq!(sim.active().as_deref(), Some("copy-1"));
    heal(sim);
}

/// Guards against the loss of commits that were acknowledged before the document asked for more
/// replicas: elections must not count on copies that these commits do not have.
#[test_case(false; "under the same leader of control")]
#[test_case(true; "under the next leader of control")]
fn raising_the_number_of_replicas_loses_no_earlier_commit(stops_leader: bool) {
    let mut sim = start_fleet(3, 1, false);
    sim.advance(3_000);
    group(&mut sim).copies[2].isolated = true;
    sim.advance(500);
    require_replicas(&mut sim, 2, 2);
    if stops_leader {
        let leader = sim.leader().expect("a leader");
        sim.stop(leader);
    }
    lose_the_primary_beside_a_deaf_and_a_silent_copy(&mut sim);
}

/// Guards against commits that count as having more copies than they got under a document that asked
/// for fewer replicas in between.
#[test]
fn lowering_and_raising_the_number_of_replicas_loses_no_commit() {
    let mut sim = start_fleet(3, 2, false);
    sim.advance(3_000);
    require_replicas(&mut sim, 2, 1);
    sim.advance(1_000);
    group(&mut sim).copies[2].isolated = true;
    sim.advance(500);
    require_replicas(&mut sim, 3, 2);
    lose_the_primary_beside_a_deaf_and_a_silent_copy(&mut sim);
}

/// Guards against a group that keeps the larger quorum although all commits have more copies.
#[test]
fn elections_need_fewer_databases_once_all_commits_have_more_copies() {
    let mut sim = start_fleet(3, 1, false);
    require_replicas(&mut sim, 2, 2);
    sim.advance(3_000);
    let now = sim.now;
    let databases = group(&mut sim);
    databases.crash(now, 0, 900_000);
    databases.crash(now, 1, 900_000);
    sim.advance_until("the last copy takes over", |sim| {
        sim.active().is_some_and(|primary| primary == "copy-2")
    });
    group(&mut sim).check_all_told();
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

/// Expects that a lost primary is replaced within the time that an undisturbed loss takes.
fn expect_replacement(sim: &mut Simulation, former: &str) {
    let begun = sim.now;
    sim.advance_until("another is primary", |sim| {
        sim.active().is_some_and(|primary| primary != former)
    });
    let took = sim.now - begun;
    assert!(took < 4_500, "{took} ms of virtual time");
    heal(sim);
}

/// Returns the announcement of a database that does not exist.
fn announce_nowhere(name: &str, born_ms: u64) -> Body {
    Body::Announce(AnnounceRequest {
        report: Some(UpstreamReport {
            upstream: name.to_owned(),
            group: GROUP.to_owned(),
            data_centre: "khomas-1".to_owned(),
            address: "127.0.0.1:9".to_owned(),
            admin_address: "127.0.0.1:9".to_owned(),
            born_ms,
            sequence: 1,
            ..UpstreamReport::default()
        }),
        gone: false,
    })
}

/// Sends a request to each member of control, which may all be cut off.
fn request_everywhere(sim: &mut Simulation, body: &Body) {
    for member in 0..3 {
        sim.request(member, body.clone(), 1);
    }
}

/// Guards against a group that stays without a primary because an announced database doesn't exist,
/// never runs or never catches up.
#[test_case(0; "without a start time")]
#[test_case(77; "with a start time")]
fn an_announced_database_that_never_runs_blocks_no_election(born_ms: u64) {
    let mut sim = start_fleet(3, 1, false);
    sim.advance(1_000);
    sim.order(announce_nowhere("nowhere", born_ms));
    sim.advance(3_000);
    assert_eq!(listed(&sim), 4);
    let now = sim.now;
    group(&mut sim).crash(now, 0, 900_000);
    expect_replacement(&mut sim, "copy-0");
}

/// Guards against a group that stays without a primary because a database joined and cannot catch up
/// after the loss of the primary (review/7).
#[test_case(0; "with the loss")]
#[test_case(300; "after the loss")]
#[test_case(1_500; "during the election")]
fn a_database_that_joins_beside_the_loss_of_a_primary_blocks_no_election(millis: u64) {
    let mut sim = start_fleet(3, 1, false);
    sim.advance(1_000);
    let now = sim.now;
    group(&mut sim).crash(now, 0, 900_000);
    sim.advance(millis);
    let now = sim.now;
    group(&mut sim).join(now, 0, false);
    expect_replacement(&mut sim, "copy-0");
}

/// Guards against a group that stays without a primary because the lost one has an empty successor at
/// its address (review/6).
#[test]
fn a_successor_at_the_address_of_a_lost_primary_blocks_no_election() {
    let mut sim = start_fleet(3, 1, false);
    sim.advance(1_000);
    let now = sim.now;
    let databases = group(&mut sim);
    databases.crash(now, 0, 900_000);
    let successor = databases.join(now, 0, false);
    databases.copies[successor].address = databases.copies[0].address;
    expect_replacement(&mut sim, "copy-0");
}

/// Sets whether a database is silent: it runs, and neither control nor other databases reach it.
fn set_silent(sim: &mut Simulation, number: usize, is_silent: bool) {
    let copy = &mut group(sim).copies[number];
    copy.disconnected = is_silent;
    copy.hidden_from_entries = is_silent;
    copy.isolated = is_silent;
}

fn voters(sim: &Simulation) -> usize {
    let leader = sim.leader().expect("a leader");
    let fleet = sim.core(leader).fleet();
    fleet.voter_count(&GROUP.parse().expect("a sound name"))
}

/// Guards against a group that waits for a database lost before, although the others have had each
/// acknowledged commit for seconds.
#[test_case(6_000)]
#[test_case(9_000)]
fn two_losses_in_a_row_leave_a_group_with_a_primary(millis: u64) {
    let mut sim = start_fleet(3, 1, false);
    let now = sim.now;
    group(&mut sim).crash(now, 0, 900_000);
    sim.advance(millis);
    let second = sim.active().expect("a primary");
    assert_ne!(second, "copy-0");
    let now = sim.now;
    let databases = group(&mut sim);
    let number = databases.copies.iter().position(|copy| copy.name == second);
    databases.crash(now, number.expect("a copy"), 900_000);
    expect_replacement(&mut sim, &second);
}

/// Guards against a replica that lost its log and never catches up.
#[test]
fn a_restarted_replica_that_never_catches_up_blocks_no_election() {
    let mut sim = start_fleet(3, 1, false);
    let now = sim.now;
    assert!(group(&mut sim).wipe(now, 2, 300, false));
    sim.advance(400);
    group(&mut sim).copies[2].isolated = true;
    sim.advance(3_000);
    let now = sim.now;
    group(&mut sim).crash(now, 0, 900_000);
    expect_replacement(&mut sim, "copy-0");
}

/// Guards against a replica that was silent for seconds and is not counted any more.
#[test]
fn a_silent_replica_is_demoted_and_counts_again_once_it_is_back() {
    let mut sim = start_fleet(3, 1, false);
    set_silent(&mut sim, 2, true);
    sim.advance(6_000);
    assert_eq!(voters(&sim), 2);
    set_silent(&mut sim, 2, false);
    sim.advance(3_000);
    assert_eq!((voters(&sim), settled(&sim)), (3, 3));
    heal(&mut sim);
}

/// Guards against the demotion of the only replica, whose log is the only one besides the primary's.
#[test]
fn the_last_replica_is_not_demoted() {
    let mut sim = start_fleet(2, 1, false);
    set_silent(&mut sim, 1, true);
    sim.advance(6_000);
    assert_eq!(voters(&sim), 2);
    let now = sim.now;
    group(&mut sim).crash(now, 0, 900_000);
    sim.advance(2_000);
    set_silent(&mut sim, 1, false);
    expect_replacement(&mut sim, "copy-0");
}
