//! The connections to one database.

#[cfg(test)]
mod tests;

use super::{
    claim::{
        Claim,
        ClaimRefusal,
        ClaimRequest,
        Grant,
        GrantResult, //
    },
    connection::{
        PooledConnection,
        TrackedConnection, //
    },
    estimate::QueueEstimate,
    run_limit::RunLimit,
    service_times::ServiceTimes,
    shares::ConnectionBudget,
    usage::RecentUsage,
    wait_queue::{
        ShedItem,
        WaitQueue, //
    }, //
};
use crate::{
    DatabaseConnection,
    urgency::{
        QueueRule,
        Urgency, //
    },
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
    sync::Arc,
    time::Duration, //
};
use tokio::{
    sync::oneshot,
    time::Instant, //
};

/// Shortest time after which a refused request should be repeated: shorter times add load without
/// a change in the queue.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// The connections to one database process, within this instance's budget.
pub(super) struct UpstreamPool<C: DatabaseConnection> {
    address: SocketAddr,
    born_ms: u64,
    state: Mutex<PoolState<C>>,
}

/// The load of the connections to a database; lower values are preferred.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct UpstreamLoad {
    /// Whether the limit on connections or on running statements is reached.
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
    /// Number of connections in use by a statement or being opened; the others in use are idle in a
    /// transaction.
    running: usize,
    run_limit: RunLimit,
    service_times: ServiceTimes,
    /// Least recently used first.
    idle: Vec<IdleConnection<C>>,
    /// Statements of open transactions that wait until they may run.
    resuming: VecDeque<oneshot::Sender<RunToken<C>>>,
    waiting: WaitQueue<WaitingClaim<C>>,
    /// What organisations have used recently.
    usage: RecentUsage,
    /// When the last waiting request was served.
    last_served: Option<Instant>,
    /// Sequence number of the last claim.
    last_claim: u64,
}

struct WaitingClaim<C: DatabaseConnection> {
    granted: oneshot::Sender<GrantResult<C>>,
    urgency: Urgency,
}

struct IdleConnection<C> {
    organisation: Option<OrganisationId>,
    tracked: TrackedConnection<C>,
}

/// Permission for one connection within the budget; released on drop.
pub(super) struct ConnectionPermit<C: DatabaseConnection> {
    pool: Arc<UpstreamPool<C>>,
    release_on_drop: bool,
    granted_at: Instant,
    /// The permission to run a statement; `None` while idle in a transaction.
    run: Option<RunToken<C>>,
}

/// Permission to run a statement; released on drop.
pub(super) struct RunToken<C: DatabaseConnection> {
    pool: Arc<UpstreamPool<C>>,
    started_at: Instant,
    /// Whether the database has replied.
    replied: bool,
}

