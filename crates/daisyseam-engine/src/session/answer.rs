//! From the answer of a database to the answer of a session.

use crate::{
    DatabaseReply,
    RefusalKind,
    SessionAnswer,
    StatementKind,
    TransactionState,
    attempt::AttemptEnd, //
};
use bytes::Bytes;
use daisyseam_model::{
    ErrorKind,
    LogPosition,
    RequestError, //
};

/// What came of a request.
pub(super) type RunResult = Result<RunAnswer, RequestError>;

/// What a request is answered if no other try does better, or what it is answered at once.
pub(super) type RunRetry = Result<RequestError, RequestError>;

/// What a request that succeeded is answered.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct RunAnswer {
    rows: Vec<Bytes>,
    receipt: Option<Bytes>,
    position: Option<LogPosition>,
}

impl RunAnswer {
    /// Returns what a database answered.
    pub(super) fn of(rows: Vec<Bytes>, receipt: Bytes, position: Option<LogPosition>) -> Self {
        Self {
            rows,
            receipt: Some(receipt),
            position,
        }
    }
}

/// Returns the answer to a request that no database had to see.
pub(super) fn local() -> RunResult {
    Ok(RunAnswer::default())
}

/// Returns the answer of a database that did what it was asked.
pub(super) fn ran(rows: Vec<Bytes>, receipt: Bytes, position: Option<LogPosition>) -> RunResult {
    Ok(RunAnswer::of(rows, receipt, position))
}

/// Returns the answer of a session in a state.
pub(super) fn of(result: RunResult, state: TransactionState) -> SessionAnswer {
    match result {
        Ok(answer) => SessionAnswer {
            rows: answer.rows,
            outcome: Ok(answer.receipt),
            state,
            position: answer.position,
        },
        Err(error) => SessionAnswer {
            rows: Vec::new(),
            outcome: Err(error),
            state,
            position: None,
        },
    }
}

/// What a try came to.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum TryOutcome {
    /// The database did it.
    Done(DatabaseReply, Bytes),
    /// The database refused or failed, in words of its own.
    Refused(RefusalKind, RequestError),
    /// There is no answer.
    Ended(AttemptEnd),
}

impl TryOutcome {
    /// Sorts the end of a try of a statement.
    pub(super) fn of(reply: Result<DatabaseReply, AttemptEnd>, kind: StatementKind) -> Self {
        let mut reply = match reply {
            Ok(reply) => reply,
            Err(end) => return Self::Ended(end),
        };
        let pending = Ok(Bytes::new());
        match std::mem::replace(&mut reply.outcome, pending) {
            Ok(receipt) => Self::Done(reply, receipt),
            Err(refusal) => {
                let error = RequestError::new(refusal_kind(refusal.kind, kind), refusal.detail);
                Self::Refused(refusal.kind, error)
            }
        }
    }
}

impl TryOutcome {
    /// Returns what a read that ended so is answered if no other try does better.
    ///
    /// # Errors
    ///
    /// What it is answered at once: no connection or no time is left, or no database would
    /// understand it.
    pub(super) fn read_again(self) -> RunRetry {
        match self {
            Self::Done(..) => Err(ErrorKind::Internal.into()),
            Self::Refused(RefusalKind::Malformed, error) => Err(error),
            Self::Refused(_, error) => Ok(error),
            Self::Ended(end) => {
                let error = end_kind(end, StatementKind::Read).into();
                match end {
                    AttemptEnd::Full | AttemptEnd::TimedOut => Err(error),
                    AttemptEnd::Unreachable | AttemptEnd::Fenced | AttemptEnd::Lost => Ok(error),
                }
            }
        }
    }

    /// Returns what a write that certainly did not run is answered if no other try does better.
    ///
    /// # Errors
    ///
    /// What it is answered at once: it may have run, or no other try would do better.
    pub(super) fn write_again(self) -> RunRetry {
        match self {
            Self::Done(..) => Err(ErrorKind::Internal.into()),
            Self::Refused(refusal, error) if is_not_run(refusal) => Ok(error),
            Self::Refused(_, error) => Err(error),
            Self::Ended(end) => {
                let error = end_kind(end, StatementKind::Write).into();
                match end {
                    AttemptEnd::Unreachable | AttemptEnd::Fenced => Ok(error),
                    AttemptEnd::Full | AttemptEnd::Lost | AttemptEnd::TimedOut => Err(error),
                }
            }
        }
    }
}

/// Returns whether a refusal says that a statement did not run, and another try may do better.
fn is_not_run(refusal: RefusalKind) -> bool {
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

/// Returns the kind under which a single statement that a database refused is answered.
pub(super) fn refusal_kind(refusal: RefusalKind, kind: StatementKind) -> ErrorKind {
    match (refusal, kind) {
        (RefusalKind::Busy | RefusalKind::TooManyConnections, _) => ErrorKind::QueueFull,
        (RefusalKind::Lagging, _) => ErrorKind::NoReplica,
        (RefusalKind::ReadOnly, _) => ErrorKind::NoPrimary,
        (RefusalKind::Misdirected | RefusalKind::UnknownStatement, _) => {
            ErrorKind::UpstreamUnreachable
        }
        (RefusalKind::Aborted, _) => ErrorKind::TransactionLost,
        (RefusalKind::Failed, _) => ErrorKind::StatementFailed,
        (RefusalKind::Malformed, _) => ErrorKind::StatementUnclear,
        (RefusalKind::TimedOut, StatementKind::Read) => ErrorKind::DeadlineWhileRunning,
        (RefusalKind::Unknown, StatementKind::Read) => ErrorKind::UpstreamUnreachable,
        (RefusalKind::TimedOut | RefusalKind::Unknown, StatementKind::Write) => {
            ErrorKind::OutcomeUnknown
        }
    }
}

/// Returns the kind under which a single statement whose try has no answer is answered.
pub(super) fn end_kind(end: AttemptEnd, kind: StatementKind) -> ErrorKind {
    match (end, kind) {
        (AttemptEnd::Full, _) => ErrorKind::QueueFull,
        (AttemptEnd::Unreachable, _) => ErrorKind::UpstreamUnreachable,
        (AttemptEnd::Fenced, _) => ErrorKind::NoPrimary,
        (AttemptEnd::Lost, StatementKind::Read) => ErrorKind::UpstreamUnreachable,
        (AttemptEnd::TimedOut, StatementKind::Read) => ErrorKind::DeadlineWhileRunning,
        (AttemptEnd::Lost | AttemptEnd::TimedOut, StatementKind::Write) => {
            ErrorKind::OutcomeUnknown
        }
    }
}
