//! Leader: replication, commit index, lease, membership changes and leadership transfer.

use super::{
    AppendRequest,
    AppendResponse,
    EntryKind,
    LogEntry,
    LogIndex,
    LogMessage,
    LogTerm,
    MemberChange,
    ProposeError,
    ReplicatedLog,
    TransferRequest,
    role::MemberRole, //
};
use crate::Moment;
use bytes::Bytes;
use daisyseam_model::InstanceId;
use std::collections::{
    BTreeMap,
    VecDeque, //
};

/// Number of heartbeat rounds whose start times the leader keeps.
const ROUNDS_KEPT: usize = 128;
/// Number of entries by which a learner may lag and still count as caught up.
const CAUGHT_UP_LAG: u64 = 64;

/// State that only a leader has.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) peers: BTreeMap<InstanceId, PeerProgress>,
    round: u64,
    rounds: VecDeque<(u64, Moment)>,
    since: Moment,
    pub(super) heartbeat_at: Moment,
    first_index: LogIndex,
    transfer: Option<PendingTransfer>,
}

#[derive(Debug)]
struct PendingTransfer {
    to: InstanceId,
    until: Moment,
    sent: bool,
}

/// Replication progress of another member.
#[derive(Debug)]
pub(super) struct PeerProgress {
    pub(super) next: LogIndex,
    pub(super) matched: LogIndex,
    /// Last index when replication to the member started; a learner must reach it before promotion.
    target: LogIndex,
    /// Start of the latest round that the member responded to.
    last_acked_round: Option<Moment>,
    pub(super) chunk_offset: Option<u64>,
    pub(super) chunk_sent: Moment,
}

impl PeerProgress {
    fn new(next: LogIndex) -> Self {
        Self {
            next,
            matched: LogIndex(0),
            target: next.previous(),
            last_acked_round: None,
            chunk_offset: None,
            chunk_sent: Moment::ORIGIN,
        }
    }
}

impl LeaderState {
    pub(super) fn round(&self) -> u64 {
        self.round
    }

    fn begin_round(&mut self, now: Moment) {
        self.round += 1;
        self.rounds.push_back((self.round, now));
        if self.rounds.len() > ROUNDS_KEPT {
            self.rounds.pop_front();
        }
    }

    /// Records that a member responded to a round, which renews the leader's lease.
    ///
    /// The member refuses votes for at least `vote_refusal` from the start of that round.
    pub(super) fn record_response(&mut self, from: &InstanceId, round: u64) {
        let began = self.rounds.iter().find(|(number, _)| *number == round);
        let Some((_, began)) = began.copied() else {
            return;
        };
        if let Some(peer) = self.peers.get_mut(from) {
            peer.last_acked_round = peer.last_acked_round.max(Some(began));
        }
    }
}

impl ReplicatedLog {
    pub(super) fn become_leader(&mut self, now: Moment) {
        assert!(
            self.voted_for.as_ref() == Some(&self.me),
            "a leader must have voted for itself"
        );
        let next = self.tail.last_index().next();
        self.role = MemberRole::Leader(LeaderState {
            peers: BTreeMap::new(),
            round: 0,
            rounds: VecDeque::new(),
            since: now,
            heartbeat_at: now,
            first_index: next,
            transfer: None,
        });
        self.leader = Some(self.me.clone());
        self.incoming = None;
        self.append_as_leader(EntryKind::Blank, Bytes::new());
        self.begin_heartbeat(now);
    }

    /// Proposes a command. It is committed once it appears in [`LogOutput::apply`](super::LogOutput).
    ///
    /// # Errors
    ///
    /// [`ProposeError`] when this member is not the leader or is transferring leadership.
    pub fn propose(&mut self, now: Moment, command: Bytes) -> Result<LogIndex, ProposeError> {
        self.check_proposable()?;
        let index = self.append_as_leader(EntryKind::Command, command);
        self.replicate_all(now);
        Ok(index)
    }

