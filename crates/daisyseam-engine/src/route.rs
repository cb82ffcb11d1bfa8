//! Selection of the database that a call is sent to.

use crate::{
    DatabaseConnector,
    counters,
    health::HealthTable,
    pool::ConnectionPool, //
};
use daisyseam_coord::{
    Moment,
    read_route::{
        ReadCandidate,
        ReadShares,
        cheapest, //
    },
    route::RouteDistance, //
};
use daisyseam_member::{
    HeldView,
    ViewCell, //
};
use daisyseam_model::{
    DataCentreId,
    ErrorKind,
    FleetView,
    GroupId,
    LogPosition,
    PrimaryState,
    RegionId,
    Term,
    UpstreamId,
    UpstreamView,
    document::ReadCosts, //
};
use daisyseam_runtime::{
    MetricClient,
    TimerService, //
};
use parking_lot::Mutex;
use smallvec::SmallVec;
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::time::Instant;

/// The databases that an operation has already been tried on.
pub(crate) type TriedUpstreams = SmallVec<[UpstreamId; 4]>;

/// The database that a call is sent to.
#[derive(Clone, Debug)]
pub(crate) struct Route {
    /// The view that the route was chosen from.
    pub(crate) held: Arc<HeldView>,
    /// The database.
    pub(crate) upstream: UpstreamId,
    /// Its group.
    pub(crate) group: GroupId,
    /// The group's term if the call needs the primary, otherwise `None`.
    pub(crate) term: Option<Term>,
}

impl Route {
    /// Returns the view's entry of the database.
    pub(crate) fn upstream_view(&self) -> Option<&UpstreamView> {
        self.held.view.upstreams.get(&self.upstream)
    }
}

/// What the primary is used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PrimaryUse {
    /// Reads, which a planned move does not block.
    Reads,
    /// Writes.
    Writes,
}

/// Which commits a read must see, and where it may run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct ReadFloor {
    /// Position of the session's last commit.
    pub(crate) own: Option<LogPosition>,
    /// Where it may run.
    pub(crate) target: ReadTarget,
}

/// Where a read may run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum ReadTarget {
    /// On the primary.
    #[default]
    Primary,
    /// On any database whose log has reached the position, if there is one.
    CaughtUp(Option<LogPosition>),
}

/// Returns the primary of a group, including one that is draining for a planned move.
pub(crate) fn current_primary<'a>(view: &'a FleetView, group: &GroupId) -> Option<&'a UpstreamId> {
    match &view.groups.get(group)?.primary {
        PrimaryState::Active(upstream) | PrimaryState::Draining(upstream) => Some(upstream),
        PrimaryState::Fenced => None,
    }
}

/// Returns whether a database is its group's primary in a term, regardless of the lease.
pub(crate) fn leads(view: &FleetView, group: &GroupId, upstream: &UpstreamId, term: Term) -> bool {
    let current_term = view.groups.get(group).map(|group| group.term);
    current_term == Some(term) && current_primary(view, group) == Some(upstream)
}

/// Chooses databases for calls.
pub(crate) struct Router<'a, D: DatabaseConnector> {
    pub(crate) cell: &'a ViewCell,
    pub(crate) timer: &'a TimerService,
    pub(crate) health: &'a HealthTable,
    pub(crate) pool: &'a ConnectionPool<D>,
    pub(crate) data_centre: &'a DataCentreId,
    pub(crate) reads: &'a ReadRouting,
    pub(crate) metrics: &'a MetricClient,
}

/// The shares of reads that leave the nearest database.
#[derive(Debug)]
pub(crate) struct ReadRouting {
    started_at: Instant,
    shares: Mutex<ReadShares>,
}

impl ReadRouting {
    /// Creates the state of an instance that starts now.
    pub(crate) fn new() -> Self {
        Self {
            started_at: Instant::now(),
            shares: Mutex::default(),
        }
    }

    /// Removes the groups that are no longer in the view.
    pub(crate) fn retain(&self, keep: impl Fn(&GroupId) -> bool) {
        self.shares.lock().retain(keep);
    }

    fn choose(
        &self,
        costs: &ReadCosts,
        group: &GroupId,
        candidates: &[ReadCandidate<'_>],
    ) -> Option<usize> {
        let now = Moment::after_origin(self.started_at.elapsed());
        self.shares.lock().choose(now, costs, group, candidates)
    }
}

impl<D: DatabaseConnector> Router<'_, D> {
    /// Waits for a usable primary under a valid lease.
    ///
    /// # Errors
    ///
    /// Returns `NoPrimary`, `NoView` or `UpstreamUnreachable` if there is none by `until`, or if there
    /// is no lease and control is silent.
    pub(crate) async fn wait_for_primary(
        &self,
        group: &GroupId,
        usage: PrimaryUse,
        until: Instant,
    ) -> Result<Route, ErrorKind> {
        let route = match self.usable_primary(group, usage) {
            Ok(route) => route,
            Err(_) => return self.wait_for_usable_primary(group, usage, until).await,
        };
        let view = route.held.view.number;
        match self.health.hold_until(&route.upstream, view) {
            None => Ok(route),
            Some(_) => self.wait_for_usable_primary(group, usage, until).await,
        }
    }

