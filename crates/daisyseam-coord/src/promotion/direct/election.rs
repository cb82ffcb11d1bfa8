//! Election of a primary among databases with synchronous replication.

use super::{
    DirectPromotion,
    DirectStage,
    is_fit, //
};
use crate::{
    Moment,
    promotion::{
        CallAnswer,
        CallKind,
        GroupFacts,
        MemberFacts,
        PromotionAction, //
    }, //
};
use daisyseam_model::{
    GroupView,
    LogPosition,
    Term,
    UpstreamId,
    announce::{
        UpstreamRole,
        UpstreamState, //
    }, //
};
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

/// Failed calls after which the former primary counts as unreachable.
const FORMER_CALLS: u32 = 2;
/// Interval between two promotion calls to the same database.
const NAME_RETRY: Duration = Duration::from_millis(700);

/// Responses of the databases in one election term.
#[derive(Debug)]
pub(super) struct ElectionRound {
    pub(super) term: Term,
    pub(super) begun: Moment,
    /// When the fence was found committed in the log.
    taken_at: Option<Moment>,
    /// Whether all databases are to be stopped.
    stops_all: bool,
    /// Start time of the process that was queried.
    asked: BTreeMap<UpstreamId, u64>,
    /// Last reported end of each log, with the process that reported it.
    ends: BTreeMap<UpstreamId, EndNote>,
    lost: BTreeMap<UpstreamId, u32>,
    refused: BTreeSet<UpstreamId>,
    /// A later term that some database knows.
    beyond: Option<Term>,
    /// A database that is primary in a later term than the last primary.
    leading: Option<(UpstreamId, Term, LogPosition)>,
    /// A database that is primary, but in no later term than the last primary.
    still_leads: Option<(UpstreamId, Term)>,
}

/// End of a log as its database reported it.
#[derive(Clone, Copy, Debug)]
struct EndNote {
    end: LogPosition,
    /// When the report arrived; for a stopped database, when its first one arrived.
    at: Moment,
    born_ms: u64,
    stopped: bool,
    /// Whether the database was primary until it was fenced.
    stepped_down: bool,
}

/// Promotion of one database, which may take several calls.
#[derive(Debug)]
pub(super) struct NamingAttempt {
    pub(super) term: Term,
    since: Moment,
    chosen: UpstreamId,
    /// End of the log for which it was chosen.
    end: LogPosition,
    /// Whether it confirmed after the choice that its log still reaches `end`; it may have restarted.
    verified: bool,
    lost: u32,
    accepted: bool,
    refused: bool,
    led: Option<(Term, LogPosition)>,
}

impl ElectionRound {
    pub(super) fn begin(now: Moment, term: Term) -> Self {
        Self {
            term,
            begun: now,
            taken_at: None,
            stops_all: false,
            asked: BTreeMap::new(),
            ends: BTreeMap::new(),
            lost: BTreeMap::new(),
            refused: BTreeSet::new(),
            beyond: None,
            leading: None,
            still_leads: None,
        }
    }

    pub(super) fn take_answer(
        &mut self,
        now: Moment,
        base: Term,
        former: bool,
        (upstream, kind): (&UpstreamId, CallKind),
        answer: &CallAnswer,
    ) {
        let state = match answer {
            CallAnswer::State(state) => state,
            CallAnswer::Lost => {
                *self.lost.entry(upstream.clone()).or_default() += 1;
                return;
            }
            CallAnswer::Refused => {
                self.refused.insert(upstream.clone());
                return;
            }
        };
        let refused = self.refused.remove(upstream);
        self.lost.remove(upstream);
        if state.role == UpstreamRole::Primary {
            match state.promised > base {
                true => self.leading = Some((upstream.clone(), state.promised, state.end)),
                false => self.still_leads = Some((upstream.clone(), state.promised)),
            }
            return;
        }
        let fenced = kind == CallKind::Fence;
        let unheld = (refused || fenced && !former) && self.is_running(state);
        if state.promised > self.term || unheld {
            self.beyond = self.beyond.max(Some(state.promised));
            return;
        }
        let held = state.role == UpstreamRole::Detached && state.promised == self.term;
        let stopped = held || fenced && former;
        // A database that stepped down on the fence was primary until then, so its log is complete.
        let stepped_down = fenced && former && !held;
        self.note_end(upstream, (state.end, now), stopped, stepped_down);
    }

