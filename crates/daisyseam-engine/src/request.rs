//! What a caller asks for, and what it is answered.

use bytes::Bytes;
use daisyseam_model::{
    LogPosition,
    RequestError, //
};

/// What a statement does to the data.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum StatementKind {
    /// It reads; it may be repeated.
    Read,
    /// It writes; it runs at most once.
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

/// What opens a session.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SessionStart {
    /// Name of the service, as the caller wrote it.
    pub service: String,
    /// Key that the caller showed; empty for none.
    pub key: String,
}

/// One request of a session.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerRequest {
    /// Identifier that goes along to the database unchanged.
    pub id: Bytes,
    /// What is asked for.
    pub verb: RequestVerb,
}

/// What a request asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestVerb {
    /// Begins a transaction.
    Begin(TransactionMode),
    /// Ends the transaction and keeps its writes.
    Commit,
    /// Ends the transaction and drops its writes.
    Rollback,
    /// Runs a statement; the text goes to the database unchanged.
    Run {
        /// What it does.
        kind: StatementKind,
        /// The whole statement.
        text: Bytes,
    },
    /// Sets a session value.
    Set {
        /// Name.
        name: Bytes,
        /// Value.
        value: Bytes,
    },
    /// Prepares a statement under a name of the session's own.
    Prepare {
        /// Name within the session.
        name: Bytes,
        /// What it will do.
        kind: StatementKind,
        /// What is prepared.
        shape: Bytes,
    },
    /// Runs a prepared statement.
    Execute {
        /// Name within the session.
        name: Bytes,
        /// Arguments, unchanged; empty for none.
        arguments: Bytes,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// Name within the session.
        name: Bytes,
    },
}

/// Where a session stands between requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TransactionState {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open,
    /// The open transaction failed; it can only be rolled back.
    Failed,
}

/// The answer to one request.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionAnswer {
    /// Rows, in order; none for a request that was not run.
    pub rows: Vec<Bytes>,
    /// The database's receipt, none where the system answered by itself, or why the request failed.
    pub outcome: Result<Option<Bytes>, RequestError>,
    /// Where the session stands now.
    pub state: TransactionState,
    /// Position of the database that ran it, if one did.
    pub position: Option<LogPosition>,
}
