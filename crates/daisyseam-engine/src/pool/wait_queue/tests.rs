use super::{
    MAX_PASSED_OVER,
    TURN_LENGTH,
    WaitQueue, //
};
use daisyseam_model::OrganisationId;

fn organisation(name: &str) -> OrganisationId {
    name.parse().unwrap()
}

fn queue(counts: &[(&str, usize)]) -> WaitQueue<usize> {
    let mut queue = WaitQueue::default();
    for (name, count) in counts {
        for item in 0..*count {
            queue.push(Some(&organisation(name)), item);
        }
    }
    queue
}

/// Serves `count` requests; `idle` are the organisations with an idle connection.
fn serve(queue: &mut WaitQueue<usize>, count: usize, idle: &[&str]) -> Vec<String> {
    let has_idle = |organisation: Option<&OrganisationId>| {
        organisation.is_some_and(|organisation| idle.contains(&organisation.as_str()))
    };
    (0..count)
        .map_while(|_| queue.pop(has_idle, true))
        .map(|(organisation, _)| organisation.unwrap().to_string())
        .collect()
}

#[test]
fn organisations_take_turns() {
    let mut queue = queue(&[("busy", 100), ("calm", 2)]);
    let served = serve(&mut queue, TURN_LENGTH as usize + 2, &[]);
    assert_eq!(served.last().unwrap(), "calm");
    assert_eq!(queue.len(), 96);
    assert_eq!(serve(&mut queue, 200, &[]).len(), 96);
    assert_eq!(queue.len(), 0);
}

#[test]
fn an_idle_connection_is_used_first_but_nobody_waits_for_long() {
    let mut queue = queue(&[("cold", 5), ("warm", 100)]);
    let served = serve(&mut queue, 50, &["warm"]);
    let first = served.iter().position(|name| name == "cold").unwrap();
    assert_eq!(first, MAX_PASSED_OVER as usize);
    let opened = served.iter().filter(|name| *name == "cold").count();
    assert_eq!(opened, 5);
}

#[test]
fn nothing_is_served_that_needs_a_connection_that_may_not_be_opened() {
    let mut queue = queue(&[("cold", 1), ("warm", 1)]);
    let is_warm = |organisation: Option<&OrganisationId>| {
        organisation.is_some_and(|organisation| organisation.as_str() == "warm")
    };
    let served = queue.pop(is_warm, false).unwrap();
    assert_eq!(served.0.unwrap().as_str(), "warm");
    assert!(queue.pop(is_warm, false).is_none());
    assert_eq!(queue.len(), 1);
}

#[test]
fn requests_that_gave_up_are_removed() {
    let mut queue = queue(&[("one", 3), ("two", 1)]);
    queue.retain(|item| *item > 0);
    assert_eq!(queue.len(), 2);
    assert_eq!(serve(&mut queue, 9, &[]), ["one", "one"]);
}
