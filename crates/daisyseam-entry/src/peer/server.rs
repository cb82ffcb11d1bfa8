//! Serves other instances: relays links to the databases held here and reports their positions.

use super::{
    client::{
        BEHIND,
        OPEN_ROUTE, //
    },
    connection::{
        PeerConnection,
        RequestId, //
    },
    relay::{
        RelayOutcome,
        relay, //
    }, //
};
use crate::{
    ViewCell,
    holder::{
        CheckOutError,
        ConnectionRequest,
        HolderHandle,
        HolderTable,
        PooledConnection, //
    }, //
};
use daisyseam_model::{
    ClusterId,
    ErrorKind,
    LogPosition,
    RequestError,
    Term,
    UpstreamId,
    announce::UpstreamRole, //
};
use daisyseam_runtime::{
    SpanExporter,
    TimerService,
    TraceContext,
    tune_socket, //
};
use daisyseam_wire::{
    AwaitReply,
    AwaitRequest,
    LinkGranted,
    LinkRefused,
    LinkReply,
    LinkRequest,
    MessageReceiver,
    PeerMessage,
    PeerRole,
    PeerSecurity,
    PeerSocket,
    ProbeReply,
    ProbeRequest,
    StreamError,
    peer_message::Body, //
};
use std::{
    future::Future,
    io,
    net::SocketAddr,
    time::Duration, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    task::{
        AbortHandle,
        JoinSet, //
    },
    time::Instant, //
};

/// Longest wait that a peer may request.
const REQUESTED_WAIT_MAX: Duration = Duration::from_secs(60);

/// Longest wait for the state requested by a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for the TLS handshake with a peer.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Settings of a [`PeerServer`].
#[derive(Clone)]
pub struct ServerSettings {
    /// Cluster to which both sides belong.
    pub cluster: ClusterId,
    /// Databases held by this instance.
    pub table: HolderTable,
    /// Current view of the fleet; links of instances removed from it are closed.
    pub cell: ViewCell,
    /// Timer service.
    pub timer: TimerService,
    /// Exporter of trace spans.
    pub spans: SpanExporter,
    /// Authentication of peers.
    pub security: PeerSecurity,
}

/// Serves peers until it is dropped, which also ends running links.
pub struct PeerServer {
    address: SocketAddr,
    task: AbortHandle,
}

impl PeerServer {
    /// Starts to serve peers.
    ///
    /// # Errors
    ///
    /// When the listener's address cannot be determined.
    pub fn start(listener: TcpListener, settings: ServerSettings) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept_loop(listener, settings));
        Ok(Self {
            address,
            task: task.abort_handle(),
        })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_loop(listener: TcpListener, settings: ServerSettings) {
    // Dropping the set ends the connections together with the server.
    let mut sessions = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let settings = settings.clone();
                sessions.spawn(serve(socket, settings));
            }
            Err(error) => {
                log::warn!("failed to accept a peer connection: {error}");
                settings.timer.after(ACCEPT_RETRY_DELAY).await;
            }
        }
        while sessions.try_join_next().is_some() {}
    }
}

async fn serve(socket: TcpStream, settings: ServerSettings) {
    if tune_socket(&socket).is_err() {
        return;
    }
    let deadline = settings.timer.now() + HANDSHAKE_TIMEOUT;
    let handshake = settings.security.server(socket, &[PeerRole::Entry]);
    let socket = match settings.timer.within(deadline, handshake).await {
        Some(Ok(socket)) => socket,
        Some(Err(error)) => {
            log::warn!("a peer failed to authenticate: {error}");
            return;
        }
        None => return,
    };
    let connection = PeerConnection::new(socket, settings.cluster.clone());
    let mut session = PeerSession {
        connection,
        settings,
        incarnation: None,
    };
    match session.run().await {
        Ok(()) | Err(StreamError::Closed) => {}
        Err(error) => log::info!("a peer connection ended: {error}"),
    }
}

/// A connection from a peer.
struct PeerSession {
    connection: PeerConnection,
    settings: ServerSettings,
    incarnation: Option<u64>,
}

impl PeerSession {
    async fn run(&mut self) -> Result<(), StreamError> {
        loop {
            let message = self.connection.receiver.receive().await?;
            let id = RequestId::of(&message);
            if id.incarnation == 0
                || *self.incarnation.get_or_insert(id.incarnation) != id.incarnation
            {
                log::warn!("a peer sent an invalid or changed incarnation; closing the connection");
                return Ok(());
            }
            match message.body {
                Some(Body::Open(request)) => self.open(id, request).await?,
                Some(Body::Await(request)) => self.await_position(id, request).await?,
                Some(Body::Probe(request)) => self.probe(id, request).await?,
                _ => return Ok(()),
            }
        }
    }

