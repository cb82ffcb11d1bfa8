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

/// Sends small segments at once, and notices within seconds that the other end is gone.
///
/// # Errors
///
/// When the system refuses one of the options.
pub fn tune_socket(socket: &impl AsFd) -> io::Result<()> {
    let socket = SockRef::from(socket);
    socket.set_tcp_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_EVERY)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    Ok(())
}
