//! State and operations common to all roles of a member.

use super::{
    DurableLog,
    EntryKind,
    LogEntry,
    LogIndex,
    LogMessage,
    LogOutput,
    LogSnapshot,
    LogTerm,
    LogWrite,
    MemberTable,
    entry::LogTail,
    leader::LeaderState,
    snapshot::IncomingSnapshot, //
};
use crate::Moment;
use bytes::Bytes;
use daisyseam_model::InstanceId;
use displaydoc::Display;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::{
    collections::BTreeSet,
    error::Error,
    time::Duration, //
};

/// Timing and size limits of a log.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Interval between two heartbeat rounds of the leader.
    pub heartbeat: Duration,
    /// How long the leader may act after the start of the last round that a majority responded to.
    pub lease: Duration,
    /// How long a follower refuses votes after it heard from a leader. It must exceed the lease by
    /// more than the largest difference in clock rates.
    pub vote_refusal: Duration,
    /// Maximum random delay after `vote_refusal` before a follower requests votes.
    pub election_spread: Duration,
    /// Delay before a candidate requests votes again, plus a random part of `election_spread`. It
    /// must be longer than two round trips.
    pub election_retry: Duration,
    /// Maximum number of unacknowledged entries in flight to one member.
    pub max_in_flight: usize,
    /// Maximum number of bytes in one append request.
    pub max_append_bytes: usize,
    /// Maximum number of bytes in one snapshot chunk.
    pub max_chunk_bytes: usize,
}

impl LogSettings {
    /// Returns settings for members with tens of milliseconds of latency and little CPU time.
    ///
    /// A new leader is elected within about 1.5 seconds.
    pub fn wide_area() -> Self {
        Self {
            heartbeat: Duration::from_millis(250),
            lease: Duration::from_millis(750),
            vote_refusal: Duration::from_millis(900),
            election_spread: Duration::from_millis(350),
            election_retry: Duration::from_millis(150),
            ..Self::default()
        }
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(50),
            lease: Duration::from_millis(240),
            vote_refusal: Duration::from_millis(280),
            election_spread: Duration::from_millis(160),
            election_retry: Duration::from_millis(100),
            max_in_flight: 4_096,
            max_append_bytes: 1 << 20,
            max_chunk_bytes: 256 << 10,
        }
    }
}

/// Reason why a proposal was rejected.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ProposeError {
    /// this member is not the leader
    NotLeader,
    /// leadership is being transferred
    TransferInProgress,
    /// another membership change is in progress
    ChangeInProgress,
    /// the leader has not committed an entry of its term yet
    TermNotCommitted,
    /// the learner has not caught up
    NotCaughtUp,
    /// the membership change is not applicable to the current members
    InvalidChange,
}

impl Error for ProposeError {}

/// One member of a replicated log.
#[derive(Debug)]
pub struct ReplicatedLog {
    pub(super) me: InstanceId,
    pub(super) settings: LogSettings,
    pub(super) random: ChaCha8Rng,
    pub(super) term: LogTerm,
    pub(super) voted_for: Option<InstanceId>,
    pub(super) tail: LogTail,
    pub(super) members: MemberTable,
    pub(super) members_index: LogIndex,
    pub(super) commit: LogIndex,
    pub(super) applied: LogIndex,
    pub(super) output_index: LogIndex,
    pub(super) durable_index: LogIndex,
    pub(super) role: MemberRole,
    pub(super) leader: Option<InstanceId>,
    pub(super) refuse_votes_until: Moment,
    pub(super) election_at: Moment,
    pub(super) incoming: Option<IncomingSnapshot>,
    pub(super) output: LogOutput,
}

/// Current role of a member.
#[derive(Debug)]
pub(super) enum MemberRole {
    Follower,
    PreCandidate {
        granted: BTreeSet<InstanceId>,
        unanimous: bool,
    },
    Candidate {
        granted: BTreeSet<InstanceId>,
        unanimous: bool,
    },
    Leader(LeaderState),
}

