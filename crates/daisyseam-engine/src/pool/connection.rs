//! Connections checked out from the pool.

use super::upstream::Place;
use crate::{
    ConnectionLost,
    DatabaseCall,
    DatabaseConnection,
    DatabaseReply,
    DatabaseVerb,
    StatementKind,
    memory::{
        ConnectionMemory,
        StatementName, //
    },
    values::{
        PreparedShape,
        SessionValues, //
    }, //
};
use daisyseam_model::OrganisationId;
use daisyseam_runtime::TimerService;
use tokio::time::Instant;

/// A connection and the session state set on it.
pub(super) struct DatabaseLink<C> {
    pub(super) connection: C,
    pub(super) memory: ConnectionMemory,
}

/// A connection checked out from the pool; dropping it closes it unless it was
/// [finished](Self::finish).
pub(crate) struct PooledConnection<C: DatabaseConnection> {
    organisation: Option<OrganisationId>,
    // Fields are dropped in order, so the connection closes before its place is released.
    link: Option<DatabaseLink<C>>,
    place: Option<Place<C>>,
    clean: bool,
}

/// Why a call got no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallError {
    /// It was not sent.
    NotSent,
    /// It was sent, and the connection broke.
    Lost,
    /// It was sent, and no reply came in time.
    TimedOut,
}

impl<C: DatabaseConnection> PooledConnection<C> {
    pub(super) fn opened(
        place: Place<C>,
        organisation: Option<OrganisationId>,
        connection: C,
    ) -> Self {
        let memory = ConnectionMemory::default();
        let link = DatabaseLink { connection, memory };
        Self::checked_out(place, organisation, link).check_out()
    }

    pub(super) fn checked_out(
        place: Place<C>,
        organisation: Option<OrganisationId>,
        link: DatabaseLink<C>,
    ) -> Self {
        Self {
            organisation,
            link: Some(link),
            place: Some(place),
            clean: true,
        }
    }

    /// Marks the connection as in use; if dropped now, it is closed.
    pub(super) fn check_out(mut self) -> Self {
        self.clean = false;
        self
    }

    /// Returns the connection to the pool; no transaction may be open on it.
    pub(crate) fn finish(mut self) {
        self.clean = true;
    }

    /// Returns the session state set on the connection.
    pub(crate) fn memory(&mut self) -> &mut ConnectionMemory {
        &mut self.link().memory
    }

    /// Sends a call and waits for its reply until a deadline.
    pub(crate) async fn call(
        &mut self,
        timer: &TimerService,
        call: DatabaseCall<'_>,
        until: Instant,
    ) -> Result<DatabaseReply, CallError> {
        let connection = &mut self.link().connection;
        if connection.is_stale() {
            return Err(CallError::NotSent);
        }
        let exchange = async {
            connection
                .send(call)
                .await
                .map_err(|_| CallError::NotSent)?;
            connection.receive().await.map_err(|_| CallError::Lost)
        };
        let end = timer.within(until, exchange).await;
        // The call may have been sent even if the deadline interrupted the send.
        end.unwrap_or(Err(CallError::TimedOut))
    }

    /// Sets a session's values on the connection and prepares a statement.
    ///
    /// # Errors
    ///
    /// Returns an error if any part of it failed; the connection must not be used then.
    pub(crate) async fn set_up(
        &mut self,
        timer: &TimerService,
        set_up: ConnectionSetup<'_>,
        until: Instant,
    ) -> Result<(), CallError> {
        let link = self.link();
        let work = link.set_up(set_up);
        let done = timer.within(until, work).await;
        match done {
            Some(Ok(true)) => Ok(()),
            Some(Ok(false)) => Err(CallError::NotSent),
            Some(Err(ConnectionLost(_))) => Err(CallError::Lost),
            None => Err(CallError::TimedOut),
        }
    }

    fn link(&mut self) -> &mut DatabaseLink<C> {
        // Taken only on drop.
        self.link
            .as_mut()
            .expect("the connection is only taken on drop")
    }
}

impl<C: DatabaseConnection> Drop for PooledConnection<C> {
    fn drop(&mut self) {
        if !self.clean {
            return;
        }
        if let (Some(link), Some(place)) = (self.link.take(), self.place.take()) {
            place.give_back(self.organisation.take(), link);
        }
    }
}

/// Session state that a connection needs before a statement runs on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionSetup<'a> {
    /// Session values.
    pub(crate) values: &'a SessionValues,
    /// Prepared statement that will be executed, if any.
    pub(crate) shape: Option<&'a PreparedShape>,
    /// Whether a transaction is open on the connection.
    pub(crate) in_transaction: bool,
}

impl<C: DatabaseConnection> DatabaseLink<C> {
    /// Pipelines all missing settings and waits for the replies; returns whether all succeeded.
    async fn set_up(&mut self, set_up: ConnectionSetup<'_>) -> Result<bool, ConnectionLost> {
        let mut expected = 0;
        if !set_up.in_transaction && self.memory.must_discard(set_up.values) {
            // If the reply is an error, the state is marked as unknown below.
            self.send(DatabaseVerb::Discard).await?;
            self.memory.discarded();
            expected += 1;
        }
        let values = self.send_values(set_up).await?;
        expected += values;
        let named = self.send_shape(set_up.shape).await?;
        expected += usize::from(named.is_some());
        if expected == 0 {
            return Ok(true);
        }
        let mut done = true;
        for _ in 0..expected {
            done &= self.connection.receive().await?.outcome.is_ok();
        }
        if !done {
            self.memory.doubt();
            return Ok(false);
        }
        if values > 0 {
            self.memory.restored(set_up.values, set_up.in_transaction);
        }
        if let (Some(shape), Some(name)) = (set_up.shape, named) {
            self.memory.prepared(shape, &name);
        }
        Ok(true)
    }

    async fn send_values(&mut self, set_up: ConnectionSetup<'_>) -> Result<usize, ConnectionLost> {
        let mut sent = 0;
        for (name, value) in set_up.values.missing_in(self.memory.values()) {
            let call = own(DatabaseVerb::Set(name, value));
            self.connection.send(call).await?;
            sent += 1;
        }
        Ok(sent)
    }

    async fn send_shape(
        &mut self,
        shape: Option<&PreparedShape>,
    ) -> Result<Option<StatementName>, ConnectionLost> {
        let Some(shape) = shape.filter(|shape| self.memory.name(shape).is_none()) else {
            return Ok(None);
        };
        let name = self.memory.new_name();
        let kind: StatementKind = shape.kind;
        self.send(DatabaseVerb::Prepare(name.as_bytes(), kind, &shape.shape))
            .await?;
        Ok(Some(name))
    }

    async fn send(&mut self, verb: DatabaseVerb<'_>) -> Result<(), ConnectionLost> {
        self.connection.send(own(verb)).await
    }
}

/// Creates a call that does not belong to a caller's request.
fn own(verb: DatabaseVerb<'_>) -> DatabaseCall<'_> {
    DatabaseCall {
        id: None,
        at_least: None,
        verb,
    }
}
