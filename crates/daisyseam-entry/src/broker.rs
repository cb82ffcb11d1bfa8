//! Interface between caller sessions and database connections.

use daisyseam_model::{
    GroupId,
    LogPosition,
    OrganisationId,
    RequestError,
    Term,
    UpstreamId, //
};
use daisyseam_runtime::TraceContext;
use displaydoc::Display;
use pgwire::messages::{
    PgWireBackendMessage,
    PgWireFrontendMessage, //
};
use std::{
    error::Error,
    future::Future,
    time::Duration, //
};
use tokio::time::Instant;

/// Access that a transaction requires from its database.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StatementAccess {
    /// The primary.
    Write,
    /// Any database that has replayed up to a position.
    ReadAtLeast(LogPosition),
    /// Any database whose measured staleness is within a bound, optionally with a minimum position.
    ReadWithin {
        /// Maximum staleness of the data.
        age: Duration,
        /// Position that must have been replayed regardless of staleness, if any.
        floor: Option<LogPosition>,
    },
}

/// A request to open a link.
#[derive(Clone, Copy, Debug)]
pub struct OpenLinkRequest<'a> {
    /// Database group.
    pub group: &'a GroupId,
    /// Organisation of the caller; `None` on an open route.
    pub organisation: Option<&'a OrganisationId>,
    /// Access that the transaction requires.
    pub access: StatementAccess,
    /// Time after which the request is rejected as not run.
    pub deadline: Instant,
    /// Trace context of the caller's request.
    pub trace: TraceContext,
}

/// An open link and the state of its database.
#[derive(Debug)]
pub struct OpenedLink<L> {
    /// The link.
    pub link: L,
    /// Database that the link leads to.
    pub upstream: UpstreamId,
    /// Term in which the transaction runs.
    pub term: Term,
    /// Whether the database is the primary of that term.
    pub primary: bool,
    /// Replay position of the database when the link was opened.
    pub position: LogPosition,
}

/// Outcome of a transaction as known to the current primary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransactionOutcome {
    /// Committed, and confirmed by a majority.
    Committed(LogPosition),
    /// Rolled back, or not part of the current history.
    Aborted,
    /// Cannot be determined.
    Unknown,
}

/// the link to the database failed: {0}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct LinkError(pub String);

impl Error for LinkError {}

/// Opens links to databases and confirms replication positions.
pub trait LinkBroker: Clone + Send + Sync + 'static {
    /// Type of the links.
    type Link: DatabaseLink;

    /// Opens a link to a database that satisfies the request; statements are sent only on success.
    ///
    /// # Errors
    ///
    /// An error of a kind that guarantees that nothing was run.
    fn open(
        &self,
        request: OpenLinkRequest<'_>,
    ) -> impl Future<Output = Result<OpenedLink<Self::Link>, RequestError>> + Send;

    /// Waits until a majority of the group reports a position in exactly its term while the view
    /// lease for that term is valid.
    ///
    /// # Errors
    ///
    /// If the term has ended or the deadline passes; the outcome of the commit is then unknown.
    fn confirm(
        &self,
        group: &GroupId,
        position: LogPosition,
        deadline: Instant,
    ) -> impl Future<Output = Result<(), RequestError>> + Send;

    /// Returns a position at or past every write acknowledged before the call.
    ///
    /// # Errors
    ///
    /// If no primary of the group responds in time.
    fn barrier(
        &self,
        group: &GroupId,
        deadline: Instant,
    ) -> impl Future<Output = Result<LogPosition, RequestError>> + Send;

    /// Determines the outcome of a transaction whose link failed during its commit.
    ///
    /// `xid` is the result of `pg_current_xact_id()` in that transaction, in term `term`.
    fn outcome(
        &self,
        group: &GroupId,
        term: Term,
        xid: u64,
        deadline: Instant,
    ) -> impl Future<Output = TransactionOutcome> + Send;
}

/// A database connection checked out for one transaction.
///
/// Dropping a link without [`DatabaseLink::release`] closes the connection behind it.
pub trait DatabaseLink: Send + 'static {
    /// Sends a message; bytes may be buffered until [`DatabaseLink::flush`].
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the link has failed.
    fn send(
        &mut self,
        message: PgWireFrontendMessage,
    ) -> impl Future<Output = Result<(), LinkError>> + Send;

    /// Sends buffered bytes.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the link has failed.
    fn flush(&mut self) -> impl Future<Output = Result<(), LinkError>> + Send;

    /// Receives the next message; the future is cancel safe.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the link has failed.
    fn receive(&mut self) -> impl Future<Output = Result<PgWireBackendMessage, LinkError>> + Send;

    /// Requests that the database cancel the running statement.
    fn cancel(&mut self) -> impl Future<Output = ()> + Send;

    /// Returns the connection; all responses must have been received and no transaction be open.
    fn release(self);
}
