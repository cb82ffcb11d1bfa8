//! Conversions between relay messages and the engine's types.

#[cfg(test)]
mod tests;

use crate::{
    ConnectError,
    DatabaseRefusal,
    DatabaseReply,
    RefusalKind,
    StatementKind,
    TransactionMode,
    TransactionState,
    attempt::{
        Fence,
        Statement, //
    },
    link::{
        LinkError,
        LinkVerb, //
    },
    pool::AcquireError,
    values::{
        PreparedStatement,
        SessionValues, //
    }, //
};
use bytes::Bytes;
use daisyseam_model::LogPosition;
use daisyseam_wire::{
    RelayCall,
    RelayFailure,
    RelayFailureKind,
    RelayFence,
    RelayRefusal,
    RelayReply,
    RelayValue,
    RelayVerb, //
};
use std::time::Duration;

/// Numbers of the kinds of refusal in messages; new kinds are added at the end.
const REFUSALS: [RefusalKind; 11] = [
    RefusalKind::Unknown,
    RefusalKind::Busy,
    RefusalKind::Lagging,
    RefusalKind::ReadOnly,
    RefusalKind::Misdirected,
    RefusalKind::TooManyConnections,
    RefusalKind::UnknownStatement,
    RefusalKind::Aborted,
    RefusalKind::Failed,
    RefusalKind::TimedOut,
    RefusalKind::Malformed,
];

/// Numbers of the transaction states in messages.
const STATES: [TransactionState; 3] = [
    TransactionState::Idle,
    TransactionState::Open,
    TransactionState::Failed,
];

/// An operation as received from another instance; [`LinkVerb`] borrows from it.
#[derive(Debug)]
pub(super) enum RelayedVerb {
    Check,
    Begin(TransactionMode),
    Commit,
    Rollback,
    Run(Statement),
}

impl RelayedVerb {
    /// Returns the operation of a call; `None` if it is malformed or makes no call to the database.
    pub(super) fn of(call: &RelayCall) -> Option<Self> {
        let prepared = |kind| {
            let text = call.text.clone();
            Self::Run(Statement::Prepared(
                PreparedStatement { kind, text },
                call.arguments.clone(),
            ))
        };
        Some(match RelayVerb::try_from(call.verb).ok()? {
            RelayVerb::Check => Self::Check,
            RelayVerb::AwaitEnd => return None,
            RelayVerb::BeginReadWrite => Self::Begin(TransactionMode::ReadWrite),
            RelayVerb::BeginReadOnly => Self::Begin(TransactionMode::ReadOnly),
            RelayVerb::Commit => Self::Commit,
            RelayVerb::Rollback => Self::Rollback,
            RelayVerb::RunText => Self::Run(Statement::Text(call.text.clone())),
            RelayVerb::ExecutePreparedRead => prepared(StatementKind::Read),
            RelayVerb::ExecutePreparedWrite => prepared(StatementKind::Write),
        })
    }

    /// Returns the operation to run on the database; `None` for a check, which runs nothing.
    pub(super) fn as_link_verb(&self) -> Option<LinkVerb<'_>> {
        Some(match self {
            Self::Check => return None,
            Self::Begin(mode) => LinkVerb::Begin(*mode),
            Self::Commit => LinkVerb::Commit,
            Self::Rollback => LinkVerb::Rollback,
            Self::Run(statement) => LinkVerb::Run(statement),
        })
    }
}

/// Writes an operation to a call.
pub(super) fn encode_verb(call: &mut RelayCall, verb: LinkVerb<'_>) {
    let number = match verb {
        LinkVerb::Begin(TransactionMode::ReadWrite) => RelayVerb::BeginReadWrite,
        LinkVerb::Begin(TransactionMode::ReadOnly) => RelayVerb::BeginReadOnly,
        LinkVerb::Commit => RelayVerb::Commit,
        LinkVerb::Rollback => RelayVerb::Rollback,
        LinkVerb::Run(Statement::Text(text)) => {
            call.text = text.clone();
            RelayVerb::RunText
        }
        LinkVerb::Run(Statement::Prepared(prepared, arguments)) => {
            call.text = prepared.text.clone();
            call.arguments = arguments.clone();
            match prepared.kind {
                StatementKind::Read => RelayVerb::ExecutePreparedRead,
                StatementKind::Write => RelayVerb::ExecutePreparedWrite,
            }
        }
    };
    call.verb = number.into();
}

pub(super) fn encode_fence(fence: Fence) -> i32 {
    let number = match fence {
        Fence::Nothing => RelayFence::Nothing,
        Fence::Leads => RelayFence::Leads,
        Fence::Leased => RelayFence::Leased,
        Fence::NewReads => RelayFence::NewReads,
        Fence::NewWrites => RelayFence::NewWrites,
    };
    number.into()
}

pub(super) fn decode_fence(number: i32) -> Option<Fence> {
    Some(match RelayFence::try_from(number).ok()? {
        RelayFence::Nothing => Fence::Nothing,
        RelayFence::Leads => Fence::Leads,
        RelayFence::Leased => Fence::Leased,
        RelayFence::NewReads => Fence::NewReads,
        RelayFence::NewWrites => Fence::NewWrites,
    })
}