    /// Proposes a membership change.
    ///
    /// # Errors
    ///
    /// [`ProposeError`] when this member is not the leader, when another change is in progress, or
    /// when the learner to be promoted has not caught up.
    pub fn propose_change(
        &mut self,
        now: Moment,
        change: &MemberChange,
    ) -> Result<LogIndex, ProposeError> {
        self.check_proposable()?;
        if self.members_index > self.commit {
            return Err(ProposeError::ChangeInProgress);
        }
        if !self.has_committed_in_term() {
            return Err(ProposeError::TermNotCommitted);
        }
        if let MemberChange::Promote(learner) = change
            && !self.has_caught_up(learner)
        {
            return Err(ProposeError::NotCaughtUp);
        }
        let table = self.members.with_change(change);
        let table = table.ok_or(ProposeError::InvalidChange)?;
        let index = self.append_as_leader(EntryKind::Members, table.encode());
        self.replicate_all(now);
        Ok(index)
    }

    /// Returns whether a member has all entries from before its replication started, and almost all
    /// later ones.
    pub fn has_caught_up(&self, member: &InstanceId) -> bool {
        let MemberRole::Leader(state) = &self.role else {
            return false;
        };
        let peer = state.peers.get(member);
        peer.is_some_and(|peer| {
            peer.last_acked_round.is_some()
                && peer.matched >= peer.target
                && peer.matched.0 + CAUGHT_UP_LAG >= self.tail.last_index().0
        })
    }

    /// Returns the start of the latest round that a member responded to.
    pub fn last_response(&self, member: &InstanceId) -> Option<Moment> {
        let MemberRole::Leader(state) = &self.role else {
            return None;
        };
        let peer = state.peers.get(member);
        Some(peer?.last_acked_round.unwrap_or(state.since))
    }

    /// Returns whether this member is leader, has committed an entry of its term, is still a voter,
    /// and a majority responded within the lease.
    ///
    /// A leader that is not in its own member table, or whose table is not on a majority yet, may be
    /// unknown to voters that all vote for another member.
    pub fn has_lease(&self, now: Moment) -> bool {
        self.lease_until(now).is_some_and(|until| now < until)
    }

    /// Returns when the lease ends or has ended, unless a majority responds again before; `None`
    /// without a lease. See [`Self::has_lease`].
    pub fn lease_until(&self, now: Moment) -> Option<Moment> {
        let MemberRole::Leader(state) = &self.role else {
            return None;
        };
        if !self.is_voter() || !self.has_committed_in_term() || state.transfer.is_some() {
            return None;
        }
        let start = self.lease_start(state, now)?;
        Some(start + self.settings.lease)
    }

    /// Returns the index that a linearizable read must wait for.
    ///
    /// # Errors
    ///
    /// [`ProposeError`] when this member has no lease or has not committed an entry of its term yet.
    pub fn read_index(&self, now: Moment) -> Result<LogIndex, ProposeError> {
        if !self.has_lease(now) {
            return Err(ProposeError::NotLeader);
        }
        if !self.has_committed_in_term() {
            return Err(ProposeError::TermNotCommitted);
        }
        Ok(self.commit)
    }

    /// Transfers leadership to the most responsive and up-to-date voter; the lease ends at once.
    ///
    /// Returns whether there is another voter.
    pub fn transfer_leadership(&mut self, now: Moment) -> bool {
        let voters = self.other_voters();
        let MemberRole::Leader(state) = &mut self.role else {
            return false;
        };
        let best = state
            .peers
            .iter()
            .filter(|(member, _)| voters.contains(member))
            .max_by_key(|(_, peer)| (peer.last_acked_round, peer.matched));
        let Some((to, _)) = best else {
            return false;
        };
        state.transfer = Some(PendingTransfer {
            to: to.clone(),
            until: now + self.settings.vote_refusal,
            sent: false,
        });
        self.continue_transfer();
        true
    }

