//! Exchange of messages with a database, and the handling of its answers.

mod port;

pub(super) use self::port::{
    CallerStream,
    ExchangeFault,
    ExchangePort, //
};
use crate::{
    DatabaseLink,
    LinkError, //
};
use daisyseam_model::Position;
use pgwire::messages::{
    PgWireBackendMessage,
    data::DataRow,
    response::{
        CommandComplete,
        ErrorResponse,
        TransactionStatus, //
    }, //
};
use smallvec::SmallVec;
use std::collections::VecDeque;
use tokio::io::{
    AsyncRead,
    AsyncWrite, //
};

/// SQLSTATE of a write in a read-only transaction.
const READ_ONLY_VIOLATION: &str = "25006";

/// A request to the database, or an answer of our own, in the order of the answers.
#[derive(Debug)]
pub(super) enum ExchangeStep {
    /// An internal query.
    InternalQuery,
    /// An internal query that returns the transaction ID, or null.
    TransactionId,
    /// An internal query that returns a log position.
    LogEnd,
    /// A simple query of the caller.
    CallerQuery,
    /// A message of the extended protocol.
    Part {
        /// Whether the answer is relayed to the caller.
        relayed: bool,
    },
    /// The `Sync` at the end of a batch.
    Sync,
    /// An answer that is produced without the database.
    Answer(PgWireBackendMessage),
}

/// The answers that are still expected, and the results received so far.
#[derive(Debug)]
pub(super) struct Exchange {
    steps: VecDeque<ExchangeStep>,
    /// Whether the last `CommandComplete` is withheld.
    withhold_completion: bool,
    /// Whether a read-only violation is kept from the caller, as long as nothing was relayed.
    defer_read_only_error: bool,
    /// The withheld `CommandComplete`.
    pub(super) withheld_completion: Option<CommandComplete>,
    /// Whether the database reported an error.
    pub(super) failed: bool,
    /// Whether the error was a read-only violation that was kept from the caller.
    pub(super) read_only_violation: bool,
    /// Whether any answer was relayed to the caller.
    pub(super) relayed: bool,
    /// Answers without data, withheld until a later answer shows that the unit needs no retry.
    deferred: SmallVec<[PgWireBackendMessage; 4]>,
    /// Number of messages of the caller that were answered.
    pub(super) completed_parts: usize,
    /// Transaction status reported last by the database.
    pub(super) status: TransactionStatus,
    /// Transaction ID; the outer level is `None` until it is received, the inner one if no ID was
    /// assigned.
    pub(super) transaction_id: Option<Option<u64>>,
    /// Log position, if it was queried.
    pub(super) log_end: Option<Position>,
    /// Command tag of the last internal query.
    pub(super) internal_tag: String,
}

impl Exchange {
    /// Creates an exchange that expects no answers.
    pub(super) fn new() -> Self {
        Self {
            steps: VecDeque::new(),
            withhold_completion: false,
            defer_read_only_error: false,
            withheld_completion: None,
            failed: false,
            read_only_violation: false,
            relayed: false,
            deferred: SmallVec::new(),
            completed_parts: 0,
            status: TransactionStatus::Idle,
            transaction_id: None,
            log_end: None,
            internal_tag: String::new(),
        }
    }

    /// Creates an exchange that withholds the last `CommandComplete`, so that it can be sent after
    /// the commit is confirmed.
    pub(super) fn withholding_completion() -> Self {
        Self {
            withhold_completion: true,
            ..Self::new()
        }
    }

    /// Creates an exchange that reports a read-only violation to the session instead of the caller.
    pub(super) fn deferring_read_only_error() -> Self {
        Self {
            defer_read_only_error: true,
            ..Self::new()
        }
    }

    /// Adds a step whose answer is expected.
    pub(super) fn expect(&mut self, step: ExchangeStep) {
        self.steps.push_back(step);
    }

    /// Processes answers until none is expected.
    pub(super) async fn drain<S, L>(
        &mut self,
        port: &mut ExchangePort<'_, S, L>,
    ) -> Result<(), ExchangeFault>
    where
        S: AsyncRead + AsyncWrite + Unpin,
        L: DatabaseLink,
    {
        port.flush_link().await?;
        loop {
            self.answer_local(port).await?;
            if self.steps.is_empty() {
                return self.relay_deferred(port).await;
            }
            let message = port.receive().await?;
            self.handle_message(message, port).await?;
        }
    }

