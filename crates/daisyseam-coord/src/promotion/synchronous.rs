//! Failover among databases with synchronous replication, which acknowledge commits themselves.
//!
//! A commit is acknowledged once the primary and the configured number of replicas have it. Such a
//! database does not promise a term. Instead it is stopped, and then accepts no writes or
//! replication until it is told to follow a primary or restarts. It numbers terms itself, and the
//! view adopts its numbers: a promoted database becomes primary in the next term that it knows.
//!
//! - A new group keeps the primary that its databases already have.
//! - Each election first queries the state of every database. A database that is already primary in
//!   a later term than the last primary of the view is adopted and never replaced.
//! - If the former primary can be reached, only it is stopped: every database whose log reaches the
//!   end of its log has each acknowledged commit.
//! - Otherwise, or if none that may stay reaches that end in time, all databases are stopped. Once
//!   enough have responded that at least one of them has each acknowledged commit, every database
//!   whose log reaches the longest of theirs has them too. A process counts only if its log has
//!   caught up with a primary since it started.
//! - Among the databases that have each acknowledged commit, one that may stay is preferred.
//! - The log names the chosen database before it is asked to become primary. A call may take effect
//!   long after it was sent, so no other one is asked until the choice is withdrawn.

mod discovery;
mod election;
mod watch;

