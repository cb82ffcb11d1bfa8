//! A problem found in a document.

use serde::Serialize;

/// One problem, with the place where it was found.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// Whether it refuses the document.
    pub severity: Severity,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// What is wrong, in words.
    pub message: String,
}

/// Whether a problem refuses the document.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// It does.
    Error,
    /// It does not, but the operator should know.
    Warning,
}

impl std::fmt::Display for Problem {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(
            formatter,
            "{}:{}: {severity}: {}",
            self.line, self.column, self.message
        )
    }
}
