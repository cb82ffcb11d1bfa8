//! The flows of a fair queue with their items, tags and service time estimates.

use crate::Moment;
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    num::NonZeroU32,
    time::Duration, //
};

/// Maximum number of idle flows that are kept for their estimates.
const IDLE_FLOWS_MAX: usize = 4_096;

/// Estimated service time before the first measurement.
const INITIAL_ESTIMATE: Duration = Duration::from_millis(1);

/// Weight of the latest measurement in the moving average, as a divisor.
const AVERAGE_DIVISOR: u32 = 4;

/// Number of fractional bits of a [`VirtualTime`].
const FRACTION_BITS: u32 = 32;

/// Service time divided by weight, as a fixed-point number of nanoseconds.
type VirtualTime = u128;

/// A waiting item.
#[derive(Debug)]
pub(super) struct Waiting<T> {
    pub(super) deadline: Moment,
    item: T,
}

/// A flow of the queue.
#[derive(Debug)]
pub(super) struct Flow<T> {
    pub(super) waiting: BTreeMap<u64, Waiting<T>>,
    in_service: usize,
    weight: NonZeroU32,
    /// Virtual start time of the next item.
    tag: VirtualTime,
    /// Virtual time at which the flow last became active. Corrections do not move the tag before it,
    /// so that a flow earns no credit while it is inactive.
    active_since: VirtualTime,
    estimate: Option<Duration>,
}

impl<T> Flow<T> {
    /// Returns the number of waiting items divided by the weight.
    pub(super) fn weighted_length(&self) -> u128 {
        Self::weighted_length_of(self.waiting.len(), self.weight)
    }

    /// Computes [`Flow::weighted_length`] for a given length and weight.
    pub(super) fn weighted_length_of(length: usize, weight: NonZeroU32) -> u128 {
        ((length as u128) << FRACTION_BITS) / u128::from(weight.get())
    }

    fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.in_service == 0
    }
}

/// An item that was removed from its flow to be served.
pub(super) struct Dispatched<K, T> {
    pub(super) flow: K,
    pub(super) number: u64,
    pub(super) weight: NonZeroU32,
    pub(super) deadline: Moment,
    pub(super) charged: Duration,
    pub(super) item: T,
}

/// All flows, with indexes by tag and by length.
#[derive(Debug)]
pub(super) struct FlowTable<K, T> {
    flows: BTreeMap<K, Flow<T>>,
    /// Flows that may be served next, by tag.
    ready: BTreeSet<(VirtualTime, K)>,
    /// Flows with waiting items, by weighted length.
    by_length: BTreeSet<(u128, K)>,
    /// Flows without items waiting or in service, by tag.
    idle: BTreeSet<(VirtualTime, K)>,
    virtual_now: VirtualTime,
    in_service_max: usize,
    estimate: Duration,
}

impl<K: Clone + Ord, T> FlowTable<K, T> {
    pub(super) fn new(in_service_max: usize) -> Self {
        Self {
            flows: BTreeMap::new(),
            ready: BTreeSet::new(),
            by_length: BTreeSet::new(),
            idle: BTreeSet::new(),
            virtual_now: 0,
            in_service_max,
            estimate: INITIAL_ESTIMATE,
        }
    }

    pub(super) fn get(&self, key: &K) -> Option<&Flow<T>> {
        self.flows.get(key)
    }

    /// Returns the flow with the most waiting items for its weight.
    pub(super) fn longest(&self) -> Option<&K> {
        self.by_length.last().map(|(_, key)| key)
    }

    pub(super) fn estimate(&self, key: &K) -> Duration {
        let own = self.flows.get(key).and_then(|flow| flow.estimate);
        own.unwrap_or(self.estimate)
    }

    pub(super) fn set_in_service_max(&mut self, max: usize) {
        self.in_service_max = max;
        let keys: Vec<K> = self.flows.keys().cloned().collect();
        for key in &keys {
            self.unindex(key);
            self.index(key);
        }
    }

