//! TCP options that detect a peer that disappears without closing the connection.

use socket2::{
    SockRef,
    TcpKeepalive, //
};
use std::{
    io,
    os::fd::AsFd,
    time::Duration, //
};

/// Time without an acknowledgement of sent data after which a connection is closed.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time before the first keepalive probe, and time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection is closed.
const UNANSWERED_PROBES_MAX: u32 = 2;

/// The timeout for callers, which may read slowly: data that a caller has not read also counts as
/// unacknowledged.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// Disables the delay of small segments and detects within seconds that the peer is gone.
///
/// The peer must keep reading: one that reads nothing for that long counts as gone.
///
/// # Errors
///
/// When the system rejects one of the options.
pub fn tune_socket(socket: &impl AsFd) -> io::Result<()> {
    tune(socket, PEER_TIMEOUT)
}

/// Like [`tune_socket`], but for the connection of a caller, which may stop reading for a while.
///
/// # Errors
///
/// When the system rejects one of the options.
pub fn tune_caller_socket(socket: &impl AsFd) -> io::Result<()> {
    tune(socket, CALLER_TIMEOUT)
}

/// Like [`tune_socket`], but bytes that are not delivered within `timeout`, or before the socket is
/// closed, are discarded with the connection. The system otherwise goes on sending them.
///
/// # Errors
///
/// When the system rejects one of the options.
pub fn tune_discarding_socket(socket: &impl AsFd, timeout: Duration) -> io::Result<()> {
    tune(socket, timeout)?;
    // Closing the socket then resets the connection.
    SockRef::from(socket).set_linger(Some(Duration::ZERO))
}

fn tune(socket: &impl AsFd, timeout: Duration) -> io::Result<()> {
    let socket = SockRef::from(socket);
    socket.set_tcp_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(UNANSWERED_PROBES_MAX);
    socket.set_tcp_keepalive(&probes)?;
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(timeout))?;
    Ok(())
}
