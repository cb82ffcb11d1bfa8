//! What a stand-in ships to its replicas: a logical log of committed statements.

use daisyseam_model::{
    LogPosition,
    Position,
    Term, //
};
use rusqlite::types::Value;
use serde::{
    Deserialize,
    Serialize, //
};

/// Bytes that a record takes besides its statements.
const RECORD_HEADER_BYTES: u64 = 24;

/// One committed transaction, or the start of a term when it holds no transaction.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LogRecord {
    /// Term of the primary that wrote it.
    pub term: Term,
    /// Position before it.
    pub start: Position,
    /// Position after it.
    pub end: Position,
    /// Transaction, none at the start of a term.
    pub xid: Option<u64>,
    /// Time that its statements saw, in milliseconds since 1970.
    pub unix_ms: i64,
    /// Its statements, in order.
    pub statements: Vec<LoggedStatement>,
}

impl LogRecord {
    /// Makes the record that follows a position.
    pub fn after(
        start: Position,
        term: Term,
        xid: Option<u64>,
        unix_ms: i64,
        statements: Vec<LoggedStatement>,
    ) -> Self {
        let bytes: u64 = statements.iter().map(LoggedStatement::bytes).sum();
        Self {
            term,
            start,
            end: Position(start.0 + RECORD_HEADER_BYTES + bytes),
            xid,
            unix_ms,
            statements,
        }
    }

    /// Returns the place that is reached with it.
    pub fn reaches(&self) -> LogPosition {
        LogPosition {
            term: self.term,
            position: self.end,
        }
    }
}

/// One statement with its parameters.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoggedStatement {
    /// The statement.
    pub sql: String,
    /// Parameters, in the order of their numbers.
    pub values: Vec<LoggedValue>,
}

impl LoggedStatement {
    fn bytes(&self) -> u64 {
        let values: usize = self.values.iter().map(LoggedValue::bytes).sum();
        (self.sql.len() + values) as u64
    }
}

/// One parameter.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum LoggedValue {
    /// No value.
    Null,
    /// A whole number.
    Integer(i64),
    /// A number.
    Real(f64),
    /// A text.
    Text(String),
    /// Bytes.
    Blob(Vec<u8>),
}

impl LoggedValue {
    fn bytes(&self) -> usize {
        match self {
            Self::Null => 1,
            Self::Integer(_) | Self::Real(_) => 8,
            Self::Text(text) => text.len(),
            Self::Blob(bytes) => bytes.len(),
        }
    }
}

impl From<&Value> for LoggedValue {
    fn from(value: &Value) -> Self {
        match value {
            Value::Null => Self::Null,
            Value::Integer(number) => Self::Integer(*number),
            Value::Real(number) => Self::Real(*number),
            Value::Text(text) => Self::Text(text.clone()),
            Value::Blob(bytes) => Self::Blob(bytes.clone()),
        }
    }
}

impl From<&LoggedValue> for Value {
    fn from(value: &LoggedValue) -> Self {
        match value {
            LoggedValue::Null => Self::Null,
            LoggedValue::Integer(number) => Self::Integer(*number),
            LoggedValue::Real(number) => Self::Real(*number),
            LoggedValue::Text(text) => Self::Text(text.clone()),
            LoggedValue::Blob(bytes) => Self::Blob(bytes.clone()),
        }
    }
}
