//! The lifecycle of a caller's session.

mod answer;
mod floor;
mod single;
mod transaction;

use self::{
    answer::RunResult,
    floor::CommitFloor,
    transaction::OpenTransaction, //
};
use crate::{
    CallerRequest,
    CallerStream,
    DatabaseConnector,
    RequestVerb,
    SessionAnswer,
    SessionStart,
    StatementKind,
    TransactionMode,
    TransactionState,
    attempt::Statement,
    counters,
    engine::EngineShared,
    identity::{
        CallerIdentity,
        CallerRights, //
    },
    times::OperationTimes,
    values::{
        PreparedStatement,
        PreparedStatements,
        SessionValues, //
    }, //
};
use bytes::Bytes;
use daisyseam_coord::quota::RateKey;
use daisyseam_member::{
    AdmissionDeadlines,
    RateGate, //
};
use daisyseam_model::{
    ErrorKind,
    RequestError, //
};
use std::time::Duration;
use tokio::time::Instant;

/// Longest wait for a caller's start message.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait for a current document when the target latency is not known.
const CURRENT_VIEW_TIMEOUT: Duration = Duration::from_millis(200);

/// Serves a caller's connection until it ends.
pub(crate) async fn serve<D, G, S>(engine: &EngineShared<D, G>, mut stream: S)
where
    D: DatabaseConnector,
    G: RateGate,
    S: CallerStream,
{
    let identity = match start(engine, &mut stream).await {
        Some(identity) => identity,
        None => return,
    };
    let mut session = CallerSession {
        core: SessionCore {
            engine,
            identity,
            values: SessionValues::default(),
            prepared: PreparedStatements::default(),
            floor: CommitFloor::default(),
        },
        transaction: None,
        idle_since: Instant::now(),
    };
    session.run(&mut stream).await;
    Box::pin(session.abandon()).await;
}

/// Accepts or refuses a caller; returns `None` if there is no session to serve.
async fn start<D, G, S>(engine: &EngineShared<D, G>, stream: &mut S) -> Option<CallerIdentity>
where
    D: DatabaseConnector,
    G: RateGate,
    S: CallerStream,
{
    let settings = &engine.settings;
    let until = Instant::now() + START_TIMEOUT;
    let start = tokio::select! {
        biased;
        start = settings.timer.within(until, stream.start()) => start,
        () = settings.stop.stopped() => None,
    };
    let Some(start) = start else {
        stream.close().await;
        return None;
    };
    let start = start.ok()?;
    match admit_with_current_document(engine, &start).await {
        Ok(identity) => stream.opened().await.ok().map(|()| identity),
        Err(kind) => {
            stream.refuse(&kind.into()).await;
            None
        }
    }
}

/// Admits a caller. A refusal by an outdated document is checked again against a current one.
async fn admit_with_current_document<D, G>(
    engine: &EngineShared<D, G>,
    start: &SessionStart,
) -> Result<CallerIdentity, ErrorKind>
where
    D: DatabaseConnector,
    G: RateGate,
{
    let settings = &engine.settings;
    let has_document = settings.cell.held().view.document.is_some();
    match admit(engine, start) {
        Err(kind) if has_document && depends_on_document(kind) => {
            let until = Instant::now() + CURRENT_VIEW_TIMEOUT;
            settings
                .cell
                .wait_until_current(&settings.timer, until)
                .await?;
            admit(engine, start)
        }
        admitted => admitted,
    }
}

/// Returns whether a refusal depends on the callers and services listed in the document.
fn depends_on_document(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::UnknownService | ErrorKind::KeyRefused | ErrorKind::ServiceDenied
    )
}

fn admit<D, G>(
    engine: &EngineShared<D, G>,
    start: &SessionStart,
) -> Result<CallerIdentity, ErrorKind>
where
    D: DatabaseConnector,
    G: RateGate,
{
    if engine.settings.stop.is_stopping() {
        return Err(ErrorKind::Stopping);
    }
    if engine.lease_loss.is_grace_over(&engine.settings.cell) {
        return Err(ErrorKind::NoView);
    }
    let held = engine.settings.cell.held();
    let limits = held.view.document.as_ref().map(|document| &document.limits);
    let full =
        limits.is_some_and(|limits| engine.open_sessions() > limits.connections_per_instance);
    match full {
        true => Err(ErrorKind::TooManyConnections),
        false => CallerIdentity::admit(&engine.settings.cell, start),
    }
}

/// One caller's session.
struct CallerSession<'e, D: DatabaseConnector, G> {
    core: SessionCore<'e, D, G>,
    transaction: Option<OpenTransaction<D::Connection>>,
    idle_since: Instant,
}

/// Session state other than the open transaction.
struct SessionCore<'e, D: DatabaseConnector, G> {
    engine: &'e EngineShared<D, G>,
    identity: CallerIdentity,
    values: SessionValues,
    prepared: PreparedStatements,
    floor: CommitFloor,
}

