//! Output and failures of commands.

use daisyseam_model::document::Problem;
use daisyseam_runtime::{
    OperatorError,
    SettingProblem,
    exit, //
};
use displaydoc::Display;
use serde_json::{
    Value,
    json, //
};
use std::{
    error::Error,
    io, //
};

/// The output of a command.
#[derive(Debug)]
pub struct CtlOutput {
    /// Output as text, with the final newline.
    pub text: String,
    /// Output as JSON.
    pub json: Value,
}

/// Why a command failed.
#[derive(Debug, Display)]
pub enum CtlFailure {
    /// {0} settings are not valid
    Settings(SettingList),
    /// the file `{path}` cannot be read: {error}
    File {
        /// Path from the command line.
        path: String,
        /// Error from the operating system.
        error: io::Error,
    },
    /// the document has problems: {0}
    Document(ProblemList),
    /// {0}
    Operator(OperatorError),
    /// there is no document {0}
    NoDocument(u64),
    /// not accepted: {0}
    Refused(String),
    /// submission `{winner}` already has number {number}
    LostRace {
        /// Number of both submitted documents.
        number: u64,
        /// Identifier of the accepted submission.
        winner: String,
    },
}

impl Error for CtlFailure {}

impl CtlFailure {
    /// Returns the exit code.
    pub fn exit_code(&self) -> i32 {
        match self {
            Self::Settings(_) => exit::USAGE,
            Self::File { .. } | Self::NoDocument(_) | Self::Refused(_) => exit::FAILURE,
            Self::Document(_) => exit::INVALID_DOCUMENT,
            Self::Operator(_) => exit::UNREACHABLE,
            Self::LostRace { .. } => exit::LOST_RACE,
        }
    }

    /// Returns the failure as JSON.
    pub fn to_json(&self) -> Value {
        let problems = match self {
            Self::Document(list) => json!(list.0),
            _ => json!([]),
        };
        json!({"error": self.to_string(), "problems": problems, "exit_code": self.exit_code()})
    }
}

/// Problems of settings; displayed as their number, then one per line.
#[derive(Debug)]
pub struct SettingList(pub Vec<SettingProblem>);

impl std::fmt::Display for SettingList {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.0.len())?;
        for problem in &self.0 {
            write!(formatter, "\n  {problem}")?;
        }
        Ok(())
    }
}

/// Problems of a document; displayed as their number, then one per line.
#[derive(Debug)]
pub struct ProblemList(pub Vec<Problem>);

impl std::fmt::Display for ProblemList {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.0.len())?;
        for problem in &self.0 {
            write!(formatter, "\n  {problem}")?;
        }
        Ok(())
    }
}
