//! Selects the control instance to try next.

use daisyseam_runtime::ControlAddresses;
use rand::Rng;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};
use tokio::time::Instant;

/// Time for which an instance that did not respond is tried after the others.
const FAILURE_RETENTION: Duration = Duration::from_secs(1);

/// Maximum number of hints that are followed in a row without a delay.
const CONSECUTIVE_HINTS_MAX: u32 = 2;

/// Iterates over the known instances, and tries one that is named as the leader next.
pub(super) struct LeaderSearch {
    addresses: ControlAddresses,
    rotation: usize,
    hint: Option<SocketAddr>,
    /// Number of hints that were followed in a row.
    consecutive_hints: u32,
    /// Highest control term seen.
    term: u64,
    failures: BTreeMap<SocketAddr, Failure>,
}

/// Failure of an instance to respond.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Failure {
    at: Instant,
    /// Highest control term seen by then.
    term: u64,
}

impl LeaderSearch {
    pub(super) fn new(addresses: ControlAddresses) -> Self {
        Self {
            addresses,
            rotation: rand::rng().random_range(0..1_000),
            hint: None,
            consecutive_hints: 0,
            term: 0,
            failures: BTreeMap::new(),
        }
    }

    /// Returns the instance to try next, if any is known.
    pub(super) fn next_target(&mut self, now: Instant) -> Option<SocketAddr> {
        if let Some(hint) = self.hint.take() {
            self.consecutive_hints += 1;
            return Some(hint);
        }
        self.consecutive_hints = 0;
        self.failures
            .retain(|_, failure| now < failure.at + FAILURE_RETENTION);
        let mut known = self.addresses.list();
        self.rotation += 1;
        let rotation = self.rotation % known.len().max(1);
        known.rotate_left(rotation);
        // Instances without a recent failure come first, then the least recent failure.
        known.sort_by_key(|address| self.failures.get(address).copied());
        known.first().copied()
    }

    /// Records that an instance is not the leader, and which leader it follows in which term.
    ///
    /// A leader that failed recently is still tried if the term is newer than its failure, because
    /// other instances can reach it.
    pub(super) fn record_redirect(
        &mut self,
        target: SocketAddr,
        leader: Option<SocketAddr>,
        term: u64,
        now: Instant,
    ) {
        self.term = self.term.max(term);
        if self.failures.remove(&target).is_some() {
            // The target responds again, so the failures were probably on this instance's side.
            self.failures.clear();
        }
        // Two instances that name each other must not be tried in a loop without a delay.
        let leader = leader
            .filter(|leader| *leader != target && self.consecutive_hints < CONSECUTIVE_HINTS_MAX);
        self.hint = leader.filter(|leader| !self.has_failed_recently(*leader, term, now));
    }

    /// Returns whether an instance failed to respond recently, in this term or a later one.
    fn has_failed_recently(&self, target: SocketAddr, term: u64, now: Instant) -> bool {
        let failure = self.failures.get(&target);
        failure.is_some_and(|failure| now < failure.at + FAILURE_RETENTION && term <= failure.term)
    }

    /// Records that an instance did not respond.
    pub(super) fn record_failure(&mut self, target: SocketAddr, now: Instant) {
        let term = self.term;
        self.failures.insert(target, Failure { at: now, term });
    }

    pub(super) fn has_hint(&self) -> bool {
        self.hint.is_some()
    }
}

#[cfg(test)]
mod tests;
