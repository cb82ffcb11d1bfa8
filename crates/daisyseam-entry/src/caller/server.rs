//! Server that accepts caller connections.

use super::{
    cancel::CancelRegistry,
    startup,
    statement_cache::StatementCache, //
};
use crate::{
    LinkBroker,
    RateGate,
    ViewCell, //
};
use daisyseam_model::{
    ClusterId,
    DataCentreId,
    ErrorKind,
    InstanceId,
    ViewNumber, //
};
use daisyseam_runtime::{
    MetricClient,
    SpanExporter,
    StopSignal,
    TimerService, //
};
use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
    task::AbortHandle, //
};
use tokio_rustls::TlsAcceptor;

/// Services and settings that caller sessions use.
pub struct CallerContext<B, G> {
    /// Cluster that session tokens are bound to.
    pub cluster: ClusterId,
    /// This instance.
    pub instance: InstanceId,
    /// Data centre of this instance.
    pub data_centre: DataCentreId,
    /// Current view and the lease on it.
    pub view: ViewCell,
    /// Opens links to databases.
    pub broker: B,
    /// Enforces rate limits.
    pub gate: G,
    /// Timer service of the daemon.
    pub timer: TimerService,
    /// Metrics.
    pub metrics: MetricClient,
    /// Exporter of trace spans.
    pub spans: SpanExporter,
    /// Signals a graceful stop.
    pub stop: StopSignal,
    /// TLS acceptor, if a certificate is configured.
    pub tls: Option<TlsAcceptor>,
}

/// State shared by all sessions of a server.
pub(super) struct CallerShared<B, G> {
    pub(super) context: CallerContext<B, G>,
    pub(super) cancels: CancelRegistry,
    pub(super) cache: StatementCache,
    open_connections: watch::Sender<usize>,
    /// Number of the current view; a lease renewal alone does not notify sessions.
    pub(super) views: watch::Sender<ViewNumber>,
}

impl<B, G> CallerShared<B, G> {
    /// Returns how many caller connections are open.
    pub(super) fn connections(&self) -> usize {
        *self.open_connections.borrow()
    }

    /// Counts an error sent to a caller.
    pub(super) fn count_error(&self, kind: ErrorKind) {
        self.context.metrics.count("caller.errors");
        self.context.metrics.count(kind.row().label);
    }
}

/// Accepts caller connections until dropped.
pub struct CallerServer {
    address: SocketAddr,
    open_connections: watch::Sender<usize>,
    accept_task: AbortHandle,
    view_task: AbortHandle,
}

impl CallerServer {
    /// Starts serving callers on a listener.
    ///
    /// # Errors
    ///
    /// If the local address of the listener cannot be determined.
    pub fn start<B: LinkBroker, G: RateGate>(
        listener: TcpListener,
        context: CallerContext<B, G>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let open_connections = watch::Sender::new(0);
        let shared = Arc::new(CallerShared {
            context,
            cancels: CancelRegistry::default(),
            cache: StatementCache::default(),
            open_connections: open_connections.clone(),
            views: watch::Sender::default(),
        });
        let view_task = tokio::spawn(forward_view_changes(Arc::clone(&shared)));
        let accept_task = tokio::spawn(accept_callers(listener, shared));
        Ok(Self {
            address,
            open_connections,
            accept_task: accept_task.abort_handle(),
            view_task: view_task.abort_handle(),
        })
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many caller connections are open.
    pub fn connections(&self) -> usize {
        *self.open_connections.borrow()
    }

    /// Waits until no caller connection is open; after the stop signal, connections close at the
    /// end of their transactions.
    pub async fn drained(&self) {
        let mut open = self.open_connections.subscribe();
        // `self` owns the sender, so waiting cannot fail.
        let _ = open.wait_for(|open| *open == 0).await;
    }
}

impl Drop for CallerServer {
    /// Stops accepting connections; open ones end with the runtime or after the stop signal.
    fn drop(&mut self) {
        self.accept_task.abort();
        self.view_task.abort();
    }
}

/// Counts an open connection until dropped.
struct ConnectionGuard(watch::Sender<usize>);

impl ConnectionGuard {
    fn new(open: &watch::Sender<usize>) -> Self {
        open.send_modify(|open| *open += 1);
        Self(open.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.send_modify(|open| *open -= 1);
    }
}

async fn accept_callers<B: LinkBroker, G: RateGate>(
    listener: TcpListener,
    shared: Arc<CallerShared<B, G>>,
) {
    /// Delay after a failed accept; avoids a busy loop while file descriptors are exhausted.
    const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let guard = ConnectionGuard::new(&shared.open_connections);
                tokio::spawn(serve(stream, Arc::clone(&shared), guard));
            }
            Err(error) => {
                log::warn!("failed to accept a caller connection: {error}");
                shared.context.timer.after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Notifies sessions of each new view, but not of lease renewals, which also change the cell.
async fn forward_view_changes<B: LinkBroker, G: RateGate>(shared: Arc<CallerShared<B, G>>) {
    let cell = &shared.context.view;
    let mut changes = cell.subscribe();
    loop {
        let number = cell.held().view.number;
        shared.views.send_if_modified(|known| {
            let changed = *known != number;
            *known = number;
            changed
        });
        if changes.changed().await.is_err() {
            return;
        }
    }
}

async fn serve<B: LinkBroker, G: RateGate>(
    stream: TcpStream,
    shared: Arc<CallerShared<B, G>>,
    _guard: ConnectionGuard,
) {
    startup::serve(stream, shared).await;
}
