//! This instance's share of each database's connections.

#[cfg(test)]
mod tests;

use daisyseam_coord::membership::{
    RANKED_HOLDERS,
    ranked_holders, //
};
use daisyseam_model::{
    FleetView,
    Incarnation,
    InstanceId,
    UpstreamId,
    UpstreamView,
    ViewNumber, //
};
use smallvec::SmallVec;
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

/// Number of connections that an instance other than the holders may use while none of those
/// serves it.
const MIN_OPEN_WITHOUT_SHARE: usize = 1;

/// Percentage of a database's connections that the holder of each rank may open.
const RANK_PERCENT: [usize; RANKED_HOLDERS] = [74, 12, 6];

/// Time for which a database may still count the connections of a departed instance, and after
/// which an instance that is new in the view is chosen as a holder.
const DEPARTED_GRACE: Duration = Duration::from_millis(4_000);

/// Limits on an instance's connections to a database.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct ConnectionBudget {
    /// The instance's share; connections released above it are closed.
    pub(super) share: usize,
    /// Maximum number of connections. Above the share, the database decides whether it admits them.
    pub(super) max_open: usize,
    /// Whether this instance holds the connections for others too.
    pub(super) is_held: bool,
}

/// The instances that hold connections to a database, most preferred first.
pub(crate) type HolderList = SmallVec<[InstanceId; RANKED_HOLDERS]>;

/// Who opens the connections to a database, and how many this instance may open.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct ConnectionPlan {
    pub(super) budget: ConnectionBudget,
    /// The holders; empty if every instance opens its own connections.
    pub(super) holders: HolderList,
}

/// The instances that the connections of each database are divided among.
///
/// An instance that left the view without announcing it still counts for a while, and so does the
/// former incarnation of a restarted one: a database drops the connections of an unresponsive
/// client only after some time.
#[derive(Debug, Default)]
pub(super) struct ConnectionShares {
    /// This instance, if it can use connections of other instances.
    own: Option<InstanceId>,
    present: HashMap<InstanceId, PresentInstance>,
    /// When each departed instance was first found missing.
    departed: Vec<Instant>,
    held: HashMap<UpstreamId, HeldShare>,
}

#[derive(Debug)]
struct PresentInstance {
    incarnation: Incarnation,
    leaving: bool,
    /// When it was first found in a view; `None` if in the first view, and for this instance.
    new_since: Option<Instant>,
}

/// The holders of a database and this instance's share as one of them.
#[derive(Debug)]
struct HeldShare {
    view: ViewNumber,
    /// When the holders may change without a new view.
    valid_until: Option<Instant>,
    holders: HolderList,
    share: usize,
    /// The share to which it rises, and since when that has been so. A lower share holds at once.
    rising: Option<(usize, Instant)>,
}

impl ConnectionShares {
    /// Creates shares without instances; `own` is this instance if it can use connections that
    /// other instances hold.
    pub(super) fn new(own: Option<InstanceId>) -> Self {
        Self {
            own,
            ..Self::default()
        }
    }

    /// Updates the instances from a view.
    pub(super) fn apply(&mut self, view: &FleetView, now: Instant) {
        self.departed
            .retain(|missing_since| now < *missing_since + DEPARTED_GRACE);
        self.held
            .retain(|upstream, _| view.upstreams.contains_key(upstream));
        let first_view = self.present.is_empty();
        let mut former = std::mem::take(&mut self.present);
        for (name, instance) in &view.instances {
            let known = former.remove(name);
            let known = known.filter(|known| {
                let stays = known.incarnation == instance.incarnation;
                if !stays && !known.leaving {
                    self.departed.push(now);
                }
                stays
            });
            let is_new = !first_view && self.own.as_ref() != Some(name);
            let present = PresentInstance {
                incarnation: instance.incarnation,
                leaving: instance.leaving,
                new_since: match known {
                    Some(known) => known.new_since,
                    None => is_new.then_some(now),
                },
            };
            self.present.insert(name.clone(), present);
        }
        // A leaving instance closes its connections before it exits.
        let departed = former.values().filter(|instance| !instance.leaving);
        self.departed.extend(departed.map(|_| now));
    }

