//! Stages of a failover or a planned move.

use super::{
    CallKind,
    CallOutcome,
    FenceOutcome,
    GroupFacts,
    GroupPromotion,
    MemberFacts,
    PromotionAction,
    choice::{
        choose,
        fence_quorum, //
    }, //
};
use crate::{
    Moment,
    fleet::GroupCommand, //
};
use daisyseam_model::{
    GroupView,
    LogPosition,
    PrimaryState,
    Term,
    UpstreamId, //
};
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// Failed probes after which a silent primary counts as lost.
const FAILED_PROBES: u32 = 2;

/// Stage of the state machine.
#[derive(Debug)]
pub(super) enum PromotionStage {
    /// No change is in progress.
    Watching,
    /// The primary is silent and is probed directly.
    Probing { failures: u32 },
    /// A planned move waits for open transactions and for its target.
    Draining(PlannedMove),
    /// Databases are asked to promise a new term.
    Fencing(FenceRound),
    /// One database is asked to become primary.
    Promoting(PromotionAttempt),
}

#[derive(Debug)]
pub(super) struct PlannedMove {
    term: Term,
    since: Moment,
    target: UpstreamId,
    end: Option<(LogPosition, Moment)>,
    target_caught_up: bool,
}

#[derive(Debug)]
pub(super) struct FenceRound {
    term: Term,
    proposed_at: Moment,
    preferred: Option<UpstreamId>,
    ends: BTreeMap<UpstreamId, LogPosition>,
    /// Highest term beyond this one that a database has promised.
    higher_term: Option<Term>,
    refused: Option<UpstreamId>,
}

#[derive(Debug)]
pub(super) struct PromotionAttempt {
    term: Term,
    since: Moment,
    chosen: UpstreamId,
    end: LogPosition,
    outcome: Option<bool>,
}

impl PromotionStage {
    /// Returns whether a fence was proposed within the last `patience`.
    pub(super) fn is_fencing_since(&self, now: Moment, patience: Duration) -> bool {
        matches!(self, Self::Fencing(round) if now.since(round.proposed_at) < patience)
    }

    pub(super) fn fencing(now: Moment, term: Term, preferred: Option<UpstreamId>) -> Self {
        Self::Fencing(FenceRound {
            term,
            proposed_at: now,
            preferred,
            ends: BTreeMap::new(),
            higher_term: None,
            refused: None,
        })
    }
}

impl FenceRound {
    fn record_outcome(&mut self, upstream: &UpstreamId, kind: CallKind, outcome: &CallOutcome) {
        match outcome.state() {
            Some(state) if state.promised > self.term => {
                self.higher_term = self.higher_term.max(Some(state.promised));
            }
            Some(state) if kind == CallKind::Fence && state.promised == self.term => {
                self.ends.insert(upstream.clone(), state.end);
            }
            None if *outcome == CallOutcome::Refused => self.refused = Some(upstream.clone()),
            Some(_) | None => {}
        }
    }
}

impl GroupPromotion {
    /// Monitors the primary, and starts a planned move if it cannot remain primary.
    pub(super) fn watch(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        view: &GroupView,
        primary: &UpstreamId,
    ) {
        match &self.stage {
            PromotionStage::Fencing(round) if round.term > view.term => {
                return self.repeat_fence(now, facts, view);
            }
            PromotionStage::Draining(planned) if planned.term == view.term => {
                if now.since(planned.since) < self.settings.call_interval {
                    return;
                }
            }
            PromotionStage::Probing { .. } | PromotionStage::Watching => {}
            _ => self.stage = PromotionStage::Watching,
        }
        self.record_active(now, view.term);
        self.request_follow(now, facts, view, primary);
        if self.is_lost(now, facts, primary) {
            return self.propose_fence(now, facts, view.term, view.term.next(), None);
        }
        if now < self.move_after {
            return;
        }
        if let Some(target) = move_target(facts, primary) {
            self.propose_drain(now, facts, view, primary, target);
        }
    }

