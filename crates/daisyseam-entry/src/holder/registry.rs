//! Registry of the connections to a held database, through which all can be closed at once.

use crate::database::ConnectionCloser;
use daisyseam_model::Term;
use parking_lot::Mutex;
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Weak, //
    }, //
};

/// Connections to a database.
#[derive(Debug, Default)]
pub(super) struct ConnectionRegistry {
    entries: Mutex<RegistryEntries>,
}

#[derive(Debug, Default)]
struct RegistryEntries {
    connections: BTreeMap<u64, ConnectionEntry>,
    next_number: u64,
    epoch: u64,
}

#[derive(Debug)]
struct ConnectionEntry {
    closer: Weak<ConnectionCloser>,
    checked_out_term: Option<Term>,
}

impl ConnectionRegistry {
    /// Returns the current epoch; [`ConnectionRegistry::close_all`] starts the next.
    pub(super) fn epoch(&self) -> u64 {
        self.entries.lock().epoch
    }

    /// Registers a connection opened in an epoch; returns nothing if that epoch is over.
    pub(super) fn add(&self, closer: &Arc<ConnectionCloser>, epoch: u64) -> Option<u64> {
        let mut entries = self.entries.lock();
        if entries.epoch != epoch {
            return None;
        }
        entries.next_number += 1;
        let number = entries.next_number;
        let entry = ConnectionEntry {
            closer: Arc::downgrade(closer),
            checked_out_term: None,
        };
        entries.connections.insert(number, entry);
        Some(number)
    }

    /// Records the term of the primary for which a connection is checked out; none for reads and
    /// idle connections.
    pub(super) fn check_out(&self, number: u64, term: Option<Term>) {
        if let Some(entry) = self.entries.lock().connections.get_mut(&number) {
            entry.checked_out_term = term;
        }
    }

    /// Removes a connection.
    pub(super) fn remove(&self, number: u64) {
        self.entries.lock().connections.remove(&number);
    }

    /// Closes every connection, including those being opened.
    pub(super) fn close_all(&self) {
        let mut entries = self.entries.lock();
        entries.epoch += 1;
        entries
            .connections
            .values()
            .for_each(ConnectionEntry::close);
    }

    /// Closes the connections checked out for the primary of an earlier term.
    pub(super) fn close_before_term(&self, term: Term) {
        let entries = self.entries.lock();
        entries
            .connections
            .values()
            .filter(|entry| {
                entry
                    .checked_out_term
                    .is_some_and(|checked_out| checked_out < term)
            })
            .for_each(ConnectionEntry::close);
    }
}

impl ConnectionEntry {
    fn close(&self) {
        if let Some(closer) = self.closer.upgrade() {
            closer.close();
        }
    }
}
