//! Statements handled without a database, and the end of transaction blocks.

use super::{
    CallerSession,
    RequestFailure,
    autocommit::{
        UnitEnd,
        lost, //
    },
    block::{
        BlockStart,
        OpenBlock,
        TransactionBlock, //
    },
    request::{
        RequestFrame,
        UnitNeeds, //
    }, //
};
use crate::{
    LinkBroker,
    RateGate,
    caller::{
        answer::SendProgress,
        classify::StatementKind,
        exchange::{
            Exchange,
            ExchangeStep, //
        },
        lease::LinkLease,
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
                self.complete("BEGIN").await
            }
            StatementKind::Commit => self.commit_block().await,
            StatementKind::Rollback => {
                self.roll_back_block().await?;
                self.complete("ROLLBACK").await
            }
            StatementKind::Set(setting) => {
                self.check_setting_allowed()?;
                self.apply_setting(setting.clone())?;
                self.complete("SET").await
            }
            StatementKind::Reset(name) => {
                self.reset(name.as_deref());
                self.complete("RESET").await
            }
            StatementKind::DiscardAll => {
                if !self.block.is_idle() {
                    let detail = "DISCARD ALL cannot run inside a transaction block";
                    return Err(RequestError::new(ErrorKind::FeatureUnsupported, detail).into());
                }
                self.reset(None);
                self.prepared_statements.clear();
                self.complete("DISCARD ALL").await
            }
            StatementKind::Nothing { tag } => self.complete(tag).await,
            StatementKind::ShowOwn(name) => self.show_own(name, true).await,
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

    fn reset(&mut self, name: Option<&str>) {
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
            TransactionBlock::Idle | TransactionBlock::Pending(_) => self.complete("COMMIT").await,
            TransactionBlock::Failed => self.complete("ROLLBACK").await,
            TransactionBlock::Open(open) if open.failed => {
                self.block = TransactionBlock::Open(open);
                self.roll_back_block().await?;
                self.complete("ROLLBACK").await
            }
            TransactionBlock::Open(open) => {
                let completion = CommandComplete::new("COMMIT".to_owned());
                self.commit_open(open, Some(completion)).await?;
                Ok(())
            }
        }
    }

    /// Commits a transaction that holds a link.
    pub(super) async fn commit_open(
        &mut self,
        open: OpenBlock<B::Link>,
        completion: Option<CommandComplete>,
    ) -> Result<UnitEnd, RequestFailure> {
        let frame = self.start_request(&UnitNeeds::default()).await;
        let frame = match frame {
            Ok(frame) => frame,
            Err(failure) => {
                // The commit was not sent, so the block is rolled back.
                self.block = TransactionBlock::Open(open);
                self.roll_back_block().await?;
                self.progress = SendProgress::Unsent;
                return Err(failure);
            }
        };
        if open.read_only {
            return self.commit_read(&frame, open.lease, completion).await;
        }
        let mut lease = open.lease;
        let mut exchange = Exchange::new();
        let deadline = frame.statement_deadline();
        self.progress = SendProgress::Sent;
        let asked = async {
            self.ask_transaction_id(&mut exchange, &mut lease, deadline)
                .await?;
            exchange.drain(&mut self.port(&mut lease, deadline)).await
        };
        if let Err(fault) = asked.await {
            return Err(self.end_fault(fault, lease).await);
        }
        let Some(id) = exchange.transaction_id else {
            drop(lease);
            self.progress = SendProgress::RolledBack;
            return Err(lost("the database returned no transaction ID"));
        };
        self.commit(&frame, lease, id, completion).await
    }

    /// Commits a read-only transaction.
    async fn commit_read(
        &mut self,
        frame: &RequestFrame,
        mut lease: LinkLease<B::Link>,
        completion: Option<CommandComplete>,
    ) -> Result<UnitEnd, RequestFailure> {
        let seen = lease.position;
        let mut exchange = Exchange::new();
        let deadline = frame.statement_deadline();
        self.progress = SendProgress::Sent;
        let ended = async {
            let mut port = self.port(&mut lease, deadline);
            port.query("COMMIT").await?;
            exchange.expect(ExchangeStep::InternalQuery);
            exchange.drain(&mut port).await
        };
        if let Err(fault) = ended.await {
            return Err(self.end_fault(fault, lease).await);
        }
        self.progress = SendProgress::RolledBack;
        if exchange.status == TransactionStatus::Idle {
            lease.finish();
        }
        if exchange.failed {
            return Ok(UnitEnd::Failed);
        }
        self.raise_floor(seen);
        if let Some(complete) = completion {
            let message = PgWireBackendMessage::CommandComplete(complete);
            self.stream.feed(message).await?;
        }
        Ok(UnitEnd::Done)
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
        if self.roll_back(&mut open.lease, deadline).await {
            open.lease.finish();
        }
        Ok(())
    }

    async fn complete(&mut self, tag: &str) -> Result<(), RequestFailure> {
        let complete = CommandComplete::new(tag.to_owned());
        self.stream
            .feed(PgWireBackendMessage::CommandComplete(complete))
            .await?;
        Ok(())
    }

    async fn show_own(&mut self, name: &str, described: bool) -> Result<(), RequestFailure> {
        let value = match name {
            "daisyseam.session" => self.token_scope().and_then(|scope| self.floor.token(scope)),
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
                .feed(LocalAnswer::OneText(name.to_owned()).message())
                .await?;
        }
        let row = PgWireBackendMessage::DataRow(DataRow::new(data, 1));
        self.stream.feed(row).await?;
        self.complete("SHOW").await
    }

    /// Runs a local statement whose row description, if any, was sent before.
    pub(super) async fn run_described(
        &mut self,
        kind: &StatementKind,
    ) -> Result<(), RequestFailure> {
        match kind {
            StatementKind::ShowOwn(name) => {
                self.check_caller().await?;
                self.show_own(name, false).await
            }
            other => self.run_local(other).await,
        }
    }
}