    /// Returns who opens the connections to a database at `now`.
    pub(super) fn plan(
        &mut self,
        view: &FleetView,
        upstream: &UpstreamId,
        upstream_view: &UpstreamView,
        now: Instant,
    ) -> ConnectionPlan {
        let slots = slots(view, upstream_view);
        if self.own.is_some() {
            let held = self.held_share(view, upstream, upstream_view, slots, now);
            if !held.holders.is_empty() {
                return ConnectionPlan {
                    budget: ConnectionBudget {
                        share: held.share,
                        max_open: held.share.max(MIN_OPEN_WITHOUT_SHARE),
                        is_held: true,
                    },
                    holders: held.holders.clone(),
                };
            }
        }
        let even = self.even_share(view, slots, now);
        ConnectionPlan {
            budget: ConnectionBudget {
                share: even,
                max_open: even.max(MIN_OPEN.min(slots)).max(1),
                is_held: false,
            },
            holders: HolderList::new(),
        }
    }

    /// Returns the share of a database's connections if they are divided among all instances.
    fn even_share(&self, view: &FleetView, slots: usize, now: Instant) -> usize {
        let present = self.present.len().max(view.instances.len()).max(1);
        let departed = self
            .departed
            .iter()
            .filter(|missing_since| now < **missing_since + DEPARTED_GRACE);
        let counted = present + departed.count();
        let shared = (slots * SHARED_TENTHS / 10).max(1);
        (shared / present).min(slots / counted)
    }

    fn held_share(
        &mut self,
        view: &FleetView,
        upstream: &UpstreamId,
        upstream_view: &UpstreamView,
        slots: usize,
        now: Instant,
    ) -> &HeldShare {
        let known = self.held.get(upstream);
        let is_current = known.is_some_and(|known| {
            let expired = known.valid_until.is_some_and(|until| until <= now);
            known.view == view.number && !expired
        });
        if !is_current {
            let ranked = ranked_holders(
                view,
                upstream,
                &upstream_view.data_centre,
                |name, instance| self.is_settled(name, instance.incarnation, now),
            );
            let holders: HolderList = ranked.into_iter().cloned().collect();
            let rank = holders
                .iter()
                .position(|holder| Some(holder) == self.own.as_ref());
            let wanted = rank.map_or(0, |rank| (slots * RANK_PERCENT[rank] / 100).max(1));
            let settles_at = self.next_settled_at(now);
            let next = HeldShare::next(known, wanted, now);
            let held = HeldShare {
                view: view.number,
                valid_until: earliest(settles_at, next.rises_at()),
                holders,
                ..next
            };
            self.held.insert(upstream.clone(), held);
        }
        // Inserted above if it was missing.
        &self.held[upstream]
    }

    fn is_settled(&self, name: &InstanceId, incarnation: Incarnation, now: Instant) -> bool {
        let present = self.present.get(name);
        present.is_some_and(|present| {
            let is_new = present
                .new_since
                .is_some_and(|since| now < since + DEPARTED_GRACE);
            present.incarnation == incarnation && !is_new
        })
    }

    /// Returns when the next instance that is new in the view may be chosen as a holder.
    fn next_settled_at(&self, now: Instant) -> Option<Instant> {
        let new = self
            .present
            .values()
            .filter_map(|present| present.new_since);
        let settled = new.map(|since| since + DEPARTED_GRACE);
        settled.filter(|settled_at| *settled_at > now).min()
    }
}

impl HeldShare {
    /// Returns the share that follows from a former one.
    ///
    /// A share rises only some time after it should, so that the connections of the instance that
    /// had it before are gone. The first share of a process holds at once.
    fn next(former: Option<&Self>, wanted: usize, now: Instant) -> Self {
        let mut next = Self {
            view: ViewNumber::default(),
            valid_until: None,
            holders: HolderList::new(),
            share: wanted,
            rising: None,
        };
        let Some(former) = former.filter(|former| wanted > former.share) else {
            return next;
        };
        let rising = former.rising.filter(|(share, _)| *share == wanted);
        let since = rising.map_or(now, |(_, since)| since);
        if now < since + DEPARTED_GRACE {
            next.share = former.share;
            next.rising = Some((wanted, since));
        }
        next
    }

    fn rises_at(&self) -> Option<Instant> {
        self.rising.map(|(_, since)| since + DEPARTED_GRACE)
    }
}

fn earliest(first: Option<Instant>, second: Option<Instant>) -> Option<Instant> {
    [first, second].into_iter().flatten().min()
}

/// Returns the number of connections that a database admits.
fn slots(view: &FleetView, upstream_view: &UpstreamView) -> usize {
    let document = view.document.as_ref();
    let group = document.and_then(|document| document.groups.get(&upstream_view.group));
    group.map_or(0, |group| group.slots)
}
