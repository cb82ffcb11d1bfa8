//! Metrics over the StatsD protocol, and the same counters for the status page.

use cadence::{
    Counted,
    Gauged,
    NopMetricSink,
    QueuingMetricSink,
    StatsdClient,
    Timed,
    UdpMetricSink, //
};
use displaydoc::Display;
use parking_lot::Mutex;
use std::{
    collections::BTreeMap,
    error::Error,
    fmt::Write,
    io,
    net::{
        SocketAddr,
        UdpSocket, //
    },
    sync::Arc,
    time::Duration, //
};

/// Prefix of all metric names.
const PREFIX: &str = "daisyseam";

/// Why the metrics client could not start.
#[derive(Debug, Display)]
pub enum MetricsError {
    /// the socket for metrics cannot be opened: {0}
    Socket(io::Error),
    /// the address for metrics cannot be used: {0}
    Address(cadence::MetricError),
}

impl Error for MetricsError {}

/// Sends metrics and keeps the counter values; cheap to clone.
#[derive(Clone, Debug)]
pub struct MetricClient {
    client: Arc<StatsdClient>,
    counters: Arc<Mutex<BTreeMap<&'static str, u64>>>,
}

impl MetricClient {
    /// Creates a client that keeps counters but sends nothing.
    pub fn local() -> Self {
        Self {
            client: Arc::new(StatsdClient::from_sink(PREFIX, NopMetricSink)),
            counters: Arc::default(),
        }
    }

    /// Creates a client that sends to an address, if one is given.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] when no socket can be opened.
    pub fn new(target: Option<SocketAddr>) -> Result<Self, MetricsError> {
        let Some(target) = target else {
            return Ok(Self::local());
        };
        let local = if target.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let socket = UdpSocket::bind(local).map_err(MetricsError::Socket)?;
        socket.set_nonblocking(true).map_err(MetricsError::Socket)?;
        let sink = UdpMetricSink::from(target, socket).map_err(MetricsError::Address)?;
        let client = StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink));
        Ok(Self {
            client: Arc::new(client),
            counters: Arc::default(),
        })
    }

    /// Adds one to a counter.
    pub fn count(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Adds to a counter.
    pub fn add(&self, name: &'static str, amount: u64) {
        *self.counters.lock().entry(name).or_default() += amount;
        // A request must not fail because a metric cannot be sent.
        let _ = self.client.count(name, amount);
    }

    /// Reports the current value of a gauge.
    pub fn gauge(&self, name: &'static str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Reports a duration.
    pub fn time(&self, name: &'static str, duration: Duration) {
        let _ = self.client.time(name, duration);
    }

    /// Returns the counters as text, one per line: the name, a space and the value.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for (name, value) in self.counters.lock().iter() {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{PREFIX}_{name} {value}");
        }
        text
    }

    /// Returns the current counter values.
    pub fn counters(&self) -> BTreeMap<&'static str, u64> {
        self.counters.lock().clone()
    }
}
