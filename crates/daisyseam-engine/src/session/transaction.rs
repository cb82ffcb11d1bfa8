//! Transactions. Begin is answered locally; a database is involved from the first statement on.

use super::{
    CallerSession,
    SessionCore,
    answer::{
        self,
        RunAnswer,
        RunResult,
        TryOutcome, //
    },
    single::{
        MAX_ATTEMPTS,
        unconfirmed, //
    }, //
};
use crate::{
    DatabaseConnection,
    DatabaseConnector,
    DatabaseReply,
    RefusalKind,
    StatementKind,
    TransactionMode,
    TransactionState,
    attempt::{
        AttemptContext,
        AttemptError,
        Fence,
        Statement, //
    },
    identity::CallerRights,
    link::{
        DatabaseLink,
        LinkCall,
        LinkVerb, //
    },
    route::{
        PrimaryUse,
        ReadFloor,
        Route,
        TriedUpstreams, //
    },
    times::{
        OperationTimes,
        idle_limit, //
    },
    writers::WriterGuard, //
};
use bytes::Bytes;
use daisyseam_member::RateGate;
use daisyseam_model::{
    ErrorKind,
    LogPosition,
    RequestError, //
};
use std::time::Duration;
use tokio::time::Instant;

/// Longest wait for a rollback before the connection is closed instead.
const ROLL_BACK_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of times that a commit is sent to a database that reports to be busy.
const MAX_COMMIT_ATTEMPTS: usize = 3;

/// The open transaction of a session.
pub(super) struct OpenTransaction<C: DatabaseConnection> {
    mode: TransactionMode,
    /// Rights at the time of begin; changes to the service apply from the next transaction on, but
    /// a withdrawn key counts at once.
    rights: CallerRights,
    stage: Stage<C>,
}

enum Stage<C: DatabaseConnection> {
    /// It has not been started on a database.
    Pending,
    /// It is open on a database.
    Running(RunningTransaction<C>),
    /// It has failed and can only be rolled back; holds the connection if it is still open on a
    /// database.
    Failed(Option<RunningTransaction<C>>),
}

/// A transaction that is open on a database.
struct RunningTransaction<C: DatabaseConnection> {
    link: DatabaseLink<C>,
    route: Route,
    wrote: bool,
    /// Counts the transaction until the connection is closed or returned to the pool.
    writer_guard: Option<WriterGuard>,
}

impl<C: DatabaseConnection> OpenTransaction<C> {
    pub(super) fn new(mode: TransactionMode, rights: CallerRights) -> Self {
        Self {
            mode,
            rights,
            stage: Stage::Pending,
        }
    }

    pub(super) fn state(&self) -> TransactionState {
        match self.stage {
            Stage::Pending | Stage::Running(_) => TransactionState::Open,
            Stage::Failed(_) => TransactionState::Failed,
        }
    }

    /// Returns whether the idle timeout applies: the transaction holds a connection or may get one.
    fn has_idle_timeout(&self) -> bool {
        !matches!(self.stage, Stage::Failed(None))
    }
}

impl<C: DatabaseConnection> RunningTransaction<C> {
    /// Returns the connection to the pool after the transaction was rolled back.
    fn release_rolled_back(self) {
        self.link.release_after_transaction(false);
        drop(self.writer_guard);
    }
}

