//! Drops databases from the view that announced that they leave and have stopped.

use super::{
    ControlCore,
    holders::is_reached_directly,
    leader::LeaderState, //
};
use daisyseam_coord::{
    Moment,
    fleet::FleetCommand, //
};
use daisyseam_model::{
    FleetView,
    LogPosition,
    UpstreamId,
    UpstreamView, //
};
use std::{
    sync::Arc,
    time::Duration, //
};

/// Time without an announcement after which a leaving database counts as gone.
const GONE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum age of an announcement whose log position counts as current.
const ANNOUNCEMENT_MAX_AGE: Duration = Duration::from_millis(1_500);

impl ControlCore {
    pub(super) fn drop_departed(&mut self, now: Moment) {
        let view = Arc::clone(self.fleet.view());
        let Some(leader) = &mut self.leader else {
            return;
        };
        let leaving = view
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.leaving && !is_reached_directly(&view, upstream));
        let mut gone =
            leaving.filter(|(name, upstream)| leader.is_departed(now, &view, name, upstream));
        // Only one per round: the next one is checked against a view without the first.
        if let Some(name) = gone.next().map(|(name, _)| name.clone()) {
            leader.announced.remove(&name);
            leader.drop_positions.remove(&name);
            log::info!("database {name} has left");
            self.propose_reconcile(now, &FleetCommand::DropUpstream(name));
        }
    }
}

impl LeaderState {
    /// Returns whether a leaving database is gone and no acknowledged write depends on its copy.
    ///
    /// This holds once every other database of the group has reached a position that the primary
    /// had reached after the database went silent.
    fn is_departed(
        &mut self,
        now: Moment,
        view: &FleetView,
        name: &UpstreamId,
        upstream: &UpstreamView,
    ) -> bool {
        let last_seen = self
            .announced
            .get(name)
            .map_or(self.started_at, |known| known.announced_at);
        if now.since(last_seen) < GONE_TIMEOUT && !self.is_gone(name, upstream.born_ms) {
            self.drop_positions.remove(name);
            return false;
        }
        let group = view.groups.get(&upstream.group);
        let primary = group.and_then(|group| group.primary.active());
        let Some(primary) = primary.filter(|primary| *primary != name) else {
            return false;
        };
        let Some(end) = self.current_log_end(now, primary) else {
            return false;
        };
        let target = *self.drop_positions.entry(name.clone()).or_insert(end);
        let mut others = view.members(&upstream.group);
        others.all(|(other, _)| {
            other == name
                || self
                    .current_log_end(now, other)
                    .is_some_and(|end| end >= target)
        })
    }

    fn current_log_end(&self, now: Moment, name: &UpstreamId) -> Option<LogPosition> {
        let known = self.announced.get(name)?;
        (now.since(known.announced_at) < ANNOUNCEMENT_MAX_AGE).then_some(known.state.end)
    }
}
