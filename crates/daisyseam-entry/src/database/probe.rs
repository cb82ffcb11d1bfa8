//! Queries of a database's state over its HTTP port.

use daisyseam_model::{
    LogPosition,
    announce::UpstreamState, //
};
use displaydoc::Display;
use std::{
    error::Error,
    future::Future,
    net::{
        IpAddr,
        SocketAddr, //
    },
    time::Duration, //
};

/// Why the state of a database could not be read.
#[derive(Debug, Display)]
pub enum ProbeError {
    /// the HTTP request to the database failed: {0}
    Http(reqwest::Error),
    /// the database answered with HTTP status {0}
    Status(u16),
}

impl Error for ProbeError {}

impl From<reqwest::Error> for ProbeError {
    fn from(error: reqwest::Error) -> Self {
        Self::Http(error)
    }
}

/// Queries the state of a database.
pub trait UpstreamProbe: Clone + Send + Sync + 'static {
    /// Returns the current state.
    ///
    /// # Errors
    ///
    /// [`ProbeError`] when there is no valid answer.
    fn state(&self) -> impl Future<Output = Result<UpstreamState, ProbeError>> + Send;

    /// Returns the state as soon as the log has reached a position, at the latest after `wait`.
    ///
    /// # Errors
    ///
    /// [`ProbeError`] when there is no valid answer.
    fn wait_state(
        &self,
        at: LogPosition,
        wait: Duration,
    ) -> impl Future<Output = Result<UpstreamState, ProbeError>> + Send;
}

/// Queries the state over HTTP.
#[derive(Clone, Debug)]
pub struct HttpProbe {
    client: reqwest::Client,
    url: String,
}

impl HttpProbe {
    /// Creates a client to be shared by probes, which binds its connections to a source address.
    ///
    /// # Errors
    ///
    /// When the client cannot be created.
    pub fn client(source: Option<IpAddr>) -> Result<reqwest::Client, reqwest::Error> {
        reqwest::Client::builder()
            .no_proxy()
            .local_address(source)
            .tcp_nodelay(true)
            .build()
    }

    /// Creates a probe of the database with the given HTTP address.
    pub fn new(client: reqwest::Client, address: SocketAddr) -> Self {
        Self {
            client,
            url: format!("http://{address}/state"),
        }
    }

    async fn get(&self, url: &str) -> Result<UpstreamState, ProbeError> {
        let response = self.client.get(url).send().await?;
        if !response.status().is_success() {
            return Err(ProbeError::Status(response.status().as_u16()));
        }
        Ok(response.json().await?)
    }
}

impl UpstreamProbe for HttpProbe {
    async fn state(&self) -> Result<UpstreamState, ProbeError> {
        self.get(&self.url).await
    }

    async fn wait_state(
        &self,
        at: LogPosition,
        wait: Duration,
    ) -> Result<UpstreamState, ProbeError> {
        let url = format!(
            "{}?term={}&position={}&wait_ms={}",
            self.url,
            at.term,
            at.position.0,
            wait.as_millis()
        );
        self.get(&url).await
    }
}
