//! Requests links and positions from other instances.

use super::{
    IncarnationCell,
    connection::{
        PeerConnection,
        RequestId, //
    },
    link::PeerLink, //
};
use crate::holder::CheckOutError;
use daisyseam_model::{
    ClusterId,
    ErrorKind,
    LogPosition,
    RequestError,
    UpstreamId, //
};
use daisyseam_runtime::{
    Dialer,
    TimerService, //
};
use daisyseam_wire::{
    AwaitReply,
    AwaitRequest,
    LinkGranted,
    LinkRefused,
    LinkRequest,
    PeerRole,
    PeerSecurity,
    ProbeReply,
    ProbeRequest,
    StreamError,
    peer_message::Body, //
};
use displaydoc::Display;
use parking_lot::Mutex;
use std::{
    collections::BTreeMap,
    error::Error,
    net::SocketAddr,
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

/// Kind in a refusal that means that the database is behind the requested position.
pub(super) const BEHIND: &str = "behind";

/// Value sent in place of an organisation's name for an open route.
pub(crate) const OPEN_ROUTE: &str = "open";

/// Longest time for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that an answer may take beyond the requested wait.
const ANSWER_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// Time without an answer after which a peer's reachability is checked.
const REACHABILITY_CHECK_DELAY: Duration = Duration::from_millis(250);

/// Longest time for the answer to a reachability check.
const REACHABILITY_CHECK_TIMEOUT: Duration = Duration::from_millis(750);

/// Largest number of idle connections kept per peer.
const IDLE_CONNECTIONS_MAX: usize = 64;

/// Settings of a [`PeerClient`].
#[derive(Clone)]
pub struct PeerSettings {
    /// Cluster to which both sides belong.
    pub cluster: ClusterId,
    /// Incarnation of this instance.
    pub incarnation: IncarnationCell,
    /// Outgoing connections.
    pub dialer: Dialer,
    /// Timer service.
    pub timer: TimerService,
    /// Mutual authentication with peers.
    pub security: PeerSecurity,
}

/// Why a request to a peer failed; nothing was run.
#[derive(Debug, Display)]
pub enum PeerError {
    /// the connection to the peer failed: {0}
    Stream(StreamError),
    /// the peer did not answer in time
    Timeout,
}

impl Error for PeerError {}

impl From<StreamError> for PeerError {
    fn from(error: StreamError) -> Self {
        Self::Stream(error)
    }
}

impl From<std::io::Error> for PeerError {
    fn from(error: std::io::Error) -> Self {
        Self::Stream(error.into())
    }
}

impl From<PeerError> for RequestError {
    fn from(error: PeerError) -> Self {
        Self::new(ErrorKind::UpstreamUnreachable, error.to_string())
    }
}

/// Client for the other instances; cheap to clone.
#[derive(Clone)]
pub struct PeerClient {
    shared: Arc<PeerShared>,
}

struct PeerShared {
    settings: PeerSettings,
    next_request: AtomicU64,
    idle: Mutex<BTreeMap<SocketAddr, Vec<PeerConnection>>>,
}

impl PeerClient {
    /// Creates a client without connections.
    pub fn new(settings: PeerSettings) -> Self {
        let shared = PeerShared {
            settings,
            next_request: AtomicU64::new(1),
            idle: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Opens a link through a holder.
    ///
    /// # Errors
    ///
    /// [`CheckOutError`]; nothing was run.
    pub async fn open(
        &self,
        address: SocketAddr,
        request: LinkRequest,
        deadline: Instant,
    ) -> Result<(PeerLink, LinkGranted), CheckOutError> {
        let answer_deadline = deadline + ANSWER_GRACE_PERIOD;
        let exchange = self.exchange(address, Body::Open(request), answer_deadline);
        let opened = tokio::select! {
            biased;
            opened = exchange => opened,
            () = self.wait_until_unreachable(address) => Err(PeerError::Timeout),
        };
        let (connection, id, body) =
            opened.map_err(|error| CheckOutError::Refused(error.into()))?;
        match body {
            Body::Granted(granted) => {
                let link = PeerLink::new(self.clone(), address, connection, id);
                Ok((link, granted))
            }
            Body::Refused(refused) => {
                self.return_idle(address, connection);
                Err(decode_refusal(refused))
            }
            _ => Err(CheckOutError::Refused(unexpected_reply().into())),
        }
    }

    /// Waits until a holder reports that a database has reached a position in exactly its term.
    ///
    /// # Errors
    ///
    /// [`PeerError`] when there is no answer.
    pub async fn await_position(
        &self,
        address: SocketAddr,
        upstream: &UpstreamId,
        at: LogPosition,
        deadline: Instant,
    ) -> Result<AwaitReply, PeerError> {
        let request = AwaitRequest {
            upstream: upstream.to_string(),
            position: Some(at.into()),
            wait_ms: millis_until(deadline),
        };
        let answer_deadline = deadline + ANSWER_GRACE_PERIOD;
        let (connection, _, body) = self
            .exchange(address, Body::Await(request), answer_deadline)
            .await?;
        match body {
            Body::Awaited(reply) => {
                self.return_idle(address, connection);
                Ok(reply)
            }
            _ => Err(unexpected_reply()),
        }
    }

    /// Queries a holder for a database's position, read after the holder received the request.
    ///
    /// # Errors
    ///
    /// [`PeerError`] when there is no answer.
    pub async fn probe(
        &self,
        address: SocketAddr,
        upstream: &UpstreamId,
        deadline: Instant,
    ) -> Result<ProbeReply, PeerError> {
        let request = ProbeRequest {
            upstream: upstream.to_string(),
        };
        let (connection, _, body) = self
            .exchange(address, Body::Probe(request), deadline)
            .await?;
        match body {
            Body::Probed(reply) => {
                self.return_idle(address, connection);
                Ok(reply)
            }
            _ => Err(unexpected_reply()),
        }
    }

    /// Waits until a peer no longer answers an empty probe.
    ///
    /// Other requests may legitimately take long, so only a probe detects an unreachable peer.
    pub(super) async fn wait_until_unreachable(&self, address: SocketAddr) {
        let timer = &self.shared.settings.timer;
        let empty_probe = ProbeRequest::default();
        loop {
            timer.after(REACHABILITY_CHECK_DELAY).await;
            let deadline = timer.now() + REACHABILITY_CHECK_TIMEOUT;
            let checked = self.exchange(address, Body::Probe(empty_probe.clone()), deadline);
            match checked.await {
                Ok((connection, _, _)) => self.return_idle(address, connection),
                Err(error) => {
                    log::info!("peer {address} is unreachable: {error}");
                    return;
                }
            }
        }
    }

    /// Keeps an idle connection for the next request.
    pub(super) fn return_idle(&self, address: SocketAddr, connection: PeerConnection) {
        let mut idle = self.shared.idle.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() < IDLE_CONNECTIONS_MAX {
            connections.push(connection);
        }
    }

    /// Sends a request and receives the first answer.
    ///
    /// The peer may have closed an idle connection. Retrying on another one is safe, since no
    /// request runs anything before its first answer.
    async fn exchange(
        &self,
        address: SocketAddr,
        body: Body,
        deadline: Instant,
    ) -> Result<(PeerConnection, RequestId, Body), PeerError> {
        let timer = &self.shared.settings.timer;
        let exchange = async {
            while let Some(connection) = self.take_idle(address) {
                if let Ok(answered) = self.send_request(connection, body.clone()).await {
                    return Ok(answered);
                }
            }
            let connection = self.connect(address).await?;
            Ok(self.send_request(connection, body.clone()).await?)
        };
        let answered = timer.within(deadline, exchange).await;
        answered.unwrap_or(Err(PeerError::Timeout))
    }

    async fn send_request(
        &self,
        mut connection: PeerConnection,
        body: Body,
    ) -> Result<(PeerConnection, RequestId, Body), StreamError> {
        let id = RequestId {
            incarnation: self.shared.settings.incarnation.get().0,
            request: self.shared.next_request.fetch_add(1, Ordering::Relaxed),
        };
        connection.send(id, body).await?;
        let answer = connection.receive(id).await?;
        Ok((connection, id, answer))
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerConnection, PeerError> {
        let settings = &self.shared.settings;
        let deadline = settings.timer.now() + CONNECT_TIMEOUT;
        let connected = async {
            let socket = settings.dialer.connect(address).await?;
            settings.security.client(socket, PeerRole::Entry).await
        };
        let socket = settings.timer.within(deadline, connected).await;
        let socket = socket.ok_or(PeerError::Timeout)??;
        Ok(PeerConnection::new(socket, settings.cluster.clone()))
    }

    fn take_idle(&self, address: SocketAddr) -> Option<PeerConnection> {
        self.shared.idle.lock().get_mut(&address)?.pop()
    }
}

/// Returns the whole milliseconds until a time.
pub(crate) fn millis_until(moment: Instant) -> u64 {
    let left = moment.saturating_duration_since(Instant::now());
    u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
}

fn unexpected_reply() -> PeerError {
    PeerError::Stream(StreamError::Closed)
}

fn decode_refusal(refused: LinkRefused) -> CheckOutError {
    if refused.kind == BEHIND {
        let position = refused.position.unwrap_or_default();
        return CheckOutError::Behind(position.into());
    }
    let kind = ErrorKind::ALL
        .into_iter()
        .find(|kind| kind.row().label == refused.kind);
    let kind = kind.unwrap_or(ErrorKind::UpstreamUnreachable);
    let error = RequestError::new(kind, refused.detail);
    CheckOutError::Refused(match refused.retry_after_ms {
        0 => error,
        millis => error.with_retry_after(Duration::from_millis(millis)),
    })
}
