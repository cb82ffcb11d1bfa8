//! Failure detection for an active primary, and planned moves.

use super::{
    SyncPromotion,
    SyncStage,
    has_successor,
    must_move, //
};
use crate::{
    Moment,
    promotion::{
        CallOutcome,
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
const FAILED_PROBES: u32 = 3;
/// Failed probes that suffice when half of the instances cannot reach the primary either.
const UNREACHABLE_FAILED_PROBES: u32 = 2;
/// Interval between probes of a suspected primary that responds.
const PROBE_RETRY: Duration = Duration::from_millis(1_000);
/// Time after a change of primary during which outdated announcements of roles may still arrive.
const ROLE_GRACE_PERIOD: Duration = Duration::from_millis(1_500);

/// Results of probes since the primary became active.
#[derive(Debug, Default)]
pub(super) struct ProbeResults {
    failures: u32,
    confirmed_at: Option<Moment>,
    /// Start time of the process that last confirmed to be primary.
    confirmed_start: Option<u64>,
    probed_start: Option<u64>,
    demoted: bool,
    /// A later term in which another database is primary.
    later_term: Option<Term>,
    /// Since when another database could take over.
    successor_since: Option<Moment>,
}

impl ProbeResults {
    pub(super) fn is_idle(&self) -> bool {
        self.confirmed_at.is_some()
            && self.failures == 0
            && !self.demoted
            && self.later_term.is_none()
    }

    /// Returns how long another database could have taken over.
    fn note_successor(&mut self, now: Moment, is_present: bool) -> Duration {
        let since = self.successor_since.filter(|_| is_present);
        self.successor_since = is_present.then(|| since.unwrap_or(now));
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Records a response; returns whether it is from a primary of an outdated term.
    pub(super) fn record_outcome(
        &mut self,
        now: Moment,
        base: Term,
        from_primary: bool,
        outcome: &CallOutcome,
    ) -> bool {
        let Some(state) = outcome.state() else {
            self.failures += u32::from(from_primary);
            return false;
        };
        let primary = state.role == UpstreamRole::Primary;
        if !from_primary {
            if primary && state.promised > base {
                self.later_term = self.later_term.max(Some(state.promised));
            }
            return primary && state.promised <= base;
        }
        if primary && state.promised >= base {
            self.failures = 0;
            self.confirmed_at = Some(now);
            self.confirmed_start = self.probed_start;
        } else {
            self.demoted = true;
        }
        false
    }
}

impl SyncPromotion {
    pub(super) fn watch(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        view: &GroupView,
        primary: &UpstreamId,
    ) {
        match &self.stage {
            SyncStage::Electing(round) if round.term > view.term => {
                return self.repeat_fence(now, facts, view);
            }
            SyncStage::Draining { term, since } if *term == view.term => {
                if now.since(*since) < self.settings.call_interval {
                    return;
                }
                self.stage = SyncStage::Watching(ProbeResults::default());
            }
            SyncStage::Watching(_) if self.is_active_term(view.term) => {}
            _ => self.stage = SyncStage::Watching(ProbeResults::default()),
        }
        self.record_active(now, view.term, primary);
        self.request_follow(now, facts, view, primary);
        self.fence_stale_primaries(now, facts, view, primary);
        if let Some(term) = self.next_term_if_lost(now, facts, view, primary) {
            return self.propose_fence(now, facts, view, term);
        }
        let patience = self.settings.suspect_sync_after;
        if now >= self.move_after && must_move(facts, primary, patience) {
            let term = view.term;
            self.stage = SyncStage::Draining { term, since: now };
            let state = PrimaryState::Draining(primary.clone());
            self.push_state(facts, view, term, state, view.lineage_start);
        }
    }

    fn is_active_term(&self, term: Term) -> bool {
        self.active_since.is_some_and(|(known, _)| known == term)
    }

    /// Proposes the fence again if the log has not committed it in time.
    pub(super) fn repeat_fence(&mut self, now: Moment, facts: GroupFacts<'_>, view: &GroupView) {
        let SyncStage::Electing(round) = &self.stage else {
            return;
        };
        if now.since(round.started_at) >= self.settings.promote_timeout {
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
        let SyncStage::Watching(probes) = &self.stage else {
            return None;
        };
        if let Some(later_term) = probes.later_term {
            return Some(next.max(later_term));
        }
        if member.gone || probes.demoted {
            return Some(next);
        }
        let unknown = probes.confirmed_at.is_none() && self.active_for(now) >= ROLE_GRACE_PERIOD;
        let suspected = self.is_suspected(member);
        if !suspected && let SyncStage::Watching(probes) = &mut self.stage {
            // Probes of a primary that is not suspected do not count towards its loss.
            probes.failures = 0;
        }
        let patience = self.settings.suspect_sync_after;
        let has_successor = has_successor(facts, primary, patience);
        let SyncStage::Watching(probes) = &mut self.stage else {
            return None;
        };
        // The primary may have waited for that database, and not have been reached since.
        let can_move = probes.note_successor(now, has_successor) >= patience;
        let is_lost = (suspected || unknown) && self.probe(now, member, can_move);
        is_lost.then_some(next)
    }

    /// Returns whether the primary may have failed, so that it should be probed.
    fn is_suspected(&self, member: &MemberFacts) -> bool {
        let SyncStage::Watching(probes) = &self.stage else {
            return false;
        };
        let restarted = probes
            .confirmed_start
            .is_some_and(|born| born != member.born_ms);
        let replica = member
            .announced
            .is_some_and(|(announced, at)| !announced.primary && self.is_after_change(at));
        let silent = member.silence >= self.settings.suspect_sync_after;
        silent || member.reported_unreachable || replica || restarted
    }

    fn is_after_change(&self, at: Moment) -> bool {
        let since = self
            .active_since
            .map(|(_, since)| since + ROLE_GRACE_PERIOD);
        since.is_some_and(|since| at > since)
    }

    /// Probes a suspected primary; returns whether it counts as lost.
    ///
    /// One that responds, but that instances cannot reach, counts as lost only if another database can
    /// take over: it may itself wait for a replica.
    fn probe(&mut self, now: Moment, member: &MemberFacts, can_move: bool) -> bool {
        let SyncStage::Watching(probes) = &mut self.stage else {
            return false;
        };
        probes.probed_start = Some(member.born_ms);
        let confirmed = probes
            .confirmed_at
            .is_some_and(|at| now.since(at) < PROBE_RETRY);
        let failures = probes.failures;
        let patience = self.settings.suspect_sync_after * 3;
        let reachable = member.reachable_from_most && member.silence < patience;
        if failures >= FAILED_PROBES && !reachable
            || failures >= UNREACHABLE_FAILED_PROBES && member.unreachable_from_half
        {
            return true;
        }
        let settled = self.active_for(now) >= self.settings.suspect_sync_after;
        let may_move = can_move && settled && now >= self.move_after;
        if confirmed && member.unreachable_from_half && may_move {
            return true;
        }
        let every = match confirmed {
            true => PROBE_RETRY,
            false => self.settings.call_interval,
        };
        self.query(now, &member.upstream, every);
        false
    }

    /// Queries databases that announce to be primary, and fences those in an outdated term.
    fn fence_stale_primaries(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        view: &GroupView,
        primary: &UpstreamId,
    ) {
        for member in facts.members {
            let name = &member.upstream;
            let is_current = |at: Moment| self.is_after_change(at);
            let announced = member.announced;
            let stale =
                announced.is_some_and(|(announced, at)| announced.primary && is_current(at));
            if name == primary || !stale {
                continue;
            }
            if self.stale_primaries.remove(name) {
                let action = PromotionAction::Fence(name.clone(), view.term);
                self.actions.push(action);
            } else {
                self.query(now, name, PROBE_RETRY);
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
            SyncStage::Electing(round) if round.term > view.term => {
                return self.repeat_fence(now, facts, view);
            }
            SyncStage::Draining { term, .. } if *term == view.term => {}
            // An earlier control leader started the move.
            _ => {
                let term = view.term;
                self.stage = SyncStage::Draining { term, since: now };
            }
        }
        self.record_active(now, view.term, primary);
        self.request_follow(now, facts, view, primary);
        let SyncStage::Draining { since, .. } = self.stage else {
            return;
        };
        let mut members = facts.members.iter();
        let member = members.find(|member| &member.upstream == primary);
        let gone = member.is_none_or(|member| member.gone || member.reported_unreachable);
        let timed_out = now.since(since) >= self.settings.drain_timeout;
        let drained = facts.confirmed && facts.open_transactions == Some(0);
        let patience = self.settings.suspect_sync_after;
        if gone || drained || timed_out {
            return self.propose_fence(now, facts, view, view.term.next());
        }
        if !must_move(facts, primary, patience) {
            // The reason for the move no longer holds, or no database can take over.
            let state = PrimaryState::Active(primary.clone());
            self.propose(now, facts, view.term, state, view.lineage_start);
        }
    }
}
