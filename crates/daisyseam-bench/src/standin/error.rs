//! What a stand-in answers when it cannot do as asked.

use displaydoc::Display;
use pgwire::error::{
    ErrorInfo,
    PgWireError, //
};
use std::error::Error;

/// Why a stand-in refused a statement or a call.
#[derive(Debug, Display)]
pub enum StandInError {
    /// {0}
    Syntax(String),
    /// {0}
    Unsupported(String),
    /// cannot execute a write in a read-only transaction
    ReadOnly,
    /// current transaction is aborted, commands ignored until end of transaction block
    Aborted,
    /// terminating connection because this database is no longer primary
    Demoted,
    /// sorry, too many clients already
    TooManyConnections,
    /// {0}
    Sql(rusqlite::Error),
    /// the stand-in's files cannot be written: {0}
    Io(std::io::Error),
    /// the log does not continue at {0}
    Gap(daisyseam_model::LogPosition),
    /// a promise to term {0} stands
    Promised(daisyseam_model::Term),
    /// the log ends at {0}
    OtherEnd(daisyseam_model::LogPosition),
}

impl Error for StandInError {}

impl From<rusqlite::Error> for StandInError {
    fn from(error: rusqlite::Error) -> Self {
        Self::Sql(error)
    }
}

impl From<std::io::Error> for StandInError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

impl StandInError {
    /// Returns PostgreSQL's code and whether the connection ends.
    fn code(&self) -> (&'static str, bool) {
        match self {
            Self::Syntax(_) => ("42601", false),
            Self::Unsupported(_) => ("0A000", false),
            Self::ReadOnly => ("25006", false),
            Self::Aborted => ("25P02", false),
            Self::Demoted => ("57P01", true),
            Self::TooManyConnections => ("53300", true),
            Self::Sql(error) => (sql_code(error), false),
            Self::Io(_) | Self::Gap(_) | Self::Promised(_) | Self::OtherEnd(_) => ("XX000", false),
        }
    }
}

impl From<StandInError> for PgWireError {
    fn from(error: StandInError) -> Self {
        let (code, fatal) = error.code();
        let severity = if fatal { "FATAL" } else { "ERROR" };
        let info = ErrorInfo::new(severity.to_owned(), code.to_owned(), error.to_string());
        Self::UserError(Box::new(info))
    }
}

fn sql_code(error: &rusqlite::Error) -> &'static str {
    use rusqlite::ffi::{
        SQLITE_CONSTRAINT_NOTNULL,
        SQLITE_CONSTRAINT_PRIMARYKEY,
        SQLITE_CONSTRAINT_UNIQUE, //
    };
    let Some(code) = error.sqlite_error() else {
        return "42601";
    };
    match code.extended_code {
        SQLITE_CONSTRAINT_PRIMARYKEY | SQLITE_CONSTRAINT_UNIQUE => "23505",
        SQLITE_CONSTRAINT_NOTNULL => "23502",
        _ if code.code == rusqlite::ErrorCode::ConstraintViolation => "23514",
        _ if error.to_string().contains("no such table") => "42P01",
        _ if error.to_string().contains("no such column") => "42703",
        _ => "42601",
    }
}
