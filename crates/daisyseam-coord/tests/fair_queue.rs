//! The fair queue: service lag against its bound, work conservation, no loss, recovery.

use daisyseam_coord::{
    Moment,
    fair_queue::{
        FairQueue,
        Popped,
        PushRefusal,
        QueueLimits,
        QueueOrder,
        ServiceNumber, //
    }, //
};
use proptest::prelude::*;
use std::{
    collections::BTreeSet,
    num::NonZeroU32,
    time::Duration, //
};

const FAR: Moment = Moment::from_millis(1_000_000_000);

fn weight(weight: u32) -> NonZeroU32 {
    NonZeroU32::new(weight).unwrap()
}

fn limits(length: usize, flow_length: usize, flow_in_service: usize) -> QueueLimits {
    QueueLimits {
        length,
        flow_length,
        flow_in_service,
    }
}

fn order(flow: &usize, share: u32, deadline: Moment) -> QueueOrder<'_, usize> {
    QueueOrder {
        flow,
        weight: weight(share),
        deadline,
    }
}

/// Slots that serve what the queue gives out, in virtual time.
struct Server {
    queue: FairQueue<usize, Duration>,
    slots: usize,
    running: Vec<(Moment, Moment, usize, ServiceNumber)>,
    served: Vec<Duration>,
}

impl Server {
    fn new(slots: usize, flows: usize, limits: QueueLimits) -> Self {
        Self {
            queue: FairQueue::new(limits),
            slots,
            running: Vec::new(),
            served: vec![Duration::ZERO; flows],
        }
    }

    fn fill(&mut self, now: Moment) {
        while self.running.len() < self.slots {
            match self.queue.pop(now) {
                Some(Popped::Serve {
                    service,
                    flow,
                    item,
                }) => self.running.push((now + item, now, flow, service)),
                Some(Popped::Late(_)) => panic!("nothing is late here"),
                None => return,
            }
        }
    }

    /// Ends the service that ends first and returns when, and whose it was.
    fn step(&mut self) -> Option<(Moment, usize)> {
        self.running.sort();
        if self.running.is_empty() {
            return None;
        }
        let (end, start, flow, service) = self.running.remove(0);
        self.queue.finish(end, service);
        self.served[flow] += end.since(start);
        Some((end, flow))
    }

    /// Service that a flow has had up to a moment, with what runs.
    fn had(&self, flow: usize, now: Moment) -> Duration {
        let running = self.running.iter().filter(|entry| entry.2 == flow);
        self.served[flow] + running.map(|entry| now.since(entry.1)).sum::<Duration>()
    }
}

proptest! {
    /// Two flows that always have work differ in service for their weight by at most one longest
    /// item each for every slot, whatever the costs and however wrong the estimates.
    #[test]
    fn service_lag_stays_within_its_bound(
        slots in 1_usize..6,
        weights in prop::collection::vec(1_u32..8, 2..5),
        costs in prop::collection::vec(1_u64..400, 200),
    ) {
        let flows = weights.len();
        let mut server = Server::new(slots, flows, limits(10_000, 1_000, slots));
        let mut costs = costs.into_iter().map(Duration::from_millis).cycle();
        // Every flow has a cost level of its own, so that service and request counts differ.
        let mut cost = |flow: usize| costs.next().unwrap() * (1 + flow as u32 * 3);
        let longest = Duration::from_millis(400) * (1 + (flows as u32 - 1) * 3);
        for (flow, share) in weights.iter().enumerate() {
            for _ in 0..slots + 2 {
                let item = cost(flow);
                server.queue.push(Moment::ORIGIN, order(&flow, *share, FAR), item).unwrap();
            }
        }
        server.fill(Moment::ORIGIN);
        for _ in 0..600 {
            let (now, flow) = server.step().unwrap();
            let item = cost(flow);
            server.queue.push(now, order(&flow, weights[flow], FAR), item).unwrap();
            server.fill(now);
            for left in 0..flows {
                for right in 0..flows {
                    let share = |flow: usize| server.had(flow, now).as_secs_f64() / f64::from(weights[flow]);
                    let one = longest.as_secs_f64() * slots as f64;
                    let bound = one / f64::from(weights[left]) + one / f64::from(weights[right]);
                    prop_assert!(share(left) - share(right) <= bound);
                }
            }
        }
    }

    /// No slot is free while something waits, and every item comes out exactly once.
    #[test]
    fn work_is_conserved_and_nothing_is_lost(
        slots in 1_usize..4,
        actions in prop::collection::vec((0_u8..8, 0_usize..4, 1_u64..50, 1_u64..300), 1..300),
    ) {
        let mut queue = FairQueue::new(limits(24, 10, slots));
        let mut running: Vec<ServiceNumber> = Vec::new();
        let mut tickets = Vec::new();
        let mut inside: BTreeSet<usize> = BTreeSet::new();
        let mut now = Moment::ORIGIN;
        for (number, (action, flow, step, wait)) in actions.into_iter().enumerate() {
            now = now + Duration::from_millis(step);
            match action {
                0..4 => {
                    let deadline = now + Duration::from_millis(wait);
                    let share = 1 + flow as u32;
                    match queue.push(now, order(&flow, share, deadline), number) {
                        Ok(pushed) => {
                            prop_assert!(inside.insert(number));
                            if let Some(evicted) = pushed.evicted {
                                prop_assert!(inside.remove(&evicted));
                            }
                            tickets.push((number, pushed.ticket));
                        }
                        Err((_, item)) => prop_assert_eq!(item, number),
                    }
                }
                4..7 => {
                    if let Some(service) = running.pop() {
                        queue.finish(now, service);
                    }
                }
                _ => {
                    if let Some((number, ticket)) = tickets.pop() {
                        let cancelled = queue.cancel(&ticket);
                        prop_assert_eq!(cancelled.is_some(), inside.remove(&number));
                    }
                }
            }
            while running.len() < slots {
                match queue.pop(now) {
                    Some(Popped::Serve { service, item, .. }) => {
                        prop_assert!(inside.remove(&item));
                        running.push(service);
                    }
                    Some(Popped::Late(item)) => prop_assert!(inside.remove(&item)),
                    None => break,
                }
            }
            prop_assert_eq!(queue.len(), inside.len());
            prop_assert_eq!(queue.in_service(), running.len());
            prop_assert!(running.len() == slots || queue.is_empty());
        }
    }
}

