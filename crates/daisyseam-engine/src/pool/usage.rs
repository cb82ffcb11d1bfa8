//! How much of a database the organisations have used recently.

#[cfg(test)]
mod tests;

use daisyseam_model::OrganisationId;
use std::{
    collections::HashMap,
    time::Duration, //
};
use tokio::time::Instant;

/// Time after which a request counts half.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Usage below which an organisation is forgotten.
const NEGLIGIBLE: f64 = 0.01;

/// Number of organisations above which those with a negligible usage are forgotten.
const PRUNED_LEN: usize = 256;

/// Number of requests served for each organisation, of which older ones count less.
#[derive(Debug, Default)]
pub(super) struct RecentUsage {
    used: HashMap<Option<OrganisationId>, (f64, Instant)>,
}

impl RecentUsage {
    /// Counts a request that is served at `now`.
    pub(super) fn record(&mut self, organisation: Option<&OrganisationId>, now: Instant) {
        if self.used.len() > PRUNED_LEN {
            self.used
                .retain(|_, (used, since)| decayed(*used, *since, now) > NEGLIGIBLE);
        }
        let entry = self.used.entry(organisation.cloned()).or_insert((0.0, now));
        *entry = (decayed(entry.0, entry.1, now) + 1.0, now);
    }

    /// Returns the usage of an organisation at `now`.
    pub(super) fn of(&self, organisation: &Option<OrganisationId>, now: Instant) -> f64 {
        let used = self.used.get(organisation);
        used.map_or(0.0, |(used, since)| decayed(*used, *since, now))
    }
}

fn decayed(used: f64, since: Instant, now: Instant) -> f64 {
    let elapsed = now.saturating_duration_since(since);
    used * 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64())
}
