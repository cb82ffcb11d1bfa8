//! The times that bound an operation.

use crate::identity::CallerRights;
use daisyseam_member::AdmissionDeadlines;
use daisyseam_model::document::RequestLimits;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which an operation should be answered if its service does not say.
const TARGET: Duration = Duration::from_secs(1);

/// Longest wait for a token.
const TOKEN_WAIT_MAX: Duration = Duration::from_millis(200);

/// Part of the time within which an operation should be answered for which it waits for a primary,
/// as a divisor.
const PRIMARY_WAIT_DIVISOR: u32 = 1;

/// Part of it for which it waits for a connection, as a divisor.
const QUEUE_WAIT_DIVISOR: u32 = 4;

/// Part of it for which it waits for a token, as a divisor.
const TOKEN_WAIT_DIVISOR: u32 = 10;

/// Part of a statement's timeout for which it waits for a lease or a share at most, in percent.
const SHARE_WAIT_PERCENT: u32 = 45;

/// Shortest and longest time that opening a connection may take.
const CONNECT_MIN: Duration = Duration::from_millis(300);
const CONNECT_MAX: Duration = Duration::from_millis(1_000);

/// The times that bound one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OperationTimes {
    start: Instant,
    timeout: Duration,
    target: Duration,
}

impl OperationTimes {
    /// Returns the times of a request that has just come in.
    pub(crate) fn start(rights: &CallerRights) -> Self {
        Self::since(Instant::now(), rights)
    }

    /// Returns the times of a request that came in at a moment.
    pub(crate) fn since(start: Instant, rights: &CallerRights) -> Self {
        let stated = rights.service.statement_timeout;
        let timeout = stated.unwrap_or_else(|| limits(rights).statement_timeout);
        Self {
            start,
            timeout,
            target: rights.service.target_latency.unwrap_or(TARGET),
        }
    }

    /// Returns when the request came in.
    pub(crate) fn began(&self) -> Instant {
        self.start
    }

    /// Returns when the statement's time is over.
    pub(crate) fn deadline(&self) -> Instant {
        self.start + self.timeout
    }

    /// Returns until when it waits to be admitted: for its turn only shortly, for a lease or a share
    /// that this instance lacks as long as it may still be in time.
    pub(crate) fn admit(&self) -> AdmissionDeadlines {
        let most = self.timeout * SHARE_WAIT_PERCENT / 100;
        AdmissionDeadlines {
            token: self.start + (self.target / TOKEN_WAIT_DIVISOR).min(TOKEN_WAIT_MAX),
            share: self.start + self.target.min(most),
        }
    }

    /// Returns until when it waits for a connection from now on.
    pub(crate) fn queue_until(&self, now: Instant) -> Instant {
        (now + self.target / QUEUE_WAIT_DIVISOR).min(self.deadline())
    }

    /// Returns until when a connection that is opened from now on may take.
    pub(crate) fn connect_until(&self, now: Instant) -> Instant {
        let most = (self.target / 2).clamp(CONNECT_MIN, CONNECT_MAX);
        (now + most).min(self.deadline())
    }

    /// Returns until when it waits for a primary.
    pub(crate) fn primary_until(&self) -> Instant {
        let wait = self.target / PRIMARY_WAIT_DIVISOR;
        self.start + wait.min(self.timeout)
    }
}

/// Returns how long a transaction may sit idle.
pub(crate) fn idle_limit(rights: &CallerRights) -> Duration {
    limits(rights).idle_in_transaction_timeout
}

fn limits(rights: &CallerRights) -> RequestLimits {
    let document = rights.held.view.document.as_ref();
    document.map_or_else(RequestLimits::default, |document| document.limits.clone())
}
