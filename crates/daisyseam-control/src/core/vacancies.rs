//! Forgets databases that were dropped from the view long ago.
//!
//! A silent database may keep running and receive commits that count as acknowledged, and a stopped
//! one may start again, in both cases without control hearing of it. Elections therefore count a
//! dropped database as a missing member until it announces itself, another database announces
//! itself at its address, or it has not been heard from for [`VACANT_RETENTION`].

use super::ControlCore;
use daisyseam_coord::{
    Moment,
    fleet::FleetCommand, //
};
use std::time::Duration;

/// Time after which a database that was dropped from the view counts as permanently lost.
const VACANT_RETENTION: Duration = Duration::from_secs(60);

impl ControlCore {
    pub(super) fn forget_vacant(&mut self, now: Moment) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let names: Vec<_> = self
            .fleet
            .dropped_upstreams()
            .map(|(name, _)| name.clone())
            .collect();
        leader.vacant_since.retain(|name, _| names.contains(name));
        for name in names {
            let since = *leader.vacant_since.entry(name.clone()).or_insert(now);
            if now.since(since) >= VACANT_RETENTION {
                log::info!("forgetting database {name}");
                return self.propose_reconcile(now, &FleetCommand::ForgetUpstream(name));
            }
        }
    }
}
