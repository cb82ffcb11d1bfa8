//! Which control instance is asked next.

use daisyseam_runtime::ControlAddresses;
use rand::Rng;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};
use tokio::time::Instant;

/// Time for which an instance that did not answer is asked after the others.
const FAILURE_MEMORY: Duration = Duration::from_secs(1);

/// Most hints that are followed without a pause.
const HINTS_MAX: u32 = 2;

/// Goes through the known instances; one that another names as the leader is asked at once.
pub(super) struct LeaderSearch {
    addresses: ControlAddresses,
    turn: usize,
    hint: Option<SocketAddr>,
    /// Hints that were followed one after the other.
    hints: u32,
    /// Highest term of control that was heard of.
    term: u64,
    failed: BTreeMap<SocketAddr, Failure>,
}

/// An instance that did not answer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Failure {
    at: Instant,
    /// Highest term that was heard of by then.
    term: u64,
}

impl LeaderSearch {
    pub(super) fn new(addresses: ControlAddresses) -> Self {
        Self {
            addresses,
            turn: rand::rng().random_range(0..1_000),
            hint: None,
            hints: 0,
            term: 0,
            failed: BTreeMap::new(),
        }
    }

    /// Returns whom to ask, if any instance is known.
    pub(super) fn next(&mut self, now: Instant) -> Option<SocketAddr> {
        if let Some(hint) = self.hint.take() {
            self.hints += 1;
            return Some(hint);
        }
        self.hints = 0;
        self.failed
            .retain(|_, failed| now < failed.at + FAILURE_MEMORY);
        let mut known = self.addresses.list();
        self.turn += 1;
        let turn = self.turn % known.len().max(1);
        known.rotate_left(turn);
        // The one that failed longest ago goes first among those that failed.
        known.sort_by_key(|address| self.failed.get(address).copied());
        known.first().copied()
    }

    /// Learns that an instance does not lead, and whom it follows in which term.
    ///
    /// A leader of a term that is newer than its failure is asked all the same: it answers others.
    pub(super) fn named(
        &mut self,
        target: SocketAddr,
        leader: Option<SocketAddr>,
        term: u64,
        now: Instant,
    ) {
        self.term = self.term.max(term);
        if self.failed.remove(&target).is_some() {
            // It is reached again, so it was rather this instance that could reach nobody.
            self.failed.clear();
        }
        // Two that follow each other are not asked again without a pause.
        let leader = leader.filter(|leader| *leader != target && self.hints < HINTS_MAX);
        self.hint = leader.filter(|leader| !self.has_failed(*leader, term, now));
    }

    /// Returns whether an instance did not answer a short while ago, in this term or a later one.
    fn has_failed(&self, target: SocketAddr, term: u64, now: Instant) -> bool {
        let failed = self.failed.get(&target);
        failed.is_some_and(|failed| now < failed.at + FAILURE_MEMORY && term <= failed.term)
    }

    /// Learns that an instance did not answer.
    pub(super) fn failed(&mut self, target: SocketAddr, now: Instant) {
        let term = self.term;
        self.failed.insert(target, Failure { at: now, term });
    }

    pub(super) fn has_hint(&self) -> bool {
        self.hint.is_some()
    }
}

#[cfg(test)]
mod tests;
