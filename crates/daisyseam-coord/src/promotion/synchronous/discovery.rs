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

    pub(super) fn take_answer(
        &mut self,
        upstream: &UpstreamId,
        kind: CallKind,
        answer: &CallOutcome,
    ) {
        if let (CallKind::State, CallOutcome::State(state)) = (kind, answer) {
            self.states.insert(upstream.clone(), state.clone());
        }
    }

    /// Returns the only primary in the highest term that any of the databases knows.
    fn single_primary(&self) -> Option<(&UpstreamId, Term, LogPosition)> {
        let highest = self.states.values().map(|state| state.promised).max()?;
        let leads = |state: &UpstreamState| {
            state.role == UpstreamRole::Primary && state.promised == highest
        };
        let mut single_primary = self.states.iter().filter(|(_, state)| leads(state));
        let (upstream, state) = single_primary.next()?;
        let alone = single_primary.next().is_none();
        alone.then_some((upstream, highest, state.end))
    }
}

impl SyncPromotion {
    /// Adopts the primary that the databases of a new group already have.
    pub(super) fn discover_primary(&mut self, now: Moment, facts: GroupFacts<'_>) {
        let fresh = |round: &DiscoveryRound| now.since(round.since) < ROUND_INTERVAL;
        if !matches!(&self.stage, SyncStage::Discovering(round) if fresh(round)) {
            self.stage = SyncStage::Discovering(DiscoveryRound::begin(now));
        }
        let SyncStage::Discovering(round) = &self.stage else {
            return;
        };
        let unanswered = facts.members.iter().map(|member| &member.upstream);
        let unanswered = unanswered.filter(|name| !round.states.contains_key(*name));
        let unanswered: Vec<UpstreamId> = unanswered.cloned().collect();
        let late = now.since(round.since) >= self.settings.query_timeout;
        let single_primary = round
            .single_primary()
            .filter(|_| unanswered.is_empty() || late);
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
        let fresh = |at: Moment| now.since(at) < self.settings.call_interval;
        if self.proposed_at.is_some_and(fresh) {
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
