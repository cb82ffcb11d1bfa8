//! Circuit breaker that ejects databases with errors or high latency, but never the last one.

use crate::Moment;
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// Conditions and duration of an ejection.
#[derive(Clone, Copy, Debug)]
pub struct BreakerPolicy {
    /// Consecutive failures that eject a member.
    pub failures: u32,
    /// A member is ejected if its average latency exceeds the median of the other members times this
    /// factor.
    pub latency_factor: u32,
    /// Average latency up to which a member is never ejected.
    pub latency_floor: Duration,
    /// Minimum number of measurements before the latency of a member is considered.
    pub samples_min: u32,
    /// Duration of the first ejection; each further one is longer by the same amount.
    pub ejection: Duration,
    /// Maximum duration of an ejection.
    pub ejection_max: Duration,
    /// Maximum percentage of ejected members; at least one member always stays.
    pub ejected_percent_max: usize,
}

impl Default for BreakerPolicy {
    fn default() -> Self {
        Self {
            failures: 5,
            latency_factor: 5,
            latency_floor: Duration::from_millis(50),
            samples_min: 20,
            ejection: Duration::from_secs(1),
            ejection_max: Duration::from_secs(30),
            ejected_percent_max: 67,
        }
    }
}

/// State of the circuit of one member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// The member accepts requests.
    Closed,
    /// The member accepts no requests before this moment.
    Open(Moment),
    /// One request may probe the member.
    HalfOpen,
}

/// Detects and ejects outliers among the members of a group.
///
/// # Examples
///
/// ```
/// use daisyseam_coord::{Moment, breaker::{BreakerPolicy, MemberState, OutlierBreaker}};
///
/// let mut breaker = OutlierBreaker::new(BreakerPolicy::default());
/// breaker.set_members(["b-1", "b-2"]);
/// for _ in 0..5 {
///     breaker.record_failure(Moment::ORIGIN, &"b-1");
/// }
/// assert!(matches!(breaker.state(Moment::ORIGIN, &"b-1"), MemberState::Open(_)));
/// // The last remaining member is never ejected.
/// for _ in 0..50 {
///     breaker.record_failure(Moment::ORIGIN, &"b-2");
/// }
/// assert_eq!(breaker.state(Moment::ORIGIN, &"b-2"), MemberState::Closed);
/// ```
#[derive(Debug)]
pub struct OutlierBreaker<K> {
    policy: BreakerPolicy,
    members: BTreeMap<K, Member>,
}

impl<K: Clone + Ord> OutlierBreaker<K> {
    /// Creates a breaker without members.
    pub fn new(policy: BreakerPolicy) -> Self {
        Self {
            policy,
            members: BTreeMap::new(),
        }
    }

    /// Sets the members; existing members keep their state.
    ///
    /// If all remaining members are ejected, the one whose ejection ends first is readmitted.
    pub fn set_members<I: IntoIterator<Item = K>>(&mut self, members: I) {
        let mut former = std::mem::take(&mut self.members);
        for key in members {
            let member = former.remove(&key).unwrap_or_default();
            self.members.insert(key, member);
        }
        let all_ejected = self
            .members
            .values()
            .all(|member| member.ejected_until.is_some());
        let first = self
            .members
            .values_mut()
            .min_by_key(|member| member.ejected_until);
        if let Some(member) = first.filter(|_| all_ejected) {
            member.ejected_until = None;
            member.failures = 0;
        }
    }

    /// Returns the state of a member.
    pub fn state(&self, now: Moment, key: &K) -> MemberState {
        let member = self.members.get(key);
        match member.and_then(|member| {
            member
                .ejected_until
                .map(|ejected_until| (member, ejected_until))
        }) {
            None => MemberState::Closed,
            Some((_, ejected_until)) if now < ejected_until => MemberState::Open(ejected_until),
            Some((member, _)) if member.probing => MemberState::Open(now),
            Some(_) => MemberState::HalfOpen,
        }
    }

    /// Returns whether the caller may send a request, claiming the probe of a half-open member.
    ///
    /// A closed member may always be used, an open one never. A probe must be followed by
    /// [`Self::record_success`], [`Self::record_failure`] or [`Self::release_probe`].
    pub fn try_acquire(&mut self, now: Moment, key: &K) -> bool {
        match self.state(now, key) {
            MemberState::Closed => true,
            MemberState::Open(_) => false,
            MemberState::HalfOpen => {
                if let Some(member) = self.members.get_mut(key) {
                    member.probing = true;
                }
                true
            }
        }
    }

    /// Records a successful request and its latency.
    pub fn record_success(&mut self, now: Moment, key: &K, took: Duration) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        member.failures = 0;
        member.sample(took);
        if member
            .ejected_until
            .is_some_and(|ejected_until| ejected_until <= now)
        {
            member.readmit();
            return;
        }
        if self.is_slow(key) {
            self.eject(now, key);
        }
    }

    /// Records a failure caused by the member, such as a broken connection.
    pub fn record_failure(&mut self, now: Moment, key: &K) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        member.failures = member.failures.saturating_add(1);
        let probed = std::mem::take(&mut member.probing);
        // Failures of requests that were in flight at the ejection do not prolong it.
        let due = member.ejected_until.is_none() && member.failures >= self.policy.failures;
        if probed || due {
            self.eject(now, key);
        }
    }

    /// Releases a probe that ended without a result about the member.
    pub fn release_probe(&mut self, key: &K) {
        if let Some(member) = self.members.get_mut(key) {
            member.probing = false;
        }
    }

    fn is_slow(&self, key: &K) -> bool {
        let Some(latency) = self.members.get(key).and_then(|member| {
            (member.samples >= self.policy.samples_min).then_some(member.latency)
        }) else {
            return false;
        };
        let mut others: Vec<Duration> = self
            .members
            .iter()
            .filter(|(other, member)| {
                *other != key && member.ejected_until.is_none() && member.samples > 0
            })
            .map(|(_, member)| member.latency)
            .collect();
        others.sort();
        let median = others.get(others.len() / 2).copied();
        let allowed = median.map(|median| median * self.policy.latency_factor);
        allowed.is_some_and(|allowed| latency > allowed.max(self.policy.latency_floor))
    }

    fn eject(&mut self, now: Moment, key: &K) {
        let is_ejected = |member: &&Member| member.ejected_until.is_some();
        let others = self.members.iter().filter(|(other, _)| *other != key);
        let ejected = others.filter(|(_, member)| is_ejected(member)).count() + 1;
        let ejected_max = self.members.len() * self.policy.ejected_percent_max / 100;
        if ejected > ejected_max.max(1) || ejected >= self.members.len() {
            return;
        }
        let policy = self.policy;
        if let Some(member) = self.members.get_mut(key) {
            member.ejections = member.ejections.saturating_add(1);
            let ejection = policy.ejection.saturating_mul(member.ejections);
            member.ejected_until = Some(now + ejection.min(policy.ejection_max));
        }
    }
}

#[derive(Debug, Default)]
struct Member {
    failures: u32,
    latency: Duration,
    samples: u32,
    ejections: u32,
    ejected_until: Option<Moment>,
    probing: bool,
}

impl Member {
    fn sample(&mut self, took: Duration) {
        self.latency = match self.samples {
            0 => took,
            _ => (self.latency * 7 + took) / 8,
        };
        self.samples = self.samples.saturating_add(1);
    }

    /// Readmits the member and restarts its latency measurement.
    fn readmit(&mut self) {
        self.ejected_until = None;
        self.probing = false;
        self.samples = 0;
        self.ejections = self.ejections.saturating_sub(1);
    }
}
