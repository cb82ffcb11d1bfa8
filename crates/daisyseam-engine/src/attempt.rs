//! One attempt of a call on one database.

use crate::{
    ConnectError,
    DatabaseCall,
    DatabaseConnector,
    DatabaseReply,
    DatabaseVerb,
    RefusalKind,
    TransactionState,
    counters,
    engine::EngineShared,
    link::{
        DatabaseLink,
        LinkCall,
        LinkError,
        LinkVerb, //
    },
    pool::{
        AcquireError,
        CallError,
        ConnectionRequest,
        ConnectionSetup,
        PooledConnection, //
    },
    relay::HolderLink,
    route::{
        Route,
        current_primary,
        leads, //
    },
    times::OperationTimes,
    urgency::{
        QueueRule,
        Urgency, //
    },
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
pub(crate) const NO_REPLY_FAILURE_AFTER: Duration = Duration::from_millis(300);

/// Longest time that a reachability probe of a database may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Why an attempt got no reply from the database.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptError {
    /// No connection became free in time; not run. A retry may succeed after the given time.
    PoolExhausted(Option<Duration>),
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

/// The context of a call on a connection of this instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldCall<'a> {
    /// Route to the database.
    pub(crate) route: &'a Route,
    /// Organisation that the call is made for.
    pub(crate) organisation: Option<&'a OrganisationId>,
    /// Session values that must be set on the connection.
    pub(crate) values: &'a SessionValues,
    /// Deadline of the call.
    pub(crate) until: Instant,
}

impl<D: DatabaseConnector, G> EngineShared<D, G> {
    /// Acquires a link to the database of a route: a connection of this instance, or one that
    /// another instance holds.
    pub(crate) async fn connect(
        &self,
        context: AttemptContext<'_>,
    ) -> Result<DatabaseLink<D::Connection>, AttemptError> {
        let now = Instant::now();
        let rule = self.pool.queue_rule();
        let link = self.link(ConnectionRequest {
            view: &context.route.held.view,
            upstream: &context.route.upstream,
            organisation: context.organisation,
            values: context.values,
            wait_until: context.times.queue_until(now, rule),
            connect_until: context.times.connect_until(now),
            urgency: context.times.urgency(),
            rule,
            target: context.times.target(),
        });
        link.await
            .map_err(|error| self.record_link_error(context.route, now, &error))
    }

    async fn link(
        &self,
        request: ConnectionRequest<'_>,
    ) -> Result<DatabaseLink<D::Connection>, LinkError> {
        if let Some(relays) = &self.relays {
            let upstream_view = request.view.upstreams.get(request.upstream);
            let upstream_view =
                upstream_view.ok_or(LinkError::Acquire(AcquireError::UnknownUpstream))?;
            let holders = self
                .pool
                .holders(request.view, request.upstream, upstream_view);
            if !holders.is_empty() {
                let link = relays.link(request, &holders, &self.settings.instance);
                match link.await? {
                    HolderLink::Own => {}
                    HolderLink::Relayed(link) => return Ok(DatabaseLink::Relayed(link)),
                }
            }
        }
        let connection = self.pool.acquire(request).await;
        connection
            .map(DatabaseLink::Held)
            .map_err(LinkError::Acquire)
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
        let probe = self.probe_link(ConnectionRequest {
            view: &held.view,
            upstream: &upstream,
            organisation: None,
            values: &values,
            wait_until: now,
            connect_until: now + PROBE_TIMEOUT,
            urgency: Urgency::HIGHEST,
            rule: QueueRule::Turns,
            target: now + PROBE_TIMEOUT,
        });
        match probe.await {
            Ok(()) => self.health.record_reply(&upstream),
            Err(error) => {
                let route = Route {
                    group: upstream_view.group.clone(),
                    held: Arc::clone(&held),
                    upstream,
                    term: None,
                };
                self.record_link_error(&route, now, &error);
            }
        }
    }

    async fn probe_link(&self, request: ConnectionRequest<'_>) -> Result<(), LinkError> {
        match self.link(request).await? {
            DatabaseLink::Held(_) => Ok(()),
            DatabaseLink::Relayed(mut link) => {
                link.check(&self.settings.timer, request, PROBE_TIMEOUT)
                    .await
            }
        }
    }

