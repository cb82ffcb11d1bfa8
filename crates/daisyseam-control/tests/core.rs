//! What control decides, over elections, races, lost answers, cuts, restarts and repairs.

#[expect(dead_code, reason = "the other test file uses the rest")]
mod support;

#[expect(dead_code, reason = "the other test file uses the rest")]
mod core_support;

use crate::core_support::World;
use daisyseam_wire::control_message::Body;
use proptest::prelude::*;

fn ready(voters: usize, spares: usize, entries: usize) -> World {
    let mut world = World::new(voters, spares, entries);
    let first = world.submit("change-1", 0, 0);
    world.pass_until("the fleet is up", |world| {
        world.answer(first).is_some() && world.primary(0).is_some() && world.all_held(0)
    });
    world
}

#[test]
fn a_race_under_one_number_has_one_winner_and_the_loser_learns_it() {
    let mut world = ready(3, 0, 1);
    let racers = ["red", "blue"].map(|id| world.submit(id, 1, 0));
    world.pass_until("both are answered", |world| {
        racers.iter().all(|racer| world.answer(*racer).is_some())
    });
    let answers = racers.map(|racer| world.answer(racer).cloned().expect("answered"));
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
    let mut world = ready(3, 0, 1);
    let operator = world.submit("change-2", 1, 3);
    world.pass(800);
    let leader = world.leader().expect("a leader");
    world.stop(leader);
    world.pass_until("it is answered", |world| world.answer(operator).is_some());
    let answer = world.answer(operator).expect("answered");
    assert_eq!((answer.accepted, answer.number), (true, 2));
    world.pass_until("it is in force", |world| {
        world.entries[0].view.document_number.0 == 2
    });
}

#[test]
fn a_lost_leader_costs_control_less_than_a_second() {
    let mut world = ready(3, 0, 1);
    let mut times = Vec::new();
    for _ in 0..50 {
        let leader = world.leader().expect("a leader");
        world.stop(leader);
        let lost_at = world.now;
        world.pass_until("another leads", |world| world.leader().is_some());
        times.push(world.now - lost_at);
        world.start(leader);
        world.pass(1_000);
    }
    times.sort_unstable();
    println!("p50 {} ms, greatest {} ms", times[25], times[49]);
    assert!(times[49] < 1_000, "{times:?}");
}

#[test]
fn a_member_that_is_cut_off_answers_as_stale_and_hands_nothing_out() {
    let mut world = ready(3, 0, 1);
    let leader = world.leader().expect("a leader");
    world.cut_members.insert(leader);
    world.pass(1_000);
    assert!(matches!(world.read(leader, true), Body::NotLeader(_)));
    match world.read(leader, false) {
        Body::Shown(shown) => assert!(shown.stale),
        other => panic!("{other:?}"),
    }
    let next = world.submit("change-2", 1, 0);
    world.pass_until("the others go on", |world| world.answer(next).is_some());
    let other = world.leader().expect("a leader");
    let term = world.core(other).log().term();
    world.pass(10_000);
    world.cut_members.clear();
    world.pass(2_000);
    assert_eq!(world.leader(), Some(other), "its return disturbs nobody");
    assert_eq!(world.core(other).log().term(), term);
    let documents = world.core(leader).fleet().documents();
    assert_eq!(documents.number().0, 2, "it has caught up");
}

#[test]
fn a_spare_replaces_a_lost_member_and_a_second_loss_is_survived() {
    let mut world = ready(3, 1, 1);
    let lost = (world.leader().expect("a leader") + 1) % 3;
    world.stop(lost);
    world.pass_until("the spare counts", |world| {
        let leader = world.leader();
        leader.is_some_and(|leader| {
            let members = world.core(leader).log().members();
            members.voters.len() == 3
                && members
                    .voters
                    .keys()
                    .any(|name| name.as_str() == "control-3")
        })
    });
    let second = world.leader().expect("a leader");
    world.stop(second);
    let next = world.submit("change-2", 1, 0);
    world.pass_until("two of three go on", |world| world.answer(next).is_some());
    assert!(world.answer(next).expect("answered").accepted);
}

#[test]
fn a_cut_primary_is_replaced_within_two_seconds() {
    let mut world = ready(3, 0, 3);
    let former = world.primary(0).expect("a primary");
    let database = world
        .databases
        .iter_mut()
        .find(|database| database.name == former);
    database.expect("it is there").cut = true;
    let cut_at = world.now;
    world.pass_until("another is primary", |world| {
        world.primary(1).is_some_and(|primary| primary != former)
    });
    assert!(
        world.now - cut_at < 2_000,
        "{} ms of virtual time",
        world.now - cut_at
    );
}

#[test]
fn a_primary_that_leaves_is_moved() {
    let mut world = ready(3, 0, 2);
    let former = world.primary(0).expect("a primary");
    for database in &mut world.databases {
        database.leaving = database.name == former;
    }
    let left_at = world.now;
    world.pass_until("another is primary", |world| {
        world.primary(1).is_some_and(|primary| primary != former)
    });
    let took = world.now - left_at;
    assert!(took < 2_000, "{took} ms of virtual time");
}

#[test]
fn a_move_whose_target_does_not_catch_up_gives_the_primary_back() {
    let mut world = ready(3, 0, 2);
    let former = world.primary(0).expect("a primary");
    world.stalled = true;
    for database in &mut world.databases {
        database.leaving = database.name == former;
        database.state.end.position.0 += u64::from(database.leaving);
    }
    world.pass_until("it drains", |world| world.primary(0).is_none());
    world.pass_until("it is given back", |world| {
        world.primary(0).as_ref() == Some(&former)
    });
    let term = world.group_term();
    world.stalled = false;
    world.pass_until("it moves in the end", |world| {
        world.primary(0).is_some_and(|primary| primary != former)
    });
    assert_eq!(
        world.group_term(),
        term + 1,
        "no term was spent on the attempt"
    );
}

