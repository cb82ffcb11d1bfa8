//! Execution of requests outside an explicit transaction.

use super::{
    CallerSession,
    RequestFailure,
    request::{
        RequestContext,
        RequestUnit,
        UnitRequirements, //
    }, //
};
use crate::{
    LinkBroker,
    RateGate,
    StatementAccess,
    caller::{
        answer::SendProgress,
        checked_out_link::CheckedOutLink, //
        exchange::{
            Exchange,
            ExchangeFault,
            ExchangeStep, //
        },
    }, //
};
use daisyseam_model::{
    ErrorKind,
    GroupId,
    LogPosition,
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

/// Maximum number of times that a request is sent.
const ATTEMPTS_MAX: usize = 3;

/// Outcome of a unit that ran without a connection fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum UnitOutcome {
    /// The unit succeeded.
    Completed,
    /// The database reported an error, which was relayed to the caller.
    Failed,
    /// The database rejected a write in a unit classified as a read; nothing was relayed.
    RequiresWrite,
}

impl<B, G, S> CallerSession<B, G, S>
where
    B: LinkBroker,
    G: RateGate,
    S: AsyncRead + AsyncWrite + Unpin,
{
    /// Runs a read, and retries it on another link if one breaks before anything was relayed to the
    /// caller.
    pub(super) async fn read_with_retries(
        &mut self,
        request: &RequestContext,
        unit: &RequestUnit<'_>,
        requirements: &UnitRequirements,
    ) -> Result<UnitOutcome, RequestFailure> {
        let mut attempt = 1;
        loop {
            let access = self.read_access(request, requirements.max_age).await?;
            let mut link = self.open_link(request, access).await?;
            let mut exchange = Exchange::deferring_read_only_error();
            let deadline = request.statement_deadline();
            let read = self.send_read(unit, &mut exchange, &mut link, deadline);
            let read = read.await;
            self.completed_parts = exchange.completed_parts;
            match read {
                Ok(()) => {
                    self.progress = SendProgress::RolledBack;
                    return Ok(self.finish_read(request, &exchange, link));
                }
                Err(ExchangeFault::Link(error)) => {
                    drop(link);
                    self.progress = SendProgress::RolledBack;
                    if exchange.relayed || attempt >= ATTEMPTS_MAX {
                        return Err(transaction_lost(&error.0));
                    }
                    self.shared.context.metrics.count("caller.read_retries");
                    attempt += 1;
                }
                Err(fault) => return Err(self.handle_fault(fault, link).await),
            }
        }
    }

    async fn send_read(
        &mut self,
        unit: &RequestUnit<'_>,
        exchange: &mut Exchange,
        link: &mut CheckedOutLink<B::Link>,
        deadline: Instant,
    ) -> Result<(), ExchangeFault> {
        // Replicas reject writes by themselves; on a primary, a read-only transaction does.
        let wrapped = link.primary || !self.replayed_settings.is_empty();
        if wrapped {
            self.port(link, deadline).query("BEGIN READ ONLY").await?;
            exchange.expect(ExchangeStep::InternalQuery);
            self.apply_replayed_settings(exchange, link, deadline)
                .await?;
        }
        self.send_unit(unit, exchange, link, deadline).await?;
        if wrapped {
            self.port(link, deadline).query("COMMIT").await?;
            exchange.expect(ExchangeStep::InternalQuery);
        }
        exchange.drain(&mut self.port(link, deadline)).await
    }

    fn finish_read(
        &mut self,
        request: &RequestContext,
        exchange: &Exchange,
        link: CheckedOutLink<B::Link>,
    ) -> UnitOutcome {
        let seen = link.position;
        if exchange.status == TransactionStatus::Idle {
            link.release();
        }
        if exchange.read_only_violation {
            return UnitOutcome::RequiresWrite;
        }
        if exchange.failed {
            return UnitOutcome::Failed;
        }
        self.raise_floor(&request.group, seen);
        UnitOutcome::Completed
    }

    /// Runs a write in its own transaction and reports success only once the commit is confirmed.
    ///
    /// A write marked as idempotent is retried if the link breaks before the commit is sent.
    pub(super) async fn write_with_retries(
        &mut self,
        request: &RequestContext,
        unit: &RequestUnit<'_>,
        requirements: &UnitRequirements,
    ) -> Result<UnitOutcome, RequestFailure> {
        let mut attempt = 1;
        loop {
            let mut link = self.open_link(request, StatementAccess::Write).await?;
            let mut exchange = Exchange::withholding_completion();
            let deadline = request.statement_deadline();
            let sent = self.send_write(unit, &mut exchange, &mut link, deadline);
            let sent = sent.await;
            self.completed_parts = exchange.completed_parts;
            match sent {
                Ok(()) => return self.finish_write(request, exchange, link).await,
                Err(ExchangeFault::Link(error)) => {
                    drop(link);
                    // The commit was not sent, so the database rolls the transaction back.
                    self.progress = SendProgress::RolledBack;
                    if exchange.relayed || !requirements.idempotent || attempt >= ATTEMPTS_MAX {
                        return Err(transaction_lost(&error.0));
                    }
                    attempt += 1;
                }
                Err(fault) => return Err(self.handle_fault(fault, link).await),
            }
        }
    }

    async fn send_write(
        &mut self,
        unit: &RequestUnit<'_>,
        exchange: &mut Exchange,
        link: &mut CheckedOutLink<B::Link>,
        deadline: Instant,
    ) -> Result<(), ExchangeFault> {
        self.port(link, deadline).query("BEGIN").await?;
        exchange.expect(ExchangeStep::InternalQuery);
        self.apply_replayed_settings(exchange, link, deadline)
            .await?;
        self.send_unit(unit, exchange, link, deadline).await?;
        self.query_transaction_id(exchange, link, deadline).await?;
        exchange.drain(&mut self.port(link, deadline)).await
    }

    async fn finish_write(
        &mut self,
        request: &RequestContext,
        mut exchange: Exchange,
        mut link: CheckedOutLink<B::Link>,
    ) -> Result<UnitOutcome, RequestFailure> {
        if exchange.status == TransactionStatus::Idle {
            // The statement ended the transaction around it, so its outcome is unknown.
            drop(link);
            let detail = "the statement ended the enclosing transaction";
            return Err(RequestError::new(ErrorKind::OutcomeUnknown, detail).into());
        }
        let id = match exchange.transaction_id {
            Some(id) if !exchange.failed => id,
            _ => {
                let rolled_back = self
                    .roll_back(&mut link, request.statement_deadline())
                    .await;
                self.progress = SendProgress::RolledBack;
                if rolled_back {
                    link.release();
                }
                return match exchange.failed {
                    true => Ok(UnitOutcome::Failed),
                    false => Err(transaction_lost("the database returned no transaction ID")),
                };
            }
        };
        self.commit(request, link, id, exchange.withheld_completion.take())
            .await
    }

    /// Rolls the transaction back; returns whether the connection can be reused.
    pub(super) async fn roll_back(
        &mut self,
        link: &mut CheckedOutLink<B::Link>,
        deadline: Instant,
    ) -> bool {
        let mut exchange = Exchange::new();
        let mut port = self.port(link, deadline);
        if port.query("ROLLBACK").await.is_err() {
            return false;
        }
        exchange.expect(ExchangeStep::InternalQuery);
        let drained = exchange.drain(&mut port).await;
        drained.is_ok() && exchange.status == TransactionStatus::Idle
    }

    /// Queries the transaction ID, by which the outcome of the commit can be looked up later.
    pub(super) async fn query_transaction_id(
        &mut self,
        exchange: &mut Exchange,
        link: &mut CheckedOutLink<B::Link>,
        deadline: Instant,
    ) -> Result<(), ExchangeFault> {
        let text = "SELECT pg_current_xact_id_if_assigned()";
        self.port(link, deadline).query(text).await?;
        exchange.expect(ExchangeStep::TransactionId);
        Ok(())
    }

    /// Handles a fault that interrupted an exchange; returns the failure of the request.
    pub(super) async fn handle_fault(
        &mut self,
        fault: ExchangeFault,
        mut link: CheckedOutLink<B::Link>,
    ) -> RequestFailure {
        match fault {
            ExchangeFault::Link(error) => {
                drop(link);
                // The commit was not sent, so the database rolls the transaction back.
                self.progress = SendProgress::RolledBack;
                transaction_lost(&error.0)
            }
            ExchangeFault::Deadline => {
                link.cancel().await;
                ErrorKind::DeadlineWhileRunning.into()
            }
            ExchangeFault::Caller(error) => {
                link.cancel().await;
                log::debug!("caller disconnected while its request was running: {error:?}");
                RequestFailure::Closed
            }
        }
    }

    /// Raises the session floor to a position that the caller has observed.
    pub(super) fn raise_floor(&mut self, group: &GroupId, seen: LogPosition) {
        self.floors.floor_mut(group).raise(seen);
    }
}

/// Returns the error for a transaction that was rolled back without the caller's request.
pub(super) fn transaction_lost(detail: &str) -> RequestFailure {
    RequestError::new(ErrorKind::TransactionLost, detail).into()
}
