//! A socket that records when bytes were last received.

use parking_lot::Mutex;
use std::{
    io,
    pin::Pin,
    sync::Arc,
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
    time::Instant, //
};

/// The moment at which bytes were last received on a socket.
#[derive(Clone, Debug)]
pub(super) struct ReadProgress(Arc<Mutex<Instant>>);

impl ReadProgress {
    pub(super) fn last_read_at(&self) -> Instant {
        *self.0.lock()
    }
}

/// Passes everything on to a socket and records the progress of its reads.
#[derive(Debug)]
pub(super) struct ProgressSocket<T> {
    socket: T,
    progress: ReadProgress,
}

impl<T> ProgressSocket<T> {
    pub(super) fn new(socket: T) -> Self {
        Self {
            socket,
            progress: ReadProgress(Arc::new(Mutex::new(Instant::now()))),
        }
    }

    pub(super) fn progress(&self) -> ReadProgress {
        self.progress.clone()
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for ProgressSocket<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.socket).poll_read(context, buffer);
        if buffer.filled().len() > before {
            *self.progress.0.lock() = Instant::now();
        }
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for ProgressSocket<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
