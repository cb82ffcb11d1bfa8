//! Messages sent to a database and what becomes of each answer.

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

/// One thing that was sent and whose answer is awaited.
#[derive(Debug)]
pub(super) enum ExchangeStep {
    /// A query of our own.
    Quiet,
    /// A query of our own that returns the transaction's id, or nothing.
    TransactionId,
    /// A query of our own that returns a log position.
    LogEnd,
    /// A query of the caller.
    Shown,
    /// A message of the extended protocol.
    Part {
        /// Whether the caller sees the answer.
        shown: bool,
    },
    /// The end of a batch.
    Sync,
    /// An answer that needs no database.
    Answer(PgWireBackendMessage),
}

/// What is awaited, and what has come of it.
#[derive(Debug)]
pub(super) struct Exchange {
    steps: VecDeque<ExchangeStep>,
    /// Whether the last `CommandComplete` is kept back.
    hold: bool,
    /// Whether a refusal for want of write access is kept from the caller.
    trial: bool,
    /// The `CommandComplete` that is kept back.
    pub(super) held: Option<CommandComplete>,
    /// Whether an error was answered.
    pub(super) failed: bool,
    /// Whether the database refused to write in a read-only transaction.
    pub(super) refused_read_only: bool,
    /// Whether anything went to the caller.
    pub(super) shown: bool,
    /// Answers without rows that wait until the first row shows that the request may stay.
    waiting: SmallVec<[PgWireBackendMessage; 4]>,
    /// Messages of the caller that were answered.
    pub(super) parts_done: usize,
    /// Transaction status that the database gave last.
    pub(super) status: TransactionStatus,
    /// Id of the transaction, if it was asked for, and if it has one.
    pub(super) transaction_id: Option<Option<u64>>,
    /// Log position, if it was asked for.
    pub(super) log_end: Option<Position>,
    /// Tag of the last query of our own.
    pub(super) quiet_tag: String,
}

impl Exchange {
    /// Makes an exchange with nothing awaited.
    pub(super) fn new() -> Self {
        Self {
            steps: VecDeque::new(),
            hold: false,
            trial: false,
            held: None,
            failed: false,
            refused_read_only: false,
            shown: false,
            waiting: SmallVec::new(),
            parts_done: 0,
            status: TransactionStatus::Idle,
            transaction_id: None,
            log_end: None,
            quiet_tag: String::new(),
        }
    }

    /// Keeps the last `CommandComplete` back until the commit is confirmed.
    pub(super) fn holding() -> Self {
        Self {
            hold: true,
            ..Self::new()
        }
    }

    /// Tells a refusal for want of write access to the session instead of the caller.
    pub(super) fn on_trial() -> Self {
        Self {
            trial: true,
            ..Self::new()
        }
    }

    /// Adds something whose answer is awaited.
    pub(super) fn expect(&mut self, step: ExchangeStep) {
        self.steps.push_back(step);
    }

