//! Simulated members that lose their data folders, move, crash together and restart.

mod member_support;
#[expect(dead_code, reason = "other tests use the rest")]
mod support;

use crate::member_support::{
    MemberSimulation,
    Step,
    VOTERS, //
};
use daisyseam_coord::log::LogSettings;
use rand::Rng;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::SeedableRng, //
};
use test_case::test_case;

/// Returns the number of steps of a random run, which `DAISYSEAM_STEPS` may override.
fn steps() -> usize {
    let given = std::env::var("DAISYSEAM_STEPS").ok();
    given.and_then(|given| given.parse().ok()).unwrap_or(1_500)
}

/// Returns a simulation in which control has made a decision.
fn started(machines: usize, seed: u64) -> MemberSimulation {
    let mut sim = MemberSimulation::new(machines, LogSettings::default(), seed);
    sim.advance(2_000);
    decide(&mut sim);
    sim
}

/// Sends handshakes to all machines until control makes another decision.
fn decide(sim: &mut MemberSimulation) {
    let before = sim.decision_count();
    for _ in 0..50 {
        for number in 0..VOTERS {
            sim.run(Step::Handshake(number));
        }
        sim.advance(100);
        if sim.decision_count() > before {
            return;
        }
    }
    panic!("nothing is decided within five seconds");
}

#[test_case(3, 1, 1; "no spare")]
#[test_case(4, 1, 2; "one spare")]
#[test_case(5, 1, 3; "two spares")]
#[test_case(5, 1, 4; "two spares, others")]
#[test_case(6, 2, 5; "five voters")]
fn random_runs_lose_nothing_and_never_have_two_leaders(machines: usize, losses: usize, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut sim =
        MemberSimulation::tolerating(losses, machines, LogSettings::default(), random.random());
    sim.advance(2_000);
    for step in 0..steps() {
        sim.run(Step::random(&mut random, machines));
        if step % 500 == 499 {
            sim.heal();
        }
    }
    sim.heal();
}

#[test]
fn random_runs_with_the_times_of_a_wide_area() {
    let mut random = ChaCha8Rng::seed_from_u64(9);
    let mut sim = MemberSimulation::new(4, LogSettings::wide_area(), random.random());
    sim.advance(4_000);
    for _ in 0..steps() / 2 {
        sim.run(Step::random(&mut random, 4));
    }
    sim.heal();
}

/// One member is disconnected and misses changes, another loses its data folder, and the third is
/// down: the first two must not decide anything.
#[test]
fn a_lost_folder_and_a_member_that_lags_are_no_majority() {
    for lost in 0..VOTERS {
        let mut sim = started(3, lost as u64);
        let lagging = (lost + 1) % VOTERS;
        let dark = (lost + 2) % VOTERS;
        sim.run(Step::Disconnect(lagging));
        sim.advance(1_000);
        decide(&mut sim);
        let decided = sim.decision_count();
        sim.run(Step::Crash(dark));
        sim.run(Step::LoseDisk(lost));
        sim.run(Step::Reconnect);
        for _ in 0..100 {
            for number in 0..VOTERS {
                sim.run(Step::Handshake(number));
            }
            sim.advance(100);
            assert_eq!(sim.leader(), None, "two members that know too little lead");
        }
        assert_eq!(sim.decision_count(), decided);
        sim.run(Step::Restart(dark));
        decide(&mut sim);
        sim.heal();
    }
}

#[test]
fn a_member_that_is_replaced_at_another_address_counts_there() {
    let mut sim = started(3, 5);
    let leader = sim.leader().expect("a leader");
    let gone = (leader + 1) % VOTERS;
    let former = sim.name(gone);
    sim.run(Step::Replace(gone));
    sim.advance(6_000);
    let voters = sim.voters();
    assert!(!voters.contains(&former), "{voters:?}");
    assert!(voters.contains(&sim.name(gone)), "{voters:?}");
    // The new member and one of the others must be enough for a majority.
    sim.run(Step::Crash((gone + 1) % VOTERS));
    sim.advance(2_000);
    decide(&mut sim);
}

