//! This instance's share of each database's connections.

use daisyseam_model::{
    FleetView,
    Incarnation,
    InstanceId,
    UpstreamView, //
};
use std::{
    collections::HashMap,
    time::Duration, //
};
use tokio::time::Instant;

/// Tenths of a database's connections that are divided among the instances in the view.
const SHARED_TENTHS: usize = 9;

/// Number of connections that an instance may use even if its share is smaller: one held by a
/// transaction, and one for other sessions.
const MIN_OPEN: usize = 2;

/// Time for which a database may still count the connections of a departed instance.
const DEPARTED_GRACE: Duration = Duration::from_millis(4_000);

/// Limits on an instance's connections to a database.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct ConnectionBudget {
    /// The instance's share; connections released above it are closed.
    pub(super) share: usize,
    /// Maximum number of connections. Above the share, the database decides whether it admits them.
    pub(super) max_open: usize,
}

/// The instances that the connections of each database are divided among.
///
/// An instance that left the view without announcing it still counts for a while, and so does the
/// former incarnation of a restarted one: a database drops the connections of an unresponsive
/// client only after some time.
#[derive(Debug, Default)]
pub(super) struct ConnectionShares {
    present: HashMap<InstanceId, PresentInstance>,
    /// When each departed instance was first found missing.
    departed: Vec<Instant>,
}

#[derive(Debug)]
struct PresentInstance {
    incarnation: Incarnation,
    leaving: bool,
}

impl ConnectionShares {
    /// Updates the instances from a view.
    pub(super) fn apply(&mut self, view: &FleetView, now: Instant) {
        self.departed
            .retain(|missing_since| now < *missing_since + DEPARTED_GRACE);
        let former = std::mem::take(&mut self.present);
        for (name, instance) in former {
            let current = view.instances.get(&name);
            let stays = current.is_some_and(|current| current.incarnation == instance.incarnation);
            // A leaving instance closes its connections before it exits.
            if !stays && !instance.leaving {
                self.departed.push(now);
            }
        }
        let present = view.instances.iter().map(|(name, instance)| {
            let present = PresentInstance {
                incarnation: instance.incarnation,
                leaving: instance.leaving,
            };
            (name.clone(), present)
        });
        self.present = present.collect();
    }

    /// Returns this instance's connection budget for a database at `now`.
    pub(super) fn budget(
        &self,
        view: &FleetView,
        upstream_view: &UpstreamView,
        now: Instant,
    ) -> ConnectionBudget {
        let document = view.document.as_ref();
        let group = document.and_then(|document| document.groups.get(&upstream_view.group));
        let slots = group.map_or(0, |group| group.slots);
        let present = self.present.len().max(view.instances.len()).max(1);
        let departed = self
            .departed
            .iter()
            .filter(|missing_since| now < **missing_since + DEPARTED_GRACE);
        let counted = present + departed.count();
        let shared = (slots * SHARED_TENTHS / 10).max(1);
        let share = (shared / present).min(slots / counted);
        ConnectionBudget {
            share,
            max_open: share.max(MIN_OPEN.min(slots)).max(1),
        }
    }
}
