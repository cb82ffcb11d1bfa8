//! Order in which requests that wait for a database are served.

mod order;
#[cfg(test)]
mod tests;

pub(super) use self::order::ShedItem;
use crate::urgency::{
    QueueRule,
    Urgency, //
};
use daisyseam_model::OrganisationId;
use std::collections::{
    BTreeMap,
    VecDeque, //
};
use tokio::time::Instant;

/// Number of requests of one organisation that are served before it is the next one's turn.
const TURN_LENGTH: u32 = 4;

/// Number of times that an organisation without a usable connection is passed over for others that
/// have one.
const MAX_PASSED_OVER: u32 = 4;

/// Number of requests of the most urgent class that are served before one of a less urgent class
/// is, so that less urgent requests get a tenth of a database and none of them starves.
const URGENT_RUN: u32 = 9;

/// Waiting requests, served by urgency, and within one urgency in turn by organisation.
///
/// Opening a connection takes the database as long as a statement, so an organisation that has an
/// idle connection is preferred, a limited number of times, to one that needs a new connection.
#[derive(Debug)]
pub(super) struct WaitQueue<T> {
    classes: BTreeMap<Urgency, UrgencyClass<T>>,
    len: usize,
    /// Number of requests of the most urgent class served in succession while others waited.
    urgent_run: u32,
    /// Number of requests served or added, to compare when classes were last served.
    sequence: u64,
}

/// The requests of one urgency.
#[derive(Debug)]
struct UrgencyClass<T> {
    flows: VecDeque<WaitFlow<T>>,
    /// Sequence number when it was last served or began to wait.
    last_served: u64,
}

#[derive(Debug)]
struct WaitFlow<T> {
    organisation: Option<OrganisationId>,
    items: VecDeque<WaitingItem<T>>,
    /// Number of items served in this turn.
    served: u32,
    /// Number of times that another organisation was preferred.
    passed_over: u32,
}

#[derive(Debug)]
struct WaitingItem<T> {
    number: u64,
    start_by: Instant,
    keep_from: Instant,
    item: T,
}

/// What a request waits with.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitEntry<'a> {
    /// Organisation that it is for.
    pub(super) organisation: Option<&'a OrganisationId>,
    /// Its urgency.
    pub(super) urgency: Urgency,
    /// Rule by which it waits.
    pub(super) rule: QueueRule,
    /// Number that identifies it.
    pub(super) number: u64,
    /// When it must have been served.
    pub(super) start_by: Instant,
    /// From when on it is no longer refused in favour of others.
    pub(super) keep_from: Instant,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            classes: BTreeMap::new(),
            len: 0,
            urgent_run: 0,
            sequence: 0,
        }
    }
}

impl<T> WaitQueue<T> {
    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns the number of waiting requests of each organisation; an organisation may occur
    /// several times.
    pub(super) fn waiting(&self) -> impl Iterator<Item = (Option<&OrganisationId>, usize)> {
        let flows = self.classes.values().flat_map(|class| &class.flows);
        flows.map(|flow| (flow.organisation.as_ref(), flow.items.len()))
    }

    /// Adds a request.
    pub(super) fn push(&mut self, entry: WaitEntry<'_>, item: T) {
        self.len += 1;
        self.sequence += 1;
        // Without a rule of urgency there is one class, whatever older requests wait with.
        let urgency = match entry.rule {
            QueueRule::Turns => Urgency::HIGHEST,
            QueueRule::Urgency => entry.urgency,
        };
        let sequence = self.sequence;
        let class = self.classes.entry(urgency).or_insert_with(|| UrgencyClass {
            flows: VecDeque::new(),
            last_served: sequence,
        });
        let item = WaitingItem {
            number: entry.number,
            start_by: entry.start_by,
            keep_from: entry.keep_from,
            item,
        };
        let mut flows = class.flows.iter_mut();
        let flow = flows.find(|flow| flow.organisation.as_ref() == entry.organisation);
        let Some(flow) = flow else {
            class.flows.push_back(WaitFlow {
                organisation: entry.organisation.cloned(),
                items: VecDeque::from([item]),
                served: 0,
                passed_over: 0,
            });
            return;
        };
        let index = match entry.rule {
            QueueRule::Turns => flow.items.len(),
            QueueRule::Urgency => {
                let mut items = flow.items.iter();
                let earlier = items.rposition(|other| other.start_by <= item.start_by);
                earlier.map_or(0, |earlier| earlier + 1)
            }
        };
        flow.items.insert(index, item);
    }

