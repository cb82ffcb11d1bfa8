//! State of a caller's session and its message loop.

mod autocommit;
mod batch;
mod block;
mod commit;
mod idle;
mod local;
mod request;
mod send;
mod simple;

use self::{
    batch::MessageBatch,
    block::TransactionBlock, //
};
use super::{
    answer::{
        SendProgress,
        error_answer, //
    },
    cancel::CancelRegistration,
    classify::SessionSetting,
    codec::{
        CallerFrame,
        FrameError, //
    },
    exchange::CallerStream,
    identity::CallerIdentity,
    prepared::PreparedStatement,
    server::CallerShared,
    startup::StartupSettings, //
};
use crate::{
    LinkBroker,
    RateGate, //
};
use daisyseam_coord::floor::{
    GroupFloors,
    SessionFloor,
    TokenScope, //
};
use daisyseam_model::{
    ErrorKind,
    GroupId,
    LogPosition,
    RequestError,
    ViewNumber, //
};
use daisyseam_runtime::TraceContext;
use futures_util::SinkExt;
use pgwire::messages::{
    PgWireBackendMessage,
    PgWireFrontendMessage,
    response::ReadyForQuery,
    startup::ParameterStatus, //
};
use smallvec::SmallVec;
use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite, //
    },
    sync::watch,
    time::Instant, //
};

/// Name of the `ParameterStatus` parameter that reports the session token.
const SESSION_TOKEN_PARAMETER: &str = "daisyseam.session";

/// Session of an authenticated caller.
pub(super) struct CallerSession<B: LinkBroker, G, S> {
    pub(super) shared: Arc<CallerShared<B, G>>,
    pub(super) stream: CallerStream<S>,
    pub(super) cancel_registration: CancelRegistration,
    identity: CallerIdentity,
    view_changes: watch::Receiver<ViewNumber>,
    /// Group that serves the service, according to the view checked last.
    group: Option<GroupId>,
    floors: GroupFloors,
    /// Position of the floor in the session token reported last.
    reported_position: Option<LogPosition>,
    /// Whether a token supplied by the caller has raised the floor.
    floor_from_token: bool,
    replayed_settings: SmallVec<[ReplayedSetting; 2]>,
    max_age: Option<Duration>,
    trace: Option<TraceContext>,
    prepared_statements: HashMap<String, Arc<PreparedStatement>>,
    portals: HashMap<String, Arc<PreparedStatement>>,
    batch: MessageBatch,
    block: TransactionBlock<B::Link>,
    progress: SendProgress,
    /// Number of messages of the current unit that were answered, up to an error if there was one.
    completed_parts: usize,
    /// When and why the session closes, if that is planned.
    planned_close: Option<PlannedClose>,
    /// Whether the caller has sent a message since it logged in.
    message_received: bool,
}

/// A database setting that is applied again in each transaction, since a session does not keep
/// one database connection.
#[derive(Clone, Debug)]
struct ReplayedSetting {
    name: String,
    value: String,
}

/// When and why a session closes.
#[derive(Clone, Copy, Debug)]
struct PlannedClose {
    /// From this time on, the session closes together with its next answer.
    due: Instant,
    /// Time at which an idle session closes.
    deadline: Instant,
    kind: ErrorKind,
}

/// Why a request failed.
#[derive(Debug)]
enum RequestFailure {
    /// The error is reported to the caller.
    Refused(RequestError),
    /// The connection is closed without a report.
    Closed,
}

impl From<ErrorKind> for RequestFailure {
    fn from(kind: ErrorKind) -> Self {
        Self::Refused(kind.into())
    }
}

impl From<RequestError> for RequestFailure {
    fn from(error: RequestError) -> Self {
        Self::Refused(error)
    }
}

impl From<FrameError> for RequestFailure {
    fn from(error: FrameError) -> Self {
        match error {
            FrameError::Io(_) => Self::Closed,
            FrameError::Request(error) => Self::Refused(error),
        }
    }
}

