//! The transaction block that a session is in.

use crate::{
    DatabaseLink,
    caller::lease::LinkLease, //
};
use pgwire::messages::response::TransactionStatus;

/// The transaction block that a session is in.
pub(super) enum TransactionBlock<L: DatabaseLink> {
    /// None.
    Idle,
    /// Begun by the caller; no connection is held yet.
    Pending(BlockStart),
    /// It holds a connection.
    Open(OpenBlock<L>),
    /// It failed and holds no connection; only its end is accepted.
    Failed,
}

/// How a transaction was begun.
#[derive(Clone, Debug)]
pub(super) struct BlockStart {
    /// Text that begins it at the database.
    pub(super) text: String,
    /// Whether it was declared read only.
    pub(super) read_only: bool,
    /// Whether the caller began it; else it ends with its batch.
    pub(super) explicit: bool,
}

/// A transaction with its connection.
pub(super) struct OpenBlock<L: DatabaseLink> {
    pub(super) lease: LinkLease<L>,
    pub(super) read_only: bool,
    pub(super) explicit: bool,
    /// Whether it can only be rolled back, or taken back to a savepoint.
    pub(super) failed: bool,
}

impl<L: DatabaseLink> TransactionBlock<L> {
    /// Returns the status that the caller is told.
    pub(super) fn status(&self) -> TransactionStatus {
        match self {
            Self::Idle => TransactionStatus::Idle,
            Self::Pending(_) => TransactionStatus::Transaction,
            Self::Open(open) if !open.failed => TransactionStatus::Transaction,
            Self::Open(_) | Self::Failed => TransactionStatus::Error,
        }
    }

    /// Marks a running block as failed.
    pub(super) fn fail(&mut self) {
        match self {
            Self::Pending(_) => *self = Self::Failed,
            Self::Open(open) => open.failed = true,
            Self::Idle | Self::Failed => {}
        }
    }

    /// Returns whether no transaction is open.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self, Self::Idle)
    }

    /// Returns whether a connection is held.
    pub(super) fn holds_link(&self) -> bool {
        matches!(self, Self::Open(_))
    }

    /// Returns whether the caller began a transaction.
    pub(super) fn is_explicit(&self) -> bool {
        match self {
            Self::Idle => false,
            Self::Pending(start) => start.explicit,
            Self::Open(open) => open.explicit,
            Self::Failed => true,
        }
    }

    /// Takes the block out and leaves the session in none.
    pub(super) fn take(&mut self) -> Self {
        std::mem::replace(self, Self::Idle)
    }
}
