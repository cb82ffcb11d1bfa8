//! Requests outside a transaction of the caller's own.

use super::{
    CallerSession,
    RequestFailure,
    request::{
        RequestFrame,
        RequestUnit,
        UnitNeeds, //
    }, //
};
use crate::{
    LinkBroker,
    RateGate,
    StatementAccess,
    caller::{
        answer::SendProgress,
        exchange::{
            Exchange,
            ExchangeFault,
            ExchangeStep, //
        },
        lease::LinkLease, //
    }, //
};
use daisyseam_model::{
    ErrorKind,
    RequestError, //
};
use pgwire::messages::response::TransactionStatus;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite, //
    },
    time::Instant, //
};

/// Most times that one request is sent.
const ATTEMPTS_MAX: usize = 3;

/// How a request ended that was answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum UnitEnd {
    /// It ran.
    Done,
    /// The caller was told of an error of the database.
    Failed,
    /// The database saw a write where a read was expected; nothing was answered.
    IsWrite,
}

impl<B, G, S> CallerSession<B, G, S>
where
    B: LinkBroker,
    G: RateGate,
    S: AsyncRead + AsyncWrite + Unpin,
{
    /// Runs a read; a link that breaks before the caller saw anything is replaced.
    pub(super) async fn read_once_or_again(
        &mut self,
        frame: &RequestFrame,
        unit: &RequestUnit<'_>,
        needs: &UnitNeeds,
    ) -> Result<UnitEnd, RequestFailure> {
        let mut attempt = 1;
        loop {
            let access = self.read_access(frame, needs.max_age).await?;
            let mut lease = self.open_link(frame, access).await?;
            let mut exchange = Exchange::on_trial();
            let deadline = frame.statement_deadline();
            let read = self.send_read(unit, &mut exchange, &mut lease, deadline);
            let read = read.await;
            self.parts_done = exchange.parts_done;
            match read {
                Ok(()) => {
                    self.progress = SendProgress::RolledBack;
                    return Ok(self.end_read(&exchange, lease));
                }
                Err(ExchangeFault::Link(error)) => {
                    drop(lease);
                    self.progress = SendProgress::RolledBack;
                    if exchange.shown || attempt >= ATTEMPTS_MAX {
                        return Err(lost(&error.0));
                    }
                    self.shared.context.metrics.count("caller.read_retries");
                    attempt += 1;
                }
                Err(fault) => return Err(self.end_fault(fault, lease).await),
            }
        }
    }

    async fn send_read(
        &mut self,
        unit: &RequestUnit<'_>,
        exchange: &mut Exchange,
        lease: &mut LinkLease<B::Link>,
        deadline: Instant,
    ) -> Result<(), ExchangeFault> {
        // A replica cannot write. A primary must not, so it reads in a read-only transaction.
        let wrapped = lease.primary || !self.carried.is_empty();
        if wrapped {
            self.port(lease, deadline).query("BEGIN READ ONLY").await?;
            exchange.expect(ExchangeStep::Quiet);
            self.send_carried(exchange, lease, deadline).await?;
        }
        self.send_unit(unit, exchange, lease, deadline).await?;
        if wrapped {
            self.port(lease, deadline).query("COMMIT").await?;
            exchange.expect(ExchangeStep::Quiet);
        }
        exchange.drain(&mut self.port(lease, deadline)).await
    }

    fn end_read(&mut self, exchange: &Exchange, lease: LinkLease<B::Link>) -> UnitEnd {
        let seen = lease.position;
        if exchange.status == TransactionStatus::Idle {
            lease.finish();
        }
        if exchange.refused_read_only {
            return UnitEnd::IsWrite;
        }
        if exchange.failed {
            return UnitEnd::Failed;
        }
        self.raise_floor(seen);
        UnitEnd::Done
    }

    /// Runs a write in a transaction of its own and answers only when its commit is confirmed.
    pub(super) async fn write_once(
        &mut self,
        frame: &RequestFrame,
        unit: &RequestUnit<'_>,
        needs: &UnitNeeds,
    ) -> Result<UnitEnd, RequestFailure> {
        let mut attempt = 1;
        loop {
            let mut lease = self.open_link(frame, StatementAccess::Write).await?;
            let mut exchange = Exchange::holding();
            let deadline = frame.statement_deadline();
            let sent = self.send_write(unit, &mut exchange, &mut lease, deadline);
            let sent = sent.await;
            self.parts_done = exchange.parts_done;
            match sent {
                Ok(()) => return self.end_write(frame, exchange, lease).await,
                Err(ExchangeFault::Link(error)) => {
                    drop(lease);
                    // The commit was not sent, so the database rolls back.
                    self.progress = SendProgress::RolledBack;
                    if exchange.shown || !needs.idempotent || attempt >= ATTEMPTS_MAX {
                        return Err(lost(&error.0));
                    }
                    attempt += 1;
                }
                Err(fault) => return Err(self.end_fault(fault, lease).await),
            }
        }
    }

    async fn send_write(
        &mut self,
        unit: &RequestUnit<'_>,
        exchange: &mut Exchange,
        lease: &mut LinkLease<B::Link>,
        deadline: Instant,
    ) -> Result<(), ExchangeFault> {
        self.port(lease, deadline).query("BEGIN").await?;
        exchange.expect(ExchangeStep::Quiet);
        self.send_carried(exchange, lease, deadline).await?;
        self.send_unit(unit, exchange, lease, deadline).await?;
        self.ask_transaction_id(exchange, lease, deadline).await?;
        exchange.drain(&mut self.port(lease, deadline)).await
    }

    async fn end_write(
        &mut self,
        frame: &RequestFrame,
        mut exchange: Exchange,
        mut lease: LinkLease<B::Link>,
    ) -> Result<UnitEnd, RequestFailure> {
        if exchange.status == TransactionStatus::Idle {
            // The statement ended the transaction that it ran in: nothing is known of it.
            drop(lease);
            let words = "the transaction ended before its commit";
            return Err(RequestError::new(ErrorKind::OutcomeUnknown, words).into());
        }
        let id = match exchange.transaction_id {
            Some(id) if !exchange.failed => id,
            _ => {
                let rolled_back = self.roll_back(&mut lease, frame.statement_deadline()).await;
                self.progress = SendProgress::RolledBack;
                if rolled_back {
                    lease.finish();
                }
                return match exchange.failed {
                    true => Ok(UnitEnd::Failed),
                    false => Err(lost("the database gave no transaction id")),
                };
            }
        };
        self.commit(frame, lease, id, exchange.held.take()).await
    }

    /// Rolls back; returns whether the connection may serve others.
    pub(super) async fn roll_back(
        &mut self,
        lease: &mut LinkLease<B::Link>,
        deadline: Instant,
    ) -> bool {
        let mut exchange = Exchange::new();
        let mut port = self.port(lease, deadline);
        if port.query("ROLLBACK").await.is_err() {
            return false;
        }
        exchange.expect(ExchangeStep::Quiet);
        let drained = exchange.drain(&mut port).await;
        drained.is_ok() && exchange.status == TransactionStatus::Idle
    }

    /// Asks for the id under which the transaction's outcome can be found out later.
    pub(super) async fn ask_transaction_id(
        &mut self,
        exchange: &mut Exchange,
        lease: &mut LinkLease<B::Link>,
        deadline: Instant,
    ) -> Result<(), ExchangeFault> {
        let text = "SELECT pg_current_xact_id_if_assigned()";
        self.port(lease, deadline).query(text).await?;
        exchange.expect(ExchangeStep::TransactionId);
        Ok(())
    }

    /// Ends a request whose answer did not come whole.
    pub(super) async fn end_fault(
        &mut self,
        fault: ExchangeFault,
        mut lease: LinkLease<B::Link>,
    ) -> RequestFailure {
        match fault {
            ExchangeFault::Link(error) => {
                drop(lease);
                // The commit was not sent, so the database rolls back.
                self.progress = SendProgress::RolledBack;
                lost(&error.0)
            }
            ExchangeFault::Deadline => {
                lease.cancel().await;
                ErrorKind::DeadlineWhileRunning.into()
            }
            ExchangeFault::Caller(error) => {
                lease.cancel().await;
                log::debug!("a caller left while its request ran: {error:?}");
                RequestFailure::Closed
            }
        }
    }

    /// Raises the floor to what the caller has seen.
    pub(super) fn raise_floor(&mut self, seen: daisyseam_model::LogPosition) {
        self.floor.raise(seen);
    }
}

/// Makes the error for a transaction that a broken link has rolled back.
pub(super) fn lost(words: &str) -> RequestFailure {
    RequestError::new(ErrorKind::TransactionLost, words).into()
}
