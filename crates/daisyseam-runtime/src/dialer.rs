//! Outgoing connections.

use crate::tune_socket;
use std::{
    io,
    net::{
        IpAddr,
        SocketAddr, //
    }, //
};
use tokio::net::{
    TcpSocket,
    TcpStream, //
};

/// Opens TCP connections from the address that the settings name.
#[derive(Clone, Copy, Debug, Default)]
pub struct Dialer {
    /// Address that connections start from; the system's choice if there is none.
    pub source: Option<IpAddr>,
}

impl Dialer {
    /// Connects; the connection is tuned by [`tune_socket`] before it is opened, so that an attempt
    /// is bounded too.
    ///
    /// # Errors
    ///
    /// When the source cannot be bound or the target does not answer.
    pub async fn connect(&self, target: SocketAddr) -> io::Result<TcpStream> {
        let socket = match target {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        if let Some(source) = self.source {
            socket.bind(SocketAddr::new(source, 0))?;
        }
        tune_socket(&socket)?;
        socket.connect(target).await
    }
}
