//! Serves other instances that use connections of this one.

use super::{
    RelayStream,
    admission::serve_admissions,
    convert::{
        RelayedVerb,
        decode_fence,
        decode_values,
        encode_failure,
        encode_reply, //
    }, //
};
use crate::{
    ConnectError, DatabaseConnector, DatabaseReply, TransactionState,
    attempt::HeldCall,
    counters,
    engine::{
        EngineShared,
        RelayGuard, //
    },
    link::{
        LinkCall,
        LinkError,
        LinkVerb, //
    },
    pool::{
        AcquireError,
        ConnectionRequest,
        PooledConnection, //
    },
    route::Route,
    urgency::Urgency,
};
use bytes::Bytes;
use daisyseam_member::{
    HeldView,
    RateGate, //
};
use daisyseam_model::{
    GroupId,
    OrganisationId,
    Term,
    UpstreamId,
    UpstreamView,
    document::RequestLimits, //
};
use daisyseam_runtime::tune_socket;
use daisyseam_wire::{
    MessageStream,
    PeerRole,
    RelayCall,
    RelayMessage,
    RelayPong,
    RelayVerb,
    StreamError,
    relay_message::Body, //
};
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::{
    net::TcpStream,
    time::Instant, //
};

/// Longest time for authenticating another instance.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time that another instance may request.
const MAX_REQUESTED_TIME: Duration = Duration::from_secs(60);

/// Time beyond the idle timeout of transactions after which a transaction is ended here. The other
/// instance ends it first unless it is gone.
const IDLE_GRACE: Duration = Duration::from_secs(1);

/// Serves another instance until it closes the connection.
pub(crate) async fn serve<D, G>(engine: &EngineShared<D, G>, socket: TcpStream)
where
    D: DatabaseConnector,
    G: RateGate,
{
    let Some(relay) = &engine.settings.relay else {
        return;
    };
    if let Err(error) = tune_socket(&socket) {
        log::debug!("cannot set socket options on a connection of an instance: {error}");
    }
    let until = Instant::now() + HANDSHAKE_TIMEOUT;
    let handshake = relay.security.server(socket, &[PeerRole::Entry]);
    let socket = match engine.settings.timer.within(until, handshake).await {
        Some(Ok(socket)) => socket,
        Some(Err(error)) => {
            log::warn!("an instance failed to authenticate: {error}");
            return;
        }
        None => return,
    };
    let mut stream: RelayStream = Box::new(MessageStream::new(socket, relay.cluster.clone()));
    let served = match stream.receive().await {
        Ok(first) if matches!(first.body, Some(Body::Admit(_))) => {
            serve_admissions(engine, *stream, first).await
        }
        Ok(first) => {
            let mut session = RelaySession {
                engine,
                stream,
                link: None,
            };
            session.run(first).await
        }
        Err(error) => Err(error),
    };
    match served {
        Ok(()) | Err(StreamError::Closed) => {}
        Err(error) => log::debug!("a connection of an instance ended: {error}"),
    }
}

/// A connection of another instance.
struct RelaySession<'a, D: DatabaseConnector, G> {
    engine: &'a EngineShared<D, G>,
    stream: RelayStream,
    /// The link whose transaction is open.
    link: Option<OpenLink<'a, D>>,
}

struct OpenLink<'a, D: DatabaseConnector> {
    connection: PooledConnection<D::Connection>,
    group: GroupId,
    upstream: UpstreamId,
    organisation: Option<OrganisationId>,
    idle_until: Instant,
    _guard: RelayGuard<'a>,
}

