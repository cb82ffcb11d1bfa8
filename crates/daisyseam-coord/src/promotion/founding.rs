//! The first state of a group whose databases know among themselves who leads.

use super::{
    CallKind,
    GroupFacts,
    GroupPromotion,
    PromotionAction,
    stage::PromotionStage, //
};
use crate::{
    Moment,
    fleet::GroupCommand, //
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
use std::collections::BTreeMap;

/// What the databases of a new group said when they were asked.
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

    pub(super) fn note(&mut self, upstream: &UpstreamId, state: &UpstreamState) {
        self.states.insert(upstream.clone(), state.clone());
    }

    /// Returns the one database that leads in the highest term that any of them knows.
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

impl GroupPromotion {
    /// Takes over the primary that the databases of a new group already have.
    pub(super) fn adopt(&mut self, now: Moment, facts: GroupFacts<'_>) {
        let fresh = |round: &FoundingRound| now.since(round.since) < self.settings.promote_for;
        let asked = matches!(&self.stage, PromotionStage::Founding(round) if fresh(round));
        if !asked {
            self.stage = PromotionStage::Founding(FoundingRound::begin(now));
        }
        let PromotionStage::Founding(round) = &self.stage else {
            return;
        };
        let missing = facts.members.iter().map(|member| &member.upstream);
        let missing = missing.filter(|name| !round.states.contains_key(*name));
        let missing: Vec<UpstreamId> = missing.cloned().collect();
        let waits = now.since(round.since) < self.settings.gather_for / 2;
        let leading = round.leading().filter(|_| missing.is_empty() || !waits);
        if let Some((upstream, term, end)) = leading {
            let (upstream, start) = (upstream.clone(), LogPosition { term, ..end });
            return self.propose_adopted(now, facts, term, upstream, start);
        }
        for upstream in missing {
            if self.is_due(now, &upstream, CallKind::State) {
                self.actions.push(PromotionAction::State(upstream));
            }
        }
    }

    fn propose_adopted(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        term: Term,
        upstream: UpstreamId,
        lineage_start: LogPosition,
    ) {
        if !self.is_due(now, &upstream, CallKind::Promote) {
            return;
        }
        self.actions.push(PromotionAction::Propose(GroupCommand {
            group: facts.group.clone(),
            expected: Term::default(),
            term,
            primary: PrimaryState::Active(upstream),
            lineage_start,
        }));
    }
}
