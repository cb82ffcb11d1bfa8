//! Error responses, which claim "not run" only of requests that certainly did not run.

use daisyseam_model::{
    ErrorKind,
    Execution,
    RequestError, //
};
use pgwire::messages::{
    PgWireBackendMessage,
    response::ErrorResponse, //
};

/// Progress of a request on its way to a database.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SendProgress {
    /// Nothing was sent.
    #[default]
    Unsent,
    /// Part of the request may have been sent, but no commit of a write.
    Sent,
    /// The request was sent, and its transaction is known to be rolled back.
    RolledBack,
    /// A commit may have been sent.
    CommitSent,
}

impl SendProgress {
    /// Returns whether the request is known to have had no effect.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::Unsent | Self::RolledBack)
    }

    /// Replaces an error kind that claims "not run" if the request may have run.
    pub fn reportable_kind(self, kind: ErrorKind) -> ErrorKind {
        let claimed = kind.row().execution == Execution::NotRun;
        match self {
            Self::Sent | Self::CommitSent if claimed => ErrorKind::OutcomeUnknown,
            Self::Unsent | Self::RolledBack | Self::Sent | Self::CommitSent => kind,
        }
    }
}

/// Returns the error response for a request with the given progress.
///
/// # Panics
///
/// Panics if the response would claim "not run" for a request that may have run.
pub fn error_answer(error: &RequestError, progress: SendProgress) -> PgWireBackendMessage {
    let row = error.kind.row();
    assert!(
        row.execution != Execution::NotRun || progress.is_not_run(),
        "{:?} says that a request did not run, but its progress is {progress:?}",
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
    let mut hint = match row.execution {
        Execution::NotRun => "not run".to_owned(),
        Execution::Unknown => "unknown whether it ran".to_owned(),
        Execution::Ran => "it ran".to_owned(),
    };
    if row.may_retry {
        hint.push_str("; may be sent again");
    }
    if let Some(delay) = error.retry_after {
        hint.push_str(&format!("; retry after {} ms", delay.as_millis()));
    }
    hint
}
