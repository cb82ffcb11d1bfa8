//! Pool of database connections, shared by the sessions of this instance.

mod claim;
mod connection;
mod estimate;
mod refusal_log;
mod run_limit;
mod service_times;
mod shares;
mod upstream;
mod usage;
mod wait_queue;

use self::claim::{
    Claim,
    ClaimRequest,
    Grant, //
};
pub(crate) use self::connection::{
    CallError,
    ConnectionSetup,
    PooledConnection, //
};
use self::refusal_log::RefusalLog;
pub(crate) use self::shares::HolderList;
use self::shares::{
    ConnectionPlan,
    ConnectionShares, //
};
pub(crate) use self::upstream::UpstreamLoad;
use self::upstream::{
    ConnectionPermit,
    UpstreamPool, //
};
use crate::{
    ConnectError,
    DatabaseConnector,
    DatabaseTarget,
    RefusalKind,
    counters,
    route::current_primary,
    urgency::{
        QueueRule,
        Urgency, //
    },
    values::SessionValues, //
};
use daisyseam_model::{
    FleetView,
    InstanceId,
    OrganisationId,
    UpstreamId,
    UpstreamView, //
};
use daisyseam_runtime::{
    MetricClient,
    TimerService, //
};
use parking_lot::Mutex;
use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration, //
};
use tokio::time::Instant;

/// Time for which no additional connections are opened to a database that refused one because of
/// its connection limit.
const CONNECTION_LIMIT_BACKOFF: Duration = Duration::from_millis(50);

/// The database connections of this instance, by database.
pub(crate) struct ConnectionPool<D: DatabaseConnector> {
    connector: D,
    timer: TimerService,
    metrics: MetricClient,
    upstreams: Mutex<HashMap<UpstreamId, Arc<UpstreamPool<D::Connection>>>>,
    shares: Mutex<ConnectionShares>,
    claim_count: AtomicU64,
    queue_rule: Mutex<QueueRule>,
    /// Urgency of the document's most urgent services.
    most_urgent: Mutex<Urgency>,
    refusals: Mutex<RefusalLog>,
}

/// Describes the connection to acquire.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionRequest<'a> {
    /// The view that lists the database.
    pub(crate) view: &'a FleetView,
    /// The database.
    pub(crate) upstream: &'a UpstreamId,
    /// Organisation that the connection is for.
    pub(crate) organisation: Option<&'a OrganisationId>,
    /// Session values; a connection that already has them set is preferred.
    pub(crate) values: &'a SessionValues,
    /// Deadline for a connection or the permission to open one.
    pub(crate) wait_until: Instant,
    /// Deadline for opening a new connection.
    pub(crate) connect_until: Instant,
    /// Urgency.
    pub(crate) urgency: Urgency,
    /// Rule by which it waits.
    pub(crate) rule: QueueRule,
    /// When the answer is due according to the target latency.
    pub(crate) target: Instant,
}

/// Why no connection could be acquired.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum AcquireError {
    /// The database is not in the view.
    UnknownUpstream,
    /// No connection became free in time; a retry may succeed after the given time.
    PoolExhausted(Option<Duration>),
    /// A new connection could not be opened.
    Connect(ConnectError),
}

impl<D: DatabaseConnector> ConnectionPool<D> {
    /// Creates an empty pool; `own` is this instance if it can use connections that other instances
    /// hold.
    pub(crate) fn new(
        connector: D,
        timer: TimerService,
        metrics: MetricClient,
        own: Option<InstanceId>,
    ) -> Self {
        Self {
            connector,
            timer,
            metrics,
            upstreams: Mutex::default(),
            shares: Mutex::new(ConnectionShares::new(own)),
            claim_count: AtomicU64::new(0),
            queue_rule: Mutex::default(),
            most_urgent: Mutex::default(),
            refusals: Mutex::default(),
        }
    }

    /// Returns the instances that hold connections to a database, most preferred first; empty if
    /// every instance opens its own.
    pub(crate) fn holders(
        &self,
        view: &FleetView,
        upstream: &UpstreamId,
        upstream_view: &UpstreamView,
    ) -> HolderList {
        self.plan(view, upstream, upstream_view).holders
    }

    fn plan(
        &self,
        view: &FleetView,
        upstream: &UpstreamId,
        upstream_view: &UpstreamView,
    ) -> ConnectionPlan {
        let mut shares = self.shares.lock();
        shares.plan(view, upstream, upstream_view, Instant::now())
    }