    fn continue_transfer(&mut self) {
        let last = self.tail.last_index();
        let MemberRole::Leader(state) = &mut self.role else {
            return;
        };
        let Some(transfer) = &mut state.transfer else {
            return;
        };
        let matched = state.peers.get(&transfer.to).map(|peer| peer.matched);
        if !transfer.sent && matched == Some(last) {
            transfer.sent = true;
            let to = transfer.to.clone();
            let term = self.term;
            self.send_before_sync(&to, LogMessage::TransferRequest(TransferRequest { term }));
        }
    }

    fn check_proposable(&self) -> Result<(), ProposeError> {
        match &self.role {
            MemberRole::Leader(state) if state.transfer.is_none() => Ok(()),
            MemberRole::Leader(_) => Err(ProposeError::TransferInProgress),
            _ => Err(ProposeError::NotLeader),
        }
    }

    /// Returns whether this member is leader and has committed an entry of its term.
    pub fn has_committed_in_term(&self) -> bool {
        matches!(&self.role, MemberRole::Leader(state) if self.commit >= state.first_index)
    }

    fn append_as_leader(&mut self, kind: EntryKind, payload: Bytes) -> LogIndex {
        let index = self.tail.last_index().next();
        self.write_entries(vec![LogEntry {
            index,
            term: self.term,
            kind,
            payload,
        }]);
        index
    }

    pub(super) fn tick_leader(&mut self, now: Moment) {
        if self.transfer_expired(now) {
            // The lease cannot be resumed: the other member may still request votes.
            return self.step_down(now);
        }
        let MemberRole::Leader(state) = &self.role else {
            return;
        };
        let heartbeat_due = now >= state.heartbeat_at;
        let last_heard = self.lease_start(state, now);
        let last_heard = last_heard.map_or(state.since, |at| at.max(state.since));
        if now >= last_heard + self.settings.lease {
            // A leader that loses contact with the majority must step down by itself.
            return self.step_down(now);
        }
        if heartbeat_due {
            self.begin_heartbeat(now);
        }
    }

    /// Cancels a transfer that timed out; returns whether its request had already been sent.
    fn transfer_expired(&mut self, now: Moment) -> bool {
        let MemberRole::Leader(state) = &mut self.role else {
            return false;
        };
        let expired = state.transfer.take_if(|transfer| now >= transfer.until);
        expired.is_some_and(|transfer| transfer.sent)
    }

    fn step_down(&mut self, now: Moment) {
        let term = self.term;
        self.become_follower(now, term);
    }

    fn begin_heartbeat(&mut self, now: Moment) {
        let heartbeat = self.settings.heartbeat;
        let MemberRole::Leader(state) = &mut self.role else {
            return;
        };
        state.begin_round(now);
        state.heartbeat_at = now + heartbeat;
        self.update_peers();
        for member in self.peer_names() {
            self.replicate(now, &member, true);
        }
        self.continue_transfer();
    }

    fn update_peers(&mut self) {
        let next = self.tail.last_index().next();
        let MemberRole::Leader(state) = &mut self.role else {
            return;
        };
        let members = &self.members;
        state
            .peers
            .retain(|name, _| members.address(name).is_some());
        for (name, _) in members.all().filter(|(name, _)| **name != self.me) {
            let peer = state.peers.entry(name.clone());
            peer.or_insert_with(|| PeerProgress::new(next));
        }
    }

    fn peer_names(&self) -> Vec<InstanceId> {
        match &self.role {
            MemberRole::Leader(state) => state.peers.keys().cloned().collect(),
            _ => Vec::new(),
        }
    }

    fn replicate_all(&mut self, now: Moment) {
        self.update_peers();
        for member in self.peer_names() {
            self.replicate(now, &member, false);
        }
    }

