//! How much clients may make a process hold.

use std::time::Duration;

/// Memory of a process whose settings name none, in MiB: that of a daemon on a machine of its own.
const DEFAULT_MEMORY_MB: u64 = 2_048;
/// Descriptors of a process whose settings name none.
const DEFAULT_MAX_FDS: u64 = 24_000;
/// Descriptors that the platform reserves for files.
const FILE_FDS: u64 = 200;
/// The connections of clients may use one part in this many of the other descriptors; the system's
/// own connections use the rest.
const CONNECTIONS_DIVISOR: u64 = 2;
/// The budget is one part in this many of the memory. A message is copied up to three times on its
/// way, and the process needs memory for itself.
const BUDGET_DIVISOR: u64 = 8;
/// The kernel's buffers and the sessions of all connections may use one part in this many of the
/// memory.
const CONNECTION_MEMORY_DIVISOR: u64 = 3;
/// Memory of a connection whose receive buffer is full: the buffer and the session.
const CONNECTION_BYTES: u64 = 48 << 10;
/// Longest wait for a share of the budget before a message is refused.
const BUDGET_WAIT: Duration = Duration::from_millis(500);
/// Longest time from the first to the last byte of a message; 1 MiB at 70 KB/s.
const MESSAGE_TIME: Duration = Duration::from_secs(15);
/// Longest time in which a client reads nothing of an answer that waits for it.
const ANSWER_TIME: Duration = Duration::from_secs(10);
/// Longest time between two requests on an HTTP connection, which includes the header.
const HTTP_IDLE_TIME: Duration = Duration::from_secs(30);

/// How much clients may make a process hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IntakeLimits {
    /// Bytes of all messages that are being received or answered, without small ones.
    pub memory_bytes: usize,
    /// Connections.
    pub connections: usize,
    /// Longest wait for a share of the bytes.
    pub budget_wait: Duration,
    /// Longest time from the first to the last byte of a message.
    pub message_time: Duration,
    /// Longest time in which a client reads nothing of an answer that waits for it.
    pub answer_time: Duration,
    /// Longest time between two requests on an HTTP connection.
    pub http_idle_time: Duration,
}

impl IntakeLimits {
    /// Derives the limits from the memory and the descriptors of the process, where they are known.
    pub fn for_process(memory_mb: Option<u64>, max_fds: Option<u64>) -> Self {
        let memory = memory_mb
            .unwrap_or(DEFAULT_MEMORY_MB)
            .saturating_mul(1 << 20);
        let fds = max_fds.unwrap_or(DEFAULT_MAX_FDS).saturating_sub(FILE_FDS);
        let by_memory = memory / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
        let connections = (fds / CONNECTIONS_DIVISOR).min(by_memory).max(1);
        Self {
            memory_bytes: usize::try_from(memory / BUDGET_DIVISOR).unwrap_or(usize::MAX),
            connections: usize::try_from(connections).unwrap_or(usize::MAX),
            budget_wait: BUDGET_WAIT,
            message_time: MESSAGE_TIME,
            answer_time: ANSWER_TIME,
            http_idle_time: HTTP_IDLE_TIME,
        }
    }
}
