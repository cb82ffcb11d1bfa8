//! Requests of callers and their answers.

use bytes::Bytes;
use daisyseam_model::{
    LogPosition,
    RequestError, //
};

/// What a statement does to the data.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum StatementKind {
    /// It reads and may be retried.
    Read,
    /// It writes and must run at most once.
    Write,
}

/// What a transaction may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransactionMode {
    /// Reads and writes.
    ReadWrite,
    /// Reads only.
    ReadOnly,
}

/// The start message of a session.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SessionStart {
    /// Name of the requested service, not validated.
    pub service: String,
    /// Key presented by the caller; empty for none.
    pub key: String,
}

/// A request of a session.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerRequest {
    /// Identifier, passed to the database unchanged.
    pub id: Bytes,
    /// Requested operation.
    pub verb: RequestVerb,
}

/// The operation of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestVerb {
    /// Begins a transaction.
    Begin(TransactionMode),
    /// Commits the transaction.
    Commit,
    /// Rolls back the transaction.
    Rollback,
    /// Runs a statement; the text is passed to the database unchanged.
    Run {
        /// What it does to the data.
        kind: StatementKind,
        /// Statement text.
        text: Bytes,
    },
    /// Sets a session value.
    Set {
        /// Name.
        name: Bytes,
        /// Value.
        value: Bytes,
    },
    /// Prepares a statement under a name that is local to the session.
    Prepare {
        /// Name within the session.
        name: Bytes,
        /// What it does to the data.
        kind: StatementKind,
        /// Statement to prepare.
        text: Bytes,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name within the session.
        name: Bytes,
        /// Arguments, passed to the database unchanged; empty for none.
        arguments: Bytes,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// Name within the session.
        name: Bytes,
    },
}

/// Transaction state of a session or connection between requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TransactionState {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// The open transaction has failed and can only be rolled back.
    Failed,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionAnswer {
    /// Rows, in order; empty for a request that was not run.
    pub rows: Vec<Bytes>,
    /// The database's receipt, `None` if no database was involved, or why the request failed.
    pub outcome: Result<Option<Bytes>, RequestError>,
    /// Transaction state of the session after the request.
    pub state: TransactionState,
    /// Log position of the database that ran the request, if any.
    pub position: Option<LogPosition>,
}
