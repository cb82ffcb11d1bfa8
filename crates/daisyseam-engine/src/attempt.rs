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
        CallEnd,
        ConnectionOrder,
        NoConnection,
        PooledConnection,
        SetUp, //
    },
    route::{
        Route,
        leads,
        present_primary, //
    },
    times::OperationTimes,
    values::{
        PreparedShape,
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
const SILENCE: Duration = Duration::from_millis(300);

/// Longest time that a reachability probe of a database may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Why an attempt got no reply from the database.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptEnd {
    /// No connection became free in time; not run.
    Full,
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
    Prepared(PreparedShape, Bytes),
}

impl Statement {
    /// Returns the prepared statement that this statement executes, if any.
    pub(crate) fn shape(&self) -> Option<&PreparedShape> {
        match self {
            Self::Text(_) => None,
            Self::Prepared(shape, _) => Some(shape),
        }
    }
}

/// The context of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptOrder<'a> {
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
        order: AttemptOrder<'_>,
    ) -> Result<PooledConnection<D::Connection>, AttemptEnd> {
        let now = Instant::now();
        let taken = self.pool.take(ConnectionOrder {
            view: &order.route.held.view,
            upstream: &order.route.upstream,
            organisation: order.organisation,
            values: order.values,
            wait_until: order.times.queue_until(now),
            connect_until: order.times.connect_until(now),
        });
        taken.await.map_err(|error| self.note(order.route, &error))
    }

    /// Probes whether a database that did not respond is reachable again.
    pub(crate) async fn probe(&self, upstream: UpstreamId) {
        let held = self.settings.cell.held();
        let named = held.view.upstreams.get(&upstream);
        let in_service = |named: &&UpstreamView| held.view.in_service(&named.data_centre);
        let Some(named) = named.filter(in_service) else {
            return;
        };
        let values = SessionValues::default();
        let now = Instant::now();
        let taken = self.pool.take(ConnectionOrder {
            view: &held.view,
            upstream: &upstream,
            organisation: None,
            values: &values,
            wait_until: now,
            connect_until: now + PROBE_TIMEOUT,
        });
        match taken.await {
            Ok(_) => self.health.good(&upstream),
            Err(error) => {
                let route = Route {
                    group: named.group.clone(),
                    held: Arc::clone(&held),
                    upstream,
                    term: None,
                };
                self.note(&route, &error);
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
        order: AttemptOrder<'_>,
        call: StatementCall<'_>,
    ) -> Result<DatabaseReply, AttemptEnd> {
        let reply = self.run_once(connection, order, call).await?;
        let Some(shape) = call.statement.shape() else {
            return Ok(reply);
        };
        let expected = match call.in_transaction {
            true => TransactionState::Open,
            false => TransactionState::Idle,
        };
        if refusal(&reply) != Some(RefusalKind::UnknownStatement) || reply.state != expected {
            return Ok(reply);
        }
        connection.memory().forget(shape);
        self.run_once(connection, order, call).await
    }

    async fn run_once(
        &self,
        connection: &mut PooledConnection<D::Connection>,
        order: AttemptOrder<'_>,
        call: StatementCall<'_>,
    ) -> Result<DatabaseReply, AttemptEnd> {
        let shape = call.statement.shape();
        let set_up = SetUp {
            values: order.values,
            shape,
            in_transaction: call.in_transaction,
        };
        self.set_up(connection, order, set_up).await?;
        let name = shape.and_then(|shape| connection.memory().name(shape));
        let verb = match (call.statement, &name) {
            (Statement::Text(text), _) => DatabaseVerb::Run(text),
            (Statement::Prepared(_, arguments), Some(name)) => {
                DatabaseVerb::Execute(name.as_bytes(), arguments)
            }
            (Statement::Prepared(..), None) => return Err(AttemptEnd::Unreachable),
        };
        let call_of = DatabaseCall {
            id: Some(call.id),
            at_least: call.at_least,
            verb,
        };
        self.call(connection, order, call_of, call.fence).await
    }

    /// Sets up a connection for a session.
    pub(crate) async fn set_up(
        &self,
        connection: &mut PooledConnection<D::Connection>,
        order: AttemptOrder<'_>,
        set_up: SetUp<'_>,
    ) -> Result<(), AttemptEnd> {
        let timer = &self.settings.timer;
        let asked = Instant::now();
        let done = connection
            .set_up(timer, set_up, order.times.deadline())
            .await;
        done.map_err(|end| {
            self.note_end(order.route, asked, end);
            AttemptEnd::Unreachable
        })
    }

    /// Makes a call if the view and the lease, checked immediately before sending, allow it.
    pub(crate) async fn call(
        &self,
        connection: &mut PooledConnection<D::Connection>,
        order: AttemptOrder<'_>,
        call: DatabaseCall<'_>,
        fence: Fence,
    ) -> Result<DatabaseReply, AttemptEnd> {
        if !self.passes(order.route, fence) {
            return Err(AttemptEnd::Fenced);
        }
        let asked = Instant::now();
        let timer = &self.settings.timer;
        let under_way = self.health.asked(&order.route.upstream);
        let reply = connection.call(timer, call, order.times.deadline()).await;
        drop(under_way);
        match reply {
            Ok(reply) => {
                self.note_reply(order.route, asked, &reply);
                Ok(reply)
            }
            Err(end) => Err(self.note_end(order.route, asked, end)),
        }
    }

    /// Returns whether the current view and lease satisfy a fence for a route.
    pub(crate) fn passes(&self, route: &Route, fence: Fence) -> bool {
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
            Fence::NewReads => leased && takes_work(&held.view, route),
            Fence::NewWrites => {
                let group = held.view.groups.get(&route.group);
                let active = group.and_then(|group| group.primary.active());
                leased && takes_work(&held.view, route) && active == Some(&route.upstream)
            }
        }
    }

    /// Waits until there is a valid lease on a view in which the route's primary still leads its
    /// term; returns whether this happened by `until`.
    pub(crate) async fn confirm(&self, route: &Route, until: Instant) -> bool {
        if self.passes(route, Fence::Leased) {
            return true;
        }
        let cell = &self.settings.cell;
        let mut changes = cell.subscribe();
        loop {
            if self.passes(route, Fence::Leased) {
                return true;
            }
            if !self.passes(route, Fence::Leads) {
                return false;
            }
            let timer = &self.settings.timer;
            match timer.within(until, changes.changed()).await {
                Some(Ok(())) => {}
                Some(Err(_)) | None => return false,
            }
        }
    }

    fn note(&self, route: &Route, error: &NoConnection) -> AttemptEnd {
        match error {
            NoConnection::Full => return AttemptEnd::Full,
            NoConnection::Gone => {}
            // The database responds; the pool itself handles the connection limit.
            NoConnection::Connect(ConnectError::Refused(RefusalKind::TooManyConnections)) => {
                self.health.good(&route.upstream);
            }
            NoConnection::Connect(ConnectError::Refused(RefusalKind::Misdirected)) => {
                let view = route.held.view.number;
                self.health.misdirected(&route.upstream, view);
            }
            NoConnection::Connect(ConnectError::Refused(_)) => {
                self.health.busy(&route.upstream);
            }
            NoConnection::Connect(ConnectError::Unreachable(why)) => {
                log::debug!("failed to connect to {}: {why}", route.upstream);
                self.health.failed(&route.upstream);
            }
        }
        AttemptEnd::Unreachable
    }

    fn note_end(&self, route: &Route, asked: Instant, end: CallEnd) -> AttemptEnd {
        // A timeout after a short wait is due to the request's deadline, not to the database.
        let speaks = match end {
            CallEnd::NotSent => false,
            CallEnd::Lost => true,
            CallEnd::TimedOut => asked.elapsed() >= SILENCE,
        };
        if speaks {
            self.health.failed(&route.upstream);
            // The failure has most likely affected the other connections too.
            self.pool.close_idle(&route.upstream);
        }
        match end {
            CallEnd::NotSent => AttemptEnd::Unreachable,
            CallEnd::Lost => AttemptEnd::Lost,
            CallEnd::TimedOut => AttemptEnd::TimedOut,
        }
    }

    fn note_reply(&self, route: &Route, asked: Instant, reply: &DatabaseReply) {
        match refusal(reply) {
            Some(RefusalKind::Lagging) => self.health.lagging(&route.upstream),
            Some(RefusalKind::Misdirected) => {
                let view = route.held.view.number;
                self.health.misdirected(&route.upstream, view);
            }
            _ => self.health.good(&route.upstream),
        }
        if let Some(position) = reply.position {
            self.sample(route, asked, position);
        }
    }

    /// Records a position if no other database can be primary now.
    fn sample(&self, route: &Route, asked: Instant, position: LogPosition) {
        let held = self.settings.cell.held();
        let primary = present_primary(&held.view, &route.group);
        let term = held.view.groups.get(&route.group).map(|group| group.term);
        let told = held.is_valid() && primary == Some(&route.upstream);
        if told && term == Some(position.term) {
            self.samples.learn(&route.group, asked, position);
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
fn takes_work(view: &FleetView, route: &Route) -> bool {
    let named = view.upstreams.get(&route.upstream);
    named.is_some_and(|named| {
        let stays = route.term.is_some() || !named.leaving;
        stays && view.in_service(&named.data_centre)
    })
}

/// Returns the kind of refusal if the reply is one.
pub(crate) fn refusal(reply: &DatabaseReply) -> Option<RefusalKind> {
    reply.outcome.as_ref().err().map(|refusal| refusal.kind)
}