#[test]
fn a_database_that_left_is_dropped_once_the_others_have_what_it_had() {
    let mut world = ready(3, 0, 2);
    let former = world.primary(0).expect("a primary");
    for database in &mut world.databases {
        database.leaving = database.name == former;
    }
    world.pass_until("another is primary", |world| {
        world.primary(1).is_some_and(|primary| primary != former)
    });
    world.stalled = true;
    for database in &mut world.databases {
        database.cut = database.name == former;
        let leads = database.state.role == daisyseam_model::announce::UpstreamRole::Primary;
        database.state.end.position.0 += u64::from(leads && !database.cut);
    }
    world.pass(15_000);
    assert_eq!(world.entries[1].view.upstreams.len(), 3, "a replica lags");
    world.stalled = false;
    world.pass_until("it is dropped", |world| {
        world.entries[1].view.upstreams.len() == 2
    });
}

#[test]
fn holders_of_a_lost_entry_move_only_after_its_lease() {
    let mut world = ready(3, 0, 3);
    world.pass_until("entry 1 holds one", |world| holds(world, "entry-1"));
    world.entries[1].cut = true;
    world.pass_until("others hold all", |world| {
        !holds(world, "entry-1") && world.all_held(0)
    });
    world.entries[1].cut = false;
    let before = world.entries[1].incarnation;
    world.pass_until("it is welcome again", |world| {
        world.entries[1].incarnation > before
    });
}

fn holds(world: &World, name: &str) -> bool {
    let upstreams = world.entries[0].view.upstreams.values();
    let mut holders = upstreams.filter_map(|upstream| upstream.holder.as_ref());
    holders.any(|holder| holder.as_str() == name)
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Pass(u64),
    CutMember(usize),
    JoinMembers,
    StopMember(usize),
    StartMember(usize),
    CutEntry(usize),
    JoinEntries,
    RestartEntry(usize),
    CutDatabase(usize),
    JoinDatabases,
    LeaveDatabase(usize, bool),
    Submit(u8),
}

fn faults() -> impl Strategy<Value = Fault> {
    let three = 0_usize..3;
    prop_oneof![
        10 => (1_u64..1_500).prop_map(Fault::Pass),
        2 => three.clone().prop_map(Fault::CutMember),
        3 => Just(Fault::JoinMembers),
        2 => three.clone().prop_map(Fault::StopMember),
        4 => three.clone().prop_map(Fault::StartMember),
        2 => three.clone().prop_map(Fault::CutEntry),
        3 => Just(Fault::JoinEntries),
        2 => three.clone().prop_map(Fault::RestartEntry),
        2 => three.clone().prop_map(Fault::CutDatabase),
        3 => Just(Fault::JoinDatabases),
        2 => (three, any::<bool>()).prop_map(|(one, leaves)| Fault::LeaveDatabase(one, leaves)),
        4 => (0_u8..3).prop_map(Fault::Submit),
    ]
}

/// Cases of one run; `PROPTEST_CASES` asks for more.
fn cases() -> u32 {
    let given = std::env::var("PROPTEST_CASES").ok();
    given.and_then(|given| given.parse().ok()).unwrap_or(24)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn one_holder_one_primary_and_no_reverted_document(script in prop::collection::vec(faults(), 5..60)) {
        let mut world = ready(3, 0, 3);
        let mut submitted = Vec::new();
        for fault in script {
            match fault {
                Fault::Pass(millis) => world.pass(millis),
                Fault::CutMember(number) => drop(world.cut_members.insert(number)),
                Fault::JoinMembers => world.cut_members.clear(),
                Fault::StopMember(number) => world.stop(number),
                Fault::StartMember(number) => world.start(number),
                Fault::CutEntry(number) => world.entries[number].cut = true,
                Fault::JoinEntries => world.entries.iter_mut().for_each(|entry| entry.cut = false),
                Fault::RestartEntry(number) => world.restart_entry(number),
                Fault::CutDatabase(number) => world.databases[number].cut = true,
                Fault::JoinDatabases => {
                    world.databases.iter_mut().for_each(|database| database.cut = false);
                }
                Fault::LeaveDatabase(number, leaves) => world.databases[number].leaving = leaves,
                Fault::Submit(loses) => {
                    let known = world.entries.iter().map(|entry| entry.view.document_number.0);
                    let replaces = known.max().unwrap_or(0);
                    let id = format!("racer-{}", submitted.len());
                    submitted.push(world.submit(&id, replaces, usize::from(loses)));
                }
            }
        }
        world.cut_members.clear();
        for number in 0..3 {
            world.start(number);
            world.entries[number].cut = false;
            world.databases[number].cut = false;
            world.databases[number].leaving = false;
        }
        world.pass_until("everybody is answered", |world| {
            submitted.iter().all(|operator| world.answer(*operator).is_some())
        });
        world.pass_until("the fleet is up again", |world| {
            (0..3).all(|entry| world.primary(entry).is_some() && world.all_held(entry))
        });
        world.pass_until("there is a leader", |world| world.leader().is_some());
        world.pass(500);
        let accepted = submitted.iter().filter_map(|operator| world.answer(*operator));
        let mut numbers: Vec<u64> = accepted.filter(|answer| answer.accepted).map(|answer| answer.number).collect();
        numbers.sort_unstable();
        let leader = world.leader().expect("a leader");
        let newest = world.core(leader).fleet().documents().number().0;
        prop_assert_eq!(numbers, (2..=newest).collect::<Vec<_>>(), "each number was won once");
    }
}
