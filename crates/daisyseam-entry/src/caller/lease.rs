//! A link checked out to one transaction, and what is owed on it.

use super::prepared::PreparedText;
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

/// A link that one transaction owns.
///
/// Dropping it closes the connection; only [`LinkLease::finish`] gives it back.
pub(super) struct LinkLease<L: DatabaseLink> {
    link: L,
    /// Term in which the transaction runs.
    pub(super) term: Term,
    /// Whether the database is the primary of that term.
    pub(super) primary: bool,
    /// Position of the database when the link was opened.
    pub(super) position: LogPosition,
    /// Text that the unnamed statement of the connection holds.
    pub(super) parsed: Option<Arc<PreparedText>>,
    /// Answers that the database owes, counted by their last message.
    owed: usize,
    /// Whether a cancel request may still be on its way.
    cancelled: bool,
}

impl<L: DatabaseLink> LinkLease<L> {
    /// Takes over a link that was opened.
    pub(super) fn new(opened: OpenedLink<L>) -> Self {
        Self {
            link: opened.link,
            term: opened.term,
            primary: opened.primary,
            position: opened.position,
            parsed: None,
            owed: 0,
            cancelled: false,
        }
    }

    /// Sends a simple query.
    pub(super) async fn query(&mut self, text: &str) -> Result<(), LinkError> {
        // A simple query drops the unnamed statement.
        self.parsed = None;
        self.send(PgWireFrontendMessage::Query(Query::new(text.to_owned())))
            .await
    }

    /// Sends a message.
    pub(super) async fn send(&mut self, message: PgWireFrontendMessage) -> Result<(), LinkError> {
        let ends = matches!(
            message,
            PgWireFrontendMessage::Query(_) | PgWireFrontendMessage::Sync(_)
        );
        self.owed += usize::from(ends);
        self.link.send(message).await
    }

    /// Sends what is held back.
    pub(super) async fn flush(&mut self) -> Result<(), LinkError> {
        self.link.flush().await
    }

    /// Receives the next message; dropping the future loses nothing.
    pub(super) async fn receive(&mut self) -> Result<PgWireBackendMessage, LinkError> {
        let message = self.link.receive().await?;
        if matches!(message, PgWireBackendMessage::ReadyForQuery(_)) {
            let owed = self.owed.checked_sub(1);
            self.owed = owed.ok_or_else(|| LinkError("an answer nobody asked for".to_owned()))?;
        }
        Ok(message)
    }

    /// Asks the database to cancel what runs; the connection is not used again after this
    /// transaction, since the request may arrive late.
    pub(super) async fn cancel(&mut self) {
        self.cancelled = true;
        self.link.cancel().await;
    }

    /// Returns whether no answer is owed.
    pub(super) fn is_settled(&self) -> bool {
        self.owed == 0
    }

    /// Gives the connection back after a transaction; with an answer owed it is closed.
    pub(super) fn finish(self) {
        if self.owed == 0 && !self.cancelled {
            self.link.release();
        }
    }
}
