//! Weighted fair queue across organisations, based on measured service time.
//!
//! This is start-time fair queueing: each flow has a tag in virtual time, the flow with the lowest
//! tag is served next, and its tag advances by the service time divided by the weight. The service
//! time is not known in advance, so an estimate is charged at the start. Items that run longer are
//! charged as they run, and the charge is corrected to the actual time at the end.

mod flow;

use self::flow::{
    Flow,
    FlowTable, //
};
use crate::Moment;
use displaydoc::Display;
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    num::NonZeroU32,
    time::Duration, //
};

/// Limits of a [`FairQueue`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// Maximum number of waiting items.
    pub length: usize,
    /// Maximum number of waiting items per flow.
    pub flow_length: usize,
    /// Maximum number of items per flow in service at once.
    pub flow_in_service: usize,
}

/// Reason why an item was not enqueued.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum PushError {
    /// the flow has reached its maximum number of waiting items
    FlowFull,
    /// the queue is full and no other flow has more items for its weight
    QueueFull,
    /// the deadline has passed
    Expired,
}

/// Flow, weight and deadline of an item to be enqueued.
#[derive(Clone, Copy, Debug)]
pub struct PushRequest<'a, K> {
    /// Flow that the item belongs to, such as an organisation.
    pub flow: &'a K,
    /// Weight of the flow relative to other flows.
    pub weight: NonZeroU32,
    /// Moment from which the item must no longer be served.
    pub deadline: Moment,
}

/// Identifies a waiting item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueTicket<K> {
    flow: K,
    number: u64,
}

/// Identifies an item in service.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ServiceNumber(u64);

/// Result of enqueueing an item.
#[derive(Debug, Eq, PartialEq)]
pub struct Pushed<K, T> {
    /// Ticket with which the item can be cancelled.
    pub ticket: QueueTicket<K>,
    /// Item of the longest flow that was evicted to make room; it was not served.
    pub evicted: Option<T>,
}

/// Result of dequeueing an item.
#[derive(Debug, Eq, PartialEq)]
pub enum Popped<K, T> {
    /// The item is to be served now; [`FairQueue::finish`] must be called afterwards.
    Serve {
        /// Identifies the item in service.
        service: ServiceNumber,
        /// Flow that the item belongs to.
        flow: K,
        /// The item.
        item: T,
    },
    /// The deadline of the item passed before it was served.
    Expired(T),
}

/// A bounded queue that shares service time among flows by weight.
///
/// Push, pop, cancel and finish take logarithmic time in the number of waiting items and flows; pop
/// additionally visits each item in service.
///
/// # Examples
///
/// ```
/// use daisyseam_coord::{Moment, fair_queue::{FairQueue, Popped, QueueLimits, PushRequest}};
/// use std::num::NonZeroU32;
///
/// let limits = QueueLimits { length: 8, flow_length: 4, flow_in_service: 2 };
/// let mut queue = FairQueue::new(limits);
/// let order = PushRequest {
///     flow: &"keepers",
///     weight: NonZeroU32::MIN,
///     deadline: Moment::from_millis(100),
/// };
/// queue.push(Moment::ORIGIN, order, "weigh-in").unwrap();
/// let Some(Popped::Serve { service, item, .. }) = queue.pop(Moment::ORIGIN) else {
///     panic!("the queue was empty");
/// };
/// assert_eq!(item, "weigh-in");
/// queue.finish(Moment::from_millis(3), service);
/// ```
#[derive(Debug)]
pub struct FairQueue<K, T> {
    limits: QueueLimits,
    flows: FlowTable<K, T>,
    deadlines: BTreeSet<(Moment, u64, K)>,
    in_service_items: BTreeMap<ServiceNumber, InService<K>>,
    next_number: u64,
}

impl<K: Clone + Ord, T> FairQueue<K, T> {
    /// Creates an empty queue.
    ///
    /// # Panics
    ///
    /// Panics if a limit is zero.
    pub fn new(limits: QueueLimits) -> Self {
        assert!(
            limits.length > 0 && limits.flow_length > 0 && limits.flow_in_service > 0,
            "queue limits must not be zero"
        );
        Self {
            limits,
            flows: FlowTable::new(limits.flow_in_service),
            deadlines: BTreeSet::new(),
            in_service_items: BTreeMap::new(),
            next_number: 0,
        }
    }

