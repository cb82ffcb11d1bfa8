//! Extended query protocol: collects messages up to `Sync` or `Flush` and runs them as units.

use super::{
    CallerSession,
    RequestFailure,
    block::{
        BlockStart,
        TransactionBlock, //
    },
    request::{
        RequestUnit,
        UnitRequirements, //
    },
    simple::reject_unsupported, //
};
use crate::{
    LinkBroker,
    RateGate,
    caller::{
        classify::StatementKind,
        prepared::{
            BatchPart,
            BoundPortal,
            LocalAnswer,
            PreparedStatement, //
        }, //
    }, //
};
use daisyseam_model::{
    ErrorKind,
    RequestError, //
};
use futures_util::SinkExt;
use pgwire::messages::{
    PgWireFrontendMessage,
    extendedquery::{
        Bind,
        Close,
        Describe,
        Execute,
        Parse,
        TARGET_TYPE_BYTE_STATEMENT, //
    }, //
};
use std::sync::Arc;
use tokio::io::{
    AsyncRead,
    AsyncWrite, //
};

/// Maximum number of prepared statements in a session.
const PREPARED_STATEMENTS_MAX: usize = 4_096;

/// Bytes counted for a message in addition to its text and values.
const MESSAGE_OVERHEAD_BYTES: usize = 64;

/// Messages received since the last `Sync` or `Flush`.
#[derive(Debug, Default)]
pub(super) struct MessageBatch {
    parts: Vec<BatchPart>,
    bytes: usize,
    /// Error to report when the batch runs.
    failure: Option<RequestError>,
    /// Whether messages are skipped up to the next `Sync`, since an error was reported.
    skipping: bool,
}

impl MessageBatch {
    /// Returns whether no message or error is waiting for a `Sync`.
    pub(super) fn is_empty(&self) -> bool {
        self.parts.is_empty() && self.failure.is_none() && !self.skipping
    }

    /// Marks the batch as failed; the first error is kept.
    pub(super) fn fail(&mut self, error: RequestError) {
        if self.failure.is_none() && !self.skipping {
            self.failure = Some(error);
        }
    }
}