pub use self::election::ElectionBasis;
use self::{
    discovery::DiscoveryRound,
    election::{
        ElectionRound,
        FormerEnd,
        SyncPromotionAttempt, //
    },
    watch::ProbeResults, //
};
use super::{
    CallKind,
    CallOutcome,
    FenceOutcome,
    GroupFacts,
    MemberFacts,
    PromotionAction,
    PromotionSettings, //
};
use crate::{
    Moment,
    fleet::{
        ChooseCommand,
        ChosenPrimary,
        GroupCommand, //
    }, //
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

/// Interval between two calls that ask a database to follow the primary.
const FOLLOW_RETRY: Duration = Duration::from_millis(1_000);
/// Silence after which a database is no longer asked to follow the primary.
const FOLLOW_SILENCE: Duration = Duration::from_millis(4_000);

/// Stage of the state machine.
#[derive(Debug)]
enum SyncStage {
    /// The databases of a new group are queried for their primary.
    Discovering(DiscoveryRound),
    /// A primary is active and monitored.
    Watching(ProbeResults),
    /// A planned move waits for open transactions to finish.
    Draining { term: Term, since: Moment },
    /// Databases are queried and stopped.
    Electing(ElectionRound),
    /// One database is being promoted.
    Promoting(SyncPromotionAttempt),
}

/// Promotion state machine of a group with synchronous replication.
#[derive(Debug)]
pub(super) struct SyncPromotion {
    settings: PromotionSettings,
    stage: SyncStage,
    called: BTreeMap<(UpstreamId, CallKind), Moment>,
    proposed_at: Option<Moment>,
    active_since: Option<(Term, Moment)>,
    /// Term in which the last active primary became primary, as that database numbers it.
    base: Term,
    /// The last active primary that this state machine has observed.
    former_primary: Option<UpstreamId>,
    /// End of its log, once it has stepped down.
    former_end: Option<FormerEnd>,
    /// Databases that may be stopped, with the term in which each last agreed to follow a primary.
    stopped: BTreeMap<UpstreamId, Option<Term>>,
    /// Whether `stopped` has been initialised.
    initialized: bool,
    /// Databases that report to be primary in an outdated term.
    stale_primaries: BTreeSet<UpstreamId>,
    /// The database that the log names as the next primary, and when it last answered.
    chosen_heard: Option<(UpstreamId, Moment)>,
    move_after: Moment,
    actions: Vec<PromotionAction>,
}

impl SyncPromotion {
    pub(super) fn new(settings: PromotionSettings) -> Self {
        Self {
            settings,
            stage: SyncStage::Watching(ProbeResults::default()),
            called: BTreeMap::new(),
            proposed_at: None,
            active_since: None,
            base: Term::default(),
            former_primary: None,
            former_end: None,
            stopped: BTreeMap::new(),
            initialized: false,
            stale_primaries: BTreeSet::new(),
            chosen_heard: None,
            move_after: Moment::ORIGIN,
            actions: Vec::new(),
        }
    }

    pub(super) fn step(&mut self, now: Moment, facts: GroupFacts<'_>) -> Vec<PromotionAction> {
        self.initialize(facts);
        self.observe_choice(now, facts);
        match facts.view {
            None => self.discover_primary(now, facts),
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

    /// Returns what the choice of the database that is being promoted was based on.
    pub(super) fn basis(&self) -> Option<&ElectionBasis> {
        match &self.stage {
            SyncStage::Promoting(attempt) => Some(attempt.basis()),
            _ => None,
        }
    }

    /// Returns whether the primary has responded as expected and nothing is pending.
    pub(super) fn is_idle(&self) -> bool {
        matches!(&self.stage, SyncStage::Watching(probes) if probes.is_idle())
    }

    /// Records the databases that an earlier control leader may have stopped.
    fn initialize(&mut self, facts: GroupFacts<'_>) {
        if self.initialized {
            return;
        }
        self.initialized = true;
        if facts.view.is_some() {
            let names = facts.members.iter();
            let names = names.map(|member| (member.upstream.clone(), None));
            self.stopped = names.collect();
        }
    }

    fn observe_choice(&mut self, now: Moment, facts: GroupFacts<'_>) {
        let chosen = facts.chosen.map(|chosen| &chosen.upstream);
        if self.chosen_heard.as_ref().map(|(name, _)| name) != chosen {
            self.chosen_heard = chosen.map(|name| (name.clone(), now));
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
        if kind == CallKind::Fence && (outcome.state().is_some() || *outcome == CallOutcome::Lost) {
            // A call without a response may still have taken effect.
            self.stopped.insert(upstream.clone(), None);
        }
        if let CallOutcome::Fenced(fence) = outcome {
            self.record_step_down(now, upstream, fence);
        }
        if let (Some((chosen, heard_at)), Some(_)) = (&mut self.chosen_heard, outcome.state())
            && chosen == upstream
        {
            *heard_at = now;
        }
        if kind == CallKind::Follow {
            if matches!(outcome, CallOutcome::State(_)) {
                self.stopped.insert(upstream.clone(), Some(term));
            }
            return;
        }
        match &mut self.stage {
            SyncStage::Discovering(round) => round.record_outcome(upstream, kind, outcome),
            SyncStage::Watching(probes) if kind == CallKind::State => {
                let from_primary = self.former_primary.as_ref() == Some(upstream);
                let stale = probes.record_outcome(now, self.base, from_primary, outcome);
                if stale {
                    self.stale_primaries.insert(upstream.clone());
                }
            }
            SyncStage::Electing(round) if round.term == term => {
                round.record_outcome(now, self.base, (upstream, kind), outcome);
            }
            SyncStage::Promoting(attempt) if attempt.term == term => {
                attempt.record_outcome(self.base, (upstream, kind), outcome);
            }
            _ => {}
        }
    }

    /// Records the end of the log of the primary of the view, if that has just stepped down.
    ///
    /// It was primary until then, so its log has each acknowledged commit. Later answers of the
    /// database may come from another process. No other one leads the same term, so it may have
    /// started again with its log under another name.
    fn record_step_down(&mut self, now: Moment, upstream: &UpstreamId, fence: &FenceOutcome) {
        let is_electing = matches!(self.stage, SyncStage::Electing(_) | SyncStage::Promoting(_));
        if is_electing && fence.led == Some(self.base) && self.former_end.is_none() {
            self.former_primary = Some(upstream.clone());
            let end = fence.state.end;
            self.former_end = Some(FormerEnd { end, at: now });
        }
    }

    fn record_active(&mut self, now: Moment, term: Term, primary: &UpstreamId) {
        if self.active_since.is_none_or(|(known, _)| known != term) {
            self.active_since = Some((term, now));
            self.stale_primaries.clear();
            self.former_end = None;
        }
        if self.former_primary.as_ref() != Some(primary) {
            self.former_primary = Some(primary.clone());
        }
    }

    fn active_for(&self, now: Moment) -> Duration {
        let since = self.active_since.map_or(now, |(_, since)| since);
        now.since(since)
    }

    /// Returns whether a call is due, and if so records it as made.
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

    fn query(&mut self, now: Moment, upstream: &UpstreamId, every: Duration) {
        if self.is_due(now, upstream, CallKind::State, every) {
            let action = PromotionAction::State(upstream.clone());
            self.actions.push(action);
        }
    }

    fn stop(&mut self, now: Moment, upstream: &UpstreamId, term: Term) {
        if self.is_due(now, upstream, CallKind::Fence, self.settings.call_interval) {
            let action = PromotionAction::Fence(upstream.clone(), term);
            self.actions.push(action);
        }
    }

    /// Proposes a new term without a primary and starts an election.
    fn propose_fence(&mut self, now: Moment, facts: GroupFacts<'_>, view: &GroupView, term: Term) {
        self.stage = SyncStage::Electing(ElectionRound::begin(now, term));
        self.called.clear();
        self.proposed_at = None;
        self.push_state(facts, view, term, PrimaryState::Fenced, view.lineage_start);
    }

    /// Proposes a state unless one was proposed within `call_interval`.
    fn propose(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        term: Term,
        primary: PrimaryState,
        lineage_start: LogPosition,
    ) {
        let is_recent = |at: Moment| now.since(at) < self.settings.call_interval;
        let (Some(view), false) = (facts.view, self.proposed_at.is_some_and(is_recent)) else {
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

    /// Proposes a choice of the next primary, or its withdrawal.
    fn push_choice(
        &mut self,
        facts: GroupFacts<'_>,
        view: &GroupView,
        chosen: Option<ChosenPrimary>,
    ) {
        self.actions.push(PromotionAction::Choose(ChooseCommand {
            group: facts.group.clone(),
            term: view.term,
            chosen,
        }));
    }

    /// Proposes as primary a database that reports to be primary already.
    fn propose_existing_primary(
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

    /// Asks each database that may be stopped to follow the primary, until it agrees in this term.
    fn request_follow(
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

/// Returns whether a database is eligible as the target of a planned move.
fn is_eligible(member: &MemberFacts) -> bool {
    !member.leaving && member.in_service && !member.gone
}

/// Returns whether the primary must move and another database can take over.
fn must_move(facts: GroupFacts<'_>, primary: &UpstreamId, patience: Duration) -> bool {
    let mut members = facts.members.iter();
    let present = members.find(|member| &member.upstream == primary);
    present.is_some_and(|member| !is_eligible(member)) && has_successor(facts, primary, patience)
}

/// Returns whether another database has caught up, responds and may stay primary.
fn has_successor(facts: GroupFacts<'_>, primary: &UpstreamId, patience: Duration) -> bool {
    let can_take_over = |member: &MemberFacts| {
        let is_reachable = member.announced.is_some() && member.silence < patience;
        is_eligible(member)
            && member.caught_up
            && is_reachable
            && !member.reported_unreachable
            && !member.unreachable_from_half
    };
    let mut others = facts.members.iter();
    others.any(|member| &member.upstream != primary && can_take_over(member))
}
