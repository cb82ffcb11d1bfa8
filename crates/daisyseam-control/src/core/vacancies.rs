//! Databases that were taken off the list are forgotten after long.
//!
//! One that was silent may run on and receive commits that count, and one that was gone may start
//! again, both unheard by control. Elections count its place until it announces itself, another one
//! does so at its address, or it has not been heard of for long.

use super::ControlCore;
use daisyseam_coord::{
    Moment,
    fleet::FleetCommand, //
};
use std::time::Duration;

/// Time after which a database that is on the list no more counts as gone for good.
const FORGET_AFTER: Duration = Duration::from_secs(60);

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
        leader.vacant.retain(|name, _| names.contains(name));
        for name in names {
            let since = *leader.vacant.entry(name.clone()).or_insert(now);
            if now.since(since) >= FORGET_AFTER {
                log::info!("database {name} is forgotten");
                return self.propose_upkeep(now, &FleetCommand::ForgetUpstream(name));
            }
        }
    }
}