    /// Returns the number of waiting items.
    pub fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Returns whether no items are waiting.
    pub fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }

    /// Returns the number of items in service.
    pub fn in_service(&self) -> usize {
        self.in_service_items.len()
    }

    /// Returns the number of waiting items of a flow.
    pub fn flow_len(&self, flow: &K) -> usize {
        self.flows.get(flow).map_or(0, |flow| flow.waiting.len())
    }

    /// Returns the earliest deadline of all waiting items.
    pub fn next_deadline(&self) -> Option<Moment> {
        self.deadlines.first().map(|(deadline, ..)| *deadline)
    }

    /// Returns the expected service time of the next item of a flow.
    pub fn expected_service(&self, flow: &K) -> Duration {
        self.flows.estimate(flow)
    }

    /// Changes the limits; items already waiting are kept.
    pub fn set_limits(&mut self, limits: QueueLimits) {
        self.limits = limits;
        self.flows.set_in_service_max(limits.flow_in_service);
    }

    /// Enqueues an item.
    ///
    /// A full queue evicts an item of the flow that has the most items for its weight.
    ///
    /// # Errors
    ///
    /// Returns the item and the reason why it was not enqueued.
    pub fn push(
        &mut self,
        now: Moment,
        request: PushRequest<'_, K>,
        item: T,
    ) -> Result<Pushed<K, T>, (PushError, T)> {
        if request.deadline <= now {
            return Err((PushError::Expired, item));
        }
        if self.flow_len(request.flow) >= self.limits.flow_length {
            return Err((PushError::FlowFull, item));
        }
        let mut evicted = None;
        if self.len() >= self.limits.length {
            evicted = self.evict_for(&request);
            if evicted.is_none() {
                return Err((PushError::QueueFull, item));
            }
        }
        let number = self.next_number;
        self.next_number += 1;
        let flow = request.flow.clone();
        self.flows
            .enqueue(&flow, request.weight, number, request.deadline, item);
        self.deadlines
            .insert((request.deadline, number, flow.clone()));
        let ticket = QueueTicket { flow, number };
        Ok(Pushed { ticket, evicted })
    }

    /// Dequeues the next item: an expired one if there is any, otherwise the one to be served.
    ///
    /// The caller must have a free slot. Returns `None` if no items are waiting, or if each waiting
    /// flow has its maximum number of items in service.
    pub fn pop(&mut self, now: Moment) -> Option<Popped<K, T>> {
        if let Some(item) = self.take_expired(now) {
            return Some(Popped::Expired(item));
        }
        self.charge_running(now);
        let dispatched = self.flows.dispatch()?;
        self.deadlines.remove(&(
            dispatched.deadline,
            dispatched.number,
            dispatched.flow.clone(),
        ));
        let service = ServiceNumber(dispatched.number);
        let entry = InService {
            flow: dispatched.flow.clone(),
            weight: dispatched.weight,
            started: now,
            charged: dispatched.charged,
        };
        let former = self.in_service_items.insert(service, entry);
        assert!(former.is_none(), "service number is already in use");
        Some(Popped::Serve {
            service,
            flow: dispatched.flow,
            item: dispatched.item,
        })
    }

    /// Removes and returns an item whose deadline has passed.
    pub fn take_expired(&mut self, now: Moment) -> Option<T> {
        let (deadline, number, flow) = self.deadlines.first()?.clone();
        if deadline > now {
            return None;
        }
        self.remove(deadline, number, &flow)
    }

    /// Removes a waiting item; returns `None` if it is no longer waiting.
    pub fn cancel(&mut self, ticket: &QueueTicket<K>) -> Option<T> {
        let flow = self.flows.get(&ticket.flow)?;
        let deadline = flow.waiting.get(&ticket.number)?.deadline;
        self.remove(deadline, ticket.number, &ticket.flow)
    }

    /// Ends the service of an item and charges the actual service time.
    ///
    /// # Panics
    ///
    /// Panics if the service is unknown or has already ended.
    pub fn finish(&mut self, now: Moment, service: ServiceNumber) {
        let Some(item) = self.in_service_items.remove(&service) else {
            panic!("finished a service that is not running");
        };
        let took = now.since(item.started);
        self.flows
            .adjust_charge(&item.flow, item.weight, item.charged, took);
        self.flows.complete(&item.flow, took);
    }

    /// Charges items in service for the time they have run beyond what was charged.
    fn charge_running(&mut self, now: Moment) {
        for item in self.in_service_items.values_mut() {
            let took = now.since(item.started);
            if took > item.charged {
                self.flows
                    .adjust_charge(&item.flow, item.weight, item.charged, took);
                item.charged = took;
            }
        }
    }

    /// Evicts the last item of the longest flow, unless the request's own flow is or would become
    /// the longest.
    fn evict_for(&mut self, request: &PushRequest<'_, K>) -> Option<T> {
        let longest = self.flows.longest()?.clone();
        let flow = self.flows.get(&longest)?;
        let own = self.flow_len(request.flow) + 1;
        if &longest == request.flow
            || flow.weighted_length() <= Flow::<T>::weighted_length_of(own, request.weight)
        {
            return None;
        }
        let (number, waiting) = flow.waiting.last_key_value()?;
        let (number, deadline) = (*number, waiting.deadline);
        self.remove(deadline, number, &longest)
    }

    fn remove(&mut self, deadline: Moment, number: u64, flow: &K) -> Option<T> {
        let known = self.deadlines.remove(&(deadline, number, flow.clone()));
        assert!(known, "a waiting item has no deadline entry");
        self.flows.remove(flow, number)
    }
}

#[derive(Debug)]
struct InService<K> {
    flow: K,
    weight: NonZeroU32,
    started: Moment,
    charged: Duration,
}
