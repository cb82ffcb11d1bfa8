//! Session state kept between requests: values and prepared statements.

use crate::StatementKind;
use bytes::Bytes;
use std::collections::BTreeMap;

/// Memory of an entry beside its bytes.
const ENTRY_BYTES: usize = 128;

/// Session values, sorted by name.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct SessionValues(Vec<(Bytes, Bytes)>);

impl SessionValues {
    /// Sets a value, replacing any previous one of that name.
    pub(crate) fn set(&mut self, name: Bytes, value: Bytes) {
        match self.0.binary_search_by(|(known, _)| known.cmp(&name)) {
            Ok(index) => self.0[index].1 = value,
            Err(index) => self.0.insert(index, (name, value)),
        }
    }

    /// Returns the names and values.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &(Bytes, Bytes)> {
        self.0.iter()
    }

    /// Returns the bytes of all names and values.
    pub(crate) fn bytes(&self) -> usize {
        let sizes = self.0.iter().map(|(name, value)| entry_bytes(name, value));
        sizes.sum()
    }

    /// Removes all values.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns whether a name is set here that is not set in `other`.
    pub(crate) fn exceeds(&self, other: &Self) -> bool {
        self.0.iter().any(|(name, _)| other.get(name).is_none())
    }

    /// Returns the values that are missing or different in `other`.
    pub(crate) fn missing_in<'a>(
        &'a self,
        other: &'a Self,
    ) -> impl Iterator<Item = &'a (Bytes, Bytes)> {
        self.0
            .iter()
            .filter(|(name, value)| other.get(name) != Some(value))
    }

    fn get(&self, name: &[u8]) -> Option<&Bytes> {
        let found = self.0.binary_search_by(|(known, _)| known[..].cmp(name));
        found.ok().map(|index| &self.0[index].1)
    }
}

/// The definition of a prepared statement.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct PreparedStatement {
    /// What it does to the data.
    pub(crate) kind: StatementKind,
    /// The statement to prepare.
    pub(crate) text: Bytes,
}

/// The prepared statements of a session, by the caller's names.
#[derive(Clone, Debug, Default)]
pub(crate) struct PreparedStatements {
    statements: BTreeMap<Bytes, PreparedStatement>,
    bytes: usize,
}

impl PreparedStatements {
    /// Adds a statement, replacing any previous one of that name.
    pub(crate) fn insert(&mut self, name: Bytes, prepared: PreparedStatement) {
        self.remove(&name);
        self.bytes += entry_bytes(&name, &prepared.text);
        self.statements.insert(name, prepared);
    }

    /// Removes a statement; returns whether there was one.
    pub(crate) fn remove(&mut self, name: &[u8]) -> bool {
        match self.statements.remove(name) {
            Some(removed) => {
                self.bytes -= entry_bytes(name, &removed.text);
                true
            }
            None => false,
        }
    }

    /// Returns the bytes of all names and statements.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the statement with a name.
    pub(crate) fn get(&self, name: &[u8]) -> Option<&PreparedStatement> {
        self.statements.get(name)
    }
}

/// Returns the memory of an entry.
fn entry_bytes(name: &[u8], value: &[u8]) -> usize {
    name.len() + value.len() + ENTRY_BYTES
}
