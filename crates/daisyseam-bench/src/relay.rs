//! The baseline of a proxy: a TCP relay that only copies bytes.

use std::{
    io,
    net::{
        Ipv4Addr,
        SocketAddr, //
    }, //
};
use tokio::{
    io::copy_bidirectional,
    net::{
        TcpListener,
        TcpStream, //
    },
    runtime::{
        Builder,
        Runtime, //
    }, //
};

/// Name of the relay's thread.
pub const RELAY_THREAD: &str = "relay";

/// A relay on one worker thread of its own.
pub struct ByteRelay {
    address: SocketAddr,
    runtime: Option<Runtime>,
}

impl ByteRelay {
    /// Starts to relay to a target.
    ///
    /// # Errors
    ///
    /// When there is no free port.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name(RELAY_THREAD)
            .enable_all()
            .build()?;
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        runtime.spawn(async move {
            let Ok(listener) = TcpListener::from_std(listener) else {
                return;
            };
            while let Ok((outer, _)) = listener.accept().await {
                tokio::spawn(relay(outer, target));
            }
        });
        Ok(Self {
            address,
            runtime: Some(runtime),
        })
    }

    /// Returns the address in front.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ByteRelay {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn relay(mut outer: TcpStream, target: SocketAddr) {
    let copied = async {
        let mut inner = TcpStream::connect(target).await?;
        inner.set_nodelay(true)?;
        outer.set_nodelay(true)?;
        copy_bidirectional(&mut outer, &mut inner).await
    };
    if let Err(error) = copied.await {
        log::debug!("a relayed connection failed: {error}");
    }
}
