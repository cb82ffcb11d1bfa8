//! Databases that acknowledge by themselves are asked whether their logs have caught up.
//!
//! A process that has started counts in an election only once its log has reached a place that the
//! primary had reached after it started: its former process may have had commits that it lacks. In
//! the same way a database that is gone is dropped only once enough others have reached a place
//! that the primary had reached afterwards.

use super::{
    ControlCore,
    leader::LeaderWork, //
};
use crate::admin::AdminCall;
use daisyseam_coord::{
    Moment,
    fleet::{
        CaughtUpCommand, //
        FleetCommand,
        FleetState,
    },
    promotion::{
        CallKind, //
        CallOutcome,
    }, //
};
use daisyseam_model::{
    FleetView,
    GroupId,
    GroupView,
    LogPosition,
    Term,
    UpstreamId,
    UpstreamView,
    announce::UpstreamRole,
    document::CommitPolicy, //
};
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration, //
};

/// Time between two rounds of questions.
const SURVEY_EVERY: Duration = Duration::from_millis(500);
/// Silence after which a leaving database counts as gone.
const GONE_AFTER: Duration = Duration::from_secs(10);
/// Silence after which a database that does not answer either counts as gone.
const LOST_AFTER: Duration = Duration::from_secs(15);

/// What was asked in one group, and what came back.
#[derive(Debug, Default)]
pub(super) struct GroupSurvey {
    asked_at: Option<Moment>,
    /// Start of the process that was asked; its answer is still to come.
    asked: BTreeMap<UpstreamId, u64>,
    states: BTreeMap<UpstreamId, StateNote>,
    lost: BTreeSet<UpstreamId>,
    /// Databases that wait for a word of the primary that was asked for after they were noticed.
    noticed: Vec<(UpstreamId, u64)>,
    /// Places that must be reached, with the process for which they were set.
    goals: BTreeMap<UpstreamId, (u64, LogPosition)>,
    /// The primary, and the term that it must lead at least.
    primary: Option<(UpstreamId, Term)>,
}

#[derive(Clone, Copy, Debug)]
struct StateNote {
    born_ms: u64,
    end: LogPosition,
    leads: bool,
}

impl GroupSurvey {
    pub(super) fn take_answer(&mut self, upstream: &UpstreamId, answer: &CallOutcome) {
        let Some(born_ms) = self.asked.remove(upstream) else {
            return;
        };
        let CallOutcome::State(state) = answer else {
            self.lost.insert(upstream.clone());
            return;
        };
        self.lost.remove(upstream);
        let least = |(primary, term): &(UpstreamId, Term)| {
            primary == upstream && state.promised >= *term && state.role == UpstreamRole::Primary
        };
        let leads = self.primary.as_ref().is_some_and(least);
        if leads {
            for (name, born_ms) in self.noticed.drain(..) {
                self.goals.insert(name, (born_ms, state.end));
            }
        }
        let note = StateNote {
            born_ms,
            end: state.end,
            leads,
        };
        self.states.insert(upstream.clone(), note);
    }

    fn goal(&self, name: &UpstreamId, born_ms: u64) -> Option<LogPosition> {
        let goal = self.goals.get(name);
        let (_, place) = goal.filter(|(born, _)| *born == born_ms)?;
        Some(*place)
    }

    fn state(&self, name: &UpstreamId, upstream: &UpstreamView) -> Option<StateNote> {
        let note = self.states.get(name).copied();
        note.filter(|note| note.born_ms == upstream.born_ms)
    }

    fn has_reached(
        &self,
        facts: &SurveyFacts<'_>,
        (name, upstream): (&UpstreamId, &UpstreamView),
        place: LogPosition,
    ) -> bool {
        let note = self.state(name, upstream);
        note.is_some_and(|note| facts.group.reaches(note.end, place))
    }
}

/// The members of a group, as one survey sees them.
struct SurveyFacts<'a> {
    members: Vec<(&'a UpstreamId, &'a UpstreamView)>,
    primary: &'a UpstreamId,
    group: &'a GroupView,
    replicas: CommitPolicy,
    /// Members that are not settled.
    unsettled: BTreeSet<&'a UpstreamId>,
    /// Members that are gone by their word or their silence.
    departing: BTreeSet<&'a UpstreamId>,
}

impl ControlCore {
    pub(super) fn survey_groups(&mut self, now: Moment) {
        let view = Arc::clone(self.fleet.view());
        let (Some(document), true) = (&view.document, self.is_in_charge(now)) else {
            return;
        };
        for (group, entry) in &document.groups {
            if matches!(entry.commit, CommitPolicy::Replicas(_)) {
                self.survey_group(now, &view, group, entry.commit);
            }
        }
    }

    fn survey_group(
        &mut self,
        now: Moment,
        view: &FleetView,
        group: &GroupId,
        commit: CommitPolicy,
    ) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let facts = leader.survey_facts(now, &self.fleet, view, group, commit);
        let Some(facts) = facts.filter(SurveyFacts::is_open) else {
            leader.surveys.remove(group);
            return;
        };
        let survey = leader.surveys.entry(group.clone()).or_default();
        survey.follow_primary(&facts);
        let command = survey.decide(&facts, &self.fleet);
        let asks = survey.next_round(now, &facts);
        if let Some(command) = command {
            log::info!("group {group}: {command:?}");
            if let FleetCommand::DropUpstream(name) = &command {
                // Its last word would put it back on the list.
                leader.announced.remove(name);
            }
            self.propose_upkeep(now, &command);
        }
        for name in asks {
            let kind = (CallKind::Survey, facts.group.lineage_start.term);
            self.call_database(view, group, name, kind, AdminCall::State);
        }
    }
}

