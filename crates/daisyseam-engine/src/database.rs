//! The border towards databases: one implementation a protocol.

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

/// The database that a connection is wanted to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DatabaseTarget {
    /// Its name; another database at the address refuses.
    pub upstream: UpstreamId,
    /// Its group.
    pub group: GroupId,
    /// Its address.
    pub address: SocketAddr,
    /// Organisation on whose behalf; none for callers without a key and for the system itself.
    pub organisation: Option<OrganisationId>,
}

/// One call on a connection.
#[derive(Clone, Copy, Debug)]
pub struct DatabaseCall<'a> {
    /// Identifier of the caller's request; none for a call of the system's own.
    pub id: Option<&'a [u8]>,
    /// Position that the database's log must hold; it refuses otherwise.
    pub at_least: Option<LogPosition>,
    /// What is called.
    pub verb: DatabaseVerb<'a>,
}

/// What is called.
#[derive(Clone, Copy, Debug)]
pub enum DatabaseVerb<'a> {
    /// Begins a transaction.
    Begin(TransactionMode),
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Runs a statement's whole text.
    Run(&'a [u8]),
    /// Sets a session value.
    Set(&'a [u8], &'a [u8]),
    /// Prepares a statement under a name.
    Prepare(&'a [u8], StatementKind, &'a [u8]),
    /// Runs a prepared statement with its arguments.
    Execute(&'a [u8], &'a [u8]),
    /// Drops all session values and prepared statements.
    Discard,
}

/// The answer of a database to one call.
#[derive(Clone, Debug, PartialEq)]
pub struct DatabaseReply {
    /// Rows, in order.
    pub rows: Vec<Bytes>,
    /// Its receipt, or why it refused or failed.
    pub outcome: Result<Bytes, DatabaseRefusal>,
    /// State of the connection now.
    pub state: TransactionState,
    /// Position of its log, if it said one.
    pub position: Option<LogPosition>,
}

/// Why a database did not do what it was asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DatabaseRefusal {
    /// What kind of refusal.
    pub kind: RefusalKind,
    /// Its words.
    pub detail: String,
}

/// Kinds of refusals of a database.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalKind {
    /// All slots and its queue are taken; not run.
    Busy,
    /// Its log lacks the position; not run.
    Lagging,
    /// It does not take writes; not run, and a transaction on it is over.
    ReadOnly,
    /// It is another database than the one named; not run.
    Misdirected,
    /// It has too many connections; not run.
    TooManyConnections,
    /// The prepared statement is not known; not run.
    UnknownStatement,
    /// The transaction was rolled back; nothing is kept.
    Aborted,
    /// The statement ran and failed.
    Failed,
    /// The statement ran too long.
    TimedOut,
    /// It does not understand the call; not run.
    Malformed,
    /// Its outcome is open.
    Unknown,
}

/// Why a connection could not be opened.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ConnectError {
    /// the database refused the connection: {0:?}
    Refused(RefusalKind),
    /// the database did not answer: {0}
    Unreachable(String),
}

impl Error for ConnectError {}

/// the connection to the database broke: {0}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct ConnectionLost(pub String);

impl Error for ConnectionLost {}

/// Opens connections to databases.
pub trait DatabaseConnector: Clone + Send + Sync + 'static {
    /// The connections that it opens.
    type Connection: DatabaseConnection;

    /// Opens a connection and waits until it is ready for calls.
    fn connect(
        &self,
        target: &DatabaseTarget,
    ) -> impl Future<Output = Result<Self::Connection, ConnectError>> + Send;
}

/// One connection to a database; dropping it closes it, which rolls back.
pub trait DatabaseConnection: Send + 'static {
    /// Sends a call, the whole of it or nothing that counts as sent when this fails at once.
    fn send(
        &mut self,
        call: DatabaseCall<'_>,
    ) -> impl Future<Output = Result<(), ConnectionLost>> + Send;

    /// Receives the whole answer to the oldest call that has none yet; dropping the future loses
    /// nothing.
    fn receive(&mut self) -> impl Future<Output = Result<DatabaseReply, ConnectionLost>> + Send;

    /// Returns whether the far end has closed the connection or sent what nobody asked for.
    fn is_stale(&mut self) -> bool;
}
