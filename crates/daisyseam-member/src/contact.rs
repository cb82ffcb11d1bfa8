//! Whether control instances answer this instance, decided without I/O.

#[cfg(test)]
mod tests;

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::Duration, //
};
use tokio::time::Instant;

/// Shortest time without any answer after which control can be silent. It exceeds a round trip between
/// regions and the longest delay between two attempts several times.
const SILENCE_MIN: Duration = Duration::from_millis(500);

/// Number of control instances that have to fail in a row, unless fewer are known. A leader and one
/// other member may be lost together with a data centre while the rest of control continues.
const SILENT_INSTANCES: usize = 3;

/// What this instance knows about control.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ContactState {
    /// Control instances answer, but none of them has been found to lead.
    #[default]
    Leaderless,
    /// The leader answers.
    Led,
    /// No control instance answers in any way.
    Silent,
}

/// Tracks the answers of control instances and the attempts that failed.
#[derive(Debug)]
pub struct ControlContact {
    state: ContactState,
    last_answer: Instant,
    /// Instances that have failed since the last answer.
    failed: BTreeSet<SocketAddr>,
}

impl ControlContact {
    /// Starts without any answer.
    pub fn new(now: Instant) -> Self {
        Self {
            state: ContactState::default(),
            last_answer: now,
            failed: BTreeSet::new(),
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> ContactState {
        self.state
    }

    /// Returns the time since the last answer.
    pub fn time_without_answer(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_answer)
    }

    /// Records that the leader answered.
    pub fn record_leader(&mut self, at: Instant) {
        self.record_answer(at, ContactState::Led);
    }

    /// Records that an instance answered that it does not lead.
    pub fn record_not_leader(&mut self, at: Instant) {
        self.record_answer(at, ContactState::Leaderless);
    }

    fn record_answer(&mut self, at: Instant, state: ContactState) {
        self.state = state;
        self.last_answer = self.last_answer.max(at);
        self.failed.clear();
    }

    /// Records that an instance did not answer, out of `known` instances.
    ///
    /// A failure alone does not make control silent: while only the leader is lost, another instance
    /// answers at the next attempt.
    pub fn record_failure(&mut self, now: Instant, instance: SocketAddr, known: usize) {
        self.failed.insert(instance);
        let required = SILENT_INSTANCES.min(known);
        let is_silent = self.time_without_answer(now) >= SILENCE_MIN;
        self.state = match is_silent && self.failed.len() >= required {
            true => ContactState::Silent,
            false if self.state == ContactState::Silent => ContactState::Silent,
            false => ContactState::Leaderless,
        };
    }
}
