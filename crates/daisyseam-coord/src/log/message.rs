//! Messages between the members of a log.

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
    /// Requests a vote.
    VoteRequest(VoteRequest),
    /// Grants or refuses a vote.
    VoteResponse(VoteResponse),
    /// Entries to append; empty as a heartbeat.
    AppendRequest(AppendRequest),
    /// Reports whether entries were appended.
    AppendResponse(AppendResponse),
    /// A chunk of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Reports how much of a snapshot was received.
    SnapshotResponse(SnapshotResponse),
    /// Asks the receiver to take over leadership.
    TransferRequest(TransferRequest),
}

/// Request for a vote, or for a pre-vote.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VoteRequest {
    /// Term of the election.
    pub term: LogTerm,
    /// Index of the candidate's last entry.
    pub last_index: LogIndex,
    /// Term of that entry.
    pub last_term: LogTerm,
    /// Whether this is a pre-vote, which only asks whether a vote would be granted.
    pub pre_vote: bool,
    /// Whether the former leader gave up its lease in favour of this candidate.
    pub transfer: bool,
    /// Whether the candidate requires the votes of all voters. A leader that still holds a lease is
    /// one of them and refuses.
    pub unanimous: bool,
}

/// Response to a [`VoteRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VoteResponse {
    /// Term of the sender, or of the proposed election if a pre-vote is granted.
    pub term: LogTerm,
    /// Whether the vote is granted.
    pub granted: bool,
    /// Whether this responds to a pre-vote.
    pub pre_vote: bool,
}

/// Request to append entries; empty as a heartbeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AppendRequest {
    /// Term of the leader.
    pub term: LogTerm,
    /// Index before the first entry.
    pub previous_index: LogIndex,
    /// Term at that index.
    pub previous_term: LogTerm,
    /// The leader's commit index.
    pub commit: LogIndex,
    /// The entries.
    pub entries: Vec<LogEntry>,
    /// Heartbeat round of the leader.
    pub round: u64,
}

/// Response to an [`AppendRequest`], sent once the entries are synced.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AppendResponse {
    /// Term of the sender.
    pub term: LogTerm,
    /// Whether the entries were appended.
    pub success: bool,
    /// Last index known to match the leader's log.
    pub match_index: LogIndex,
    /// Last index that may match the leader's log, if the entries were not appended.
    pub hint_index: LogIndex,
    /// Heartbeat round of the request.
    pub round: u64,
}

/// A chunk of a snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SnapshotChunk {
    /// Term of the leader.
    pub term: LogTerm,
    /// Last index that the snapshot contains.
    pub last_index: LogIndex,
    /// Term at that index.
    pub last_term: LogTerm,
    /// Members as of that index.
    pub members: MemberTable,
    /// Offset of this chunk in bytes.
    pub offset: u64,
    /// Length of the whole snapshot in bytes.
    pub total: u64,
    /// Content of the chunk.
    pub bytes: Bytes,
    /// Heartbeat round of the leader.
    pub round: u64,
}

/// Response to a [`SnapshotChunk`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SnapshotResponse {
    /// Term of the sender.
    pub term: LogTerm,
    /// Last index that the snapshot contains.
    pub last_index: LogIndex,
    /// Offset of the next chunk to send.
    pub next_offset: u64,
    /// Whether the whole snapshot is synced.
    pub done: bool,
    /// Heartbeat round of the request.
    pub round: u64,
}

/// Asks the receiver to start an election at once; the leader has given up its lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TransferRequest {
    /// Term of the leader.
    pub term: LogTerm,
}

impl LogMessage {
    /// Returns the term of the sender.
    pub fn term(&self) -> LogTerm {
        match self {
            Self::VoteRequest(message) => message.term,
            Self::VoteResponse(message) => message.term,
            Self::AppendRequest(message) => message.term,
            Self::AppendResponse(message) => message.term,
            Self::SnapshotChunk(message) => message.term,
            Self::SnapshotResponse(message) => message.term,
            Self::TransferRequest(message) => message.term,
        }
    }
}
