//! A connection on loan.

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

/// A connection and what it holds.
pub(super) struct DatabaseLink<C> {
    pub(super) connection: C,
    pub(super) memory: ConnectionMemory,
}

/// A connection on loan; dropping it closes it unless it was [finished](Self::finish).
pub(crate) struct PooledConnection<C: DatabaseConnection> {
    organisation: Option<OrganisationId>,
    // Closed before its place is given on: fields are dropped in order.
    link: Option<DatabaseLink<C>>,
    place: Option<Place<C>>,
    clean: bool,
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallEnd {
    /// It was not sent.
    NotSent,
    /// It was sent, and the connection broke.
    Lost,
    /// It was sent, and no answer came in time.
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

    /// Marks the connection as in use.
    pub(super) fn check_out(mut self) -> Self {
        self.clean = false;
        self
    }

    /// Gives the connection back for the next session: nothing is open on it.
    pub(crate) fn finish(mut self) {
        self.clean = true;
    }

    /// Returns what the connection holds.
    pub(crate) fn memory(&mut self) -> &mut ConnectionMemory {
        &mut self.link().memory
    }

    /// Sends a call and waits for its answer, but not past a moment.
    pub(crate) async fn call(
        &mut self,
        timer: &TimerService,
        call: DatabaseCall<'_>,
        until: Instant,
    ) -> Result<DatabaseReply, CallEnd> {
        let connection = &mut self.link().connection;
        if connection.is_stale() {
            return Err(CallEnd::NotSent);
        }
        let exchange = async {
            connection.send(call).await.map_err(|_| CallEnd::NotSent)?;
            connection.receive().await.map_err(|_| CallEnd::Lost)
        };
        let end = timer.within(until, exchange).await;
        // A send that was cut off may have left all the same.
        end.unwrap_or(Err(CallEnd::TimedOut))
    }

    /// Brings the connection's values in line with a session's and prepares a statement on it.
    ///
    /// Returns whether all of it was done; the connection is of no use otherwise.
    pub(crate) async fn set_up(
        &mut self,
        timer: &TimerService,
        set_up: SetUp<'_>,
        until: Instant,
    ) -> Result<(), CallEnd> {
        let link = self.link();
        let work = link.set_up(set_up);
        let done = timer.within(until, work).await;
        match done {
            Some(Ok(true)) => Ok(()),
            Some(Ok(false)) => Err(CallEnd::NotSent),
            Some(Err(ConnectionLost(_))) => Err(CallEnd::Lost),
            None => Err(CallEnd::TimedOut),
        }
    }

    fn link(&mut self) -> &mut DatabaseLink<C> {
        // Taken out only when the connection is dropped.
        self.link.as_mut().expect("the connection is there")
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

/// What a connection must hold before a statement runs on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SetUp<'a> {
    /// Values of the session.
    pub(crate) values: &'a SessionValues,
    /// Statement that will be executed, if it is a prepared one.
    pub(crate) shape: Option<&'a PreparedShape>,
    /// Whether a transaction is open on the connection.
    pub(crate) in_transaction: bool,
}

impl<C: DatabaseConnection> DatabaseLink<C> {
    /// Sends all that is missing at once and waits for the answers; returns whether all was done.
    async fn set_up(&mut self, set_up: SetUp<'_>) -> Result<bool, ConnectionLost> {
        let mut expected = 0;
        if !set_up.in_transaction && self.memory.must_discard(set_up.values) {
            // What the connection holds counts as unknown until the answer is there.
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

    async fn send_values(&mut self, set_up: SetUp<'_>) -> Result<usize, ConnectionLost> {
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

/// A call of the system's own.
fn own(verb: DatabaseVerb<'_>) -> DatabaseCall<'_> {
    DatabaseCall {
        id: None,
        at_least: None,
        verb,
    }
}
