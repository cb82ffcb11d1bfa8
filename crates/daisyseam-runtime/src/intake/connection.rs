//! A client's connection that carries messages of bounded size.

use super::{
    ByteGuard,
    ConnectionGuard,
    FREE_BYTES,
    Intake,
    counters, //
};
use bytes::Bytes;
use displaydoc::Display;
use std::{
    error::Error,
    io,
    time::Duration, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::Instant, //
};

/// Bytes that are still read and dropped after a refusal. A connection that is closed with unread
/// bytes is reset, and the client may then not receive the error.
const DISCARD_BYTES_MAX: usize = 2 << 20;
/// Longest time for dropping them.
const DISCARD_TIME: Duration = Duration::from_millis(500);
/// Bytes that a session may keep until it ends. Connections to databases keep a copy of the values
/// of the sessions that used them last.
const RETAINED_BYTES_MAX: usize = 4 << 20;

/// Why a message was not received, or an answer not sent.
#[derive(Debug, Display)]
pub enum IntakeError {
    /// the budget for client data is exhausted
    BudgetExhausted,
    /// the client did not complete a message or read an answer in time
    TooSlow,
    /// the connection failed: {0}
    Io(io::Error),
}

impl Error for IntakeError {}

impl From<io::Error> for IntakeError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// A client's connection.
pub struct ClientConnection {
    stream: TcpStream,
    intake: Intake,
    guard: ByteGuard,
    /// Received bytes; those before `start` have been taken.
    received: Vec<u8>,
    start: usize,
    /// When the message that is being received began.
    begun_at: Option<Instant>,
    /// Bytes of the message or answer that is being handled.
    handled: usize,
    /// Bytes that the session keeps until it ends.
    retained: usize,
    _slot: ConnectionGuard,
}

impl ClientConnection {
    pub(super) fn new(stream: TcpStream, intake: Intake, slot: ConnectionGuard) -> Self {
        Self {
            stream,
            guard: intake.budget.guard(),
            intake,
            received: Vec::new(),
            start: 0,
            begun_at: None,
            handled: 0,
            retained: 0,
            _slot: slot,
        }
    }

    /// Returns the socket.
    pub fn socket(&self) -> &TcpStream {
        &self.stream
    }

    /// Splits off the socket and the guard that counts the connection, for another protocol.
    pub fn into_socket(self) -> (TcpStream, ConnectionGuard) {
        (self.stream, self._slot)
    }

    /// Returns the received bytes that have not been taken.
    pub fn received(&self) -> &[u8] {
        &self.received[self.start..]
    }

    /// Receives more bytes of a message of at most `message_bytes`; zero is the end of the stream.
    ///
    /// Cancel safe: dropping the future loses no bytes.
    ///
    /// # Errors
    ///
    /// Returns [`IntakeError`] if the connection fails, the message is not complete in time, or the
    /// budget is exhausted.
    pub async fn receive(&mut self, message_bytes: usize) -> Result<usize, IntakeError> {
        self.make_room(message_bytes).await?;
        let read = self.stream.read_buf(&mut self.received);
        let Some(begun_at) = self.begun_at else {
            let count = read.await?;
            self.begun_at = Some(self.intake.timer.now());
            return Ok(count);
        };
        let until = begun_at + self.intake.limits.message_time;
        match self.intake.timer.within(until, read).await {
            Some(count) => Ok(count?),
            None => Err(self.too_slow()),
        }
    }

    /// Takes a message from the received bytes, and drops its terminator. Its bytes count until the
    /// next call of [`take`](Self::take) or [`release`](Self::release).
    ///
    /// # Errors
    ///
    /// Returns [`IntakeError`] if the budget is exhausted.
    pub fn take(&mut self, length: usize, terminator: usize) -> Result<Bytes, IntakeError> {
        let message = Bytes::copy_from_slice(&self.received()[..length]);
        self.start += length + terminator;
        match self.start == self.received.len() {
            true => self.begun_at = None,
            false => self.begun_at = Some(self.intake.timer.now()),
        }
        self.shrink_buffer();
        self.handled = length;
        match self.guard.try_hold(self.charge()) {
            true => Ok(message),
            false => Err(self.exhausted()),
        }
    }

    /// Gives back the bytes of the message that was taken last.
    pub fn release(&mut self) {
        if self.handled > 0 {
            self.handled = 0;
            // Holding less always succeeds.
            self.guard.try_hold(self.charge());
        }
    }

