//! Selection of a database for each read, and the share of reads that leave the nearest one.
//!
//! Addresses uneven demand: the databases of one data centre lack capacity while others are idle.
//! Each instance decides for itself, from the waits that holders report. The share that leaves
//! follows the gain in expected finish time with a bounded rate, so that instances with the same
//! information do not all move at once.

use crate::{
    Moment,
    route::RouteDistance, //
};
use daisyseam_model::{
    GroupId,
    UpstreamId,
    document::ReadCosts, //
};
use smallvec::SmallVec;
use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::Duration, //
};

/// Gain at which all reads leave at once. The wait follows the share within the time in which
/// holders' answers arrive (100 ms), so a smaller value makes the share oscillate.
const FULL_SHARE_GAIN: Duration = Duration::from_millis(400);

/// Factor by which the share follows the gain faster if the best database is in the same region,
/// where answers are not old.
const NEAR_PACE: f64 = 4.0;

/// Lasting gain that moves all reads within [`SHARE_TIME`].
const SHARE_GAIN: Duration = Duration::from_millis(100);

/// Shortest time in which the lasting share changes from none to all.
const SHARE_TIME: Duration = Duration::from_secs(2);

/// Longest time between two reads of a group that counts for the lasting share: no information
/// about a database is expected in a longer pause.
const MAX_STEP: Duration = Duration::from_millis(500);

/// Factor by which a wait at the primary counts, since it also delays writes, which have no other
/// database.
const PRIMARY_WAIT_FACTOR: u32 = 4;

/// Divisor of the gain of leaving the primary, which its wait changes by a multiple. With the whole
/// factor as divisor, up to a fifth of the primary's other work was late in a burst of 6 s.
const PRIMARY_SLOPE: f64 = 2.0;

/// A database that may serve a read.
#[derive(Clone, Copy, Debug)]
pub struct ReadCandidate<'a> {
    /// Name of the database.
    pub upstream: &'a UpstreamId,
    /// Whether it is the primary.
    pub primary: bool,
    /// Network distance to it.
    pub distance: RouteDistance,
    /// Whether it recently had no free connection in time; used only if all others have not either.
    pub full: bool,
    /// Expected wait for one of its connections; zero if unknown.
    pub wait: Duration,
    /// Own load; among equally near databases the lowest is preferred.
    pub load: (usize, u64),
}

impl ReadCandidate<'_> {
    fn wait_factor(&self) -> u32 {
        match self.primary {
            true => PRIMARY_WAIT_FACTOR,
            false => 1,
        }
    }
}

/// Returns the cost of a database without a queue.
fn idle_cost(costs: &ReadCosts, candidate: &ReadCandidate<'_>) -> Duration {
    let way = match candidate.distance {
        RouteDistance::SameDataCentre => Duration::ZERO,
        RouteDistance::SameRegion => costs.region_round_trip + costs.leave_data_centre,
        RouteDistance::OtherRegion => {
            costs.far_round_trip + costs.leave_data_centre + costs.leave_region
        }
    };
    match candidate.primary {
        true => way + costs.use_primary,
        false => way,
    }
}

/// Returns the cost of a database: the expected finish time and what a read must gain. The
/// service time is taken to be the same everywhere.
fn cost(costs: &ReadCosts, candidate: &ReadCandidate<'_>) -> Duration {
    idle_cost(costs, candidate) + candidate.wait.saturating_mul(candidate.wait_factor())
}

