//! Weighted fair queue across organisations by measured service time.
//!
//! Start-time fair queueing: each flow has a tag in virtual time, the flow with the least tag is
//! served next, and its tag grows by the service time divided by the weight. The service time is
//! not known when an item is served, so an estimate is charged first; whatever runs longer is
//! charged as it runs, and the rest is put right at the end.

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

/// Bounds of a [`FairQueue`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// Most items that wait.
    pub length: usize,
    /// Most items of one flow that wait.
    pub flow_length: usize,
    /// Most items of one flow that are in service at once.
    pub flow_in_service: usize,
}

/// Why an item was not taken.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum PushRefusal {
    /// the flow has as many items waiting as it may
    FlowFull,
    /// the queue is full and no other flow has a longer share of it
    QueueFull,
    /// the deadline has passed
    Late,
}

/// Where an item belongs and how long it may wait.
#[derive(Clone, Copy, Debug)]
pub struct QueueOrder<'a, K> {
    /// Flow, such as an organisation.
    pub flow: &'a K,
    /// Share of the service relative to the other flows.
    pub weight: NonZeroU32,
    /// Moment from which it must not be served any more.
    pub deadline: Moment,
}

/// Names an item that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueTicket<K> {
    flow: K,
    number: u64,
}

/// Names an item in service.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ServiceNumber(u64);

/// An item that was taken.
#[derive(Debug, Eq, PartialEq)]
pub struct Pushed<K, T> {
    /// Its ticket.
    pub ticket: QueueTicket<K>,
    /// Item of the longest flow that had to make room; it was not served.
    pub evicted: Option<T>,
}

/// What comes out of the queue.
#[derive(Debug, Eq, PartialEq)]
pub enum Popped<K, T> {
    /// To be served now; [`FairQueue::finish`] must follow.
    Serve {
        /// Names the service.
        service: ServiceNumber,
        /// Flow it belongs to.
        flow: K,
        /// The item.
        item: T,
    },
    /// Its deadline has passed before it was served.
    Late(T),
}

/// A bounded queue that shares service time among flows by weight.
///
/// A push, pop, cancel or finish costs the logarithm of the number of waiting items and flows; a
/// pop besides looks at each item in service.
///
/// # Examples
///
/// ```
/// use daisyseam_coord::{Moment, fair_queue::{FairQueue, Popped, QueueLimits, QueueOrder}};
/// use std::num::NonZeroU32;
///
/// let limits = QueueLimits { length: 8, flow_length: 4, flow_in_service: 2 };
/// let mut queue = FairQueue::new(limits);
/// let order = QueueOrder {
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
    book: FlowTable<K, T>,
    deadlines: BTreeSet<(Moment, u64, K)>,
    serving: BTreeMap<ServiceNumber, Serving<K>>,
    next_number: u64,
}

impl<K: Clone + Ord, T> FairQueue<K, T> {
    /// Makes an empty queue.
    ///
    /// # Panics
    ///
    /// When a limit is zero.
    pub fn new(limits: QueueLimits) -> Self {
        assert!(
            limits.length > 0 && limits.flow_length > 0 && limits.flow_in_service > 0,
            "a limit of the queue is zero"
        );
        Self {
            limits,
            book: FlowTable::new(limits.flow_in_service),
            deadlines: BTreeSet::new(),
            serving: BTreeMap::new(),
            next_number: 0,
        }
    }

