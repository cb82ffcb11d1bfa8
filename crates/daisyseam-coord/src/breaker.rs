//! Circuit breaking on databases that answer with errors or late, never on the last one.

use crate::Moment;
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// When a member is ejected, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct BreakerPolicy {
    /// Failures in a row that eject a member.
    pub failures: u32,
    /// A member whose average latency is more than so many times the median of all is ejected.
    pub latency_factor: u32,
    /// Latency that never ejects.
    pub latency_floor: Duration,
    /// Measurements of a member before its latency counts.
    pub samples_min: u32,
    /// Time of the first ejection; each further one lasts as much longer.
    pub ejection: Duration,
    /// Longest ejection.
    pub ejection_max: Duration,
    /// Largest ejected part of all members, in hundredths; one member always stays.
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

/// Whether a member takes work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberState {
    /// It does.
    Closed,
    /// It does not before this moment.
    Open(Moment),
    /// One request may try it.
    HalfOpen,
}

/// Watches the members of a group for outliers.
///
/// # Examples
///
/// ```
/// use daisyseam_coord::{Moment, breaker::{BreakerPolicy, MemberState, OutlierBreaker}};
///
/// let mut breaker = OutlierBreaker::new(BreakerPolicy::default());
/// breaker.set_members(["b-1", "b-2"]);
/// for _ in 0..5 {
///     breaker.failed(Moment::ORIGIN, &"b-1");
/// }
/// assert!(matches!(breaker.state(Moment::ORIGIN, &"b-1"), MemberState::Open(_)));
/// // The last one left stays, whatever it does.
/// for _ in 0..50 {
///     breaker.failed(Moment::ORIGIN, &"b-2");
/// }
/// assert_eq!(breaker.state(Moment::ORIGIN, &"b-2"), MemberState::Closed);
/// ```
#[derive(Debug)]
pub struct OutlierBreaker<K> {
    policy: BreakerPolicy,
    members: BTreeMap<K, Member>,
}

impl<K: Clone + Ord> OutlierBreaker<K> {
    /// Makes a breaker without members.
    pub fn new(policy: BreakerPolicy) -> Self {
        Self {
            policy,
            members: BTreeMap::new(),
        }
    }

    /// Says who the members are; those that stay keep their state.
    ///
    /// If all that are left are ejected, the one that would come back first is taken back.
    pub fn set_members<I: IntoIterator<Item = K>>(&mut self, members: I) {
        let mut former = std::mem::take(&mut self.members);
        for key in members {
            let member = former.remove(&key).unwrap_or_default();
            self.members.insert(key, member);
        }
        let all_out = self.members.values().all(|member| member.until.is_some());
        let first = self.members.values_mut().min_by_key(|member| member.until);
        if let Some(member) = first.filter(|_| all_out) {
            member.until = None;
            member.failures = 0;
        }
    }

    /// Returns whether a member takes work.
    pub fn state(&self, now: Moment, key: &K) -> MemberState {
        let member = self.members.get(key);
        match member.and_then(|member| member.until.map(|until| (member, until))) {
            None => MemberState::Closed,
            Some((_, until)) if now < until => MemberState::Open(until),
            Some((member, _)) if member.trying => MemberState::Open(now),
            Some(_) => MemberState::HalfOpen,
        }
    }

    /// Takes the one try of a half-open member; returns whether the caller may go.
    ///
    /// A closed member may always be used, an open one never. After a try [`Self::succeeded`],
    /// [`Self::failed`] or [`Self::abandoned`] must follow.
    pub fn enter(&mut self, now: Moment, key: &K) -> bool {
        match self.state(now, key) {
            MemberState::Closed => true,
            MemberState::Open(_) => false,
            MemberState::HalfOpen => {
                if let Some(member) = self.members.get_mut(key) {
                    member.trying = true;
                }
                true
            }
        }
    }

    /// Notes an answer and how long it took.
    pub fn succeeded(&mut self, now: Moment, key: &K, took: Duration) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        member.failures = 0;
        member.sample(took);
        if member.until.is_some_and(|until| until <= now) {
            member.readmit();
            return;
        }
        if self.is_slow(key) {
            self.eject(now, key);
        }
    }

    /// Notes a failure that speaks of the member, such as a connection that broke.
    pub fn failed(&mut self, now: Moment, key: &K) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        member.failures = member.failures.saturating_add(1);
        let tried = std::mem::take(&mut member.trying);
        // Answers that were under way when it was ejected say nothing new.
        let due = member.until.is_none() && member.failures >= self.policy.failures;
        if tried || due {
            self.eject(now, key);
        }
    }

    /// Gives a try back that said nothing of the member.
    pub fn abandoned(&mut self, key: &K) {
        if let Some(member) = self.members.get_mut(key) {
            member.trying = false;
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
            .filter(|(other, member)| *other != key && member.until.is_none() && member.samples > 0)
            .map(|(_, member)| member.latency)
            .collect();
        others.sort();
        let median = others.get(others.len() / 2).copied();
        let allowed = median.map(|median| median * self.policy.latency_factor);
        allowed.is_some_and(|allowed| latency > allowed.max(self.policy.latency_floor))
    }

    fn eject(&mut self, now: Moment, key: &K) {
        let out = |member: &&Member| member.until.is_some();
        let others = self.members.iter().filter(|(other, _)| *other != key);
        let ejected = others.filter(|(_, member)| out(member)).count() + 1;
        let most = self.members.len() * self.policy.ejected_percent_max / 100;
        if ejected > most.max(1) || ejected >= self.members.len() {
            return;
        }
        let policy = self.policy;
        if let Some(member) = self.members.get_mut(key) {
            member.ejections = member.ejections.saturating_add(1);
            let ejection = policy.ejection.saturating_mul(member.ejections);
            member.until = Some(now + ejection.min(policy.ejection_max));
        }
    }
}

#[derive(Debug, Default)]
struct Member {
    failures: u32,
    latency: Duration,
    samples: u32,
    ejections: u32,
    until: Option<Moment>,
    trying: bool,
}

impl Member {
    fn sample(&mut self, took: Duration) {
        self.latency = match self.samples {
            0 => took,
            _ => (self.latency * 7 + took) / 8,
        };
        self.samples = self.samples.saturating_add(1);
    }

    /// Takes the member back; its latency is measured anew.
    fn readmit(&mut self) {
        self.until = None;
        self.trying = false;
        self.samples = 0;
        self.ejections = self.ejections.saturating_sub(1);
    }
}