/// Returns the index of the database with the lowest cost.
pub fn cheapest(costs: &ReadCosts, candidates: &[ReadCandidate<'_>]) -> Option<usize> {
    let indices = 0..candidates.len();
    indices.min_by_key(|index| {
        let candidate = &candidates[*index];
        (candidate.full, cost(costs, candidate), candidate.load)
    })
}

/// Returns the index of the database that is preferred while none has a queue.
fn nearest(costs: &ReadCosts, candidates: &[ReadCandidate<'_>]) -> Option<usize> {
    let indices = 0..candidates.len();
    indices.min_by_key(|index| {
        let candidate = &candidates[*index];
        (idle_cost(costs, candidate), candidate.load)
    })
}

/// The shares of reads that leave the nearest database, by group.
///
/// # Examples
///
/// ```
/// use daisyseam_coord::{Moment, read_route::{ReadCandidate, ReadShares}};
/// use daisyseam_coord::route::RouteDistance;
/// use daisyseam_model::{GroupId, UpstreamId, document::ReadCosts};
/// use std::time::Duration;
///
/// let group = GroupId::new("bookings").unwrap();
/// let (near, far) = (UpstreamId::new("b-1").unwrap(), UpstreamId::new("b-2").unwrap());
/// let candidate = |upstream, distance| ReadCandidate {
///     upstream, distance, primary: false, full: false, wait: Duration::ZERO, load: (0, 0),
/// };
/// let candidates = [
///     candidate(&far, RouteDistance::OtherRegion),
///     candidate(&near, RouteDistance::SameDataCentre),
/// ];
/// let mut shares = ReadShares::default();
/// let costs = ReadCosts::default();
/// assert_eq!(shares.choose(Moment::ORIGIN, &costs, &group, &candidates), Some(1));
/// ```
#[derive(Debug, Default)]
pub struct ReadShares {
    groups: BTreeMap<GroupId, GroupShare>,
}

/// The share of one group's reads that leave.
#[derive(Debug, Default)]
struct GroupShare {
    /// Share that follows the gain over time.
    lasting: f64,
    updated: Option<Moment>,
    /// Reads that each other database is owed.
    owed: BTreeMap<UpstreamId, f64>,
}

impl ReadShares {
    /// Returns the index of the database for the next read.
    pub fn choose(
        &mut self,
        now: Moment,
        costs: &ReadCosts,
        group: &GroupId,
        candidates: &[ReadCandidate<'_>],
    ) -> Option<usize> {
        let nearest = nearest(costs, candidates)?;
        if candidates.len() == 1 {
            return Some(nearest);
        }
        if !self.groups.contains_key(group) {
            self.groups.insert(group.clone(), GroupShare::default());
        }
        let share = self.groups.get_mut(group)?;
        Some(share.choose(now, costs, candidates, nearest))
    }

    /// Returns the share of a group's reads that leave the nearest database for lasting gain.
    pub fn lasting_share(&self, group: &GroupId) -> f64 {
        self.groups.get(group).map_or(0.0, |share| share.lasting)
    }

    /// Drops the shares of removed groups.
    pub fn retain(&mut self, keep: impl Fn(&GroupId) -> bool) {
        self.groups.retain(|group, _| keep(group));
    }
}

impl GroupShare {
    fn choose(
        &mut self,
        now: Moment,
        costs: &ReadCosts,
        candidates: &[ReadCandidate<'_>],
        nearest: usize,
    ) -> usize {
        let near_cost = cost(costs, &candidates[nearest]).as_secs_f64();
        let slope = match candidates[nearest].primary {
            true => PRIMARY_SLOPE,
            false => 1.0,
        };
        let gains: SmallVec<[f64; 4]> = candidates
            .iter()
            .map(|candidate| (near_cost - cost(costs, candidate).as_secs_f64()) / slope)
            .collect();
        let others =
            || (0..candidates.len()).filter(|index| *index != nearest && !candidates[*index].full);
        let Some(best) = others().max_by(|one, other| gains[*one].total_cmp(&gains[*other])) else {
            return nearest;
        };
        let gain = gains[best];
        let pace = match candidates[best].distance {
            RouteDistance::SameDataCentre | RouteDistance::SameRegion => NEAR_PACE,
            RouteDistance::OtherRegion => 1.0,
        };
        if candidates[nearest].full {
            self.update(now, gain.max(SHARE_GAIN.as_secs_f64()), pace);
            return cheapest(costs, candidates).unwrap_or(nearest);
        }
        let share = self.update(now, gain, pace);
        if share <= 0.0 {
            self.owed.clear();
            return nearest;
        }
        // A database gets reads in proportion to its gain, so that equally good ones share them.
        // While none has a gain, the lasting share falls and goes to the best one.
        let weight = |index: usize| match gain > 0.0 {
            true => gains[index].max(0.0),
            false => f64::from(u8::from(gains[index] >= gain)),
        };
        let total: f64 = others().map(weight).sum();
        self.owed
            .retain(|upstream, _| candidates.iter().any(|other| other.upstream == upstream));
        for index in others() {
            let due = share * weight(index) / total;
            match self.owed.get_mut(candidates[index].upstream) {
                Some(owed) => *owed += due,
                None => {
                    self.owed.insert(candidates[index].upstream.clone(), due);
                }
            }
        }
        let owed = |index: usize| {
            let owed = self.owed.get(candidates[index].upstream);
            owed.copied().unwrap_or_default()
        };
        let all_owed: f64 = others().map(owed).sum();
        if all_owed < 1.0 {
            return nearest;
        }
        let most = others().max_by(|one, other| {
            let order = owed(*one).total_cmp(&owed(*other));
            order.then(Reverse(*one).cmp(&Reverse(*other)))
        });
        let Some(chosen) = most else {
            return nearest;
        };
        if let Some(owed) = self.owed.get_mut(candidates[chosen].upstream) {
            *owed -= 1.0;
        }
        chosen
    }

    /// Adapts the lasting share to the gain in seconds, and returns the share of the next read.
    fn update(&mut self, now: Moment, gain: f64, pace: f64) -> f64 {
        let step = self.updated.map_or(Duration::ZERO, |at| now.since(at));
        self.updated = Some(now);
        let rate = (gain * pace / SHARE_GAIN.as_secs_f64()).clamp(-1.0, 1.0);
        let rate = rate / SHARE_TIME.as_secs_f64();
        self.lasting += rate * step.min(MAX_STEP).as_secs_f64();
        self.lasting = self.lasting.clamp(0.0, 1.0);
        let immediate = gain * pace / FULL_SHARE_GAIN.as_secs_f64();
        (self.lasting + immediate).clamp(0.0, 1.0)
    }
}
