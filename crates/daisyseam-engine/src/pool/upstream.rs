//! The connections to one database.

use super::{
    connection::{
        PooledConnection,
        TrackedConnection, //
    },
    shares::ConnectionBudget, //
};
use crate::{
    DatabaseConnection,
    values::SessionValues, //
};
use daisyseam_model::{
    OrganisationId,
    UpstreamView, //
};
use parking_lot::Mutex;
use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::Arc, //
};
use tokio::{
    sync::oneshot,
    time::Instant, //
};

/// The connections to one database process, within this instance's budget.
pub(super) struct UpstreamPool<C: DatabaseConnection> {
    address: SocketAddr,
    born_ms: u64,
    state: Mutex<PoolState<C>>,
}

/// The load of the connections to a database; lower values are preferred.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct UpstreamLoad {
    /// Whether the connection limit is reached.
    pub(crate) full: bool,
    /// Number of connections in use or being opened.
    pub(crate) checked_out: usize,
    /// Sequence number of the last claim.
    pub(crate) last_claim: u64,
}

struct PoolState<C: DatabaseConnection> {
    retired: bool,
    /// Whether released connections are closed instead of kept idle.
    close_on_release: bool,
    budget: ConnectionBudget,
    /// Temporary connection limit and its expiry, set when the database refused a connection.
    temporary_limit: Option<(usize, Instant)>,
    /// Number of connections in use or being opened.
    checked_out: usize,
    /// Least recently used first.
    idle: Vec<IdleConnection<C>>,
    waiting: VecDeque<Waiter<C>>,
    /// Sequence number of the last claim.
    last_claim: u64,
}

struct IdleConnection<C> {
    organisation: Option<OrganisationId>,
    tracked: TrackedConnection<C>,
}

struct Waiter<C: DatabaseConnection> {
    organisation: Option<OrganisationId>,
    granted: oneshot::Sender<Grant<C>>,
}

/// What a claim is granted.
pub(super) enum Grant<C: DatabaseConnection> {
    /// A connection.
    Connection(PooledConnection<C>),
    /// The permission to open one.
    Permit(ConnectionPermit<C>),
}

/// The result of a claim.
pub(super) enum Claim<C: DatabaseConnection> {
    /// Granted immediately.
    Granted(Grant<C>),
    /// Granted later, when another session releases a connection. If an instant is given, the claim
    /// may be repeated then.
    Wait(oneshot::Receiver<Grant<C>>, Option<Instant>),
}

/// Permission for one connection within the budget; released on drop.
pub(super) struct ConnectionPermit<C: DatabaseConnection> {
    pool: Arc<UpstreamPool<C>>,
    release_on_drop: bool,
}

impl<C: DatabaseConnection> UpstreamPool<C> {
    pub(super) fn new(upstream_view: &UpstreamView, budget: ConnectionBudget) -> Self {
        Self {
            address: upstream_view.address,
            born_ms: upstream_view.born_ms,
            state: Mutex::new(PoolState {
                retired: false,
                close_on_release: false,
                budget,
                temporary_limit: None,
                checked_out: 0,
                idle: Vec::new(),
                waiting: VecDeque::new(),
                last_claim: 0,
            }),
        }
    }

    /// Returns whether the connections are to the database process listed in a view.
    pub(super) fn is_of(&self, upstream_view: &UpstreamView) -> bool {
        self.address == upstream_view.address && self.born_ms == upstream_view.born_ms
    }

    /// Returns the load of the connections.
    pub(super) fn load(&self) -> UpstreamLoad {
        let state = self.state.lock();
        UpstreamLoad {
            full: state.checked_out >= state.max_open(),
            checked_out: state.checked_out,
            last_claim: state.last_claim,
        }
    }

    pub(super) fn set_budget(self: &Arc<Self>, budget: ConnectionBudget) {
        let mut state = self.state.lock();
        if state.budget == budget {
            return;
        }
        state.budget = budget;
        let keep = budget.share.saturating_sub(state.checked_out);
        let surplus = state.idle.len().saturating_sub(keep);
        let surplus: Vec<_> = state.idle.drain(..surplus).collect();
        drop(state);
        drop(surplus);
        while let Some(waiter) = self.reserve_permit() {
            self.grant_permit(waiter);
        }
    }

    /// Sets whether released connections are closed instead of kept idle.
    pub(super) fn set_close_on_release(&self, close_on_release: bool) {
        self.state.lock().close_on_release = close_on_release;
    }

    /// Closes all connections, those in use as soon as they are released.
    pub(super) fn retire(&self) {
        let mut state = self.state.lock();
        state.retired = true;
        let idle = std::mem::take(&mut state.idle);
        let waiting = std::mem::take(&mut state.waiting);
        drop(state);
        drop((idle, waiting));
    }

    /// Closes the idle connections.
    pub(super) fn close_idle(&self) {
        let idle = std::mem::take(&mut self.state.lock().idle);
        drop(idle);
    }