#[test]
fn a_lost_folder_is_replaced_at_once_and_a_silent_member_only_after_a_while() {
    let mut sim = started(4, 6);
    let leader = sim.leader().expect("a leader");
    let lost = (leader + 1) % VOTERS;
    let former = sim.name(lost);
    sim.run(Step::LoseDisk(lost));
    sim.advance(1_400);
    let voters = sim.voters();
    assert!(!voters.contains(&former), "{voters:?}");
    sim.advance(1_000);
    assert!(sim.has_all_voters());
    let silent = (leader + 2) % VOTERS;
    let name = sim.name(silent);
    sim.run(Step::Crash(silent));
    sim.advance(1_000);
    assert!(sim.voters().contains(&name));
    sim.advance(3_000);
    assert!(!sim.voters().contains(&name));
    assert!(sim.has_all_voters());
    // It restarts with its data folder, finds that it is no longer a member, and takes a new name.
    let term_leader = sim.leader();
    sim.run(Step::Restart(silent));
    sim.advance(3_000);
    assert_ne!(sim.name(silent), name);
    assert_eq!(sim.leader(), term_leader, "the leader is not disturbed");
}

#[test]
fn all_killed_at_once_lose_nothing() {
    let mut sim = started(3, 7);
    for _ in 0..20 {
        decide(&mut sim);
        sim.run(Step::Handshake(0));
        sim.run(Step::Handshake(1));
        sim.run(Step::Handshake(2));
        sim.run(Step::CrashAll);
        sim.advance(1_500);
    }
    sim.heal();
}

/// The one-way delay between members is 20 ms.
#[test]
fn a_lost_leader_of_a_wide_area_is_replaced_in_about_a_second() {
    let mut sim = MemberSimulation::new(3, LogSettings::wide_area(), 8);
    sim.fixed_delay_ms = Some(20);
    sim.advance(4_000);
    let mut times = Vec::new();
    for _ in 0..50 {
        let leader = sim.leader().expect("a leader");
        sim.run(Step::Crash(leader));
        let lost_at = sim.now;
        while sim.voters().is_empty() || sim.leader() == Some(leader) {
            sim.advance(1);
        }
        times.push(sim.now - lost_at);
        sim.run(Step::Restart(leader));
        sim.advance(1_200);
    }
    times.sort_unstable();
    println!("p50 {} ms, greatest {} ms", times[25], times[49]);
    assert!(times[25] < 1_300 && times[49] < 1_800, "{times:?}");
}

/// No member has promised anything yet, so no member needs to wait for a former leader.
#[test]
fn the_first_leader_stands_soon_after_the_first_start() {
    for seed in 0..20 {
        let mut sim = MemberSimulation::new(3, LogSettings::wide_area(), seed);
        sim.fixed_delay_ms = Some(20);
        while sim.leader().is_none() {
            sim.advance(1);
        }
        assert!(sim.now < 800, "it took {} ms", sim.now);
    }
}

/// A spare in another region takes over while a region is down; once the region is back, the
/// voters are distributed over all regions again.
#[test]
fn voters_are_spread_over_regions_again_after_the_loss_of_one() {
    let mut sim = started(4, 11);
    // The only machine of the third region.
    let dark = VOTERS - 1;
    sim.run(Step::Crash(dark));
    sim.advance(6_000);
    assert!(
        sim.has_all_voters() && !sim.is_spread_over_regions(),
        "{:?}",
        sim.voters()
    );
    sim.run(Step::Restart(dark));
    sim.advance(6_000);
    assert!(
        sim.has_all_voters() && sim.is_spread_over_regions(),
        "{:?}",
        sim.voters()
    );
    decide(&mut sim);
}

/// Tries pairs of voters with and without the leader, so that the order of names does not matter.
#[test]
fn as_many_folders_as_are_to_be_borne_can_be_lost_at_once() {
    for (one, other) in [(0, 1), (0, 4), (1, 2), (2, 3), (3, 4)] {
        let mut sim = MemberSimulation::tolerating(2, 6, LogSettings::wide_area(), 16);
        sim.fixed_delay_ms = Some(20);
        sim.advance(10_000);
        for number in 0..6 {
            sim.run(Step::Handshake(number));
        }
        sim.advance(1_000);
        let decided = sim.decision_count();
        assert!(decided > 0, "control decides");
        let voting = sim.voting_machines();
        let lost = [voting[one % voting.len()], voting[other % voting.len()]];
        sim.lose_power(&lost);
        sim.advance(10_000);
        assert!(
            sim.has_all_voters(),
            "after the loss of {lost:?}: {:?}",
            sim.voters()
        );
        for number in 0..6 {
            sim.run(Step::Handshake(number));
        }
        sim.advance(1_000);
        assert!(sim.decision_count() > decided, "control decides again");
    }
}