impl<'a, D: DatabaseConnector, G: RateGate> RelaySession<'a, D, G> {
    async fn run(&mut self, first: RelayMessage) -> Result<(), StreamError> {
        let mut next = Some(first);
        while let Some(message) = next {
            let body = match message.body {
                Some(Body::Ping(_)) => Body::Pong(RelayPong {}),
                Some(Body::Call(call)) => {
                    self.engine.settings.metrics.count(counters::CALL_RELAYED);
                    let upstream = self.upstream_of(&call);
                    let result = self.call(&call).await;
                    let wait = upstream.and_then(|name| self.engine.pool.expected_wait(&name));
                    match result {
                        Ok(reply) => Body::Reply(encode_reply(reply, wait)),
                        Err(error) => {
                            // Closes the connection, which rolls back.
                            self.link = None;
                            Body::Failure(encode_failure(&error, wait))
                        }
                    }
                }
                _ => return Ok(()),
            };
            let answer = RelayMessage {
                number: message.number,
                body: Some(body),
            };
            self.stream.send(&answer).await?;
            next = self.next_message().await?;
        }
        Ok(())
    }

    /// Returns the database that a call is for.
    fn upstream_of(&self, call: &RelayCall) -> Option<UpstreamId> {
        match &self.link {
            Some(link) => Some(link.upstream.clone()),
            None => call.upstream.parse().ok(),
        }
    }

    /// Receives the next message; `None` if the open transaction must end.
    async fn next_message(&mut self) -> Result<Option<RelayMessage>, StreamError> {
        let Some(idle_until) = self.link.as_ref().map(|link| link.idle_until) else {
            return self.stream.receive().await.map(Some);
        };
        let settings = &self.engine.settings;
        tokio::select! {
            biased;
            message = self.stream.receive() => message.map(Some),
            () = settings.timer.at(idle_until) => Ok(None),
            () = self.engine.drain_ended() => Ok(None),
        }
    }

    async fn call(&mut self, call: &RelayCall) -> Result<DatabaseReply, LinkError> {
        if call.verb == i32::from(RelayVerb::AwaitEnd) {
            return self.await_end(call).await;
        }
        let verb = RelayedVerb::of(call).ok_or(LinkError::NotSent)?;
        let fence = decode_fence(call.fence).ok_or(LinkError::NotSent)?;
        let in_transaction = self.link.is_some();
        let mut link = match self.link.take() {
            Some(link) => link,
            None => Self::open(self.engine, call).await?,
        };
        let Some(verb) = verb.as_link_verb() else {
            link.connection.release();
            return Ok(empty_reply());
        };
        let route = Route {
            held: self.engine.settings.cell.held(),
            group: link.group.clone(),
            upstream: link.upstream.clone(),
            term: (call.term != 0).then_some(Term(call.term)),
        };
        let link_call = LinkCall {
            id: Some(&call.id[..]).filter(|id| !id.is_empty()),
            at_least: call.at_least.map(Into::into),
            in_transaction,
            fence,
            verb,
        };
        let values = decode_values(&call.values);
        let sent_at = Instant::now();
        let context = HeldCall {
            route: &route,
            organisation: link.organisation.as_ref(),
            values: &values,
            until: sent_at + requested(call.deadline_ms),
        };
        let reply = self
            .engine
            .run_held(&mut link.connection, context, link_call)
            .await;
        match reply {
            Ok(reply) => {
                self.engine.record_reply(&route, sent_at, &reply);
                self.keep_or_release(link, link_call, &reply);
                Ok(reply)
            }
            Err(error) => {
                self.engine.record_link_error(&route, sent_at, &error);
                Err(error)
            }
        }
    }

    /// Waits until a database has reached a position, and replies with the last known end of its log.
    async fn await_end(&mut self, call: &RelayCall) -> Result<DatabaseReply, LinkError> {
        let Some(position) = call.at_least.filter(|_| self.link.is_none()) else {
            return Err(LinkError::NotSent);
        };
        let engine = self.engine;
        let held = engine.settings.cell.held();
        let (upstream, upstream_view) = held_database(engine, &held, call)?;
        let until = Instant::now() + requested(call.deadline_ms);
        let database = (&upstream, upstream_view);
        let reached = engine.await_end(&held.view, database, position.into(), until);
        reached.await;
        Ok(DatabaseReply {
            position: engine.log_ends.highest(&upstream, upstream_view.born_ms),
            ..empty_reply()
        })
    }