impl<C: DatabaseConnection> Drop for RunToken<C> {
    fn drop(&mut self) {
        let took = self.replied.then(|| self.started_at.elapsed());
        self.pool.end_run(took);
    }
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
                running: 0,
                run_limit: RunLimit::new(),
                service_times: ServiceTimes::default(),
                idle: Vec::new(),
                resuming: VecDeque::new(),
                waiting: WaitQueue::default(),
                usage: RecentUsage::default(),
                last_served: None,
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
            full: state.checked_out >= state.max_open() || state.running >= state.max_running(),
            checked_out: state.checked_out,
            last_claim: state.last_claim,
        }
    }

    /// Returns how long a claim that is made now is expected to wait, here and in the database.
    pub(super) fn expected_wait(&self) -> Duration {
        let state = self.state.lock();
        state.expected_wait() + state.service_times.delay(state.running)
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
        self.serve_waiting();
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
        let resuming = std::mem::take(&mut state.resuming);
        drop(state);
        drop((idle, waiting, resuming));
    }

    /// Closes the idle connections.
    pub(super) fn close_idle(&self) {
        let idle = std::mem::take(&mut self.state.lock().idle);
        drop(idle);
    }

    /// Claims a connection and the permission to run a statement on it.
    pub(super) fn claim(self: &Arc<Self>, request: ClaimRequest<'_>) -> Claim<C> {
        let mut state = self.state.lock();
        state.last_claim = request.number;
        if state.running < state.max_running()
            && let Some(source) = state.take_source(request.organisation, Some(request.values))
        {
            state.record_served(request.organisation, request.urgency);
            drop(state);
            return Claim::Granted(self.grant(request.organisation, source));
        }
        // Requests that gave up do not count.
        state.waiting.retain(|waiter| !waiter.granted.is_closed());
        let now = Instant::now();
        let by_urgency = request.rule == QueueRule::Urgency && state.budget.is_held;
        if !by_urgency && now + state.expected_wait() > request.deadline {
            return Claim::Rejected(ClaimRefusal::default());
        }
        let (granted, receiver) = oneshot::channel();
        let service_time = by_urgency.then(|| state.run_limit.service_time());
        let entry = request.wait_entry(now, service_time);
        let waiter = WaitingClaim {
            granted,
            urgency: request.urgency,
        };
        state.waiting.push(entry, waiter);
        let limit_expiry = state.limit_expiry();
        let wait = Claim::Wait {
            granted: receiver,
            until: entry.start_by,
            check_at: by_urgency.then_some(entry.keep_from),
            limit_expiry,
        };
        if !by_urgency {
            return wait;
        }
        let shed = state.shed();
        drop(state);
        let mut own_refusal = None;
        for item in shed {
            let refusal = ClaimRefusal {
                retry_after: Some(item.excess.max(MIN_RETRY_AFTER)),
            };
            match item.number == request.number {
                true => own_refusal = Some(refusal),
                // The waiter may have gone.
                false => drop(item.item.granted.send(Err(refusal))),
            }
        }
        match own_refusal {
            Some(refusal) => Claim::Rejected(refusal),
            None => wait,
        }
    }

    /// Returns whether a waiting request has been served since an instant.
    pub(super) fn has_served_since(&self, since: Instant) -> bool {
        let last_served = self.state.lock().last_served;
        last_served.is_some_and(|served_at| served_at >= since)
    }

    /// Waits until a statement of an open transaction may run; `None` if the pool is retired.
    async fn resume(self: &Arc<Self>) -> Option<RunToken<C>> {
        let receiver = {
            let mut state = self.state.lock();
            if state.running < state.max_running() || state.retired {
                state.running += 1;
                drop(state);
                return Some(RunToken::of(self));
            }
            let (granted, receiver) = oneshot::channel();
            state.resuming.push_back(granted);
            receiver
        };
        receiver.await.ok()
    }

    /// Records that the database refused work because it is overloaded.
    pub(super) fn record_overload(&self) {
        self.state.lock().run_limit.record_refusal(Instant::now());
    }

    /// Takes back a connection that can be reused.
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
        state.checked_out -= 1;
        state.run_limit.record_use(permit.granted_at.elapsed());
        permit.release_on_drop = false;
        state.idle.push(IdleConnection {
            organisation,
            tracked,
        });
        drop(state);
        // Ends the run, which serves those that wait.
        drop(permit);
    }

    /// Ends the run of a statement, and lets the next one run. `took` is `None` if the database has
    /// not replied, which says nothing about its service time.
    fn end_run(self: &Arc<Self>, took: Option<Duration>) {
        let mut state = self.state.lock();
        state.running -= 1;
        let waiting = state.waiting.len() + state.resuming.len() > 0;
        if let Some(took) = took {
            let running = state.running + 1;
            state.service_times.record(took, running);
            state.run_limit.record_run(took, waiting);
        }
        drop(state);
        self.serve_waiting();
    }

    fn release_permit(self: &Arc<Self>) {
        self.state.lock().checked_out -= 1;
        self.serve_waiting();
    }

    /// Lets statements run, those of open transactions first, as far as the limits allow it.
    pub(super) fn serve_waiting(self: &Arc<Self>) {
        while let Some(next) = self.next_waiting() {
            // If the waiter has gone, the grant is dropped, which gives it back.
            match next {
                Next::Resume(waiter) => drop(waiter.send(RunToken::of(self))),
                Next::Claim(waiter, organisation, source) => {
                    let grant = self.grant(organisation.as_ref(), source);
                    drop(waiter.send(Ok(grant)));
                }
            }
        }
    }

    fn next_waiting(&self) -> Option<Next<C>> {
        let mut state = self.state.lock();
        if state.retired || state.running >= state.max_running() {
            return None;
        }
        state.resuming.retain(|waiter| !waiter.is_closed());
        if let Some(waiter) = state.resuming.pop_front() {
            state.running += 1;
            return Some(Next::Resume(waiter));
        }
        state.waiting.retain(|waiter| !waiter.granted.is_closed());
        let may_open = state.may_open();
        let PoolState { idle, waiting, .. } = &mut *state;
        let has_idle = |organisation: Option<&OrganisationId>| {
            idle.iter()
                .any(|idle| idle.organisation.as_ref() == organisation)
        };
        let (organisation, waiter) = waiting.pop(has_idle, may_open)?;
        let source = state.take_source(organisation.as_ref(), None)?;
        state.record_served(organisation.as_ref(), waiter.urgency);
        state.last_served = Some(Instant::now());
        Some(Next::Claim(waiter.granted, organisation, source))
    }

    /// Creates the grant for a connection or permission that has been counted.
    fn grant(
        self: &Arc<Self>,
        organisation: Option<&OrganisationId>,
        source: ConnectionSource<C>,
    ) -> Grant<C> {
        let permit = ConnectionPermit {
            pool: Arc::clone(self),
            release_on_drop: true,
            granted_at: Instant::now(),
            run: Some(RunToken::of(self)),
        };
        match source {
            ConnectionSource::Idle(mut tracked) => {
                if tracked.connection.is_stale() {
                    drop(tracked);
                    return Grant::Permit(permit);
                }
                let organisation = organisation.cloned();
                Grant::Connection(PooledConnection::checked_out(permit, organisation, tracked))
            }
            ConnectionSource::New(evicted) => {
                drop(evicted);
                Grant::Permit(permit)
            }
        }
    }
}