/// An event that a session handles between two requests.
enum SessionEvent {
    /// A request was received, or one that could not be parsed.
    Request(Result<CallerRequest, RequestError>),
    /// The caller sends no more requests.
    End,
    /// The open transaction reached its idle timeout.
    IdleTimeout,
    /// The instance has lost its lease and no transaction is open; the caller should reconnect to
    /// another instance.
    LeaseLost,
    /// The instance is stopping, and no transaction is open or the drain time is over.
    Stopping,
}

impl<D: DatabaseConnector, G: RateGate> CallerSession<'_, D, G> {
    async fn run<S: CallerStream>(&mut self, stream: &mut S) {
        loop {
            let request = match self.next(stream).await {
                SessionEvent::Request(request) => request,
                SessionEvent::End => return,
                SessionEvent::IdleTimeout => {
                    Box::pin(self.expire_transaction()).await;
                    continue;
                }
                SessionEvent::LeaseLost => {
                    stream.close().await;
                    return;
                }
                SessionEvent::Stopping => {
                    self.close_for_stop(stream).await;
                    return;
                }
            };
            // Boxed so that an idle session does not hold memory for this future; most sessions are
            // idle most of the time.
            let answer = Box::pin(self.serve(request)).await;
            if !stream.retain(self.core.retained_bytes()) {
                stream.refuse(&ErrorKind::QueueFull.into()).await;
                return;
            }
            if stream.answer(&answer).await.is_err() {
                return;
            }
            if ends_session(&answer) {
                stream.close().await;
                return;
            }
            self.idle_since = Instant::now();
        }
    }

    /// Waits for the next event; a request that has arrived takes precedence over a stop.
    async fn next<S: CallerStream>(&mut self, stream: &mut S) -> SessionEvent {
        let engine = self.core.engine;
        let settings = &engine.settings;
        let in_transaction = self.transaction.is_some();
        let idle_deadline = self.idle_deadline();
        tokio::select! {
            biased;
            request = stream.request() => match request {
                Ok(request) => SessionEvent::Request(request),
                Err(_) => SessionEvent::End,
            },
            () = settings.stop.stopped(), if !in_transaction => SessionEvent::Stopping,
            () = engine.lease_loss.grace_over(&settings.cell, &settings.timer), if !in_transaction => {
                SessionEvent::LeaseLost
            }
            () = engine.drain_ended(), if in_transaction => SessionEvent::Stopping,
            () = settings.timer.at(idle_deadline.unwrap_or(self.idle_since)), if idle_deadline.is_some() => {
                SessionEvent::IdleTimeout
            }
        }
    }

    /// Ends the session because the instance is stopping.
    async fn close_for_stop<S: CallerStream>(&mut self, stream: &mut S) {
        match self.transaction.is_some() {
            true => stream.refuse(&ErrorKind::Stopping.into()).await,
            false => stream.close().await,
        }
    }

    async fn serve(&mut self, request: Result<CallerRequest, RequestError>) -> SessionAnswer {
        let result = match request {
            Ok(request) => self.serve_verb(request).await,
            Err(error) => self.reject_unparsed(error),
        };
        let metrics = &self.core.engine.settings.metrics;
        metrics.count(match &result {
            Ok(_) => counters::ANSWERED,
            Err(error) => error.kind.row().label,
        });
        answer::of(result, self.state())
    }

    async fn serve_verb(&mut self, request: CallerRequest) -> RunResult {
        let CallerRequest { id, verb } = request;
        match verb {
            RequestVerb::Commit => self.commit(&id).await,
            RequestVerb::Rollback => self.roll_back(&id).await,
            _ if self.state() == TransactionState::Failed => {
                Err(ErrorKind::TransactionAborted.into())
            }
            RequestVerb::Begin(mode) => self.begin(mode).await,
            RequestVerb::Run { kind, text } => {
                self.statement(&id, kind, Statement::Text(text)).await
            }
            RequestVerb::Execute { name, arguments } => {
                let prepared = self.core.prepared_statement(&name)?;
                let statement = Statement::Prepared(prepared.clone(), arguments);
                self.statement(&id, prepared.kind, statement).await
            }
            RequestVerb::Set { name, value } => {
                self.core.check_known_key()?;
                self.core.values.set(name, value);
                answer::without_database()
            }
            RequestVerb::Prepare { name, kind, text } => {
                self.core.check_known_key()?;
                self.core
                    .prepared
                    .insert(name, PreparedStatement { kind, text });
                answer::without_database()
            }
            RequestVerb::Deallocate { name } => {
                self.core.check_known_key()?;
                self.core.deallocate(&name)
            }
        }
    }

    async fn statement(
        &mut self,
        id: &Bytes,
        kind: StatementKind,
        statement: Statement,
    ) -> RunResult {
        if self.transaction.is_some() {
            return self.run_in_transaction(id, kind, &statement).await;
        }
        let (rights, times) = self.core.rights().await?;
        self.core.admit(&rights, &times).await?;
        match kind {
            StatementKind::Read => self.core.read(id, &statement, &rights, &times).await,
            StatementKind::Write => self.core.write(id, &statement, &rights, &times).await,
        }
    }

    async fn begin(&mut self, mode: TransactionMode) -> RunResult {
        if self.transaction.is_some() {
            let message = "a transaction is already open";
            return Err(RequestError::new(ErrorKind::StatementUnclear, message));
        }
        let (rights, times) = self.core.rights().await?;
        self.core.admit(&rights, &times).await?;
        self.transaction = Some(OpenTransaction::new(mode, rights));
        answer::without_database()
    }

    /// Returns the result for a request that could not be parsed; in a failed transaction this is
    /// the same error as for any other request.
    fn reject_unparsed(&self, error: RequestError) -> RunResult {
        match self.state() {
            TransactionState::Failed => Err(ErrorKind::TransactionAborted.into()),
            TransactionState::Idle | TransactionState::Open => Err(error),
        }
    }

    fn state(&self) -> TransactionState {
        let transaction = self.transaction.as_ref();
        transaction.map_or(TransactionState::Idle, OpenTransaction::state)
    }
}

