//! Time limits of an operation.

use crate::{
    identity::CallerRights,
    urgency::{
        QueueRule,
        Urgency, //
    }, //
};
use daisyseam_member::AdmissionDeadlines;
use daisyseam_model::document::RequestLimits;
use std::time::Duration;
use tokio::time::Instant;

/// Target latency of an operation whose service does not specify one.
const DEFAULT_TARGET_LATENCY: Duration = Duration::from_secs(1);

/// Longest wait for a rate limit token.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(200);

/// Divisor of the target latency that gives the longest wait for a primary.
const PRIMARY_WAIT_DIVISOR: u32 = 1;

/// Divisor of the target latency that gives the longest wait for a connection.
const QUEUE_WAIT_DIVISOR: u32 = 4;

/// Divisor of the target latency that gives the longest wait for a token.
const TOKEN_WAIT_DIVISOR: u32 = 10;

/// The same for the most urgent requests, where the services differ in priority. The other half of the
/// target is left for the database.
const URGENT_TOKEN_WAIT_DIVISOR: u32 = 2;

/// Percentage of the statement timeout that limits the wait for a lease or a rate share.
const SHARE_WAIT_PERCENT: u32 = 45;

/// Lower and upper bound of the time limit for opening a connection.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Least time for confirming a commit, where the deadline of the request leaves it.
const MIN_CONFIRM_TIME: Duration = Duration::from_millis(300);

/// The time limits of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OperationTimes {
    received_at: Instant,
    timeout: Duration,
    target_latency: Duration,
    urgency: Urgency,
}

impl OperationTimes {
    /// Returns the time limits of a request received now.
    pub(crate) fn start(rights: &CallerRights) -> Self {
        Self::since(Instant::now(), rights)
    }

    /// Returns the time limits of a request received at `received_at`.
    pub(crate) fn since(received_at: Instant, rights: &CallerRights) -> Self {
        let service_timeout = rights.service.statement_timeout;
        let timeout = service_timeout.unwrap_or_else(|| limits(rights).statement_timeout);
        Self {
            received_at,
            timeout,
            target_latency: rights
                .service
                .target_latency
                .unwrap_or(DEFAULT_TARGET_LATENCY),
            urgency: Urgency::of_priority(rights.service.priority),
        }
    }

    /// Returns when the request was received.
    pub(crate) fn received_at(&self) -> Instant {
        self.received_at
    }

    /// Returns the deadline given by the statement timeout.
    pub(crate) fn deadline(&self) -> Instant {
        self.received_at + self.timeout
    }

    /// Returns how long the request may wait for admission: only briefly for a token, but for a
    /// lease or a rate share that this instance lacks as long as it can still meet its deadline.
    pub(crate) fn admit(&self, rule: QueueRule, most_urgent: Urgency) -> AdmissionDeadlines {
        let limit = self.timeout * SHARE_WAIT_PERCENT / 100;
        // An organisation over its rate spends its tokens on its most urgent requests. These wait for
        // the next tokens, while others are refused early enough for a retry elsewhere.
        let (divisor, urgency) = match rule {
            QueueRule::Turns => (TOKEN_WAIT_DIVISOR, Urgency::HIGHEST),
            QueueRule::Urgency if self.urgency <= most_urgent => {
                (URGENT_TOKEN_WAIT_DIVISOR, self.urgency)
            }
            QueueRule::Urgency => (TOKEN_WAIT_DIVISOR, self.urgency),
        };
        AdmissionDeadlines {
            token: self.received_at + (self.target_latency / divisor).min(MAX_TOKEN_WAIT),
            share: self.received_at + self.target_latency.min(limit),
            urgency: urgency.to_priority(),
        }
    }

    /// Returns the urgency of the request.
    pub(crate) fn urgency(&self) -> Urgency {
        self.urgency
    }

    /// Returns when the answer is due according to the target latency.
    pub(crate) fn target(&self) -> Instant {
        self.received_at + self.target_latency.min(self.timeout)
    }

    /// Returns the deadline of a wait for a connection that starts at `now`.
    pub(crate) fn queue_until(&self, now: Instant, rule: QueueRule) -> Instant {
        let fixed = (now + self.target_latency / QUEUE_WAIT_DIVISOR).min(self.deadline());
        match rule {
            QueueRule::Turns => fixed,
            // If the target has passed already, the answer is late, but still wanted.
            QueueRule::Urgency if self.target() <= now => fixed,
            QueueRule::Urgency => self.target(),
        }
    }

    /// Returns the deadline for opening a connection that starts at `now`.
    pub(crate) fn connect_until(&self, now: Instant) -> Instant {
        let limit = (self.target_latency / 2).clamp(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT);
        (now + limit).min(self.deadline())
    }

    /// Returns the deadline for confirming a commit that its primary has acknowledged at `now`.
    pub(crate) fn confirm_until(&self, now: Instant) -> Instant {
        let at_least = (now + MIN_CONFIRM_TIME).min(self.deadline());
        self.primary_until().max(at_least).max(now)
    }

    /// Returns the deadline of the wait for a primary.
    pub(crate) fn primary_until(&self) -> Instant {
        let wait = self.target_latency / PRIMARY_WAIT_DIVISOR;
        self.received_at + wait.min(self.timeout)
    }
}

/// Returns the idle timeout of transactions.
pub(crate) fn idle_limit(rights: &CallerRights) -> Duration {
    limits(rights).idle_in_transaction_timeout
}

fn limits(rights: &CallerRights) -> RequestLimits {
    let document = rights.held.view.document.as_ref();
    document.map_or_else(RequestLimits::default, |document| document.limits.clone())
}
