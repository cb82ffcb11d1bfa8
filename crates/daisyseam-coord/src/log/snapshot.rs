//! Transfer of snapshots to members that lack entries that were compacted.

use super::{
    LogIndex,
    LogMessage,
    LogSnapshot,
    LogTerm,
    LogWrite,
    ReplicatedLog,
    SnapshotChunk,
    SnapshotResponse,
    entry::LogTail,
    role::MemberRole, //
};
use crate::Moment;
use bytes::{
    Bytes,
    BytesMut, //
};
use daisyseam_model::InstanceId;

/// A partially received snapshot.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    index: LogIndex,
    term: LogTerm,
    bytes: BytesMut,
}

impl ReplicatedLog {
    /// Sends the next chunk to a member, or an empty one as a heartbeat while a chunk is in flight.
    pub(super) fn send_chunk(&mut self, now: Moment, member: &InstanceId, heartbeat: bool) {
        let patience = self.settings.vote_refusal;
        let max_chunk_bytes = self.settings.max_chunk_bytes;
        let snapshot = &self.tail.snapshot;
        let MemberRole::Leader(state) = &mut self.role else {
            return;
        };
        let round = state.round();
        let Some(peer) = state.peers.get_mut(member) else {
            return;
        };
        let in_flight = peer.chunk_offset.is_some() && now < peer.chunk_sent + patience;
        if in_flight && !heartbeat {
            return;
        }
        let next_offset = peer.chunk_offset.unwrap_or(0);
        let total = snapshot.bytes.len();
        let offset = usize::try_from(next_offset).unwrap_or(0).min(total);
        let end = (offset + max_chunk_bytes).min(total);
        // A heartbeat while a chunk is in flight carries no data: it only renews the leadership.
        let end = if in_flight { offset } else { end };
        if !in_flight {
            peer.chunk_offset = Some(offset as u64);
            peer.chunk_sent = now;
        }
        let chunk = SnapshotChunk {
            term: self.term,
            last_index: snapshot.index,
            last_term: snapshot.term,
            members: snapshot.members.clone(),
            offset: offset as u64,
            total: total as u64,
            bytes: snapshot.bytes.slice(offset..end),
            round,
        };
        self.send_before_sync(member, LogMessage::SnapshotChunk(chunk));
    }

    pub(super) fn receive_chunk(&mut self, now: Moment, from: &InstanceId, chunk: SnapshotChunk) {
        if !self.follow_leader(now, from, chunk.term) {
            return self.respond_chunk(from, &chunk, 0, false);
        }
        if chunk.last_index <= self.commit {
            self.incoming = None;
            return self.respond_chunk(from, &chunk, chunk.total, true);
        }
        let same = |incoming: &IncomingSnapshot| {
            (incoming.index, incoming.term) == (chunk.last_index, chunk.last_term)
        };
        let incoming = self.incoming.take().filter(same);
        let mut incoming = incoming.unwrap_or_else(|| IncomingSnapshot {
            index: chunk.last_index,
            term: chunk.last_term,
            bytes: BytesMut::new(),
        });
        if chunk.offset == incoming.bytes.len() as u64 {
            incoming.bytes.extend_from_slice(&chunk.bytes);
        }
        let held = incoming.bytes.len() as u64;
        if held < chunk.total {
            self.incoming = Some(incoming);
            return self.respond_chunk(from, &chunk, held, false);
        }
        self.install(&chunk, incoming.bytes.freeze());
        self.respond_chunk(from, &chunk, held, true);
    }

    fn install(&mut self, chunk: &SnapshotChunk, bytes: Bytes) {
        let snapshot = LogSnapshot {
            index: chunk.last_index,
            term: chunk.last_term,
            members: chunk.members.clone(),
            bytes,
        };
        assert!(
            snapshot.index > self.commit,
            "a snapshot is older than the commit index"
        );
        // The snapshot already contains the entries that were about to be applied.
        self.output.apply.clear();
        self.output
            .writes
            .push(LogWrite::Snapshot(snapshot.clone()));
        self.output.restore = Some(snapshot.clone());
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.durable_index = snapshot.index;
        self.output_index = snapshot.index;
        self.tail = LogTail::new(snapshot, Vec::new());
        (self.members_index, self.members) = self.tail.members();
    }

    fn respond_chunk(&mut self, to: &InstanceId, chunk: &SnapshotChunk, next: u64, done: bool) {
        let response = SnapshotResponse {
            term: self.term,
            last_index: chunk.last_index,
            next_offset: next,
            done,
            round: chunk.round,
        };
        self.send_after_sync(to, LogMessage::SnapshotResponse(response));
    }

    pub(super) fn receive_snapshot_response(
        &mut self,
        now: Moment,
        from: &InstanceId,
        response: &SnapshotResponse,
    ) {
        if !self.accept_response(now, from, response.term, response.round) {
            return;
        }
        let index = self.tail.snapshot.index;
        let MemberRole::Leader(state) = &mut self.role else {
            return;
        };
        let Some(peer) = state.peers.get_mut(from) else {
            return;
        };
        if response.done {
            peer.chunk_offset = None;
            peer.matched = peer.matched.max(response.last_index);
            peer.next = peer.next.max(peer.matched.next());
            return self.resume_replication(now, from);
        }
        let next_offset = peer.chunk_offset;
        if peer.next <= index
            && response.last_index == index
            && next_offset != Some(response.next_offset)
        {
            peer.chunk_offset = Some(response.next_offset);
            // Backdate the last chunk so that the next one is sent at once.
            peer.chunk_sent = now - self.settings.vote_refusal;
            self.send_chunk(now, from, false);
        }
    }

    fn resume_replication(&mut self, now: Moment, member: &InstanceId) {
        self.update_commit(now);
        self.replicate(now, member, false);
    }
}
