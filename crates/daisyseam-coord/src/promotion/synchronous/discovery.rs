//! Discovery of the primary of a new group whose databases already have one.

use super::{
    SyncPromotion,
    SyncStage, //
};
use crate::{
    Moment,
    fleet::GroupCommand,
    promotion::{
        CallKind,
        CallOutcome,
        GroupFacts,
        PromotionAction, //
    }, //
};
use daisyseam_model::{
    LogPosition,
    PrimaryState,
    Term,
    UpstreamId,
    announce::{
        UpstreamRole,
        UpstreamState, //
    }, //
};
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// Time after which the databases are queried again if they reported no single primary.
const ROUND_INTERVAL: Duration = Duration::from_millis(1_000);

/// The states that the databases of a new group reported in one round.
#[derive(Debug)]
pub(super) struct DiscoveryRound {
    since: Moment,
    states: BTreeMap<UpstreamId, UpstreamState>,
}

impl DiscoveryRound {
    fn begin(now: Moment) -> Self {
        Self {
            since: now,
            states: BTreeMap::new(),
        }
    }

    pub(super) fn record_outcome(
        &mut self,
        upstream: &UpstreamId,
        kind: CallKind,
        outcome: &CallOutcome,
    ) {
        if let (CallKind::State, CallOutcome::State(state)) = (kind, outcome) {
            self.states.insert(upstream.clone(), state.clone());
        }
    }

    /// Returns the only primary in the highest term that any of the databases knows.
    fn single_primary(&self) -> Option<(&UpstreamId, Term, LogPosition)> {
        let highest = self.states.values().map(|state| state.promised).max()?;
        let is_primary = |state: &UpstreamState| {
            state.role == UpstreamRole::Primary && state.promised == highest
        };
        let mut single_primary = self.states.iter().filter(|(_, state)| is_primary(state));
        let (upstream, state) = single_primary.next()?;
        let is_only = single_primary.next().is_none();
        is_only.then_some((upstream, highest, state.end))
    }
}

impl SyncPromotion {
    /// Adopts the primary that the databases of a new group already have.
    pub(super) fn discover_primary(&mut self, now: Moment, facts: GroupFacts<'_>) {
        let is_recent = |round: &DiscoveryRound| now.since(round.since) < ROUND_INTERVAL;
        if !matches!(&self.stage, SyncStage::Discovering(round) if is_recent(round)) {
            self.stage = SyncStage::Discovering(DiscoveryRound::begin(now));
        }
        let SyncStage::Discovering(round) = &self.stage else {
            return;
        };
        let unanswered = facts.members.iter().map(|member| &member.upstream);
        let unanswered = unanswered.filter(|name| !round.states.contains_key(*name));
        let unanswered: Vec<UpstreamId> = unanswered.cloned().collect();
        let timed_out = now.since(round.since) >= self.settings.query_timeout;
        let single_primary = round
            .single_primary()
            .filter(|_| unanswered.is_empty() || timed_out);
        if let Some((upstream, term, end)) = single_primary {
            let position = end.position;
            let (upstream, start) = (upstream.clone(), LogPosition { term, position });
            return self.propose_first(now, facts, upstream, start);
        }
        for upstream in unanswered {
            self.query(now, &upstream, self.settings.call_interval);
        }
    }

    fn propose_first(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        upstream: UpstreamId,
        lineage_start: LogPosition,
    ) {
        let is_recent = |at: Moment| now.since(at) < self.settings.call_interval;
        if self.proposed_at.is_some_and(is_recent) {
            return;
        }
        self.proposed_at = Some(now);
        self.actions.push(PromotionAction::Propose(GroupCommand {
            group: facts.group.clone(),
            expected: Term::default(),
            term: lineage_start.term,
            primary: PrimaryState::Active(upstream),
            lineage_start,
        }));
    }
}
