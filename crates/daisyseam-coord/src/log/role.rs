//! The state that every member has, whatever its role.

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

/// Times and sizes of a log.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Time between two rounds of the leader.
    pub heartbeat: Duration,
    /// Time for which the leader may act after a majority was last asked and answered.
    pub lease: Duration,
    /// Time for which a follower refuses votes after it heard from a leader; longer than the lease
    /// by more than the greatest difference in clock rates.
    pub vote_refusal: Duration,
    /// Greatest random addition to `vote_refusal` before a follower asks for votes.
    pub election_spread: Duration,
    /// Time before a member asks for votes again, plus a random part of `election_spread`; longer
    /// than two answers take.
    pub election_retry: Duration,
    /// Most entries under way to one member.
    pub window: usize,
    /// Most bytes in one append.
    pub batch_bytes: usize,
    /// Most bytes in one piece of a snapshot.
    pub chunk_bytes: usize,
}

impl LogSettings {
    /// Returns settings for members tens of milliseconds apart that get little processor time: the
    /// next leader stands within about a second and a half.
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
            window: 4_096,
            batch_bytes: 1 << 20,
            chunk_bytes: 256 << 10,
        }
    }
}

/// Why something was not proposed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ProposeError {
    /// this member does not lead
    NotLeader,
    /// the leadership is being handed over
    HandingOver,
    /// another change of members is under way
    ChangeUnderWay,
    /// the leader has not committed an entry of its term yet
    TooEarly,
    /// the learner has not caught up
    NotCaughtUp,
    /// the change of members does not fit
    Unfitting,
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
    pub(super) taken: LogIndex,
    pub(super) durable: LogIndex,
    pub(super) role: MemberRole,
    pub(super) leader: Option<InstanceId>,
    pub(super) refuses_until: Moment,
    pub(super) election_at: Moment,
    pub(super) incoming: Option<IncomingSnapshot>,
    pub(super) output: LogOutput,
}

/// What a member does at present.
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
    /// Starts a member from what is durable.
    pub fn recover(
        me: InstanceId,
        settings: LogSettings,
        durable: DurableLog,
        now: Moment,
        random: ChaCha8Rng,
    ) -> Self {
        assert!(
            settings.lease < settings.vote_refusal,
            "the leader's lease must end before votes are given"
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
            taken: tail.last_index(),
            durable: tail.last_index(),
            tail,
            members,
            members_index,
            role: MemberRole::Follower,
            leader: None,
            refuses_until: Moment::ORIGIN,
            election_at: now,
            incoming: None,
            output: LogOutput {
                restore,
                ..LogOutput::default()
            },
        };
        if log.term > LogTerm(0) {
            // It may have heard from a leader just before it stopped; else nobody counts on it.
            log.refuses_until = now + log.settings.vote_refusal;
        }
        log.schedule_retry(now);
        log
    }

    /// Takes what is to be done since the last call.
    pub fn take_output(&mut self) -> LogOutput {
        self.taken = self.tail.last_index();
        std::mem::take(&mut self.output)
    }

    /// Learns that all writes taken so far are durable.
    pub fn synced(&mut self, now: Moment) {
        self.durable = self.taken;
        self.count_matches(now);
    }

    /// Learns that time has passed.
    pub fn tick(&mut self, now: Moment) {
        match &self.role {
            MemberRole::Leader(_) => self.tick_leader(now),
            _ if now >= self.election_at => self.start_pre_vote(now),
            _ => {}
        }
    }

    /// Returns the moment at which [`ReplicatedLog::tick`] is wanted next.
    pub fn next_tick(&self) -> Moment {
        match &self.role {
            MemberRole::Leader(state) => state.heartbeat_at,
            _ => self.election_at,
        }
    }

    /// Takes a message from another member.
    pub fn receive(&mut self, now: Moment, from: &InstanceId, message: LogMessage) {
        match message {
            LogMessage::Vote(request) => self.receive_vote_request(now, from, &request),
            LogMessage::Voted(response) => self.receive_vote(now, from, &response),
            LogMessage::Append(request) => self.receive_append(now, from, request),
            LogMessage::Appended(response) => self.receive_appended(now, from, &response),
            LogMessage::Snapshot(chunk) => self.receive_chunk(now, from, chunk),
            LogMessage::SnapshotTaken(response) => self.receive_taken(now, from, &response),
            LogMessage::Transfer(request) => self.receive_transfer(now, from, &request),
        }
    }

    /// Returns whether this member leads, as far as it knows; its lease may have run out.
    pub fn leads(&self) -> bool {
        matches!(self.role, MemberRole::Leader(_))
    }

    /// Returns the leader that this member follows, itself included.
    pub fn leader(&self) -> Option<&InstanceId> {
        self.leader.as_ref()
    }

    /// Returns its times and sizes.
    pub fn settings(&self) -> &LogSettings {
        &self.settings
    }

    /// Returns the present term.
    pub fn term(&self) -> LogTerm {
        self.term
    }

    /// Returns the index up to which entries are committed.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Returns the index up to which entries were given out to be applied.
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

    /// Returns the members by the newest entry about them, committed or not.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Returns the index of the newest entry about the members, committed or not.
    pub fn members_index(&self) -> LogIndex {
        self.members_index
    }

    /// Returns an entry that is still kept.
    pub fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        self.tail.get(index)
    }

    /// Makes a snapshot of the applied state; entries up to it are dropped from memory.
    ///
    /// The caller writes what is returned to durable storage.
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
        assert!(term >= self.term, "the term goes back");
        if term > self.term {
            self.term = term;
            self.voted_for = None;
            self.save_vote();
            self.leader = None;
        }
        if self.leads() {
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
        self.ask_after(now, self.settings.vote_refusal);
    }

    /// Lets a member that asks for votes ask again if it does not get them.
    pub(super) fn schedule_retry(&mut self, now: Moment) {
        self.ask_after(now, self.settings.election_retry);
    }

    fn ask_after(&mut self, now: Moment, delay: Duration) {
        let spread = self.settings.election_spread.as_micros();
        let spread = u64::try_from(spread).unwrap_or(u64::MAX);
        let extra = self.random.random_range(0..=spread);
        self.election_at = now + delay + Duration::from_micros(extra);
    }

    /// Appends new entries in place of everything from the first one's index on.
    pub(super) fn write_entries(&mut self, entries: Vec<LogEntry>) {
        let Some(first) = entries.first().map(|entry| entry.index) else {
            return;
        };
        if first <= self.tail.last_index() {
            self.tail.truncate_from(first, self.commit);
            self.taken = self.taken.min(first.previous());
            self.durable = self.durable.min(first.previous());
        }
        for entry in &entries {
            self.tail.push(entry.clone());
        }
        let about_members = entries.iter().any(|entry| entry.kind == EntryKind::Members);
        if about_members || first <= self.members_index {
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
            "commit goes past the log's end"
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
        assert!(self.applied <= self.commit, "applied goes past commit");
    }

    pub(super) fn send_early(&mut self, to: &InstanceId, message: LogMessage) {
        self.output.early.push((to.clone(), message));
    }

    pub(super) fn send_late(&mut self, to: &InstanceId, message: LogMessage) {
        self.output.late.push((to.clone(), message));
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