    /// Acquires an idle connection, or opens one within the budget.
    pub(crate) async fn acquire(
        &self,
        request: ConnectionRequest<'_>,
    ) -> Result<PooledConnection<D::Connection>, AcquireError> {
        let upstream_view = request.view.upstreams.get(request.upstream);
        let upstream_view = upstream_view.ok_or(AcquireError::UnknownUpstream)?;
        let pool = self.upstream(request.view, request.upstream, upstream_view);
        let claimed = self.claim(&pool, request).await;
        if request.rule == QueueRule::Urgency {
            self.record_claim(request, claimed.as_ref().err());
        }
        match claimed? {
            Grant::Connection(connection) => {
                self.metrics.count(counters::CONNECTION_REUSED);
                Ok(connection.mark_in_use())
            }
            Grant::Permit(permit) => self.open(permit, request, upstream_view).await,
        }
    }

    /// Counts the result of a claim, and logs refusals from time to time.
    fn record_claim(&self, request: ConnectionRequest<'_>, error: Option<&AcquireError>) {
        let urgency = request.urgency;
        if error.is_none() {
            self.metrics.count(urgency.counter(counters::QUEUE_SERVED));
            return;
        }
        self.metrics.count(urgency.counter(counters::QUEUE_REFUSED));
        let is_most_urgent = urgency <= self.most_urgent();
        let mut refusals = self.refusals.lock();
        let due = refusals.record(request.upstream, is_most_urgent, Instant::now());
        drop(refusals);
        if let Some(sum) = due {
            log::warn!(
                "{} is contended: refused {} requests, {} of them of the most urgent services",
                request.upstream,
                sum.refused,
                sum.most_urgent
            );
        }
    }

    /// Waits for a connection or for the permission to open one.
    async fn claim(
        &self,
        pool: &Arc<UpstreamPool<D::Connection>>,
        request: ConnectionRequest<'_>,
    ) -> Result<Grant<D::Connection>, AcquireError> {
        let claim_number = self.claim_count.fetch_add(1, Ordering::Relaxed) + 1;
        let queued_at = Instant::now();
        let mut waited = false;
        loop {
            let (mut granted, wait_until, check_at, limit_expiry) = match pool.claim(ClaimRequest {
                organisation: request.organisation,
                values: request.values,
                number: claim_number,
                deadline: request.wait_until,
                target: request.target,
                urgency: request.urgency,
                rule: request.rule,
            }) {
                Claim::Granted(grant) => return Ok(grant),
                Claim::Wait {
                    granted,
                    until,
                    check_at,
                    limit_expiry,
                } => (granted, until, check_at, limit_expiry),
                Claim::Rejected(refusal) => {
                    self.metrics.count(counters::CONNECTION_REJECTED);
                    return Err(AcquireError::PoolExhausted(refusal.retry_after));
                }
            };
            if !waited {
                waited = true;
                self.metrics.count(counters::CONNECTION_WAITED);
            }
            let wake_at = limit_expiry.map_or(wait_until, |expiry| expiry.min(wait_until));
            let check_at = check_at.filter(|check_at| *check_at < wake_at);
            let first_end = check_at.unwrap_or(wake_at);
            let mut result = self.timer.within(first_end, &mut granted).await;
            if result.is_none() && check_at.is_some() {
                if !pool.has_served_since(queued_at) {
                    self.metrics.count(counters::CONNECTION_NONE_FREE);
                    return Err(AcquireError::PoolExhausted(None));
                }
                result = self.timer.within(wake_at, granted).await;
            }
            match result {
                Some(Ok(Ok(grant))) => return Ok(grant),
                Some(Ok(Err(refusal))) => {
                    self.metrics.count(counters::CONNECTION_SHED);
                    return Err(AcquireError::PoolExhausted(refusal.retry_after));
                }
                Some(Err(_)) => return Err(AcquireError::UnknownUpstream),
                None if wake_at < wait_until => {}
                None => {
                    self.metrics.count(counters::CONNECTION_NONE_FREE);
                    return Err(AcquireError::PoolExhausted(None));
                }
            }
        }
    }

    async fn open(
        &self,
        permit: ConnectionPermit<D::Connection>,
        request: ConnectionRequest<'_>,
        upstream_view: &UpstreamView,
    ) -> Result<PooledConnection<D::Connection>, AcquireError> {
        let target = DatabaseTarget {
            upstream: request.upstream.clone(),
            group: upstream_view.group.clone(),
            address: upstream_view.address,
            organisation: request.organisation.cloned(),
        };
        let opening = self.connector.connect(&target);
        let opened = self.timer.within(request.connect_until, opening);
        let timed_out = || ConnectError::Unreachable("timed out".to_owned());
        let opened = opened.await.unwrap_or_else(|| Err(timed_out()));
        self.metrics.count(match &opened {
            Ok(_) => counters::CONNECTION_OPENED,
            Err(ConnectError::Refused(RefusalKind::Busy)) => {
                permit.record_overload();
                counters::CONNECTION_FAILED
            }
            Err(ConnectError::Refused(RefusalKind::TooManyConnections)) => {
                permit.limit_until(Instant::now() + CONNECTION_LIMIT_BACKOFF);
                counters::CONNECTION_OVER_LIMIT
            }
            Err(_) => counters::CONNECTION_FAILED,
        });
        let connection = opened.map_err(AcquireError::Connect)?;
        Ok(PooledConnection::opened(
            permit,
            target.organisation,
            connection,
        ))
    }

