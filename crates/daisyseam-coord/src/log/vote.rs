//! Elections: a pre-vote that disturbs nobody, then a vote.

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

impl ReplicatedLog {
    pub(super) fn start_pre_vote(&mut self, now: Moment) {
        self.leader = None;
        if !self.is_voter() {
            return self.postpone_election(now);
        }
        self.schedule_retry(now);
        let granted = BTreeSet::from([self.me.clone()]);
        self.role = MemberRole::PreCandidate { granted };
        self.ask_for_votes(true, false);
        self.count_votes(now);
    }

    fn start_vote(&mut self, now: Moment, transfer: bool) {
        self.schedule_retry(now);
        self.leader = None;
        self.term = self.term.next();
        self.voted_for = Some(self.me.clone());
        self.save_vote();
        let granted = BTreeSet::from([self.me.clone()]);
        self.role = MemberRole::Candidate { granted };
        self.ask_for_votes(false, transfer);
        self.count_votes(now);
    }

    fn ask_for_votes(&mut self, pre_vote: bool, transfer: bool) {
        let request = VoteRequest {
            term: if pre_vote {
                self.term.next()
            } else {
                self.term
            },
            last_index: self.tail.last_index(),
            last_term: self.tail.last_term(),
            pre_vote,
            transfer,
        };
        for voter in self.other_voters() {
            self.send_late(&voter, LogMessage::Vote(request.clone()));
        }
    }

    fn count_votes(&mut self, now: Moment) {
        let majority = self.members.majority();
        let enough = |granted: &BTreeSet<InstanceId>, members: &super::MemberTable| {
            let votes = granted
                .iter()
                .filter(|voter| members.voters.contains_key(*voter));
            votes.count() >= majority
        };
        match &self.role {
            MemberRole::PreCandidate { granted } if enough(granted, &self.members) => {
                self.start_vote(now, false);
            }
            MemberRole::Candidate { granted } if enough(granted, &self.members) => {
                self.become_leader(now);
            }
            _ => {}
        }
    }

    pub(super) fn receive_vote_request(
        &mut self,
        now: Moment,
        from: &InstanceId,
        request: &VoteRequest,
    ) {
        if !request.transfer && self.refuses_votes(now) {
            // The sender learns a higher term at most; this member keeps its leader.
            self.answer_vote(from, request, false);
            return;
        }
        let current = (request.last_term, request.last_index)
            >= (self.tail.last_term(), self.tail.last_index());
        if request.pre_vote {
            self.answer_vote(from, request, request.term > self.term && current);
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

    fn refuses_votes(&self, now: Moment) -> bool {
        self.leads() || now < self.refuses_until
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
            MemberRole::PreCandidate { granted }
                if vote.pre_vote && vote.term == self.term.next() =>
            {
                granted.insert(from.clone());
            }
            MemberRole::Candidate { granted } if !vote.pre_vote && vote.term == self.term => {
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
            self.start_vote(now, true);
        }
    }
}
