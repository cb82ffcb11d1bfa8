//! The choice among the databases of a group.
//!
//! A [`RouteTable`] learns how far replicas are behind in time, how long links take, and what is
//! under way; [`RouteTable::plan`] orders the databases that may serve a read by the time at which
//! the read is expected to be over.

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

/// Scores are spread by up to one part in so many, so that instances with the same knowledge do
/// not all choose the same database.
const SPREAD_DIVISOR: u32 = 8;

/// Time added to the expected catching up before the next database is tried.
const CATCH_UP_MARGIN: Duration = Duration::from_millis(30);

/// What the choice takes into account besides what is measured.
#[derive(Clone, Copy, Debug)]
pub struct RoutePolicy {
    /// Time that a read may be slower on a replica than on the primary before the primary serves
    /// it: what a slot of the primary is worth.
    pub primary_price: Duration,
    /// Round trip to another data centre of the region.
    pub region_round_trip: Duration,
    /// Round trip to another region.
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

/// How far away a database is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RouteDistance {
    /// In this data centre.
    Here,
    /// In another data centre of this region.
    Region,
    /// In another region.
    Far,
}

/// A database that may be chosen; those that are leaving or out of service are not offered.
#[derive(Clone, Copy, Debug)]
pub struct RouteCandidate<'a> {
    /// Its name.
    pub upstream: &'a UpstreamId,
    /// Whether it is the primary.
    pub primary: bool,
    /// How far away it is.
    pub distance: RouteDistance,
    /// Connections that it admits.
    pub slots: usize,
    /// Whether its errors or latency stand out; the last one left is used all the same.
    pub ejected: bool,
}

/// A read that is to be routed.
#[derive(Clone, Copy, Debug)]
pub struct ReadRequest<'a> {
    /// Group.
    pub group: &'a GroupId,
    /// Position that must have been reached, if any.
    pub floor: Option<LogPosition>,
    /// Moment after which the read is of no use.
    pub deadline: Moment,
}

/// One database to try.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteStep<'a> {
    /// The database.
    pub upstream: &'a UpstreamId,
    /// Expected wait there for the floor.
    pub expected_wait: Duration,
    /// Longest wait there for the floor before the next step is taken.
    pub catch_up: Duration,
}

/// What one instance has learned of the databases.
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
/// let book = RouteTable::new(RoutePolicy::default());
/// let candidate = |upstream, primary| RouteCandidate {
///     upstream, primary, distance: RouteDistance::Here, slots: 5, ejected: false,
/// };
/// let request = ReadRequest { group: &group, floor: None, deadline: Moment::from_millis(1_000) };
/// let candidates = [candidate(&primary, true), candidate(&near, false)];
/// let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// let plan = book.plan(Moment::ORIGIN, request, &candidates, &mut random);
/// assert_eq!(plan[0].upstream, &near);
/// ```
#[derive(Debug)]
pub struct RouteTable {
    policy: RoutePolicy,
    groups: BTreeMap<GroupId, GroupHistory>,
    loads: BTreeMap<UpstreamId, UpstreamLoad>,
}

impl RouteTable {
    /// Makes a book that knows nothing.
    pub fn new(policy: RoutePolicy) -> Self {
        Self {
            policy,
            groups: BTreeMap::new(),
            loads: BTreeMap::new(),
        }
    }

    /// Learns that the group's history had reached a position by now: a commit or a barrier.
    pub fn learn_written(&mut self, now: Moment, group: &GroupId, at: LogPosition) {
        let history = self.groups.entry(group.clone()).or_default();
        history.written(now, at);
    }

    /// Learns how far a replica is now.
    pub fn learn_replica(
        &mut self,
        now: Moment,
        group: &GroupId,
        upstream: &UpstreamId,
        at: LogPosition,
    ) {
        let history = self.groups.entry(group.clone()).or_default();
        history.replayed(now, upstream, at);
    }

    /// Notes that a link is being opened or is in use.
    pub fn begin(&mut self, upstream: &UpstreamId) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.begin();
    }

    /// Notes how long it took to get a link, without the wait for a position.
    pub fn learn_opened(&mut self, now: Moment, upstream: &UpstreamId, took: Duration) {
        let load = self.loads.entry(upstream.clone()).or_default();
        load.opened(now, took);
    }

    /// Notes that a link is no longer in use, and for how long it was; none if it never opened.
    pub fn end(&mut self, now: Moment, upstream: &UpstreamId, held: Option<Duration>) {
        if let Some(load) = self.loads.get_mut(upstream) {
            load.end(now, held);
        }
    }

    /// Forgets databases that are gone.
    pub fn retain(&mut self, keep: impl Fn(&UpstreamId) -> bool) {
        self.loads.retain(|upstream, _| keep(upstream));
        for history in self.groups.values_mut() {
            history.retain(&keep);
        }
    }

    /// Returns the time by which a replica is behind, if it has been measured.
    pub fn lag(&self, group: &GroupId, upstream: &UpstreamId) -> Option<Duration> {
        self.groups.get(group)?.lag(upstream)
    }

    /// Returns the time until a replica is expected to have reached a position; none if nothing
    /// is known of it.
    pub fn catch_up(
        &self,
        now: Moment,
        group: &GroupId,
        upstream: &UpstreamId,
        floor: LogPosition,
    ) -> Option<Duration> {
        self.groups.get(group)?.catch_up(now, upstream, floor)
    }

    /// Orders the databases by the time at which the read is expected to be over, with the price
    /// of the primary added.
    ///
    /// An ejected database comes after all others, and is in the plan all the same.
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
                    catch_up: self.longest_wait(now, &request, candidate, wait),
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
        // Of a replica that nothing is known of, the least is hoped for; asking it is how to learn.
        self.catch_up(now, request.group, candidate.upstream, floor)
            .unwrap_or_default()
    }

    fn longest_wait(
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

    /// Returns the time that opening a link and one statement take, with the way there.
    fn expected_work(&self, now: Moment, candidate: &RouteCandidate<'_>) -> Duration {
        let way = match candidate.distance {
            RouteDistance::Here => Duration::ZERO,
            RouteDistance::Region => self.policy.region_round_trip,
            RouteDistance::Far => self.policy.far_round_trip,
        };
        let load = self.loads.get(candidate.upstream);
        load.map_or(way * 2, |load| load.expected(now, way, candidate.slots))
    }
}