/// Who is served next.
enum Next<C: DatabaseConnection> {
    Resume(oneshot::Sender<RunToken<C>>),
    Claim(
        oneshot::Sender<GrantResult<C>>,
        Option<OrganisationId>,
        ConnectionSource<C>,
    ),
}

/// Where a connection for a claim comes from.
enum ConnectionSource<C> {
    /// An idle connection.
    Idle(TrackedConnection<C>),
    /// A new one, in place of an idle one of another organisation if there is no room.
    New(Option<TrackedConnection<C>>),
}

impl<C: DatabaseConnection> PoolState<C> {
    fn used(&self) -> usize {
        self.checked_out + self.idle.len()
    }

    /// Takes an idle connection of an organisation or room for a new one, and counts it as in use
    /// and running.
    fn take_source(
        &mut self,
        organisation: Option<&OrganisationId>,
        values: Option<&SessionValues>,
    ) -> Option<ConnectionSource<C>> {
        let source = match self.take_idle(organisation, values) {
            Some(tracked) => ConnectionSource::Idle(tracked),
            None => match self.make_room() {
                Room::Free => ConnectionSource::New(None),
                Room::Evicted(tracked) => ConnectionSource::New(Some(tracked)),
                Room::None => return None,
            },
        };
        self.checked_out += 1;
        self.running += 1;
        Some(source)
    }

    fn record_served(&mut self, organisation: Option<&OrganisationId>, urgency: Urgency) {
        let now = Instant::now();
        self.usage.record(organisation, urgency, now);
    }

    fn take_idle(
        &mut self,
        organisation: Option<&OrganisationId>,
        values: Option<&SessionValues>,
    ) -> Option<TrackedConnection<C>> {
        let same_organisation =
            |idle: &IdleConnection<C>| idle.organisation.as_ref() == organisation;
        let same_values = |idle: &IdleConnection<C>| {
            let matches = values.is_some_and(|values| idle.tracked.session_state.matches(values));
            same_organisation(idle) && matches
        };
        let index = self.idle.iter().rposition(same_values);
        let index = index.or_else(|| self.idle.iter().rposition(same_organisation))?;
        Some(self.idle.remove(index).tracked)
    }

    /// Returns how many statements may run at once.
    fn max_running(&self) -> usize {
        match self.budget.is_held {
            true => self.run_limit.limit(),
            false => usize::MAX,
        }
    }

    /// Returns how long a claim that is made now is expected to wait.
    fn expected_wait(&self) -> Duration {
        match self.budget.is_held {
            true => {
                let ahead = self.waiting.len() + self.resuming.len();
                self.run_limit.expected_wait(ahead)
            }
            false => Duration::ZERO,
        }
    }

    /// Removes the requests to refuse, so that the others are expected to be served in time.
    fn shed(&mut self) -> Vec<ShedItem<WaitingClaim<C>>> {
        let now = Instant::now();
        let interval = self.run_limit.interval(self.max_open());
        let waiting: Vec<_> = self
            .waiting
            .waiting()
            .map(|(organisation, count)| (organisation.cloned(), count))
            .collect();
        let waiting = waiting.iter().map(|(name, count)| (name.as_ref(), *count));
        let parts = self.usage.parts(now);
        // Statements of open transactions are served first.
        let estimate = QueueEstimate::new(now, interval, parts, waiting).after(self.resuming.len());
        self.waiting.shed(&estimate)
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

    /// Returns whether there is room for a new connection, possibly in place of an idle one.
    fn may_open(&self) -> bool {
        let max_open = self.max_open();
        self.used() < max_open || !self.idle.is_empty() && self.checked_out < max_open
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

impl<C: DatabaseConnection> RunToken<C> {
    /// Creates the token for a run that has been counted.
    fn of(pool: &Arc<UpstreamPool<C>>) -> Self {
        Self {
            pool: Arc::clone(pool),
            started_at: Instant::now(),
            replied: false,
        }
    }
}

impl<C: DatabaseConnection> ConnectionPermit<C> {
    /// Records that the database has replied to the statement.
    pub(super) fn record_reply(&mut self) {
        if let Some(run) = &mut self.run {
            run.replied = true;
        }
    }

    /// Lets others run statements while the connection is idle in a transaction.
    pub(super) fn pause(&mut self) {
        self.run = None;
    }

    /// Waits until a statement may run; returns whether it may.
    pub(super) async fn resume(&mut self) -> bool {
        if self.run.is_none() {
            self.run = self.pool.resume().await;
        }
        self.run.is_some()
    }

    /// Records that the database refused work because it is overloaded.
    pub(super) fn record_overload(&self) {
        self.pool.record_overload();
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
        // The run ends with its token, after the connection has been given back.
    }
}
