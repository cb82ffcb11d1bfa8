//! Tests the decisions of control across elections, concurrent submissions, lost replies,
//! disconnections, restarts and repairs.

#[expect(dead_code, reason = "the other test file uses the rest")]
mod support;

#[expect(dead_code, reason = "the other test file uses the rest")]
mod core_support;

use crate::core_support::Simulation;
use daisyseam_wire::control_message::Body;
use proptest::prelude::*;

fn start_fleet(voters: usize, spares: usize, entries: usize) -> Simulation {
    let mut sim = Simulation::new(voters, spares, entries);
    let first = sim.submit("change-1", 0, 0);
    sim.advance_until("the fleet is up", |sim| {
        sim.answer(first).is_some() && sim.primary(0).is_some() && sim.all_held(0)
    });
    sim
}

#[test]
fn a_race_under_one_number_has_one_winner_and_the_loser_learns_it() {
    let mut sim = start_fleet(3, 0, 1);
    let racers = ["red", "blue"].map(|id| sim.submit(id, 1, 0));
    sim.advance_until("both are answered", |sim| {
        racers.iter().all(|racer| sim.answer(*racer).is_some())
    });
    let answers = racers.map(|racer| sim.answer(racer).cloned().expect("answered"));
    let winners: Vec<_> = answers.iter().filter(|answer| answer.accepted).collect();
    assert_eq!(winners.len(), 1);
    assert_eq!(winners[0].number, 2);
    let loser = answers
        .iter()
        .find(|answer| !answer.accepted)
        .expect("one lost");
    assert!(["red", "blue"].contains(&loser.winner.as_str()));
    assert_eq!(loser.number, 2);
}

#[test]
fn a_resend_after_lost_answers_and_a_lost_leader_gets_the_first_answer() {
    let mut sim = start_fleet(3, 0, 1);
    let operator = sim.submit("change-2", 1, 3);
    sim.advance(800);
    let leader = sim.leader().expect("a leader");
    sim.stop(leader);
    sim.advance_until("it is answered", |sim| sim.answer(operator).is_some());
    let answer = sim.answer(operator).expect("answered");
    assert_eq!((answer.accepted, answer.number), (true, 2));
    sim.advance_until("it is in force", |sim| {
        sim.entries[0].view.document_number.0 == 2
    });
}

#[test]
fn a_lost_leader_costs_control_less_than_a_second() {
    let mut sim = start_fleet(3, 0, 1);
    let mut times = Vec::new();
    for _ in 0..50 {
        let leader = sim.leader().expect("a leader");
        sim.stop(leader);
        let lost_at = sim.now;
        sim.advance_until("another leads", |sim| sim.leader().is_some());
        times.push(sim.now - lost_at);
        sim.start(leader);
        sim.advance(1_000);
    }
    times.sort_unstable();
    println!("p50 {} ms, greatest {} ms", times[25], times[49]);
    assert!(times[49] < 1_000, "{times:?}");
}

/// Guards against two contents of a window, decreasing tokens and a holder that comes back early
/// when leaders are lost, restarted, or cut off until their lease has ended, and when answers are
/// lost.
#[test]
fn usage_windows_are_reported_once_across_lost_leaders() {
    let mut sim = Simulation::new(3, 0, 3);
    sim.enable_usage();
    sim.submit("change-1", 0, 0);
    for round in 0..60_u64 {
        sim.advance(1_000 + 977 * (round % 6));
        let Some(leader) = sim.leader() else {
            continue;
        };
        if round % 3 == 0 {
            sim.disconnected_members.insert(leader);
            sim.advance(100 + 500 * (round % 5));
            sim.disconnected_members.clear();
        } else {
            sim.stop(leader);
            sim.advance(100 + 700 * (round % 4));
            sim.start(leader);
        }
    }
    sim.advance(6_000);
    let windows = sim.usage.as_ref().expect("it is enabled").check();
    // Windows last 300 ms. A run without reports would show nothing.
    let passed = usize::try_from(sim.now / 300).expect("a small number");
    println!("{windows} of {passed} windows were reported");
    assert!(windows >= passed / 4, "{windows} of {passed}");
}

/// Guards against a leader that is cut off and repeats its reports after its lease has ended.
#[test]
fn a_leader_that_is_cut_off_sends_no_usage_reports() {
    let mut sim = Simulation::new(3, 0, 3);
    sim.enable_usage();
    sim.submit("change-1", 0, 0);
    for _ in 0..10 {
        sim.usage.as_mut().expect("it is enabled").is_down = true;
        sim.advance(4_000);
        let leader = sim.leader().expect("a leader");
        sim.disconnected_members.insert(leader);
        // The simulation checks that the sender of each report holds the lease.
        sim.advance(4_000);
        sim.disconnected_members.clear();
        sim.usage.as_mut().expect("it is enabled").is_down = false;
        sim.advance(10_000);
    }
    let windows = sim.usage.as_ref().expect("it is enabled").check();
    assert!(windows > 100, "{windows}");
}

