//! Routing of reads among the databases of a group.
//!
//! A [`RouteTable`] tracks the lag of replicas, the latency of connections and the number of
//! connections in use. [`RouteTable::plan`] orders the databases that may serve a read by expected
//! completion time.

mod lag;
mod load;

use self::{
    lag::GroupHistory,
    load::UpstreamLoad, //
};
use crate::Moment;
use daisyseam_model::{
    GroupId,
    LogPosition,
    UpstreamId, //
};
use rand::Rng;
use smallvec::SmallVec;
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// Random jitter of up to `1 / SPREAD_DIVISOR` of the expected work is added to each score, so that
/// instances with the same measurements do not all choose the same database.
const SPREAD_DIVISOR: u32 = 8;

/// Time added to twice the expected wait for a replica before the next database is tried.
const CATCH_UP_MARGIN: Duration = Duration::from_millis(30);

/// Fixed parameters of the routing decision.
#[derive(Clone, Copy, Debug)]
pub struct RoutePolicy {
    /// Cost of using a slot of the primary: a read goes to the primary only if it is expected to
    /// take longer by more than this on every replica.
    pub primary_price: Duration,
    /// Round trip time to another data centre of the same region.
    pub region_round_trip: Duration,
    /// Round trip time to another region.
    pub far_round_trip: Duration,
}

impl Default for RoutePolicy {
    fn default() -> Self {
        Self {
            primary_price: Duration::from_millis(750),
            region_round_trip: Duration::from_millis(2),
            far_round_trip: Duration::from_millis(40),
        }
    }
}

/// Network distance to a database.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RouteDistance {
    /// In the same data centre.
    SameDataCentre,
    /// In another data centre of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// A database that may serve a read; databases that are leaving or out of service are omitted.
#[derive(Clone, Copy, Debug)]
pub struct RouteCandidate<'a> {
    /// Name of the database.
    pub upstream: &'a UpstreamId,
    /// Whether the database is the primary.
    pub primary: bool,
    /// Network distance to the database.
    pub distance: RouteDistance,
    /// Maximum number of connections to the database.
    pub slots: usize,
    /// Whether the database is ejected for errors or latency; used only if nothing else is left.
    pub ejected: bool,
}

/// A read to be routed.
#[derive(Clone, Copy, Debug)]
pub struct ReadRequest<'a> {
    /// Group that the read is for.
    pub group: &'a GroupId,
    /// Position that a replica must have replayed to serve the read, if any.
    pub floor: Option<LogPosition>,
    /// Deadline of the read.
    pub deadline: Moment,
}

/// One database to try, in the order of the plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteStep<'a> {
    /// Database to try.
    pub upstream: &'a UpstreamId,
    /// Expected wait until the database has reached the floor.
    pub expected_wait: Duration,
    /// Maximum wait for the floor before the next step is tried.
    pub max_wait: Duration,
}

/// Measurements of the databases made by one instance.
///
/// # Examples
///
/// ```
/// use daisyseam_coord::{Moment, route::{
///     ReadRequest, RouteTable, RouteCandidate, RouteDistance, RoutePolicy,
/// }};
/// use daisyseam_model::{GroupId, UpstreamId};
/// use rand::SeedableRng;
///
/// let group = GroupId::new("bookings").unwrap();
/// let (near, primary) = (UpstreamId::new("b-1").unwrap(), UpstreamId::new("b-2").unwrap());
/// let table = RouteTable::new(RoutePolicy::default());
/// let candidate = |upstream, primary| RouteCandidate {
///     upstream, primary, distance: RouteDistance::SameDataCentre, slots: 5, ejected: false,
/// };
/// let request = ReadRequest { group: &group, floor: None, deadline: Moment::from_millis(1_000) };
/// let candidates = [candidate(&primary, true), candidate(&near, false)];
/// let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// let plan = table.plan(Moment::ORIGIN, request, &candidates, &mut random);
/// assert_eq!(plan[0].upstream, &near);
/// ```
#[derive(Debug)]
pub struct RouteTable {
    policy: RoutePolicy,
    groups: BTreeMap<GroupId, GroupHistory>,
    loads: BTreeMap<UpstreamId, UpstreamLoad>,
}

impl RouteTable {
    /// Creates a table without measurements.
    pub fn new(policy: RoutePolicy) -> Self {
        Self {
            policy,
            groups: BTreeMap::new(),
            loads: BTreeMap::new(),
        }
    }

    /// Records that the history of the group has reached a position, after a commit or a barrier.
    pub fn record_written(&mut self, now: Moment, group: &GroupId, at: LogPosition) {
        let history = self.groups.entry(group.clone()).or_default();
        history.record_written(now, at);
    }

