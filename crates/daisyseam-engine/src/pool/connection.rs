//! Connections checked out from the pool.

use super::upstream::ConnectionPermit;
use crate::{
    ConnectionLost,
    DatabaseCall,
    DatabaseConnection,
    DatabaseReply,
    DatabaseVerb,
    StatementKind,
    connection_state::{
        ConnectionSessionState,
        StatementName, //
    },
    values::{
        PreparedStatement,
        SessionValues, //
    }, //
};
use daisyseam_model::OrganisationId;
use daisyseam_runtime::TimerService;
use tokio::time::Instant;

/// A connection and the session state set on it.
pub(super) struct TrackedConnection<C> {
    pub(super) connection: C,
    pub(super) session_state: ConnectionSessionState,
}

/// A connection checked out from the pool; dropping it closes it unless it was
/// [released](Self::release).
pub(crate) struct PooledConnection<C: DatabaseConnection> {
    organisation: Option<OrganisationId>,
    // Fields are dropped in order, so the connection closes before its permit is released.
    tracked: Option<TrackedConnection<C>>,
    permit: Option<ConnectionPermit<C>>,
    reusable: bool,
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
        permit: ConnectionPermit<C>,
        organisation: Option<OrganisationId>,
        connection: C,
    ) -> Self {
        let session_state = ConnectionSessionState::default();
        let tracked = TrackedConnection {
            connection,
            session_state,
        };
        Self::checked_out(permit, organisation, tracked).mark_in_use()
    }

    pub(super) fn checked_out(
        permit: ConnectionPermit<C>,
        organisation: Option<OrganisationId>,
        tracked: TrackedConnection<C>,
    ) -> Self {
        Self {
            organisation,
            tracked: Some(tracked),
            permit: Some(permit),
            reusable: true,
        }
    }

    /// Marks the connection as in use; if dropped now, it is closed.
    pub(super) fn mark_in_use(mut self) -> Self {
        self.reusable = false;
        self
    }

    /// Returns the connection to the pool; no transaction may be open on it.
    pub(crate) fn release(mut self) {
        self.reusable = true;
    }

    /// Waits until a statement may run, unless one already may; returns whether this happened by
    /// `until`.
    pub(crate) async fn resume(&mut self, timer: &TimerService, until: Instant) -> bool {
        match &mut self.permit {
            Some(permit) => timer.within(until, permit.resume()).await.unwrap_or(false),
            None => false,
        }
    }

    /// Lets others run statements while the connection is idle in a transaction.
    pub(crate) fn pause(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.pause();
        }
    }

    /// Records that the database refused work because it is overloaded.
    pub(crate) fn record_overload(&self) {
        if let Some(permit) = &self.permit {
            permit.record_overload();
        }
    }

    /// Returns the connection to the pool after the end of a transaction.
    pub(crate) fn release_after_transaction(mut self, committed: bool) {
        self.session_state().transaction_ended(committed);
        self.release();
    }

    /// Returns the session state set on the connection.
    pub(crate) fn session_state(&mut self) -> &mut ConnectionSessionState {
        &mut self.tracked().session_state
    }

    /// Sends a call and waits for its reply until a deadline.
    pub(crate) async fn call(
        &mut self,
        timer: &TimerService,
        call: DatabaseCall<'_>,
        until: Instant,
    ) -> Result<DatabaseReply, CallError> {
        let connection = &mut self.tracked().connection;
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
        let result = timer.within(until, exchange).await;
        if let (Some(Ok(_)), Some(permit)) = (&result, &mut self.permit) {
            permit.record_reply();
        }
        // The call may have been sent even if the deadline interrupted the send.
        result.unwrap_or(Err(CallError::TimedOut))
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
        let tracked = self.tracked();
        let work = tracked.set_up(set_up);
        let done = timer.within(until, work).await;
        match done {
            Some(Ok(true)) => Ok(()),
            Some(Ok(false)) => Err(CallError::NotSent),
            Some(Err(ConnectionLost(_))) => Err(CallError::Lost),
            None => Err(CallError::TimedOut),
        }
    }

    fn tracked(&mut self) -> &mut TrackedConnection<C> {
        // Taken only on drop.
        self.tracked
            .as_mut()
            .expect("the connection is only taken on drop")
    }
}

impl<C: DatabaseConnection> Drop for PooledConnection<C> {
    fn drop(&mut self) {
        if !self.reusable {
            return;
        }
        if let (Some(tracked), Some(permit)) = (self.tracked.take(), self.permit.take()) {
            permit.return_connection(self.organisation.take(), tracked);
        }
    }
}

/// Session state that a connection needs before a statement runs on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionSetup<'a> {
    /// Session values.
    pub(crate) values: &'a SessionValues,
    /// Prepared statement that will be executed, if any.
    pub(crate) prepared: Option<&'a PreparedStatement>,
    /// Whether a transaction is open on the connection.
    pub(crate) in_transaction: bool,
}

impl<C: DatabaseConnection> TrackedConnection<C> {
    /// Pipelines all missing settings and waits for the replies; returns whether all succeeded.
    async fn set_up(&mut self, set_up: ConnectionSetup<'_>) -> Result<bool, ConnectionLost> {
        let mut expected = 0;
        if !set_up.in_transaction && self.session_state.needs_discard(set_up.values) {
            // If the reply is an error, the state is marked as unknown below.
            self.send(DatabaseVerb::Discard).await?;
            self.session_state.discard();
            expected += 1;
        }
        let values = self.send_values(set_up).await?;
        expected += values;
        let new_name = self.send_prepare(set_up.prepared).await?;
        expected += usize::from(new_name.is_some());
        if expected == 0 {
            return Ok(true);
        }
        let mut done = true;
        for _ in 0..expected {
            done &= self.connection.receive().await?.outcome.is_ok();
        }
        if !done {
            self.session_state.set_unknown();
            return Ok(false);
        }
        if values > 0 {
            self.session_state
                .set_values(set_up.values, set_up.in_transaction);
        }
        if let (Some(prepared), Some(name)) = (set_up.prepared, new_name) {
            self.session_state.insert_prepared(prepared, &name);
        }
        Ok(true)
    }

    async fn send_values(&mut self, set_up: ConnectionSetup<'_>) -> Result<usize, ConnectionLost> {
        let mut sent = 0;
        for (name, value) in set_up.values.missing_in(self.session_state.values()) {
            let call = proxy_call(DatabaseVerb::Set(name, value));
            self.connection.send(call).await?;
            sent += 1;
        }
        Ok(sent)
    }

    async fn send_prepare(
        &mut self,
        prepared: Option<&PreparedStatement>,
    ) -> Result<Option<StatementName>, ConnectionLost> {
        let Some(prepared) =
            prepared.filter(|prepared| self.session_state.prepared_name(prepared).is_none())
        else {
            return Ok(None);
        };
        let name = self.session_state.new_name();
        let kind: StatementKind = prepared.kind;
        self.send(DatabaseVerb::Prepare(name.as_bytes(), kind, &prepared.text))
            .await?;
        Ok(Some(name))
    }

    async fn send(&mut self, verb: DatabaseVerb<'_>) -> Result<(), ConnectionLost> {
        self.connection.send(proxy_call(verb)).await
    }
}

/// Creates a call that does not belong to a caller's request.
fn proxy_call(verb: DatabaseVerb<'_>) -> DatabaseCall<'_> {
    DatabaseCall {
        id: None,
        at_least: None,
        verb,
    }
}
