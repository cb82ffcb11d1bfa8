//! Accepts connections of clients up to a limit.

use super::{
    ClientConnection,
    Intake,
    counters, //
};
use socket2::SockRef;
use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    net::TcpListener,
    sync::{
        OwnedSemaphorePermit,
        Semaphore, //
    }, //
};

/// Size of the kernel's buffers of a connection in each direction; the kernel doubles it for its own
/// use. The default grows to several MiB a connection while nobody reads.
const SOCKET_BUFFER_BYTES: usize = 16 << 10;
/// Delay after a failed accept; avoids a busy loop while descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Bounds the number of connections; clones share it.
#[derive(Clone, Debug)]
pub struct ConnectionLimit {
    free: Arc<Semaphore>,
}

impl ConnectionLimit {
    /// Creates a limit of which nothing is taken.
    pub fn new(connections: usize) -> Self {
        let connections = connections.min(Semaphore::MAX_PERMITS);
        Self {
            free: Arc::new(Semaphore::new(connections)),
        }
    }

    /// Counts a connection until the guard is dropped; `None` if all are taken.
    pub fn try_enter(&self) -> Option<ConnectionGuard> {
        let permit = Arc::clone(&self.free).try_acquire_owned().ok()?;
        Some(ConnectionGuard { _permit: permit })
    }
}

/// Counts a connection until it is dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    _permit: OwnedSemaphorePermit,
}

/// Accepts connections of clients.
pub struct ClientListener {
    listener: TcpListener,
    intake: Intake,
}

impl ClientListener {
    pub(super) fn new(listener: TcpListener, intake: Intake) -> Self {
        // Accepted connections inherit the sizes.
        let socket = SockRef::from(&listener);
        let sized = socket
            .set_recv_buffer_size(SOCKET_BUFFER_BYTES)
            .and_then(|()| socket.set_send_buffer_size(2 * SOCKET_BUFFER_BYTES));
        if let Err(error) = sized {
            log::warn!("cannot bound the buffers of a listener: {error}");
        }
        Self { listener, intake }
    }

    /// Returns the bounds of its connections.
    pub fn intake(&self) -> &Intake {
        &self.intake
    }

    /// Returns the address that it listens on.
    ///
    /// # Errors
    ///
    /// When the system does not report it.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts the next connection that is within the limit; others are closed at once.
    pub async fn accept(&self) -> ClientConnection {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    if let Some(connection) = self.intake.admit(stream) {
                        return connection;
                    }
                }
                Err(error) if is_lost_connection(&error) => {}
                Err(error) => {
                    let reason = format!("a connection cannot be accepted: {error}");
                    self.intake.refused(counters::ACCEPT_FAILED, &reason);
                    self.intake.timer.after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Returns whether an accept failed because the client closed the connection before.
fn is_lost_connection(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionReset
    )
}