    /// Records the position that a replica has replayed.
    pub fn record_replica_position(
        &mut self,
        now: Moment,
        group: &GroupId,
        upstream: &UpstreamId,
        at: LogPosition,
    ) {
        let history = self.groups.entry(group.clone()).or_default();
        history.record_replayed(now, upstream, at);
    }

    /// Records that a connection is being opened or used.
    pub fn begin(&mut self, upstream: &UpstreamId) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.begin();
    }

    /// Records the time to obtain a connection, excluding the wait for a position.
    pub fn record_opened(&mut self, now: Moment, upstream: &UpstreamId, took: Duration) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.record_opened(now, took);
    }

    /// Records that a connection is no longer in use, and for how long it was used; `None` if it was
    /// never opened.
    pub fn end(&mut self, now: Moment, upstream: &UpstreamId, used_for: Option<Duration>) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.end(now, used_for);
        }
    }

    /// Drops the measurements of removed databases.
    pub fn retain(&mut self, keep: impl Fn(&UpstreamId) -> bool) {
        self.loads.retain(|upstream, _| keep(upstream));
        for history in self.groups.values_mut() {
            history.retain(&keep);
        }
    }

    /// Returns the lag of a replica, if it has been measured.
    pub fn lag(&self, group: &GroupId, upstream: &UpstreamId) -> Option<Duration> {
        self.groups.get(group)?.lag(upstream)
    }

    /// Returns the expected time until a replica has reached a position, or `None` without
    /// measurements of the replica.
    pub fn catch_up_time(
        &self,
        now: Moment,
        group: &GroupId,
        upstream: &UpstreamId,
        floor: LogPosition,
    ) -> Option<Duration> {
        self.groups.get(group)?.catch_up_time(now, upstream, floor)
    }

    /// Orders the databases by expected completion time of the read, plus the price of the primary.
    ///
    /// Ejected databases are included after all others.
    pub fn plan<'a, R: Rng>(
        &self,
        now: Moment,
        request: ReadRequest<'_>,
        candidates: &[RouteCandidate<'a>],
        random: &mut R,
    ) -> SmallVec<[RouteStep<'a>; 4]> {
        let mut scored: SmallVec<[(bool, Duration, RouteStep<'a>); 4]> = candidates
            .iter()
            .map(|candidate| {
                let wait = self.expected_wait(now, &request, candidate);
                let work = self.expected_work(now, candidate);
                let spread = work / SPREAD_DIVISOR;
                let score = work + wait + spread.mul_f64(random.random());
                let price = match candidate.primary {
                    true => self.policy.primary_price,
                    false => Duration::ZERO,
                };
                let step = RouteStep {
                    upstream: candidate.upstream,
                    expected_wait: wait,
                    max_wait: self.max_wait(now, &request, candidate, wait),
                };
                (candidate.ejected, score + price, step)
            })
            .collect();
        scored.sort_by_key(|(ejected, score, _)| (*ejected, *score));
        scored.into_iter().map(|(.., step)| step).collect()
    }

    fn expected_wait(
        &self,
        now: Moment,
        request: &ReadRequest<'_>,
        candidate: &RouteCandidate<'_>,
    ) -> Duration {
        let Some(floor) = request.floor.filter(|_| !candidate.primary) else {
            return Duration::ZERO;
        };
        // Assume no wait for a replica without measurements: using it is what provides them.
        self.catch_up_time(now, request.group, candidate.upstream, floor)
            .unwrap_or_default()
    }

    fn max_wait(
        &self,
        now: Moment,
        request: &ReadRequest<'_>,
        candidate: &RouteCandidate<'_>,
        expected: Duration,
    ) -> Duration {
        if candidate.primary || request.floor.is_none() {
            return Duration::ZERO;
        }
        let most = self.policy.primary_price.max(CATCH_UP_MARGIN);
        let left = request.deadline.since(now) / 2;
        (expected * 2 + CATCH_UP_MARGIN).min(most).min(left)
    }

    /// Returns the expected time to open a connection and run one statement, including network
    /// latency.
    fn expected_work(&self, now: Moment, candidate: &RouteCandidate<'_>) -> Duration {
        let round_trip = match candidate.distance {
            RouteDistance::SameDataCentre => Duration::ZERO,
            RouteDistance::SameRegion => self.policy.region_round_trip,
            RouteDistance::OtherRegion => self.policy.far_round_trip,
        };
        let load = self.loads.get(candidate.upstream);
        load.map_or(round_trip * 2, |load| {
            load.expected(now, round_trip, candidate.slots)
        })
    }
}
