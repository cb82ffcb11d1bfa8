//! Conversions between messages and records of the log and their wire and store formats.

use bytes::Bytes;
use daisyseam_coord::{
    log::{
        AppendRequest,
        AppendResponse,
        DurableLog,
        EntryKind,
        LogEntry,
        LogIndex,
        LogMessage,
        LogSnapshot,
        LogTerm,
        MemberTable,
        SnapshotChunk,
        SnapshotResponse,
        TransferRequest,
        VoteRequest,
        VoteResponse, //
    }, //
};
use daisyseam_model::InstanceId;
use daisyseam_store::{
    EntryRecord,
    RecoveredState,
    SnapshotRecord,
    VoteRecord, //
};
use daisyseam_wire::{
    self as wire,
    control_message::Body, //
};

const KIND_BLANK: u8 = 0;
const KIND_COMMAND: u8 = 1;
const KIND_MEMBERS: u8 = 2;

/// A message between members with the names of its sender and recipient.
#[derive(Debug)]
pub(crate) struct MemberEnvelope {
    pub(crate) from: InstanceId,
    /// The recipient; an instance that lost its data folder has a different name than before.
    pub(crate) to: InstanceId,
    pub(crate) message: LogMessage,
}

/// Converts a message of the log to its wire format, including sender and recipient.
pub(crate) fn to_wire(from: &InstanceId, to: &InstanceId, message: LogMessage) -> Body {
    let from = from.to_string();
    let to = to.to_string();
    match message {
        LogMessage::VoteRequest(vote) => Body::Vote(wire::VoteRequest {
            from,
            to,
            term: vote.term.0,
            last_index: vote.last_index.0,
            last_term: vote.last_term.0,
            pre_vote: vote.pre_vote,
            transfer: vote.transfer,
            unanimous: vote.unanimous,
        }),
        LogMessage::VoteResponse(vote) => Body::Voted(wire::VoteReply {
            from,
            to,
            term: vote.term.0,
            granted: vote.granted,
            pre_vote: vote.pre_vote,
        }),
        LogMessage::AppendRequest(append) => Body::Append(wire::AppendRequest {
            from,
            to,
            term: append.term.0,
            previous_index: append.previous_index.0,
            previous_term: append.previous_term.0,
            commit: append.commit.0,
            entries: append.entries.into_iter().map(entry_to_wire).collect(),
            round: append.round,
        }),
        LogMessage::AppendResponse(answer) => Body::Appended(wire::AppendReply {
            from,
            to,
            term: answer.term.0,
            success: answer.success,
            match_index: answer.match_index.0,
            hint_index: answer.hint_index.0,
            round: answer.round,
            data_centre: String::new(),
        }),
        LogMessage::SnapshotChunk(chunk) => Body::Snapshot(wire::SnapshotChunk {
            from,
            to,
            term: chunk.term.0,
            last_index: chunk.last_index.0,
            last_term: chunk.last_term.0,
            offset: chunk.offset,
            total: chunk.total,
            bytes: chunk.bytes,
            members: chunk.members.encode(),
            round: chunk.round,
        }),
        LogMessage::SnapshotResponse(answer) => Body::SnapshotTaken(wire::SnapshotReply {
            from,
            to,
            term: answer.term.0,
            last_index: answer.last_index.0,
            next_offset: answer.next_offset,
            done: answer.done,
            round: answer.round,
        }),
        LogMessage::TransferRequest(transfer) => Body::Transfer(wire::TransferRequest {
            from,
            to,
            term: transfer.term.0,
        }),
    }
}