    /// Claims a connection for an organisation, preferably one that already has the values set.
    pub(super) fn claim(
        self: &Arc<Self>,
        organisation: Option<&OrganisationId>,
        values: &SessionValues,
        claim_number: u64,
    ) -> Claim<C> {
        loop {
            let mut state = self.state.lock();
            state.last_claim = claim_number;
            if let Some(mut tracked) = state.take_idle(organisation, values) {
                state.checked_out += 1;
                drop(state);
                let permit = ConnectionPermit::of(self);
                if tracked.connection.is_stale() {
                    drop(tracked);
                    drop(permit);
                    continue;
                }
                let connection =
                    PooledConnection::checked_out(permit, organisation.cloned(), tracked);
                return Claim::Granted(Grant::Connection(connection));
            }
            let evicted = match state.make_room() {
                Room::Free => None,
                Room::Evicted(tracked) => Some(tracked),
                Room::None => {
                    let (granted, receiver) = oneshot::channel();
                    state.waiting.push_back(Waiter {
                        organisation: organisation.cloned(),
                        granted,
                    });
                    return Claim::Wait(receiver, state.limit_expiry());
                }
            };
            state.checked_out += 1;
            drop(state);
            drop(evicted);
            return Claim::Granted(Grant::Permit(ConnectionPermit::of(self)));
        }
    }

    /// Takes back a connection that can be reused, and passes it to a waiter if there is one.
    fn return_connection(
        self: &Arc<Self>,
        mut permit: ConnectionPermit<C>,
        organisation: Option<OrganisationId>,
        tracked: TrackedConnection<C>,
    ) {
        let mut state = self.state.lock();
        if state.retired || state.close_on_release || state.used() > state.budget.share {
            drop(state);
            // Closes the connection before its permit is released.
            drop(tracked);
            drop(permit);
            return;
        }
        let Some(waiter) = state.next_waiter() else {
            state.checked_out -= 1;
            permit.release_on_drop = false;
            state.idle.push(IdleConnection {
                organisation,
                tracked,
            });
            return;
        };
        drop(state);
        let grant = if waiter.organisation == organisation {
            Grant::Connection(PooledConnection::checked_out(permit, organisation, tracked))
        } else {
            drop(tracked);
            Grant::Permit(permit)
        };
        // If the waiter has gone, the grant is dropped, which gives it back.
        let _ = waiter.granted.send(grant);
    }

    /// Reserves a permit for the next waiter, if there is one and the budget allows it.
    fn reserve_permit(&self) -> Option<Waiter<C>> {
        let mut state = self.state.lock();
        if state.retired || state.used() >= state.max_open() {
            return None;
        }
        let waiter = state.next_waiter()?;
        state.checked_out += 1;
        Some(waiter)
    }

    fn grant_permit(self: &Arc<Self>, waiter: Waiter<C>) {
        let _ = waiter
            .granted
            .send(Grant::Permit(ConnectionPermit::of(self)));
    }

    fn release_permit(self: &Arc<Self>) {
        self.state.lock().checked_out -= 1;
        if let Some(waiter) = self.reserve_permit() {
            self.grant_permit(waiter);
        }
    }
}

impl<C: DatabaseConnection> PoolState<C> {
    fn used(&self) -> usize {
        self.checked_out + self.idle.len()
    }

    fn take_idle(
        &mut self,
        organisation: Option<&OrganisationId>,
        values: &SessionValues,
    ) -> Option<TrackedConnection<C>> {
        let same_organisation =
            |idle: &IdleConnection<C>| idle.organisation.as_ref() == organisation;
        let same_values = |idle: &IdleConnection<C>| {
            same_organisation(idle) && idle.tracked.session_state.matches(values)
        };
        let index = self.idle.iter().rposition(same_values);
        let index = index.or_else(|| self.idle.iter().rposition(same_organisation))?;
        Some(self.idle.remove(index).tracked)
    }

    /// Returns the first waiter that has not given up.
    fn next_waiter(&mut self) -> Option<Waiter<C>> {
        loop {
            let waiter = self.waiting.pop_front()?;
            if !waiter.granted.is_closed() {
                return Some(waiter);
            }
        }
    }

    /// Returns the current limit on connections.
    fn max_open(&self) -> usize {
        let limit = self.active_limit();
        let max_open = self.budget.max_open;
        limit.map_or(max_open, |(others, _)| others.min(max_open))
    }

    /// Returns when the temporary limit expires, if one applies.
    fn limit_expiry(&self) -> Option<Instant> {
        self.active_limit().map(|(_, until)| until)
    }

    fn active_limit(&self) -> Option<(usize, Instant)> {
        self.temporary_limit
            .filter(|(_, until)| Instant::now() < *until)
    }

    fn make_room(&mut self) -> Room<C> {
        let max_open = self.max_open();
        if self.used() < max_open {
            return Room::Free;
        }
        if self.idle.is_empty() || self.checked_out >= max_open {
            return Room::None;
        }
        Room::Evicted(self.idle.remove(0).tracked)
    }
}

/// Whether the budget allows one more connection.
enum Room<C> {
    Free,
    Evicted(TrackedConnection<C>),
    None,
}

impl<C: DatabaseConnection> ConnectionPermit<C> {
    fn of(pool: &Arc<UpstreamPool<C>>) -> Self {
        Self {
            pool: Arc::clone(pool),
            release_on_drop: true,
        }
    }

    /// Limits the pool, until an instant, to the connections other than this one, which the
    /// database refused.
    pub(super) fn limit_until(&self, until: Instant) {
        let mut state = self.pool.state.lock();
        let others = state.used().saturating_sub(1);
        state.temporary_limit = Some((others, until));
    }

    /// Returns a connection together with its permit.
    pub(super) fn return_connection(
        self,
        organisation: Option<OrganisationId>,
        tracked: TrackedConnection<C>,
    ) {
        let pool = Arc::clone(&self.pool);
        pool.return_connection(self, organisation, tracked);
    }
}

impl<C: DatabaseConnection> Drop for ConnectionPermit<C> {
    fn drop(&mut self) {
        if self.release_on_drop {
            self.pool.release_permit();
        }
    }
}