    /// Acquires a connection for the first call of a link.
    async fn open(
        engine: &'a EngineShared<D, G>,
        call: &RelayCall,
    ) -> Result<OpenLink<'a, D>, LinkError> {
        let guard = engine.relay_started();
        let held = engine.settings.cell.held();
        let (upstream, upstream_view) = held_database(engine, &held, call)?;
        // Calls that another holder may be able to make must not wait here for an unresponsive
        // database.
        if engine.health.is_avoided(&upstream, held.view.number) {
            let why = ConnectError::Unreachable("it does not respond".to_owned());
            return Err(LinkError::Acquire(AcquireError::Connect(why)));
        }
        let organisation: Option<OrganisationId> = match call.organisation.as_str() {
            "" => None,
            name => Some(name.parse().map_err(|_| LinkError::NotSent)?),
        };
        let values = decode_values(&call.values);
        let now = Instant::now();
        let acquired = engine.pool.acquire(ConnectionRequest {
            view: &held.view,
            upstream: &upstream,
            organisation: organisation.as_ref(),
            values: &values,
            wait_until: now + requested(call.wait_ms),
            connect_until: now + requested(call.connect_ms),
            urgency: Urgency::from_wire(call.priority),
            rule: engine.pool.queue_rule(),
            target: now + requested(call.target_ms),
        });
        let connection = match acquired.await {
            Ok(connection) => connection,
            Err(error) => {
                let route = Route {
                    group: upstream_view.group.clone(),
                    held: Arc::clone(&held),
                    upstream,
                    term: None,
                };
                let error = LinkError::Acquire(error);
                engine.record_link_error(&route, now, &error);
                return Err(error);
            }
        };
        Ok(OpenLink {
            connection,
            group: upstream_view.group.clone(),
            upstream,
            organisation,
            idle_until: now,
            _guard: guard,
        })
    }

    /// Keeps the link while a transaction is open on it, and otherwise gives the connection back.
    ///
    /// If the database ended a transaction with a refusal, the connection is closed, since values
    /// that were set in the transaction may have been reverted.
    fn keep_or_release(
        &mut self,
        mut link: OpenLink<'a, D>,
        call: LinkCall<'_>,
        reply: &DatabaseReply,
    ) {
        if reply.state != TransactionState::Idle {
            link.idle_until = Instant::now() + self.idle_limit();
            self.link = Some(link);
            return;
        }
        match (call.verb, reply.outcome.is_ok()) {
            _ if !call.in_transaction => link.connection.release(),
            (LinkVerb::Commit, true) => link.connection.release_after_transaction(true),
            (LinkVerb::Rollback, true) => link.connection.release_after_transaction(false),
            _ => drop(link),
        }
    }

    fn idle_limit(&self) -> Duration {
        let held = self.engine.settings.cell.held();
        let document = held.view.document.as_ref();
        let limits =
            document.map_or_else(RequestLimits::default, |document| document.limits.clone());
        limits.idle_in_transaction_timeout + IDLE_GRACE
    }
}

/// Returns the database of a call, if this instance is one of its holders.
fn held_database<'v, D: DatabaseConnector, G>(
    engine: &EngineShared<D, G>,
    held: &'v HeldView,
    call: &RelayCall,
) -> Result<(UpstreamId, &'v UpstreamView), LinkError> {
    if engine.settings.stop.is_stopping() {
        return Err(LinkError::NotHolder);
    }
    let upstream: UpstreamId = call.upstream.parse().map_err(|_| LinkError::NotSent)?;
    let upstream_view = held.view.upstreams.get(&upstream);
    let upstream_view = upstream_view
        .filter(|upstream_view| upstream_view.born_ms == call.born_ms)
        .ok_or(LinkError::NotHolder)?;
    let holders = engine.pool.holders(&held.view, &upstream, upstream_view);
    match holders.contains(&engine.settings.instance) {
        true => Ok((upstream, upstream_view)),
        false => Err(LinkError::NotHolder),
    }
}

fn empty_reply() -> DatabaseReply {
    DatabaseReply {
        rows: Vec::new(),
        outcome: Ok(Bytes::new()),
        state: TransactionState::Idle,
        position: None,
    }
}

fn requested(millis: u32) -> Duration {
    Duration::from_millis(millis.into()).min(MAX_REQUESTED_TIME)
}