    /// Makes a call on a link, after setting the session values and preparing the statement as
    /// needed, if the view and the lease, checked immediately before sending, allow it.
    pub(crate) async fn run(
        &self,
        link: &mut DatabaseLink<D::Connection>,
        context: AttemptContext<'_>,
        call: LinkCall<'_>,
    ) -> Result<DatabaseReply, AttemptError> {
        let route = context.route;
        let until = context.times.deadline();
        let sent_at = Instant::now();
        let reply = match link {
            DatabaseLink::Held(connection) => {
                let held_call = HeldCall {
                    route,
                    organisation: context.organisation,
                    values: context.values,
                    until,
                };
                self.run_held(connection, held_call, call).await
            }
            DatabaseLink::Relayed(_) if !self.allows(route, call.fence) => Err(LinkError::Fenced),
            DatabaseLink::Relayed(link) => {
                let in_flight = self.health.relayed_call_started(&route.upstream);
                let reply = link.call(&self.settings.timer, context, call).await;
                drop(in_flight);
                if let Some(wait) = link.expected_wait() {
                    self.health.record_wait(&route.upstream, wait);
                }
                if let Err(error) = &reply
                    && let Some(error) = holder_failure(error)
                {
                    return Err(error);
                }
                reply
            }
        };
        match reply {
            Ok(reply) => {
                self.record_reply(route, sent_at, &reply);
                Ok(reply)
            }
            Err(error) => Err(self.record_link_error(route, sent_at, &error)),
        }
    }

    /// Makes a call on a connection of this instance, as soon as the database is expected to carry
    /// it.
    pub(crate) async fn run_held(
        &self,
        connection: &mut PooledConnection<D::Connection>,
        context: HeldCall<'_>,
        call: LinkCall<'_>,
    ) -> Result<DatabaseReply, LinkError> {
        if !connection.resume(&self.settings.timer, context.until).await {
            return Err(LinkError::NotSent);
        }
        let reply = self.run_resumed(connection, context, call).await?;
        if refusal(&reply) == Some(RefusalKind::Busy) {
            connection.record_overload();
            self.settings.metrics.count(counters::DATABASE_BUSY);
        }
        if reply.state != TransactionState::Idle {
            connection.pause();
        }
        Ok(reply)
    }