    /// Proposes the fence again if the log has not committed it in time.
    fn repeat_fence(&mut self, now: Moment, facts: GroupFacts<'_>, view: &GroupView) {
        let PromotionStage::Fencing(round) = &self.stage else {
            return;
        };
        if now.since(round.proposed_at) >= self.settings.promote_timeout {
            let preferred = round.preferred.clone();
            self.propose_fence(now, facts, view.term, view.term.next(), preferred);
        }
    }

    /// Returns whether the primary counts as lost, and probes it if it is silent.
    fn is_lost(&mut self, now: Moment, facts: GroupFacts<'_>, primary: &UpstreamId) -> bool {
        let member = facts
            .members
            .iter()
            .find(|member| &member.upstream == primary);
        let Some(member) = member else {
            return true;
        };
        let settled = self.active_for(now) >= self.settings.promote_timeout;
        let since = self.active_since.map_or(now, |(_, since)| since);
        let demoted = member
            .announced
            .is_some_and(|(announced, at)| !announced.primary && at > since);
        if settled && (member.reported_unreachable || demoted) {
            return true;
        }
        if member.silence < self.settings.suspect_after {
            self.stage = PromotionStage::Watching;
            return false;
        }
        if let PromotionStage::Probing { failures } = &self.stage {
            if *failures >= FAILED_PROBES {
                return true;
            }
        } else {
            self.stage = PromotionStage::Probing { failures: 0 };
        }
        if self.is_due(now, primary, CallKind::State) {
            self.actions.push(PromotionAction::State(primary.clone()));
        }
        false
    }

    fn propose_drain(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        view: &GroupView,
        primary: &UpstreamId,
        target: UpstreamId,
    ) {
        self.stage = PromotionStage::Draining(PlannedMove {
            term: view.term,
            since: now,
            target,
            end: None,
            target_caught_up: false,
        });
        let state = PrimaryState::Draining(primary.clone());
        self.propose_state(facts, view, state, view.lineage_start);
    }

    fn propose_state(
        &mut self,
        facts: GroupFacts<'_>,
        view: &GroupView,
        primary: PrimaryState,
        lineage_start: LogPosition,
    ) {
        self.actions.push(PromotionAction::Propose(GroupCommand {
            group: facts.group.clone(),
            expected: view.term,
            term: view.term,
            primary,
            lineage_start,
        }));
    }

    /// Waits for open transactions to finish and the target to catch up, then fences.
    pub(super) fn drain(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        view: &GroupView,
        primary: &UpstreamId,
    ) {
        if let PromotionStage::Fencing(round) = &self.stage
            && round.term > view.term
        {
            return self.repeat_fence(now, facts, view);
        }
        self.request_follow(now, facts, view, primary);
        let Some(target) = move_target(facts, primary) else {
            // The reason for the move no longer holds, or no database can take over.
            return self.cancel_move(now, facts, view, primary);
        };
        if facts
            .members
            .iter()
            .any(|member| &member.upstream == primary && member.reported_unreachable)
        {
            return self.propose_fence(now, facts, view.term, view.term.next(), Some(target));
        }
        self.adopt_move(now, view, target);
        let PromotionStage::Draining(planned) = &self.stage else {
            return;
        };
        let timed_out = now.since(planned.since) >= self.settings.drain_timeout;
        let drained = facts.confirmed && facts.open_transactions == Some(0);
        if !drained && !timed_out {
            return;
        }
        let target = planned.target.clone();
        match planned.end {
            None if timed_out && now.since(planned.since) >= self.settings.drain_timeout * 2 => {
                self.propose_fence(now, facts, view.term, view.term.next(), Some(target));
            }
            None => {
                if self.is_due(now, primary, CallKind::State) {
                    self.actions.push(PromotionAction::State(primary.clone()));
                }
            }
            Some(_) if planned.target_caught_up => {
                let next = view.term.next();
                self.propose_fence(now, facts, view.term, next, Some(target));
            }
            Some((_, since)) if now.since(since) >= self.settings.catch_up_timeout => {
                // A new term would only promote the same primary again.
                self.move_after = now + self.settings.move_retry_delay;
                self.cancel_move(now, facts, view, primary);
            }
            Some((end, _)) => {
                if self.is_due(now, &target, CallKind::Await) {
                    self.actions.push(PromotionAction::Await(target, end));
                }
            }
        }
    }

