//! Changes of primaries among databases that acknowledge commits by themselves.
//!
//! A commit counts once the primary and so many replicas have it. Such a database gives no promise:
//! it is stopped, and a stopped one takes nothing in until it is told to go on or starts again. It
//! counts terms itself, so the view follows: a primary that was named leads the next term it knows.
//!
//! - A new group keeps the primary that its databases name.
//! - Each election first asks how everybody stands. Whoever already leads a later term than the
//!   last primary of the view is followed, never replaced.
//! - A former primary that can be reached is the only one to be stopped: everybody whose log
//!   reaches its end has each acknowledged commit.
//! - Else all are stopped, and so many must answer that each acknowledged commit is on one of them.
//!   Only a process whose log has caught up with a primary since it started counts.

mod election;
mod founding;
mod watch;

use self::{
    election::{
        ElectionRound,
        NamingAttempt, //
    },
    founding::FoundingRound,
    watch::WatchNotes, //
};
use super::{
    CallAnswer,
    CallKind,
    GroupFacts,
    MemberFacts,
    PromotionAction,
    PromotionSettings, //
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
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

/// Time between two calls that ask a database to go on.
const FOLLOW_RETRY: Duration = Duration::from_millis(1_000);
/// Silence after which a database is not asked to go on.
const FOLLOW_SILENCE: Duration = Duration::from_millis(4_000);

/// What the machine waits for.
#[derive(Debug)]
enum DirectStage {
    /// The databases of a new group are asked who leads.
    Founding(FoundingRound),
    /// A primary is active.
    Watching(WatchNotes),
    /// A planned move lets transactions finish.
    Draining { term: Term, since: Moment },
    /// Databases are asked and stopped.
    Electing(ElectionRound),
    /// One database was named.
    Naming(NamingAttempt),
}

/// Decides for one group whose databases acknowledge by themselves.
#[derive(Debug)]
pub(super) struct DirectPromotion {
    settings: PromotionSettings,
    stage: DirectStage,
    called: BTreeMap<(UpstreamId, CallKind), Moment>,
    proposed_at: Option<Moment>,
    active_since: Option<(Term, Moment)>,
    /// Term of the last active primary, by its own count.
    base: Term,
    /// The last active primary that this machine has seen.
    former: Option<UpstreamId>,
    /// Databases that may be stopped, unless they answered to go on under this term.
    stopped: BTreeMap<UpstreamId, Option<Term>>,
    /// Whether the machine knows who may be stopped.
    begun: bool,
    /// Databases that lead an earlier term.
    strays: BTreeSet<UpstreamId>,
    move_after: Moment,
    actions: Vec<PromotionAction>,
}

impl DirectPromotion {
    pub(super) fn new(settings: PromotionSettings) -> Self {
        Self {
            settings,
            stage: DirectStage::Watching(WatchNotes::default()),
            called: BTreeMap::new(),
            proposed_at: None,
            active_since: None,
            base: Term::default(),
            former: None,
            stopped: BTreeMap::new(),
            begun: false,
            strays: BTreeSet::new(),
            move_after: Moment::ORIGIN,
            actions: Vec::new(),
        }
    }

    pub(super) fn step(&mut self, now: Moment, facts: GroupFacts<'_>) -> Vec<PromotionAction> {
        self.begin(facts);
        match facts.view {
            None => self.found(now, facts),
            Some(view) => {
                self.base = view.lineage_start.term;
                match &view.primary {
                    PrimaryState::Fenced => self.elect(now, facts, view),
                    PrimaryState::Draining(primary) => self.drain(now, facts, view, primary),
                    PrimaryState::Active(primary) => self.watch(now, facts, view, primary),
                }
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns whether the primary has answered well and no question is open.
    pub(super) fn is_quiet(&self) -> bool {
        matches!(&self.stage, DirectStage::Watching(notes) if notes.is_quiet())
    }

    /// Notes whom an earlier leader may have stopped.
    fn begin(&mut self, facts: GroupFacts<'_>) {
        if self.begun {
            return;
        }
        self.begun = true;
        if facts.view.is_some() {
            let names = facts.members.iter();
            let names = names.map(|member| (member.upstream.clone(), None));
            self.stopped = names.collect();
        }
    }

    pub(super) fn take_answer(
        &mut self,
        now: Moment,
        upstream: &UpstreamId,
        kind: CallKind,
        term: Term,
        answer: &CallAnswer,
    ) {
        if kind == CallKind::Fence && matches!(answer, CallAnswer::State(_) | CallAnswer::Lost) {
            // A lost call may have taken effect.
            self.stopped.insert(upstream.clone(), None);
        }
        if kind == CallKind::Follow {
            if matches!(answer, CallAnswer::State(_)) {
                self.stopped.insert(upstream.clone(), Some(term));
            }
            return;
        }
        match &mut self.stage {
            DirectStage::Founding(round) => round.take_answer(upstream, kind, answer),
            DirectStage::Watching(notes) if kind == CallKind::State => {
                let leads = self.former.as_ref() == Some(upstream);
                let stray = notes.take_answer(now, self.base, leads, answer);
                if stray {
                    self.strays.insert(upstream.clone());
                }
            }
            DirectStage::Electing(round) if round.term == term => {
                let former = self.former.as_ref() == Some(upstream);
                round.take_answer(now, self.base, former, (upstream, kind), answer);
            }
            DirectStage::Naming(attempt) if attempt.term == term => {
                attempt.take_answer(self.base, (upstream, kind), answer);
            }
            _ => {}
        }
    }

    fn note_active(&mut self, now: Moment, term: Term, primary: &UpstreamId) {
        if self.active_since.is_none_or(|(known, _)| known != term) {
            self.active_since = Some((term, now));
            self.strays.clear();
        }
        if self.former.as_ref() != Some(primary) {
            self.former = Some(primary.clone());
        }
    }

    fn active_for(&self, now: Moment) -> Duration {
        let since = self.active_since.map_or(now, |(_, since)| since);
        now.since(since)
    }

    /// Returns whether a call is due again, and notes that it is made.
    fn is_due(
        &mut self,
        now: Moment,
        upstream: &UpstreamId,
        kind: CallKind,
        every: Duration,
    ) -> bool {
        let key = (upstream.clone(), kind);
        let last = self.called.get(&key).copied();
        let due = last.is_none_or(|last| now.since(last) >= every);
        if due {
            self.called.insert(key, now);
        }
        due
    }

    fn ask(&mut self, now: Moment, upstream: &UpstreamId, every: Duration) {
        if self.is_due(now, upstream, CallKind::State, every) {
            let action = PromotionAction::State(upstream.clone());
            self.actions.push(action);
        }
    }

    fn stop(&mut self, now: Moment, upstream: &UpstreamId, term: Term) {
        if self.is_due(now, upstream, CallKind::Fence, self.settings.call_every) {
            let action = PromotionAction::Fence(upstream.clone(), term);
            self.actions.push(action);
        }
    }

    /// Proposes that nobody is primary, at a term that was never given.
    fn propose_fence(&mut self, now: Moment, facts: GroupFacts<'_>, view: &GroupView, term: Term) {
        self.stage = DirectStage::Electing(ElectionRound::begin(now, term));
        self.called.clear();
        self.proposed_at = None;
        self.push_state(facts, view, term, PrimaryState::Fenced, view.lineage_start);
    }

    /// Proposes a state if none was proposed a moment ago.
    fn propose(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        term: Term,
        primary: PrimaryState,
        lineage_start: LogPosition,
    ) {
        let fresh = |at: Moment| now.since(at) < self.settings.call_every;
        let (Some(view), false) = (facts.view, self.proposed_at.is_some_and(fresh)) else {
            return;
        };
        self.proposed_at = Some(now);
        self.push_state(facts, view, term, primary, lineage_start);
    }

    fn push_state(
        &mut self,
        facts: GroupFacts<'_>,
        view: &GroupView,
        term: Term,
        primary: PrimaryState,
        lineage_start: LogPosition,
    ) {
        self.actions.push(PromotionAction::Propose(GroupCommand {
            group: facts.group.clone(),
            expected: view.term,
            term,
            primary,
            lineage_start,
        }));
    }

    /// Proposes that a database which leads by its own word is primary.
    fn propose_leading(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        view: &GroupView,
        (upstream, led, end): (UpstreamId, Term, LogPosition),
    ) {
        let start = LogPosition {
            term: led,
            position: end.position,
        };
        let term = led.max(view.term);
        self.propose(now, facts, term, PrimaryState::Active(upstream), start);
    }

    /// Asks everybody who may be stopped to go on, once each.
    fn keep_following(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        view: &GroupView,
        primary: &UpstreamId,
    ) {
        for member in facts.members {
            let name = &member.upstream;
            let stopped = self.stopped.get(name);
            let stopped = stopped.is_some_and(|followed| *followed != Some(view.term));
            let asked = name != primary && stopped && member.silence < FOLLOW_SILENCE;
            if asked && self.is_due(now, name, CallKind::Follow, FOLLOW_RETRY) {
                self.actions.push(PromotionAction::Follow {
                    upstream: name.clone(),
                    term: view.term,
                    primary: primary.clone(),
                    lineage_start: view.lineage_start,
                });
            }
        }
    }
}

/// Returns whether a database may take over in a planned way.
fn is_fit(member: &MemberFacts) -> bool {
    !member.leaving && member.in_service && !member.gone
}

/// Returns whether a primary cannot stay and another database could take over.
fn has_to_move(facts: GroupFacts<'_>, primary: &UpstreamId, patience: Duration) -> bool {
    let mut present = facts.members.iter();
    let present = present.find(|member| &member.upstream == primary);
    let able = |member: &MemberFacts| {
        let there = member.announced.is_some() && member.silence < patience;
        is_fit(member) && there && !member.denied
    };
    let mut others = facts.members.iter();
    present.is_some_and(|member| !is_fit(member))
        && others.any(|member| &member.upstream != primary && able(member))
}
