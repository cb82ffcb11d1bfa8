//! Elections: a pre-vote that disturbs nobody, then a vote.
//!
//! A member that has just started may have answered a leader before, so it neither asks for votes
//! nor gives one until that leader's lease is over. It need not wait if every voter gives its vote:
//! none of them leads when it does, and each holds a term in which no earlier leader can be
//! followed. A leader that is no voter of the candidate's table has committed the entry that made
//! it one on a majority of the table before, and one of these refuses a log that lacks the entry.

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

/// What kind of votes are asked for; see [`VoteRequest`].
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
        let unanimous = now < self.refuses_until;
        self.role = MemberRole::PreCandidate { granted, unanimous };
        self.ask_for_votes(VoteKind {
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
        self.ask_for_votes(VoteKind {
            pre_vote: false,
            transfer,
            unanimous,
        });
        self.count_votes(now);
    }

    fn ask_for_votes(&mut self, kind: VoteKind) {
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
            self.send_late(&voter, LogMessage::Vote(request.clone()));
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

    /// Returns whether these votes are enough.
    fn wins(&self, granted: &BTreeSet<InstanceId>, unanimous: bool) -> bool {
        let voters = &self.members.voters;
        let votes = granted.iter().filter(|voter| voters.contains_key(*voter));
        let wanted = match unanimous {
            true => voters.len(),
            false => self.members.majority(),
        };
        votes.count() >= wanted
    }

    pub(super) fn receive_vote_request(
        &mut self,
        now: Moment,
        from: &InstanceId,
        request: &VoteRequest,
    ) {
        let refuses = !request.transfer && self.refuses_votes(now, request.unanimous);
        if refuses || self.goes_before(from, request) {
            // The sender learns a higher term at most; this member keeps its leader.
            self.answer_vote(from, request, false);
            return;
        }
        let current = (request.last_term, request.last_index)
            >= (self.tail.last_term(), self.tail.last_index());
        if request.pre_vote {
            let granted = request.term > self.term && current;
            if granted {
                self.let_finish(now);
            }
            self.answer_vote(from, request, granted);
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
        self.answer_vote(from, request, granted);
    }

    /// Returns whether this member asks for votes too and is the one to get them: of several whose
    /// logs are equal the first by name, as one vote for another would spoil both.
    fn goes_before(&self, other: &InstanceId, request: &VoteRequest) -> bool {
        let asks = matches!(self.role, MemberRole::PreCandidate { .. });
        let ends = (self.tail.last_term(), self.tail.last_index());
        asks && request.pre_vote
            && ends == (request.last_term, request.last_index)
            && self.me < *other
    }

    /// Asks for no votes itself before another member has had the time to collect its own.
    fn let_finish(&mut self, now: Moment) {
        let due = self.election_at;
        self.schedule_retry(now);
        self.election_at = self.election_at.max(due);
    }

    fn refuses_votes(&self, now: Moment, unanimous: bool) -> bool {
        self.leads() || !unanimous && now < self.refuses_until
    }

    fn answer_vote(&mut self, to: &InstanceId, request: &VoteRequest, granted: bool) {
        let term = if granted { request.term } else { self.term };
        let response = VoteResponse {
            term,
            granted,
            pre_vote: request.pre_vote,
        };
        self.send_late(to, LogMessage::Voted(response));
    }

    pub(super) fn receive_vote(&mut self, now: Moment, from: &InstanceId, vote: &VoteResponse) {
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