    /// Returns whether a replica runs in this term or a later one, so that a fence in this term
    /// does not stop it.
    fn is_running(&self, state: &UpstreamState) -> bool {
        state.role == UpstreamRole::Replica && state.promised >= self.term
    }

    fn note_end(
        &mut self,
        upstream: &UpstreamId,
        (end, at): (LogPosition, Moment),
        stopped: bool,
        stepped_down: bool,
    ) {
        let Some(born_ms) = self.asked.get(upstream).copied() else {
            return;
        };
        let known = self.ends.get(upstream).copied();
        let known = known.filter(|known| known.born_ms == born_ms && known.stopped);
        if known.is_some() && !stopped {
            // A late response to a query that was sent before the database stopped.
            return;
        }
        let note = EndNote {
            end,
            at: known.map_or(at, |known| known.at),
            born_ms,
            stopped,
            stepped_down: stepped_down || known.is_some_and(|known| known.stepped_down),
        };
        self.ends.insert(upstream.clone(), note);
    }

    /// Returns the end of the stopped former primary's log, and when it was first reported.
    ///
    /// The process must have been primary until it was stopped: one that has restarted since could
    /// have an empty log.
    fn stopped_end(
        &self,
        facts: GroupFacts<'_>,
        former: Option<&UpstreamId>,
    ) -> Option<(LogPosition, Moment)> {
        let mut members = facts.members.iter();
        let former = members.find(|member| Some(&member.upstream) == former)?;
        let note = self.note(former).filter(|note| note.stopped)?;
        note.stepped_down.then_some((note.end, note.at))
    }

    /// Returns the report of the current process of a database.
    fn note(&self, member: &MemberFacts) -> Option<EndNote> {
        let note = self.ends.get(&member.upstream).copied();
        note.filter(|note| note.born_ms == member.born_ms)
    }

    fn is_answered(&self, member: &MemberFacts, calls: u32) -> bool {
        self.lost.get(&member.upstream) >= Some(&calls)
            || self.refused.contains(&member.upstream)
            || self.note(member).is_some()
    }

    /// Chooses among databases whose logs reach the end of the stopped former primary's log.
    fn choose_reached(
        &self,
        facts: GroupFacts<'_>,
        end: LogPosition,
        fit_only: bool,
    ) -> Option<UpstreamId> {
        let reaches = |other: LogPosition| {
            let known = facts.view.is_some_and(|view| view.reaches(other, end));
            known || other >= end
        };
        let reached = facts.members.iter().filter(|member| {
            let note = self.note(member);
            !member.gone && note.is_some_and(|note| reaches(note.end))
        });
        let able = reached.filter(|member| !fit_only || is_fit(member) && !member.shunned);
        let best = able.rev().max_by_key(|member| {
            let end = self.note(member).map(|note| note.end);
            (is_fit(member), !member.shunned, !member.denied, end)
        });
        best.map(|member| member.upstream.clone())
    }

    /// Returns whether the report is certainly from the known process of a stopped database.
    ///
    /// A process that has just restarted without having announced itself has a shorter log.
    fn is_whole(&self, member: &MemberFacts, highest: LogPosition) -> bool {
        let Some(note) = self.note(member) else {
            return false;
        };
        let seen = member.least.is_some_and(|least| note.end >= least);
        let announced = member.announced.is_some_and(|(_, at)| at >= note.at);
        note.end >= highest || seen || announced
    }