impl<B, G, S> CallerSession<B, G, S>
where
    B: LinkBroker,
    G: RateGate,
    S: AsyncRead + AsyncWrite + Unpin,
{
    /// Creates the session of an authenticated caller.
    pub(super) fn new(
        stream: CallerStream<S>,
        shared: Arc<CallerShared<B, G>>,
        identity: CallerIdentity,
        cancel_registration: CancelRegistration,
    ) -> Self {
        Self {
            view_changes: shared.views.subscribe(),
            shared,
            stream,
            cancel_registration,
            identity,
            group: None,
            floors: GroupFloors::default(),
            reported_position: None,
            floor_from_token: false,
            replayed_settings: SmallVec::new(),
            max_age: None,
            trace: None,
            prepared_statements: HashMap::new(),
            portals: HashMap::new(),
            batch: MessageBatch::default(),
            block: TransactionBlock::Idle,
            progress: SendProgress::Unsent,
            completed_parts: 0,
            planned_close: None,
            message_received: false,
        }
    }

    /// Applies the settings of the startup packet.
    ///
    /// # Errors
    ///
    /// Fails if the caller is no longer admitted or a setting is invalid, such as a token.
    pub(super) fn apply_startup_settings(
        &mut self,
        settings: StartupSettings,
    ) -> Result<(), RequestError> {
        let (_, group) = self.identity.check(&self.shared.context.view)?;
        self.group = Some(group);
        self.trace = settings.trace;
        for setting in settings.settings {
            self.apply_setting(setting)?;
        }
        Ok(())
    }

    /// Serves the caller until either side closes the connection.
    pub(super) async fn run(&mut self) {
        let mut result = self.send_ready().await;
        while result.is_ok() {
            result = match self.next_frame().await {
                Ok(frame) => Box::pin(self.handle_frame(frame)).await,
                Err(failure) => Err(failure),
            };
        }
        if let Err(RequestFailure::Refused(error)) = result {
            self.send_fatal_error(&error).await;
        }
        self.roll_back_abandoned_block().await;
    }

    async fn handle_frame(&mut self, frame: CallerFrame) -> Result<(), RequestFailure> {
        self.progress = SendProgress::Unsent;
        let message = match frame {
            CallerFrame::Message(message) => message,
            CallerFrame::Refused {
                extended: true,
                error,
            } => {
                self.batch.fail(error);
                return Ok(());
            }
            CallerFrame::Refused { error, .. } => {
                return self.finish_request(Err(error.into())).await;
            }
        };
        match message {
            PgWireFrontendMessage::Query(query) => {
                let result = self.run_query(query.query).await;
                self.finish_request(result).await
            }
            PgWireFrontendMessage::Sync(_) => self.sync().await,
            PgWireFrontendMessage::Flush(_) => self.flush().await,
            PgWireFrontendMessage::Terminate(_) => Err(RequestFailure::Closed),
            // A client that assumes that its rejected COPY started may still send these.
            PgWireFrontendMessage::CopyData(_)
            | PgWireFrontendMessage::CopyDone(_)
            | PgWireFrontendMessage::CopyFail(_) => Ok(()),
            message if message.is_extended_query() => self.add_to_batch(message),
            _ => {
                let detail = "unexpected message type";
                Err(RequestError::new(ErrorKind::ProtocolViolation, detail).into())
            }
        }
    }

    /// Ends a request: reports its error, if any, and sends `ReadyForQuery`.
    async fn finish_request(
        &mut self,
        result: Result<(), RequestFailure>,
    ) -> Result<(), RequestFailure> {
        if let Err(failure) = result {
            self.report_failure(failure).await?;
        }
        self.send_ready().await
    }

    /// Reports an error to the caller; returns an error that closes the connection.
    async fn report_failure(&mut self, failure: RequestFailure) -> Result<(), RequestFailure> {
        let RequestFailure::Refused(mut error) = failure else {
            return Err(failure);
        };
        error.kind = self.progress.reportable_kind(error.kind);
        if error.kind.row().closes {
            return Err(RequestFailure::Refused(error));
        }
        self.shared.count_error(error.kind);
        self.block.fail();
        let answer = error_answer(&error, self.progress);
        self.stream.feed(answer).await?;
        Ok(())
    }

    /// Sends `ReadyForQuery`, preceded by the session token if it changed.
    async fn send_ready(&mut self) -> Result<(), RequestFailure> {
        self.report_session_token().await?;
        let ready = ReadyForQuery::new(self.block.status());
        let message = PgWireBackendMessage::ReadyForQuery(ready);
        self.stream.feed(message).await?;
        Ok(())
    }

    async fn report_session_token(&mut self) -> Result<(), RequestFailure> {
        let floor = self.floor();
        if floor.position() == self.reported_position {
            return Ok(());
        }
        let Some(token) = self.token_scope().and_then(|scope| floor.token(scope)) else {
            return Ok(());
        };
        let status = ParameterStatus::new(SESSION_TOKEN_PARAMETER.to_owned(), token);
        self.stream
            .feed(PgWireBackendMessage::ParameterStatus(status))
            .await?;
        self.reported_position = floor.position();
        Ok(())
    }

    /// Returns the floor in the group that serves the service.
    fn floor(&self) -> SessionFloor {
        let group = self.group.as_ref();
        group.map_or_else(SessionFloor::default, |group| self.floors.floor(group))
    }

    fn token_scope(&self) -> Option<TokenScope<'_>> {
        Some(TokenScope {
            cluster: &self.shared.context.cluster,
            organisation: self.identity.organisation(),
            group: self.group.as_ref()?,
        })
    }

    /// Applies a setting to the session.
    fn apply_setting(&mut self, setting: SessionSetting) -> Result<(), RequestError> {
        match setting {
            SessionSetting::Replayed { .. } if self.identity.keyed.is_none() => {
                // With another search path, the open table names could refer to other tables.
                let detail = "database settings cannot be changed on an open route";
                return Err(RequestError::new(ErrorKind::OpenRouteDenied, detail));
            }
            SessionSetting::Replayed { name, value } => {
                self.replayed_settings
                    .retain(|replayed| replayed.name != name);
                self.replayed_settings.push(ReplayedSetting { name, value });
            }
            SessionSetting::MaxAge(age) => self.max_age = age,
            SessionSetting::Token(token) => self.accept_token(&token)?,
            SessionSetting::ApplicationName(_) | SessionSetting::NoChange => {}
        }
        Ok(())
    }

    fn accept_token(&mut self, token: &str) -> Result<(), RequestError> {
        let known = self.floor();
        let mut floor = known;
        let accepted = match self.token_scope() {
            Some(scope) => floor.accept(token, scope),
            None => return Err(ErrorKind::UnknownService.into()),
        };
        accepted.map_err(|error| RequestError::new(ErrorKind::InvalidToken, error.to_string()))?;
        self.check_token_term(floor)?;
        self.floor_from_token |= floor != known;
        if let Some(group) = &self.group {
            *self.floors.floor_mut(group) = floor;
        }
        Ok(())
    }

    /// Rejects a position in a term later than the current one.
    fn check_token_term(&self, floor: SessionFloor) -> Result<(), RequestError> {
        let held = self.shared.context.view.held();
        let group = self
            .group
            .as_ref()
            .and_then(|name| held.view.groups.get(name));
        let future = match (floor.position(), group) {
            (Some(position), Some(group)) => position.term > group.term,
            _ => false,
        };
        if future {
            let detail = "the token refers to a term that is later than the current one";
            return Err(RequestError::new(ErrorKind::InvalidToken, detail));
        }
        Ok(())
    }
}
