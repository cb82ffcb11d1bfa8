//! Pool of database connections, shared by the sessions of this instance.

mod connection;
mod run_limit;
mod service_times;
mod shares;
mod upstream;
mod wait_queue;

pub(crate) use self::connection::{
    CallError,
    ConnectionSetup,
    PooledConnection, //
};
pub(crate) use self::shares::HolderList;
use self::shares::{
    ConnectionPlan,
    ConnectionShares, //
};
pub(crate) use self::upstream::UpstreamLoad;
use self::upstream::{
    Claim,
    ClaimRequest,
    ConnectionPermit,
    Grant,
    UpstreamPool, //
};
use crate::{
    ConnectError,
    DatabaseConnector,
    DatabaseTarget,
    RefusalKind,
    counters,
    route::current_primary,
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
}

/// Why no connection could be acquired.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum AcquireError {
    /// The database is not in the view.
    UnknownUpstream,
    /// No connection became free in time.
    PoolExhausted,
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
        match self.claim(&pool, request).await? {
            Grant::Connection(connection) => {
                self.metrics.count(counters::CONNECTION_REUSED);
                Ok(connection.mark_in_use())
            }
            Grant::Permit(permit) => self.open(permit, request, upstream_view).await,
        }
    }

    /// Waits for a connection or for the permission to open one.
    async fn claim(
        &self,
        pool: &Arc<UpstreamPool<D::Connection>>,
        request: ConnectionRequest<'_>,
    ) -> Result<Grant<D::Connection>, AcquireError> {
        let claim_number = self.claim_count.fetch_add(1, Ordering::Relaxed) + 1;
        let mut waited = false;
        loop {
            let (granted, limit_expiry) = match pool.claim(ClaimRequest {
                organisation: request.organisation,
                values: request.values,
                number: claim_number,
                deadline: request.wait_until,
            }) {
                Claim::Granted(grant) => return Ok(grant),
                Claim::Wait(granted, limit_expiry) => (granted, limit_expiry),
                Claim::Rejected => {
                    self.metrics.count(counters::CONNECTION_REJECTED);
                    return Err(AcquireError::PoolExhausted);
                }
            };
            if !waited {
                waited = true;
                self.metrics.count(counters::CONNECTION_WAITED);
            }
            let wake_at =
                limit_expiry.map_or(request.wait_until, |expiry| expiry.min(request.wait_until));
            match self.timer.within(wake_at, granted).await {
                Some(granted) => return granted.map_err(|_| AcquireError::UnknownUpstream),
                None if wake_at < request.wait_until => {}
                None => {
                    self.metrics.count(counters::CONNECTION_NONE_FREE);
                    return Err(AcquireError::PoolExhausted);
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
