use super::{
    MAX_PASSED_OVER,
    TURN_LENGTH,
    URGENT_RUN,
    WaitEntry,
    WaitQueue,
    order::MAX_SHED, //
};
use crate::{
    pool::{
        estimate::QueueEstimate,
        usage::UsedPart, //
    },
    urgency::{
        QueueRule,
        Urgency, //
    }, //
};
use daisyseam_model::OrganisationId;
use std::time::Duration;
use tokio::time::Instant;

const STEP: Duration = Duration::from_millis(10);

/// A request of the tests of urgency: organisation, priority and steps until it must be served.
type Entry = (&'static str, u32, u32);

fn organisation(name: &str) -> OrganisationId {
    name.parse().unwrap()
}

fn turns_entry(organisation: &OrganisationId, now: Instant) -> WaitEntry<'_> {
    WaitEntry {
        organisation: Some(organisation),
        urgency: Urgency::HIGHEST,
        rule: QueueRule::Turns,
        number: 0,
        start_by: now,
        keep_from: now,
    }
}

/// Creates a queue of requests, which are numbered in their order.
fn urgency_queue(now: Instant, entries: &[Entry]) -> WaitQueue<usize> {
    let mut queue = WaitQueue::default();
    for (number, (name, priority, steps)) in entries.iter().enumerate() {
        let organisation = organisation(name);
        let entry = WaitEntry {
            urgency: Urgency::of_priority(*priority),
            rule: QueueRule::Urgency,
            number: number.try_into().unwrap(),
            // The first one is served when a statement that runs has ended.
            start_by: now + STEP * (*steps + 1),
            keep_from: now + STEP,
            ..turns_entry(&organisation, now)
        };
        queue.push(entry, number);
    }
    queue
}

/// Serves all requests; returns their numbers.
fn serve_all(queue: &mut WaitQueue<usize>) -> Vec<usize> {
    let next = || queue.pop(|_| false, true).map(|(_, item)| item);
    std::iter::from_fn(next).collect()
}

/// Refuses requests of a database that serves one in each step, while one organisation uses more
/// than the others; returns their numbers.
fn shed(queue: &mut WaitQueue<usize>, now: Instant, heavy: &str) -> Vec<usize> {
    let names = ["a", "b", "busy", "calm", "one", "two"].map(organisation);
    let parts = names.iter().map(|name| UsedPart {
        organisation: Some(name),
        urgency: Urgency::of_priority(u32::MAX),
        used: if name.as_str() == heavy {
            1_000.0
        } else {
            100.0
        },
    });
    let estimate = QueueEstimate::new(now, STEP, parts, std::iter::empty());
    let shed = queue.shed(&estimate);
    shed.into_iter().map(|shed| shed.item).collect()
}

