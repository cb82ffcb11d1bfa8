//! Statements handled without a database, and the end of transaction blocks.

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
        UnitRequirements, //
    }, //
};
use crate::{
    LinkBroker,
    RateGate,
    caller::{
        answer::SendProgress,
        checked_out_link::CheckedOutLink,
        classify::StatementKind,
        exchange::{
            Exchange,
            ExchangeStep, //
        },
        prepared::LocalAnswer, //
    }, //
};
use daisyseam_model::{
    ErrorKind,
    RequestError, //
};
use futures_util::SinkExt;
use pgwire::messages::{
    PgWireBackendMessage,
    data::DataRow,
    response::{
        CommandComplete,
        TransactionStatus, //
    }, //
};
use tokio::io::{
    AsyncRead,
    AsyncWrite, //
};

impl<B, G, S> CallerSession<B, G, S>
where
    B: LinkBroker,
    G: RateGate,
    S: AsyncRead + AsyncWrite + Unpin,
{
    /// Runs a statement for which [`StatementKind::is_local`] holds.
    pub(super) async fn run_local(&mut self, kind: &StatementKind) -> Result<(), RequestFailure> {
        self.progress = SendProgress::Unsent;
        self.check_caller().await?;
        let ends = matches!(kind, StatementKind::Commit | StatementKind::Rollback);
        if self.block.status() == TransactionStatus::Error && !ends {
            return Err(ErrorKind::TransactionAborted.into());
        }
        match kind {
            StatementKind::Begin { read_only, text } => {
                self.begin_block(*read_only, text);
                self.send_complete("BEGIN").await
            }
            StatementKind::Commit => self.commit_block().await,
            StatementKind::Rollback => {
                self.roll_back_block().await?;
                self.send_complete("ROLLBACK").await
            }
            StatementKind::Set(setting) => {
                self.check_setting_allowed()?;
                self.apply_setting(setting.clone())?;
                self.send_complete("SET").await
            }
            StatementKind::Reset(name) => {
                self.reset_settings(name.as_deref());
                self.send_complete("RESET").await
            }
            StatementKind::DiscardAll => {
                if !self.block.is_idle() {
                    let detail = "DISCARD ALL cannot run inside a transaction block";
                    return Err(RequestError::new(ErrorKind::FeatureUnsupported, detail).into());
                }
                self.reset_settings(None);
                self.prepared_statements.clear();
                self.send_complete("DISCARD ALL").await
            }
            StatementKind::NoOp { tag } => self.send_complete(tag).await,
            StatementKind::ShowProxySetting(name) => self.send_own_setting(name, true).await,
            StatementKind::Read { .. }
            | StatementKind::Write
            | StatementKind::Block { .. }
            | StatementKind::Refused { .. } => {
                unreachable!("{kind:?} is not a local statement")
            }
        }
    }

    /// Rejects a setting while a transaction holds a connection, on which it would have no effect.
    fn check_setting_allowed(&self) -> Result<(), RequestError> {
        if self.block.holds_link() {
            let detail = "use SET LOCAL inside a transaction";
            return Err(RequestError::new(ErrorKind::SessionStateRefused, detail));
        }
        Ok(())
    }

    fn begin_block(&mut self, read_only: bool, text: &str) {
        // PostgreSQL answers a BEGIN inside a transaction with a mere warning.
        if !self.block.is_idle() {
            return;
        }
        let open_route = self.identity.keyed.is_none();
        let text = if open_route { "BEGIN READ ONLY" } else { text };
        self.block = TransactionBlock::Pending(BlockStart {
            text: text.to_owned(),
            read_only: read_only || open_route,
            explicit: true,
        });
    }

    fn reset_settings(&mut self, name: Option<&str>) {
        match name {
            None => {
                self.replayed_settings.clear();
                self.max_age = None;
            }
            Some("daisyseam.max_age") => self.max_age = None,
            Some(name) => self
                .replayed_settings
                .retain(|replayed| replayed.name != name),
        }
    }

    async fn commit_block(&mut self) -> Result<(), RequestFailure> {
        match self.block.take() {
            TransactionBlock::Idle | TransactionBlock::Pending(_) => {
                self.send_complete("COMMIT").await
            }
            TransactionBlock::Failed => self.send_complete("ROLLBACK").await,
            TransactionBlock::Open(open) if open.failed => {
                self.block = TransactionBlock::Open(open);
                self.roll_back_block().await?;
                self.send_complete("ROLLBACK").await
            }
            TransactionBlock::Open(open) => {
                let completion = CommandComplete::new("COMMIT".to_owned());
                self.commit_open_block(open, Some(completion)).await?;
                Ok(())
            }
        }
    }

    /// Commits a transaction that holds a link.
    pub(super) async fn commit_open_block(
        &mut self,
        open: OpenBlock<B::Link>,
        completion: Option<CommandComplete>,
    ) -> Result<UnitOutcome, RequestFailure> {
        let request = self.start_request(&UnitRequirements::default()).await;
        let request = match request {
            Ok(request) => request,
            Err(failure) => {
                // The commit was not sent, so the block is rolled back.
                self.block = TransactionBlock::Open(open);
                self.roll_back_block().await?;
                self.progress = SendProgress::Unsent;
                return Err(failure);
            }
        };
        if open.read_only {
            return self.commit_read_only(&request, open.link, completion).await;
        }
        let mut link = open.link;
        let mut exchange = Exchange::new();
        let deadline = request.statement_deadline();
        self.progress = SendProgress::Sent;
        let asked = async {
            self.query_transaction_id(&mut exchange, &mut link, deadline)
                .await?;
            exchange.drain(&mut self.port(&mut link, deadline)).await
        };
        if let Err(fault) = asked.await {
            return Err(self.handle_fault(fault, link).await);
        }
        let Some(id) = exchange.transaction_id else {
            drop(link);
            self.progress = SendProgress::RolledBack;
            return Err(transaction_lost("the database returned no transaction ID"));
        };
        self.commit(&request, link, id, completion).await
    }

    /// Commits a read-only transaction.
    async fn commit_read_only(
        &mut self,
        request: &RequestContext,
        mut link: CheckedOutLink<B::Link>,
        completion: Option<CommandComplete>,
    ) -> Result<UnitOutcome, RequestFailure> {
        let seen = link.position;
        let mut exchange = Exchange::new();
        let deadline = request.statement_deadline();
        self.progress = SendProgress::Sent;
        let ended = async {
            let mut port = self.port(&mut link, deadline);
            port.query("COMMIT").await?;
            exchange.expect(ExchangeStep::InternalQuery);
            exchange.drain(&mut port).await
        };
        if let Err(fault) = ended.await {
            return Err(self.handle_fault(fault, link).await);
        }
        self.progress = SendProgress::RolledBack;
        if exchange.status == TransactionStatus::Idle {
            link.release();
        }
        if exchange.failed {
            return Ok(UnitOutcome::Failed);
        }
        self.raise_floor(&request.group, seen);
        if let Some(complete) = completion {
            let message = PgWireBackendMessage::CommandComplete(complete);
            self.stream.feed(message).await?;
        }
        Ok(UnitOutcome::Completed)
    }

    /// Rolls back the current transaction block, if any.
    pub(super) async fn roll_back_block(&mut self) -> Result<(), RequestFailure> {
        let TransactionBlock::Open(mut open) = self.block.take() else {
            return Ok(());
        };
        let held = self.shared.context.view.held();
        let document = held.view.document.as_ref().ok_or(ErrorKind::NoView)?;
        let deadline = tokio::time::Instant::now() + document.limits.statement_timeout;
        // A connection that does not respond is closed, which also rolls the transaction back.
        if self.roll_back(&mut open.link, deadline).await {
            open.link.release();
        }
        Ok(())
    }

    async fn send_complete(&mut self, tag: &str) -> Result<(), RequestFailure> {
        let complete = CommandComplete::new(tag.to_owned());
        self.stream
            .feed(PgWireBackendMessage::CommandComplete(complete))
            .await?;
        Ok(())
    }

    async fn send_own_setting(
        &mut self,
        name: &str,
        described: bool,
    ) -> Result<(), RequestFailure> {
        let value = match name {
            "daisyseam.session" => self
                .token_scope()
                .and_then(|scope| self.floor().token(scope)),
            _ => self.max_age.map(|age| format!("{}ms", age.as_millis())),
        };
        let value = value.unwrap_or_default();
        let mut data = bytes::BytesMut::new();
        // Tokens and durations are far below the maximum of the length field.
        let length = i32::try_from(value.len()).unwrap_or_default();
        data.extend_from_slice(&length.to_be_bytes());
        data.extend_from_slice(value.as_bytes());
        if described {
            self.stream
                .feed(LocalAnswer::SingleTextColumn(name.to_owned()).message())
                .await?;
        }
        let row = PgWireBackendMessage::DataRow(DataRow::new(data, 1));
        self.stream.feed(row).await?;
        self.send_complete("SHOW").await
    }

    /// Runs a local statement whose row description, if any, was sent before.
    pub(super) async fn run_described(
        &mut self,
        kind: &StatementKind,
    ) -> Result<(), RequestFailure> {
        match kind {
            StatementKind::ShowProxySetting(name) => {
                self.check_caller().await?;
                self.send_own_setting(name, false).await
            }
            other => self.run_local(other).await,
        }
    }
}
