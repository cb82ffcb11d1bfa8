//! Outgoing connections.

use crate::{
    tune_discarding_socket,
    tune_socket, //
};
use std::{
    io,
    net::{
        IpAddr,
        SocketAddr, //
    }, //
    time::Duration,
};
use tokio::net::{
    TcpSocket,
    TcpStream, //
};

/// Opens TCP connections from the configured source address.
#[derive(Clone, Copy, Debug, Default)]
pub struct Dialer {
    /// Source address of connections; the system chooses one if it is not set.
    pub source: Option<IpAddr>,
    /// Time after which bytes that the peer has not received are discarded with the connection, as
    /// they are when it is dropped. If it is not set, the system sends them even after a drop.
    pub discard_after: Option<Duration>,
}

impl Dialer {
    /// Opens a connection; [`tune_socket`] is applied first, so that the timeout also limits the
    /// connection attempt.
    ///
    /// # Errors
    ///
    /// When the source address cannot be bound or the target cannot be reached.
    pub async fn connect(&self, target: SocketAddr) -> io::Result<TcpStream> {
        let socket = match target {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        if let Some(source) = self.source {
            socket.bind(SocketAddr::new(source, 0))?;
        }
        match self.discard_after {
            Some(timeout) => tune_discarding_socket(&socket, timeout)?,
            None => tune_socket(&socket)?,
        }
        socket.connect(target).await
    }
}
