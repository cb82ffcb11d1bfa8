//! A connection to a database that counts requests and answers, so that none with an outstanding
//! answer is reused.

use super::{
    DatabaseTarget,
    OpenError,
    startup::{
        OpenedSocket,
        open_socket, //
    }, //
};
use crate::LinkError;
use bytes::BytesMut;
use daisyseam_runtime::{
    Dialer,
    TimerService, //
};
use pgwire::messages::{
    DecodeContext,
    PgWireBackendMessage,
    PgWireFrontendMessage,
    cancel::CancelRequest,
    response::TransactionStatus,
    startup::SecretKey, //
};
use std::{
    future::pending,
    net::Shutdown,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::tcp::{
        OwnedReadHalf,
        OwnedWriteHalf, //
    }, //
};

/// Number of buffered bytes at which they are sent without an explicit flush.
const WRITE_BUFFER_BYTES: usize = 64 << 10;

/// Largest number of bytes read ahead while the database accepts no data.
const READ_AHEAD_BYTES: usize = 1 << 20;

/// Longest time for opening a connection.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time for a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Buffer space reserved for a read.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// Closes a connection from outside, even while it is in use.
#[derive(Debug)]
pub struct ConnectionCloser(socket2::Socket);

impl ConnectionCloser {
    /// Shuts down both directions of the connection.
    pub fn close(&self) {
        // Fails only if the connection is already closed.
        let _ = self.0.shutdown(Shutdown::Both);
    }
}

/// A connection to a database.
pub struct DatabaseConnection {
    writer: ConnectionWriter,
    reader: ConnectionReader,
    target: Arc<DatabaseTarget>,
    dialer: Dialer,
    timer: TimerService,
    process: i32,
    secret: SecretKey,
    closer: Arc<ConnectionCloser>,
}

impl std::fmt::Debug for DatabaseConnection {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("DatabaseConnection")
            .field("process", &self.process)
            .field("status", &self.reader.status)
            .finish_non_exhaustive()
    }
}

impl DatabaseConnection {
    /// Connects and logs in with the proxy's own credentials.
    ///
    /// # Errors
    ///
    /// [`OpenError`] when the database does not answer or refuses the connection.
    pub async fn open(
        target: &Arc<DatabaseTarget>,
        dialer: Dialer,
        timer: &TimerService,
    ) -> Result<Self, OpenError> {
        let deadline = timer.now() + OPEN_TIMEOUT;
        let opened = timer.within(deadline, open_socket(target, dialer)).await;
        let OpenedSocket {
            socket,
            unread,
            information,
        } = opened.ok_or(OpenError::Timeout)??;
        let closer = socket2::SockRef::from(&socket).try_clone()?;
        let (read, write) = socket.into_split();
        Ok(Self {
            writer: ConnectionWriter {
                socket: write,
                buffer: BytesMut::new(),
                answers_expected: 0,
                sync_pending: false,
                broken: false,
            },
            reader: ConnectionReader {
                socket: read,
                buffer: unread,
                context: decode_context(),
                answers_received: 0,
                status: TransactionStatus::Idle,
                broken: false,
            },
            target: Arc::clone(target),
            dialer,
            timer: timer.clone(),
            process: information.process_id,
            secret: information.secret_key,
            closer: Arc::new(ConnectionCloser(closer)),
        })
    }

    /// Sends the buffered data while reading what arrives, so that neither end blocks.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the connection is broken.
    pub async fn flush(&mut self) -> Result<(), LinkError> {
        let Self { writer, reader, .. } = self;
        let flush = writer.flush();
        let read_ahead = async {
            while reader.read_ahead().await {}
            // The end of the stream or an error recurs at the next receive.
            pending::<()>().await;
        };
        tokio::select! {
            biased;
            result = flush => result,
            () = read_ahead => unreachable!("the read-ahead future never completes"),
        }
    }

    /// Borrows both directions, so that they can be used concurrently.
    pub fn split(&mut self) -> (&mut ConnectionWriter, &mut ConnectionReader) {
        (&mut self.writer, &mut self.reader)
    }

    /// Returns a handle that closes the connection from outside.
    pub fn closer(&self) -> &Arc<ConnectionCloser> {
        &self.closer
    }

    /// Returns whether the connection can be reused: no answer is outstanding, no transaction is
    /// open, and no error has occurred.
    pub fn is_clean(&self) -> bool {
        let intact = !self.writer.broken && !self.reader.broken;
        let finished = !self.writer.sync_pending && self.writer.buffer.is_empty();
        let answered = self.writer.answers_expected == self.reader.answers_received
            && self.reader.buffer.is_empty();
        intact && finished && answered && self.reader.status == TransactionStatus::Idle
    }

    /// Returns whether an answer of the database is outstanding.
    pub fn has_outstanding_answer(&self) -> bool {
        self.writer.answers_expected > self.reader.answers_received
    }

