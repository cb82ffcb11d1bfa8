//! Failure detection for an active primary, and planned moves.

use super::{
    DirectPromotion,
    DirectStage,
    has_to_move, //
};
use crate::{
    Moment,
    promotion::{
        CallAnswer,
        GroupFacts,
        MemberFacts,
        PromotionAction, //
    }, //
};
use daisyseam_model::{
    GroupView,
    PrimaryState,
    Term,
    UpstreamId,
    announce::UpstreamRole, //
};
use std::time::Duration;

/// Failed probes after which a suspected primary counts as lost.
const LOST_PROBES: u32 = 3;
/// Failed probes that suffice when half of the instances cannot reach the primary either.
const LOST_SHUNNED: u32 = 2;
/// Interval between probes of a suspected primary that responds.
const PROBE_RETRY: Duration = Duration::from_millis(1_000);
/// Time after a change of primary during which outdated announcements of roles may still arrive.
const ROLE_GRACE: Duration = Duration::from_millis(1_500);

/// Results of probes since the primary became active.
#[derive(Debug, Default)]
pub(super) struct WatchNotes {
    lost: u32,
    good_at: Option<Moment>,
    /// Start time of the process that last confirmed to be primary.
    good_born: Option<u64>,
    asked_born: Option<u64>,
    demoted: bool,
    /// A later term in which another database is primary.
    later: Option<Term>,
}

impl WatchNotes {
    pub(super) fn is_quiet(&self) -> bool {
        self.good_at.is_some() && self.lost == 0 && !self.demoted && self.later.is_none()
    }

    /// Records a response; returns whether it is from a primary of an outdated term.
    pub(super) fn take_answer(
        &mut self,
        now: Moment,
        base: Term,
        leads: bool,
        answer: &CallAnswer,
    ) -> bool {
        let state = match answer {
            CallAnswer::State(state) => state,
            CallAnswer::Lost | CallAnswer::Refused => {
                self.lost += u32::from(leads);
                return false;
            }
        };
        let primary = state.role == UpstreamRole::Primary;
        if !leads {
            if primary && state.promised > base {
                self.later = self.later.max(Some(state.promised));
            }
            return primary && state.promised <= base;
        }
        if primary && state.promised >= base {
            self.lost = 0;
            self.good_at = Some(now);
            self.good_born = self.asked_born;
        } else {
            self.demoted = true;
        }
        false
    }
}

impl DirectPromotion {
    pub(super) fn watch(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        view: &GroupView,
        primary: &UpstreamId,
    ) {
        match &self.stage {
            DirectStage::Electing(round) if round.term > view.term => {
                return self.repeat_fence(now, facts, view);
            }
            DirectStage::Draining { term, since } if *term == view.term => {
                if now.since(*since) < self.settings.call_every {
                    return;
                }
                self.stage = DirectStage::Watching(WatchNotes::default());
            }
            DirectStage::Watching(_) if self.is_noted(view.term) => {}
            _ => self.stage = DirectStage::Watching(WatchNotes::default()),
        }
        self.note_active(now, view.term, primary);
        self.keep_following(now, facts, view, primary);
        self.send_strays(now, facts, view, primary);
        if let Some(term) = self.next_term_if_lost(now, facts, view, primary) {
            return self.propose_fence(now, facts, view, term);
        }
        let patience = self.settings.suspect_direct_after;
        if now >= self.move_after && has_to_move(facts, primary, patience) {
            let term = view.term;
            self.stage = DirectStage::Draining { term, since: now };
            let state = PrimaryState::Draining(primary.clone());
            self.push_state(facts, view, term, state, view.lineage_start);
        }
    }

    fn is_noted(&self, term: Term) -> bool {
        self.active_since.is_some_and(|(known, _)| known == term)
    }

    /// Proposes the fence again if the log has not committed it in time.
    pub(super) fn repeat_fence(&mut self, now: Moment, facts: GroupFacts<'_>, view: &GroupView) {
        let DirectStage::Electing(round) = &self.stage else {
            return;
        };
        if now.since(round.begun) >= self.settings.promote_for {
            let term = round.term;
            self.propose_fence(now, facts, view, term);
        }
    }

