//! I/O of an exchange with the caller's connection and the database link.

use crate::{
    DatabaseLink,
    LinkError,
    caller::{
        cancel::CancelFlag,
        checked_out_link::CheckedOutLink, //
        codec::{
            CallerCodec,
            FrameError, //
        },
    }, //
};
use daisyseam_runtime::TimerService;
use futures_util::{
    FutureExt,
    SinkExt, //
};
use pgwire::messages::{
    PgWireBackendMessage,
    PgWireFrontendMessage, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite, //
    },
    time::Instant, //
};
use tokio_util::codec::Framed;

/// Framed connection of a caller.
pub(in crate::caller) type CallerStream<S> = Framed<S, CallerCodec>;

/// Why an exchange was interrupted.
#[derive(Debug)]
pub(in crate::caller) enum ExchangeFault {
    /// The link broke.
    Link(LinkError),
    /// The deadline passed.
    Deadline,
    /// The caller's connection failed.
    Caller(FrameError),
}

impl From<LinkError> for ExchangeFault {
    fn from(error: LinkError) -> Self {
        Self::Link(error)
    }
}

/// Connections, cancel flag and deadline of an exchange.
pub(in crate::caller) struct ExchangePort<'a, S, L: DatabaseLink> {
    pub(in crate::caller) stream: &'a mut CallerStream<S>,
    pub(in crate::caller) link: &'a mut CheckedOutLink<L>,
    pub(in crate::caller) timer: &'a TimerService,
    pub(in crate::caller) cancel: &'a CancelFlag,
    pub(in crate::caller) deadline: Instant,
}

impl<S, L> ExchangePort<'_, S, L>
where
    S: AsyncRead + AsyncWrite + Unpin,
    L: DatabaseLink,
{
    /// Sends a simple query to the database.
    pub(in crate::caller) async fn query(&mut self, text: &str) -> Result<(), ExchangeFault> {
        let sent = self.timer.within(self.deadline, self.link.query(text));
        Ok(sent.await.ok_or(ExchangeFault::Deadline)??)
    }

    /// Sends a message to the database.
    pub(in crate::caller) async fn send(
        &mut self,
        message: PgWireFrontendMessage,
    ) -> Result<(), ExchangeFault> {
        let sent = self.timer.within(self.deadline, self.link.send(message));
        Ok(sent.await.ok_or(ExchangeFault::Deadline)??)
    }

    /// Flushes messages buffered by the link.
    pub(super) async fn flush_link(&mut self) -> Result<(), ExchangeFault> {
        let flushed = self.timer.within(self.deadline, self.link.flush());
        Ok(flushed.await.ok_or(ExchangeFault::Deadline)??)
    }

    /// Relays a message to the caller; waits for a slow caller up to the deadline.
    pub(super) async fn relay(
        &mut self,
        message: PgWireBackendMessage,
    ) -> Result<(), ExchangeFault> {
        let fed = self.timer.within(self.deadline, self.stream.feed(message));
        fed.await
            .ok_or(ExchangeFault::Deadline)?
            .map_err(ExchangeFault::Caller)
    }

    /// Receives the next message of the database; forwards a cancel request while waiting.
    pub(super) async fn receive(&mut self) -> Result<PgWireBackendMessage, ExchangeFault> {
        // Messages that are already available are batched before the caller's stream is flushed.
        if let Some(message) = self.link.receive().now_or_never() {
            return Ok(message?);
        }
        let flushed = self.timer.within(self.deadline, self.stream.flush());
        flushed
            .await
            .ok_or(ExchangeFault::Deadline)?
            .map_err(ExchangeFault::Caller)?;
        loop {
            let message = tokio::select! {
                biased;
                message = self.link.receive() => Some(message?),
                () = self.cancel.requested() => None,
                () = self.timer.at(self.deadline) => return Err(ExchangeFault::Deadline),
            };
            match message {
                Some(message) => return Ok(message),
                None => self.link.cancel().await,
            }
        }
    }
}