    /// Removes the requests that are not wanted any more.
    pub(super) fn retain(&mut self, is_wanted: impl Fn(&T) -> bool) {
        for class in self.classes.values_mut() {
            for flow in &mut class.flows {
                flow.items.retain(|waiting| is_wanted(&waiting.item));
            }
            class.flows.retain(|flow| !flow.items.is_empty());
        }
        self.classes.retain(|_, class| !class.flows.is_empty());
        let flows = self.classes.values().flat_map(|class| &class.flows);
        self.len = flows.map(|flow| flow.items.len()).sum();
    }

    /// Removes and returns the next request; `has_idle` tells whether there is an idle connection
    /// for an organisation, and `may_open` whether a new one may be opened.
    pub(super) fn pop(
        &mut self,
        has_idle: impl Fn(Option<&OrganisationId>) -> bool,
        may_open: bool,
    ) -> Option<(Option<OrganisationId>, T)> {
        let due = self.due_class();
        let by_urgency = self.classes.keys().copied();
        let preference: Vec<_> = due.into_iter().chain(by_urgency).collect();
        for urgency in preference {
            let class = self.classes.get_mut(&urgency)?;
            if let Some(next) = class.pop(&has_idle, may_open) {
                self.record_served(urgency);
                return Some(next);
            }
        }
        None
    }

    /// Returns the less urgent class whose turn it is, if any: the one that has waited longest.
    fn due_class(&self) -> Option<Urgency> {
        if self.urgent_run < URGENT_RUN {
            return None;
        }
        let less_urgent = self.classes.iter().skip(1);
        let longest = less_urgent.min_by_key(|(_, class)| class.last_served);
        longest.map(|(urgency, _)| *urgency)
    }

    fn record_served(&mut self, urgency: Urgency) {
        self.len -= 1;
        self.sequence += 1;
        let most_urgent = self.classes.keys().next() == Some(&urgency);
        self.urgent_run = match most_urgent && self.classes.len() > 1 {
            true => self.urgent_run + 1,
            false => 0,
        };
        if let Some(class) = self.classes.get_mut(&urgency) {
            class.last_served = self.sequence;
            if class.flows.is_empty() {
                self.classes.remove(&urgency);
            }
        }
    }
}

impl<T> UrgencyClass<T> {
    fn pop(
        &mut self,
        has_idle: impl Fn(Option<&OrganisationId>) -> bool,
        may_open: bool,
    ) -> Option<(Option<OrganisationId>, T)> {
        let head = self.flows.front()?;
        let is_due = may_open && head.passed_over >= MAX_PASSED_OVER;
        let with_idle = self
            .flows
            .iter()
            .position(|flow| has_idle(flow.organisation.as_ref()));
        let index = match with_idle {
            Some(index) if !is_due => index,
            _ if may_open => 0,
            _ => return None,
        };
        if index > 0 {
            self.flows[0].passed_over += 1;
        }
        self.take(index)
    }

    fn take(&mut self, index: usize) -> Option<(Option<OrganisationId>, T)> {
        let mut flow = self.flows.remove(index)?;
        let item = flow.items.pop_front()?.item;
        flow.served += 1;
        flow.passed_over = 0;
        let organisation = flow.organisation.clone();
        if flow.items.is_empty() {
            return Some((organisation, item));
        }
        if flow.served >= TURN_LENGTH {
            flow.served = 0;

            self.flows.push_back(flow);
        } else {
            self.flows.insert(index, flow);
        }
        Some((organisation, item))
    }
}