impl<D: DatabaseConnector, G: RateGate> CallerSession<'_, D, G> {
    /// Returns when the open transaction reaches its idle timeout.
    pub(super) fn idle_deadline(&self) -> Option<Instant> {
        let transaction = self.transaction.as_ref()?;
        let limit = idle_limit(&transaction.rights);
        transaction
            .has_idle_timeout()
            .then(|| self.idle_since + limit)
    }

    /// Rolls back an idle transaction; the caller gets the error with its next request.
    pub(super) async fn expire_transaction(&mut self) {
        if let Some(transaction) = &mut self.transaction {
            let stage = std::mem::replace(&mut transaction.stage, Stage::Failed(None));
            self.core.abandon(stage).await;
        }
    }

    /// Rolls back what a caller left open.
    pub(super) async fn abandon(&mut self) {
        if let Some(transaction) = self.transaction.take() {
            self.core.abandon(transaction.stage).await;
        }
    }

    /// Runs a statement of the open transaction.
    pub(super) async fn run_in_transaction(
        &mut self,
        id: &Bytes,
        kind: StatementKind,
        statement: &Statement,
    ) -> RunResult {
        let Some(mut transaction) = self.transaction.take() else {
            return Err(ErrorKind::TransactionAborted.into());
        };
        let times = OperationTimes::start(&transaction.rights);
        let stage = std::mem::replace(&mut transaction.stage, Stage::Failed(None));
        if !matches!(stage, Stage::Failed(_))
            && let Err(error) = self.core.check_key(&times).await
        {
            self.core.abandon(stage).await;
            self.transaction = Some(transaction);
            return Err(error);
        }
        let running = match stage {
            Stage::Pending => {
                let OpenTransaction { mode, rights, .. } = &transaction;
                self.core.begin_at(*mode, rights, &times).await
            }
            Stage::Running(running) if self.core.is_evacuation_grace_over(&running) => {
                Err(ErrorKind::TransactionLost.into())
            }
            Stage::Running(running) => Ok(running),
            Stage::Failed(running) => {
                transaction.stage = Stage::Failed(running);
                self.transaction = Some(transaction);
                return Err(ErrorKind::TransactionAborted.into());
            }
        };
        let result = match running {
            Ok(running) => {
                let (stage, result) = self
                    .core
                    .run_statement(running, id, kind, statement, &times)
                    .await;
                transaction.stage = stage;
                result
            }
            Err(error) => Err(error),
        };
        self.transaction = Some(transaction);
        result
    }

    /// Commits the open transaction.
    pub(super) async fn commit(&mut self, id: &Bytes) -> RunResult {
        let transaction = self.transaction.take().ok_or_else(no_transaction)?;
        let times = OperationTimes::start(&transaction.rights);
        if !matches!(transaction.stage, Stage::Failed(_))
            && let Err(error) = self.core.check_key(&times).await
        {
            self.core.abandon(transaction.stage).await;
            return Err(error);
        }
        match transaction.stage {
            Stage::Pending => answer::without_database(),
            Stage::Running(running) if self.core.is_evacuation_grace_over(&running) => {
                Err(ErrorKind::TransactionLost.into())
            }
            Stage::Running(running) => self.core.commit_at(running, id, &times).await,
            Stage::Failed(running) => {
                if let Some(running) = running {
                    self.core.roll_back_at(running, None).await;
                }
                Err(ErrorKind::TransactionLost.into())
            }
        }
    }

    /// Rolls back the open transaction.
    pub(super) async fn roll_back(&mut self, id: &Bytes) -> RunResult {
        let transaction = self.transaction.take().ok_or_else(no_transaction)?;
        match transaction.stage {
            Stage::Running(running) | Stage::Failed(Some(running)) => {
                Ok(self.core.roll_back_at(running, Some(id)).await)
            }
            Stage::Pending | Stage::Failed(None) => answer::without_database(),
        }
    }
}

