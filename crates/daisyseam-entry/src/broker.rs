//! The border between callers and databases.

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

/// What a transaction needs of the database that runs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StatementAccess {
    /// The primary.
    Write,
    /// Any database that has reached a position.
    ReadAtLeast(LogPosition),
    /// Any database whose measured age is within a bound and that has reached a position.
    ReadWithin {
        /// Greatest age of the data.
        age: Duration,
        /// Position that must have been reached all the same, if any.
        floor: Option<LogPosition>,
    },
}

/// An order for a link.
#[derive(Clone, Copy, Debug)]
pub struct LinkOrder<'a> {
    /// Group.
    pub group: &'a GroupId,
    /// Organisation on whose behalf; none for an open route.
    pub organisation: Option<&'a OrganisationId>,
    /// What the transaction needs.
    pub access: StatementAccess,
    /// Moment after which the order is refused as not run.
    pub deadline: Instant,
    /// Trace of the request.
    pub trace: TraceContext,
}

/// A link that was opened.
#[derive(Debug)]
pub struct OpenedLink<L> {
    /// The link.
    pub link: L,
    /// Database at its end.
    pub upstream: UpstreamId,
    /// Term in which the transaction runs.
    pub term: Term,
    /// Whether the database is the primary of that term.
    pub primary: bool,
    /// Position of the database when the link was opened.
    pub position: LogPosition,
}

/// A transaction's outcome, as the present primary knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransactionOutcome {
    /// It was committed, and the commit is confirmed by a majority.
    Committed(LogPosition),
    /// It was rolled back, or is not part of the present history.
    Aborted,
    /// It cannot be known.
    Unknown,
}

/// the link to the database broke: {0}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct LinkError(pub String);

impl Error for LinkError {}

/// Opens links to databases and answers for their positions.
pub trait LinkBroker: Clone + Send + Sync + 'static {
    /// The links it opens.
    type Link: DatabaseLink;

    /// Opens a link to a database that fits the order; statements are sent only on success.
    ///
    /// # Errors
    ///
    /// A kind whose row says that nothing was run.
    fn open(
        &self,
        order: LinkOrder<'_>,
    ) -> impl Future<Output = Result<OpenedLink<Self::Link>, RequestError>> + Send;

    /// Waits until a majority of the group reports a position in exactly its term and the view
    /// lease for that term holds at that moment.
    ///
    /// # Errors
    ///
    /// When the term is over or the deadline passes; the commit's outcome is open then.
    fn confirm(
        &self,
        group: &GroupId,
        at: LogPosition,
        deadline: Instant,
    ) -> impl Future<Output = Result<(), RequestError>> + Send;

    /// Returns a position at or past every write acknowledged before the call.
    ///
    /// # Errors
    ///
    /// When the group has no primary that answers in time.
    fn barrier(
        &self,
        group: &GroupId,
        deadline: Instant,
    ) -> impl Future<Output = Result<LogPosition, RequestError>> + Send;

    /// Finds out what became of a transaction whose link broke around its commit.
    ///
    /// `xid` is what `pg_current_xact_id()` gave in that transaction, under `term`.
    fn outcome(
        &self,
        group: &GroupId,
        term: Term,
        xid: u64,
        deadline: Instant,
    ) -> impl Future<Output = TransactionOutcome> + Send;
}

/// One connection to a database, checked out for one transaction.
///
/// Dropping a link without [`DatabaseLink::release`] closes the connection behind it.
pub trait DatabaseLink: Send + 'static {
    /// Sends a message; bytes may be held back until [`DatabaseLink::flush`].
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the link is broken.
    fn send(
        &mut self,
        message: PgWireFrontendMessage,
    ) -> impl Future<Output = Result<(), LinkError>> + Send;

    /// Sends what is held back.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the link is broken.
    fn flush(&mut self) -> impl Future<Output = Result<(), LinkError>> + Send;

    /// Receives the next message; dropping the future loses nothing.
    ///
    /// # Errors
    ///
    /// [`LinkError`] when the link is broken.
    fn receive(&mut self) -> impl Future<Output = Result<PgWireBackendMessage, LinkError>> + Send;

    /// Asks the database to cancel what it is running.
    fn cancel(&mut self) -> impl Future<Output = ()> + Send;

    /// Gives the connection back; only after the last answer, with no transaction open.
    fn release(self);
}