pub(super) fn encode_values(values: &SessionValues) -> Vec<RelayValue> {
    let values = values.iter();
    values
        .map(|(name, value)| RelayValue {
            name: name.clone(),
            value: value.clone(),
        })
        .collect()
}

pub(super) fn decode_values(values: &[RelayValue]) -> SessionValues {
    let mut decoded = SessionValues::default();
    for value in values {
        decoded.set(value.name.clone(), value.value.clone());
    }
    decoded
}

pub(super) fn encode_reply(reply: DatabaseReply, wait: Option<Duration>) -> RelayReply {
    let (receipt, refusal) = match reply.outcome {
        Ok(receipt) => (receipt, None),
        Err(refusal) => {
            let refusal = RelayRefusal {
                kind: number_of(&REFUSALS, refusal.kind),
                detail: refusal.detail,
            };
            (Bytes::new(), Some(refusal))
        }
    };
    RelayReply {
        rows: reply.rows,
        receipt,
        refusal,
        state: number_of(&STATES, reply.state),
        position: reply.position.map(Into::into),
        wait_ms: encode_wait(wait),
    }
}

/// Returns the reply of a message; `None` if it is malformed.
pub(super) fn decode_reply(reply: RelayReply) -> Option<DatabaseReply> {
    let outcome = match reply.refusal {
        None => Ok(reply.receipt),
        Some(refusal) => Err(DatabaseRefusal {
            kind: refusal_of(refusal.kind),
            detail: refusal.detail,
        }),
    };
    Some(DatabaseReply {
        rows: reply.rows,
        outcome,
        state: *STATES.get(usize::try_from(reply.state).ok()?)?,
        position: reply.position.map(LogPosition::from),
    })
}

pub(super) fn encode_failure(error: &LinkError, wait: Option<Duration>) -> RelayFailure {
    let mut refusal = RefusalKind::Unknown;
    let mut retry_after = None;
    let kind = match error {
        LinkError::Acquire(AcquireError::UnknownUpstream) | LinkError::NotHolder => {
            RelayFailureKind::NotHolder
        }
        LinkError::Acquire(AcquireError::PoolExhausted(delay)) => {
            retry_after = *delay;
            RelayFailureKind::Exhausted
        }
        LinkError::Acquire(AcquireError::Connect(ConnectError::Refused(kind))) => {
            refusal = *kind;
            RelayFailureKind::ConnectionRefused
        }
        LinkError::Acquire(AcquireError::Connect(ConnectError::Unreachable(_)))
        | LinkError::SetUpLost => RelayFailureKind::Unreachable,
        LinkError::NotSent => RelayFailureKind::NotSent,
        LinkError::Fenced => RelayFailureKind::Fenced,
        LinkError::Lost | LinkError::HolderLost => RelayFailureKind::Lost,
        LinkError::TimedOut => RelayFailureKind::TimedOut,
    };
    RelayFailure {
        kind: kind.into(),
        refusal: number_of(&REFUSALS, refusal),
        retry_after_ms: retry_after.map_or(0, millis),
        wait_ms: encode_wait(wait),
    }
}

/// Returns the number for an expected wait; 0 stands for an unknown one.
fn encode_wait(wait: Option<Duration>) -> u32 {
    wait.map_or(0, |wait| {
        let millis = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        millis.saturating_add(1)
    })
}

/// Returns the expected wait of an answer, if the holder knows it.
pub(super) fn decode_wait(wait_ms: u32) -> Option<Duration> {
    let millis = wait_ms.checked_sub(1)?;
    Some(Duration::from_millis(millis.into()))
}

pub(super) fn decode_failure(failure: RelayFailure) -> LinkError {
    let unreachable = || ConnectError::Unreachable("reported by the holder".to_owned());
    match RelayFailureKind::try_from(failure.kind) {
        Ok(RelayFailureKind::Malformed | RelayFailureKind::NotSent) => LinkError::NotSent,
        Ok(RelayFailureKind::NotHolder) => LinkError::NotHolder,
        Ok(RelayFailureKind::Exhausted) => {
            let delay = Duration::from_millis(failure.retry_after_ms.into());
            let delay = (!delay.is_zero()).then_some(delay);
            LinkError::Acquire(AcquireError::PoolExhausted(delay))
        }
        Ok(RelayFailureKind::Unreachable) => {
            LinkError::Acquire(AcquireError::Connect(unreachable()))
        }
        Ok(RelayFailureKind::ConnectionRefused) => {
            let refused = ConnectError::Refused(refusal_of(failure.refusal));
            LinkError::Acquire(AcquireError::Connect(refused))
        }
        Ok(RelayFailureKind::Fenced) => LinkError::Fenced,
        Ok(RelayFailureKind::TimedOut) => LinkError::TimedOut,
        // An unknown kind may mean that the call ran.
        Ok(RelayFailureKind::Lost) | Err(_) => LinkError::Lost,
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn number_of<T: PartialEq>(all: &[T], value: T) -> u32 {
    let index = all.iter().position(|known| *known == value);
    index
        .and_then(|index| u32::try_from(index).ok())
        .unwrap_or(0)
}

fn refusal_of(number: u32) -> RefusalKind {
    let index = usize::try_from(number).unwrap_or(usize::MAX);
    REFUSALS.get(index).copied().unwrap_or(RefusalKind::Unknown)
}
