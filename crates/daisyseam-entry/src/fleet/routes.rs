//! Measurements of databases, and the routing decisions based on them.

use daisyseam_coord::{
    Moment,
    breaker::{
        BreakerPolicy,
        MemberState,
        OutlierBreaker, //
    },
    route::{
        ReadRequest,
        RouteCandidate,
        RoutePolicy,
        RouteStep, //
        RouteTable,
    }, //
};
use daisyseam_model::{
    GroupId,
    LogPosition,
    UpstreamId, //
};
use parking_lot::Mutex;
use smallvec::SmallVec;
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};
use tokio::time::Instant;

/// Measurements and circuit breakers of all databases; cheap to clone.
#[derive(Clone)]
pub(super) struct RouteMap {
    shared: Arc<MapShared>,
}

struct MapShared {
    origin: Instant,
    state: Mutex<MapState>,
}

struct MapState {
    table: RouteTable,
    breakers: BTreeMap<GroupId, OutlierBreaker<UpstreamId>>,
}

impl RouteMap {
    pub(super) fn new() -> Self {
        let state = MapState {
            table: RouteTable::new(RoutePolicy::default()),
            breakers: BTreeMap::new(),
        };
        Self {
            shared: Arc::new(MapShared {
                origin: Instant::now(),
                state: Mutex::new(state),
            }),
        }
    }

    /// Records that a group's log has reached a position.
    pub(super) fn record_written(&self, group: &GroupId, at: LogPosition) {
        let now = self.now();
        self.shared
            .state
            .lock()
            .table
            .record_written(now, group, at);
    }

    /// Records the current position of a replica.
    pub(super) fn record_replica_position(
        &self,
        group: &GroupId,
        upstream: &UpstreamId,
        at: LogPosition,
    ) {
        let now = self.now();
        let mut state = self.shared.state.lock();
        state
            .table
            .record_replica_position(now, group, upstream, at);
    }

    /// Returns the databases that may serve a read, in the order in which to try them.
    pub(super) fn plan<'a>(
        &self,
        group: &GroupId,
        floor: Option<LogPosition>,
        deadline: Instant,
        candidates: &mut [RouteCandidate<'a>],
    ) -> SmallVec<[RouteStep<'a>; 4]> {
        let now = self.now();
        let mut state = self.shared.state.lock();
        let breaker = breaker(&mut state.breakers, group);
        let members = candidates.iter().map(|candidate| candidate.upstream);
        breaker.set_members(members.cloned());
        for candidate in candidates.iter_mut() {
            let member = breaker.state(now, candidate.upstream);
            candidate.ejected = matches!(member, MemberState::Open(_));
        }
        let request = ReadRequest {
            group,
            floor,
            deadline: self.moment(deadline),
        };
        let mut random = rand::rng();
        state.table.plan(now, request, candidates, &mut random)
    }

    /// Counts a link from the start of its opening until the guard is dropped.
    pub(super) fn begin(&self, group: &GroupId, upstream: &UpstreamId) -> RouteGuard {
        let now = self.now();
        let mut state = self.shared.state.lock();
        state.table.begin(upstream);
        // If the breaker is half-open, this link takes its single probe. The result is ignored:
        // the link is opened in either case.
        breaker(&mut state.breakers, group).try_acquire(now, upstream);
        RouteGuard {
            map: self.clone(),
            group: group.clone(),
            upstream: upstream.clone(),
            started_at: now,
            opened_at: None,
        }
    }

    fn now(&self) -> Moment {
        self.moment(Instant::now())
    }

    fn moment(&self, at: Instant) -> Moment {
        Moment::after_origin(at.saturating_duration_since(self.shared.origin))
    }
}

/// A link that is being opened or in use.
pub(super) struct RouteGuard {
    map: RouteMap,
    group: GroupId,
    upstream: UpstreamId,
    started_at: Moment,
    opened_at: Option<Moment>,
}

impl RouteGuard {
    /// Records that the link is open; `waited` is the time spent waiting for a position.
    pub(super) fn record_opened(&mut self, waited: Duration) {
        let now = self.map.now();
        self.opened_at = Some(now);
        let took = now.since(self.started_at).saturating_sub(waited);
        let mut state = self.map.shared.state.lock();
        state.table.record_opened(now, &self.upstream, took);
        // Queueing time reflects the load, not the database's health, so only failures eject it.
        let breaker = breaker(&mut state.breakers, &self.group);
        breaker.record_success(now, &self.upstream, Duration::ZERO);
    }

    /// Records that the database or its holder is unreachable.
    pub(super) fn record_failure(&mut self) {
        let now = self.map.now();
        let mut state = self.map.shared.state.lock();
        breaker(&mut state.breakers, &self.group).record_failure(now, &self.upstream);
    }
}

impl Drop for RouteGuard {
    fn drop(&mut self) {
        let now = self.map.now();
        let held = self.opened_at.map(|opened| now.since(opened));
        let mut state = self.map.shared.state.lock();
        state.table.end(now, &self.upstream, held);
        if held.is_none() {
            breaker(&mut state.breakers, &self.group).release_probe(&self.upstream);
        }
    }
}

fn breaker<'a>(
    breakers: &'a mut BTreeMap<GroupId, OutlierBreaker<UpstreamId>>,
    group: &GroupId,
) -> &'a mut OutlierBreaker<UpstreamId> {
    let entry = breakers.entry(group.clone());
    entry.or_insert_with(|| OutlierBreaker::new(BreakerPolicy::default()))
}