    async fn open(&mut self, id: RequestId, request: LinkRequest) -> Result<(), StreamError> {
        let parent = TraceContext::parse(&request.traceparent);
        let mut span = self.settings.spans.start("relay", parent);
        span.set("upstream", &request.upstream);
        let received_at = Instant::now();
        let checked_out = check_out(&self.settings.table, &request);
        let checked_out = unless_closed(&mut self.connection.receiver, checked_out).await?;
        let (mut pooled, position) = match checked_out {
            Ok(checked_out) => checked_out,
            Err(refusal) => {
                let refused = Body::Refused(encode_refusal(refusal));
                return self.connection.send(id, refused).await;
            }
        };
        let queued = received_at.elapsed().as_micros();
        let granted = LinkGranted {
            position: Some(position.into()),
            queued_us: u64::try_from(queued).unwrap_or(u64::MAX),
        };
        if let Err(error) = self.connection.send(id, Body::Granted(granted)).await {
            // The peer never received the link, so nothing was sent over it.
            pooled.release();
            return Err(error);
        }
        let cell = &self.settings.cell;
        match relay(id, &mut self.connection, pooled.connection(), cell).await {
            RelayOutcome::Released(clean) => {
                if clean {
                    pooled.release();
                }
                Ok(())
            }
            RelayOutcome::DatabaseLost(error) => {
                log::info!("a relayed link lost its database connection: {error}");
                let lost = LinkReply {
                    bytes: bytes::Bytes::new(),
                    lost: true,
                };
                drop(pooled);
                self.connection.send(id, Body::Reply(lost)).await?;
                Err(StreamError::Closed)
            }
            RelayOutcome::PeerLost(error) => Err(error),
        }
    }

    async fn await_position(
        &mut self,
        id: RequestId,
        request: AwaitRequest,
    ) -> Result<(), StreamError> {
        let waiting = answer_await(&self.settings.table, &request);
        let reply = unless_closed(&mut self.connection.receiver, waiting).await?;
        self.connection.send(id, Body::Awaited(reply)).await
    }

    async fn probe(&mut self, id: RequestId, request: ProbeRequest) -> Result<(), StreamError> {
        let probing = answer_probe(&self.settings.table, &request);
        let reply = unless_closed(&mut self.connection.receiver, probing).await?;
        self.connection.send(id, Body::Probed(reply)).await
    }
}

/// Waits for a future, unless the peer closes its connection or sends an unexpected message.
async fn unless_closed<F: Future>(
    receiver: &mut MessageReceiver<PeerSocket, PeerMessage>,
    future: F,
) -> Result<F::Output, StreamError> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        message = receiver.receive() => Err(message.err().unwrap_or(StreamError::Closed)),
    }
}

async fn check_out(
    table: &HolderTable,
    request: &LinkRequest,
) -> Result<(PooledConnection, LogPosition), CheckOutError> {
    let Some(handle) = find(table, &request.upstream) else {
        return Err(CheckOutError::Refused(RequestError::new(
            ErrorKind::UpstreamUnreachable,
            "this instance does not hold the database",
        )));
    };
    let request = ConnectionRequest {
        // No organisation may have the name that stands for an open route.
        organisation: Some(request.organisation.as_str())
            .filter(|name| *name != OPEN_ROUTE)
            .and_then(|name| name.parse().ok()),
        term: (request.term != 0).then_some(Term(request.term)),
        floor: request.floor.map(LogPosition::from),
        max_wait: bounded_wait(request.catch_up_ms),
        deadline: Instant::now() + bounded_wait(request.queue_ms),
    };
    handle.check_out(request).await
}

async fn answer_await(table: &HolderTable, request: &AwaitRequest) -> AwaitReply {
    let at = LogPosition::from(request.position.unwrap_or_default());
    let Some(handle) = find(table, &request.upstream) else {
        return AwaitReply::default();
    };
    let deadline = Instant::now() + bounded_wait(request.wait_ms);
    let state = handle.wait_for_position(at, deadline).await;
    let known = handle.observation().state;
    AwaitReply {
        reached: state.is_some(),
        position: state.or(known).map(|state| state.end.into()),
    }
}

async fn answer_probe(table: &HolderTable, request: &ProbeRequest) -> ProbeReply {
    let Some(handle) = find(table, &request.upstream) else {
        return ProbeReply::default();
    };
    let state = handle.fresh_state(Instant::now() + PROBE_TIMEOUT).await;
    ProbeReply {
        position: state.as_ref().map(|state| state.end.into()),
        replica: state.is_some_and(|state| state.role != UpstreamRole::Primary),
    }
}

fn find(table: &HolderTable, upstream: &str) -> Option<HolderHandle> {
    table.get(&upstream.parse::<UpstreamId>().ok()?)
}

fn bounded_wait(millis: u64) -> Duration {
    Duration::from_millis(millis).min(REQUESTED_WAIT_MAX)
}

fn encode_refusal(refusal: CheckOutError) -> LinkRefused {
    match refusal {
        CheckOutError::Behind(position) => LinkRefused {
            kind: BEHIND.to_owned(),
            position: Some(position.into()),
            ..LinkRefused::default()
        },
        CheckOutError::Refused(error) => LinkRefused {
            kind: error.kind.row().label.to_owned(),
            detail: error.detail,
            retry_after_ms: error.retry_after.map_or(0, |delay| {
                u64::try_from(delay.as_millis()).unwrap_or(u64::MAX).max(1)
            }),
            position: None,
        },
    }
}