    /// Returns the number of items that wait.
    pub fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }

    /// Returns the number of items in service.
    pub fn in_service(&self) -> usize {
        self.serving.len()
    }

    /// Returns the number of items of one flow that wait.
    pub fn flow_len(&self, flow: &K) -> usize {
        self.book.get(flow).map_or(0, |flow| flow.waiting.len())
    }

    /// Returns the first deadline of all items that wait.
    pub fn next_deadline(&self) -> Option<Moment> {
        self.deadlines.first().map(|(deadline, ..)| *deadline)
    }

    /// Returns the service time that the next item of a flow is expected to take.
    pub fn expected_service(&self, flow: &K) -> Duration {
        self.book.estimate(flow)
    }

    /// Changes the bounds; items that already wait stay.
    pub fn set_limits(&mut self, limits: QueueLimits) {
        self.limits = limits;
        self.book.set_in_service_max(limits.flow_in_service);
    }

    /// Takes an item in.
    ///
    /// A full queue makes room at the expense of the flow that has most items for its weight.
    ///
    /// # Errors
    ///
    /// The item and the reason why it was not taken.
    pub fn push(
        &mut self,
        now: Moment,
        order: QueueOrder<'_, K>,
        item: T,
    ) -> Result<Pushed<K, T>, (PushRefusal, T)> {
        if order.deadline <= now {
            return Err((PushRefusal::Late, item));
        }
        if self.flow_len(order.flow) >= self.limits.flow_length {
            return Err((PushRefusal::FlowFull, item));
        }
        let mut evicted = None;
        if self.len() >= self.limits.length {
            evicted = self.evict_for(&order);
            if evicted.is_none() {
                return Err((PushRefusal::QueueFull, item));
            }
        }
        let number = self.next_number;
        self.next_number += 1;
        let flow = order.flow.clone();
        self.book
            .enqueue(&flow, order.weight, number, order.deadline, item);
        self.deadlines
            .insert((order.deadline, number, flow.clone()));
        let ticket = QueueTicket { flow, number };
        Ok(Pushed { ticket, evicted })
    }

    /// Takes out the next item: one that is late, else the one to be served.
    ///
    /// The caller has a free slot. Nothing comes out if nothing waits, or if each flow that waits
    /// has as many items in service as it may.
    pub fn pop(&mut self, now: Moment) -> Option<Popped<K, T>> {
        if let Some(item) = self.take_late(now) {
            return Some(Popped::Late(item));
        }
        self.accrue(now);
        let served = self.book.dispatch()?;
        self.deadlines
            .remove(&(served.deadline, served.number, served.flow.clone()));
        let service = ServiceNumber(served.number);
        let entry = Serving {
            flow: served.flow.clone(),
            weight: served.weight,
            started: now,
            charged: served.charged,
        };
        let former = self.serving.insert(service, entry);
        assert!(former.is_none(), "an item was served twice");
        Some(Popped::Serve {
            service,
            flow: served.flow,
            item: served.item,
        })
    }

    /// Takes out an item whose deadline has passed.
    pub fn take_late(&mut self, now: Moment) -> Option<T> {
        let (deadline, number, flow) = self.deadlines.first()?.clone();
        if deadline > now {
            return None;
        }
        self.remove(deadline, number, &flow)
    }

    /// Takes out an item that is no longer wanted; nothing if it no longer waits.
    pub fn cancel(&mut self, ticket: &QueueTicket<K>) -> Option<T> {
        let flow = self.book.get(&ticket.flow)?;
        let deadline = flow.waiting.get(&ticket.number)?.deadline;
        self.remove(deadline, ticket.number, &ticket.flow)
    }

    /// Ends a service and charges the time that it took.
    ///
    /// # Panics
    ///
    /// When the service is not known or has been ended before.
    pub fn finish(&mut self, now: Moment, service: ServiceNumber) {
        let Some(serving) = self.serving.remove(&service) else {
            panic!("a service that does not run was ended");
        };
        let took = now.since(serving.started);
        self.book
            .correct(&serving.flow, serving.weight, serving.charged, took);
        self.book.complete(&serving.flow, took);
    }

    /// Charges the items in service that have run longer than what was charged for them.
    fn accrue(&mut self, now: Moment) {
        for serving in self.serving.values_mut() {
            let took = now.since(serving.started);
            if took > serving.charged {
                self.book
                    .correct(&serving.flow, serving.weight, serving.charged, took);
                serving.charged = took;
            }
        }
    }

    fn evict_for(&mut self, order: &QueueOrder<'_, K>) -> Option<T> {
        let longest = self.book.longest()?.clone();
        let flow = self.book.get(&longest)?;
        let own = self.flow_len(order.flow) + 1;
        if &longest == order.flow || flow.share() <= Flow::<T>::share_of(own, order.weight) {
            return None;
        }
        let (number, waiting) = flow.waiting.last_key_value()?;
        let (number, deadline) = (*number, waiting.deadline);
        self.remove(deadline, number, &longest)
    }

    fn remove(&mut self, deadline: Moment, number: u64, flow: &K) -> Option<T> {
        let known = self.deadlines.remove(&(deadline, number, flow.clone()));
        assert!(known, "an item waits without a deadline");
        self.book.withdraw(flow, number)
    }
}

#[derive(Debug)]
struct Serving<K> {
    flow: K,
    weight: NonZeroU32,
    started: Moment,
    charged: Duration,
}