impl LeaderWork {
    fn survey_facts<'a>(
        &self,
        now: Moment,
        fleet: &FleetState,
        view: &'a FleetView,
        group: &'a GroupId,
        replicas: CommitPolicy,
    ) -> Option<SurveyFacts<'a>> {
        let state = view.groups.get(group)?;
        let primary = state.primary.active()?;
        let members: Vec<_> = view.members(group).collect();
        let silence = |name: &UpstreamId| {
            let announced = self.announced.get(name);
            now.since(announced.map_or(self.begun, |known| known.at))
        };
        let is_departing = |(name, upstream): &&(&UpstreamId, &UpstreamView)| {
            let silence = silence(name);
            let left = upstream.leaving && silence >= GONE_AFTER;
            let gone = self.is_gone(name, upstream.born_ms);
            *name != primary && (gone || left || silence >= LOST_AFTER)
        };
        let departing: BTreeSet<_> = members
            .iter()
            .filter(is_departing)
            .map(|(name, _)| *name)
            .collect();
        let unsettled = members.iter().map(|(name, _)| *name);
        let unsettled =
            unsettled.filter(|name| !fleet.has_caught_up(name) && !departing.contains(name));
        Some(SurveyFacts {
            unsettled: unsettled.collect(),
            departing,
            members,
            primary,
            group: state,
            replicas,
        })
    }
}

impl SurveyFacts<'_> {
    fn is_open(&self) -> bool {
        !self.unsettled.is_empty() || !self.departing.is_empty()
    }
}

impl GroupSurvey {
    /// Forgets what was meant for another primary.
    fn follow_primary(&mut self, facts: &SurveyFacts<'_>) {
        let primary = (facts.primary.clone(), facts.group.lineage_start.term);
        if self.primary.as_ref() != Some(&primary) {
            *self = Self {
                primary: Some(primary),
                ..Self::default()
            };
        }
    }

    /// Returns the next thing that is proven.
    fn decide(&self, facts: &SurveyFacts<'_>, fleet: &FleetState) -> Option<FleetCommand> {
        let settled = facts.members.iter().find(|(name, upstream)| {
            facts.unsettled.contains(name) && self.has_caught_up(facts, name, upstream)
        });
        if let Some((name, upstream)) = settled {
            return Some(FleetCommand::CaughtUp(CaughtUpCommand {
                upstream: (*name).clone(),
                born_ms: upstream.born_ms,
            }));
        }
        let gone = facts.members.iter().find(|(name, upstream)| {
            facts.departing.contains(name) && self.may_drop(facts, fleet, name, upstream)
        });
        gone.map(|(name, _)| FleetCommand::DropUpstream((*name).clone()))
    }

    fn has_caught_up(
        &self,
        facts: &SurveyFacts<'_>,
        name: &UpstreamId,
        upstream: &UpstreamView,
    ) -> bool {
        if name == facts.primary {
            return self.state(name, upstream).is_some_and(|note| note.leads);
        }
        let goal = self.goal(name, upstream.born_ms);
        goal.is_some_and(|goal| self.has_reached(facts, (name, upstream), goal))
    }

    /// Returns whether each acknowledged commit is on enough databases without this one.
    fn may_drop(
        &self,
        facts: &SurveyFacts<'_>,
        fleet: &FleetState,
        name: &UpstreamId,
        upstream: &UpstreamView,
    ) -> bool {
        let Some(goal) = self.goal(name, upstream.born_ms) else {
            return false;
        };
        if !upstream.leaving && !self.lost.contains(name) {
            return false;
        }
        let needed = facts.replicas.copies(facts.members.len() - 1);
        let reached = facts.members.iter().filter(|(other, upstream)| {
            let leads = *other == facts.primary;
            let whole = fleet.has_caught_up(other) && !facts.departing.contains(other);
            whole && (leads || self.has_reached(facts, (other, upstream), goal))
        });
        reached.count() >= needed
    }

    /// Returns whom to ask now.
    fn next_round(&mut self, now: Moment, facts: &SurveyFacts<'_>) -> Vec<UpstreamId> {
        let due = |at: Moment| now.since(at) >= SURVEY_EVERY;
        if !self.asked_at.is_none_or(due) || !self.asked.is_empty() {
            return Vec::new();
        }
        self.asked_at = Some(now);
        let waiting = facts.members.iter().filter(|(name, upstream)| {
            let open = facts.unsettled.contains(name) || facts.departing.contains(name);
            open && self.goal(name, upstream.born_ms).is_none()
        });
        let waiting = waiting.map(|(name, upstream)| ((*name).clone(), upstream.born_ms));
        self.noticed = waiting.collect();
        let asks_primary = !self.noticed.is_empty();
        let asked = facts.members.iter().filter(|(name, _)| {
            if *name == facts.primary {
                return asks_primary;
            }
            // Where somebody is to be dropped, everybody has to have caught up.
            facts.unsettled.contains(name) || !facts.departing.is_empty()
        });
        self.asked = asked
            .map(|(name, upstream)| ((*name).clone(), upstream.born_ms))
            .collect();
        self.asked.keys().cloned().collect()
    }
}