    /// Makes a call that may run now.
    ///
    /// If the database no longer knows a prepared statement, it is prepared again once.
    async fn run_resumed(
        &self,
        connection: &mut PooledConnection<D::Connection>,
        context: HeldCall<'_>,
        call: LinkCall<'_>,
    ) -> Result<DatabaseReply, LinkError> {
        let reply = self.run_once(connection, context, call).await?;
        let prepared = match call.verb {
            LinkVerb::Run(statement) => statement.prepared(),
            LinkVerb::Begin(_) | LinkVerb::Commit | LinkVerb::Rollback => None,
        };
        let Some(prepared) = prepared else {
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
        context: HeldCall<'_>,
        call: LinkCall<'_>,
    ) -> Result<DatabaseReply, LinkError> {
        let timer = &self.settings.timer;
        let prepared = match call.verb {
            LinkVerb::Run(statement) => statement.prepared(),
            LinkVerb::Begin(_) | LinkVerb::Commit | LinkVerb::Rollback => None,
        };
        if call.verb.needs_values() {
            let set_up = ConnectionSetup {
                values: context.values,
                prepared,
                in_transaction: call.in_transaction,
            };
            let started_at = Instant::now();
            let done = connection.set_up(timer, set_up, context.until).await;
            done.map_err(|error| match error {
                CallError::NotSent => LinkError::NotSent,
                CallError::TimedOut if started_at.elapsed() < NO_REPLY_FAILURE_AFTER => {
                    LinkError::NotSent
                }
                CallError::TimedOut | CallError::Lost => LinkError::SetUpLost,
            })?;
        }
        let name = prepared.and_then(|prepared| connection.session_state().prepared_name(prepared));
        let verb = match call.verb {
            LinkVerb::Begin(mode) => DatabaseVerb::Begin(mode),
            LinkVerb::Commit => DatabaseVerb::Commit,
            LinkVerb::Rollback => DatabaseVerb::Rollback,
            LinkVerb::Run(Statement::Text(text)) => DatabaseVerb::Run(text),
            LinkVerb::Run(Statement::Prepared(_, arguments)) => match &name {
                Some(name) => DatabaseVerb::Execute(name.as_bytes(), arguments),
                None => return Err(LinkError::NotSent),
            },
        };
        if !self.allows(context.route, call.fence) {
            return Err(LinkError::Fenced);
        }
        let database_call = DatabaseCall {
            id: call.id,
            at_least: call.at_least,
            verb,
        };
        let metered = self
            .usage
            .start(Instant::now(), context.organisation, &call);
        let in_flight = self.health.call_started(&context.route.upstream);
        let reply = connection.call(timer, database_call, context.until).await;
        drop(in_flight);
        let reply = reply.map_err(LinkError::from);
        if let Some(metered) = metered {
            metered.finish(&reply);
        }
        reply
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

    /// Records what an error says about the database, and returns the error of the attempt.
    pub(crate) fn record_link_error(
        &self,
        route: &Route,
        sent_at: Instant,
        error: &LinkError,
    ) -> AttemptError {
        match error {
            LinkError::Acquire(error) => self.record_acquire_error(route, error),
            LinkError::NotHolder | LinkError::NotSent => AttemptError::Unreachable,
            LinkError::SetUpLost => {
                self.record_database_failure(route);
                AttemptError::Unreachable
            }
            LinkError::Fenced => AttemptError::Fenced,
            LinkError::Lost => {
                self.record_database_failure(route);
                AttemptError::Lost
            }
            // This says nothing about the database.
            LinkError::HolderLost => AttemptError::Lost,
            LinkError::TimedOut => {
                // A timeout after a short wait is due to the request's deadline.
                if sent_at.elapsed() >= NO_REPLY_FAILURE_AFTER {
                    self.record_database_failure(route);
                }
                AttemptError::TimedOut
            }
        }
    }

    fn record_acquire_error(&self, route: &Route, error: &AcquireError) -> AttemptError {
        match error {
            AcquireError::PoolExhausted(retry_after) => {
                self.health.record_exhausted(&route.upstream);
                return AttemptError::PoolExhausted(*retry_after);
            }
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

    fn record_database_failure(&self, route: &Route) {
        self.health.record_failure(&route.upstream);
        // The failure has most likely affected the other connections too.
        self.pool.close_idle(&route.upstream);
    }

    pub(crate) fn record_reply(&self, route: &Route, sent_at: Instant, reply: &DatabaseReply) {
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
            // What a primary reports says nothing about its replicas.
            if let (None, Some(upstream_view)) = (route.term, route.upstream_view()) {
                let born_ms = upstream_view.born_ms;
                self.log_ends.record(&route.upstream, born_ms, position);
            }
        }
    }

    /// Records a position if no other database can be primary now.
    fn record_position(&self, route: &Route, sent_at: Instant, position: LogPosition) {
        let held = self.settings.cell.held();
        let primary = current_primary(&held.view, &route.group);
        let term = held.view.groups.get(&route.group).map(|group| group.term);
        let is_primary = held.is_valid() && primary == Some(&route.upstream);
        if is_primary && term == Some(position.term) {
            self.samples
                .record(&route.group, &route.upstream, sent_at, position);
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

/// Returns the error of an attempt that failed between a holder and the database. It says nothing
/// about the database, which other holders may reach.
fn holder_failure(error: &LinkError) -> Option<AttemptError> {
    match error {
        LinkError::Acquire(AcquireError::Connect(ConnectError::Unreachable(_)))
        | LinkError::SetUpLost => Some(AttemptError::Unreachable),
        LinkError::Lost => Some(AttemptError::Lost),
        LinkError::TimedOut => Some(AttemptError::TimedOut),
        LinkError::Acquire(_)
        | LinkError::NotHolder
        | LinkError::NotSent
        | LinkError::Fenced
        | LinkError::HolderLost => None,
    }
}

/// Returns the kind of refusal if the reply is one.
pub(crate) fn refusal(reply: &DatabaseReply) -> Option<RefusalKind> {
    reply.outcome.as_ref().err().map(|refusal| refusal.kind)
}