    /// Cancels a move and keeps the current primary.
    fn cancel_move(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        view: &GroupView,
        primary: &UpstreamId,
    ) {
        if self.is_due(now, primary, CallKind::Promote) {
            let state = PrimaryState::Active(primary.clone());
            self.propose_state(facts, view, state, view.lineage_start);
        }
    }

    /// Continues a move that an earlier control leader started.
    fn adopt_move(&mut self, now: Moment, view: &GroupView, target: UpstreamId) {
        let known = matches!(
            &self.stage,
            PromotionStage::Draining(planned) if planned.term == view.term && planned.target == target
        );
        if !known {
            let since = match &self.stage {
                PromotionStage::Draining(planned) if planned.term == view.term => planned.since,
                _ => now,
            };
            self.stage = PromotionStage::Draining(PlannedMove {
                term: view.term,
                since,
                target,
                end: None,
                target_caught_up: false,
            });
        }
    }

    /// Collects promises, chooses a database and promotes it.
    pub(super) fn elect(&mut self, now: Moment, facts: GroupFacts<'_>, view: &GroupView) {
        match &self.stage {
            PromotionStage::Fencing(round) if round.term == view.term => {
                self.collect_promises(now, facts, view);
            }
            PromotionStage::Fencing(round) if round.term > view.term => {
                self.repeat_fence(now, facts, view);
            }
            PromotionStage::Promoting(attempt) if attempt.term == view.term => {
                self.promote(now, facts, view);
            }
            // In this term, an earlier control leader may have promoted a database already.
            _ => self.propose_fence(now, facts, view.term, view.term.next(), None),
        }
    }

    fn collect_promises(&mut self, now: Moment, facts: GroupFacts<'_>, view: &GroupView) {
        let PromotionStage::Fencing(round) = &self.stage else {
            return;
        };
        if let Some(higher_term) = round.higher_term {
            let preferred = round.preferred.clone();
            return self.propose_fence(now, facts, view.term, higher_term.next(), preferred);
        }
        if let Some(refused) = round.refused.clone()
            && self.is_due(now, &refused, CallKind::State)
        {
            self.actions.push(PromotionAction::State(refused));
        }
        let PromotionStage::Fencing(round) = &self.stage else {
            return;
        };
        let quorum = fence_quorum(facts.members.len(), facts.expected);
        let known = |member: &&MemberFacts| round.ends.contains_key(&member.upstream);
        let answered = facts.members.iter().filter(known).count();
        if facts.confirmed && answered >= quorum {
            let chosen = choose(&round.ends, facts.members, round.preferred.as_ref());
            if let Some((chosen, end)) = chosen {
                self.stage = PromotionStage::Promoting(PromotionAttempt {
                    term: view.term,
                    since: now,
                    chosen,
                    end,
                    outcome: None,
                });
                return self.promote(now, facts, view);
            }
        }
        let missing: Vec<UpstreamId> = facts
            .members
            .iter()
            .filter(|member| !known(member))
            .map(|member| member.upstream.clone())
            .collect();
        for upstream in missing {
            if self.is_due(now, &upstream, CallKind::Fence) {
                self.actions
                    .push(PromotionAction::Fence(upstream, view.term));
            }
        }
    }

