//! Conversion of database replies into session answers.

use crate::{
    DatabaseReply,
    RefusalKind,
    SessionAnswer,
    StatementKind,
    TransactionState,
    attempt::AttemptError, //
};
use bytes::Bytes;
use daisyseam_model::{
    ErrorKind,
    LogPosition,
    RequestError, //
};

/// The result of a request.
pub(super) type RunResult = Result<RunAnswer, RequestError>;

/// The error to return if all further attempts fail (`Ok`), or to return without a retry (`Err`).
pub(super) type RetryResult = Result<RequestError, RequestError>;

/// The answer to a request that succeeded.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct RunAnswer {
    rows: Vec<Bytes>,
    receipt: Option<Bytes>,
    position: Option<LogPosition>,
}

impl RunAnswer {
    /// Creates the answer from a database's reply.
    pub(super) fn of(rows: Vec<Bytes>, receipt: Bytes, position: Option<LogPosition>) -> Self {
        Self {
            rows,
            receipt: Some(receipt),
            position,
        }
    }
}

/// Returns the answer to a request that was handled without a database.
pub(super) fn without_database() -> RunResult {
    Ok(RunAnswer::default())
}

/// Returns the answer to a request that a database ran.
pub(super) fn from_database(
    rows: Vec<Bytes>,
    receipt: Bytes,
    position: Option<LogPosition>,
) -> RunResult {
    Ok(RunAnswer::of(rows, receipt, position))
}

/// Creates the session's answer from a result and the transaction state.
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

/// Where an attempt failed because of overload.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OverloadKind {
    /// The database refused it.
    Refused,
    /// It would have had to wait too long in front of the database.
    Queue,
}

/// The outcome of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum TryOutcome {
    /// The database succeeded.
    Done(DatabaseReply, Bytes),
    /// The database returned an error.
    Refused(RefusalKind, RequestError),
    /// There is no reply from the database.
    NoReply(AttemptError),
}

impl TryOutcome {
    /// Classifies the result of an attempt.
    pub(super) fn of(reply: Result<DatabaseReply, AttemptError>, kind: StatementKind) -> Self {
        let mut reply = match reply {
            Ok(reply) => reply,
            Err(cause) => return Self::NoReply(cause),
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
    /// Returns the kind of overload if there is no reply because of one; a retry adds to the load.
    pub(super) fn overload(&self) -> Option<OverloadKind> {
        match self {
            Self::Refused(RefusalKind::Busy | RefusalKind::TooManyConnections, _) => {
                Some(OverloadKind::Refused)
            }
            Self::NoReply(AttemptError::PoolExhausted(_)) => Some(OverloadKind::Queue),
            Self::Done(..) | Self::Refused(..) | Self::NoReply(_) => None,
        }
    }

    /// Returns the error of a read that may be retried.
    ///
    /// # Errors
    ///
    /// Returns the error to report without a retry: no time is left, or every database would reject
    /// the statement as malformed.
    pub(super) fn retry_read(self) -> RetryResult {
        match self {
            Self::Done(..) => Err(ErrorKind::Internal.into()),
            Self::Refused(RefusalKind::Malformed, error) => Err(error),
            Self::Refused(_, error) => Ok(error),
            Self::NoReply(cause) => {
                let error = attempt_error(cause, StatementKind::Read);
                match cause {
                    AttemptError::TimedOut => Err(error),
                    AttemptError::PoolExhausted(_)
                    | AttemptError::Unreachable
                    | AttemptError::Fenced
                    | AttemptError::Lost => Ok(error),
                }
            }
        }
    }

    /// Returns the error of a write that certainly did not run and may be retried.
    ///
    /// # Errors
    ///
    /// Returns the error to report without a retry: the write may have run, or a retry cannot
    /// succeed.
    pub(super) fn retry_write(self) -> RetryResult {
        match self {
            Self::Done(..) => Err(ErrorKind::Internal.into()),
            Self::Refused(refusal, error) if is_retryable_write(refusal) => Ok(error),
            Self::Refused(_, error) => Err(error),
            Self::NoReply(cause) => {
                let error = attempt_error(cause, StatementKind::Write);
                match cause {
                    AttemptError::Unreachable | AttemptError::Fenced => Ok(error),
                    AttemptError::PoolExhausted(_)
                    | AttemptError::Lost
                    | AttemptError::TimedOut => Err(error),
                }
            }
        }
    }
}

/// Returns whether a refusal implies that the statement did not run and may be retried.
fn is_retryable_write(refusal: RefusalKind) -> bool {
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

/// Returns the error kind for a refusal of a statement outside a transaction.
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

/// Returns the error for a statement outside a transaction that got no reply.
fn attempt_error(cause: AttemptError, kind: StatementKind) -> RequestError {
    let error = RequestError::from(attempt_error_kind(cause, kind));
    match cause {
        AttemptError::PoolExhausted(Some(delay)) => error.with_retry_after(delay),
        AttemptError::PoolExhausted(None)
        | AttemptError::Unreachable
        | AttemptError::Fenced
        | AttemptError::Lost
        | AttemptError::TimedOut => error,
    }
}

/// Returns the error kind for a statement outside a transaction that got no reply.
pub(super) fn attempt_error_kind(cause: AttemptError, kind: StatementKind) -> ErrorKind {
    match (cause, kind) {
        (AttemptError::PoolExhausted(_), _) => ErrorKind::QueueFull,
        (AttemptError::Unreachable, _) => ErrorKind::UpstreamUnreachable,
        (AttemptError::Fenced, _) => ErrorKind::NoPrimary,
        (AttemptError::Lost, StatementKind::Read) => ErrorKind::UpstreamUnreachable,
        (AttemptError::TimedOut, StatementKind::Read) => ErrorKind::DeadlineWhileRunning,
        (AttemptError::Lost | AttemptError::TimedOut, StatementKind::Write) => {
            ErrorKind::OutcomeUnknown
        }
    }
}
