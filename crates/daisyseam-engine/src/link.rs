//! Links to databases: connections of this instance, and those that other instances hold for it.

use crate::{
    DatabaseCall, DatabaseConnection, DatabaseReply, DatabaseVerb, TransactionMode,
    attempt::{
        Fence,
        Statement, //
    },
    pool::{
        AcquireError,
        CallError,
        PooledConnection, //
    },
    relay::RelayedLink,
};
use daisyseam_model::LogPosition;
use daisyseam_runtime::TimerService;
use tokio::time::Instant;

/// A link to a database; dropping it while a transaction is open ends the transaction.
pub(crate) enum DatabaseLink<C: DatabaseConnection> {
    /// A connection of this instance.
    Held(PooledConnection<C>),
    /// A connection that another instance holds.
    Relayed(RelayedLink),
}

impl<C: DatabaseConnection> DatabaseLink<C> {
    /// Gives the connection back; no transaction may be open on it.
    pub(crate) fn release(self) {
        match self {
            Self::Held(connection) => connection.release(),
            // The holder took its connection back when it sent the reply.
            Self::Relayed(link) => drop(link),
        }
    }

    /// Rolls back the open transaction.
    pub(crate) async fn roll_back(
        &mut self,
        timer: &TimerService,
        id: Option<&[u8]>,
        until: Instant,
    ) -> Result<DatabaseReply, LinkError> {
        match self {
            Self::Held(connection) => {
                let call = DatabaseCall {
                    id,
                    at_least: None,
                    verb: DatabaseVerb::Rollback,
                };
                let reply = connection.call(timer, call, until).await;
                reply.map_err(LinkError::from)
            }
            Self::Relayed(link) => link.roll_back(timer, id, until).await,
        }
    }

    /// Gives the connection back after the end of a transaction.
    pub(crate) fn release_after_transaction(self, committed: bool) {
        match self {
            Self::Held(connection) => connection.release_after_transaction(committed),
            Self::Relayed(link) => drop(link),
        }
    }
}

/// A call to make on a link.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkCall<'a> {
    /// Identifier of the caller's request; `None` for a call made by the proxy itself.
    pub(crate) id: Option<&'a [u8]>,
    /// Position that the database's log must have reached.
    pub(crate) at_least: Option<LogPosition>,
    /// Whether it runs in a transaction that is open on the link.
    pub(crate) in_transaction: bool,
    /// Condition checked immediately before it is sent.
    pub(crate) fence: Fence,
    /// The operation.
    pub(crate) verb: LinkVerb<'a>,
}

/// The operation of a call on a link.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LinkVerb<'a> {
    /// Begins a transaction.
    Begin(TransactionMode),
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Runs a statement.
    Run(&'a Statement),
}

impl LinkVerb<'_> {
    /// Returns whether the session's values must be set on the connection first.
    pub(crate) fn needs_values(self) -> bool {
        match self {
            Self::Begin(_) | Self::Run(_) => true,
            Self::Commit | Self::Rollback => false,
        }
    }
}

/// Why a call on a link got no reply from the database.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum LinkError {
    /// No connection could be acquired; not run.
    Acquire(AcquireError),
    /// The other instance holds no connections to the database, or is stopping; not run.
    NotHolder,
    /// The database rejected the set-up, or the connection had closed before; not run.
    NotSent,
    /// The connection broke or got no reply while it was set up; not run.
    SetUpLost,
    /// The view or the lease does not allow the call; not run.
    Fenced,
    /// The call was sent, and the connection to the database broke.
    Lost,
    /// The call was sent, and the holder does not respond or broke the connection.
    HolderLost,
    /// The call was sent, and no reply came in time.
    TimedOut,
}

impl From<CallError> for LinkError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent => Self::NotSent,
            CallError::Lost => Self::Lost,
            CallError::TimedOut => Self::TimedOut,
        }
    }
}
