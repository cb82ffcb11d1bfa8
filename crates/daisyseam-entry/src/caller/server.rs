//! The listener for callers.

use crate::{
    LinkBroker,
    RateGate,
    ViewCell, //
};
use daisyseam_model::{
    ClusterId,
    DataCentreId,
    InstanceId, //
};
use daisyseam_runtime::{
    MetricClient,
    SpanExporter,
    StopSignal,
    TimerService, //
};
use std::{
    io,
    net::SocketAddr, //
};
use tokio::{
    net::TcpListener,
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

/// Serves callers until it is dropped.
pub struct CallerServer {
    address: SocketAddr,
    connections: watch::Sender<usize>,
    accepting: AbortHandle,
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
        let connections = watch::Sender::new(0);
        let accepting = tokio::spawn(accept_all(listener, context));
        Ok(Self {
            address,
            connections,
            accepting: accepting.abort_handle(),
        })
    }

    /// Returns the address that is served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many caller connections are open.
    pub fn connections(&self) -> usize {
        *self.connections.borrow()
    }

    /// Waits until no caller connection is open; once the stop signal is given they close at
    /// the end of their transactions.
    pub async fn drained(&self) {
        let mut connections = self.connections.subscribe();
        // The sender lives in `self`, so waiting cannot fail.
        let _ = connections.wait_for(|open| *open == 0).await;
    }
}

impl Drop for CallerServer {
    /// Ends the listener; open connections end with the runtime or at the stop signal.
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept_all<B: LinkBroker, G: RateGate>(
    listener: TcpListener,
    context: CallerContext<B, G>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        log::debug!("{} closes a caller: not served yet", context.instance);
        drop(stream);
    }
}
