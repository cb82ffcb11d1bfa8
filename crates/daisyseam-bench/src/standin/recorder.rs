//! Every byte that clients sent, kept for searches.

use parking_lot::Mutex;
use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    task::{
        Context,
        Poll, //
    }, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream, //
};

type ByteLog = Arc<Mutex<Vec<u8>>>;

/// Keeps what was received, connection by connection, once it is switched on.
#[derive(Default)]
pub struct ByteRecorder {
    on: AtomicBool,
    connections: Mutex<Vec<ByteLog>>,
}

impl ByteRecorder {
    /// Starts to record connections that are opened from now on.
    pub fn switch_on(&self) {
        self.on.store(true, Ordering::Relaxed);
    }

    /// Returns how many bytes were recorded.
    pub fn bytes(&self) -> usize {
        self.connections
            .lock()
            .iter()
            .map(|log| log.lock().len())
            .sum()
    }

    /// Returns whether some connection received these bytes in a row.
    pub fn contains(&self, wanted: &[u8]) -> bool {
        let logs = self.connections.lock();
        logs.iter().any(|log| {
            log.lock()
                .windows(wanted.len())
                .any(|window| window == wanted)
        })
    }

    pub(super) fn tap(&self, stream: TcpStream) -> TappedStream {
        let log = self.on.load(Ordering::Relaxed).then(|| {
            let log = ByteLog::default();
            self.connections.lock().push(Arc::clone(&log));
            log
        });
        TappedStream { stream, log }
    }
}

/// A connection whose received bytes are recorded.
pub(super) struct TappedStream {
    stream: TcpStream,
    log: Option<ByteLog>,
}

impl AsyncRead for TappedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Some(log) = &self.log {
            log.lock().extend_from_slice(&buffer.filled()[before..]);
        }
        polled
    }
}

impl AsyncWrite for TappedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
