use super::{
    QueueRule,
    Urgency, //
};

fn rule(priorities: &[u32]) -> QueueRule {
    QueueRule::of_priorities(priorities.iter().copied())
}

/// A document whose services all have one priority must keep the former order and waits.
#[test]
fn services_of_one_priority_take_turns() {
    assert_eq!(rule(&[]), QueueRule::Turns);
    assert_eq!(rule(&[3, 3, 3]), QueueRule::Turns);
    assert_eq!(rule(&[0, 0, 2]), QueueRule::Urgency);
}

/// A request of an older instance, which sends no priority, must not lose its place to others.
#[test]
fn a_message_without_a_priority_is_the_most_urgent() {
    assert_eq!(Urgency::from_wire(0), Urgency::HIGHEST);
    for priority in [0, 1, 1_000] {
        let urgency = Urgency::of_priority(priority);
        assert_eq!(Urgency::from_wire(urgency.to_wire()), urgency);
    }
}

/// A document with many priorities must not make many counters.
#[test]
fn counters_are_bounded() {
    let name = |priority| Urgency::of_priority(priority).counter(["0", "1", "rest"]);
    assert_eq!([0, 1, 2, 1_000].map(name), ["0", "1", "rest", "rest"]);
}
