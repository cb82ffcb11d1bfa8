//! Transaction block of a session.

use crate::{
    DatabaseLink,
    caller::checked_out_link::CheckedOutLink, //
};
use pgwire::messages::response::TransactionStatus;

/// Transaction block of a session.
pub(super) enum TransactionBlock<L: DatabaseLink> {
    /// No transaction.
    Idle,
    /// A transaction that was begun, but holds no connection yet.
    Pending(BlockStart),
    /// A transaction that holds a connection.
    Open(OpenBlock<L>),
    /// A failed transaction without a connection; only `COMMIT` and `ROLLBACK` are accepted.
    Failed,
}

/// How a transaction is begun.
#[derive(Clone, Debug)]
pub(super) struct BlockStart {
    /// Statement that begins the transaction on the database.
    pub(super) text: String,
    /// Whether the transaction is read-only.
    pub(super) read_only: bool,
    /// Whether the caller began the transaction; an implicit one ends with its batch.
    pub(super) explicit: bool,
}

/// A transaction and its connection.
pub(super) struct OpenBlock<L: DatabaseLink> {
    pub(super) link: CheckedOutLink<L>,
    pub(super) read_only: bool,
    pub(super) explicit: bool,
    /// Whether only a rollback, in full or to a savepoint, is accepted.
    pub(super) failed: bool,
}

impl<L: DatabaseLink> TransactionBlock<L> {
    /// Returns the status reported to the caller.
    pub(super) fn status(&self) -> TransactionStatus {
        match self {
            Self::Idle => TransactionStatus::Idle,
            Self::Pending(_) => TransactionStatus::Transaction,
            Self::Open(open) if !open.failed => TransactionStatus::Transaction,
            Self::Open(_) | Self::Failed => TransactionStatus::Error,
        }
    }

    /// Marks an active block as failed.
    pub(super) fn fail(&mut self) {
        match self {
            Self::Pending(_) => *self = Self::Failed,
            Self::Open(open) => open.failed = true,
            Self::Idle | Self::Failed => {}
        }
    }

    /// Returns whether the session is in no transaction.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self, Self::Idle)
    }

    /// Returns whether the block holds a connection.
    pub(super) fn holds_link(&self) -> bool {
        matches!(self, Self::Open(_))
    }

    /// Returns whether the caller began the transaction explicitly.
    pub(super) fn is_explicit(&self) -> bool {
        match self {
            Self::Idle => false,
            Self::Pending(start) => start.explicit,
            Self::Open(open) => open.explicit,
            Self::Failed => true,
        }
    }

    /// Takes the block and leaves [`TransactionBlock::Idle`] in its place.
    pub(super) fn take(&mut self) -> Self {
        std::mem::replace(self, Self::Idle)
    }
}
