//! The flows of a fair queue: their items, tags and estimates.

use crate::Moment;
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    num::NonZeroU32,
    time::Duration, //
};

/// Flows without items that are remembered for their estimates.
const IDLE_FLOWS_MAX: usize = 4_096;

/// Service time that is expected before anything has been measured.
const FIRST_ESTIMATE: Duration = Duration::from_millis(1);

/// Part of the latest measurement in the moving average, as a divisor.
const AVERAGE_DIVISOR: u32 = 4;

/// Binary digits after the point of a [`VirtualTime`].
const FRACTION_BITS: u32 = 32;

/// Service time divided by weight, in nanoseconds with [`FRACTION_BITS`] digits after the point.
type VirtualTime = u128;

/// An item that waits.
#[derive(Debug)]
pub(super) struct Waiting<T> {
    pub(super) deadline: Moment,
    item: T,
}

/// One flow.
#[derive(Debug)]
pub(super) struct Flow<T> {
    pub(super) waiting: BTreeMap<u64, Waiting<T>>,
    in_service: usize,
    weight: NonZeroU32,
    /// Virtual time at which the next item starts.
    tag: VirtualTime,
    /// Virtual time at which the flow was last taken up; no correction goes behind it, so that a
    /// flow gains nothing from the time in which it asked for nothing.
    joined: VirtualTime,
    estimate: Option<Duration>,
}

impl<T> Flow<T> {
    /// Returns the number of waiting items for the weight.
    pub(super) fn share(&self) -> u128 {
        Self::share_of(self.waiting.len(), self.weight)
    }

    /// Returns what [`Flow::share`] is for a length and a weight.
    pub(super) fn share_of(length: usize, weight: NonZeroU32) -> u128 {
        ((length as u128) << FRACTION_BITS) / u128::from(weight.get())
    }

    fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.in_service == 0
    }
}

/// An item that left its flow to be served.
pub(super) struct Dispatched<K, T> {
    pub(super) flow: K,
    pub(super) number: u64,
    pub(super) weight: NonZeroU32,
    pub(super) deadline: Moment,
    pub(super) charged: Duration,
    pub(super) item: T,
}

/// All flows, and the orders in which they are looked up.
#[derive(Debug)]
pub(super) struct FlowTable<K, T> {
    flows: BTreeMap<K, Flow<T>>,
    ready: BTreeSet<(VirtualTime, K)>,
    lengths: BTreeSet<(u128, K)>,
    idle: BTreeSet<(VirtualTime, K)>,
    now: VirtualTime,
    in_service_max: usize,
    estimate: Duration,
}

impl<K: Clone + Ord, T> FlowTable<K, T> {
    pub(super) fn new(in_service_max: usize) -> Self {
        Self {
            flows: BTreeMap::new(),
            ready: BTreeSet::new(),
            lengths: BTreeSet::new(),
            idle: BTreeSet::new(),
            now: 0,
            in_service_max,
            estimate: FIRST_ESTIMATE,
        }
    }

    pub(super) fn get(&self, key: &K) -> Option<&Flow<T>> {
        self.flows.get(key)
    }

    /// Returns the flow with most items for its weight.
    pub(super) fn longest(&self) -> Option<&K> {
        self.lengths.last().map(|(_, key)| key)
    }

    pub(super) fn estimate(&self, key: &K) -> Duration {
        let own = self.flows.get(key).and_then(|flow| flow.estimate);
        own.unwrap_or(self.estimate)
    }

    pub(super) fn set_in_service_max(&mut self, max: usize) {
        self.in_service_max = max;
        let keys: Vec<K> = self.flows.keys().cloned().collect();
        for key in &keys {
            self.unlist(key);
            self.list(key);
        }
    }

    /// Puts an item at the end of its flow.
    pub(super) fn enqueue(
        &mut self,
        key: &K,
        weight: NonZeroU32,
        number: u64,
        deadline: Moment,
        item: T,
    ) {
        self.unlist(key);
        let now = self.now;
        let flow = self.flows.entry(key.clone()).or_insert_with(|| Flow {
            waiting: BTreeMap::new(),
            in_service: 0,
            weight,
            tag: now,
            joined: now,
            estimate: None,
        });
        flow.weight = weight;
        if flow.waiting.is_empty() && flow.tag < now {
            flow.tag = now;
            flow.joined = now;
        }
        flow.waiting.insert(number, Waiting { deadline, item });
        self.list(key);
    }

    /// Takes an item out without serving it.
    pub(super) fn withdraw(&mut self, key: &K, number: u64) -> Option<T> {
        self.unlist(key);
        let flow = self.flows.get_mut(key)?;
        let waiting = flow.waiting.remove(&number);
        self.list(key);
        waiting.map(|waiting| waiting.item)
    }

    /// Takes the first item of the flow with the least tag out to be served.
    pub(super) fn dispatch(&mut self) -> Option<Dispatched<K, T>> {
        let (tag, key) = self.ready.first()?.clone();
        self.unlist(&key);
        self.now = self.now.max(tag);
        let charged = self.estimate(&key);
        let flow = self.flows.get_mut(&key)?;
        let (number, waiting) = flow.waiting.pop_first()?;
        flow.in_service += 1;
        flow.tag += virtual_time(charged, flow.weight);
        let weight = flow.weight;
        self.list(&key);
        Some(Dispatched {
            flow: key,
            number,
            weight,
            deadline: waiting.deadline,
            charged,
            item: waiting.item,
        })
    }

    /// Replaces what was charged for an item in service by what it took.
    pub(super) fn correct(
        &mut self,
        key: &K,
        weight: NonZeroU32,
        charged: Duration,
        took: Duration,
    ) {
        self.unlist(key);
        if let Some(flow) = self.flows.get_mut(key) {
            let tag = flow.tag + virtual_time(took, weight);
            flow.tag = tag
                .saturating_sub(virtual_time(charged, weight))
                .max(flow.joined);
        }
        self.list(key);
    }

    /// Ends the service of an item and learns from the time it took.
    pub(super) fn complete(&mut self, key: &K, took: Duration) {
        self.unlist(key);
        self.estimate = average(self.estimate, took);
        if let Some(flow) = self.flows.get_mut(key) {
            assert!(flow.in_service > 0, "a flow ended more than it began");
            flow.in_service -= 1;
            flow.estimate = Some(flow.estimate.map_or(took, |former| average(former, took)));
        }
        self.list(key);
        self.forget_idle();
    }

    fn unlist(&mut self, key: &K) {
        let Some(flow) = self.flows.get(key) else {
            return;
        };
        self.ready.remove(&(flow.tag, key.clone()));
        self.lengths.remove(&(flow.share(), key.clone()));
        self.idle.remove(&(flow.tag, key.clone()));
    }

    fn list(&mut self, key: &K) {
        let Some(flow) = self.flows.get(key) else {
            return;
        };
        if flow.is_idle() {
            self.idle.insert((flow.tag, key.clone()));
        }
        if flow.waiting.is_empty() {
            return;
        }
        self.lengths.insert((flow.share(), key.clone()));
        if flow.in_service < self.in_service_max {
            self.ready.insert((flow.tag, key.clone()));
        }
    }

    /// Drops idle flows past the bound, but none that still owes service.
    fn forget_idle(&mut self) {
        while self.idle.len() > IDLE_FLOWS_MAX {
            let Some((tag, key)) = self.idle.first().cloned() else {
                return;
            };
            if tag > self.now {
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
