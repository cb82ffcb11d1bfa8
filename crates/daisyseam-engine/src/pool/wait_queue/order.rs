//! Which waiting requests are expected to be served too late, and which are refused for it.

use super::{
    TURN_LENGTH,
    URGENT_RUN,
    UrgencyClass,
    WaitQueue, //
};
use crate::{
    pool::estimate::QueueEstimate,
    urgency::Urgency, //
};
use daisyseam_model::OrganisationId;
use std::{
    collections::VecDeque,
    time::Duration, //
};
use tokio::time::Instant;

/// Largest number of requests refused in one call, which bounds its time: 500 of 1,000 took 0.47 s
/// in an unoptimised build.
pub(super) const MAX_SHED: usize = 64;

/// A request that is refused.
#[derive(Debug)]
pub(in crate::pool) struct ShedItem<T> {
    /// Number that identifies it.
    pub(in crate::pool) number: u64,
    /// The request.
    pub(in crate::pool) item: T,
    /// Time by which the queue is too long.
    pub(in crate::pool) excess: Duration,
}

/// Position of a waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct ItemPlace {
    pub(super) urgency: Urgency,
    pub(super) flow: usize,
    pub(super) item: usize,
}

impl<T> WaitQueue<T> {
    /// Removes and returns the requests to refuse, so that the others are expected to be served in
    /// time.
    ///
    /// A request that is late is helped by refusing one that is served before it: the least urgent
    /// request of the organisation that uses most. One that is more urgent than the late request
    /// is refused only if its organisation uses too much and that of the late one does not, and
    /// only if refusing all less urgent ones of such organisations does not suffice. The late one
    /// itself waits as long as it is in time without the requests of such organisations.
    /// Requests that have waited for long are kept, since a refusal after a long wait is worse for
    /// a caller than an immediate one. If there are very many to refuse, the next calls refuse the
    /// rest.
    pub(in crate::pool) fn shed(&mut self, estimate: &QueueEstimate<'_>) -> Vec<ShedItem<T>> {
        let mut shed = Vec::new();
        let mut order = self.service_order();
        let mut index = 0;
        while let Some(place) = order.get(index).copied()
            && shed.len() < MAX_SHED
        {
            let Some((start_by, _)) = self.times(place) else {
                break;
            };
            let start_at = estimate.start_at(place.urgency, index);
            let victim = match start_at > start_by {
                true => self.victim(&order[..=index], estimate),
                false => None,
            };
            let Some(victim) = victim else {
                index += 1;
                continue;
            };
            let Some(removed) = self.remove(victim) else {
                break;
            };
            shed.push(ShedItem {
                excess: start_at - start_by,
                ..removed
            });
            order = self.service_order();
            index = 0;
        }
        shed
    }

    /// Returns the waiting requests in the order in which they are expected to be served, which
    /// disregards idle connections.
    pub(super) fn service_order(&self) -> Vec<ItemPlace> {
        let mut classes: Vec<_> = self
            .classes
            .iter()
            .map(|(urgency, class)| (class.last_served, class.service_order(*urgency)))
            .collect();
        let mut order = Vec::with_capacity(self.len);
        let (mut urgent_run, mut sequence) = (self.urgent_run, self.sequence);
        loop {
            classes.retain(|(_, places)| !places.is_empty());
            if classes.is_empty() {
                return order;
            }
            let mut chosen = 0;
            if urgent_run >= URGENT_RUN {
                let less_urgent = classes.iter().enumerate().skip(1);
                let longest = less_urgent.min_by_key(|(_, (last_served, _))| *last_served);
                chosen = longest.map_or(0, |(index, _)| index);
            }
            sequence += 1;
            urgent_run = match chosen == 0 && classes.len() > 1 {
                true => urgent_run + 1,
                false => 0,
            };
            classes[chosen].0 = sequence;
            order.extend(classes[chosen].1.pop_front());
        }
    }

    fn times(&self, place: ItemPlace) -> Option<(Instant, Instant)> {
        let flow = self.classes.get(&place.urgency)?.flows.get(place.flow)?;
        let item = flow.items.get(place.item)?;
        Some((item.start_by, item.keep_from))
    }

    /// Returns the request to refuse so that the last of `places` is served earlier.
    fn victim(&self, places: &[ItemPlace], estimate: &QueueEstimate<'_>) -> Option<ItemPlace> {
        let late = places.last()?;
        let ahead = places.len() - 1;
        let (start_by, keep_from) = self.times(*late)?;
        let organisation = self.organisation(*late);
        // Others are not refused for one that has waited for long.
        let is_late = estimate.earliest_start(organisation, late.urgency, ahead) > start_by
            && keep_from > estimate.now();
        let is_moderate = !estimate.is_excessive(organisation);
        let is_late_at = |limit| estimate.start_at_limit(late.urgency, ahead, limit) > start_by;
        let is_candidate = |place: &&ItemPlace| {
            let times = self.times(**place);
            let may_refuse = times.is_some_and(|(_, keep_from)| keep_from > estimate.now());
            let is_more_urgent = place.urgency < late.urgency;
            let is_excessive = || estimate.is_excessive(self.organisation(**place));
            let yields = || is_moderate && is_excessive() && is_late_at(place.urgency);
            may_refuse && (is_late && !is_more_urgent || yields())
        };
        let mut heaviest: Option<(f64, &ItemPlace)> = None;
        for place in places.iter().filter(is_candidate) {
            let organisation = self.organisation(*place);
            let used = estimate.used(organisation);
            let is_heavier = match heaviest {
                None => true,
                Some((most, other)) if self.organisation(*other) == organisation => {
                    used >= most && place.urgency >= other.urgency
                }
                Some((most, _)) => used > most,
            };
            if is_heavier {
                heaviest = Some((used, place));
            }
        }
        heaviest.map(|(_, place)| *place)
    }

    fn organisation(&self, place: ItemPlace) -> Option<&OrganisationId> {
        let class = self.classes.get(&place.urgency)?;
        class.flows.get(place.flow)?.organisation.as_ref()
    }

    fn remove(&mut self, place: ItemPlace) -> Option<ShedItem<T>> {
        let class = self.classes.get_mut(&place.urgency)?;
        let flow = class.flows.get_mut(place.flow)?;
        let removed = flow.items.remove(place.item)?;
        self.len -= 1;
        if flow.items.is_empty() {
            class.flows.remove(place.flow);
        }
        if class.flows.is_empty() {
            self.classes.remove(&place.urgency);
        }
        Some(ShedItem {
            number: removed.number,
            item: removed.item,
            excess: Duration::ZERO,
        })
    }
}

impl<T> UrgencyClass<T> {
    fn service_order(&self, urgency: Urgency) -> VecDeque<ItemPlace> {
        let flows = self.flows.iter().enumerate();
        let mut turns: VecDeque<_> = flows.map(|(index, flow)| (index, 0, flow.served)).collect();
        let mut order = VecDeque::new();
        while let Some((flow, first, served)) = turns.pop_front() {
            let len = self.flows[flow].items.len();
            let turn = usize::try_from(TURN_LENGTH.saturating_sub(served)).unwrap_or(0);
            let next = (first + turn.max(1)).min(len);
            order.extend((first..next).map(|item| ItemPlace {
                urgency,
                flow,
                item,
            }));
            if next < len {
                turns.push_back((flow, next, 0));
            }
        }
        order
    }
}
