//! Log entries and the in-memory part of the log.

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

/// Term of a log leader, unrelated to the term of a database group.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LogTerm(pub u64);

impl LogTerm {
    /// Returns the term after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Kind of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryKind {
    /// No-op with which every leader starts its term.
    Blank,
    /// Command for the replicated state machine.
    Command,
    /// Membership from this entry on, encoded by [`MemberTable::encode`].
    Members,
}

/// An entry of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogEntry {
    /// Index of the entry.
    pub index: LogIndex,
    /// Term of the leader that appended it.
    pub term: LogTerm,
    /// Kind of the entry.
    pub kind: EntryKind,
    /// Payload, depending on the kind.
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

    /// Returns the term at an index, unless the entry was compacted or does not exist.
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

    /// Removes all entries starting at an index.
    pub(super) fn truncate_from(&mut self, index: LogIndex, commit: LogIndex) {
        assert!(index > commit, "a committed entry is truncated");
        let keep = index.0 - self.snapshot.index.0 - 1;
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Returns up to `count` entries starting at an index, limited to about `bytes_max` bytes.
    ///
    /// The first entry is returned even if it exceeds the size limit.
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

    /// Replaces all entries up to the snapshot's index with the snapshot.
    pub(super) fn compact(&mut self, snapshot: LogSnapshot) {
        let drop = snapshot.index.0.saturating_sub(self.snapshot.index.0);
        let drop = usize::try_from(drop).unwrap_or(usize::MAX);
        self.entries.drain(..drop.min(self.entries.len()));
        self.snapshot = snapshot;
    }

    /// Returns the newest membership, committed or not, and the index of its entry.
    pub(super) fn members(&self) -> (LogIndex, MemberTable) {
        let newest = self.entries.iter().rev();
        let newest = newest
            .filter(|entry| entry.kind == EntryKind::Members)
            .find_map(|entry| Some((entry.index, MemberTable::decode(&entry.payload)?)));
        newest.unwrap_or_else(|| (self.snapshot.index, self.snapshot.members.clone()))
    }

    /// Returns the membership as of an index.
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
