//! What the log wants done, and what it starts from.

use super::{
    LogEntry,
    LogIndex,
    LogMessage,
    LogTerm,
    MemberTable, //
};
use bytes::Bytes;
use daisyseam_model::InstanceId;

/// The state of the embedding machine as of an index.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogSnapshot {
    /// Last index in it; 0 when there is none.
    pub index: LogIndex,
    /// Term at that index.
    pub term: LogTerm,
    /// Members as of that index.
    pub members: MemberTable,
    /// The encoded state.
    pub bytes: Bytes,
}

/// What is durable when a member starts.
#[derive(Clone, Debug, Default)]
pub struct DurableLog {
    /// Highest term seen.
    pub term: LogTerm,
    /// Who was given this member's vote in that term.
    pub voted_for: Option<InstanceId>,
    /// The newest snapshot.
    pub snapshot: LogSnapshot,
    /// The entries after it.
    pub entries: Vec<LogEntry>,
}

impl DurableLog {
    /// Returns what a member starts from the first time; a spare starts with no members.
    pub fn first(members: MemberTable) -> Self {
        Self {
            snapshot: LogSnapshot {
                members,
                ..LogSnapshot::default()
            },
            ..Self::default()
        }
    }
}

/// One write to durable storage.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogWrite {
    /// Term and vote, in place of the former ones.
    Vote {
        /// Highest term seen.
        term: LogTerm,
        /// Who was given the vote in that term.
        voted_for: Option<InstanceId>,
    },
    /// Entries, in place of everything from the index of the first one on.
    Entries(Vec<LogEntry>),
    /// A snapshot from the leader, in place of all entries.
    Snapshot(LogSnapshot),
}

/// What is to be done, in the order of the fields.
#[derive(Clone, Debug, Default)]
pub struct LogOutput {
    /// Messages that need nothing durable.
    pub early: Vec<(InstanceId, LogMessage)>,
    /// Writes; they are synced together, then [`super::ReplicatedLog::synced`] is called.
    pub writes: Vec<LogWrite>,
    /// Messages that must not leave before the writes are synced.
    pub late: Vec<(InstanceId, LogMessage)>,
    /// A snapshot that replaces the state of the embedding machine.
    pub restore: Option<LogSnapshot>,
    /// Committed entries for the embedding machine, each once and in order.
    pub apply: Vec<LogEntry>,
}

impl LogOutput {
    /// Returns whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.early.is_empty()
            && self.writes.is_empty()
            && self.late.is_empty()
            && self.restore.is_none()
            && self.apply.is_empty()
    }
}