impl ReplicatedLog {
    /// Starts a member from its durable state.
    pub fn recover(
        me: InstanceId,
        settings: LogSettings,
        durable: DurableLog,
        now: Moment,
        random: ChaCha8Rng,
    ) -> Self {
        assert!(
            settings.lease < settings.vote_refusal,
            "the leader's lease must expire before members grant votes"
        );
        let tail = LogTail::new(durable.snapshot, durable.entries);
        let (members_index, members) = tail.members();
        let restore = (tail.snapshot.index > LogIndex(0)).then(|| tail.snapshot.clone());
        let mut log = Self {
            me,
            settings,
            random,
            term: durable.term,
            voted_for: durable.voted_for,
            commit: tail.snapshot.index,
            applied: tail.snapshot.index,
            output_index: tail.last_index(),
            durable_index: tail.last_index(),
            tail,
            members,
            members_index,
            role: MemberRole::Follower,
            leader: None,
            refuse_votes_until: Moment::ORIGIN,
            election_at: now,
            incoming: None,
            output: LogOutput {
                restore,
                ..LogOutput::default()
            },
        };
        if log.term > LogTerm(0) {
            // It may have heard from a leader just before it stopped, and that leader's lease relies on
            // the refusal. Without a term it has never heard from one.
            log.refuse_votes_until = now + log.settings.vote_refusal;
        }
        log.schedule_retry(now);
        log
    }

    /// Returns the actions that have accumulated since the last call.
    pub fn take_output(&mut self) -> LogOutput {
        self.output_index = self.tail.last_index();
        std::mem::take(&mut self.output)
    }

    /// Notifies the log that all writes returned so far are durable.
    pub fn synced(&mut self, now: Moment) {
        self.durable_index = self.output_index;
        self.update_commit(now);
    }

    /// Advances the time.
    pub fn tick(&mut self, now: Moment) {
        match &self.role {
            MemberRole::Leader(_) => self.tick_leader(now),
            _ if now >= self.election_at => self.start_pre_vote(now),
            _ => {}
        }
    }

    /// Returns the next moment at which [`ReplicatedLog::tick`] must be called.
    pub fn next_tick(&self) -> Moment {
        match &self.role {
            MemberRole::Leader(state) => state.heartbeat_at,
            _ => self.election_at,
        }
    }

    /// Processes a message from another member.
    pub fn receive(&mut self, now: Moment, from: &InstanceId, message: LogMessage) {
        match message {
            LogMessage::VoteRequest(request) => self.receive_vote_request(now, from, &request),
            LogMessage::VoteResponse(response) => self.receive_vote_response(now, from, &response),
            LogMessage::AppendRequest(request) => self.receive_append(now, from, request),
            LogMessage::AppendResponse(response) => {
                self.receive_append_response(now, from, &response)
            }
            LogMessage::SnapshotChunk(chunk) => self.receive_chunk(now, from, chunk),
            LogMessage::SnapshotResponse(response) => {
                self.receive_snapshot_response(now, from, &response)
            }
            LogMessage::TransferRequest(request) => self.receive_transfer(now, from, &request),
        }
    }

