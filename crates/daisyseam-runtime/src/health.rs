//! Health pages for load balancers and operators: `/live`, `/ready` and `/status`.

use crate::tune_caller_socket;
use axum::{
    Json,
    Router,
    extract::State,
    http::StatusCode,
    response::{
        IntoResponse,
        Response, //
    },
    routing::get,
    serve::ListenerExt, //
};
use serde_json::Value;
use std::{
    io,
    net::SocketAddr, //
};
use tokio::{
    net::TcpListener,
    task::AbortHandle, //
};

/// The state that a daemon reports on its health pages.
pub trait HealthState: Clone + Send + Sync + 'static {
    /// Returns `None` if the daemon accepts new work, or the reason why it does not.
    fn not_ready(&self) -> Option<String>;

    /// Returns the content of the status page.
    fn status(&self) -> Value;
}

/// A server for the health pages; dropping it stops the server.
pub struct HealthServer {
    address: SocketAddr,
    task: AbortHandle,
}

impl HealthServer {
    /// Starts serving the health pages and the additional routes of the daemon.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn start<S: HealthState>(
        listen: SocketAddr,
        state: S,
        routes: Router,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let router = Router::new()
            .route("/live", get(|| async { "live\n" }))
            .route("/ready", get(ready::<S>))
            .route("/status", get(status::<S>))
            .with_state(state)
            .merge(routes);
        let listener = listener.tap_io(|socket| {
            if let Err(error) = tune_caller_socket(socket) {
                log::debug!(
                    "cannot set the socket options of a connection to the health pages: {error}"
                );
            }
        });
        let task = tokio::spawn(async move {
            if let Err(error) = axum::serve(listener, router).await {
                log::error!("the server of the health pages failed: {error}");
            }
        });
        Ok(Self {
            address,
            task: task.abort_handle(),
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for HealthServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn ready<S: HealthState>(State(state): State<S>) -> Response {
    match state.not_ready() {
        None => (StatusCode::OK, "ready\n".to_owned()).into_response(),
        Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")).into_response(),
    }
}

async fn status<S: HealthState>(State(state): State<S>) -> Json<Value> {
    Json(state.status())
}