impl<D: DatabaseConnector, G: RateGate> SessionCore<'_, D, G> {
    /// Begins the transaction on a database; no statement is sent before begin has succeeded.
    async fn begin_at(
        &self,
        mode: TransactionMode,
        rights: &CallerRights,
        times: &OperationTimes,
    ) -> Result<RunningTransaction<D::Connection>, RequestError> {
        self.engine.retries.lock().count_request();
        let floor = match mode {
            TransactionMode::ReadWrite => ReadFloor::default(),
            TransactionMode::ReadOnly => self.read_floor(rights, times),
        };
        let mut tried = TriedUpstreams::new();
        let mut last_error: Option<RequestError> = None;
        while tried.len() < MAX_ATTEMPTS {
            let group = &rights.service.group;
            let route = match mode {
                TransactionMode::ReadOnly => self.read_route(group, floor, &tried, times).await,
                TransactionMode::ReadWrite => {
                    self.primary_route(group, PrimaryUse::Writes, &tried, times)
                        .await
                }
            };
            let route = match route {
                Ok(route) => route,
                Err(kind) => return Err(last_error.unwrap_or_else(|| kind.into())),
            };
            tried.push(route.upstream.clone());
            let outcome = match self.try_begin(route, mode, floor, times).await {
                Ok(running) => return Ok(running),
                Err(outcome) => outcome,
            };
            let overload = outcome.overload();
            let error = outcome.retry_read()?;
            if Instant::now() >= times.deadline()
                || !self.may_retry_read(overload, group, floor, &tried)
            {
                return Err(error);
            }
            last_error = Some(error);
        }
        Err(last_error.unwrap_or_else(|| ErrorKind::UpstreamUnreachable.into()))
    }

    /// Begins the transaction on one database. Nothing can have been written before begin
    /// succeeds, so a failed begin is retried like a read.
    async fn try_begin(
        &self,
        mut route: Route,
        mode: TransactionMode,
        floor: ReadFloor,
        times: &OperationTimes,
    ) -> Result<RunningTransaction<D::Connection>, TryOutcome> {
        // A transaction that may write begins only on a primary.
        if mode == TransactionMode::ReadOnly {
            let check = self.check_reader(&route, floor, times).await;
            if let Some(refusal) = check.map_err(TryOutcome::NoReply)? {
                return Err(TryOutcome::of(Ok(refusal), StatementKind::Read));
            }
        }
        let at_least = self.at_least(&route, floor);
        let term = route.term.filter(|_| mode == TransactionMode::ReadWrite);
        let writer_guard = term.map(|term| self.engine.writers.start(&route.group, term));
        let begun = self.send_begin(&route, mode, at_least, times).await;
        let (link, reply) = begun.map_err(TryOutcome::NoReply)?;
        let state = reply.state;
        match TryOutcome::of(Ok(reply), StatementKind::Read) {
            TryOutcome::Done(..) if state == TransactionState::Open => {
                // A read-only transaction sees the snapshot of its begin, so a later change of
                // primary does not affect it.
                route.term = term;
                Ok(RunningTransaction {
                    link,
                    route,
                    wrote: false,
                    writer_guard,
                })
            }
            TryOutcome::Done(..) => Err(TryOutcome::NoReply(AttemptError::Unreachable)),
            outcome => {
                if state == TransactionState::Idle {
                    link.release();
                }
                Err(outcome)
            }
        }
    }

    async fn send_begin(
        &self,
        route: &Route,
        mode: TransactionMode,
        at_least: Option<LogPosition>,
        times: &OperationTimes,
    ) -> Result<(DatabaseLink<D::Connection>, DatabaseReply), AttemptError> {
        let context = self.attempt_context(route, times);
        let mut link = self.engine.connect(context).await?;
        let call = LinkCall {
            id: None,
            at_least,
            in_transaction: false,
            fence: match mode {
                TransactionMode::ReadOnly => Fence::NewReads,
                TransactionMode::ReadWrite => Fence::NewWrites,
            },
            verb: LinkVerb::Begin(mode),
        };
        let reply = self.engine.run(&mut link, context, call).await?;
        Ok((link, reply))
    }

    /// Runs a statement in an open transaction; returns the transaction's next stage.
    async fn run_statement(
        &self,
        mut running: RunningTransaction<D::Connection>,
        id: &Bytes,
        kind: StatementKind,
        statement: &Statement,
        times: &OperationTimes,
    ) -> (Stage<D::Connection>, RunResult) {
        running.wrote |= kind == StatementKind::Write;
        let call = LinkCall {
            id: Some(id),
            at_least: None,
            in_transaction: true,
            fence: Fence::Leads,
            verb: LinkVerb::Run(statement),
        };
        for attempt in 1..=MAX_ATTEMPTS {
            let context = self.attempt_context(&running.route, times);
            let reply = self.engine.run(&mut running.link, context, call).await;
            let Ok(reply) = reply else {
                break;
            };
            let state = reply.state;
            let (refusal, error) = match TryOutcome::of(Ok(reply), kind) {
                TryOutcome::Done(reply, receipt) if state == TransactionState::Open => {
                    let result = answer::from_database(reply.rows, receipt, reply.position);
                    return (Stage::Running(running), result);
                }
                TryOutcome::Refused(refusal, error) => (refusal, error),
                TryOutcome::Done(..) | TryOutcome::NoReply(_) => break,
            };
            let open = state == TransactionState::Open;
            if refusal == RefusalKind::Busy && open && attempt < MAX_ATTEMPTS {
                self.wait_before_retry(attempt, times).await;
                continue;
            }
            if state != TransactionState::Idle && keeps_transaction_open(refusal) {
                return (Stage::Failed(Some(running)), Err(error));
            }
            break;
        }
        // Closing the connection rolls the transaction back.
        drop(running);
        (Stage::Failed(None), Err(ErrorKind::TransactionLost.into()))
    }

    async fn commit_at(
        &mut self,
        mut running: RunningTransaction<D::Connection>,
        id: &Bytes,
        times: &OperationTimes,
    ) -> RunResult {
        for attempt in 1..=MAX_COMMIT_ATTEMPTS {
            let reply = self.try_commit(&mut running, id, times).await;
            let state = reply.as_ref().ok().map(|reply| reply.state);
            let outcome = match TryOutcome::of(reply, StatementKind::Write) {
                TryOutcome::Done(reply, receipt) => {
                    return self.committed(running, reply, receipt, times).await;
                }
                outcome => outcome,
            };
            let busy = matches!(outcome, TryOutcome::Refused(RefusalKind::Busy, _));
            let open = state == Some(TransactionState::Open);
            if !busy || !open || attempt == MAX_COMMIT_ATTEMPTS {
                return Err(commit_kind(&outcome, running.wrote).into());
            }
            self.wait_before_retry(attempt, times).await;
        }
        Err(ErrorKind::TransactionLost.into())
    }

    /// Sends a commit; after writes only if the primary is confirmed under a valid lease.
    async fn try_commit(
        &self,
        running: &mut RunningTransaction<D::Connection>,
        id: &Bytes,
        times: &OperationTimes,
    ) -> Result<DatabaseReply, AttemptError> {
        let (engine, wrote) = (self.engine, running.wrote);
        if wrote {
            let until = times.primary_until();
            // Nothing has been committed yet, so the wait can end early.
            let confirmed = tokio::select! {
                biased;
                confirmed = engine.confirm_primary(&running.route, until) => confirmed,
                () = engine.settings.cell.cut_off(&engine.settings.timer) => false,
            };
            if !confirmed {
                return Err(AttemptError::Fenced);
            }
        }
        let call = LinkCall {
            id: Some(id),
            at_least: None,
            in_transaction: true,
            fence: match wrote {
                true => Fence::Leased,
                false => Fence::Nothing,
            },
            verb: LinkVerb::Commit,
        };
        let context = self.attempt_context(&running.route, times);
        engine.run(&mut running.link, context, call).await
    }

    /// Acknowledges a commit if it cannot be lost by a change of primary.
    async fn committed(
        &mut self,
        running: RunningTransaction<D::Connection>,
        reply: DatabaseReply,
        receipt: Bytes,
        times: &OperationTimes,
    ) -> RunResult {
        let RunningTransaction {
            link,
            route,
            wrote,
            writer_guard,
        } = running;
        if reply.state == TransactionState::Idle {
            link.release_after_transaction(true);
        }
        if wrote {
            let until = times.confirm_until(Instant::now());
            let confirmed = self.engine.confirm_commit(&route, reply.position, until);
            if !confirmed.await {
                return Err(unconfirmed());
            }
            self.floor.committed(&route.group, reply.position);
        }
        // A planned move waits until the commit has been confirmed.
        drop(writer_guard);
        answer::from_database(reply.rows, receipt, reply.position)
    }

    /// Rolls back without a request of the caller, so that the connection can be reused.
    async fn abandon(&self, stage: Stage<D::Connection>) {
        if let Stage::Running(running) | Stage::Failed(Some(running)) = stage {
            self.roll_back_at(running, None).await;
        }
    }

    /// Rolls back; if the database does not confirm it, the connection is closed, which also rolls
    /// back.
    async fn roll_back_at(
        &self,
        mut running: RunningTransaction<D::Connection>,
        id: Option<&Bytes>,
    ) -> RunAnswer {
        if self.is_evacuation_grace_over(&running) {
            return RunAnswer::default();
        }
        let until = Instant::now() + ROLL_BACK_TIMEOUT;
        let id = id.map(|id| &id[..]);
        let timer = &self.engine.settings.timer;
        let reply = running.link.roll_back(timer, id, until).await;
        let outcome = reply.map(|reply| (reply.state, reply.outcome, reply.position));
        match outcome {
            Ok((TransactionState::Idle, Ok(receipt), position)) => {
                running.release_rolled_back();
                RunAnswer::of(Vec::new(), receipt, position)
            }
            Ok(_) | Err(_) => RunAnswer::default(),
        }
    }

    /// Returns whether the grace period of a database in an evacuated data centre is over. Nothing
    /// more is sent to it; the connection is closed, which rolls back.
    fn is_evacuation_grace_over(&self, running: &RunningTransaction<D::Connection>) -> bool {
        let view = &running.route.held.view;
        let upstream_view = view.upstreams.get(&running.route.upstream);
        upstream_view.is_some_and(|upstream_view| {
            self.engine
                .outages
                .is_grace_over(&upstream_view.data_centre)
        })
    }

    pub(super) fn attempt_context<'a>(
        &'a self,
        route: &'a Route,
        times: &'a OperationTimes,
    ) -> AttemptContext<'a> {
        AttemptContext {
            route,
            organisation: self.identity.organisation(),
            values: &self.values,
            times,
        }
    }
}

