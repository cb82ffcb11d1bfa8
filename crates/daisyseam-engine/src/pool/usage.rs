//! How much of a database organisations have used recently.

#[cfg(test)]
mod tests;

use crate::urgency::Urgency;
use daisyseam_model::OrganisationId;
use std::{
    collections::HashMap,
    time::Duration, //
};
use tokio::time::Instant;

/// Time after which a request counts half.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Usage below which an entry is forgotten.
const NEGLIGIBLE: f64 = 0.01;

/// Number of entries above which those with a negligible usage are forgotten.
const PRUNED_LEN: usize = 256;

/// Number of requests served for each organisation and urgency, of which older ones count less.
#[derive(Debug, Default)]
pub(super) struct RecentUsage {
    used: HashMap<(Option<OrganisationId>, Urgency), (f64, Instant)>,
}

/// What an organisation has used in one urgency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct UsedPart<'a> {
    pub(super) organisation: Option<&'a OrganisationId>,
    pub(super) urgency: Urgency,
    pub(super) used: f64,
}

impl RecentUsage {
    /// Counts a request that is served at `now`.
    pub(super) fn record(
        &mut self,
        organisation: Option<&OrganisationId>,
        urgency: Urgency,
        now: Instant,
    ) {
        if self.used.len() > PRUNED_LEN {
            self.used
                .retain(|_, (used, since)| decayed(*used, *since, now) > NEGLIGIBLE);
        }
        let key = (organisation.cloned(), urgency);
        let entry = self.used.entry(key).or_insert((0.0, now));
        *entry = (decayed(entry.0, entry.1, now) + 1.0, now);
    }

    /// Returns what was used, at `now`.
    pub(super) fn parts(&self, now: Instant) -> impl Iterator<Item = UsedPart<'_>> {
        let parts = self.used.iter();
        parts.map(move |((organisation, urgency), (used, since))| UsedPart {
            organisation: organisation.as_ref(),
            urgency: *urgency,
            used: decayed(*used, *since, now),
        })
    }
}

fn decayed(used: f64, since: Instant, now: Instant) -> f64 {
    let elapsed = now.saturating_duration_since(since);
    used * 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64())
}
