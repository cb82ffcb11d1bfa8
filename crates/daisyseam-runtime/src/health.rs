//! Pages for the balancer and for people: `/live`, `/ready` and `/status`.

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

/// What a daemon says of itself.
pub trait HealthState: Clone + Send + Sync + 'static {
    /// Returns nothing when the daemon takes new work, else why it does not.
    fn not_ready(&self) -> Option<String>;

    /// Describes the daemon.
    fn status(&self) -> Value;
}

/// Serves the pages until it is dropped.
pub struct HealthServer {
    address: SocketAddr,
    task: AbortHandle,
}

impl HealthServer {
    /// Starts to serve the health pages and the daemon's own routes besides.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on.
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
                log::debug!("a connection to the health pages: {error}");
            }
        });
        let task = tokio::spawn(async move {
            if let Err(error) = axum::serve(listener, router).await {
                log::error!("the health pages ended: {error}");
            }
        });
        Ok(Self {
            address,
            task: task.abort_handle(),
        })
    }

    /// Returns the address that is served.
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
        Some(why) => (StatusCode::SERVICE_UNAVAILABLE, format!("{why}\n")).into_response(),
    }
}

async fn status<S: HealthState>(State(state): State<S>) -> Json<Value> {
    Json(state.status())
}
