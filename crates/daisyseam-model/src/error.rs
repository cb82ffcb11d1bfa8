//! The closed list of error kinds and the table from kind to answer.

use displaydoc::Display;
use std::{
    error::Error,
    time::Duration, //
};

/// Why a request was refused or failed; each kind has one row in the table of [`ErrorKind::row`].
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ErrorKind {
    /// the message does not follow the protocol
    ProtocolViolation,
    /// the message is larger than the limit
    MessageTooLarge,
    /// the service is not known
    UnknownService,
    /// organisation or key is not accepted
    KeyRefused,
    /// the key has been withdrawn
    KeyWithdrawn,
    /// the organisation may not use this service
    ServiceDenied,
    /// the open route does not allow this statement
    OpenRouteDenied,
    /// the statement carries the caller's key
    KeyInStatement,
    /// the statement cannot be understood
    StatementUnclear,
    /// the prepared statement is not known in this session
    StatementUnknown,
    /// the statement failed at the database
    StatementFailed,
    /// the statement needs session state that pooled connections cannot keep
    SessionStateRefused,
    /// the feature is not supported
    FeatureUnsupported,
    /// the start-up parameter or setting is not valid
    InvalidSetting,
    /// the session token is not valid here
    InvalidToken,
    /// the organisation is over its rate
    RateExceeded,
    /// the queue for the database is full
    QueueFull,
    /// the deadline passed before the statement was sent
    DeadlineBeforeSend,
    /// the deadline passed while the statement was running
    DeadlineWhileRunning,
    /// the caller cancelled the statement
    Cancelled,
    /// the group has no primary at the moment
    NoPrimary,
    /// no replica satisfies the stated age
    NoReplica,
    /// this instance holds no valid view
    NoView,
    /// this instance is stopping
    Stopping,
    /// the data centre is out of service
    DataCentreOut,
    /// too many connections on this instance
    TooManyConnections,
    /// the database could not be reached
    UpstreamUnreachable,
    /// the database connection was lost and the transaction was rolled back
    TransactionLost,
    /// the outcome of the commit cannot be known
    OutcomeUnknown,
    /// the transaction must end before anything else is accepted
    TransactionAborted,
    /// an internal invariant does not hold
    Internal,
}

/// Whether the statement took effect.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Execution {
    /// No byte of it reached a database, or it was certainly rolled back.
    NotRun,
    /// It may or may not have taken effect.
    Unknown,
    /// It took effect.
    Ran,
}

/// One row of the table from kind to answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KindRow {
    /// Five-character SQLSTATE.
    pub sqlstate: &'static str,
    /// Whether the statement took effect.
    pub execution: Execution,
    /// Whether the caller may send it again as it is.
    pub may_retry: bool,
    /// Whether the connection closes after the answer.
    pub closes: bool,
    /// Name used in logs and metrics.
    pub label: &'static str,
}

impl ErrorKind {
    /// Every kind, in the order of the list.
    pub const ALL: [Self; 31] = [
        Self::ProtocolViolation,
        Self::MessageTooLarge,
        Self::UnknownService,
        Self::KeyRefused,
        Self::KeyWithdrawn,
        Self::ServiceDenied,
        Self::OpenRouteDenied,
        Self::KeyInStatement,
        Self::StatementUnclear,
        Self::StatementUnknown,
        Self::StatementFailed,
        Self::SessionStateRefused,
        Self::FeatureUnsupported,
        Self::InvalidSetting,
        Self::InvalidToken,
        Self::RateExceeded,
        Self::QueueFull,
        Self::DeadlineBeforeSend,
        Self::DeadlineWhileRunning,
        Self::Cancelled,
        Self::NoPrimary,
        Self::NoReplica,
        Self::NoView,
        Self::Stopping,
        Self::DataCentreOut,
        Self::TooManyConnections,
        Self::UpstreamUnreachable,
        Self::TransactionLost,
        Self::OutcomeUnknown,
        Self::TransactionAborted,
        Self::Internal,
    ];

