//! Changes of primaries under lost and late calls, lost proposals, new leaders of control, cut and
//! restarted databases, planned moves: no acknowledged write is lost and no term is given twice.

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

/// Cases of one run; `PROPTEST_CASES` asks for more.
fn cases() -> u32 {
    let given = std::env::var("PROPTEST_CASES").ok();
    given.and_then(|given| given.parse().ok()).unwrap_or(256)
}

#[test]
fn the_database_that_says_it_is_primary_stays_it_at_first() {
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
    world.run(GroupEvent::Cut(0));
    world.settle();
    assert_eq!(world.active(), Some(2));
}

#[test]
fn a_lost_answer_to_a_promotion_gives_the_term_to_nobody_else() {
    let mut world = GroupWorld::new(3);
    world.settle();
    world.run(GroupEvent::Cut(0));
    world.lose_promote_answers(true);
    world.pass(3_000);
    assert!(world.promotions() > 1, "more than one term was tried");
    world.lose_promote_answers(false);
    world.settle();
    assert!(world.active().is_some());
}

#[test]
fn a_former_primary_that_returns_follows() {
    let mut world = GroupWorld::new(3);
    world.settle();
    world.run(GroupEvent::Cut(0));
    world.settle();
    world.run(GroupEvent::Join(0));
    world.settle();
    world.pass(1_000);
    assert!(world.follows(0));
}

#[test]
fn two_faults_at_once_leave_the_group_without_a_primary_until_one_is_mended() {
    let mut world = GroupWorld::new(3);
    world.settle();
    world.run(GroupEvent::Cut(0));
    world.run(GroupEvent::Cut(1));
    world.pass(10_000);
    assert_eq!(world.active(), None);
    world.run(GroupEvent::Join(1));
    world.settle();
    assert!(world.active().is_some_and(|active| active != 0));
}

#[test]
fn a_planned_move_loses_no_time_to_a_failure_and_no_write() {
    let mut world = GroupWorld::new(3);
    world.settle();
    for _ in 0..5 {
        world.run(GroupEvent::Write);
    }
    world.run(GroupEvent::Replicate(1));
    world.run(GroupEvent::Leave(0));
    world.pass(5_000);
    assert!(world.active().is_some_and(|active| active != 0));
    assert!(world.drained(), "the group was drained first");
}