#[test]
fn a_slow_flow_takes_no_more_than_its_share_of_time() {
    let mut server = Server::new(1, 2, limits(1_000, 500, 1));
    let costs = [Duration::from_millis(1_000), Duration::from_millis(10)];
    for (flow, cost) in costs.into_iter().enumerate() {
        for _ in 0..300 {
            let order = order(&flow, 1, FAR);
            server.queue.push(Moment::ORIGIN, order, cost).unwrap();
        }
    }
    server.fill(Moment::ORIGIN);
    let mut now = Moment::ORIGIN;
    while server.queue.flow_len(&1) > 0 {
        now = server.step().unwrap().0;
        server.fill(now);
    }
    // The quick flow had 3 s of work; the slow one had as much, and one item more at most.
    assert!(server.had(0, now) <= Duration::from_millis(4_000));
}

#[test]
fn a_statement_is_charged_while_it_runs() {
    let mut server = Server::new(2, 2, limits(100, 50, 2));
    let slow = Duration::from_secs(60);
    for _ in 0..10 {
        server
            .queue
            .push(Moment::ORIGIN, order(&0, 1, FAR), slow)
            .unwrap();
    }
    // The first slow statement runs alone; the other slot serves the newcomer until both are even.
    let Some(Popped::Serve { .. }) = server.queue.pop(Moment::ORIGIN) else {
        panic!("nothing to serve");
    };
    let mut now = Moment::from_millis(1_000);
    for _ in 0..20 {
        let quick = Duration::from_millis(40);
        server.queue.push(now, order(&1, 1, FAR), quick).unwrap();
        let Some(Popped::Serve { service, flow, .. }) = server.queue.pop(now) else {
            panic!("nothing to serve");
        };
        assert_eq!(flow, 1);
        now = now + quick;
        server.queue.finish(now, service);
    }
}

#[test]
fn a_flow_that_flooded_alone_owes_nothing_after_it() {
    let mut server = Server::new(1, 2, limits(1_000, 500, 1));
    for _ in 0..200 {
        let item = Duration::from_millis(10);
        server
            .queue
            .push(Moment::ORIGIN, order(&0, 1, FAR), item)
            .unwrap();
    }
    server.fill(Moment::ORIGIN);
    let mut now = Moment::ORIGIN;
    while let Some((end, _)) = server.step() {
        now = end;
        server.fill(now);
    }
    // Both ask again at once: within two items the former flooder is served too.
    for flow in [0, 1, 0, 1, 0, 1] {
        let item = Duration::from_millis(10);
        server.queue.push(now, order(&flow, 1, FAR), item).unwrap();
    }
    server.fill(now);
    let first: Vec<usize> = (0..4)
        .map(|_| {
            let (end, flow) = server.step().unwrap();
            server.fill(end);
            flow
        })
        .collect();
    assert_eq!(first.iter().filter(|flow| **flow == 0).count(), 2);
}

#[test]
fn a_full_queue_makes_room_at_the_expense_of_the_longest_flow() {
    let mut queue = FairQueue::new(limits(4, 4, 1));
    for item in 0..4 {
        queue.push(Moment::ORIGIN, order(&0, 1, FAR), item).unwrap();
    }
    let refused = queue.push(Moment::ORIGIN, order(&0, 1, FAR), 9);
    assert_eq!(refused.unwrap_err(), (PushRefusal::FlowFull, 9));
    let pushed = queue.push(Moment::ORIGIN, order(&1, 1, FAR), 5).unwrap();
    assert_eq!(pushed.evicted, Some(3));
    assert_eq!((queue.flow_len(&0), queue.flow_len(&1)), (3, 1));
}

#[test]
fn expired_items_come_out_as_late_even_without_a_free_slot() {
    let mut queue = FairQueue::new(limits(4, 4, 1));
    let deadline = Moment::from_millis(10);
    queue
        .push(Moment::ORIGIN, order(&0, 1, deadline), 1)
        .unwrap();
    queue.push(Moment::ORIGIN, order(&1, 1, FAR), 2).unwrap();
    assert_eq!(queue.next_deadline(), Some(deadline));
    assert_eq!(queue.take_late(Moment::from_millis(9)), None);
    assert_eq!(queue.take_late(deadline), Some(1));
    assert_eq!(queue.take_late(deadline), None);
    let refused = queue.push(deadline, order(&0, 1, deadline), 3);
    assert_eq!(refused.unwrap_err(), (PushRefusal::Late, 3));
}
