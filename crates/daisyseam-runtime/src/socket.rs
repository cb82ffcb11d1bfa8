//! Connections whose other end may vanish without a word.

use socket2::{
    SockRef,
    TcpKeepalive, //
};
use std::{
    io,
    os::fd::AsFd,
    time::Duration, //
};

/// Time without an acknowledgement of what was sent after which a connection is given up.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without traffic after which the other end is probed, and between two probes.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is given up.
const PROBES: u32 = 2;

/// The same for a caller, who may take his time to read: bytes that he does not take count too.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends small segments at once, and notices within seconds that the other end is gone.
///
/// The other end must go on reading: one that takes nothing for that long counts as gone.
///
/// # Errors
///
/// When the system refuses one of the options.
pub fn tune_socket(socket: &impl AsFd) -> io::Result<()> {
    tune(socket, USER_TIMEOUT)
}

/// Does the same for the connection of a caller, who may stop reading for a while.
///
/// # Errors
///
/// When the system refuses one of the options.
pub fn tune_caller_socket(socket: &impl AsFd) -> io::Result<()> {
    tune(socket, CALLER_TIMEOUT)
}

fn tune(socket: &impl AsFd, timeout: Duration) -> io::Result<()> {
    let socket = SockRef::from(socket);
    socket.set_tcp_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_EVERY)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(timeout))?;
    Ok(())
}
