//! Handling of append requests by a follower.

use super::{
    AppendRequest,
    AppendResponse,
    LogIndex,
    LogMessage,
    LogTerm,
    ReplicatedLog,
    role::MemberRole, //
};
use crate::Moment;
use daisyseam_model::InstanceId;

impl ReplicatedLog {
    /// Follows the sender unless its term is outdated; returns whether it is followed.
    pub(super) fn follow_leader(&mut self, now: Moment, from: &InstanceId, term: LogTerm) -> bool {
        if term < self.term {
            return false;
        }
        assert!(
            term > self.term || !self.is_leader(),
            "two leaders in term {}: {} and {from}",
            term.0,
            self.me
        );
        if term > self.term || !matches!(self.role, MemberRole::Follower) {
            self.become_follower(now, term);
        }
        self.leader = Some(from.clone());
        self.refuse_votes_until = now + self.settings.vote_refusal;
        self.postpone_election(now);
        true
    }

    pub(super) fn receive_append(
        &mut self,
        now: Moment,
        from: &InstanceId,
        request: AppendRequest,
    ) {
        let round = request.round;
        if !self.follow_leader(now, from, request.term) {
            return self.respond_append(from, round, Err(LogIndex(0)));
        }
        // Committed entries are identical on all members, so they need no consistency check.
        let agreed = request.previous_index <= self.commit
            || self.tail.term_at(request.previous_index) == Some(request.previous_term);
        if !agreed {
            let hint = self.agreement_hint(request.previous_index);
            return self.respond_append(from, round, Err(hint));
        }
        let end = LogIndex(request.previous_index.0 + request.entries.len() as u64);
        let commit = request.commit.min(end);
        let new = request.entries.into_iter().skip_while(|entry| {
            entry.index <= self.commit || self.tail.term_at(entry.index) == Some(entry.term)
        });
        let new = new.collect();
        self.write_entries(new);
        self.advance_commit(commit);
        self.respond_append(from, round, Ok(end));
    }

    /// Returns the last index at which this log may agree with the leader's.
    ///
    /// It skips all uncommitted entries of the conflicting term.
    fn agreement_hint(&self, conflict: LogIndex) -> LogIndex {
        let mut hint = conflict.previous().min(self.tail.last_index());
        let term = self.tail.term_at(conflict);
        while hint > self.commit && term.is_some() && self.tail.term_at(hint) == term {
            hint = hint.previous();
        }
        hint.max(self.commit)
    }

    fn respond_append(&mut self, to: &InstanceId, round: u64, result: Result<LogIndex, LogIndex>) {
        let response = AppendResponse {
            term: self.term,
            success: result.is_ok(),
            match_index: result.unwrap_or_default(),
            hint_index: result.err().unwrap_or_default(),
            round,
        };
        self.send_after_sync(to, LogMessage::AppendResponse(response));
    }
}
