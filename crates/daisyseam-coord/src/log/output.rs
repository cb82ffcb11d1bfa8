//! Output of the log, and the durable state that it starts from.

use super::{
    LogEntry,
    LogIndex,
    LogMessage,
    LogTerm,
    MemberTable, //
};
use bytes::Bytes;
use daisyseam_model::InstanceId;

/// Snapshot of the replicated state machine as of an index.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogSnapshot {
    /// Last index that it contains; 0 if there is no snapshot.
    pub index: LogIndex,
    /// Term at that index.
    pub term: LogTerm,
    /// Members as of that index.
    pub members: MemberTable,
    /// The encoded state.
    pub bytes: Bytes,
}

/// Durable state from which a member starts.
#[derive(Clone, Debug, Default)]
pub struct DurableLog {
    /// Highest term seen.
    pub term: LogTerm,
    /// Candidate that received this member's vote in that term.
    pub voted_for: Option<InstanceId>,
    /// The newest snapshot.
    pub snapshot: LogSnapshot,
    /// The entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

impl DurableLog {
    /// Returns the state of a member that starts for the first time; a spare has no members yet.
    pub fn initial(members: MemberTable) -> Self {
        Self {
            snapshot: LogSnapshot {
                members,
                ..LogSnapshot::default()
            },
            ..Self::default()
        }
    }
}

/// A write to durable storage.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogWrite {
    /// Replaces the term and vote.
    Vote {
        /// Highest term seen.
        term: LogTerm,
        /// Candidate that received the vote in that term.
        voted_for: Option<InstanceId>,
    },
    /// Replaces everything starting at the index of the first entry with these entries.
    Entries(Vec<LogEntry>),
    /// Replaces all entries with a snapshot from the leader.
    Snapshot(LogSnapshot),
}

/// Actions to perform, in the order of the fields.
#[derive(Clone, Debug, Default)]
pub struct LogOutput {
    /// Messages that can be sent before the writes are synced.
    pub before_sync: Vec<(InstanceId, LogMessage)>,
    /// Writes to sync together; then call [`super::ReplicatedLog::synced`].
    pub writes: Vec<LogWrite>,
    /// Messages that must not be sent before the writes are synced.
    pub after_sync: Vec<(InstanceId, LogMessage)>,
    /// Snapshot that replaces the state of the replicated state machine.
    pub restore: Option<LogSnapshot>,
    /// Committed entries to apply, each exactly once and in order.
    pub apply: Vec<LogEntry>,
}

impl LogOutput {
    /// Returns whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.before_sync.is_empty()
            && self.writes.is_empty()
            && self.after_sync.is_empty()
            && self.restore.is_none()
            && self.apply.is_empty()
    }
}
