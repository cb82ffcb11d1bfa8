//! Graceful shutdown: the order in which the work of an instance is drained.

use crate::Moment;
use std::time::Duration;

/// Durations of a graceful shutdown, each measured from its start.
#[derive(Clone, Copy, Debug)]
pub struct DrainPolicy {
    /// Time for which new connections are still accepted, so that the load balancer can redirect
    /// traffic.
    pub notice: Duration,
    /// Time after which remaining work is aborted.
    pub deadline: Duration,
}

/// Remaining work of the instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DrainCounts {
    /// Idle client connections.
    pub idle_connections: usize,
    /// Client connections with a request or transaction in progress.
    pub busy_connections: usize,
    /// Database connections checked out by clients of this instance or by peers.
    pub checked_out_connections: usize,
    /// Databases whose connections this instance still holds.
    pub held_databases: usize,
    /// Whether shares of rate limits are still held.
    pub shares: bool,
}

/// Next step of a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainStep {
    /// Announce the shutdown and keep serving until this moment.
    Announce(Moment),
    /// Refuse new connections, close idle ones, and let the others finish until this moment.
    CloseIdle(Moment),
    /// Hand the held databases over to other instances, and let the remaining connections of peers
    /// finish until this moment.
    HandOver(Moment),
    /// Return the shares of rate limits, which clients no longer need.
    ReturnShares,
    /// No work remains: deregister from control and exit.
    Leave,
    /// The deadline has passed: abort the remaining work and exit.
    Abort(DrainCounts),
}

/// Plan of a graceful shutdown.
///
/// # Examples
///
/// ```
/// use daisyseam_coord::{Moment, drain::{DrainCounts, DrainPlan, DrainPolicy, DrainStep}};
/// use std::time::Duration;
///
/// let policy = DrainPolicy {
///     notice: Duration::from_secs(1),
///     deadline: Duration::from_secs(30),
/// };
/// let plan = DrainPlan::start(Moment::ORIGIN, policy);
/// let busy = DrainCounts { busy_connections: 1, held_databases: 1, ..DrainCounts::default() };
/// let step = plan.next(Moment::from_millis(1_500), busy);
/// assert_eq!(step, DrainStep::CloseIdle(Moment::from_millis(30_000)));
/// assert_eq!(plan.next(Moment::from_millis(1_500), DrainCounts::default()), DrainStep::Leave);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct DrainPlan {
    notice_until: Moment,
    deadline: Moment,
}

impl DrainPlan {
    /// Starts a shutdown.
    pub fn start(now: Moment, policy: DrainPolicy) -> Self {
        Self {
            notice_until: now + policy.notice.min(policy.deadline),
            deadline: now + policy.deadline,
        }
    }

    /// Returns the moment at which remaining work is aborted.
    pub fn deadline(&self) -> Moment {
        self.deadline
    }

    /// Returns the next step for the remaining work.
    ///
    /// Clients finish first. Databases are handed over only when no client of this instance needs
    /// them, and rate shares are returned only when no client can request a token any more.
    pub fn next(&self, now: Moment, counts: DrainCounts) -> DrainStep {
        if counts == DrainCounts::default() && now >= self.notice_until {
            return DrainStep::Leave;
        }
        if now >= self.deadline {
            return DrainStep::Abort(counts);
        }
        if now < self.notice_until {
            return DrainStep::Announce(self.notice_until);
        }
        if counts.idle_connections > 0 || counts.busy_connections > 0 {
            return DrainStep::CloseIdle(self.deadline);
        }
        if counts.held_databases > 0 || counts.checked_out_connections > 0 {
            return DrainStep::HandOver(self.deadline);
        }
        DrainStep::ReturnShares
    }
}
