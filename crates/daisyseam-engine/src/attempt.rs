//! One attempt of a call on one database.

use crate::{
    ConnectError,
    DatabaseCall,
    DatabaseConnector,
    DatabaseReply,
    DatabaseVerb,
    RefusalKind,
    TransactionState,
    engine::EngineShared,
    pool::{
        AcquireError,
        CallError,
        ConnectionRequest,
        ConnectionSetup,
        PooledConnection, //
    },
    route::{
        Route,
        current_primary,
        leads, //
    },
    times::OperationTimes,
    values::{
        PreparedStatement,
        SessionValues, //
    }, //
};
use bytes::Bytes;
use daisyseam_model::{
    FleetView,
    LogPosition,
    OrganisationId,
    UpstreamId,
    UpstreamView, //
};
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::time::Instant;

/// Time without a reply after which a timed-out call counts as a failure of the database.
const NO_REPLY_FAILURE_AFTER: Duration = Duration::from_millis(300);

/// Longest time that a reachability probe of a database may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Why an attempt got no reply from the database.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptError {
    /// No connection became free in time; not run.
    PoolExhausted,
    /// No connection could be opened, or it broke before the call was sent; not run.
    Unreachable,
    /// The view or the lease no longer allows the call; not run.
    Fenced,
    /// The call was sent, and the connection broke.
    Lost,
    /// The call was sent, and no reply came in time.
    TimedOut,
}

/// A statement of a caller.
#[derive(Clone, Debug)]
pub(crate) enum Statement {
    /// The full statement text.
    Text(Bytes),
    /// A prepared statement and its arguments.
    Prepared(PreparedStatement, Bytes),
}

impl Statement {
    /// Returns the prepared statement that this statement executes, if any.
    pub(crate) fn prepared(&self) -> Option<&PreparedStatement> {
        match self {
            Self::Text(_) => None,
            Self::Prepared(prepared, _) => Some(prepared),
        }
    }
}

/// The context of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptContext<'a> {
    /// Route to the database.
    pub(crate) route: &'a Route,
    /// Organisation that the connection is for.
    pub(crate) organisation: Option<&'a OrganisationId>,
    /// Session values that must be set on the connection.
    pub(crate) values: &'a SessionValues,
    /// Time limits of the operation.
    pub(crate) times: &'a OperationTimes,
}

/// A statement to run on a database.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StatementCall<'a> {
    /// Identifier of the caller's request.
    pub(crate) id: &'a [u8],
    /// The statement.
    pub(crate) statement: &'a Statement,
    /// Position that the database's log must have reached.
    pub(crate) at_least: Option<LogPosition>,
    /// Whether it runs in a transaction that is open on the connection.
    pub(crate) in_transaction: bool,
    /// Condition checked immediately before it is sent.
    pub(crate) fence: Fence,
}

impl<D: DatabaseConnector, G> EngineShared<D, G> {
    /// Acquires a connection to the database of a route.
    pub(crate) async fn connect(
        &self,
        context: AttemptContext<'_>,
    ) -> Result<PooledConnection<D::Connection>, AttemptError> {
        let now = Instant::now();
        let taken = self.pool.acquire(ConnectionRequest {
            view: &context.route.held.view,
            upstream: &context.route.upstream,
            organisation: context.organisation,
            values: context.values,
            wait_until: context.times.queue_until(now),
            connect_until: context.times.connect_until(now),
        });
        taken
            .await
            .map_err(|error| self.record_acquire_error(context.route, &error))
    }

    /// Probes whether a database that did not respond is reachable again.
    pub(crate) async fn probe(&self, upstream: UpstreamId) {
        let held = self.settings.cell.held();
        let upstream_view = held.view.upstreams.get(&upstream);
        let in_service =
            |upstream_view: &&UpstreamView| held.view.in_service(&upstream_view.data_centre);
        let Some(upstream_view) = upstream_view.filter(in_service) else {
            return;
        };
        let values = SessionValues::default();
        let now = Instant::now();
        let taken = self.pool.acquire(ConnectionRequest {
            view: &held.view,
            upstream: &upstream,
            organisation: None,
            values: &values,
            wait_until: now,
            connect_until: now + PROBE_TIMEOUT,
        });
        match taken.await {
            Ok(_) => self.health.record_reply(&upstream),
            Err(error) => {
                let route = Route {
                    group: upstream_view.group.clone(),
                    held: Arc::clone(&held),
                    upstream,
                    term: None,
                };
                self.record_acquire_error(&route, &error);
            }
        }
    }

