//! When waiting requests are expected to be served, and which organisations use too much.

#[cfg(test)]
mod tests;

use super::usage::UsedPart;
use crate::urgency::Urgency;
use daisyseam_model::OrganisationId;
use std::{
    collections::HashMap,
    time::Duration, //
};
use tokio::time::Instant;

/// Factor by which an organisation uses more than the mean of the others for its requests to be
/// refused in favour of less urgent ones of the others.
const EXCESSIVE_FACTOR: f64 = 2.0;

/// Part of a database that less urgent requests get at least; follows from the length of the run
/// of urgent ones in the wait queue.
const MIN_LESS_URGENT_PART: f64 = 0.1;

/// The estimate for the requests that wait for one database at one time.
#[derive(Debug)]
pub(super) struct QueueEstimate<'a> {
    now: Instant,
    /// Mean time between two requests served.
    interval: Duration,
    /// Number of statements that are served before all waiting requests.
    first: usize,
    used: HashMap<Option<&'a OrganisationId>, f64>,
    /// Sum of `used`.
    total: f64,
    /// What was used in each urgency, by all and by the organisations that do not use too much.
    by_urgency: Vec<(Urgency, f64, f64)>,
}

impl<'a> QueueEstimate<'a> {
    /// Creates the estimate from the mean time between two requests served, what was used recently,
    /// and the number of waiting requests of each organisation.
    pub(super) fn new(
        now: Instant,
        interval: Duration,
        parts: impl Iterator<Item = UsedPart<'a>>,
        waiting: impl Iterator<Item = (Option<&'a OrganisationId>, usize)>,
    ) -> Self {
        let parts: Vec<_> = parts.collect();
        let mut used: HashMap<_, f64> = HashMap::new();
        for part in &parts {
            *used.entry(part.organisation).or_default() += part.used;
        }
        for (organisation, waiting) in waiting {
            *used.entry(organisation).or_default() += waiting as f64;
        }
        let mut estimate = Self {
            now,
            interval,
            first: 0,
            total: used.values().sum(),
            used,
            by_urgency: Vec::new(),
        };
        for part in parts {
            let moderate = match estimate.is_excessive(part.organisation) {
                true => 0.0,
                false => part.used,
            };
            let mut known = estimate.by_urgency.iter_mut();
            match known.find(|(urgency, ..)| *urgency == part.urgency) {
                Some((_, all, by_moderate)) => {
                    *all += part.used;
                    *by_moderate += moderate;
                }
                None => estimate
                    .by_urgency
                    .push((part.urgency, part.used, moderate)),
            }
        }
        estimate
    }

    /// Sets the number of statements that are served before all waiting requests.
    pub(super) fn after(mut self, first: usize) -> Self {
        self.first = first;
        self
    }

    /// Returns the time for which the estimate holds.
    pub(super) fn now(&self) -> Instant {
        self.now
    }

    /// Returns what an organisation uses, including what it waits for.
    pub(super) fn used(&self, organisation: Option<&OrganisationId>) -> f64 {
        self.used.get(&organisation).copied().unwrap_or_default()
    }

    /// Returns whether an organisation uses several times as much as the others do on average.
    pub(super) fn is_excessive(&self, organisation: Option<&OrganisationId>) -> bool {
        let used = self.used(organisation);
        let others = self.used.len().saturating_sub(1);
        others > 0 && used * others as f64 >= (self.total - used) * EXCESSIVE_FACTOR
    }

    /// Returns when a request is expected to be served if `ahead` waiting requests are served
    /// before it, and more urgent requests continue to arrive as they do.
    pub(super) fn start_at(&self, urgency: Urgency, ahead: usize) -> Instant {
        self.start_without(urgency, ahead, |_| false)
    }

    /// Returns when a request is expected to be served if those that arrive of organisations that
    /// use too much, and are less urgent than `limit`, are refused in its favour.
    pub(super) fn start_at_limit(&self, urgency: Urgency, ahead: usize, limit: Urgency) -> Instant {
        self.start_without(urgency, ahead, |other| other > limit)
    }

    /// Returns when a request is expected to be served if all those that arrive of organisations
    /// that use too much are refused in its favour.
    pub(super) fn earliest_start(
        &self,
        organisation: Option<&OrganisationId>,
        urgency: Urgency,
        ahead: usize,
    ) -> Instant {
        let is_moderate = !self.is_excessive(organisation);
        self.start_without(urgency, ahead, |_| is_moderate)
    }

    /// Returns when a request is expected to be served if those that arrive of organisations that
    /// use too much are refused in the selected urgencies.
    fn start_without(
        &self,
        urgency: Urgency,
        ahead: usize,
        is_refused: impl Fn(Urgency) -> bool,
    ) -> Instant {
        let (mut more_urgent, mut all) = (0.0, 0.0);
        for (other, by_all, by_moderate) in &self.by_urgency {
            all += by_all;
            if *other < urgency {
                more_urgent += match is_refused(*other) {
                    true => by_moderate,
                    false => by_all,
                };
            }
        }
        let part = if all > 0.0 { more_urgent / all } else { 0.0 };
        let rate = (1.0 - part).max(MIN_LESS_URGENT_PART);
        // Those before it and one of those that run must end.
        let ahead = ahead.saturating_add(self.first).saturating_add(1);
        let rounds = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.now + self.interval.saturating_mul(rounds).div_f64(rate)
    }
}