    /// Appends an item to its flow.
    pub(super) fn enqueue(
        &mut self,
        key: &K,
        weight: NonZeroU32,
        number: u64,
        deadline: Moment,
        item: T,
    ) {
        self.unindex(key);
        let now = self.virtual_now;
        let flow = self.flows.entry(key.clone()).or_insert_with(|| Flow {
            waiting: BTreeMap::new(),
            in_service: 0,
            weight,
            tag: now,
            active_since: now,
            estimate: None,
        });
        flow.weight = weight;
        if flow.waiting.is_empty() && flow.tag < now {
            flow.tag = now;
            flow.active_since = now;
        }
        flow.waiting.insert(number, Waiting { deadline, item });
        self.index(key);
    }

    /// Removes an item without serving it.
    pub(super) fn remove(&mut self, key: &K, number: u64) -> Option<T> {
        self.unindex(key);
        let flow = self.flows.get_mut(key)?;
        let waiting = flow.waiting.remove(&number);
        self.index(key);
        waiting.map(|waiting| waiting.item)
    }

    /// Removes the first item of the flow with the lowest tag to be served.
    pub(super) fn dispatch(&mut self) -> Option<Dispatched<K, T>> {
        let (tag, key) = self.ready.first()?.clone();
        self.unindex(&key);
        self.virtual_now = self.virtual_now.max(tag);
        let charged = self.estimate(&key);
        let flow = self.flows.get_mut(&key)?;
        let (number, waiting) = flow.waiting.pop_first()?;
        flow.in_service += 1;
        flow.tag += virtual_time(charged, flow.weight);
        let weight = flow.weight;
        self.index(&key);
        Some(Dispatched {
            flow: key,
            number,
            weight,
            deadline: waiting.deadline,
            charged,
            item: waiting.item,
        })
    }

    /// Replaces the charge for an item in service by its actual service time.
    pub(super) fn adjust_charge(
        &mut self,
        key: &K,
        weight: NonZeroU32,
        charged: Duration,
        took: Duration,
    ) {
        self.unindex(key);
        if let Some(flow) = self.flows.get_mut(key) {
            let tag = flow.tag + virtual_time(took, weight);
            flow.tag = tag
                .saturating_sub(virtual_time(charged, weight))
                .max(flow.active_since);
        }
        self.index(key);
    }

    /// Ends the service of an item and updates the estimates.
    pub(super) fn complete(&mut self, key: &K, took: Duration) {
        self.unindex(key);
        self.estimate = average(self.estimate, took);
        if let Some(flow) = self.flows.get_mut(key) {
            assert!(
                flow.in_service > 0,
                "more services of a flow ended than began"
            );
            flow.in_service -= 1;
            flow.estimate = Some(flow.estimate.map_or(took, |former| average(former, took)));
        }
        self.index(key);
        self.evict_idle();
    }

    fn unindex(&mut self, key: &K) {
        let Some(flow) = self.flows.get(key) else {
            return;
        };
        self.ready.remove(&(flow.tag, key.clone()));
        self.by_length
            .remove(&(flow.weighted_length(), key.clone()));
        self.idle.remove(&(flow.tag, key.clone()));
    }

    fn index(&mut self, key: &K) {
        let Some(flow) = self.flows.get(key) else {
            return;
        };
        if flow.is_idle() {
            self.idle.insert((flow.tag, key.clone()));
        }
        if flow.waiting.is_empty() {
            return;
        }
        self.by_length.insert((flow.weighted_length(), key.clone()));
        if flow.in_service < self.in_service_max {
            self.ready.insert((flow.tag, key.clone()));
        }
    }

    /// Drops idle flows beyond the limit, except those whose tag is ahead of virtual time: they would
    /// lose the charge for service received.
    fn evict_idle(&mut self) {
        while self.idle.len() > IDLE_FLOWS_MAX {
            let Some((tag, key)) = self.idle.first().cloned() else {
                return;
            };
            if tag > self.virtual_now {
                return;
            }
            self.idle.remove(&(tag, key.clone()));
            self.flows.remove(&key);
        }
    }
}

fn virtual_time(service: Duration, weight: NonZeroU32) -> VirtualTime {
    (service.as_nanos() << FRACTION_BITS) / u128::from(weight.get())
}

fn average(former: Duration, latest: Duration) -> Duration {
    (former * (AVERAGE_DIVISOR - 1) + latest) / AVERAGE_DIVISOR
}
