//! Entries of the log and the part of it that is kept in memory.

use super::{
    LogSnapshot,
    MemberTable, //
};
use bytes::Bytes;
use std::collections::VecDeque;

/// Index of an entry; the first entry has index 1.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// Returns the index after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the index before this one, or 0.
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// Term of a leader of the log; not to be confused with the term of a database group.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LogTerm(pub u64);

impl LogTerm {
    /// Returns the term after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// What an entry is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryKind {
    /// Nothing; every leader starts its term with one.
    Blank,
    /// A command of the embedding state machine.
    Command,
    /// The members from this entry on, as [`MemberTable::encode`] gives them.
    Members,
}

/// One entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogEntry {
    /// Its index.
    pub index: LogIndex,
    /// Term of the leader that made it.
    pub term: LogTerm,
    /// What it is for.
    pub kind: EntryKind,
    /// Its content.
    pub payload: Bytes,
}

/// The entries after the last snapshot.
#[derive(Clone, Debug)]
pub(super) struct LogTail {
    pub(super) snapshot: LogSnapshot,
    entries: VecDeque<LogEntry>,
}

impl LogTail {
    pub(super) fn new(snapshot: LogSnapshot, entries: Vec<LogEntry>) -> Self {
        let mut tail = Self {
            snapshot,
            entries: VecDeque::new(),
        };
        for entry in entries {
            if entry.index > tail.snapshot.index {
                assert_eq!(
                    entry.index,
                    tail.last_index().next(),
                    "the recovered log has a gap"
                );
                tail.entries.push_back(entry);
            }
        }
        tail
    }

    pub(super) fn last_index(&self) -> LogIndex {
        LogIndex(self.snapshot.index.0 + self.entries.len() as u64)
    }

    pub(super) fn last_term(&self) -> LogTerm {
        self.entries
            .back()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Returns the term at an index, if the index is still known.
    pub(super) fn term_at(&self, index: LogIndex) -> Option<LogTerm> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(super) fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        let offset = index.0.checked_sub(self.snapshot.index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    pub(super) fn push(&mut self, entry: LogEntry) {
        assert_eq!(entry.index, self.last_index().next(), "the log has a gap");
        self.entries.push_back(entry);
    }

    /// Drops the entries from an index on.
    pub(super) fn truncate_from(&mut self, index: LogIndex, commit: LogIndex) {
        assert!(index > commit, "the log is rewritten below commit");
        let keep = index.0 - self.snapshot.index.0 - 1;
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Returns the entries from an index on, up to a number and a size in bytes; at least one.
    pub(super) fn batch(&self, from: LogIndex, count: usize, bytes_max: usize) -> Vec<LogEntry> {
        let mut bytes = 0;
        let mut batch = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry.payload.len();
            if batch.len() >= count || (!batch.is_empty() && bytes > bytes_max) {
                break;
            }
            batch.push(entry.clone());
            index = index.next();
        }
        batch
    }

    /// Replaces the entries up to the snapshot's index by the snapshot.
    pub(super) fn compact(&mut self, snapshot: LogSnapshot) {
        let drop = snapshot.index.0.saturating_sub(self.snapshot.index.0);
        let drop = usize::try_from(drop).unwrap_or(usize::MAX);
        self.entries.drain(..drop.min(self.entries.len()));
        self.snapshot = snapshot;
    }

    /// Returns the members that the newest entry about them names, with the index of that entry.
    pub(super) fn members(&self) -> (LogIndex, MemberTable) {
        let newest = self.entries.iter().rev();
        let newest = newest
            .filter(|entry| entry.kind == EntryKind::Members)
            .find_map(|entry| Some((entry.index, MemberTable::decode(&entry.payload)?)));
        newest.unwrap_or_else(|| (self.snapshot.index, self.snapshot.members.clone()))
    }

    /// Returns the members as of an index.
    pub(super) fn members_at(&self, index: LogIndex) -> MemberTable {
        let newest = self
            .entries
            .iter()
            .rev()
            .filter(|entry| entry.index <= index && entry.kind == EntryKind::Members)
            .find_map(|entry| MemberTable::decode(&entry.payload));
        newest.unwrap_or_else(|| self.snapshot.members.clone())
    }
}
