//! Execution of statements outside transactions.

use super::{
    SessionCore,
    answer::{
        self,
        OverloadKind,
        RunResult,
        TryOutcome, //
    }, //
};
use crate::{
    DatabaseConnection,
    DatabaseConnector,
    DatabaseReply,
    StatementKind,
    TransactionState,
    attempt::{
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
        ReadTarget,
        Route,
        TriedUpstreams, //
    },
    times::OperationTimes, //
};
use bytes::Bytes;
use daisyseam_member::RateGate;
use daisyseam_model::{
    ErrorKind,
    GroupId,
    LogPosition,
    Position,
    RequestError,
    UpstreamId, //
};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of attempts for one statement.
pub(super) const MAX_ATTEMPTS: usize = 4;

/// Delay before the same database is tried again, multiplied by the number of attempts so far.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(15);

impl<D: DatabaseConnector, G: RateGate> SessionCore<'_, D, G> {
    /// Runs a read on a database whose log has reached the read's floor.
    pub(super) async fn read(
        &self,
        id: &Bytes,
        statement: &Statement,
        rights: &CallerRights,
        times: &OperationTimes,
    ) -> RunResult {
        self.engine.retries.lock().count_request();
        let floor = self.read_floor(rights, times);
        let call = LinkCall {
            id: Some(id),
            at_least: None,
            in_transaction: false,
            fence: Fence::NewReads,
            verb: LinkVerb::Run(statement),
        };
        let mut tried = TriedUpstreams::new();
        let mut last_error: Option<RequestError> = None;
        while tried.len() < MAX_ATTEMPTS {
            let group = &rights.service.group;
            let route = match self.read_route(group, floor, &tried, times).await {
                Ok(route) => route,
                Err(kind) => return Err(last_error.unwrap_or_else(|| kind.into())),
            };
            let reply = match self.check_reader(&route, floor, times).await {
                Ok(None) => {
                    let at_least = self.at_least(&route, floor);
                    let call = LinkCall { at_least, ..call };
                    self.try_once(&route, call, times).await
                }
                Ok(Some(refusal)) => Ok(refusal),
                Err(error) => Err(error),
            };
            let outcome = match TryOutcome::of(reply, StatementKind::Read) {
                TryOutcome::Done(reply, receipt) => {
                    return answer::from_database(reply.rows, receipt, reply.position);
                }
                outcome => outcome,
            };
            let overload = outcome.overload();
            let error = outcome.retry_read()?;
            tried.push(route.upstream);
            if Instant::now() >= times.deadline()
                || !self.may_retry_read(overload, group, floor, &tried)
            {
                return Err(error);
            }
            last_error = Some(error);
        }
        Err(last_error.unwrap_or_else(|| ErrorKind::UpstreamUnreachable.into()))
    }

    /// Runs a write on the primary, and retries it only if it is certain that it did not run.
    pub(super) async fn write(
        &mut self,
        id: &Bytes,
        statement: &Statement,
        rights: &CallerRights,
        times: &OperationTimes,
    ) -> RunResult {
        self.engine.retries.lock().count_request();
        let call = LinkCall {
            id: Some(id),
            at_least: None,
            in_transaction: false,
            fence: Fence::NewWrites,
            verb: LinkVerb::Run(statement),
        };
        let group = &rights.service.group;
        let mut tried = TriedUpstreams::new();
        let mut last_error: Option<RequestError> = None;
        while tried.len() < MAX_ATTEMPTS {
            let route = self.primary_route(group, PrimaryUse::Writes, &tried, times);
            let route = match route.await {
                Ok(route) => route,
                Err(kind) => return Err(last_error.unwrap_or_else(|| kind.into())),
            };
            let writer_guard = route
                .term
                .map(|term| self.engine.writers.start(group, term));
            let reply = self.try_once(&route, call, times).await;
            let outcome = match TryOutcome::of(reply, StatementKind::Write) {
                TryOutcome::Done(reply, receipt) => {
                    return self.acknowledge(&route, reply, receipt, times).await;
                }
                outcome => outcome,
            };
            drop(writer_guard);
            let overload = outcome.overload();
            let error = outcome.retry_write()?;
            if overload.is_some() && !self.engine.retries.lock().take() {
                return Err(error);
            }
            last_error = Some(error);
            tried.push(route.upstream);
        }
        Err(last_error.unwrap_or_else(|| ErrorKind::UpstreamUnreachable.into()))
    }

    /// Returns the floor of a read that has just started.
    pub(super) fn read_floor(&self, rights: &CallerRights, times: &OperationTimes) -> ReadFloor {
        let samples = &self.engine.samples;
        self.floor.read_floor(rights, samples, times.received_at())
    }

    /// Checks that a primary leads if no position is known that its log must have reached; returns
    /// its refusal if it does not.
    pub(super) async fn check_reader(
        &self,
        route: &Route,
        floor: ReadFloor,
        times: &OperationTimes,
    ) -> Result<Option<DatabaseReply>, AttemptError> {
        let required = self.at_least(route, floor).map(|at| at.position);
        if route.term.is_none() || required.unwrap_or_default() > Position::default() {
            return Ok(None);
        }
        let context = self.attempt_context(route, times);
        self.engine.check_primary(context).await
    }

    /// Returns the log position that the database of a route must have reached.
    ///
    /// For a primary this includes the highest position it has reported, which detects a primary
    /// that has lost its log.
    pub(super) fn at_least(&self, route: &Route, floor: ReadFloor) -> Option<LogPosition> {
        let shared = match (route.term, floor.target) {
            (Some(term), _) => self.engine.samples.highest(&route.group, term),
            (None, ReadTarget::CaughtUp(position)) => position,
            (None, ReadTarget::Primary) => None,
        };
        shared.max(floor.own)
    }

    /// Chooses the database for one attempt of a read; the last attempt uses the primary.
    pub(super) async fn read_route(
        &self,
        group: &GroupId,
        floor: ReadFloor,
        tried: &[UpstreamId],
        times: &OperationTimes,
    ) -> Result<Route, ErrorKind> {
        let router = self.engine.router();
        if let ReadTarget::CaughtUp(position) = floor.target
            && tried.len() + 1 < MAX_ATTEMPTS
            && let Some(route) = router.choose_reader(group, position, tried)
        {
            return Ok(route);
        }
        self.primary_route(group, PrimaryUse::Reads, tried, times)
            .await
    }

    /// Returns whether a read may be retried after an attempt that failed, possibly because of
    /// overload: within the retry budget, and after waiting in vain only on another replica.
    pub(super) fn may_retry_read(
        &self,
        overload: Option<OverloadKind>,
        group: &GroupId,
        floor: ReadFloor,
        tried: &[UpstreamId],
    ) -> bool {
        let has_target = match overload {
            None => return true,
            Some(OverloadKind::Refused) => true,
            Some(OverloadKind::Queue) => match floor.target {
                ReadTarget::CaughtUp(position) => {
                    self.engine.router().has_reader(group, position, tried)
                }
                ReadTarget::Primary => false,
            },
        };
        has_target && self.engine.retries.lock().take()
    }

    /// Waits for the primary, with a delay if it has been tried already.
    pub(super) async fn primary_route(
        &self,
        group: &GroupId,
        usage: PrimaryUse,
        tried: &[UpstreamId],
        times: &OperationTimes,
    ) -> Result<Route, ErrorKind> {
        let (router, until) = (self.engine.router(), times.primary_until());
        let route = router.wait_for_primary(group, usage, until).await?;
        if !tried.contains(&route.upstream) {
            return Ok(route);
        }
        match self.wait_before_retry(tried.len(), times).await {
            true => router.wait_for_primary(group, usage, until).await,
            false => Err(ErrorKind::DeadlineBeforeSend),
        }
    }

    /// Waits before a retry, longer with each attempt, or until the view changes; returns `false`
    /// if the deadline does not leave enough time.
    pub(super) async fn wait_before_retry(&self, attempts: usize, times: &OperationTimes) -> bool {
        let settings = &self.engine.settings;
        let attempts = u32::try_from(attempts).unwrap_or(u32::MAX);
        let until = Instant::now() + RETRY_DELAY.saturating_mul(attempts);
        if until >= times.deadline() {
            return false;
        }
        let mut changes = settings.cell.subscribe();
        // The cell owns the sender, so this cannot fail.
        let _ = settings.timer.within(until, changes.changed()).await;
        true
    }

    async fn try_once(
        &self,
        route: &Route,
        call: LinkCall<'_>,
        times: &OperationTimes,
    ) -> Result<DatabaseReply, AttemptError> {
        let context = self.attempt_context(route, times);
        let mut link = self.engine.connect(context).await?;
        let reply = self.engine.run(&mut link, context, call).await?;
        release_if_idle(link, &reply);
        Ok(reply)
    }

    /// Acknowledges a write if it cannot be lost by a change of primary.
    async fn acknowledge(
        &mut self,
        route: &Route,
        reply: DatabaseReply,
        receipt: Bytes,
        times: &OperationTimes,
    ) -> RunResult {
        let until = times.confirm_until(Instant::now());
        let confirmed = self.engine.confirm_commit(route, reply.position, until);
        if !confirmed.await {
            return Err(unconfirmed());
        }
        self.floor.committed(&route.group, reply.position);
        answer::from_database(reply.rows, receipt, reply.position)
    }
}

/// Returns the error for a commit that the primary acknowledged and that may still be lost.
pub(super) fn unconfirmed() -> RequestError {
    let why = "the primary committed it, but this was not confirmed in time";
    RequestError::new(ErrorKind::OutcomeUnknown, why)
}

/// Gives a connection back if no transaction is open on it.
fn release_if_idle<C: DatabaseConnection>(link: DatabaseLink<C>, reply: &DatabaseReply) {
    if reply.state == TransactionState::Idle {
        link.release();
    }
}