impl<B, G, S> CallerSession<B, G, S>
where
    B: LinkBroker,
    G: RateGate,
    S: AsyncRead + AsyncWrite + Unpin,
{
    /// Adds a message of the extended protocol to the batch.
    pub(super) fn add_to_batch(
        &mut self,
        message: PgWireFrontendMessage,
    ) -> Result<(), RequestFailure> {
        if self.batch.skipping || self.batch.failure.is_some() {
            return Ok(());
        }
        let part = match message {
            PgWireFrontendMessage::Parse(parse) => self.handle_parse(parse),
            PgWireFrontendMessage::Bind(bind) => self.handle_bind(bind),
            PgWireFrontendMessage::Describe(describe) => self.handle_describe(describe),
            PgWireFrontendMessage::Execute(execute) => self.handle_execute(execute),
            PgWireFrontendMessage::Close(close) => Ok(self.handle_close(close)),
            _ => Err(ErrorKind::ProtocolViolation.into()),
        };
        match part {
            Ok(part) => self.push_part(part),
            Err(error) => self.batch.fail(error),
        }
        Ok(())
    }

    fn push_part(&mut self, part: BatchPart) {
        if self.batch.failure.is_some() {
            return;
        }
        let held = self.shared.context.view.held();
        let document = held.view.document.as_ref();
        let limit = document.map_or(0, |document| document.limits.message_bytes);
        self.batch.bytes += part_bytes(&part);
        if self.batch.bytes > limit {
            let detail = "the messages before Sync exceed the message size limit";
            let error = RequestError::new(ErrorKind::MessageTooLarge, detail);
            let parts = std::mem::take(&mut self.batch.parts);
            self.forget_statements(&parts);
            self.batch.fail(error);
        } else {
            self.batch.parts.push(part);
        }
    }

    fn handle_parse(&mut self, parse: Parse) -> Result<BatchPart, RequestError> {
        let class = self.shared.cache.classify(&parse.query);
        if class.statements.len() > 1 {
            let detail = "a prepared statement cannot contain multiple commands";
            return Err(RequestError::new(ErrorKind::StatementUnclear, detail));
        }
        if let Some(statement) = class.statements.first() {
            reject_unsupported(&statement.kind)?;
        }
        if self.prepared_statements.len() >= PREPARED_STATEMENTS_MAX {
            let detail = "too many prepared statements; close some of them";
            return Err(RequestError::new(ErrorKind::FeatureUnsupported, detail));
        }
        let name = parse.name.unwrap_or_default();
        if !name.is_empty() && self.prepared_statements.contains_key(&name) {
            let detail = "a prepared statement with this name already exists";
            return Err(RequestError::new(ErrorKind::StatementUnclear, detail));
        }
        let statement = Arc::new(PreparedStatement {
            text: parse.query,
            parameter_types: parse.type_oids,
            class,
        });
        self.prepared_statements
            .insert(name.clone(), Arc::clone(&statement));
        if statement.is_local() {
            return Ok(BatchPart::Answer(LocalAnswer::Parsed(name)));
        }
        Ok(BatchPart::Parse { name, statement })
    }

    fn handle_bind(&mut self, bind: Bind) -> Result<BatchPart, RequestError> {
        let statement = self.find_statement(bind.statement_name.as_deref())?;
        let portal = bind.portal_name.clone().unwrap_or_default();
        self.portals.insert(portal, Arc::clone(&statement));
        if statement.is_local() {
            return Ok(BatchPart::Answer(LocalAnswer::Bound));
        }
        Ok(BatchPart::Bind(BoundPortal { statement, bind }))
    }

    fn handle_describe(&mut self, describe: Describe) -> Result<BatchPart, RequestError> {
        if describe.target_type == TARGET_TYPE_BYTE_STATEMENT {
            let statement = self.find_statement(describe.name.as_deref())?;
            if statement.is_local() {
                self.push_part(BatchPart::Answer(LocalAnswer::NoParameters));
                return Ok(BatchPart::Answer(describe_local(&statement)));
            }
            return Ok(BatchPart::DescribeStatement(statement));
        }
        let statement = self.find_portal(describe.name.as_deref())?;
        if statement.is_local() {
            return Ok(BatchPart::Answer(describe_local(&statement)));
        }
        Ok(BatchPart::DescribePortal(describe.name))
    }

    fn handle_execute(&mut self, execute: Execute) -> Result<BatchPart, RequestError> {
        let statement = self.find_portal(execute.name.as_deref())?;
        if statement.is_local() {
            return Ok(BatchPart::Local(statement));
        }
        Ok(BatchPart::Execute {
            portal: execute.name,
            max_rows: execute.max_rows,
            statement,
        })
    }

    fn handle_close(&mut self, close: Close) -> BatchPart {
        let name = close.name.clone().unwrap_or_default();
        if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
            self.prepared_statements.remove(&name);
            return BatchPart::Answer(LocalAnswer::Closed);
        }
        match self.portals.remove(&name) {
            Some(statement) if !statement.is_local() => BatchPart::ClosePortal(close.name),
            _ => BatchPart::Answer(LocalAnswer::Closed),
        }
    }

    fn find_statement(&self, name: Option<&str>) -> Result<Arc<PreparedStatement>, RequestError> {
        let found = self
            .prepared_statements
            .get(name.unwrap_or_default())
            .cloned();
        found.ok_or_else(|| {
            let detail = "no prepared statement with this name exists";
            RequestError::new(ErrorKind::StatementUnclear, detail)
        })
    }

    fn find_portal(&self, name: Option<&str>) -> Result<Arc<PreparedStatement>, RequestError> {
        let found = self.portals.get(name.unwrap_or_default()).cloned();
        found.ok_or_else(|| {
            let detail = "no portal with this name exists";
            RequestError::new(ErrorKind::StatementUnclear, detail)
        })
    }

    /// Handles `Sync`: runs the batch and sends `ReadyForQuery`.
    pub(super) async fn sync(&mut self) -> Result<(), RequestFailure> {
        let skipping = std::mem::take(&mut self.batch.skipping);
        let mut result = if skipping {
            self.discard_batch();
            Ok(())
        } else {
            self.run_batch().await
        };
        self.batch.skipping = false;
        if !self.block.is_explicit() {
            let ended = self.end_implicit_block(result.is_ok() && !skipping).await;
            result = result.and(ended);
        }
        if self.block.is_idle() {
            self.portals.clear();
        }
        self.finish_request(result).await
    }

    /// Handles `Flush`: runs the messages collected so far and sends their answers.
    pub(super) async fn flush(&mut self) -> Result<(), RequestFailure> {
        if self.batch.skipping {
            return Ok(());
        }
        let executes = self
            .batch
            .parts
            .iter()
            .any(|part| matches!(part, BatchPart::Bind(_) | BatchPart::Execute { .. }));
        if executes && self.block.is_idle() && self.batch.failure.is_none() {
            // More messages of the batch may follow, so its transaction must outlast this unit.
            let read_only = !parts_requirements(&self.batch.parts).write;
            let text = if read_only {
                "BEGIN READ ONLY"
            } else {
                "BEGIN"
            };
            self.block = TransactionBlock::Pending(BlockStart {
                text: text.to_owned(),
                read_only,
                explicit: false,
            });
        }
        if let Err(failure) = self.run_batch().await {
            self.report_failure(failure).await?;
            self.batch.skipping = true;
        }
        self.stream.flush().await?;
        Ok(())
    }

    fn discard_batch(&mut self) {
        self.batch.parts.clear();
        self.batch.bytes = 0;
        self.batch.failure = None;
    }

    async fn run_batch(&mut self) -> Result<(), RequestFailure> {
        let parts = std::mem::take(&mut self.batch.parts);
        let failure = self.batch.failure.take();
        self.batch.bytes = 0;
        // An error fails the whole batch, so none of its messages is run.
        if let Some(error) = failure {
            self.forget_statements(&parts);
            return Err(error.into());
        }
        let mut rest = parts.as_slice();
        while !rest.is_empty() {
            self.completed_parts = 0;
            let local = rest
                .iter()
                .position(|part| matches!(part, BatchPart::Local(_)));
            let (unit, others) = rest.split_at(local.unwrap_or(rest.len()));
            let ran = self.run_parts(unit).await;
            if !matches!(ran, Ok(true)) {
                self.forget_statements(&rest[self.completed_parts.min(rest.len())..]);
                self.batch.skipping = true;
                return ran.map(|_| ());
            }
            rest = others;
            if let Some((BatchPart::Local(statement), others)) = rest.split_first() {
                if let Some(kind) = statement.kind() {
                    self.run_described(kind).await?;
                }
                rest = others;
            }
        }
        Ok(())
    }

    /// Removes the prepared statements that unexecuted parts would have defined.
    fn forget_statements(&mut self, parts: &[BatchPart]) {
        for part in parts {
            if let BatchPart::Parse { name, .. } | BatchPart::Answer(LocalAnswer::Parsed(name)) =
                part
            {
                self.prepared_statements.remove(name);
            }
        }
    }

    /// Runs consecutive parts without a local statement; returns whether the next part may run.
    async fn run_parts(&mut self, parts: &[BatchPart]) -> Result<bool, RequestFailure> {
        let all_local = parts
            .iter()
            .all(|part| matches!(part, BatchPart::Answer(_)));
        if all_local {
            for part in parts {
                if let BatchPart::Answer(answer) = part {
                    self.stream.feed(answer.message()).await?;
                }
            }
            return Ok(true);
        }
        let requirements = parts_requirements(parts);
        self.run_unit(&RequestUnit::Extended(parts), &requirements)
            .await
    }

    /// Ends the implicit transaction that a `Flush` has opened for its batch.
    async fn end_implicit_block(&mut self, succeeded: bool) -> Result<(), RequestFailure> {
        match self.block.take() {
            TransactionBlock::Open(open) if succeeded && !open.failed => {
                self.commit_open_block(open, None).await?;
            }
            TransactionBlock::Open(open) => {
                self.block = TransactionBlock::Open(open);
                self.roll_back_block().await?;
            }
            TransactionBlock::Idle | TransactionBlock::Pending(_) | TransactionBlock::Failed => {}
        }
        Ok(())
    }
}

/// Combines the requirements of the statements that a unit executes.
fn parts_requirements(parts: &[BatchPart]) -> UnitRequirements {
    let mut requirements = UnitRequirements::default();
    for part in parts {
        if let BatchPart::Execute { statement, .. } = part
            && let Some(one) = statement.class.statements.first()
        {
            requirements.add(one, &statement.class.hints);
        }
    }
    requirements
}

fn part_bytes(part: &BatchPart) -> usize {
    let body = match part {
        BatchPart::Parse { statement, .. } => {
            statement.text.len() + 4 * statement.parameter_types.len()
        }
        BatchPart::Bind(portal) => {
            let values = portal.bind.parameters.iter().flatten();
            values.map(|value| value.len()).sum()
        }
        _ => 0,
    };
    body + MESSAGE_OVERHEAD_BYTES
}

fn describe_local(statement: &PreparedStatement) -> LocalAnswer {
    match statement.kind() {
        Some(StatementKind::ShowProxySetting(name)) => LocalAnswer::SingleTextColumn(name.clone()),
        _ => LocalAnswer::NoRows,
    }
}
