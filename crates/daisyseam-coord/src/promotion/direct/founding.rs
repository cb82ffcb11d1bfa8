//! Discovery of the primary of a new group whose databases already have one.

use super::{
    DirectPromotion,
    DirectStage, //
};
use crate::{
    Moment,
    fleet::GroupCommand,
    promotion::{
        CallAnswer,
        CallKind,
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
const ROUND_TIME: Duration = Duration::from_millis(1_000);

/// The states that the databases of a new group reported in one round.
#[derive(Debug)]
pub(super) struct FoundingRound {
    since: Moment,
    states: BTreeMap<UpstreamId, UpstreamState>,
}

impl FoundingRound {
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
        answer: &CallAnswer,
    ) {
        if let (CallKind::State, CallAnswer::State(state)) = (kind, answer) {
            self.states.insert(upstream.clone(), state.clone());
        }
    }

    /// Returns the only primary in the highest term that any of the databases knows.
    fn leading(&self) -> Option<(&UpstreamId, Term, LogPosition)> {
        let highest = self.states.values().map(|state| state.promised).max()?;
        let leads = |state: &UpstreamState| {
            state.role == UpstreamRole::Primary && state.promised == highest
        };
        let mut leading = self.states.iter().filter(|(_, state)| leads(state));
        let (upstream, state) = leading.next()?;
        let alone = leading.next().is_none();
        alone.then_some((upstream, highest, state.end))
    }
}

impl DirectPromotion {
    /// Adopts the primary that the databases of a new group already have.
    pub(super) fn found(&mut self, now: Moment, facts: GroupFacts<'_>) {
        let fresh = |round: &FoundingRound| now.since(round.since) < ROUND_TIME;
        if !matches!(&self.stage, DirectStage::Founding(round) if fresh(round)) {
            self.stage = DirectStage::Founding(FoundingRound::begin(now));
        }
        let DirectStage::Founding(round) = &self.stage else {
            return;
        };
        let missing = facts.members.iter().map(|member| &member.upstream);
        let missing = missing.filter(|name| !round.states.contains_key(*name));
        let missing: Vec<UpstreamId> = missing.cloned().collect();
        let late = now.since(round.since) >= self.settings.ask_for;
        let leading = round.leading().filter(|_| missing.is_empty() || late);
        if let Some((upstream, term, end)) = leading {
            let position = end.position;
            let (upstream, start) = (upstream.clone(), LogPosition { term, position });
            return self.propose_first(now, facts, upstream, start);
        }
        for upstream in missing {
            self.ask(now, &upstream, self.settings.call_every);
        }
    }

    fn propose_first(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        upstream: UpstreamId,
        lineage_start: LogPosition,
    ) {
        let fresh = |at: Moment| now.since(at) < self.settings.call_every;
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