fn queue(counts: &[(&str, usize)]) -> WaitQueue<usize> {
    let mut queue = WaitQueue::default();
    for (name, count) in counts {
        for item in 0..*count {
            let organisation = organisation(name);
            queue.push(turns_entry(&organisation, Instant::now()), item);
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

/// Requests of an urgent service waited behind those of a less urgent one.
#[test]
fn urgent_requests_are_served_first() {
    let now = Instant::now();
    let mut queue = urgency_queue(now, &[("a", 2, 9), ("a", 0, 9), ("b", 1, 9), ("b", 0, 9)]);
    assert_eq!(serve_all(&mut queue), [1, 3, 2, 0]);
}

/// An urgent service with unlimited demand must not keep others from a database.
#[test]
fn less_urgent_requests_get_their_share() {
    const URGENT: usize = 400;
    let now = Instant::now();
    let mut entries = vec![("a", 0, 9); URGENT];
    entries.extend([("b", 1, 9); 10]);
    entries.extend([("c", 7, 9); 10]);
    let served = serve_all(&mut urgency_queue(now, &entries));
    let run = usize::try_from(URGENT_RUN).unwrap() + 1;
    for (index, window) in served.chunks_exact(run).take(20).enumerate() {
        let less_urgent = window.iter().filter(|item| **item >= URGENT).count();
        assert_eq!(less_urgent, 1, "{index}");
    }
    let of_each = |range: std::ops::Range<usize>| {
        let first = served[..4 * run].iter();
        first.filter(|item| range.contains(item)).count()
    };
    assert_eq!(of_each(URGENT..URGENT + 10), 2);
    assert_eq!(of_each(URGENT + 10..URGENT + 20), 2);
}

/// A request with a long target must not make one with a short target of the same kind late.
#[test]
fn requests_of_an_organisation_are_served_by_deadline() {
    let now = Instant::now();
    let mut queue = urgency_queue(now, &[("a", 0, 9), ("a", 0, 3), ("a", 0, 6), ("a", 0, 3)]);
    assert_eq!(serve_all(&mut queue), [1, 3, 2, 0]);
}

/// Where services have one priority, the order must not depend on targets or on urgency.
#[test]
fn requests_that_take_turns_keep_the_order_of_arrival() {
    let now = Instant::now();
    let mut queue = WaitQueue::default();
    let organisation = organisation("a");
    for (item, steps) in [9, 1, 5].into_iter().enumerate() {
        let entry = WaitEntry {
            urgency: Urgency::of_priority(steps),
            start_by: now + STEP * steps,
            ..turns_entry(&organisation, now)
        };
        queue.push(entry, item);
    }
    assert_eq!(serve_all(&mut queue), [0, 1, 2]);
}

/// The estimate is wrong if it assumes another order than that in which requests are served.
#[test]
fn the_expected_order_is_that_of_service() {
    let now = Instant::now();
    let names = ["a", "b", "c", "a", "a"];
    let mut entries = Vec::new();
    for index in 0..300_u32 {
        let name = names[usize::try_from(index * index % 5).unwrap()];
        entries.push((
            name,
            [0, 0, 1, 5][usize::try_from(index * 7 % 4).unwrap()],
            index % 9,
        ));
    }
    let mut queue = urgency_queue(now, &entries);
    for _ in 0..25 {
        queue.pop(|_| false, true);
    }
    let items = |queue: &WaitQueue<usize>| -> Vec<usize> {
        let places = queue.service_order();
        let item = |place: &super::order::ItemPlace| {
            queue.classes[&place.urgency].flows[place.flow].items[place.item].item
        };
        places.iter().map(item).collect()
    };
    let expected = items(&queue);
    assert_eq!(expected.len(), 275);
    assert_eq!(serve_all(&mut queue), expected);
}

/// A busy organisation filled the queue, and the requests of others were refused for it.
#[test]
fn the_organisation_that_uses_most_is_refused() {
    let now = Instant::now();
    let entries = [
        ("busy", 0, 4),
        ("busy", 0, 4),
        ("busy", 0, 4),
        ("busy", 0, 4),
        ("calm", 0, 2),
    ];
    let mut queue = urgency_queue(now, &entries);
    assert_eq!(shed(&mut queue, now, "busy"), [3, 2]);
    assert_eq!(serve_all(&mut queue), [0, 1, 4]);
}

/// Between organisations with about the same usage, refusing an urgent request for a less urgent
/// one would reverse their order.
#[test]
fn no_request_is_refused_for_a_less_urgent_one() {
    let now = Instant::now();
    let entries = [("one", 0, 4), ("one", 0, 4), ("one", 1, 4), ("two", 1, 1)];
    let mut queue = urgency_queue(now, &entries);
    assert_eq!(shed(&mut queue, now, ""), [2, 3]);
    assert_eq!(serve_all(&mut queue), [0, 1]);
}

/// The urgent requests of a busy organisation took the time of the less urgent ones of others.
#[test]
fn urgent_requests_of_a_busy_organisation_are_refused_last() {
    let now = Instant::now();
    let entries = [
        ("busy", 0, 4),
        ("busy", 0, 4),
        ("busy", 1, 4),
        ("calm", 2, 1),
    ];
    let mut queue = urgency_queue(now, &entries);
    assert_eq!(shed(&mut queue, now, "busy"), [2, 1]);
    assert_eq!(serve_all(&mut queue), [0, 3]);
}

/// A less urgent request that an urgent one delays beyond its time must be refused at once.
#[test]
fn a_delayed_request_is_refused_before_its_time_is_over() {
    let now = Instant::now();
    let entries = [("a", 1, 1), ("b", 0, 4), ("b", 0, 4)];
    let mut queue = urgency_queue(now, &entries);
    assert_eq!(shed(&mut queue, now, ""), [0]);
    assert_eq!(shed(&mut queue, now, ""), [0_usize; 0]);
}

/// A refusal after a long wait is worse for a caller than a late answer of the estimate.
#[test]
fn a_request_that_has_waited_for_long_is_kept() {
    let now = Instant::now();
    let mut queue = urgency_queue(now, &[("a", 0, 4), ("a", 1, 0)]);
    assert_eq!(shed(&mut queue, now + STEP, "a"), [0_usize; 0]);
    assert_eq!(queue.len(), 2);
}

/// Refusals must leave what is served in time, and must not refuse more than needed.
#[test]
fn as_many_requests_are_refused_as_are_too_many() {
    let now = Instant::now();
    let mut queue = urgency_queue(now, &vec![("a", 0, 99); 150]);
    assert_eq!(shed(&mut queue, now, "a").len(), 50);
    assert_eq!(queue.len(), 100);
}

/// Refusing very many requests in one call kept the thread from all others.
#[test]
fn the_refusals_of_one_call_are_bounded() {
    let now = Instant::now();
    let mut queue = urgency_queue(now, &vec![("a", 0, 99); 1_000]);
    let mut refused = 0;
    for _ in 0..900_usize.div_ceil(MAX_SHED) {
        let count = shed(&mut queue, now, "a").len();
        assert!(count <= MAX_SHED, "{count}");
        refused += count;
    }
    assert_eq!(refused, 900);
}