    /// Returns whether this member considers itself leader; its lease may have expired.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, MemberRole::Leader(_))
    }

    /// Returns the leader that this member follows, itself included.
    pub fn leader(&self) -> Option<&InstanceId> {
        self.leader.as_ref()
    }

    /// Returns the timing and size limits.
    pub fn settings(&self) -> &LogSettings {
        &self.settings
    }

    /// Returns the current term.
    pub fn term(&self) -> LogTerm {
        self.term
    }

    /// Returns the commit index.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Returns the index up to which entries were returned to be applied.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> LogIndex {
        self.tail.last_index()
    }

    /// Returns the index of the newest snapshot.
    pub fn snapshot_index(&self) -> LogIndex {
        self.tail.snapshot.index
    }

    /// Returns the newest membership, committed or not.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Returns the index of the newest membership entry, committed or not.
    pub fn members_index(&self) -> LogIndex {
        self.members_index
    }

    /// Returns an entry, unless it was compacted or does not exist.
    pub fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        self.tail.get(index)
    }

    /// Creates a snapshot of the applied state and drops the entries up to it from memory.
    ///
    /// The caller must write the returned snapshot to durable storage.
    pub fn compact(&mut self, bytes: Bytes) -> LogSnapshot {
        let index = self.applied;
        let term = self.tail.term_at(index).unwrap_or(self.tail.snapshot.term);
        let snapshot = LogSnapshot {
            index,
            term,
            members: self.tail.members_at(index),
            bytes,
        };
        self.tail.compact(snapshot.clone());
        snapshot
    }

    pub(super) fn become_follower(&mut self, now: Moment, term: LogTerm) {
        assert!(term >= self.term, "the term decreases");
        if term > self.term {
            self.term = term;
            self.voted_for = None;
            self.save_vote();
            self.leader = None;
        }
        if self.is_leader() {
            self.leader = None;
        }
        self.role = MemberRole::Follower;
        self.postpone_election(now);
    }

    pub(super) fn save_vote(&mut self) {
        self.output.writes.push(LogWrite::Vote {
            term: self.term,
            voted_for: self.voted_for.clone(),
        });
    }

    pub(super) fn postpone_election(&mut self, now: Moment) {
        self.schedule_election(now, self.settings.vote_refusal);
    }

    /// Schedules the next vote request, in case the current one fails.
    pub(super) fn schedule_retry(&mut self, now: Moment) {
        self.schedule_election(now, self.settings.election_retry);
    }

    fn schedule_election(&mut self, now: Moment, delay: Duration) {
        let spread = self.settings.election_spread.as_micros();
        let spread = u64::try_from(spread).unwrap_or(u64::MAX);
        let extra = self.random.random_range(0..=spread);
        self.election_at = now + delay + Duration::from_micros(extra);
    }

    /// Replaces everything starting at the index of the first entry with these entries.
    pub(super) fn write_entries(&mut self, entries: Vec<LogEntry>) {
        let Some(first) = entries.first().map(|entry| entry.index) else {
            return;
        };
        if first <= self.tail.last_index() {
            self.tail.truncate_from(first, self.commit);
            self.output_index = self.output_index.min(first.previous());
            self.durable_index = self.durable_index.min(first.previous());
        }
        for entry in &entries {
            self.tail.push(entry.clone());
        }
        let changes_members = entries.iter().any(|entry| entry.kind == EntryKind::Members);
        if changes_members || first <= self.members_index {
            (self.members_index, self.members) = self.tail.members();
        }
        self.output.writes.push(LogWrite::Entries(entries));
    }

    pub(super) fn advance_commit(&mut self, commit: LogIndex) {
        if commit <= self.commit {
            return;
        }
        assert!(
            commit <= self.tail.last_index(),
            "the commit index is past the end of the log"
        );
        self.commit = commit;
        while self.applied < self.commit {
            let next = self.applied.next();
            let Some(entry) = self.tail.get(next) else {
                break;
            };
            self.output.apply.push(entry.clone());
            self.applied = next;
        }
        assert!(
            self.applied <= self.commit,
            "the applied index is past the commit index"
        );
    }

    pub(super) fn send_before_sync(&mut self, to: &InstanceId, message: LogMessage) {
        self.output.before_sync.push((to.clone(), message));
    }

    pub(super) fn send_after_sync(&mut self, to: &InstanceId, message: LogMessage) {
        self.output.after_sync.push((to.clone(), message));
    }

    pub(super) fn other_voters(&self) -> Vec<InstanceId> {
        let others = self
            .members
            .voters
            .keys()
            .filter(|voter| **voter != self.me);
        others.cloned().collect()
    }

    pub(super) fn is_voter(&self) -> bool {
        self.members.voters.contains_key(&self.me)
    }
}