    async fn wait_for_usable_primary(
        &self,
        group: &GroupId,
        usage: PrimaryUse,
        until: Instant,
    ) -> Result<Route, ErrorKind> {
        let mut changes = self.cell.subscribe();
        loop {
            let route = self.usable_primary(group, usage);
            let held = route.as_ref().ok().and_then(|route| {
                let view = route.held.view.number;
                self.health.hold_until(&route.upstream, view)
            });
            let wake_at = match (&route, held) {
                (Ok(_), None) => return route,
                (_, held) => held.unwrap_or(until).min(until),
            };
            if Instant::now() >= until || self.cell.is_cut_off() {
                return Err(route.err().unwrap_or(ErrorKind::UpstreamUnreachable));
            }
            // The cell owns the sender, so this cannot fail.
            tokio::select! {
                biased;
                _ = self.timer.within(wake_at, changes.changed()) => {}
                () = self.cell.cut_off(self.timer) => {}
            }
        }
    }

    /// Returns the primary that is currently usable.
    fn usable_primary(&self, group: &GroupId, usage: PrimaryUse) -> Result<Route, ErrorKind> {
        let held = self.cell.held();
        if !held.is_valid() {
            return Err(ErrorKind::NoView);
        }
        let state = held.view.groups.get(group).ok_or(ErrorKind::NoPrimary)?;
        let upstream = match usage {
            PrimaryUse::Reads => current_primary(&held.view, group),
            PrimaryUse::Writes => state.primary.active(),
        };
        let upstream = upstream.ok_or(ErrorKind::NoPrimary)?.clone();
        let upstream_view = held.view.upstreams.get(&upstream);
        let upstream_view = upstream_view.ok_or(ErrorKind::NoPrimary)?;
        if !held.view.in_service(&upstream_view.data_centre) {
            return Err(ErrorKind::NoPrimary);
        }
        let term = Some(state.term);
        Ok(Route {
            upstream,
            group: group.clone(),
            term,
            held,
        })
    }

    /// Chooses a database that may have reached a position; returns `None` if all have been tried.
    ///
    /// Prefers the nearest database while none has a queue, and among equally near ones the least
    /// loaded by this instance.
    pub(crate) fn choose_reader(
        &self,
        group: &GroupId,
        floor: Option<LogPosition>,
        tried: &[UpstreamId],
    ) -> Option<Route> {
        let held = self.cell.held();
        let candidates = self.read_candidates(&held.view, group, floor, tried);
        let document = held.view.document.as_ref();
        let costs = document.map_or_else(ReadCosts::default, |document| document.limits.reads);
        // A retry is sent where it is expected to finish first.
        let index = match tried.is_empty() {
            true => self.reads.choose(&costs, group, &candidates),
            false => cheapest(&costs, &candidates),
        };
        let chosen = &candidates[index?];
        let upstream = chosen.upstream.clone();
        self.metrics.count(match chosen.distance {
            RouteDistance::SameDataCentre => counters::READ_SAME_DATA_CENTRE,
            RouteDistance::SameRegion => counters::READ_SAME_REGION,
            RouteDistance::OtherRegion => counters::READ_OTHER_REGION,
        });
        drop(candidates);
        self.health.record_choice(&upstream);
        Some(Route {
            upstream,
            group: group.clone(),
            term: None,
            held,
        })
    }

    /// Returns whether there is a database left that may have reached a position.
    pub(crate) fn has_reader(
        &self,
        group: &GroupId,
        floor: Option<LogPosition>,
        tried: &[UpstreamId],
    ) -> bool {
        let held = self.cell.held();
        !self
            .read_candidates(&held.view, group, floor, tried)
            .is_empty()
    }

    /// Returns the databases that may have reached a position.
    fn read_candidates<'v>(
        &self,
        view: &'v FleetView,
        group: &'v GroupId,
        floor: Option<LogPosition>,
        tried: &[UpstreamId],
    ) -> SmallVec<[ReadCandidate<'v>; 4]> {
        let members = view.members(group).filter(|(name, upstream_view)| {
            !tried.contains(name)
                && !upstream_view.leaving
                && view.in_service(&upstream_view.data_centre)
        });
        let usable = members.filter(|(name, _)| {
            let avoided = self.health.is_avoided(name, view.number);
            let lagging = floor.is_some() && self.health.is_lagging(name);
            !avoided && !lagging
        });
        let primary = current_primary(view, group);
        let candidates = usable.map(|(name, upstream_view)| {
            let (load, wait) = match self.pool.holders(view, name, upstream_view).is_empty() {
                true => (self.pool.load(name), None),
                false => (self.health.relayed_load(name), self.expected_wait(name)),
            };
            ReadCandidate {
                upstream: name,
                primary: primary == Some(name),
                distance: self.distance(view, &upstream_view.data_centre),
                full: load.full,
                wait: wait.unwrap_or_default(),
                load: (load.checked_out, load.last_claim),
            }
        });
        candidates.collect()
    }

    /// Returns the expected wait for a database that holders serve, as this instance or another
    /// one knows it.
    fn expected_wait(&self, upstream: &UpstreamId) -> Option<Duration> {
        let own = self.pool.expected_wait(upstream);
        own.max(self.health.expected_wait(upstream))
    }

    /// Returns how far a data centre is from this instance.
    pub(crate) fn distance(&self, view: &FleetView, other: &DataCentreId) -> RouteDistance {
        if other == self.data_centre {
            return RouteDistance::SameDataCentre;
        }
        let near = region(view, self.data_centre);
        match near.is_some() && near == region(view, other) {
            true => RouteDistance::SameRegion,
            false => RouteDistance::OtherRegion,
        }
    }
}

fn region<'a>(view: &'a FleetView, data_centre: &DataCentreId) -> Option<&'a RegionId> {
    let document = view.document.as_ref()?;
    let entry = document.data_centres.get(data_centre)?;
    Some(&entry.region)
}