fn no_transaction() -> RequestError {
    RequestError::new(ErrorKind::StatementUnclear, "no transaction is open")
}

/// Returns whether a transaction stays open on the database, to be rolled back, after one of its
/// statements was refused with this kind.
fn keeps_transaction_open(refusal: RefusalKind) -> bool {
    matches!(
        refusal,
        RefusalKind::Busy | RefusalKind::Failed | RefusalKind::Malformed
    )
}

/// Returns the error kind for a commit that was not acknowledged.
fn commit_kind(outcome: &TryOutcome, wrote: bool) -> ErrorKind {
    let certain = match outcome {
        TryOutcome::Done(..) => false,
        TryOutcome::Refused(refusal, _) => is_certainly_not_committed(*refusal),
        TryOutcome::NoReply(AttemptError::Lost | AttemptError::TimedOut) => false,
        TryOutcome::NoReply(
            AttemptError::PoolExhausted(_) | AttemptError::Unreachable | AttemptError::Fenced,
        ) => true,
    };
    match certain || !wrote {
        true => ErrorKind::TransactionLost,
        false => ErrorKind::OutcomeUnknown,
    }
}

/// Returns whether a refusal of this kind guarantees that nothing was committed.
fn is_certainly_not_committed(refusal: RefusalKind) -> bool {
    match refusal {
        RefusalKind::Busy
        | RefusalKind::Lagging
        | RefusalKind::ReadOnly
        | RefusalKind::Misdirected
        | RefusalKind::TooManyConnections
        | RefusalKind::UnknownStatement
        | RefusalKind::Aborted
        | RefusalKind::Malformed => true,
        RefusalKind::Failed | RefusalKind::TimedOut | RefusalKind::Unknown => false,
    }
}