    async fn answer_local<S, L>(
        &mut self,
        port: &mut ExchangePort<'_, S, L>,
    ) -> Result<(), ExchangeFault>
    where
        S: AsyncRead + AsyncWrite + Unpin,
        L: DatabaseLink,
    {
        while let Some(step) = self.steps.pop_front() {
            match step {
                ExchangeStep::Answer(message) => {
                    self.completed_parts += 1;
                    self.relay(message, port).await?;
                }
                awaited => {
                    self.steps.push_front(awaited);
                    break;
                }
            }
        }
        Ok(())
    }

    async fn handle_message<S, L>(
        &mut self,
        message: PgWireBackendMessage,
        port: &mut ExchangePort<'_, S, L>,
    ) -> Result<(), ExchangeFault>
    where
        S: AsyncRead + AsyncWrite + Unpin,
        L: DatabaseLink,
    {
        use PgWireBackendMessage as Reply;
        match message {
            Reply::ReadyForQuery(ready) => {
                self.status = ready.status;
                self.end_query()
            }
            Reply::ErrorResponse(error) => self.handle_error(error, port).await,
            Reply::ParameterStatus(_) | Reply::NotificationResponse(_) => Ok(()),
            Reply::NoticeResponse(_) if !self.is_relayed() => Ok(()),
            Reply::CopyInResponse(_) | Reply::CopyOutResponse(_) | Reply::CopyBothResponse(_) => {
                Err(LinkError("unexpected start of a COPY".to_owned()).into())
            }
            Reply::DataRow(row) if !self.is_relayed() => {
                self.read_value(&row);
                Ok(())
            }
            Reply::CommandComplete(complete) => self.handle_complete(complete, port).await,
            other => self.handle_other(other, port).await,
        }
    }

    fn end_query(&mut self) -> Result<(), ExchangeFault> {
        match self.steps.pop_front() {
            Some(ExchangeStep::Part { .. } | ExchangeStep::Answer(_)) | None => {
                Err(LinkError("unexpected ReadyForQuery".to_owned()).into())
            }
            Some(_) => Ok(()),
        }
    }

    async fn handle_complete<S, L>(
        &mut self,
        complete: CommandComplete,
        port: &mut ExchangePort<'_, S, L>,
    ) -> Result<(), ExchangeFault>
    where
        S: AsyncRead + AsyncWrite + Unpin,
        L: DatabaseLink,
    {
        if !self.is_relayed() {
            self.internal_tag = complete.tag;
            return Ok(());
        }
        self.complete_part();
        if !self.withhold_completion {
            let message = PgWireBackendMessage::CommandComplete(complete);
            return self.relay(message, port).await;
        }
        if let Some(former) = self.withheld_completion.replace(complete) {
            // Another one follows, so the former need not be withheld.
            let last = self.withheld_completion.take();
            self.relay(PgWireBackendMessage::CommandComplete(former), port)
                .await?;
            self.withheld_completion = last;
        }
        Ok(())
    }

    async fn handle_other<S, L>(
        &mut self,
        message: PgWireBackendMessage,
        port: &mut ExchangePort<'_, S, L>,
    ) -> Result<(), ExchangeFault>
    where
        S: AsyncRead + AsyncWrite + Unpin,
        L: DatabaseLink,
    {
        use PgWireBackendMessage as Reply;
        let relayed = self.is_relayed();
        let completes_part = matches!(
            message,
            Reply::ParseComplete(_)
                | Reply::BindComplete(_)
                | Reply::CloseComplete(_)
                | Reply::NoData(_)
                | Reply::RowDescription(_)
                | Reply::EmptyQueryResponse(_)
                | Reply::PortalSuspended(_)
        );
        if completes_part {
            self.complete_part();
        }
        if relayed {
            self.relay(message, port).await?;
        }
        Ok(())
    }