    /// Returns the load of the connections to a database.
    pub(crate) fn load(&self, upstream: &UpstreamId) -> UpstreamLoad {
        let upstreams = self.upstreams.lock();
        let pool = upstreams.get(upstream);
        pool.map_or_else(UpstreamLoad::default, |pool| pool.load())
    }

    /// Returns the rule by which requests wait, which depends on the document.
    pub(crate) fn queue_rule(&self) -> QueueRule {
        *self.queue_rule.lock()
    }

    /// Returns the urgency of the document's most urgent services.
    pub(crate) fn most_urgent(&self) -> Urgency {
        *self.most_urgent.lock()
    }

    /// Returns the expected wait for a connection to a database; `None` without a pool for it.
    pub(crate) fn expected_wait(&self, upstream: &UpstreamId) -> Option<Duration> {
        let upstreams = self.upstreams.lock();
        upstreams.get(upstream).map(|pool| pool.expected_wait())
    }

    /// Closes the idle connections to a database.
    pub(crate) fn close_idle(&self, upstream: &UpstreamId) {
        let pool = self.upstreams.lock().get(upstream).cloned();
        if let Some(pool) = pool {
            pool.close_idle();
        }
    }

    /// Applies a view: closes idle connections to databases that accept no new work, and
    /// recomputes this instance's connection budgets.
    pub(crate) fn apply(&self, view: &FleetView) {
        let document = view.document.as_deref();
        *self.queue_rule.lock() = document.map_or(QueueRule::Turns, QueueRule::of);
        *self.most_urgent.lock() = document.map_or(Urgency::HIGHEST, Urgency::most_urgent);
        let is_known = |upstream: &UpstreamId| view.upstreams.contains_key(upstream);
        self.refusals.lock().retain(is_known);
        self.shares.lock().apply(view, Instant::now());
        self.update(view);
    }

    /// Recomputes the connection budgets, which also change some time after a change of the view.
    pub(crate) fn update(&self, view: &FleetView) {
        let mut upstreams = self.upstreams.lock();
        let mut closed = Vec::new();
        upstreams.retain(|name, pool| {
            let upstream_view = view.upstreams.get(name);
            let upstream_view = upstream_view.filter(|upstream_view| pool.is_of(upstream_view));
            let Some(upstream_view) = upstream_view else {
                closed.push((Arc::clone(pool), true));
                return false;
            };
            pool.set_budget(self.plan(view, name, upstream_view).budget);
            let no_work = accepts_no_work(view, name, upstream_view);
            pool.set_close_on_release(no_work);
            if no_work {
                closed.push((Arc::clone(pool), false));
            }
            true
        });
        drop(upstreams);
        for (pool, retired) in closed {
            match retired {
                true => pool.retire(),
                false => pool.close_idle(),
            }
        }
    }

    fn upstream(
        &self,
        view: &FleetView,
        name: &UpstreamId,
        upstream_view: &UpstreamView,
    ) -> Arc<UpstreamPool<D::Connection>> {
        let budget = self.plan(view, name, upstream_view).budget;
        let mut upstreams = self.upstreams.lock();
        let known = upstreams.get(name).filter(|pool| pool.is_of(upstream_view));
        if let Some(pool) = known.cloned() {
            drop(upstreams);
            // The budget grows some time after another instance has gone, without a new view.
            pool.set_budget(budget);
            return pool;
        }
        let pool = Arc::new(UpstreamPool::new(upstream_view, budget));
        let former = upstreams.insert(name.clone(), Arc::clone(&pool));
        drop(upstreams);
        if let Some(former) = former {
            former.retire();
        }
        pool
    }
}

/// Returns whether a database accepts no new work, so that idle connections to it are closed. A
/// leaving database accepts work as long as it is primary.
fn accepts_no_work(view: &FleetView, name: &UpstreamId, upstream_view: &UpstreamView) -> bool {
    let leaving =
        upstream_view.leaving && current_primary(view, &upstream_view.group) != Some(name);
    leaving || !view.in_service(&upstream_view.data_centre)
}