    /// Relays answers until nothing is awaited.
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
                return self.show_waiting(port).await;
            }
            let message = port.receive().await?;
            self.take(message, port).await?;
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
                    self.parts_done += 1;
                    self.show(message, port).await?;
                }
                awaited => {
                    self.steps.push_front(awaited);
                    break;
                }
            }
        }
        Ok(())
    }

    async fn take<S, L>(
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
            Reply::ErrorResponse(error) => self.take_error(error, port).await,
            Reply::ParameterStatus(_) | Reply::NotificationResponse(_) => Ok(()),
            Reply::NoticeResponse(_) if !self.is_shown() => Ok(()),
            Reply::CopyInResponse(_) | Reply::CopyOutResponse(_) | Reply::CopyBothResponse(_) => {
                Err(LinkError("the database starts a copy".to_owned()).into())
            }
            Reply::DataRow(row) if !self.is_shown() => {
                self.take_value(&row);
                Ok(())
            }
            Reply::CommandComplete(complete) => self.take_complete(complete, port).await,
            other => self.take_other(other, port).await,
        }
    }

    fn end_query(&mut self) -> Result<(), ExchangeFault> {
        match self.steps.pop_front() {
            Some(ExchangeStep::Part { .. } | ExchangeStep::Answer(_)) | None => {
                Err(LinkError("the database is ready too early".to_owned()).into())
            }
            Some(_) => Ok(()),
        }
    }

    async fn take_complete<S, L>(
        &mut self,
        complete: CommandComplete,
        port: &mut ExchangePort<'_, S, L>,
    ) -> Result<(), ExchangeFault>
    where
        S: AsyncRead + AsyncWrite + Unpin,
        L: DatabaseLink,
    {
        if !self.is_shown() {
            self.quiet_tag = complete.tag;
            return Ok(());
        }
        self.end_part();
        if !self.hold {
            let message = PgWireBackendMessage::CommandComplete(complete);
            return self.show(message, port).await;
        }
        if let Some(former) = self.held.replace(complete) {
            // Not the last one, so it may go.
            let last = self.held.take();
            self.show(PgWireBackendMessage::CommandComplete(former), port)
                .await?;
            self.held = last;
        }
        Ok(())
    }

    async fn take_other<S, L>(
        &mut self,
        message: PgWireBackendMessage,
        port: &mut ExchangePort<'_, S, L>,
    ) -> Result<(), ExchangeFault>
    where
        S: AsyncRead + AsyncWrite + Unpin,
        L: DatabaseLink,
    {
        use PgWireBackendMessage as Reply;
        let shown = self.is_shown();
        let ends_part = matches!(
            message,
            Reply::ParseComplete(_)
                | Reply::BindComplete(_)
                | Reply::CloseComplete(_)
                | Reply::NoData(_)
                | Reply::RowDescription(_)
                | Reply::EmptyQueryResponse(_)
                | Reply::PortalSuspended(_)
        );
        if ends_part {
            self.end_part();
        }
        if shown {
            self.show(message, port).await?;
        }
        Ok(())
    }

    async fn take_error<S, L>(
        &mut self,
        error: ErrorResponse,
        port: &mut ExchangePort<'_, S, L>,
    ) -> Result<(), ExchangeFault>
    where
        S: AsyncRead + AsyncWrite + Unpin,
        L: DatabaseLink,
    {
        let own_value = matches!(
            self.steps.front(),
            Some(ExchangeStep::TransactionId | ExchangeStep::LogEnd)
        );
        self.skip_batch();
        if own_value || self.failed {
            return Ok(());
        }
        self.failed = true;
        if self.trial && !self.shown && sqlstate(&error) == Some(READ_ONLY_VIOLATION) {
            self.refused_read_only = true;
            return Ok(());
        }
        self.show(PgWireBackendMessage::ErrorResponse(error), port)
            .await
    }

    /// After an error the database answers nothing up to the end of the batch.
    fn skip_batch(&mut self) {
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

    fn end_part(&mut self) {
        if let Some(ExchangeStep::Part { shown }) = self.steps.front() {
            self.parts_done += usize::from(*shown);
            self.steps.pop_front();
        }
    }

    fn is_shown(&self) -> bool {
        matches!(
            self.steps.front(),
            Some(ExchangeStep::Shown | ExchangeStep::Part { shown: true })
        )
    }

    fn take_value(&mut self, row: &DataRow) {
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

    async fn show_waiting<S, L>(
        &mut self,
        port: &mut ExchangePort<'_, S, L>,
    ) -> Result<(), ExchangeFault>
    where
        S: AsyncRead + AsyncWrite + Unpin,
        L: DatabaseLink,
    {
        if self.refused_read_only {
            self.waiting.clear();
        }
        for message in std::mem::take(&mut self.waiting) {
            self.shown = true;
            port.show(message).await?;
        }
        Ok(())
    }

    async fn show<S, L>(
        &mut self,
        message: PgWireBackendMessage,
        port: &mut ExchangePort<'_, S, L>,
    ) -> Result<(), ExchangeFault>
    where
        S: AsyncRead + AsyncWrite + Unpin,
        L: DatabaseLink,
    {
        let early = self.trial && !self.shown;
        if early && is_preliminary(&message) {
            self.waiting.push(message);
            return Ok(());
        }
        self.show_waiting(port).await?;
        self.shown = true;
        if let Some(former) = self.held.take() {
            port.show(PgWireBackendMessage::CommandComplete(former))
                .await?;
        }
        port.show(message).await
    }
}

/// Returns whether a message says nothing of the data yet.
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

/// Reads the first column of a row in text format, which may be null; none if it is malformed.
fn first_text(row: &DataRow) -> Option<Option<&str>> {
    /// Length that stands for null.
    const NULL_LENGTH: i32 = -1;

    let (length, rest) = row.data.split_first_chunk::<4>()?;
    let length = i32::from_be_bytes(*length);
    if length == NULL_LENGTH {
        return Some(None);
    }
    let text = rest.get(..usize::try_from(length).ok()?)?;
    std::str::from_utf8(text).ok().map(Some)
}
