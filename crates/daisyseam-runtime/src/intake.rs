//! Bounds on what clients that are not under our control can make a process hold.
//!
//! All listeners for such clients use this module. It bounds the bytes of unread and unanswered
//! messages, the connections, the kernel's buffers for them, and the time of a message that has
//! begun and of an answer that is not read.

mod budget;
mod connection;
mod http;
mod limits;
mod listener;

pub use self::{
    budget::{
        ByteBudget,
        ByteGuard, //
    },
    connection::{
        ClientConnection,
        IntakeError, //
    },
    http::serve_http,
    limits::IntakeLimits,
    listener::{
        ClientListener,
        ConnectionGuard,
        ConnectionLimit, //
    }, //
};

use crate::{
    MetricClient,
    TimerService, //
};
use parking_lot::Mutex;
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    time::Instant, //
};

/// Bytes of a message or an answer that a connection may hold without a share of the budget, so
/// that small messages are served while others hold the whole budget.
pub const FREE_BYTES: usize = 4 << 10;

/// Shortest time between two log lines about refused clients; a flood must not fill the log.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Names of the counters.
mod counters {
    /// Connections closed at once because all connections were taken.
    pub(super) const CONNECTIONS_REFUSED: &str = "intake_connections_refused";
    /// Messages not read completely, and answers not sent, because the budget was exhausted.
    pub(super) const BUDGET_EXHAUSTED: &str = "intake_budget_exhausted";
    /// Connections closed because a message was not completed or an answer not read in time.
    pub(super) const CLIENTS_TOO_SLOW: &str = "intake_clients_too_slow";
    /// Connections that could not be accepted.
    pub(super) const ACCEPT_FAILED: &str = "intake_accept_failed";
}

/// The bounds of a process and what they share; cheap to clone.
#[derive(Clone)]
pub struct Intake {
    limits: IntakeLimits,
    budget: ByteBudget,
    connections: ConnectionLimit,
    timer: TimerService,
    metrics: MetricClient,
    logged_at: Arc<Mutex<Option<Instant>>>,
}

impl Intake {
    /// Creates bounds that nothing uses yet.
    pub fn new(limits: IntakeLimits, timer: TimerService, metrics: MetricClient) -> Self {
        Self {
            limits,
            budget: ByteBudget::new(limits.memory_bytes),
            connections: ConnectionLimit::new(limits.connections),
            timer,
            metrics,
            logged_at: Arc::default(),
        }
    }

    /// Returns bounds with the same budget of bytes and connections of their own, so that a flood of
    /// one listener leaves the others reachable.
    pub fn with_connections(&self, connections: usize) -> Self {
        Self {
            connections: ConnectionLimit::new(connections),
            ..self.clone()
        }
    }

    /// Returns the budget of bytes.
    pub fn budget(&self) -> &ByteBudget {
        &self.budget
    }

    /// Accepts clients of a listener within these bounds.
    pub fn listen(&self, listener: TcpListener) -> ClientListener {
        ClientListener::new(listener, self.clone())
    }

    /// Takes over an accepted connection; `None` if all connections are taken.
    pub fn admit(&self, stream: TcpStream) -> Option<ClientConnection> {
        match self.connections.try_enter() {
            Some(guard) => Some(ClientConnection::new(stream, self.clone(), guard)),
            None => {
                self.refused(counters::CONNECTIONS_REFUSED, "all connections are taken");
                None
            }
        }
    }

    /// Counts a refusal and logs it, unless another one was logged shortly before.
    fn refused(&self, counter: &'static str, reason: &str) {
        self.metrics.count(counter);
        let now = self.timer.now();
        let mut logged_at = self.logged_at.lock();
        if logged_at.is_none_or(|at| now >= at + LOG_INTERVAL) {
            *logged_at = Some(now);
            log::warn!("a client was refused: {reason}; further refusals are only counted");
        }
    }
}
