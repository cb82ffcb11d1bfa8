//! The fair queue: bounded service lag, work conservation, no lost items, and recovery after load.

use daisyseam_coord::{
    Moment,
    fair_queue::{
        FairQueue,
        Popped,
        PushError,
        PushRequest,
        QueueLimits,
        ServiceNumber, //
    }, //
};
use proptest::prelude::*;
use std::{
    collections::BTreeSet,
    num::NonZeroU32,
    time::Duration, //
};

const FAR_FUTURE: Moment = Moment::from_millis(1_000_000_000);

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

fn order(flow: &usize, share: u32, deadline: Moment) -> PushRequest<'_, usize> {
    PushRequest {
        flow,
        weight: weight(share),
        deadline,
    }
}

/// Simulated server with a fixed number of slots that serves items of the queue.
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
                Some(Popped::Expired(_)) => panic!("no item expires in this test"),
                None => return,
            }
        }
    }

    /// Ends the service that finishes first and returns its end and its flow.
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

    /// Service time that a flow has received so far, including running items.
    fn service_received(&self, flow: usize, now: Moment) -> Duration {
        let running = self.running.iter().filter(|entry| entry.2 == flow);
        self.served[flow] + running.map(|entry| now.since(entry.1)).sum::<Duration>()
    }
}