#[test]
fn a_member_that_is_cut_off_answers_as_stale_and_hands_nothing_out() {
    let mut sim = start_fleet(3, 0, 1);
    let leader = sim.leader().expect("a leader");
    sim.disconnected_members.insert(leader);
    sim.advance(1_000);
    assert!(matches!(sim.read(leader, true), Body::NotLeader(_)));
    match sim.read(leader, false) {
        Body::Shown(shown) => assert!(shown.stale),
        other => panic!("{other:?}"),
    }
    let next = sim.submit("change-2", 1, 0);
    sim.advance_until("the others go on", |sim| sim.answer(next).is_some());
    let other = sim.leader().expect("a leader");
    let term = sim.core(other).log().term();
    sim.advance(10_000);
    sim.disconnected_members.clear();
    sim.advance(2_000);
    assert_eq!(sim.leader(), Some(other), "its return causes no election");
    assert_eq!(sim.core(other).log().term(), term);
    let documents = sim.core(leader).fleet().documents();
    assert_eq!(documents.number().0, 2, "it has caught up");
}

#[test]
fn a_spare_replaces_a_lost_member_and_a_second_loss_is_survived() {
    let mut sim = start_fleet(3, 1, 1);
    let lost = (sim.leader().expect("a leader") + 1) % 3;
    sim.stop(lost);
    sim.advance_until("the spare counts", |sim| {
        let leader = sim.leader();
        leader.is_some_and(|leader| {
            let members = sim.core(leader).log().members();
            members.voters.len() == 3
                && members
                    .voters
                    .keys()
                    .any(|name| name.as_str() == "control-3")
        })
    });
    let second = sim.leader().expect("a leader");
    sim.stop(second);
    let next = sim.submit("change-2", 1, 0);
    sim.advance_until("two of three go on", |sim| sim.answer(next).is_some());
    assert!(sim.answer(next).expect("answered").accepted);
}

#[test]
fn a_cut_primary_is_replaced_within_two_seconds() {
    let mut sim = start_fleet(3, 0, 3);
    let former = sim.primary(0).expect("a primary");
    let database = sim
        .databases
        .iter_mut()
        .find(|database| database.name == former);
    database.expect("it is there").disconnected = true;
    let disconnected_at = sim.now;
    sim.advance_until("another is primary", |sim| {
        sim.primary(1).is_some_and(|primary| primary != former)
    });
    assert!(
        sim.now - disconnected_at < 2_000,
        "{} ms of virtual time",
        sim.now - disconnected_at
    );
}

#[test]
fn a_primary_that_leaves_is_moved() {
    let mut sim = start_fleet(3, 0, 2);
    let former = sim.primary(0).expect("a primary");
    for database in &mut sim.databases {
        database.leaving = database.name == former;
    }
    let left_at = sim.now;
    sim.advance_until("another is primary", |sim| {
        sim.primary(1).is_some_and(|primary| primary != former)
    });
    let took = sim.now - left_at;
    assert!(took < 2_000, "{took} ms of virtual time");
}

#[test]
fn a_move_whose_target_does_not_catch_up_gives_the_primary_back() {
    let mut sim = start_fleet(3, 0, 2);
    let former = sim.primary(0).expect("a primary");
    sim.replication_stalled = true;
    for database in &mut sim.databases {
        database.leaving = database.name == former;
        database.state.end.position.0 += u64::from(database.leaving);
    }
    sim.advance_until("it drains", |sim| sim.primary(0).is_none());
    sim.advance_until("the move is cancelled", |sim| {
        sim.primary(0).as_ref() == Some(&former)
    });
    let term = sim.group_term();
    sim.replication_stalled = false;
    sim.advance_until("the primary moves", |sim| {
        sim.primary(0).is_some_and(|primary| primary != former)
    });
    assert_eq!(
        sim.group_term(),
        term + 1,
        "no term was spent on the attempt"
    );
}

#[test]
fn a_database_that_left_is_dropped_once_the_others_have_what_it_had() {
    let mut sim = start_fleet(3, 0, 2);
    let former = sim.primary(0).expect("a primary");
    for database in &mut sim.databases {
        database.leaving = database.name == former;
    }
    sim.advance_until("another is primary", |sim| {
        sim.primary(1).is_some_and(|primary| primary != former)
    });
    sim.replication_stalled = true;
    for database in &mut sim.databases {
        database.disconnected = database.name == former;
        let leads = database.state.role == daisyseam_model::announce::UpstreamRole::Primary;
        database.state.end.position.0 += u64::from(leads && !database.disconnected);
    }
    sim.advance(15_000);
    assert_eq!(sim.entries[1].view.upstreams.len(), 3, "a replica lags");
    sim.replication_stalled = false;
    sim.advance_until("it is dropped", |sim| {
        sim.entries[1].view.upstreams.len() == 2
    });
}