    /// Chooses the stopped database whose log ends last, if at least one of the stopped databases has
    /// each acknowledged commit.
    fn choose_stopped(&self, facts: GroupFacts<'_>) -> Option<UpstreamId> {
        let stopped = |member: &&MemberFacts| self.note(member).is_some_and(|note| note.stopped);
        let stopped = facts.members.iter().filter(stopped);
        let highest = stopped.clone().filter_map(|member| self.note(member));
        let highest = highest.map(|note| note.end).max()?;
        let counts = |member: &&MemberFacts| member.settled && self.is_whole(member, highest);
        let counted = stopped.clone().filter(counts).count();
        let present = facts.members.iter().filter(|member| !member.gone).count();
        // If all databases are stopped, no other one can have more commits.
        let present = present + facts.vacant;
        let all = stopped.clone().count() >= present.max(facts.expected).max(1);
        if counted < stop_quorum(facts) && !all {
            return None;
        }
        let best = stopped.rev().max_by_key(|member| {
            let end = self.note(member).map(|note| note.end);
            (end, is_fit(member), !member.shunned)
        });
        best.map(|member| member.upstream.clone())
    }
}

/// Returns how many databases must be stopped so that at least one has each acknowledged commit.
fn stop_quorum(facts: GroupFacts<'_>) -> usize {
    let members = facts.members.len() + facts.vacant;
    let members = members.max(facts.expected);
    members + 1 - facts.commit.copies(members)
}

impl NamingAttempt {
    pub(super) fn take_answer(
        &mut self,
        base: Term,
        (upstream, kind): (&UpstreamId, CallKind),
        answer: &CallAnswer,
    ) {
        if *upstream != self.chosen {
            return;
        }
        match answer {
            CallAnswer::State(state) => {
                self.accepted |= kind == CallKind::Promote;
                if !self.verified {
                    self.verified = state.end >= self.end;
                    self.refused |= state.end < self.end;
                }
                if state.role == UpstreamRole::Primary && state.promised > base {
                    self.led = Some((state.promised, state.end));
                }
            }
            CallAnswer::Refused => self.refused |= kind == CallKind::Promote,
            CallAnswer::Lost => self.lost += 1,
        }
    }

    /// Returns whether the chosen database became unreachable before it was asked to become primary.
    fn is_void(&self) -> bool {
        !self.verified && self.lost >= FORMER_CALLS
    }
}

impl DirectPromotion {
    /// Queries and stops databases, chooses one and promotes it.
    pub(super) fn elect(&mut self, now: Moment, facts: GroupFacts<'_>, view: &GroupView) {
        match &self.stage {
            DirectStage::Electing(round) if round.term == view.term => {
                self.gather(now, facts, view);
            }
            DirectStage::Electing(round) if round.term > view.term => {
                self.repeat_fence(now, facts, view);
            }
            DirectStage::Naming(attempt) if attempt.term == view.term => {
                self.follow_naming(now, facts, view);
            }
            // In this term, an earlier control leader may have promoted a database already.
            _ => self.propose_fence(now, facts, view, view.term.next()),
        }
    }

    fn gather(&mut self, now: Moment, facts: GroupFacts<'_>, view: &GroupView) {
        let stops_all = self.has_to_stop_all(now, facts);
        let DirectStage::Electing(round) = &mut self.stage else {
            return;
        };
        round.taken_at.get_or_insert(now);
        if let Some((upstream, _)) = round.still_leads.take_if(|(_, term)| *term == self.base)
            && self.former.is_none()
        {
            // An earlier control leader knew it as the primary.
            self.former = Some(upstream);
        }
        round.stops_all |= stops_all;
        if let Some(leading) = round.leading.clone() {
            // It has been promoted already; a replacement could lack commits that it acknowledges.
            if facts.confirmed {
                self.propose_leading(now, facts, view, leading);
            }
            return;
        }
        if let Some(beyond) = round.beyond {
            let term = beyond.max(view.term).next();
            return self.propose_fence(now, facts, view, term);
        }
        if let Some(chosen) = self.choose(now, facts) {
            if facts.confirmed {
                self.begin_naming(now, facts, view, chosen);
            }
            return;
        }
        self.ask_all(now, facts, view.term);
    }