    fn promote(&mut self, now: Moment, facts: GroupFacts<'_>, view: &GroupView) {
        let PromotionStage::Promoting(attempt) = &self.stage else {
            return;
        };
        let chosen = attempt.chosen.clone();
        let end = attempt.end;
        let timed_out = now.since(attempt.since) >= self.settings.promote_timeout;
        match attempt.outcome {
            Some(true) => {
                if self.is_due(now, &chosen, CallKind::State) {
                    self.propose_state(facts, view, PrimaryState::Active(chosen), end);
                }
            }
            Some(false) => {
                self.propose_fence(now, facts, view.term, view.term.next(), None);
            }
            None if timed_out => {
                // It may still have become primary, so another database needs a later term.
                self.propose_fence(now, facts, view.term, view.term.next(), None);
            }
            None => {
                if self.is_due(now, &chosen, CallKind::Promote) {
                    let action = PromotionAction::Promote(chosen, view.term, end);
                    self.actions.push(action);
                }
            }
        }
    }

    pub(super) fn record_outcome(
        &mut self,
        now: Moment,
        upstream: &UpstreamId,
        kind: CallKind,
        term: Term,
        outcome: &CallOutcome,
    ) {
        if kind == CallKind::Follow {
            if matches!(outcome, CallOutcome::State(_)) {
                self.followed.insert(upstream.clone(), (term, now));
            }
            return;
        }
        match &mut self.stage {
            PromotionStage::Probing { failures } if kind == CallKind::State => match outcome {
                CallOutcome::Lost | CallOutcome::Replaced => *failures += 1,
                CallOutcome::State(state) if !Self::is_promoted(state, term) => {
                    *failures = FAILED_PROBES;
                }
                CallOutcome::State(_) | CallOutcome::Fenced(_) | CallOutcome::Refused => {
                    *failures = 0;
                }
            },
            PromotionStage::Draining(planned) if planned.term == term => {
                let CallOutcome::State(state) = outcome else {
                    return;
                };
                if kind == CallKind::State && planned.end.is_none() {
                    planned.end = Some((state.end, now));
                }
                let wanted = planned.end.map(|(end, _)| end);
                if kind == CallKind::Await && *upstream == planned.target {
                    planned.target_caught_up |= wanted.is_some_and(|end| state.end >= end);
                }
            }
            PromotionStage::Fencing(round) if round.term == term => {
                round.record_outcome(upstream, kind, outcome);
            }
            PromotionStage::Promoting(attempt)
                if kind == CallKind::Promote
                    && attempt.term == term
                    && attempt.chosen == *upstream =>
            {
                match outcome {
                    CallOutcome::State(state) | CallOutcome::Fenced(FenceOutcome { state, .. }) => {
                        attempt.outcome = Some(Self::is_promoted(state, term));
                    }
                    // A retried call may be refused because the first one took effect.
                    CallOutcome::Refused | CallOutcome::Replaced => {
                        attempt.outcome = attempt.outcome.or(Some(false));
                    }
                    CallOutcome::Lost => {}
                }
            }
            _ => {}
        }
    }
}

/// Returns the target of a planned move, if the primary must move and another database can take
/// over.
fn move_target(facts: GroupFacts<'_>, primary: &UpstreamId) -> Option<UpstreamId> {
    let may_stay = |member: &&MemberFacts| !member.leaving && member.in_service;
    let present = facts
        .members
        .iter()
        .find(|member| &member.upstream == primary);
    if present.is_none_or(|member| may_stay(&member)) {
        return None;
    }
    let others = facts
        .members
        .iter()
        .filter(|member| &member.upstream != primary);
    let able = others
        .filter(may_stay)
        .filter(|member| member.announced.is_some());
    let best = able.rev().max_by_key(|member| {
        let end = member.announced.map(|(announced, _)| announced.end);
        (std::cmp::Reverse(member.silence.as_millis() / 1_000), end)
    });
    best.map(|member| member.upstream.clone())
}
