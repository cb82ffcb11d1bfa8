//! A database link checked out for one transaction, with its outstanding answers.

use super::prepared::PreparedStatement;
use crate::{
    DatabaseLink,
    LinkError,
    OpenedLink, //
};
use daisyseam_model::{
    LogPosition,
    Term, //
};
use pgwire::messages::{
    PgWireBackendMessage,
    PgWireFrontendMessage,
    simplequery::Query, //
};
use std::sync::Arc;

/// A link owned by one transaction.
///
/// Dropping it closes the connection; only [`CheckedOutLink::release`] returns it for reuse.
pub(super) struct CheckedOutLink<L: DatabaseLink> {
    link: L,
    /// Primary term in which the transaction runs.
    pub(super) term: Term,
    /// Whether the database is the primary of the term.
    pub(super) primary: bool,
    /// Log position of the database when the link was opened.
    pub(super) position: LogPosition,
    /// Statement that is prepared as the unnamed one on the connection.
    pub(super) unnamed_statement: Option<Arc<PreparedStatement>>,
    /// Number of `ReadyForQuery` messages that the database still has to send.
    outstanding: usize,
    /// Whether a cancel request was sent, which may still arrive later.
    cancel_sent: bool,
}

impl<L: DatabaseLink> CheckedOutLink<L> {
    /// Wraps a newly opened link.
    pub(super) fn new(opened: OpenedLink<L>) -> Self {
        Self {
            link: opened.link,
            term: opened.term,
            primary: opened.primary,
            position: opened.position,
            unnamed_statement: None,
            outstanding: 0,
            cancel_sent: false,
        }
    }

    /// Sends a simple query.
    pub(super) async fn query(&mut self, text: &str) -> Result<(), LinkError> {
        // A simple query destroys the unnamed statement.
        self.unnamed_statement = None;
        self.send(PgWireFrontendMessage::Query(Query::new(text.to_owned())))
            .await
    }

    /// Sends a message.
    pub(super) async fn send(&mut self, message: PgWireFrontendMessage) -> Result<(), LinkError> {
        let ends = matches!(
            message,
            PgWireFrontendMessage::Query(_) | PgWireFrontendMessage::Sync(_)
        );
        self.outstanding += usize::from(ends);
        self.link.send(message).await
    }

    /// Flushes buffered messages.
    pub(super) async fn flush(&mut self) -> Result<(), LinkError> {
        self.link.flush().await
    }

    /// Receives the next message.
    ///
    /// This is cancel safe: dropping the future loses no message.
    pub(super) async fn receive(&mut self) -> Result<PgWireBackendMessage, LinkError> {
        let message = self.link.receive().await?;
        if matches!(message, PgWireBackendMessage::ReadyForQuery(_)) {
            let outstanding = self.outstanding.checked_sub(1);
            self.outstanding =
                outstanding.ok_or_else(|| LinkError("unexpected ReadyForQuery".to_owned()))?;
        }
        Ok(message)
    }

    /// Asks the database to cancel the running statement.
    ///
    /// The connection is not reused after this transaction, since the request may arrive late.
    pub(super) async fn cancel(&mut self) {
        self.cancel_sent = true;
        self.link.cancel().await;
    }

    /// Returns whether all expected answers were received.
    pub(super) fn has_no_outstanding_answers(&self) -> bool {
        self.outstanding == 0
    }

    /// Returns the connection for reuse after a transaction.
    ///
    /// It is closed instead if answers are outstanding or a cancel request was sent.
    pub(super) fn release(self) {
        if self.outstanding == 0 && !self.cancel_sent {
            self.link.release();
        }
    }
}
