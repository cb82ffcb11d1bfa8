//! Failover and planned moves under lost and delayed calls, lost proposals, new control leaders,
//! disconnected and restarted databases: no acknowledged write is lost, and no term has two
//! primaries.

mod promotion_support;

use crate::promotion_support::{
    GroupEvent,
    GroupWorld,
    group_events, //
};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_acknowledged_write_is_lost(events in prop::collection::vec(group_events(), 20..400)) {
        let mut world = GroupWorld::new(3);
        for event in events {
            world.run(event);
        }
        world.heal();
    }
}

/// Returns the number of cases, which `PROPTEST_CASES` can override.
fn cases() -> u32 {
    let given = std::env::var("PROPTEST_CASES").ok();
    given.and_then(|given| given.parse().ok()).unwrap_or(256)
}

#[test]
fn a_new_group_keeps_the_primary_that_it_has() {
    let mut world = GroupWorld::new(3);
    world.settle();
    assert_eq!(world.active(), Some(0));
}

#[test]
fn a_lost_primary_is_replaced_by_the_most_advanced_replica() {
    let mut world = GroupWorld::new(3);
    world.settle();
    for _ in 0..5 {
        world.run(GroupEvent::Write);
        world.run(GroupEvent::Replicate(2));
    }
    world.run(GroupEvent::Disconnect(0));
    world.settle();
    assert_eq!(world.active(), Some(2));
}

#[test]
fn a_lost_promotion_response_does_not_give_the_term_to_another_database() {
    let mut world = GroupWorld::new(3);
    world.settle();
    world.run(GroupEvent::Disconnect(0));
    world.lose_promote_answers(true);
    world.pass(3_000);
    assert!(world.promotions() > 1, "several terms were tried");
    world.lose_promote_answers(false);
    world.settle();
    assert!(world.active().is_some());
}

#[test]
fn a_returning_former_primary_follows_the_new_one() {
    let mut world = GroupWorld::new(3);
    world.settle();
    world.run(GroupEvent::Disconnect(0));
    world.settle();
    world.run(GroupEvent::Reconnect(0));
    world.settle();
    world.pass(1_000);
    assert!(world.follows(0));
}

#[test]
fn two_lost_databases_leave_the_group_without_a_primary_until_one_returns() {
    let mut world = GroupWorld::new(3);
    world.settle();
    world.run(GroupEvent::Disconnect(0));
    world.run(GroupEvent::Disconnect(1));
    world.pass(10_000);
    assert_eq!(world.active(), None);
    world.run(GroupEvent::Reconnect(1));
    world.settle();
    assert!(world.active().is_some_and(|active| active != 0));
}

#[test]
fn a_planned_move_drains_the_group_first_and_loses_no_write() {
    let mut world = GroupWorld::new(3);
    world.settle();
    for _ in 0..5 {
        world.run(GroupEvent::Write);
    }
    world.run(GroupEvent::Replicate(1));
    world.run(GroupEvent::Leave(0));
    world.pass(5_000);
    assert!(world.active().is_some_and(|active| active != 0));
    assert!(world.drained(), "the group must be drained first");
}
