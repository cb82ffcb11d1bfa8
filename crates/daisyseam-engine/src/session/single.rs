//! Statements outside transactions.

use super::{
    SessionCore,
    answer::{
        self,
        RunResult,
        TryOutcome, //
    }, //
};
use crate::{
    DatabaseConnector,
    DatabaseReply,
    RefusalKind,
    StatementKind,
    TransactionState,
    attempt::{
        AttemptEnd,
        AttemptOrder,
        Statement,
        StatementCall, //
    },
    identity::CallerRights,
    pool::PooledConnection,
    route::{
        ReadFloor,
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
    RequestError,
    UpstreamId, //
};
use std::time::Duration;
use tokio::time::Instant;

/// Most tries of one statement.
pub(super) const ATTEMPTS: u32 = 4;

/// Time before the same database is tried again, by the number of tries.
pub(super) const PAUSE: Duration = Duration::from_millis(15);

impl<D: DatabaseConnector, G: RateGate> SessionCore<'_, D, G> {
    /// Runs a read wherever its floor is reached.
    pub(super) async fn read(
        &self,
        id: &Bytes,
        statement: &Statement,
        rights: &CallerRights,
        times: &OperationTimes,
    ) -> RunResult {
        let floor = self.read_floor(rights, times);
        let call = StatementCall {
            id,
            statement,
            at_least: floor.position(),
            in_transaction: false,
        };
        let mut tried = TriedUpstreams::new();
        let mut last = None;
        for attempt in 1..=ATTEMPTS {
            let route = self
                .read_route(&rights.service.group, floor, &tried, attempt, times)
                .await;
            let route = match route {
                Ok(route) => route,
                Err(kind) => return Err(last.unwrap_or_else(|| kind.into())),
            };
            let reply = self.try_once(&route, call, times).await;
            tried.push(route.upstream);
            let error = match TryOutcome::of(reply, StatementKind::Read) {
                TryOutcome::Done(reply, receipt) => {
                    return answer::ran(reply.rows, receipt, reply.position);
                }
                TryOutcome::Refused(RefusalKind::Malformed, error) => return Err(error),
                TryOutcome::Refused(_, error) => error,
                TryOutcome::Ended(end) => answer::end_kind(end, StatementKind::Read).into(),
            };
            if is_final(&error) || Instant::now() >= times.deadline() {
                return Err(error);
            }
            last = Some(error);
        }
        Err(last.unwrap_or_else(|| ErrorKind::UpstreamUnreachable.into()))
    }

    /// Runs a write at the primary, again only while it certainly did not run.
    pub(super) async fn write(
        &mut self,
        id: &Bytes,
        statement: &Statement,
        rights: &CallerRights,
        times: &OperationTimes,
    ) -> RunResult {
        let call = StatementCall {
            id,
            statement,
            at_least: None,
            in_transaction: false,
        };
        let group = &rights.service.group;
        let mut last: Option<RequestError> = None;
        for attempt in 1..=ATTEMPTS {
            let router = self.engine.router();
            let route = match router.primary(group, times.primary_until()).await {
                Ok(route) => route,
                Err(kind) => return Err(last.unwrap_or_else(|| kind.into())),
            };
            let _counted = route
                .term
                .map(|term| self.engine.writers.enter(group, term));
            let reply = self.try_once(&route, call, times).await;
            let error = match TryOutcome::of(reply, StatementKind::Write) {
                TryOutcome::Done(reply, receipt) => {
                    return self.acknowledge(&route, reply, receipt, times).await;
                }
                TryOutcome::Refused(refusal, error) if may_repeat(refusal) => error,
                TryOutcome::Refused(_, error) => return Err(error),
                TryOutcome::Ended(end) => {
                    let error = answer::end_kind(end, StatementKind::Write).into();
                    match end {
                        AttemptEnd::Unreachable | AttemptEnd::Fenced => error,
                        AttemptEnd::Full | AttemptEnd::Lost | AttemptEnd::TimedOut => {
                            return Err(error);
                        }
                    }
                }
            };
            if !self.pause(attempt, times).await {
                return Err(error);
            }
            last = Some(error);
        }
        Err(last.unwrap_or_else(|| ErrorKind::UpstreamUnreachable.into()))
    }

    /// Returns what a read that has just begun must see.
    pub(super) fn read_floor(&self, rights: &CallerRights, times: &OperationTimes) -> ReadFloor {
        let samples = &self.engine.samples;
        self.floor.of_read(rights, samples, times.began())
    }

    /// Chooses the database for a try of a read; the last try goes to the primary.
    pub(super) async fn read_route(
        &self,
        group: &GroupId,
        floor: ReadFloor,
        tried: &[UpstreamId],
        attempt: u32,
        times: &OperationTimes,
    ) -> Result<Route, ErrorKind> {
        let router = self.engine.router();
        if let ReadFloor::Position(position) = floor
            && attempt < ATTEMPTS
            && let Some(route) = router.reader(group, position, tried)
        {
            return Ok(route);
        }
        let route = router.primary(group, times.primary_until()).await?;
        if tried.contains(&route.upstream) {
            self.pause(attempt, times).await;
            return router.primary(group, times.primary_until()).await;
        }
        Ok(route)
    }

    /// Waits a little longer with each try, or until the view changes; returns whether there is
    /// time left.
    pub(super) async fn pause(&self, attempt: u32, times: &OperationTimes) -> bool {
        let settings = &self.engine.settings;
        let until = Instant::now() + PAUSE * attempt;
        if until >= times.deadline() {
            return false;
        }
        let mut changes = settings.cell.subscribe();
        // The sender lives in the cell, so waiting cannot fail.
        let _ = settings.timer.within(until, changes.changed()).await;
        true
    }

    async fn try_once(
        &self,
        route: &Route,
        call: StatementCall<'_>,
        times: &OperationTimes,
    ) -> Result<DatabaseReply, AttemptEnd> {
        let order = AttemptOrder {
            route,
            organisation: self.identity.organisation(),
            values: &self.values,
            times,
        };
        let mut connection = self.engine.connect(order).await?;
        let reply = self.engine.run(&mut connection, order, call).await?;
        give_back(connection, &reply);
        Ok(reply)
    }

    /// Acknowledges a write if nobody else can have been primary when it ran.
    async fn acknowledge(
        &mut self,
        route: &Route,
        reply: DatabaseReply,
        receipt: Bytes,
        times: &OperationTimes,
    ) -> RunResult {
        let until = times.primary_until().max(Instant::now());
        if !self.engine.confirm(route, until).await {
            return Err(ErrorKind::OutcomeUnknown.into());
        }
        self.floor.committed(&route.group, reply.position);
        answer::ran(reply.rows, receipt, reply.position)
    }
}

/// Gives a connection back if nothing is open on it.
fn give_back<C: crate::DatabaseConnection>(connection: PooledConnection<C>, reply: &DatabaseReply) {
    if reply.state == TransactionState::Idle {
        connection.finish();
    }
}

/// Returns whether a read that ended so is not tried elsewhere: no time or no connection is left.
pub(super) fn is_final(error: &RequestError) -> bool {
    matches!(
        error.kind,
        ErrorKind::DeadlineWhileRunning | ErrorKind::QueueFull if error.detail.is_empty()
    )
}

/// Returns whether a refusal says that a write did not run, and another try may do better.
fn may_repeat(refusal: RefusalKind) -> bool {
    match refusal {
        RefusalKind::Busy
        | RefusalKind::Lagging
        | RefusalKind::ReadOnly
        | RefusalKind::Misdirected
        | RefusalKind::TooManyConnections
        | RefusalKind::UnknownStatement => true,
        RefusalKind::Aborted
        | RefusalKind::Failed
        | RefusalKind::TimedOut
        | RefusalKind::Malformed
        | RefusalKind::Unknown => false,
    }
}
