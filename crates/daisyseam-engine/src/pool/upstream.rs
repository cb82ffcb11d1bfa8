//! The connections to one database.

use super::{
    connection::{
        DatabaseLink,
        PooledConnection, //
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
    pub(crate) last_turn: u64,
}

struct PoolState<C: DatabaseConnection> {
    retired: bool,
    /// Whether released connections are closed instead of kept idle.
    shut: bool,
    budget: ConnectionBudget,
    /// Temporary connection limit and its expiry, set when the database refused a connection.
    hold: Option<(usize, Instant)>,
    /// Number of connections in use or being opened.
    checked_out: usize,
    /// Least recently used first.
    idle: Vec<IdleLink<C>>,
    waiting: VecDeque<Waiter<C>>,
    /// Sequence number of the last claim.
    last_turn: u64,
}

struct IdleLink<C> {
    organisation: Option<OrganisationId>,
    link: DatabaseLink<C>,
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
    Place(Place<C>),
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
pub(super) struct Place<C: DatabaseConnection> {
    pool: Arc<UpstreamPool<C>>,
    held: bool,
}

impl<C: DatabaseConnection> UpstreamPool<C> {
    pub(super) fn new(named: &UpstreamView, budget: ConnectionBudget) -> Self {
        Self {
            address: named.address,
            born_ms: named.born_ms,
            state: Mutex::new(PoolState {
                retired: false,
                shut: false,
                budget,
                hold: None,
                checked_out: 0,
                idle: Vec::new(),
                waiting: VecDeque::new(),
                last_turn: 0,
            }),
        }
    }

    /// Returns whether the connections are to the database process listed in a view.
    pub(super) fn is_of(&self, named: &UpstreamView) -> bool {
        self.address == named.address && self.born_ms == named.born_ms
    }

    /// Returns the load of the connections.
    pub(super) fn load(&self) -> UpstreamLoad {
        let state = self.state.lock();
        UpstreamLoad {
            full: state.checked_out >= state.most(),
            checked_out: state.checked_out,
            last_turn: state.last_turn,
        }
    }

    pub(super) fn set_budget(self: &Arc<Self>, budget: ConnectionBudget) {
        let mut state = self.state.lock();
        if state.budget == budget {
            return;
        }
        state.budget = budget;
        let keep = budget.kept.saturating_sub(state.checked_out);
        let surplus = state.idle.len().saturating_sub(keep);
        let surplus: Vec<_> = state.idle.drain(..surplus).collect();
        drop(state);
        drop(surplus);
        while let Some(waiter) = self.next_place() {
            self.grant_place(waiter);
        }
    }

    /// Sets whether released connections are closed instead of kept idle.
    pub(super) fn set_shut(&self, shut: bool) {
        self.state.lock().shut = shut;
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
        turn: u64,
    ) -> Claim<C> {
        loop {
            let mut state = self.state.lock();
            state.last_turn = turn;
            if let Some(mut link) = state.take_idle(organisation, values) {
                state.checked_out += 1;
                drop(state);
                let place = Place::of(self);
                if link.connection.is_stale() {
                    drop(link);
                    drop(place);
                    continue;
                }
                let connection = PooledConnection::checked_out(place, organisation.cloned(), link);
                return Claim::Granted(Grant::Connection(connection));
            }
            let evicted = match state.make_room() {
                Room::Free => None,
                Room::Evicted(link) => Some(link),
                Room::None => {
                    let (granted, receiver) = oneshot::channel();
                    state.waiting.push_back(Waiter {
                        organisation: organisation.cloned(),
                        granted,
                    });
                    return Claim::Wait(receiver, state.held_until());
                }
            };
            state.checked_out += 1;
            drop(state);
            drop(evicted);
            return Claim::Granted(Grant::Place(Place::of(self)));
        }
    }

    /// Takes back a connection that can be reused, and passes it to a waiter if there is one.
    fn give_back(
        self: &Arc<Self>,
        mut place: Place<C>,
        organisation: Option<OrganisationId>,
        link: DatabaseLink<C>,
    ) {
        let mut state = self.state.lock();
        if state.retired || state.shut || state.used() > state.budget.kept {
            drop(state);
            // Closes the connection before its place is released.
            drop(link);
            drop(place);
            return;
        }
        let Some(waiter) = state.next_waiter() else {
            state.checked_out -= 1;
            place.held = false;
            state.idle.push(IdleLink { organisation, link });
            return;
        };
        drop(state);
        let grant = if waiter.organisation == organisation {
            Grant::Connection(PooledConnection::checked_out(place, organisation, link))
        } else {
            drop(link);
            Grant::Place(place)
        };
        // If the waiter has gone, the grant is dropped, which gives it back.
        let _ = waiter.granted.send(grant);
    }

    /// Reserves a place for the next waiter, if there is one and the budget allows it.
    fn next_place(&self) -> Option<Waiter<C>> {
        let mut state = self.state.lock();
        if state.retired || state.used() >= state.most() {
            return None;
        }
        let waiter = state.next_waiter()?;
        state.checked_out += 1;
        Some(waiter)
    }

    fn grant_place(self: &Arc<Self>, waiter: Waiter<C>) {
        let _ = waiter.granted.send(Grant::Place(Place::of(self)));
    }

    fn release_place(self: &Arc<Self>) {
        self.state.lock().checked_out -= 1;
        if let Some(waiter) = self.next_place() {
            self.grant_place(waiter);
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
    ) -> Option<DatabaseLink<C>> {
        let own = |idle: &IdleLink<C>| idle.organisation.as_ref() == organisation;
        let equal = |idle: &IdleLink<C>| own(idle) && idle.link.memory.equals(values);
        let index = self.idle.iter().rposition(equal);
        let index = index.or_else(|| self.idle.iter().rposition(own))?;
        Some(self.idle.remove(index).link)
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
    fn most(&self) -> usize {
        let held = self.held();
        let most = self.budget.most;
        held.map_or(most, |(others, _)| others.min(most))
    }

    /// Returns when the temporary limit expires, if one applies.
    fn held_until(&self) -> Option<Instant> {
        self.held().map(|(_, until)| until)
    }

    fn held(&self) -> Option<(usize, Instant)> {
        self.hold.filter(|(_, until)| Instant::now() < *until)
    }

    fn make_room(&mut self) -> Room<C> {
        let most = self.most();
        if self.used() < most {
            return Room::Free;
        }
        if self.idle.is_empty() || self.checked_out >= most {
            return Room::None;
        }
        Room::Evicted(self.idle.remove(0).link)
    }
}

/// Whether the budget allows one more connection.
enum Room<C> {
    Free,
    Evicted(DatabaseLink<C>),
    None,
}

impl<C: DatabaseConnection> Place<C> {
    fn of(pool: &Arc<UpstreamPool<C>>) -> Self {
        Self {
            pool: Arc::clone(pool),
            held: true,
        }
    }

    /// Limits the pool, until an instant, to the connections other than this one, which the
    /// database refused.
    pub(super) fn hold(&self, until: Instant) {
        let mut state = self.pool.state.lock();
        let others = state.used().saturating_sub(1);
        state.hold = Some((others, until));
    }

    /// Returns a connection together with its place.
    pub(super) fn give_back(self, organisation: Option<OrganisationId>, link: DatabaseLink<C>) {
        let pool = Arc::clone(&self.pool);
        pool.give_back(self, organisation, link);
    }
}

impl<C: DatabaseConnection> Drop for Place<C> {
    fn drop(&mut self) {
        if self.held {
            self.pool.release_place();
        }
    }
}
