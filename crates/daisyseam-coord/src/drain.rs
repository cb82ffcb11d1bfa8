//! Graceful stops: what must end before an instance or a database may go.

use crate::Moment;
use std::time::Duration;

/// Times of a stop, each from its start.
#[derive(Clone, Copy, Debug)]
pub struct DrainPolicy {
    /// Time for which new connections are still taken, so that the balancer can look elsewhere.
    pub notice: Duration,
    /// Time after which what still runs is cut.
    pub deadline: Duration,
}

/// What is still under way.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DrainCounts {
    /// Connections of callers on which nothing runs.
    pub idle_connections: usize,
    /// Connections of callers on which a request or transaction runs.
    pub busy_connections: usize,
    /// Links checked out to this instance's callers or to its peers.
    pub links: usize,
    /// Databases whose connections are still held.
    pub holdings: usize,
    /// Whether shares of rates are still held.
    pub shares: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainStep {
    /// Say that no new work is wanted, and go on serving until this moment.
    Announce(Moment),
    /// Take no new connections, close those on which nothing runs, and let the rest finish until
    /// this moment.
    CloseIdle(Moment),
    /// Hand the holdings to others, then let the last links of peers finish until this moment.
    HandOver(Moment),
    /// Return the shares of rates, the last thing that callers needed.
    ReturnShares,
    /// All has ended: say farewell to control and exit.
    Leave,
    /// The deadline has passed: cut what is left and exit.
    Cut(DrainCounts),
}

/// The order of a graceful stop.
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
/// let busy = DrainCounts { busy_connections: 1, holdings: 1, ..DrainCounts::default() };
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
    /// Starts a stop.
    pub fn start(now: Moment, policy: DrainPolicy) -> Self {
        Self {
            notice_until: now + policy.notice.min(policy.deadline),
            deadline: now + policy.deadline,
        }
    }

    /// Returns the moment at which what is left is cut.
    pub fn deadline(&self) -> Moment {
        self.deadline
    }

    /// Returns what to do with what is still under way.
    ///
    /// Callers finish first; holdings are handed over only when no caller of this instance needs
    /// them, and shares go back only when no caller can ask for a token any more.
    pub fn next(&self, now: Moment, counts: DrainCounts) -> DrainStep {
        if counts == DrainCounts::default() && now >= self.notice_until {
            return DrainStep::Leave;
        }
        if now >= self.deadline {
            return DrainStep::Cut(counts);
        }
        if now < self.notice_until {
            return DrainStep::Announce(self.notice_until);
        }
        if counts.idle_connections > 0 || counts.busy_connections > 0 {
            return DrainStep::CloseIdle(self.deadline);
        }
        if counts.holdings > 0 || counts.links > 0 {
            return DrainStep::HandOver(self.deadline);
        }
        DrainStep::ReturnShares
    }
}
