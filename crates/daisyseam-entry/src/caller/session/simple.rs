//! Simple queries, and the execution of units inside and outside transaction blocks.

use super::{
    CallerSession,
    RequestFailure,
    autocommit::{
        UnitOutcome,
        transaction_lost, //
    },
    block::{
        BlockStart,
        OpenBlock,
        TransactionBlock, //
    },
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
        checked_out_link::CheckedOutLink,
        classify::{
            ClassifiedText,
            StatementKind, //
        },
        exchange::{
            Exchange,
            ExchangeFault,
            ExchangeStep, //
        },
        prepared::BatchPart, //
    }, //
};
use daisyseam_model::{
    ErrorKind,
    RequestError, //
};
use futures_util::SinkExt;
use pgwire::messages::{
    PgWireBackendMessage,
    response::{
        EmptyQueryResponse,
        TransactionStatus, //
    }, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite, //
    },
    time::Instant, //
};

impl<B, G, S> CallerSession<B, G, S>
where
    B: LinkBroker,
    G: RateGate,
    S: AsyncRead + AsyncWrite + Unpin,
{
    /// Runs the text of a simple query; the caller of this function sends `ReadyForQuery`.
    pub(super) async fn run_query(&mut self, text: String) -> Result<(), RequestFailure> {
        self.check_caller().await?;
        let class = self.shared.cache.classify(&text);
        for statement in &class.statements {
            reject_unsupported(&statement.kind)?;
        }
        if class.statements.is_empty() {
            let empty = EmptyQueryResponse::new();
            self.stream
                .feed(PgWireBackendMessage::EmptyQueryResponse(empty))
                .await?;
            return Ok(());
        }
        let any_local = class.statements.iter().any(|one| one.kind.is_local());
        if any_local {
            self.run_statements_separately(&text, &class).await
        } else {
            let requirements = text_requirements(&class);
            self.run_unit(&RequestUnit::Simple(&text), &requirements)
                .await?;
            Ok(())
        }
    }

    /// Runs the statements of a text one by one, since some of them are local, such as `BEGIN`.
    async fn run_statements_separately(
        &mut self,
        text: &str,
        class: &ClassifiedText,
    ) -> Result<(), RequestFailure> {
        self.check_mixed_statements(class)?;
        for statement in &class.statements {
            if statement.kind.is_local() {
                self.run_local(&statement.kind).await?;
                continue;
            }
            let mut requirements = UnitRequirements::default();
            requirements.add(statement, &class.hints);
            let statement_text = text[statement.span.clone()].trim();
            if !self
                .run_unit(&RequestUnit::Simple(statement_text), &requirements)
                .await?
            {
                break;
            }
        }
        Ok(())
    }

    /// Rejects a mix of local and other statements outside a transaction block.
    ///
    /// PostgreSQL runs such a text in one implicit transaction, which running its statements one by
    /// one would split.
    fn check_mixed_statements(&self, class: &ClassifiedText) -> Result<(), RequestError> {
        let mut inside = self.block.is_explicit();
        for statement in &class.statements {
            match &statement.kind {
                StatementKind::Begin { .. } => inside = true,
                StatementKind::Commit | StatementKind::Rollback => inside = false,
                kind if kind.is_local() || inside || class.statements.len() == 1 => {}
                _ => {
                    let detail = "statements combined with SET or transaction control must be \
                        enclosed in BEGIN and COMMIT";
                    return Err(RequestError::new(ErrorKind::FeatureUnsupported, detail));
                }
            }
        }
        Ok(())
    }

    /// Runs a unit; returns whether the rest of the same message or batch may run.
    pub(super) async fn run_unit(
        &mut self,
        unit: &RequestUnit<'_>,
        requirements: &UnitRequirements,
    ) -> Result<bool, RequestFailure> {
        self.check_block(requirements)?;
        let request = self.start_request(requirements).await?;
        let _running = self.cancel_registration.flag.start();
        let outcome = match self.block.take() {
            TransactionBlock::Idle if requirements.write => {
                self.write_with_retries(&request, unit, requirements)
                    .await?
            }
            TransactionBlock::Idle => {
                self.read_with_write_fallback(&request, unit, requirements)
                    .await?
            }
            TransactionBlock::Pending(start) => {
                let open = self.open_block(&request, start).await?;
                self.run_in_block(&request, open, unit).await?
            }
            TransactionBlock::Open(open) => self.run_in_block(&request, open, unit).await?,
            TransactionBlock::Failed => {
                self.block = TransactionBlock::Failed;
                return Err(ErrorKind::TransactionAborted.into());
            }
        };
        Ok(outcome == UnitOutcome::Completed)
    }

    /// Rejects a unit that the state of the transaction block does not allow.
    fn check_block(&self, requirements: &UnitRequirements) -> Result<(), RequestError> {
        match &self.block {
            TransactionBlock::Failed => Err(ErrorKind::TransactionAborted.into()),
            TransactionBlock::Open(open) if open.failed && !requirements.allowed_after_error => {
                Err(ErrorKind::TransactionAborted.into())
            }
            TransactionBlock::Idle if requirements.requires_block => {
                let detail = "this statement can only be used inside a transaction block";
                Err(RequestError::new(ErrorKind::SessionStateRefused, detail))
            }
            _ => Ok(()),
        }
    }

    async fn read_with_write_fallback(
        &mut self,
        request: &RequestContext,
        unit: &RequestUnit<'_>,
        requirements: &UnitRequirements,
    ) -> Result<UnitOutcome, RequestFailure> {
        let outcome = self.read_with_retries(request, unit, requirements).await?;
        if outcome != UnitOutcome::RequiresWrite {
            return Ok(outcome);
        }
        // The database rejected the write, so nothing changed and the unit can be sent again.
        self.shared
            .context
            .metrics
            .count("caller.reads_found_writes");
        match unit {
            RequestUnit::Simple(text) => self.shared.cache.mark_write(text),
            RequestUnit::Extended(parts) => {
                for part in *parts {
                    if let BatchPart::Execute { statement, .. } = part {
                        self.shared.cache.mark_write(&statement.text);
                    }
                }
            }
        }
        if self.identity.keyed.is_none() {
            let detail = "an open route is read-only";
            return Err(RequestError::new(ErrorKind::OpenRouteDenied, detail).into());
        }
        self.write_with_retries(request, unit, requirements).await
    }

    /// Opens a link for a pending transaction block and begins the transaction on the database.
    pub(super) async fn open_block(
        &mut self,
        request: &RequestContext,
        start: BlockStart,
    ) -> Result<OpenBlock<B::Link>, RequestFailure> {
        // If any of the steps below fails, the block is left in the failed state.
        if start.explicit {
            self.block = TransactionBlock::Failed;
        }
        let access = if start.read_only {
            self.read_access(request, None).await?
        } else {
            StatementAccess::Write
        };
        let mut link = self.open_link(request, access).await?;
        let mut exchange = Exchange::new();
        let deadline = request.statement_deadline();
        let begun = self.send_begin(&start, &mut exchange, &mut link, deadline);
        match begun.await {
            Ok(()) if exchange.status == TransactionStatus::Transaction => {
                let open = OpenBlock {
                    link,
                    read_only: start.read_only,
                    explicit: start.explicit,
                    failed: false,
                };
                Ok(open)
            }
            Ok(()) => {
                drop(link);
                self.progress = SendProgress::RolledBack;
                Err(transaction_lost(
                    "the database did not begin the transaction",
                ))
            }
            Err(fault) => {
                self.progress = SendProgress::RolledBack;
                Err(self.handle_fault(fault, link).await)
            }
        }
    }

    async fn send_begin(
        &mut self,
        start: &BlockStart,
        exchange: &mut Exchange,
        link: &mut CheckedOutLink<B::Link>,
        deadline: Instant,
    ) -> Result<(), ExchangeFault> {
        self.port(link, deadline).query(&start.text).await?;
        exchange.expect(ExchangeStep::InternalQuery);
        // Later statements would run outside a transaction if this one failed.
        exchange.drain(&mut self.port(link, deadline)).await?;
        if exchange.status == TransactionStatus::Transaction {
            self.apply_replayed_settings(exchange, link, deadline)
                .await?;
            exchange.drain(&mut self.port(link, deadline)).await?;
        }
        Ok(())
    }

    /// Runs a unit inside a transaction that holds a link.
    pub(super) async fn run_in_block(
        &mut self,
        request: &RequestContext,
        mut open: OpenBlock<B::Link>,
        unit: &RequestUnit<'_>,
    ) -> Result<UnitOutcome, RequestFailure> {
        if open.explicit {
            self.block = TransactionBlock::Failed;
        }
        let mut exchange = Exchange::new();
        let deadline = request.statement_deadline();
        let sent = async {
            self.send_unit(unit, &mut exchange, &mut open.link, deadline)
                .await?;
            exchange
                .drain(&mut self.port(&mut open.link, deadline))
                .await
        };
        let sent = sent.await;
        self.completed_parts = exchange.completed_parts;
        if let Err(fault) = sent {
            return Err(self.handle_fault(fault, open.link).await);
        }
        if exchange.status == TransactionStatus::Idle {
            drop(open);
            let detail = "the statement ended the enclosing transaction";
            return Err(RequestError::new(ErrorKind::OutcomeUnknown, detail).into());
        }
        open.failed = exchange.status == TransactionStatus::Error;
        self.block = TransactionBlock::Open(open);
        match exchange.failed {
            true => Ok(UnitOutcome::Failed),
            false => Ok(UnitOutcome::Completed),
        }
    }
}

/// Combines the requirements of the statements in a text.
fn text_requirements(class: &ClassifiedText) -> UnitRequirements {
    let mut requirements = UnitRequirements::default();
    for statement in &class.statements {
        requirements.add(statement, &class.hints);
    }
    requirements
}

/// Rejects a statement that is not supported.
pub(super) fn reject_unsupported(kind: &StatementKind) -> Result<(), RequestError> {
    match kind {
        StatementKind::Refused { kind, detail } => Err(RequestError::new(*kind, *detail)),
        _ => Ok(()),
    }
}
