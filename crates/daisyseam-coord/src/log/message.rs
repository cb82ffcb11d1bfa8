//! What members of a log say to each other.

use super::{
    LogEntry,
    LogIndex,
    LogTerm,
    MemberTable, //
};
use bytes::Bytes;

/// A message between two members.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogMessage {
    /// Asks for a vote.
    Vote(VoteRequest),
    /// A vote.
    Voted(VoteResponse),
    /// Entries, or none as a heartbeat.
    Append(AppendRequest),
    /// Whether they were appended.
    Appended(AppendResponse),
    /// A piece of a snapshot.
    Snapshot(SnapshotChunk),
    /// Whether it was taken.
    SnapshotTaken(SnapshotResponse),
    /// The leader hands its place over.
    Transfer(TransferRequest),
}

/// Asks for a vote, or whether one would be given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VoteRequest {
    /// Term of the election.
    pub term: LogTerm,
    /// Index of the candidate's last entry.
    pub last_index: LogIndex,
    /// Term of that entry.
    pub last_term: LogTerm,
    /// Whether this only asks.
    pub pre_vote: bool,
    /// Whether the former leader has given its lease up for this candidate.
    pub transfer: bool,
    /// Whether the candidate wants the votes of all voters: a leader that still holds a lease is
    /// one of them and refuses.
    pub unanimous: bool,
}

/// A vote.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VoteResponse {
    /// Term of the sender; of the election that was asked about if a pre-vote is granted.
    pub term: LogTerm,
    /// Whether it is given.
    pub granted: bool,
    /// Whether it answers a pre-vote.
    pub pre_vote: bool,
}

/// Entries, or none as a heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AppendRequest {
    /// Term of the leader.
    pub term: LogTerm,
    /// Index before the first entry.
    pub previous_index: LogIndex,
    /// Term at that index.
    pub previous_term: LogTerm,
    /// Index up to which the log is committed.
    pub commit: LogIndex,
    /// The entries.
    pub entries: Vec<LogEntry>,
    /// Round of the leader.
    pub round: u64,
}

/// Whether entries were appended and synced.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AppendResponse {
    /// Term of the sender.
    pub term: LogTerm,
    /// Whether they were.
    pub success: bool,
    /// Last index known to agree.
    pub match_index: LogIndex,
    /// Last index that may agree, when they were not appended.
    pub hint_index: LogIndex,
    /// Round that is answered.
    pub round: u64,
}

/// A piece of a snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SnapshotChunk {
    /// Term of the leader.
    pub term: LogTerm,
    /// Last index in the snapshot.
    pub last_index: LogIndex,
    /// Term at that index.
    pub last_term: LogTerm,
    /// Members as of that index.
    pub members: MemberTable,
    /// Offset of this piece, in bytes.
    pub offset: u64,
    /// Length of the whole, in bytes.
    pub total: u64,
    /// The piece.
    pub bytes: Bytes,
    /// Round of the leader.
    pub round: u64,
}

/// How much of a snapshot was taken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SnapshotResponse {
    /// Term of the sender.
    pub term: LogTerm,
    /// Last index of that snapshot.
    pub last_index: LogIndex,
    /// Offset that is wanted next.
    pub next_offset: u64,
    /// Whether all of it is synced.
    pub done: bool,
    /// Round that is answered.
    pub round: u64,
}

/// The leader hands its place over; it has given up its lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TransferRequest {
    /// Term of the leader.
    pub term: LogTerm,
}

impl LogMessage {
    /// Returns the term of the sender.
    pub fn term(&self) -> LogTerm {
        match self {
            Self::Vote(message) => message.term,
            Self::Voted(message) => message.term,
            Self::Append(message) => message.term,
            Self::Appended(message) => message.term,
            Self::Snapshot(message) => message.term,
            Self::SnapshotTaken(message) => message.term,
            Self::Transfer(message) => message.term,
        }
    }
}