    /// Runs a statement on a connection after setting the session values and preparing the
    /// statement as needed.
    ///
    /// If the database no longer knows the prepared statement, it is prepared again once.
    pub(crate) async fn run(
        &self,
        connection: &mut PooledConnection<D::Connection>,
        context: AttemptContext<'_>,
        call: StatementCall<'_>,
    ) -> Result<DatabaseReply, AttemptError> {
        let reply = self.run_once(connection, context, call).await?;
        let Some(prepared) = call.statement.prepared() else {
            return Ok(reply);
        };
        let expected = match call.in_transaction {
            true => TransactionState::Open,
            false => TransactionState::Idle,
        };
        if refusal(&reply) != Some(RefusalKind::UnknownStatement) || reply.state != expected {
            return Ok(reply);
        }
        connection.session_state().remove_prepared(prepared);
        self.run_once(connection, context, call).await
    }

    async fn run_once(
        &self,
        connection: &mut PooledConnection<D::Connection>,
        context: AttemptContext<'_>,
        call: StatementCall<'_>,
    ) -> Result<DatabaseReply, AttemptError> {
        let prepared = call.statement.prepared();
        let set_up = ConnectionSetup {
            values: context.values,
            prepared,
            in_transaction: call.in_transaction,
        };
        self.set_up(connection, context, set_up).await?;
        let name = prepared.and_then(|prepared| connection.session_state().prepared_name(prepared));
        let verb = match (call.statement, &name) {
            (Statement::Text(text), _) => DatabaseVerb::Run(text),
            (Statement::Prepared(_, arguments), Some(name)) => {
                DatabaseVerb::Execute(name.as_bytes(), arguments)
            }
            (Statement::Prepared(..), None) => return Err(AttemptError::Unreachable),
        };
        let database_call = DatabaseCall {
            id: Some(call.id),
            at_least: call.at_least,
            verb,
        };
        self.call(connection, context, database_call, call.fence)
            .await
    }

    /// Sets up a connection for a session.
    pub(crate) async fn set_up(
        &self,
        connection: &mut PooledConnection<D::Connection>,
        context: AttemptContext<'_>,
        set_up: ConnectionSetup<'_>,
    ) -> Result<(), AttemptError> {
        let timer = &self.settings.timer;
        let sent_at = Instant::now();
        let done = connection
            .set_up(timer, set_up, context.times.deadline())
            .await;
        done.map_err(|error| {
            self.record_call_error(context.route, sent_at, error);
            AttemptError::Unreachable
        })
    }

    /// Makes a call if the view and the lease, checked immediately before sending, allow it.
    pub(crate) async fn call(
        &self,
        connection: &mut PooledConnection<D::Connection>,
        context: AttemptContext<'_>,
        call: DatabaseCall<'_>,
        fence: Fence,
    ) -> Result<DatabaseReply, AttemptError> {
        if !self.allows(context.route, fence) {
            return Err(AttemptError::Fenced);
        }
        let sent_at = Instant::now();
        let timer = &self.settings.timer;
        let in_flight = self.health.call_started(&context.route.upstream);
        let reply = connection.call(timer, call, context.times.deadline()).await;
        drop(in_flight);
        match reply {
            Ok(reply) => {
                self.record_reply(context.route, sent_at, &reply);
                Ok(reply)
            }
            Err(error) => Err(self.record_call_error(context.route, sent_at, error)),
        }
    }

    /// Returns whether the current view and lease satisfy a fence for a route.
    pub(crate) fn allows(&self, route: &Route, fence: Fence) -> bool {
        if fence == Fence::Nothing {
            return true;
        }
        let held = self.settings.cell.held();
        let leads = |term| leads(&held.view, &route.group, &route.upstream, term);
        if !route.term.is_none_or(leads) {
            return false;
        }
        let leased = route.term.is_none() || held.is_valid();
        match fence {
            Fence::Nothing | Fence::Leads => true,
            Fence::Leased => leased,
            Fence::NewReads => leased && accepts_work(&held.view, route),
            Fence::NewWrites => {
                let group = held.view.groups.get(&route.group);
                let active = group.and_then(|group| group.primary.active());
                leased && accepts_work(&held.view, route) && active == Some(&route.upstream)
            }
        }
    }

