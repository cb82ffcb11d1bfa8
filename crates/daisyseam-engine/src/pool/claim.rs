//! Claims of connections to a database, and what they get.

#[cfg(test)]
mod tests;

use super::{
    connection::PooledConnection,
    upstream::ConnectionPermit,
    wait_queue::WaitEntry, //
};
use crate::{
    DatabaseConnection,
    urgency::{
        QueueRule,
        Urgency, //
    },
    values::SessionValues, //
};
use daisyseam_model::OrganisationId;
use std::time::Duration;
use tokio::{
    sync::oneshot,
    time::Instant, //
};

/// Divisor of the time left to the target that gives the time after which a waiting request is not
/// refused in favour of others.
const KEEP_DIVISOR: u32 = 4;

/// What a claim is granted.
pub(super) enum Grant<C: DatabaseConnection> {
    /// A connection.
    Connection(PooledConnection<C>),
    /// The permission to open one.
    Permit(ConnectionPermit<C>),
}

/// What a claim that waited gets: a grant, or the refusal in favour of other requests.
pub(super) type GrantResult<C> = Result<Grant<C>, ClaimRefusal>;

/// The refusal of a claim because the queue is too long.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct ClaimRefusal {
    /// Time after which a retry is expected to succeed, if known.
    pub(super) retry_after: Option<Duration>,
}

/// The result of a claim.
pub(super) enum Claim<C: DatabaseConnection> {
    /// Granted immediately.
    Granted(Grant<C>),
    /// Granted later, when another session releases a connection.
    Wait {
        granted: oneshot::Receiver<GrantResult<C>>,
        /// End of the wait.
        until: Instant,
        /// When to stop waiting if no waiting request has been served by then.
        check_at: Option<Instant>,
        /// When the claim may be repeated, if there is a temporary limit.
        limit_expiry: Option<Instant>,
    },
    /// Not granted: others would take all of the time until the deadline.
    Rejected(ClaimRefusal),
}

/// What a connection is claimed for.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClaimRequest<'a> {
    pub(super) organisation: Option<&'a OrganisationId>,
    /// A connection that already has these values set is preferred.
    pub(super) values: &'a SessionValues,
    pub(super) number: u64,
    /// Latest end of the wait.
    pub(super) deadline: Instant,
    /// When the answer is due.
    pub(super) target: Instant,
    pub(super) urgency: Urgency,
    pub(super) rule: QueueRule,
}

impl<'a> ClaimRequest<'a> {
    /// Returns what the request waits with if a statement takes `service_time`; `None` for it if
    /// the wait cannot be estimated.
    pub(super) fn wait_entry(&self, now: Instant, service_time: Option<Duration>) -> WaitEntry<'a> {
        let left = self.target.saturating_duration_since(now);
        let (start_by, keep_from) = match self.rule {
            QueueRule::Urgency if !left.is_zero() => {
                let keep_from = now + left / KEEP_DIVISOR;
                let start_by = service_time.map_or(keep_from, |service_time| {
                    now + left.saturating_sub(service_time)
                });
                (start_by.min(self.deadline), keep_from)
            }
            QueueRule::Turns | QueueRule::Urgency => (self.deadline, self.deadline),
        };
        WaitEntry {
            organisation: self.organisation,
            urgency: self.urgency,
            rule: self.rule,
            number: self.number,
            start_by,
            keep_from,
        }
    }
}
