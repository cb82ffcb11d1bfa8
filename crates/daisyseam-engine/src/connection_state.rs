//! Session state that a database connection keeps from the sessions that used it.

use crate::values::{
    PreparedStatement,
    SessionValues, //
};
use std::{
    collections::HashMap,
    fmt::Write, //
};

/// Number of prepared statements at which a connection's state is discarded.
const MAX_PREPARED_STATEMENTS: usize = 64;

/// Bytes of prepared statements at which a connection's state is discarded. Statements may be large,
/// and they are kept after the sessions that prepared them have ended.
const MAX_PREPARED_BYTES: usize = 256 << 10;

/// Session values and prepared statements on a connection.
#[derive(Debug, Default)]
pub(crate) struct ConnectionSessionState {
    values: SessionValues,
    unknown: bool,
    set_in_transaction: bool,
    prepared: HashMap<PreparedStatement, u32>,
    prepared_bytes: usize,
    last_name: u32,
}

impl ConnectionSessionState {
    /// Returns the values that are set.
    pub(crate) fn values(&self) -> &SessionValues {
        &self.values
    }

    /// Returns whether exactly these values are set.
    pub(crate) fn matches(&self, values: &SessionValues) -> bool {
        !self.unknown && self.values == *values
    }

    /// Returns whether all state must be discarded before a session with these values uses the
    /// connection.
    pub(crate) fn needs_discard(&self, values: &SessionValues) -> bool {
        self.unknown
            || self.prepared.len() >= MAX_PREPARED_STATEMENTS
            || self.prepared_bytes >= MAX_PREPARED_BYTES
            || self.values.exceeds(values)
    }

    /// Records that all state was discarded.
    pub(crate) fn discard(&mut self) {
        self.values.clear();
        self.prepared.clear();
        self.prepared_bytes = 0;
        self.unknown = false;
    }

    /// Records that these values are now set.
    pub(crate) fn set_values(&mut self, values: &SessionValues, in_transaction: bool) {
        self.set_in_transaction |= in_transaction;
        self.values.clone_from(values);
    }

    /// Records that the state is unknown.
    pub(crate) fn set_unknown(&mut self) {
        self.unknown = true;
    }

    /// Records the end of a transaction; a rollback may have reverted values set in it.
    pub(crate) fn transaction_ended(&mut self, committed: bool) {
        let set = std::mem::take(&mut self.set_in_transaction);
        self.unknown |= set && !committed;
    }

    /// Returns the name under which a statement is prepared on this connection.
    pub(crate) fn prepared_name(&self, prepared: &PreparedStatement) -> Option<StatementName> {
        self.prepared.get(prepared).copied().map(StatementName::new)
    }

    /// Returns a statement name that has not been used on this connection.
    pub(crate) fn new_name(&mut self) -> StatementName {
        self.last_name += 1;
        StatementName::new(self.last_name)
    }

    /// Records that a statement is prepared under a name.
    pub(crate) fn insert_prepared(&mut self, prepared: &PreparedStatement, name: &StatementName) {
        self.prepared_bytes += prepared.text.len();
        self.prepared.insert(prepared.clone(), name.number);
    }

    /// Removes a statement that the database does not know.
    pub(crate) fn remove_prepared(&mut self, prepared: &PreparedStatement) {
        self.prepared.remove(prepared);
    }
}

/// A generated name of a prepared statement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StatementName {
    number: u32,
    text: String,
}

impl StatementName {
    fn new(number: u32) -> Self {
        let mut text = String::with_capacity(8);
        // Writing to a string cannot fail.
        let _ = write!(text, "d{number}");
        Self { number, text }
    }

    /// Returns the name as it is sent.
    pub(crate) fn as_bytes(&self) -> &[u8] {
        self.text.as_bytes()
    }
}