#[test]
fn holders_of_a_lost_entry_move_only_after_its_lease() {
    let mut sim = start_fleet(3, 0, 3);
    sim.advance_until("entry 1 holds one", |sim| holds(sim, "entry-1"));
    sim.entries[1].disconnected = true;
    sim.advance_until("others hold all", |sim| {
        !holds(sim, "entry-1") && sim.all_held(0)
    });
    sim.entries[1].disconnected = false;
    let before = sim.entries[1].incarnation;
    sim.advance_until("it has joined again", |sim| {
        sim.entries[1].incarnation > before
    });
}

fn holds(sim: &Simulation, name: &str) -> bool {
    let upstreams = sim.entries[0].view.upstreams.values();
    let mut holders = upstreams.filter_map(|upstream| upstream.holder.as_ref());
    holders.any(|holder| holder.as_str() == name)
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Advance(u64),
    DisconnectMember(usize),
    ReconnectMembers,
    StopMember(usize),
    StartMember(usize),
    DisconnectEntry(usize),
    ReconnectEntries,
    RestartEntry(usize),
    DisconnectDatabase(usize),
    ReconnectDatabases,
    LeaveDatabase(usize, bool),
    Submit(u8),
}

fn faults() -> impl Strategy<Value = Fault> {
    let three = 0_usize..3;
    prop_oneof![
        10 => (1_u64..1_500).prop_map(Fault::Advance),
        2 => three.clone().prop_map(Fault::DisconnectMember),
        3 => Just(Fault::ReconnectMembers),
        2 => three.clone().prop_map(Fault::StopMember),
        4 => three.clone().prop_map(Fault::StartMember),
        2 => three.clone().prop_map(Fault::DisconnectEntry),
        3 => Just(Fault::ReconnectEntries),
        2 => three.clone().prop_map(Fault::RestartEntry),
        2 => three.clone().prop_map(Fault::DisconnectDatabase),
        3 => Just(Fault::ReconnectDatabases),
        2 => (three, any::<bool>()).prop_map(|(one, leaves)| Fault::LeaveDatabase(one, leaves)),
        4 => (0_u8..3).prop_map(Fault::Submit),
    ]
}

/// Number of cases of one run, which `PROPTEST_CASES` overrides.
fn cases() -> u32 {
    let given = std::env::var("PROPTEST_CASES").ok();
    given.and_then(|given| given.parse().ok()).unwrap_or(24)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn one_holder_one_primary_and_no_reverted_document(script in prop::collection::vec(faults(), 5..60)) {
        let mut sim = start_fleet(3, 0, 3);
        let mut submitted = Vec::new();
        for fault in script {
            match fault {
                Fault::Advance(millis) => sim.advance(millis),
                Fault::DisconnectMember(number) => drop(sim.disconnected_members.insert(number)),
                Fault::ReconnectMembers => sim.disconnected_members.clear(),
                Fault::StopMember(number) => sim.stop(number),
                Fault::StartMember(number) => sim.start(number),
                Fault::DisconnectEntry(number) => sim.entries[number].disconnected = true,
                Fault::ReconnectEntries => {
                    sim.entries.iter_mut().for_each(|entry| entry.disconnected = false);
                }
                Fault::RestartEntry(number) => sim.restart_entry(number),
                Fault::DisconnectDatabase(number) => sim.databases[number].disconnected = true,
                Fault::ReconnectDatabases => {
                    sim.databases.iter_mut().for_each(|database| database.disconnected = false);
                }
                Fault::LeaveDatabase(number, leaves) => sim.databases[number].leaving = leaves,
                Fault::Submit(lost_replies) => {
                    let known = sim.entries.iter().map(|entry| entry.view.document_number.0);
                    let replaces = known.max().unwrap_or(0);
                    let id = format!("racer-{}", submitted.len());
                    submitted.push(sim.submit(&id, replaces, usize::from(lost_replies)));
                }
            }
        }
        sim.disconnected_members.clear();
        for number in 0..3 {
            sim.start(number);
            sim.entries[number].disconnected = false;
            sim.databases[number].disconnected = false;
            sim.databases[number].leaving = false;
        }
        sim.advance_until("all submissions are answered", |sim| {
            submitted.iter().all(|operator| sim.answer(*operator).is_some())
        });
        sim.advance_until("the fleet is up again", |sim| {
            (0..3).all(|entry| sim.primary(entry).is_some() && sim.all_held(entry))
        });
        sim.advance_until("there is a leader", |sim| sim.leader().is_some());
        sim.advance(500);
        let accepted = submitted.iter().filter_map(|operator| sim.answer(*operator));
        let mut numbers: Vec<u64> = accepted.filter(|answer| answer.accepted).map(|answer| answer.number).collect();
        numbers.sort_unstable();
        let leader = sim.leader().expect("a leader");
        let newest = sim.core(leader).fleet().documents().number().0;
        prop_assert_eq!(numbers, (2..=newest).collect::<Vec<_>>(), "each number was won once");
    }
}