    /// Returns the answer that belongs to this kind.
    pub const fn row(self) -> KindRow {
        use Execution::{NotRun, Unknown};
        match self {
            Self::ProtocolViolation => row("08P01", NotRun, false, true, "protocol_violation"),
            Self::MessageTooLarge => row("54000", NotRun, false, true, "message_too_large"),
            Self::UnknownService => row("3D000", NotRun, false, true, "unknown_service"),
            Self::KeyRefused => row("28P01", NotRun, false, true, "key_refused"),
            Self::KeyWithdrawn => row("28000", NotRun, false, true, "key_withdrawn"),
            Self::ServiceDenied => row("42501", NotRun, false, true, "service_denied"),
            Self::OpenRouteDenied => row("42501", NotRun, false, false, "open_route_denied"),
            Self::KeyInStatement => row("28000", NotRun, false, false, "key_in_statement"),
            Self::StatementUnclear => row("42601", NotRun, false, false, "statement_unclear"),
            Self::StatementUnknown => row("26000", NotRun, false, false, "statement_unknown"),
            Self::StatementFailed => row("XX001", Unknown, false, false, "statement_failed"),
            Self::SessionStateRefused => row("0A000", NotRun, false, false, "session_state"),
            Self::FeatureUnsupported => row("0A000", NotRun, false, false, "unsupported"),
            Self::InvalidSetting => row("22023", NotRun, false, false, "invalid_setting"),
            Self::InvalidToken => row("22023", NotRun, false, false, "invalid_token"),
            Self::RateExceeded => row("53400", NotRun, true, false, "rate_exceeded"),
            Self::QueueFull => row("53300", NotRun, true, false, "queue_full"),
            Self::DeadlineBeforeSend => row("57014", NotRun, true, false, "deadline_before_send"),
            Self::DeadlineWhileRunning => row("57014", Unknown, false, false, "deadline_running"),
            Self::Cancelled => row("57014", Unknown, false, false, "cancelled"),
            Self::NoPrimary => row("57P03", NotRun, true, false, "no_primary"),
            Self::NoReplica => row("57P03", NotRun, true, false, "no_replica"),
            Self::NoView => row("57P03", NotRun, true, false, "no_view"),
            Self::Stopping => row("57P01", NotRun, true, true, "stopping"),
            Self::DataCentreOut => row("57P01", NotRun, true, true, "data_centre_out"),
            Self::TooManyConnections => row("53300", NotRun, true, true, "too_many_connections"),
            Self::UpstreamUnreachable => row("08006", NotRun, true, false, "upstream_unreachable"),
            Self::TransactionLost => row("40001", NotRun, true, false, "transaction_lost"),
            Self::OutcomeUnknown => row("08007", Unknown, false, false, "outcome_unknown"),
            Self::TransactionAborted => row("25P02", NotRun, false, false, "transaction_aborted"),
            Self::Internal => row("XX000", Unknown, false, true, "internal"),
        }
    }
}

/// An error for the caller: its kind and a description.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestError {
    /// Row of the table that answers it.
    pub kind: ErrorKind,
    /// Description of this case; empty when the kind says enough.
    pub detail: String,
    /// When a retry makes sense, if the kind allows one.
    pub retry_after: Option<Duration>,
}

impl RequestError {
    /// Creates an error with a description.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Sets the time after which the caller may retry.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

impl From<ErrorKind> for RequestError {
    fn from(kind: ErrorKind) -> Self {
        Self::new(kind, "")
    }
}

impl std::fmt::Display for RequestError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.kind.fmt(formatter)?;
        if !self.detail.is_empty() {
            write!(formatter, ": {}", self.detail)?;
        }
        Ok(())
    }
}

impl Error for RequestError {}

const fn row(
    sqlstate: &'static str,
    execution: Execution,
    may_retry: bool,
    closes: bool,
    label: &'static str,
) -> KindRow {
    KindRow {
        sqlstate,
        execution,
        may_retry,
        closes,
        label,
    }
}