    /// Waits until there is a valid lease on a view in which the route's primary still leads its
    /// term; returns whether this happened by `until`.
    pub(crate) async fn confirm_primary(&self, route: &Route, until: Instant) -> bool {
        if self.allows(route, Fence::Leased) {
            return true;
        }
        let cell = &self.settings.cell;
        let mut changes = cell.subscribe();
        loop {
            if self.allows(route, Fence::Leased) {
                return true;
            }
            if !self.allows(route, Fence::Leads) {
                return false;
            }
            let timer = &self.settings.timer;
            match timer.within(until, changes.changed()).await {
                Some(Ok(())) => {}
                Some(Err(_)) | None => return false,
            }
        }
    }

    fn record_acquire_error(&self, route: &Route, error: &AcquireError) -> AttemptError {
        match error {
            AcquireError::PoolExhausted => return AttemptError::PoolExhausted,
            AcquireError::UnknownUpstream => {}
            // The database responds; the pool itself handles the connection limit.
            AcquireError::Connect(ConnectError::Refused(RefusalKind::TooManyConnections)) => {
                self.health.record_reply(&route.upstream);
            }
            AcquireError::Connect(ConnectError::Refused(RefusalKind::Misdirected)) => {
                let view = route.held.view.number;
                self.health.record_misdirected(&route.upstream, view);
            }
            AcquireError::Connect(ConnectError::Refused(_)) => {
                self.health.record_refused_connection(&route.upstream);
            }
            AcquireError::Connect(ConnectError::Unreachable(why)) => {
                log::debug!("failed to connect to {}: {why}", route.upstream);
                self.health.record_failure(&route.upstream);
            }
        }
        AttemptError::Unreachable
    }

    fn record_call_error(&self, route: &Route, sent_at: Instant, error: CallError) -> AttemptError {
        // A timeout after a short wait is due to the request's deadline, not to the database.
        let is_database_failure = match error {
            CallError::NotSent => false,
            CallError::Lost => true,
            CallError::TimedOut => sent_at.elapsed() >= NO_REPLY_FAILURE_AFTER,
        };
        if is_database_failure {
            self.health.record_failure(&route.upstream);
            // The failure has most likely affected the other connections too.
            self.pool.close_idle(&route.upstream);
        }
        match error {
            CallError::NotSent => AttemptError::Unreachable,
            CallError::Lost => AttemptError::Lost,
            CallError::TimedOut => AttemptError::TimedOut,
        }
    }

    fn record_reply(&self, route: &Route, sent_at: Instant, reply: &DatabaseReply) {
        match refusal(reply) {
            Some(RefusalKind::Lagging) => self.health.record_lag(&route.upstream),
            Some(RefusalKind::Misdirected) => {
                let view = route.held.view.number;
                self.health.record_misdirected(&route.upstream, view);
            }
            _ => self.health.record_reply(&route.upstream),
        }
        if let Some(position) = reply.position {
            self.record_position(route, sent_at, position);
        }
    }

    /// Records a position if no other database can be primary now.
    fn record_position(&self, route: &Route, sent_at: Instant, position: LogPosition) {
        let held = self.settings.cell.held();
        let primary = current_primary(&held.view, &route.group);
        let term = held.view.groups.get(&route.group).map(|group| group.term);
        let is_primary = held.is_valid() && primary == Some(&route.upstream);
        if is_primary && term == Some(position.term) {
            self.samples.record(&route.group, sent_at, position);
        }
    }
}

/// Condition checked immediately before a call is sent. For a route that does not need the primary
/// it only requires that the database accepts new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fence {
    /// No condition: no reply to the call can be wrong.
    Nothing,
    /// The primary leads its term according to the view.
    Leads,
    /// The primary leads its term, under a valid lease.
    Leased,
    /// The database also accepts new work.
    NewReads,
    /// In addition, the primary is not draining for a planned move.
    NewWrites,
}

/// Returns whether the database of a route accepts new work in a view; a leaving primary does until
/// another one has taken over.
fn accepts_work(view: &FleetView, route: &Route) -> bool {
    let upstream_view = view.upstreams.get(&route.upstream);
    upstream_view.is_some_and(|upstream_view| {
        let stays = route.term.is_some() || !upstream_view.leaving;
        stays && view.in_service(&upstream_view.data_centre)
    })
}

/// Returns the kind of refusal if the reply is one.
pub(crate) fn refusal(reply: &DatabaseReply) -> Option<RefusalKind> {
    reply.outcome.as_ref().err().map(|refusal| refusal.kind)
}