    /// Returns whether the query phase is over and all databases have to be stopped.
    fn has_to_stop_all(&self, now: Moment, facts: GroupFacts<'_>) -> bool {
        let DirectStage::Electing(round) = &self.stage else {
            return false;
        };
        if let Some((_, at)) = round.stopped_end(facts, self.former.as_ref()) {
            return now.since(at) >= self.settings.reach_for;
        }
        let former = self.former.as_ref();
        let mut asked = facts.members.iter().filter(|member| !member.gone);
        let answered = asked.all(|member| {
            let patience = if former == Some(&member.upstream) {
                FORMER_CALLS
            } else {
                1
            };
            round.is_answered(member, patience)
        });
        let late = |taken_at: Moment| now.since(taken_at) >= self.settings.ask_for;
        answered || round.taken_at.is_some_and(late)
    }

    fn choose(&self, now: Moment, facts: GroupFacts<'_>) -> Option<UpstreamId> {
        let DirectStage::Electing(round) = &self.stage else {
            return None;
        };
        if let Some((end, at)) = round.stopped_end(facts, self.former.as_ref()) {
            let waits = now.since(at) < self.settings.reach_for;
            return round.choose_reached(facts, end, waits);
        }
        round.choose_stopped(facts).filter(|_| round.stops_all)
    }

    /// Queries or stops each database that has not been found stopped.
    fn ask_all(&mut self, now: Moment, facts: GroupFacts<'_>, term: Term) {
        for member in facts.members.iter().filter(|member| !member.gone) {
            let former = self.former.as_ref() == Some(&member.upstream);
            let DirectStage::Electing(round) = &mut self.stage else {
                return;
            };
            let note = round.note(member);
            let stopped = note.is_some_and(|note| note.stopped);
            let former_stopped = round.stopped_end(facts, self.former.as_ref()).is_some();
            let stops = (former || round.stops_all && !former_stopped) && !stopped;
            let refused = round.refused.contains(&member.upstream);
            if stopped {
                continue;
            }
            round.asked.insert(member.upstream.clone(), member.born_ms);
            if stops && !refused {
                self.stop(now, &member.upstream, term);
            } else {
                self.ask(now, &member.upstream, self.settings.call_every);
            }
        }
    }

    fn begin_naming(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        view: &GroupView,
        chosen: UpstreamId,
    ) {
        let DirectStage::Electing(round) = &self.stage else {
            return;
        };
        let Some(note) = round.ends.get(&chosen) else {
            return;
        };
        self.stage = DirectStage::Naming(NamingAttempt {
            term: view.term,
            since: now,
            chosen,
            end: note.end,
            verified: false,
            lost: 0,
            accepted: false,
            refused: false,
            led: None,
        });
        self.called.clear();
        self.follow_naming(now, facts, view);
    }

    /// Promotes the chosen database until it is primary; another one can only follow in a later term.
    fn follow_naming(&mut self, now: Moment, facts: GroupFacts<'_>, view: &GroupView) {
        let DirectStage::Naming(attempt) = &self.stage else {
            return;
        };
        let chosen = attempt.chosen.clone();
        if let Some((led, end)) = attempt.led {
            if self.former.as_ref() == Some(&chosen) {
                // No other database was able to take over, so do not retry the move at once.
                self.move_after = now + self.settings.move_again_after;
            }
            return self.propose_leading(now, facts, view, (chosen, led, end));
        }
        let late = now.since(attempt.since) >= self.settings.promote_direct_for;
        if attempt.refused || attempt.is_void() || late {
            return self.propose_fence(now, facts, view, view.term.next());
        }
        let names = attempt.verified && !attempt.accepted;
        if names && self.is_due(now, &chosen, CallKind::Promote, NAME_RETRY) {
            let end = LogPosition::default();
            let action = PromotionAction::Promote(chosen.clone(), view.term, end);
            self.actions.push(action);
        }
        self.ask(now, &chosen, self.settings.call_every);
    }
}
