//! One caller's session, from its start to its end.

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
        PreparedNames,
        PreparedShape,
        SessionValues, //
    }, //
};
use bytes::Bytes;
use daisyseam_member::RateGate;
use daisyseam_model::{
    ErrorKind,
    RequestError, //
};
use std::time::Duration;
use tokio::time::Instant;

/// Longest time until a caller says what session it wants.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait for a document that is current where no target is known.
const VIEW_WAIT: Duration = Duration::from_millis(200);

/// Serves a caller's connection to its end.
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
            prepared: PreparedNames::default(),
            floor: CommitFloor::default(),
        },
        transaction: None,
        idle_since: Instant::now(),
    };
    session.run(&mut stream).await;
    Box::pin(session.abandon()).await;
}

/// Lets a caller in or refuses it; returns nothing when the session is over.
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
    match admit_by_current(engine, &start).await {
        Ok(identity) => stream.opened().await.ok().map(|()| identity),
        Err(kind) => {
            stream.refuse(&kind.into()).await;
            None
        }
    }
}

/// Lets a caller in; a document that is out of date does not refuse it.
async fn admit_by_current<D, G>(
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
        Err(kind) if has_document && decides_by_document(kind) => {
            let until = Instant::now() + VIEW_WAIT;
            settings
                .cell
                .wait_until_current(&settings.timer, until)
                .await?;
            admit(engine, start)
        }
        admitted => admitted,
    }
}

/// Returns whether a refusal rests on what the document says of callers and services.
fn decides_by_document(kind: ErrorKind) -> bool {
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
    if engine.lease_loss.is_given_up() {
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

/// What a session keeps besides its transaction.
struct SessionCore<'e, D: DatabaseConnector, G> {
    engine: &'e EngineShared<D, G>,
    identity: CallerIdentity,
    values: SessionValues,
    prepared: PreparedNames,
    floor: CommitFloor,
}

/// What happens to a session between two requests.
enum SessionEvent {
    /// A request came, or one that cannot be understood.
    Request(Result<CallerRequest, RequestError>),
    /// Nothing more comes.
    End,
    /// The open transaction has been idle for too long.
    IdleOver,
    /// Nothing is open, and callers are better off at an instance that has a lease.
    Unleased,
    /// The instance is stopping and nothing is open any more, or has been for too long.
    Stopping,
}

impl<D: DatabaseConnector, G: RateGate> CallerSession<'_, D, G> {
    async fn run<S: CallerStream>(&mut self, stream: &mut S) {
        loop {
            let request = match self.next(stream).await {
                SessionEvent::Request(request) => request,
                SessionEvent::End => return,
                SessionEvent::IdleOver => {
                    Box::pin(self.expire_transaction()).await;
                    continue;
                }
                SessionEvent::Unleased => {
                    stream.close().await;
                    return;
                }
                SessionEvent::Stopping => {
                    self.leave(stream).await;
                    return;
                }
            };
            // On the heap only while it is served: most sessions are idle most of the time.
            let answer = Box::pin(self.serve(request)).await;
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

    /// Waits for what comes next; a request that is there already goes before a stop.
    async fn next<S: CallerStream>(&mut self, stream: &mut S) -> SessionEvent {
        let engine = self.core.engine;
        let settings = &engine.settings;
        let in_transaction = self.transaction.is_some();
        let idle_over = self.idle_over();
        tokio::select! {
            biased;
            request = stream.request() => match request {
                Ok(request) => SessionEvent::Request(request),
                Err(_) => SessionEvent::End,
            },
            () = settings.stop.stopped(), if !in_transaction => SessionEvent::Stopping,
            () = engine.lease_loss.given_up(&settings.timer), if !in_transaction => {
                SessionEvent::Unleased
            }
            () = engine.drain_over(), if in_transaction => SessionEvent::Stopping,
            () = settings.timer.at(idle_over.unwrap_or(self.idle_since)), if idle_over.is_some() => {
                SessionEvent::IdleOver
            }
        }
    }

    /// Ends the session for a stop of the instance.
    async fn leave<S: CallerStream>(&mut self, stream: &mut S) {
        match self.transaction.is_some() {
            true => stream.refuse(&ErrorKind::Stopping.into()).await,
            false => stream.close().await,
        }
    }

    async fn serve(&mut self, request: Result<CallerRequest, RequestError>) -> SessionAnswer {
        let result = match request {
            Ok(request) => self.serve_verb(request).await,
            Err(error) => self.unclear(error),
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
                let shape = self.core.shape(&name)?;
                let statement = Statement::Prepared(shape.clone(), arguments);
                self.statement(&id, shape.kind, statement).await
            }
            RequestVerb::Set { name, value } => {
                self.core.values.set(name, value);
                answer::local()
            }
            RequestVerb::Prepare { name, kind, shape } => {
                self.core
                    .prepared
                    .insert(name, PreparedShape { kind, shape });
                answer::local()
            }
            RequestVerb::Deallocate { name } => self.core.deallocate(&name),
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
            let words = "a transaction is open already";
            return Err(RequestError::new(ErrorKind::StatementUnclear, words));
        }
        let (rights, times) = self.core.rights().await?;
        self.core.admit(&rights, &times).await?;
        self.transaction = Some(OpenTransaction::new(mode, rights));
        answer::local()
    }

    /// Answers a request that cannot be understood; a failed transaction stays one.
    fn unclear(&self, error: RequestError) -> RunResult {
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
    /// Returns what the caller may do by a document that is current, and waits for one if need be;
    /// and the times of its request.
    async fn rights(&self) -> Result<(CallerRights, OperationTimes), RequestError> {
        let settings = &self.engine.settings;
        let began = Instant::now();
        if !settings.cell.held().is_current() {
            let known = self.identity.check(&settings.cell).ok();
            let until = known.map_or(began + VIEW_WAIT, |rights| {
                OperationTimes::since(began, &rights).admit().token
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

    /// Takes a token of the caller's rate.
    async fn admit(
        &self,
        rights: &CallerRights,
        times: &OperationTimes,
    ) -> Result<(), RequestError> {
        let gate = &self.engine.settings.gate;
        if let Some(organisation) = self.identity.organisation() {
            return gate.admit_within(organisation, times.admit()).await;
        }
        let document = rights.document();
        let limited = document
            .is_some_and(|document| document.open_routes.contains_key(&self.identity.service));
        match limited {
            true => {
                let service = &self.identity.service;
                gate.admit_open_within(service, times.admit()).await
            }
            false => Ok(()),
        }
    }

    fn shape(&self, name: &[u8]) -> Result<PreparedShape, RequestError> {
        let shape = self.prepared.get(name).cloned();
        shape.ok_or_else(|| ErrorKind::StatementUnknown.into())
    }

    fn deallocate(&mut self, name: &[u8]) -> RunResult {
        match self.prepared.remove(name) {
            true => answer::local(),
            false => Err(ErrorKind::StatementUnknown.into()),
        }
    }
}

/// Returns whether an answer is the last one of its session.
fn ends_session(answer: &SessionAnswer) -> bool {
    let error = answer.outcome.as_ref().err();
    error.is_some_and(|error| {
        matches!(
            error.kind,
            ErrorKind::KeyWithdrawn | ErrorKind::KeyRefused | ErrorKind::ProtocolViolation
        )
    })
}
