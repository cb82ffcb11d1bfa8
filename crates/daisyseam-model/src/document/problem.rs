//! A problem found in a document.

use serde::Serialize;

/// One problem, with the place where it was found.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// Whether it causes the document to be refused.
    pub severity: Severity,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Description of the problem.
    pub message: String,
}

/// Whether a problem causes the document to be refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The document is refused.
    Error,
    /// The document is accepted, but the operator should be told.
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
