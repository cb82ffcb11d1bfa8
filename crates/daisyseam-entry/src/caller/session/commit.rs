//! Commit of a write, which is acknowledged only once a majority has it.

use super::{
    CallerSession,
    RequestFailure,
    autocommit::{
        UnitOutcome,
        transaction_lost, //
    },
    request::RequestContext, //
};
use crate::{
    LinkBroker,
    RateGate,
    TransactionOutcome,
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
    LogPosition,
    RequestError,
    Term, //
};
use futures_util::SinkExt;
use pgwire::messages::{
    PgWireBackendMessage,
    response::CommandComplete, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite, //
    },
    time::Instant, //
};

/// Command tag of a `COMMIT` that rolled the transaction back.
const ROLLED_BACK_TAG: &str = "ROLLBACK";

impl<B, G, S> CallerSession<B, G, S>
where
    B: LinkBroker,
    G: RateGate,
    S: AsyncRead + AsyncWrite + Unpin,
{
    /// Commits a transaction and reports success once the commit is confirmed.
    ///
    /// `id` is the transaction ID, or `None` if the transaction wrote nothing. `completion` is the
    /// completion message that is sent to the caller after the confirmation.
    pub(super) async fn commit(
        &mut self,
        request: &RequestContext,
        mut link: CheckedOutLink<B::Link>,
        id: Option<u64>,
        completion: Option<CommandComplete>,
    ) -> Result<UnitOutcome, RequestFailure> {
        let term = link.term;
        let deadline = request.statement_deadline();
        let mut exchange = Exchange::new();
        // Cancelling a commit would only make its outcome uncertain.
        self.cancel_registration.flag.end();
        self.progress = SendProgress::CommitSent;
        let sent = self.send_commit(&mut exchange, &mut link, deadline).await;
        match sent {
            Ok(()) if exchange.failed => {
                // The database rejected the commit, and its error was relayed to the caller.
                self.progress = SendProgress::RolledBack;
                link.release();
                return Ok(UnitOutcome::Failed);
            }
            Ok(()) if exchange.internal_tag == ROLLED_BACK_TAG => {
                self.progress = SendProgress::RolledBack;
                link.release();
                return Err(transaction_lost("the database rolled the transaction back"));
            }
            Ok(()) => link.release(),
            Err(ExchangeFault::Caller(_)) | Err(ExchangeFault::Deadline) => drop(link),
            Err(ExchangeFault::Link(error)) => {
                drop(link);
                log::debug!("database link failed during a commit: {}", error.0);
            }
        }
        let end = exchange
            .log_end
            .map(|position| LogPosition { term, position });
        let confirmed = match end {
            Some(end) => self.confirm(request, end).await,
            None => None,
        };
        let position = match confirmed {
            Some(position) => position,
            None => self.find_outcome(request, term, id).await?,
        };
        self.raise_floor(&request.group, position);
        if let Some(complete) = completion {
            let message = PgWireBackendMessage::CommandComplete(complete);
            self.stream.feed(message).await?;
        }
        Ok(UnitOutcome::Completed)
    }

    async fn send_commit(
        &mut self,
        exchange: &mut Exchange,
        link: &mut CheckedOutLink<B::Link>,
        deadline: Instant,
    ) -> Result<(), ExchangeFault> {
        let mut port = self.port(link, deadline);
        port.query("COMMIT").await?;
        exchange.expect(ExchangeStep::InternalQuery);
        port.query("SELECT pg_current_wal_lsn()").await?;
        exchange.expect(ExchangeStep::LogEnd);
        exchange.drain(&mut port).await
    }

    /// Waits until a majority has the commit; returns `None` if it cannot be confirmed in time.
    async fn confirm(&mut self, request: &RequestContext, end: LogPosition) -> Option<LogPosition> {
        let deadline = request.statement_deadline();
        let context = &self.shared.context;
        let confirmation = context.broker.confirm(&request.group, end, deadline);
        match context.timer.within(deadline, confirmation).await {
            Some(Ok(())) => Some(end),
            Some(Err(error)) => {
                log::debug!("commit at {end} was not confirmed: {error}");
                None
            }
            None => None,
        }
    }

    /// Determines the outcome of a commit whose response or confirmation is missing.
    async fn find_outcome(
        &mut self,
        request: &RequestContext,
        term: Term,
        id: Option<u64>,
    ) -> Result<LogPosition, RequestFailure> {
        self.shared.context.metrics.count("caller.outcomes_asked");
        let Some(id) = id else {
            // The transaction wrote nothing, so it can be reported as rolled back.
            self.progress = SendProgress::RolledBack;
            return Err(transaction_lost(
                "the commit of a transaction without writes was not confirmed",
            ));
        };
        let deadline = request.statement_deadline();
        let context = &self.shared.context;
        let answer = context.broker.outcome(&request.group, term, id, deadline);
        let outcome = context.timer.within(deadline, answer).await;
        match outcome.unwrap_or(TransactionOutcome::Unknown) {
            TransactionOutcome::Committed(position) => Ok(position),
            TransactionOutcome::Aborted => {
                self.progress = SendProgress::RolledBack;
                Err(transaction_lost("the commit did not take effect"))
            }
            TransactionOutcome::Unknown => {
                Err(RequestError::from(ErrorKind::OutcomeUnknown).into())
            }
        }
    }
}