    async fn handle_error<S, L>(
        &mut self,
        error: ErrorResponse,
        port: &mut ExchangePort<'_, S, L>,
    ) -> Result<(), ExchangeFault>
    where
        S: AsyncRead + AsyncWrite + Unpin,
        L: DatabaseLink,
    {
        let internal_value = matches!(
            self.steps.front(),
            Some(ExchangeStep::TransactionId | ExchangeStep::LogEnd)
        );
        self.skip_to_sync();
        if internal_value || self.failed {
            return Ok(());
        }
        self.failed = true;
        if self.defer_read_only_error
            && !self.relayed
            && sqlstate(&error) == Some(READ_ONLY_VIOLATION)
        {
            self.read_only_violation = true;
            return Ok(());
        }
        self.relay(PgWireBackendMessage::ErrorResponse(error), port)
            .await
    }

    /// Drops the steps up to the end of the batch, which the database skips after an error.
    fn skip_to_sync(&mut self) {
        if !matches!(self.steps.front(), Some(ExchangeStep::Part { .. })) {
            return;
        }
        while let Some(step) = self.steps.front() {
            match step {
                ExchangeStep::Part { .. } | ExchangeStep::Answer(_) => self.steps.pop_front(),
                _ => break,
            };
        }
    }

    fn complete_part(&mut self) {
        if let Some(ExchangeStep::Part { relayed }) = self.steps.front() {
            self.completed_parts += usize::from(*relayed);
            self.steps.pop_front();
        }
    }

    fn is_relayed(&self) -> bool {
        matches!(
            self.steps.front(),
            Some(ExchangeStep::CallerQuery | ExchangeStep::Part { relayed: true })
        )
    }

    fn read_value(&mut self, row: &DataRow) {
        let Some(value) = first_text(row) else {
            return;
        };
        match self.steps.front() {
            Some(ExchangeStep::TransactionId) => {
                self.transaction_id = match value {
                    None => Some(None),
                    Some(text) => text.parse().ok().map(Some),
                };
            }
            Some(ExchangeStep::LogEnd) => self.log_end = value.and_then(Position::parse),
            _ => {}
        }
    }

    async fn relay_deferred<S, L>(
        &mut self,
        port: &mut ExchangePort<'_, S, L>,
    ) -> Result<(), ExchangeFault>
    where
        S: AsyncRead + AsyncWrite + Unpin,
        L: DatabaseLink,
    {
        if self.read_only_violation {
            self.deferred.clear();
        }
        for message in std::mem::take(&mut self.deferred) {
            self.relayed = true;
            port.relay(message).await?;
        }
        Ok(())
    }

    async fn relay<S, L>(
        &mut self,
        message: PgWireBackendMessage,
        port: &mut ExchangePort<'_, S, L>,
    ) -> Result<(), ExchangeFault>
    where
        S: AsyncRead + AsyncWrite + Unpin,
        L: DatabaseLink,
    {
        let defer = self.defer_read_only_error && !self.relayed;
        if defer && is_preliminary(&message) {
            self.deferred.push(message);
            return Ok(());
        }
        self.relay_deferred(port).await?;
        self.relayed = true;
        if let Some(former) = self.withheld_completion.take() {
            port.relay(PgWireBackendMessage::CommandComplete(former))
                .await?;
        }
        port.relay(message).await
    }
}

/// Returns whether a message carries no result of an execution.
fn is_preliminary(message: &PgWireBackendMessage) -> bool {
    use PgWireBackendMessage as Reply;
    matches!(
        message,
        Reply::ParseComplete(_)
            | Reply::BindComplete(_)
            | Reply::CloseComplete(_)
            | Reply::ParameterDescription(_)
            | Reply::RowDescription(_)
            | Reply::NoData(_)
    )
}

fn sqlstate(error: &ErrorResponse) -> Option<&str> {
    let field = error.fields.iter().find(|(code, _)| *code == b'C');
    field.map(|(_, value)| value.as_str())
}

/// Reads the first column of a row in text format.
///
/// The inner `None` stands for null, the outer one for a malformed row.
fn first_text(row: &DataRow) -> Option<Option<&str>> {
    /// Length that represents null.
    const NULL_LENGTH: i32 = -1;

    let (length, rest) = row.data.split_first_chunk::<4>()?;
    let length = i32::from_be_bytes(*length);
    if length == NULL_LENGTH {
        return Some(None);
    }
    let text = rest.get(..usize::try_from(length).ok()?)?;
    std::str::from_utf8(text).ok().map(Some)
}
