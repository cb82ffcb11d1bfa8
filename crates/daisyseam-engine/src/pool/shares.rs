//! How many of a database's connections this instance may have.

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

/// Part of a database's connections that the instances in the view share out, in tenths.
const SHARED_TENTHS: usize = 9;

/// Least number of connections in use that an instance may have where its share is smaller: one that
/// a transaction keeps, and one for others.
const IN_USE_MIN: usize = 2;

/// Time for which a database may still count the connections of an instance that is gone.
const LINGER: Duration = Duration::from_millis(4_000);

/// How many connections to a database an instance may have.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct ConnectionBudget {
    /// The instance's share: with more, those that come back are closed.
    pub(super) kept: usize,
    /// Most in use. Beyond the share the database decides whether it has room.
    pub(super) most: usize,
}

/// The instances among which the connections of each database are shared out.
///
/// One that has left the view without saying so counts for a while, as has a former incarnation of
/// one that came back: a database drops connections whose far end is dark only after some time.
#[derive(Debug, Default)]
pub(super) struct ConnectionShares {
    present: HashMap<InstanceId, PresentInstance>,
    /// With the moment at which each was missed.
    gone: Vec<Instant>,
}

#[derive(Debug)]
struct PresentInstance {
    incarnation: Incarnation,
    leaving: bool,
}

impl ConnectionShares {
    /// Learns who is there.
    pub(super) fn apply(&mut self, view: &FleetView, now: Instant) {
        self.gone.retain(|missed| now < *missed + LINGER);
        let former = std::mem::take(&mut self.present);
        for (name, instance) in former {
            let named = view.instances.get(&name);
            let stays = named.is_some_and(|named| named.incarnation == instance.incarnation);
            // One that leaves closes its connections before it ends.
            if !stays && !instance.leaving {
                self.gone.push(now);
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

    /// Returns how many connections to a database this instance may have at a moment.
    pub(super) fn budget(
        &self,
        view: &FleetView,
        named: &UpstreamView,
        now: Instant,
    ) -> ConnectionBudget {
        let document = view.document.as_ref();
        let group = document.and_then(|document| document.groups.get(&named.group));
        let slots = group.map_or(0, |group| group.slots);
        let present = self.present.len().max(view.instances.len()).max(1);
        let gone = self.gone.iter().filter(|missed| now < **missed + LINGER);
        let all = present + gone.count();
        let shared = (slots * SHARED_TENTHS / 10).max(1);
        let kept = (shared / present).min(slots / all);
        ConnectionBudget {
            kept,
            most: kept.max(IN_USE_MIN.min(slots)).max(1),
        }
    }
}