    /// Counts the bytes that the session keeps until it ends; returns false if they exceed the
    /// budget.
    pub fn retain(&mut self, bytes: usize) -> bool {
        if bytes == self.retained {
            return true;
        }
        self.retained = bytes;
        let held = bytes <= RETAINED_BYTES_MAX && self.guard.try_hold(self.charge());
        if !held {
            self.exhausted();
        }
        held
    }

    /// Sends the parts of an answer. The bytes of an answer that the client does not read at once
    /// count until it has read them.
    ///
    /// # Errors
    ///
    /// Returns [`IntakeError`] if the connection fails, the client does not read, or the budget is
    /// exhausted.
    pub async fn send(&mut self, parts: &[Bytes]) -> Result<(), IntakeError> {
        self.release();
        for part in parts {
            let mut rest = &part[..];
            while !rest.is_empty() {
                match self.stream.try_write(rest) {
                    Ok(count) => rest = &rest[count..],
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                        self.handled = parts.iter().map(Bytes::len).sum();
                        self.wait_until_read().await?;
                    }
                    Err(error) => return Err(error.into()),
                }
            }
        }
        self.release();
        Ok(())
    }

    /// Shuts down the sending side.
    pub async fn close(&mut self) {
        // An error means that the connection is already closed.
        let _ = self.stream.shutdown().await;
    }

    /// Shuts down the sending side and drops what the client still sends, up to a bound, so that it
    /// receives what was sent before.
    pub async fn close_after_refusal(&mut self) {
        self.close().await;
        self.received = Vec::new();
        self.start = 0;
        self.release();
        let until = self.intake.timer.now() + DISCARD_TIME;
        let discard = async {
            let mut bytes = vec![0; FREE_BYTES];
            let mut left = DISCARD_BYTES_MAX;
            while left > 0 {
                match self.stream.read(&mut bytes).await {
                    Ok(0) | Err(_) => return,
                    Ok(count) => left = left.saturating_sub(count),
                }
            }
        };
        self.intake.timer.within(until, discard).await;
    }

    /// Waits until the client reads, with a share of the budget for the unread bytes.
    async fn wait_until_read(&mut self) -> Result<(), IntakeError> {
        if !self.guard.try_hold(self.charge()) {
            return Err(self.exhausted());
        }
        let until = self.intake.timer.now() + self.intake.limits.answer_time;
        let writable = self.stream.writable();
        match self.intake.timer.within(until, writable).await {
            Some(writable) => Ok(writable?),
            None => Err(self.too_slow()),
        }
    }

    /// Makes room for at least one byte, with a share of the budget where it is needed.
    async fn make_room(&mut self, message_bytes: usize) -> Result<(), IntakeError> {
        if self.received.len() < self.received.capacity() {
            return Ok(());
        }
        if self.start > 0 {
            self.received.drain(..self.start);
            self.start = 0;
            return Ok(());
        }
        let capacity = (self.received.capacity() * 2).min(message_bytes);
        let capacity = capacity.max(FREE_BYTES);
        let charge = self.charge() + charged(capacity) - charged(self.received.capacity());
        let (timer, limit) = (&self.intake.timer, self.intake.limits.budget_wait);
        if !self.guard.hold(charge, timer, limit).await {
            return Err(self.exhausted());
        }
        self.received.reserve_exact(capacity - self.received.len());
        Ok(())
    }

    /// Frees a large buffer that is no longer needed.
    fn shrink_buffer(&mut self) {
        if self.start == self.received.len() {
            self.received.clear();
            self.start = 0;
        }
        let left = self.received.len() - self.start;
        if self.received.capacity() > FREE_BYTES && left <= FREE_BYTES {
            let mut buffer = Vec::with_capacity(FREE_BYTES);
            buffer.extend_from_slice(self.received());
            self.received = buffer;
            self.start = 0;
        }
    }

    /// Returns the bytes that the connection needs from the budget.
    fn charge(&self) -> usize {
        charged(self.received.capacity()) + charged(self.handled) + charged(self.retained)
    }

    fn exhausted(&self) -> IntakeError {
        let reason = "the budget for client data is exhausted";
        self.intake.refused(counters::BUDGET_EXHAUSTED, reason);
        IntakeError::BudgetExhausted
    }

    fn too_slow(&self) -> IntakeError {
        let reason = "it did not complete a message or read an answer in time";
        self.intake.refused(counters::CLIENTS_TOO_SLOW, reason);
        IntakeError::TooSlow
    }
}

/// Returns the part of a number of bytes that counts against the budget.
fn charged(bytes: usize) -> usize {
    match bytes > FREE_BYTES {
        true => bytes,
        false => 0,
    }
}