impl<D: DatabaseConnector, G: RateGate> SessionCore<'_, D, G> {
    /// Checks the caller against a current document, waiting for one if necessary, and returns its
    /// rights and the time limits of the request.
    async fn rights(&self) -> Result<(CallerRights, OperationTimes), RequestError> {
        let settings = &self.engine.settings;
        let began = Instant::now();
        if !settings.cell.held().is_current() {
            let known = self.identity.check(&settings.cell).ok();
            let until = known.map_or(began + CURRENT_VIEW_TIMEOUT, |rights| {
                self.admission_deadlines(&OperationTimes::since(began, &rights))
                    .token
            });
            settings
                .cell
                .wait_until_current(&settings.timer, until)
                .await?;
        }
        let rights = self.identity.check(&settings.cell)?;
        let times = OperationTimes::since(began, &rights);
        Ok((rights, times))
    }

    /// Checks the caller's key against a current document, for a request of an open transaction.
    /// The service stays as it was at begin.
    async fn check_key(&self, times: &OperationTimes) -> Result<(), RequestError> {
        let settings = &self.engine.settings;
        if self.identity.organisation().is_some() {
            let until = self.admission_deadlines(times).token;
            settings
                .cell
                .wait_until_current(&settings.timer, until)
                .await?;
        }
        Ok(self.identity.check_key(&settings.cell)?)
    }

    /// Checks the caller's key against the document held here, current or not, for a request that no
    /// database is needed for.
    fn check_known_key(&self) -> Result<(), RequestError> {
        Ok(self.identity.check_key(&self.engine.settings.cell)?)
    }

    fn admission_deadlines(&self, times: &OperationTimes) -> AdmissionDeadlines {
        let pool = &self.engine.pool;
        times.admit(pool.queue_rule(), pool.most_urgent())
    }

    /// Takes a token from the caller's rate limit.
    async fn admit(
        &self,
        rights: &CallerRights,
        times: &OperationTimes,
    ) -> Result<(), RequestError> {
        if let Some(organisation) = self.identity.organisation() {
            let key = RateKey::Organisation(organisation.clone());
            return self
                .engine
                .admit(key, self.admission_deadlines(times))
                .await;
        }
        let document = rights.document();
        let limited = document
            .is_some_and(|document| document.open_routes.contains_key(&self.identity.service));
        match limited {
            true => {
                let key = RateKey::Open(self.identity.service.clone());
                self.engine
                    .admit(key, self.admission_deadlines(times))
                    .await
            }
            false => Ok(()),
        }
    }

    /// Returns the bytes that the session keeps between requests at the caller's wish.
    fn retained_bytes(&self) -> usize {
        self.values.bytes() + self.prepared.bytes()
    }

    fn prepared_statement(&self, name: &[u8]) -> Result<PreparedStatement, RequestError> {
        let prepared = self.prepared.get(name).cloned();
        prepared.ok_or_else(|| ErrorKind::StatementUnknown.into())
    }

    fn deallocate(&mut self, name: &[u8]) -> RunResult {
        match self.prepared.remove(name) {
            true => answer::without_database(),
            false => Err(ErrorKind::StatementUnknown.into()),
        }
    }
}

/// Returns whether the session ends with this answer.
fn ends_session(answer: &SessionAnswer) -> bool {
    let error = answer.outcome.as_ref().err();
    error.is_some_and(|error| {
        matches!(
            error.kind,
            ErrorKind::KeyWithdrawn | ErrorKind::KeyRefused | ErrorKind::ProtocolViolation
        )
    })
}
