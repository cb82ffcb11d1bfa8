//! The listener for callers.

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

/// What the caller side needs of the daemon around it.
pub struct CallerContext<B, G> {
    /// Cluster, to which session tokens are bound.
    pub cluster: ClusterId,
    /// This instance.
    pub instance: InstanceId,
    /// Data centre of this instance.
    pub data_centre: DataCentreId,
    /// The view and the lease on it.
    pub view: ViewCell,
    /// Opens links to databases.
    pub broker: B,
    /// Keeps rates.
    pub gate: G,
    /// The one timer service.
    pub timer: TimerService,
    /// Metrics.
    pub metrics: MetricClient,
    /// Spans.
    pub spans: SpanExporter,
    /// Asks for a graceful stop.
    pub stop: StopSignal,
    /// Answers callers that ask for TLS, if there is a certificate.
    pub tls: Option<TlsAcceptor>,
}

/// What all sessions of a listener share.
pub(super) struct CallerShared<B, G> {
    pub(super) context: CallerContext<B, G>,
    pub(super) cancels: CancelRegistry,
    pub(super) cache: StatementCache,
    open: watch::Sender<usize>,
    /// Number of the view, which sessions follow; a longer lease alone does not wake them.
    pub(super) views: watch::Sender<ViewNumber>,
}

impl<B, G> CallerShared<B, G> {
    /// Returns how many caller connections are open.
    pub(super) fn connections(&self) -> usize {
        *self.open.borrow()
    }

    /// Counts an error that is answered.
    pub(super) fn count_error(&self, kind: ErrorKind) {
        self.context.metrics.count("caller.errors");
        self.context.metrics.count(kind.row().label);
    }
}

/// Serves callers until it is dropped.
pub struct CallerServer {
    address: SocketAddr,
    open: watch::Sender<usize>,
    accepting: AbortHandle,
    following: AbortHandle,
}

impl CallerServer {
    /// Starts to serve callers on a listener.
    ///
    /// # Errors
    ///
    /// When the listener has no local address.
    pub fn start<B: LinkBroker, G: RateGate>(
        listener: TcpListener,
        context: CallerContext<B, G>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let open = watch::Sender::new(0);
        let shared = Arc::new(CallerShared {
            context,
            cancels: CancelRegistry::default(),
            cache: StatementCache::default(),
            open: open.clone(),
            views: watch::Sender::default(),
        });
        let following = tokio::spawn(follow_views(Arc::clone(&shared)));
        let accepting = tokio::spawn(accept_all(listener, shared));
        Ok(Self {
            address,
            open,
            accepting: accepting.abort_handle(),
            following: following.abort_handle(),
        })
    }

    /// Returns the address that is served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many caller connections are open.
    pub fn connections(&self) -> usize {
        *self.open.borrow()
    }

    /// Waits until no caller connection is open; once the stop signal is given they close at
    /// the end of their transactions.
    pub async fn drained(&self) {
        let mut open = self.open.subscribe();
        // The sender lives in `self`, so waiting cannot fail.
        let _ = open.wait_for(|open| *open == 0).await;
    }
}

impl Drop for CallerServer {
    /// Ends the listener; open connections end with the runtime or at the stop signal.
    fn drop(&mut self) {
        self.accepting.abort();
        self.following.abort();
    }
}

/// Counts a connection for as long as it is open.
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

async fn accept_all<B: LinkBroker, G: RateGate>(
    listener: TcpListener,
    shared: Arc<CallerShared<B, G>>,
) {
    /// Pause after a failed accept, so that a lack of descriptors does not spin.
    const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let guard = ConnectionGuard::new(&shared.open);
                tokio::spawn(serve(stream, Arc::clone(&shared), guard));
            }
            Err(error) => {
                log::warn!("a caller cannot be accepted: {error}");
                shared.context.timer.after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Passes on each new view; the cell changes with every extension of the lease besides.
async fn follow_views<B: LinkBroker, G: RateGate>(shared: Arc<CallerShared<B, G>>) {
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