/// Converts a message between members from its wire format; `None` for other or invalid messages.
pub(crate) fn from_wire(body: Body) -> Option<MemberEnvelope> {
    let (from, to, message) = match body {
        Body::Vote(vote) => {
            let message = LogMessage::VoteRequest(VoteRequest {
                term: LogTerm(vote.term),
                last_index: LogIndex(vote.last_index),
                last_term: LogTerm(vote.last_term),
                pre_vote: vote.pre_vote,
                transfer: vote.transfer,
                unanimous: vote.unanimous,
            });
            (vote.from, vote.to, message)
        }
        Body::Voted(vote) => {
            let message = LogMessage::VoteResponse(VoteResponse {
                term: LogTerm(vote.term),
                granted: vote.granted,
                pre_vote: vote.pre_vote,
            });
            (vote.from, vote.to, message)
        }
        Body::Append(append) => {
            let entries = append.entries.into_iter().map(entry_from_wire);
            let message = LogMessage::AppendRequest(AppendRequest {
                term: LogTerm(append.term),
                previous_index: LogIndex(append.previous_index),
                previous_term: LogTerm(append.previous_term),
                commit: LogIndex(append.commit),
                entries: entries.collect::<Option<_>>()?,
                round: append.round,
            });
            (append.from, append.to, message)
        }
        Body::Appended(answer) => {
            let message = LogMessage::AppendResponse(AppendResponse {
                term: LogTerm(answer.term),
                success: answer.success,
                match_index: LogIndex(answer.match_index),
                hint_index: LogIndex(answer.hint_index),
                round: answer.round,
            });
            (answer.from, answer.to, message)
        }
        Body::Snapshot(chunk) => {
            let message = LogMessage::SnapshotChunk(SnapshotChunk {
                term: LogTerm(chunk.term),
                last_index: LogIndex(chunk.last_index),
                last_term: LogTerm(chunk.last_term),
                members: MemberTable::decode(&chunk.members)?,
                offset: chunk.offset,
                total: chunk.total,
                bytes: chunk.bytes,
                round: chunk.round,
            });
            (chunk.from, chunk.to, message)
        }
        Body::SnapshotTaken(answer) => {
            let message = LogMessage::SnapshotResponse(SnapshotResponse {
                term: LogTerm(answer.term),
                last_index: LogIndex(answer.last_index),
                next_offset: answer.next_offset,
                done: answer.done,
                round: answer.round,
            });
            (answer.from, answer.to, message)
        }
        Body::Transfer(transfer) => {
            let message = LogMessage::TransferRequest(TransferRequest {
                term: LogTerm(transfer.term),
            });
            (transfer.from, transfer.to, message)
        }
        _ => return None,
    };
    Some(MemberEnvelope {
        from: from.parse().ok()?,
        to: to.parse().ok()?,
        message,
    })
}

fn kind_number(kind: EntryKind) -> u8 {
    match kind {
        EntryKind::Blank => KIND_BLANK,
        EntryKind::Command => KIND_COMMAND,
        EntryKind::Members => KIND_MEMBERS,
    }
}

fn kind_from_number(number: u8) -> Option<EntryKind> {
    match number {
        KIND_BLANK => Some(EntryKind::Blank),
        KIND_COMMAND => Some(EntryKind::Command),
        KIND_MEMBERS => Some(EntryKind::Members),
        _ => None,
    }
}

fn entry_to_wire(entry: LogEntry) -> wire::LogEntry {
    wire::LogEntry {
        index: entry.index.0,
        term: entry.term.0,
        kind: u32::from(kind_number(entry.kind)),
        payload: entry.payload,
    }
}

fn entry_from_wire(entry: wire::LogEntry) -> Option<LogEntry> {
    Some(LogEntry {
        index: LogIndex(entry.index),
        term: LogTerm(entry.term),
        kind: kind_from_number(u8::try_from(entry.kind).ok()?)?,
        payload: entry.payload,
    })
}

pub(crate) fn entry_to_record(entry: LogEntry) -> EntryRecord {
    EntryRecord {
        index: entry.index.0,
        term: entry.term.0,
        kind: kind_number(entry.kind),
        payload: entry.payload.to_vec(),
    }
}

pub(crate) fn vote_to_record(term: LogTerm, voted_for: Option<&InstanceId>) -> VoteRecord {
    VoteRecord {
        term: term.0,
        voted_for: voted_for.map(ToString::to_string).unwrap_or_default(),
    }
}

pub(crate) fn snapshot_to_record(snapshot: &LogSnapshot) -> SnapshotRecord {
    SnapshotRecord {
        index: snapshot.index.0,
        term: snapshot.term.0,
        members: snapshot.members.encode().to_vec(),
        bytes: snapshot.bytes.to_vec(),
    }
}

/// Converts the recovered state to a durable log; `None` if it contains unknown records.
pub(crate) fn durable_log(state: RecoveredState, first: MemberTable) -> Option<DurableLog> {
    let snapshot = match state.snapshot.index {
        0 => LogSnapshot {
            members: first,
            ..LogSnapshot::default()
        },
        index => LogSnapshot {
            index: LogIndex(index),
            term: LogTerm(state.snapshot.term),
            members: MemberTable::decode(&state.snapshot.members)?,
            bytes: Bytes::from(state.snapshot.bytes),
        },
    };
    let entry = |record: EntryRecord| {
        Some(LogEntry {
            index: LogIndex(record.index),
            term: LogTerm(record.term),
            kind: kind_from_number(record.kind)?,
            payload: Bytes::from(record.payload),
        })
    };
    let voted_for = match state.vote.voted_for.as_str() {
        "" => None,
        name => Some(name.parse().ok()?),
    };
    Some(DurableLog {
        term: LogTerm(state.vote.term),
        voted_for,
        snapshot,
        entries: state
            .entries
            .into_iter()
            .map(entry)
            .collect::<Option<_>>()?,
    })
}