    /// Returns the term in which to fence if the primary counts as lost.
    fn next_term_if_lost(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        view: &GroupView,
        primary: &UpstreamId,
    ) -> Option<Term> {
        let next = view.term.next();
        let mut members = facts.members.iter();
        let Some(member) = members.find(|member| &member.upstream == primary) else {
            return Some(next);
        };
        let DirectStage::Watching(notes) = &self.stage else {
            return None;
        };
        if let Some(later) = notes.later {
            return Some(next.max(later));
        }
        if member.gone || notes.demoted {
            return Some(next);
        }
        let unknown = notes.good_at.is_none() && self.active_for(now) >= ROLE_GRACE;
        let suspected = self.is_suspected(member);
        if !suspected && let DirectStage::Watching(notes) = &mut self.stage {
            // Probes of a primary that is not suspected do not count towards its loss.
            notes.lost = 0;
        }
        let given_up = (suspected || unknown) && self.probe(now, member);
        given_up.then_some(next)
    }

    /// Returns whether the primary may have failed, so that it should be probed.
    fn is_suspected(&self, member: &MemberFacts) -> bool {
        let DirectStage::Watching(notes) = &self.stage else {
            return false;
        };
        let reborn = notes.good_born.is_some_and(|born| born != member.born_ms);
        let replica = member
            .announced
            .is_some_and(|(announced, at)| !announced.primary && self.is_after_change(at));
        let silent = member.silence >= self.settings.suspect_direct_after;
        silent || member.denied || replica || reborn
    }

    fn is_after_change(&self, at: Moment) -> bool {
        let since = self.active_since.map(|(_, since)| since + ROLE_GRACE);
        since.is_some_and(|since| at > since)
    }

    /// Probes a suspected primary; returns whether it counts as lost.
    fn probe(&mut self, now: Moment, member: &MemberFacts) -> bool {
        let DirectStage::Watching(notes) = &mut self.stage else {
            return false;
        };
        notes.asked_born = Some(member.born_ms);
        let good = notes.good_at.is_some_and(|at| now.since(at) < PROBE_RETRY);
        let lost = notes.lost;
        let patience = self.settings.suspect_direct_after * 3;
        let spared = member.vouched && member.silence < patience;
        if lost >= LOST_PROBES && !spared || lost >= LOST_SHUNNED && member.shunned {
            return true;
        }
        // It responds to control, but instances cannot reach it.
        let settled = self.active_for(now) >= self.settings.suspect_direct_after;
        if good && member.shunned && settled && now >= self.move_after {
            return true;
        }
        let every = match good {
            true => PROBE_RETRY,
            false => self.settings.call_every,
        };
        self.ask(now, &member.upstream, every);
        false
    }

    /// Queries databases that announce to be primary, and fences those in an outdated term.
    fn send_strays(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        view: &GroupView,
        primary: &UpstreamId,
    ) {
        for member in facts.members {
            let name = &member.upstream;
            let leads = |at: Moment| self.is_after_change(at);
            let announced = member.announced;
            let stray = announced.is_some_and(|(announced, at)| announced.primary && leads(at));
            if name == primary || !stray {
                continue;
            }
            if self.strays.remove(name) {
                let action = PromotionAction::Fence(name.clone(), view.term);
                self.actions.push(action);
            } else {
                self.ask(now, name, PROBE_RETRY);
            }
        }
    }

    /// Waits for open transactions to finish, then fences.
    pub(super) fn drain(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        view: &GroupView,
        primary: &UpstreamId,
    ) {
        match &self.stage {
            DirectStage::Electing(round) if round.term > view.term => {
                return self.repeat_fence(now, facts, view);
            }
            DirectStage::Draining { term, .. } if *term == view.term => {}
            // An earlier control leader started the move.
            _ => {
                let term = view.term;
                self.stage = DirectStage::Draining { term, since: now };
            }
        }
        self.note_active(now, view.term, primary);
        self.keep_following(now, facts, view, primary);
        let DirectStage::Draining { since, .. } = self.stage else {
            return;
        };
        let mut members = facts.members.iter();
        let member = members.find(|member| &member.upstream == primary);
        let gone = member.is_none_or(|member| member.gone || member.denied);
        let late = now.since(since) >= self.settings.drain_for;
        let drained = facts.confirmed && facts.open_transactions == Some(0);
        let patience = self.settings.suspect_direct_after;
        if gone || drained || late {
            return self.propose_fence(now, facts, view, view.term.next());
        }
        if !has_to_move(facts, primary, patience) {
            // The reason for the move no longer holds, or no database can take over.
            let state = PrimaryState::Active(primary.clone());
            self.propose(now, facts, view.term, state, view.lineage_start);
        }
    }
}
