//! Error answers, and the guard that keeps "not run" true.

use daisyseam_model::{
    ErrorKind,
    Execution,
    RequestError, //
};
use pgwire::messages::{
    PgWireBackendMessage,
    response::ErrorResponse, //
};

/// How far a request has come on its way to a database.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SendProgress {
    /// No byte of it has left.
    #[default]
    Unsent,
    /// A byte of it may have left; nothing was committed.
    Sent,
    /// It was sent, its transaction is rolled back for certain.
    RolledBack,
    /// A commit may have left.
    CommitSent,
}

impl SendProgress {
    /// Returns whether "not run" is true of the request.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::Unsent | Self::RolledBack)
    }

    /// Replaces a kind that would claim more than is known.
    pub fn settle(self, kind: ErrorKind) -> ErrorKind {
        let claimed = kind.row().execution == Execution::NotRun;
        match self {
            Self::Sent | Self::CommitSent if claimed => ErrorKind::OutcomeUnknown,
            Self::Unsent | Self::RolledBack | Self::Sent | Self::CommitSent => kind,
        }
    }
}

/// Writes the answer for an error of a request that has come so far.
///
/// # Panics
///
/// When the answer would say "not run" of a request that may have run.
pub fn error_answer(error: &RequestError, progress: SendProgress) -> PgWireBackendMessage {
    let row = error.kind.row();
    assert!(
        row.execution != Execution::NotRun || progress.is_not_run(),
        "{:?} says that a request did not run which is {progress:?}",
        error.kind
    );
    let severity = if row.closes { "FATAL" } else { "ERROR" };
    let mut fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', row.sqlstate.to_owned()),
        (b'M', error.kind.to_string()),
    ];
    if !error.detail.is_empty() {
        fields.push((b'D', error.detail.clone()));
    }
    fields.push((b'H', hint(error)));
    PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields))
}

fn hint(error: &RequestError) -> String {
    let row = error.kind.row();
    let mut words = match row.execution {
        Execution::NotRun => "not run".to_owned(),
        Execution::Unknown => "unknown whether it ran".to_owned(),
        Execution::Ran => "it ran".to_owned(),
    };
    if row.may_retry {
        words.push_str("; may be sent again");
    }
    if let Some(delay) = error.retry_after {
        words.push_str(&format!("; retry after {} ms", delay.as_millis()));
    }
    words
}