proptest! {
    /// The weighted service of two backlogged flows differs by at most one longest item of each per
    /// slot, for any costs and however wrong the estimates are.
    #[test]
    fn service_lag_stays_within_its_bound(
        slots in 1_usize..6,
        weights in prop::collection::vec(1_u32..8, 2..5),
        costs in prop::collection::vec(1_u64..400, 200),
    ) {
        let flows = weights.len();
        let mut server = Server::new(slots, flows, limits(10_000, 1_000, slots));
        let mut costs = costs.into_iter().map(Duration::from_millis).cycle();
        // Every flow has its own cost level, so that service time and request counts diverge.
        let mut cost = |flow: usize| costs.next().unwrap() * (1 + flow as u32 * 3);
        let longest = Duration::from_millis(400) * (1 + (flows as u32 - 1) * 3);
        for (flow, share) in weights.iter().enumerate() {
            for _ in 0..slots + 2 {
                let item = cost(flow);
                server.queue.push(Moment::ORIGIN, order(&flow, *share, FAR_FUTURE), item).unwrap();
            }
        }
        server.fill(Moment::ORIGIN);
        for _ in 0..600 {
            let (now, flow) = server.step().unwrap();
            let item = cost(flow);
            server.queue.push(now, order(&flow, weights[flow], FAR_FUTURE), item).unwrap();
            server.fill(now);
            for left in 0..flows {
                for right in 0..flows {
                    let share = |flow: usize| server.service_received(flow, now).as_secs_f64() / f64::from(weights[flow]);
                    let one = longest.as_secs_f64() * slots as f64;
                    let bound = one / f64::from(weights[left]) + one / f64::from(weights[right]);
                    prop_assert!(share(left) - share(right) <= bound);
                }
            }
        }
    }

    /// No slot is free while items wait, and every item is returned exactly once.
    #[test]
    fn work_is_conserved_and_nothing_is_lost(
        slots in 1_usize..4,
        actions in prop::collection::vec((0_u8..8, 0_usize..4, 1_u64..50, 1_u64..300), 1..300),
    ) {
        let mut queue = FairQueue::new(limits(24, 10, slots));
        let mut running: Vec<ServiceNumber> = Vec::new();
        let mut tickets = Vec::new();
        let mut queued: BTreeSet<usize> = BTreeSet::new();
        let mut now = Moment::ORIGIN;
        for (number, (action, flow, step, wait)) in actions.into_iter().enumerate() {
            now = now + Duration::from_millis(step);
            match action {
                0..4 => {
                    let deadline = now + Duration::from_millis(wait);
                    let share = 1 + flow as u32;
                    match queue.push(now, order(&flow, share, deadline), number) {
                        Ok(pushed) => {
                            prop_assert!(queued.insert(number));
                            if let Some(evicted) = pushed.evicted {
                                prop_assert!(queued.remove(&evicted));
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
                        prop_assert_eq!(cancelled.is_some(), queued.remove(&number));
                    }
                }
            }
            while running.len() < slots {
                match queue.pop(now) {
                    Some(Popped::Serve { service, item, .. }) => {
                        prop_assert!(queued.remove(&item));
                        running.push(service);
                    }
                    Some(Popped::Expired(item)) => prop_assert!(queued.remove(&item)),
                    None => break,
                }
            }
            prop_assert_eq!(queue.len(), queued.len());
            prop_assert_eq!(queue.in_service(), running.len());
            prop_assert!(running.len() == slots || queue.is_empty());
        }
    }
}

#[test]
fn a_slow_flow_gets_no_more_than_its_share_of_time() {
    let mut server = Server::new(1, 2, limits(1_000, 500, 1));
    let costs = [Duration::from_millis(1_000), Duration::from_millis(10)];
    for (flow, cost) in costs.into_iter().enumerate() {
        for _ in 0..300 {
            let order = order(&flow, 1, FAR_FUTURE);
            server.queue.push(Moment::ORIGIN, order, cost).unwrap();
        }
    }
    server.fill(Moment::ORIGIN);
    let mut now = Moment::ORIGIN;
    while server.queue.flow_len(&1) > 0 {
        now = server.step().unwrap().0;
        server.fill(now);
    }
    // The fast flow had 3 s of work; the slow one received as much, plus at most one item.
    assert!(server.service_received(0, now) <= Duration::from_millis(4_000));
}

#[test]
fn a_statement_is_charged_while_it_runs() {
    let mut server = Server::new(2, 2, limits(100, 50, 2));
    let slow = Duration::from_secs(60);
    for _ in 0..10 {
        server
            .queue
            .push(Moment::ORIGIN, order(&0, 1, FAR_FUTURE), slow)
            .unwrap();
    }
    // The slow statement occupies one slot; the other serves the new flow until both are even.
    let Some(Popped::Serve { .. }) = server.queue.pop(Moment::ORIGIN) else {
        panic!("nothing to serve");
    };
    let mut now = Moment::from_millis(1_000);
    for _ in 0..20 {
        let quick = Duration::from_millis(40);
        server
            .queue
            .push(now, order(&1, 1, FAR_FUTURE), quick)
            .unwrap();
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
            .push(Moment::ORIGIN, order(&0, 1, FAR_FUTURE), item)
            .unwrap();
    }
    server.fill(Moment::ORIGIN);
    let mut now = Moment::ORIGIN;
    while let Some((end, _)) = server.step() {
        now = end;
        server.fill(now);
    }
    // Both flows push again: of the next four items, two belong to the formerly busy flow.
    for flow in [0, 1, 0, 1, 0, 1] {
        let item = Duration::from_millis(10);
        server
            .queue
            .push(now, order(&flow, 1, FAR_FUTURE), item)
            .unwrap();
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
fn a_full_queue_evicts_from_the_longest_flow() {
    let mut queue = FairQueue::new(limits(4, 4, 1));
    for item in 0..4 {
        queue
            .push(Moment::ORIGIN, order(&0, 1, FAR_FUTURE), item)
            .unwrap();
    }
    let refused = queue.push(Moment::ORIGIN, order(&0, 1, FAR_FUTURE), 9);
    assert_eq!(refused.unwrap_err(), (PushError::FlowFull, 9));
    let pushed = queue
        .push(Moment::ORIGIN, order(&1, 1, FAR_FUTURE), 5)
        .unwrap();
    assert_eq!(pushed.evicted, Some(3));
    assert_eq!((queue.flow_len(&0), queue.flow_len(&1)), (3, 1));
}

#[test]
fn expired_items_are_returned_even_without_a_free_slot() {
    let mut queue = FairQueue::new(limits(4, 4, 1));
    let deadline = Moment::from_millis(10);
    queue
        .push(Moment::ORIGIN, order(&0, 1, deadline), 1)
        .unwrap();
    queue
        .push(Moment::ORIGIN, order(&1, 1, FAR_FUTURE), 2)
        .unwrap();
    assert_eq!(queue.next_deadline(), Some(deadline));
    assert_eq!(queue.take_expired(Moment::from_millis(9)), None);
    assert_eq!(queue.take_expired(deadline), Some(1));
    assert_eq!(queue.take_expired(deadline), None);
    let refused = queue.push(deadline, order(&0, 1, deadline), 3);
    assert_eq!(refused.unwrap_err(), (PushError::Expired, 3));
}