    /// Sends a member its missing entries, or an empty append if only a heartbeat is due.
    pub(super) fn replicate(&mut self, now: Moment, member: &InstanceId, heartbeat: bool) {
        let mut due = heartbeat;
        loop {
            let MemberRole::Leader(state) = &mut self.role else {
                return;
            };
            let round = state.round();
            let Some(peer) = state.peers.get_mut(member) else {
                return;
            };
            let previous_index = peer.next.previous();
            let Some(previous_term) = self.tail.term_at(previous_index) else {
                return self.send_chunk(now, member, heartbeat);
            };
            let in_flight = previous_index.0.saturating_sub(peer.matched.0);
            let room = (self.settings.max_in_flight as u64).saturating_sub(in_flight);
            let room = usize::try_from(room).unwrap_or(usize::MAX);
            let entries = self
                .tail
                .batch(peer.next, room, self.settings.max_append_bytes);
            if entries.is_empty() && !due {
                return;
            }
            due = false;
            peer.next = LogIndex(peer.next.0 + entries.len() as u64);
            let request = AppendRequest {
                term: self.term,
                previous_index,
                previous_term,
                commit: self.commit,
                entries,
                round,
            };
            self.send_before_sync(member, LogMessage::AppendRequest(request));
        }
    }

    pub(super) fn receive_append_response(
        &mut self,
        now: Moment,
        from: &InstanceId,
        response: &AppendResponse,
    ) {
        if !self.accept_response(now, from, response.term, response.round) {
            return;
        }
        let last = self.tail.last_index();
        let MemberRole::Leader(state) = &mut self.role else {
            return;
        };
        let Some(peer) = state.peers.get_mut(from) else {
            return;
        };
        if response.success {
            assert!(
                response.match_index <= last,
                "{from} acknowledges entries that its leader never sent"
            );
            peer.matched = peer.matched.max(response.match_index);
            peer.next = peer.next.max(peer.matched.next());
            peer.chunk_offset = None;
        } else {
            peer.next = response
                .hint_index
                .next()
                .max(peer.matched.next())
                .min(last.next());
        }
        self.update_commit(now);
        self.replicate(now, from, false);
        self.continue_transfer();
    }

    /// Processes the term and round of a response; returns whether it belongs to this term.
    pub(super) fn accept_response(
        &mut self,
        now: Moment,
        from: &InstanceId,
        term: LogTerm,
        round: u64,
    ) -> bool {
        if term > self.term {
            self.become_follower(now, term);
            return false;
        }
        if term < self.term {
            return false;
        }
        let MemberRole::Leader(state) = &mut self.role else {
            return false;
        };
        state.record_response(from, round);
        true
    }

    pub(super) fn update_commit(&mut self, now: Moment) {
        let MemberRole::Leader(state) = &self.role else {
            return;
        };
        let matched = |voter: &InstanceId| {
            if *voter == self.me {
                return self.durable_index;
            }
            let peer = state.peers.get(voter);
            peer.map_or(LogIndex(0), |peer| peer.matched)
        };
        let mut indexes: Vec<LogIndex> = self.members.voters.keys().map(matched).collect();
        indexes.sort_unstable();
        let majority = indexes.len() - self.members.majority();
        let commit = indexes[majority];
        // Counting replicas only commits entries of the current term: earlier ones could still be
        // replaced by a later leader until an entry of this term follows them.
        if commit > self.commit && self.tail.term_at(commit) == Some(self.term) {
            self.advance_commit(commit);
            self.after_commit(now);
        }
    }

    fn after_commit(&mut self, now: Moment) {
        if self.members_index <= self.commit && !self.is_voter() {
            // A leader that was removed steps down once its removal is committed.
            self.begin_heartbeat(now);
            self.step_down(now);
        }
    }

    /// Returns the latest moment at which a majority is known to have followed this leader.
    fn lease_start(&self, state: &LeaderState, now: Moment) -> Option<Moment> {
        let answered = |voter: &InstanceId| {
            if *voter == self.me {
                return Some(now);
            }
            state.peers.get(voter)?.last_acked_round
        };
        let mut moments: Vec<Option<Moment>> = self.members.voters.keys().map(answered).collect();
        moments.sort_unstable();
        let majority = moments.len() - self.members.majority();
        moments[majority]
    }
}
