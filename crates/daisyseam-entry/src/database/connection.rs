//! A connection to a database, counted so that an answer still owed is never forgotten.

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

/// Bytes held back before they are sent without being asked to.
const WRITE_BUFFER_BYTES: usize = 64 << 10;

/// Most bytes that are read ahead while the database does not take more.
const READ_AHEAD_BYTES: usize = 1 << 20;

/// Longest time that opening a connection may take.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time that a cancel request may take.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Room that a read asks for, in bytes.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// Closes a connection from outside, whoever is using it.
#[derive(Debug)]
pub struct ConnectionCloser(socket2::Socket);

impl ConnectionCloser {
    /// Shuts the connection down both ways.
    pub fn close(&self) {
        // It fails only when the other end was faster.
        let _ = self.0.shutdown(Shutdown::Both);
    }
}

/// One connection to a database.
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
    /// Connects and goes through start-up with the system's own credentials.
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
                owed: 0,
                unfinished: false,
                broken: false,
            },
            reader: ConnectionReader {
                socket: read,
                buffer: unread,
                context: decode_context(),
                answered: 0,
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

    /// Sends what is held back, and takes in meanwhile what comes, so that neither end blocks.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the connection is broken.
    pub async fn flush(&mut self) -> Result<(), LinkError> {
        let Self { writer, reader, .. } = self;
        let flush = writer.flush();
        let read_ahead = async {
            while reader.read_ahead().await {}
            // Nothing more to be done here: the end shows at the next receive.
            pending::<()>().await;
        };
        tokio::select! {
            biased;
            result = flush => result,
            () = read_ahead => unreachable!("reading ahead never ends"),
        }
    }

    /// Borrows both ways, so that they can be used at once.
    pub fn split(&mut self) -> (&mut ConnectionWriter, &mut ConnectionReader) {
        (&mut self.writer, &mut self.reader)
    }

    /// Returns what closes it from outside.
    pub fn closer(&self) -> &Arc<ConnectionCloser> {
        &self.closer
    }

    /// Returns whether it can be checked out again: nothing owed, no transaction open, not broken.
    pub fn is_clean(&self) -> bool {
        let intact = !self.writer.broken && !self.reader.broken;
        let finished = !self.writer.unfinished && self.writer.buffer.is_empty();
        let answered = self.writer.owed == self.reader.answered && self.reader.buffer.is_empty();
        intact && finished && answered && self.reader.status == TransactionStatus::Idle
    }

    /// Returns whether the database has yet to answer something.
    pub fn owes_answer(&self) -> bool {
        self.writer.owed > self.reader.answered
    }

    /// Returns whether an idle connection still stands, without waiting.
    pub fn is_alive(&self) -> bool {
        // An idle database has nothing to say, so anything that can be read ends its use.
        let mut byte = [0; 1];
        let read = self.reader.socket.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Returns an order to cancel what it runs, to be sent on a connection of its own.
    pub fn cancel_order(&self) -> CancelOrder {
        CancelOrder {
            target: Arc::clone(&self.target),
            dialer: self.dialer,
            timer: self.timer.clone(),
            process: self.process,
            secret: self.secret.clone(),
        }
    }
}

/// Asks a database to cancel what one connection runs.
#[derive(Clone)]
pub struct CancelOrder {
    target: Arc<DatabaseTarget>,
    dialer: Dialer,
    timer: TimerService,
    process: i32,
    secret: SecretKey,
}

impl CancelOrder {
    /// Sends the request; the database may come too late, so nothing is answered.
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
        // The database closes the connection once it has acted.
        if socket.write_all(&buffer).await.is_ok() {
            let _ = socket.read(&mut [0; 1]).await;
        }
    }
}

/// The way towards the database.
#[derive(Debug)]
pub struct ConnectionWriter {
    socket: OwnedWriteHalf,
    buffer: BytesMut,
    owed: u64,
    unfinished: bool,
    broken: bool,
}

impl ConnectionWriter {
    /// Takes a message in; it may be held back until [`ConnectionWriter::flush`].
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the connection is broken or the message cannot be encoded.
    pub async fn send(&mut self, message: &PgWireFrontendMessage) -> Result<(), LinkError> {
        self.count(message);
        if let Err(error) = message.encode(&mut self.buffer) {
            self.broken = true;
            return Err(LinkError(error.to_string()));
        }
        if self.buffer.len() >= WRITE_BUFFER_BYTES {
            self.flush().await?;
        }
        Ok(())
    }

    /// Sends what is held back.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the connection is broken.
    pub async fn flush(&mut self) -> Result<(), LinkError> {
        while !self.buffer.is_empty() {
            // `write_buf` takes off what was sent, so a dropped future loses and repeats nothing.
            let sent = self.socket.write_buf(&mut self.buffer).await;
            let failure = match sent {
                Ok(0) => "the database takes no more".to_owned(),
                Ok(_) => continue,
                Err(error) => error.to_string(),
            };
            self.broken = true;
            return Err(LinkError(failure));
        }
        Ok(())
    }

    /// Counts the answers that the message will bring about.
    fn count(&mut self, message: &PgWireFrontendMessage) {
        match message {
            PgWireFrontendMessage::Query(_) => self.owed += 1,
            PgWireFrontendMessage::Sync(_) => {
                self.owed += 1;
                self.unfinished = false;
            }
            PgWireFrontendMessage::Terminate(_) => self.broken = true,
            message if message.is_extended_query() => self.unfinished = true,
            _ => {}
        }
    }
}

/// The way back from the database.
#[derive(Debug)]
pub struct ConnectionReader {
    socket: OwnedReadHalf,
    buffer: BytesMut,
    context: DecodeContext,
    answered: u64,
    status: TransactionStatus,
    broken: bool,
}

impl ConnectionReader {
    /// Receives the next message; dropping the future loses nothing.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the connection is broken.
    pub async fn receive(&mut self) -> Result<PgWireBackendMessage, LinkError> {
        loop {
            if let Some(message) = self.buffered()? {
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

    /// Reads into the buffer; returns whether there is room and a connection for more.
    async fn read_ahead(&mut self) -> bool {
        if self.buffer.len() >= READ_AHEAD_BYTES {
            return false;
        }
        self.buffer.reserve(READ_BUFFER_BYTES);
        let read = self.socket.read_buf(&mut self.buffer).await;
        matches!(read, Ok(count) if count > 0)
    }

    /// Returns the next message if it has come in whole already.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the bytes are no message.
    pub fn buffered(&mut self) -> Result<Option<PgWireBackendMessage>, LinkError> {
        match PgWireBackendMessage::decode(&mut self.buffer, &self.context) {
            Ok(Some(message)) => {
                if let PgWireBackendMessage::ReadyForQuery(ready) = &message {
                    self.answered += 1;
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

/// Returns the context of a connection whose start-up is over.
pub(crate) fn decode_context() -> DecodeContext {
    let mut context = DecodeContext::default();
    context.awaiting_frontend_ssl = false;
    context.awaiting_frontend_startup = false;
    context
}
