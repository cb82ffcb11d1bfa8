//! Interface to databases; implemented once per protocol.

use crate::{
    StatementKind,
    TransactionMode,
    TransactionState, //
};
use bytes::Bytes;
use daisyseam_model::{
    GroupId,
    LogPosition,
    OrganisationId,
    UpstreamId, //
};
use displaydoc::Display;
use std::{
    error::Error,
    future::Future,
    net::SocketAddr, //
};

/// The database to connect to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DatabaseTarget {
    /// Its name; a different database at the address refuses the connection.
    pub upstream: UpstreamId,
    /// Its group.
    pub group: GroupId,
    /// Its address.
    pub address: SocketAddr,
    /// Organisation that the connection is for; `None` for callers without a key and for the proxy
    /// itself.
    pub organisation: Option<OrganisationId>,
}

/// One call on a connection.
#[derive(Clone, Copy, Debug)]
pub struct DatabaseCall<'a> {
    /// Identifier of the caller's request; `None` for a call made by the proxy itself.
    pub id: Option<&'a [u8]>,
    /// Position that the database's log must have reached; otherwise the database refuses the call.
    pub at_least: Option<LogPosition>,
    /// Operation to perform.
    pub verb: DatabaseVerb<'a>,
}

/// The operation of a call.
#[derive(Clone, Copy, Debug)]
pub enum DatabaseVerb<'a> {
    /// Begins a transaction.
    Begin(TransactionMode),
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Runs a statement given as text.
    Run(&'a [u8]),
    /// Sets a session value.
    Set(&'a [u8], &'a [u8]),
    /// Prepares a statement under a name.
    Prepare(&'a [u8], StatementKind, &'a [u8]),
    /// Runs a prepared statement with its arguments.
    Execute(&'a [u8], &'a [u8]),
    /// Drops all session values and prepared statements.
    Discard,
    /// Reports the end of the log, including what has been received but not applied.
    Status,
}

/// The reply of a database to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct DatabaseReply {
    /// Rows, in order.
    pub rows: Vec<Bytes>,
    /// The database's receipt, or why it refused or failed.
    pub outcome: Result<Bytes, DatabaseRefusal>,
    /// Transaction state of the connection after the call.
    pub state: TransactionState,
    /// Position of its log, if reported.
    pub position: Option<LogPosition>,
}

/// An error reported by a database.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DatabaseRefusal {
    /// Kind of refusal.
    pub kind: RefusalKind,
    /// Message from the database.
    pub detail: String,
}

/// Kinds of errors reported by a database.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalKind {
    /// All slots and the queue are full; not run.
    Busy,
    /// The log has not reached the required position; not run.
    Lagging,
    /// The database does not accept writes; not run, and an open transaction has ended.
    ReadOnly,
    /// The call was addressed to a different database; not run.
    Misdirected,
    /// The database has too many connections; not run.
    TooManyConnections,
    /// The prepared statement is not known; not run.
    UnknownStatement,
    /// The transaction was rolled back; nothing was committed.
    Aborted,
    /// The statement ran and failed.
    Failed,
    /// The statement exceeded its time limit.
    TimedOut,
    /// The database could not parse the call; not run.
    Malformed,
    /// The outcome is unknown.
    Unknown,
}

/// Why a connection could not be opened.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ConnectError {
    /// the database refused the connection: {0:?}
    Refused(RefusalKind),
    /// failed to connect to the database: {0}
    Unreachable(String),
}

impl Error for ConnectError {}

/// the connection to the database was lost: {0}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct ConnectionLost(pub String);

impl Error for ConnectionLost {}

/// Opens connections to databases.
pub trait DatabaseConnector: Clone + Send + Sync + 'static {
    /// Type of the connections.
    type Connection: DatabaseConnection;

    /// Opens a connection and waits until it accepts calls.
    fn connect(
        &self,
        target: &DatabaseTarget,
    ) -> impl Future<Output = Result<Self::Connection, ConnectError>> + Send;
}

/// A connection to a database; dropping it closes it, which rolls back an open transaction.
pub trait DatabaseConnection: Send + 'static {
    /// Sends a call. If this returns an error, the database must not have received a complete call.
    fn send(
        &mut self,
        call: DatabaseCall<'_>,
    ) -> impl Future<Output = Result<(), ConnectionLost>> + Send;

    /// Receives the complete reply to the oldest unanswered call; cancel safe.
    fn receive(&mut self) -> impl Future<Output = Result<DatabaseReply, ConnectionLost>> + Send;

    /// Returns whether the database has closed the connection or sent unsolicited data.
    fn is_stale(&mut self) -> bool;
}