    /// Returns whether an idle connection is still open, without waiting.
    pub fn is_alive(&self) -> bool {
        // The database sends nothing on an idle connection, so readable data rules out its reuse.
        let mut byte = [0; 1];
        let read = self.reader.socket.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Returns a handle that cancels the running query over a separate connection.
    pub fn cancel_handle(&self) -> CancelHandle {
        CancelHandle {
            target: Arc::clone(&self.target),
            dialer: self.dialer,
            timer: self.timer.clone(),
            process: self.process,
            secret: self.secret.clone(),
        }
    }
}

/// Asks a database to cancel the query that a connection runs.
#[derive(Clone)]
pub struct CancelHandle {
    target: Arc<DatabaseTarget>,
    dialer: Dialer,
    timer: TimerService,
    process: i32,
    secret: SecretKey,
}

impl CancelHandle {
    /// Sends the request. The query may finish before it takes effect, so there is no result.
    pub async fn send(self) {
        let deadline = self.timer.now() + CANCEL_TIMEOUT;
        let timer = self.timer.clone();
        timer.within(deadline, self.send_request()).await;
    }

    async fn send_request(self) {
        let request = CancelRequest::new(self.process, self.secret);
        let mut buffer = BytesMut::new();
        if PgWireFrontendMessage::CancelRequest(request)
            .encode(&mut buffer)
            .is_err()
        {
            return;
        }
        let Ok(mut socket) = self.dialer.connect(self.target.address).await else {
            return;
        };
        // The database closes the connection once it has processed the request.
        if socket.write_all(&buffer).await.is_ok() {
            let _ = socket.read(&mut [0; 1]).await;
        }
    }
}

/// The sending half of a connection.
#[derive(Debug)]
pub struct ConnectionWriter {
    socket: OwnedWriteHalf,
    buffer: BytesMut,
    answers_expected: u64,
    sync_pending: bool,
    broken: bool,
}

impl ConnectionWriter {
    /// Sends a message; it may be buffered until [`ConnectionWriter::flush`].
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the connection is broken or the message cannot be encoded.
    pub async fn send(&mut self, message: &PgWireFrontendMessage) -> Result<(), LinkError> {
        self.count_answers(message);
        if let Err(error) = message.encode(&mut self.buffer) {
            self.broken = true;
            return Err(LinkError(error.to_string()));
        }
        if self.buffer.len() >= WRITE_BUFFER_BYTES {
            self.flush().await?;
        }
        Ok(())
    }

    /// Sends the buffered data.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the connection is broken.
    pub async fn flush(&mut self) -> Result<(), LinkError> {
        while !self.buffer.is_empty() {
            // `write_buf` removes what was sent, so a dropped future loses and repeats no data.
            let sent = self.socket.write_buf(&mut self.buffer).await;
            let failure = match sent {
                Ok(0) => "the database accepts no more data".to_owned(),
                Ok(_) => continue,
                Err(error) => error.to_string(),
            };
            self.broken = true;
            return Err(LinkError(failure));
        }
        Ok(())
    }

    /// Counts the answers that the message will cause.
    fn count_answers(&mut self, message: &PgWireFrontendMessage) {
        match message {
            PgWireFrontendMessage::Query(_) => self.answers_expected += 1,
            PgWireFrontendMessage::Sync(_) => {
                self.answers_expected += 1;
                self.sync_pending = false;
            }
            PgWireFrontendMessage::Terminate(_) => self.broken = true,
            message if message.is_extended_query() => self.sync_pending = true,
            _ => {}
        }
    }
}

/// The receiving half of a connection.
#[derive(Debug)]
pub struct ConnectionReader {
    socket: OwnedReadHalf,
    buffer: BytesMut,
    context: DecodeContext,
    answers_received: u64,
    status: TransactionStatus,
    broken: bool,
}

impl ConnectionReader {
    /// Receives the next message; dropping the future loses no data.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the connection is broken.
    pub async fn receive(&mut self) -> Result<PgWireBackendMessage, LinkError> {
        loop {
            if let Some(message) = self.next_buffered()? {
                return Ok(message);
            }
            self.buffer.reserve(READ_BUFFER_BYTES);
            let failure = match self.socket.read_buf(&mut self.buffer).await {
                Ok(0) => "the database closed the connection".to_owned(),
                Ok(_) => continue,
                Err(error) => error.to_string(),
            };
            self.broken = true;
            return Err(LinkError(failure));
        }
    }

    /// Reads into the buffer; returns whether more can be read ahead.
    async fn read_ahead(&mut self) -> bool {
        if self.buffer.len() >= READ_AHEAD_BYTES {
            return false;
        }
        self.buffer.reserve(READ_BUFFER_BYTES);
        let read = self.socket.read_buf(&mut self.buffer).await;
        matches!(read, Ok(count) if count > 0)
    }

    /// Returns the next message if it has been received completely.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the data cannot be decoded.
    pub fn next_buffered(&mut self) -> Result<Option<PgWireBackendMessage>, LinkError> {
        match PgWireBackendMessage::decode(&mut self.buffer, &self.context) {
            Ok(Some(message)) => {
                if let PgWireBackendMessage::ReadyForQuery(ready) = &message {
                    self.answers_received += 1;
                    self.status = ready.status;
                }
                Ok(Some(message))
            }
            Ok(None) => Ok(None),
            Err(error) => {
                self.broken = true;
                Err(LinkError(error.to_string()))
            }
        }
    }
}

/// Returns the decoding context of a connection after the start-up phase.
pub(crate) fn decode_context() -> DecodeContext {
    let mut context = DecodeContext::default();
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    context
}
