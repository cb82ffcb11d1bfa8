//! Elections: a pre-vote, which does not disrupt the current leader, then a vote.
//!
//! A member that has just started may have responded to a leader before, so it neither requests nor
//! grants votes until that leader's lease has expired. It need not wait if all voters grant their
//! votes: none of them is leader at that point, and each is in a term in which it can no longer
//! follow an earlier leader. A leader that is not a voter in the candidate's member table became
//! one by an entry committed on a majority of the previous table, and at least one of that majority
//! refuses a candidate whose log lacks the entry.

use super::{
    LogMessage,
    ReplicatedLog,
    TransferRequest,
    VoteRequest,
    VoteResponse,
    role::MemberRole, //
};
use crate::Moment;
use daisyseam_model::InstanceId;
use std::collections::BTreeSet;

/// Kind of a vote request; see [`VoteRequest`].
struct VoteKind {
    pre_vote: bool,
    transfer: bool,
    unanimous: bool,
}

impl ReplicatedLog {
    pub(super) fn start_pre_vote(&mut self, now: Moment) {
        self.leader = None;
        if !self.is_voter() {
            return self.postpone_election(now);
        }
        self.schedule_retry(now);
        let granted = BTreeSet::from([self.me.clone()]);
        let unanimous = now < self.refuse_votes_until;
        self.role = MemberRole::PreCandidate { granted, unanimous };
        self.request_votes(VoteKind {
            pre_vote: true,
            transfer: false,
            unanimous,
        });
        self.count_votes(now);
    }

    fn start_vote(&mut self, now: Moment, transfer: bool, unanimous: bool) {
        self.schedule_retry(now);
        self.leader = None;
        self.term = self.term.next();
        self.voted_for = Some(self.me.clone());
        self.save_vote();
        let granted = BTreeSet::from([self.me.clone()]);
        self.role = MemberRole::Candidate { granted, unanimous };
        self.request_votes(VoteKind {
            pre_vote: false,
            transfer,
            unanimous,
        });
        self.count_votes(now);
    }

    fn request_votes(&mut self, kind: VoteKind) {
        let request = VoteRequest {
            term: if kind.pre_vote {
                self.term.next()
            } else {
                self.term
            },
            last_index: self.tail.last_index(),
            last_term: self.tail.last_term(),
            pre_vote: kind.pre_vote,
            transfer: kind.transfer,
            unanimous: kind.unanimous,
        };
        for voter in self.other_voters() {
            self.send_after_sync(&voter, LogMessage::VoteRequest(request.clone()));
        }
    }

    fn count_votes(&mut self, now: Moment) {
        match &self.role {
            MemberRole::PreCandidate { granted, unanimous } if self.wins(granted, *unanimous) => {
                let unanimous = *unanimous;
                self.start_vote(now, false, unanimous);
            }
            MemberRole::Candidate { granted, unanimous } if self.wins(granted, *unanimous) => {
                self.become_leader(now);
            }
            _ => {}
        }
    }

    /// Returns whether these votes win the election.
    fn wins(&self, granted: &BTreeSet<InstanceId>, unanimous: bool) -> bool {
        let voters = &self.members.voters;
        let votes = granted.iter().filter(|voter| voters.contains_key(*voter));
        let needed = match unanimous {
            true => voters.len(),
            false => self.members.majority(),
        };
        votes.count() >= needed
    }

    pub(super) fn receive_vote_request(
        &mut self,
        now: Moment,
        from: &InstanceId,
        request: &VoteRequest,
    ) {
        let refuses = !request.transfer && self.refuses_votes(now, request.unanimous);
        if refuses || self.takes_precedence(from, request) {
            // The sender learns of a higher term at most; this member keeps its leader.
            self.respond_vote(from, request, false);
            return;
        }
        let current = (request.last_term, request.last_index)
            >= (self.tail.last_term(), self.tail.last_index());
        if request.pre_vote {
            let granted = request.term > self.term && current;
            if granted {
                self.defer_election(now);
            }
            self.respond_vote(from, request, granted);
            return;
        }
        if request.term > self.term {
            self.become_follower(now, request.term);
        }
        let free = self.voted_for.is_none() || self.voted_for.as_ref() == Some(from);
        let granted = request.term == self.term && free && current;
        if granted {
            if self.voted_for.is_none() {
                self.voted_for = Some(from.clone());
                self.save_vote();
            }
            self.postpone_election(now);
        }
        self.respond_vote(from, request, granted);
    }

    /// Returns whether this member also requests pre-votes and takes precedence over the sender.
    ///
    /// Of several candidates with equal logs the first by name takes precedence, because votes for
    /// each other would make both elections fail.
    fn takes_precedence(&self, other: &InstanceId, request: &VoteRequest) -> bool {
        let asks = matches!(self.role, MemberRole::PreCandidate { .. });
        let ends = (self.tail.last_term(), self.tail.last_index());
        asks && request.pre_vote
            && ends == (request.last_term, request.last_index)
            && self.me < *other
    }

    /// Delays this member's own vote request until another candidate had time to collect votes.
    fn defer_election(&mut self, now: Moment) {
        let due = self.election_at;
        self.schedule_retry(now);
        self.election_at = self.election_at.max(due);
    }

    fn refuses_votes(&self, now: Moment, unanimous: bool) -> bool {
        self.is_leader() || !unanimous && now < self.refuse_votes_until
    }

    fn respond_vote(&mut self, to: &InstanceId, request: &VoteRequest, granted: bool) {
        let term = if granted { request.term } else { self.term };
        let response = VoteResponse {
            term,
            granted,
            pre_vote: request.pre_vote,
        };
        self.send_after_sync(to, LogMessage::VoteResponse(response));
    }

    pub(super) fn receive_vote_response(
        &mut self,
        now: Moment,
        from: &InstanceId,
        vote: &VoteResponse,
    ) {
        if !vote.granted {
            if vote.term > self.term {
                self.become_follower(now, vote.term);
            }
            return;
        }
        match &mut self.role {
            MemberRole::PreCandidate { granted, .. }
                if vote.pre_vote && vote.term == self.term.next() =>
            {
                granted.insert(from.clone());
            }
            MemberRole::Candidate { granted, .. } if !vote.pre_vote && vote.term == self.term => {
                granted.insert(from.clone());
            }
            _ => return,
        }
        self.count_votes(now);
    }

    pub(super) fn receive_transfer(
        &mut self,
        now: Moment,
        from: &InstanceId,
        request: &TransferRequest,
    ) {
        let from_leader = self.leader.as_ref() == Some(from) && request.term == self.term;
        if from_leader && self.is_voter() {
            self.start_vote(now, true, false);
        }
    }
}
