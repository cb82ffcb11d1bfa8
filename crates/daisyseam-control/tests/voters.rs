//! Tests which databases elections and entries count: no commit of which a client was told is lost, and
//! no database that cannot have such a commit keeps a group without a primary.

#[expect(dead_code, reason = "the other test files use the rest")]
mod support;

#[expect(dead_code, reason = "the other test files use the rest")]
mod core_support;

use crate::core_support::{
    GROUP,
    Simulation,
    document,
    told::{
        announce_nowhere,
        expect_replacement,
        group,
        heal,
        listed,
        promotions,
        require_replicas,
        set_silent,
        settled,
        start_fleet,
        voters,
        wait_for_the_primary_alone, //
    }, //
};
use daisyseam_wire::{
    SubmitNewestRequest,
    control_message::Body, //
};
use test_case::test_case;

/// Starts a fleet in which control no longer hears from `copy-1`, which goes on receiving commits.
fn fleet_with_silent_copy() -> Simulation {
    let mut sim = start_fleet(3, 1, false);
    group(&mut sim).copies[1].disconnected = true;
    sim
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

/// Guards against a group that stays without a known number of copies, as one that an earlier version
/// ran, or one whose document did not ask for replicas in between.
#[test]
fn an_unknown_number_of_copies_is_found_out() {
    let mut sim = start_fleet(3, 1, false);
    let group_name = GROUP.parse().expect("a sound name");
    let copies = |sim: &Simulation| {
        let leader = sim.leader().expect("a leader");
        let guarantee = sim.core(leader).fleet().guaranteed_copies(&group_name);
        guarantee.expect("a record").copies
    };
    assert_eq!(copies(&sim), 2);
    sim.order(Body::SubmitNewest(SubmitNewestRequest {
        number: 2,
        text: document(2),
        source: String::new(),
        operator: "amalia".to_owned(),
    }));
    assert_eq!(copies(&sim), 0, "nothing is known of commits from then on");
    require_replicas(&mut sim, 3, 1);
    sim.advance(3_000);
    assert_eq!(copies(&sim), 2);
    let now = sim.now;
    let former = sim.active().expect("a primary");
    let databases = group(&mut sim);
    let number = databases.copies.iter().position(|copy| copy.name == former);
    databases.crash(now, number.expect("a copy"), 900_000);
    expect_replacement(&mut sim, &former);
}
