//! What a database connection holds of the sessions that used it.

use crate::values::{
    PreparedShape,
    SessionValues, //
};
use std::{
    collections::HashMap,
    fmt::Write, //
};

/// Most prepared statements of a connection before all of them are dropped.
const SHAPES_MAX: usize = 64;

/// Values and prepared statements that a connection holds.
#[derive(Debug, Default)]
pub(crate) struct ConnectionMemory {
    values: SessionValues,
    uncertain: bool,
    set_in_transaction: bool,
    shapes: HashMap<PreparedShape, u32>,
    last_name: u32,
}

impl ConnectionMemory {
    /// Returns the values that it holds.
    pub(crate) fn values(&self) -> &SessionValues {
        &self.values
    }

    /// Returns whether it holds exactly these values.
    pub(crate) fn equals(&self, values: &SessionValues) -> bool {
        !self.uncertain && self.values == *values
    }

    /// Returns whether all must be dropped before a session with these values uses it.
    pub(crate) fn must_discard(&self, values: &SessionValues) -> bool {
        self.uncertain || self.shapes.len() >= SHAPES_MAX || self.values.exceeds(values)
    }

    /// Notes that all was dropped.
    pub(crate) fn discarded(&mut self) {
        self.values.clear();
        self.shapes.clear();
        self.uncertain = false;
    }

    /// Notes that it holds these values now.
    pub(crate) fn restored(&mut self, values: &SessionValues, in_transaction: bool) {
        self.set_in_transaction |= in_transaction;
        self.values.clone_from(values);
    }

    /// Notes that what it holds can no longer be told.
    pub(crate) fn doubt(&mut self) {
        self.uncertain = true;
    }

    /// Notes the end of a transaction; one that rolled back may have taken values along.
    pub(crate) fn transaction_ended(&mut self, committed: bool) {
        let set = std::mem::take(&mut self.set_in_transaction);
        self.uncertain |= set && !committed;
    }

    /// Returns the name under which a statement is prepared here.
    pub(crate) fn name(&self, shape: &PreparedShape) -> Option<StatementName> {
        self.shapes.get(shape).copied().map(StatementName::new)
    }

    /// Gives a statement a name that was never given on this connection.
    pub(crate) fn new_name(&mut self) -> StatementName {
        self.last_name += 1;
        StatementName::new(self.last_name)
    }

    /// Notes that a statement is prepared under a name.
    pub(crate) fn prepared(&mut self, shape: &PreparedShape, name: &StatementName) {
        self.shapes.insert(shape.clone(), name.number);
    }

    /// Forgets a statement that the database does not know.
    pub(crate) fn forget(&mut self, shape: &PreparedShape) {
        self.shapes.remove(shape);
    }
}

/// A name of the system's own for a prepared statement.
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

    /// Borrows it as it is sent.
    pub(crate) fn as_bytes(&self) -> &[u8] {
        self.text.as_bytes()
    }
}
