//! Checks whether the logs of databases that acknowledge commits by themselves have caught up.
//!
//! A restarted database counts in an election only once its log has reached a position that the
//! primary had reached after the restart, because its former process may have had commits that the
//! new one lacks. Likewise, a stopped database is dropped only once enough other members have
//! reached a position that the primary had reached after the stop.

use super::{
    ControlCore,
    leader::LeaderState, //
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

/// Time between two rounds of state requests.
const SURVEY_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an announcement after which a leaving database counts as gone.
const GONE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without an announcement after which a database that answers no calls either counts as gone.
const LOST_TIMEOUT: Duration = Duration::from_secs(15);

/// Survey of one group: the requests that are pending, and what their answers showed.
#[derive(Debug, Default)]
pub(super) struct GroupSurvey {
    asked_at: Option<Moment>,
    /// Databases whose answer is pending, with the start time of the process that was asked.
    pending: BTreeMap<UpstreamId, u64>,
    states: BTreeMap<UpstreamId, StateRecord>,
    /// Databases whose last call failed.
    unanswered: BTreeSet<UpstreamId>,
    /// Databases, with their process start times, that get a goal from the next answer of the
    /// primary. They are noted before the primary is asked, so that its answer is newer.
    awaiting_goal: Vec<(UpstreamId, u64)>,
    /// Log positions to reach, with the start time of the process for which each was set.
    goals: BTreeMap<UpstreamId, (u64, LogPosition)>,
    /// The primary, and the minimum term that it must lead.
    primary: Option<(UpstreamId, Term)>,
}

#[derive(Clone, Copy, Debug)]
struct StateRecord {
    born_ms: u64,
    end: LogPosition,
    /// Whether it answered as primary, in the term of the survey or a later one.
    leads: bool,
}

impl GroupSurvey {
    pub(super) fn take_answer(&mut self, upstream: &UpstreamId, answer: &CallOutcome) {
        let Some(born_ms) = self.pending.remove(upstream) else {
            return;
        };
        let CallOutcome::State(state) = answer else {
            self.unanswered.insert(upstream.clone());
            return;
        };
        self.unanswered.remove(upstream);
        let least = |(primary, term): &(UpstreamId, Term)| {
            primary == upstream && state.promised >= *term && state.role == UpstreamRole::Primary
        };
        let leads = self.primary.as_ref().is_some_and(least);
        if leads {
            for (name, born_ms) in self.awaiting_goal.drain(..) {
                self.goals.insert(name, (born_ms, state.end));
            }
        }
        let note = StateRecord {
            born_ms,
            end: state.end,
            leads,
        };
        self.states.insert(upstream.clone(), note);
    }

    fn goal(&self, name: &UpstreamId, born_ms: u64) -> Option<LogPosition> {
        let goal = self.goals.get(name);
        let (_, position) = goal.filter(|(born, _)| *born == born_ms)?;
        Some(*position)
    }

    fn state(&self, name: &UpstreamId, upstream: &UpstreamView) -> Option<StateRecord> {
        let note = self.states.get(name).copied();
        note.filter(|note| note.born_ms == upstream.born_ms)
    }

    fn has_reached(
        &self,
        facts: &SurveyFacts<'_>,
        (name, upstream): (&UpstreamId, &UpstreamView),
        position: LogPosition,
    ) -> bool {
        let note = self.state(name, upstream);
        note.is_some_and(|note| facts.group.reaches(note.end, position))
    }
}

/// The members of a group, as seen by one round of the survey.
struct SurveyFacts<'a> {
    members: Vec<(&'a UpstreamId, &'a UpstreamView)>,
    primary: &'a UpstreamId,
    group: &'a GroupView,
    replicas: CommitPolicy,
    /// Members that have not caught up since their process started.
    unsettled: BTreeSet<&'a UpstreamId>,
    /// Members that announced that they are gone, or that have been silent for too long.
    departing: BTreeSet<&'a UpstreamId>,
}

impl ControlCore {
    pub(super) fn survey_groups(&mut self, now: Moment) {
        let view = Arc::clone(self.fleet.view());
        let (Some(document), true) = (&view.document, self.is_acting_leader(now)) else {
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
        let Some(facts) = facts.filter(SurveyFacts::has_work) else {
            leader.surveys.remove(group);
            return;
        };
        let survey = leader.surveys.entry(group.clone()).or_default();
        survey.reset_on_primary_change(&facts);
        let command = survey.next_command(&facts, &self.fleet);
        let asks = survey.next_round(now, &facts);
        if let Some(command) = command {
            log::info!("group {group}: {command:?}");
            if let FleetCommand::DropUpstream(name) = &command {
                // Otherwise its last announcement would add it to the view again.
                leader.announced.remove(name);
            }
            self.propose_reconcile(now, &command);
        }
        for name in asks {
            let kind = (CallKind::Survey, facts.group.lineage_start.term);
            self.call_database(view, group, name, kind, AdminCall::State);
        }
    }
}

impl LeaderState {
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
            now.since(announced.map_or(self.started_at, |known| known.announced_at))
        };
        let is_departing = |(name, upstream): &&(&UpstreamId, &UpstreamView)| {
            let silence = silence(name);
            let left = upstream.leaving && silence >= GONE_TIMEOUT;
            let gone = self.is_gone(name, upstream.born_ms);
            *name != primary && (gone || left || silence >= LOST_TIMEOUT)
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
    fn has_work(&self) -> bool {
        !self.unsettled.is_empty() || !self.departing.is_empty()
    }
}

impl GroupSurvey {
    /// Resets the survey if the primary or its term has changed.
    fn reset_on_primary_change(&mut self, facts: &SurveyFacts<'_>) {
        let primary = (facts.primary.clone(), facts.group.lineage_start.term);
        if self.primary.as_ref() != Some(&primary) {
            *self = Self {
                primary: Some(primary),
                ..Self::default()
            };
        }
    }

    /// Returns a command for the first member that provably caught up or may be dropped.
    fn next_command(&self, facts: &SurveyFacts<'_>, fleet: &FleetState) -> Option<FleetCommand> {
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

    /// Returns whether enough other databases have each acknowledged commit.
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
        if !upstream.leaving && !self.unanswered.contains(name) {
            return false;
        }
        let needed = facts.replicas.copies(facts.members.len() - 1);
        let reached = facts.members.iter().filter(|(other, upstream)| {
            let leads = *other == facts.primary;
            let caught_up = fleet.has_caught_up(other) && !facts.departing.contains(other);
            caught_up && (leads || self.has_reached(facts, (other, upstream), goal))
        });
        reached.count() >= needed
    }

    /// Starts the next round if it is due, and returns the databases to ask.
    fn next_round(&mut self, now: Moment, facts: &SurveyFacts<'_>) -> Vec<UpstreamId> {
        let due = |at: Moment| now.since(at) >= SURVEY_INTERVAL;
        if !self.asked_at.is_none_or(due) || !self.pending.is_empty() {
            return Vec::new();
        }
        self.asked_at = Some(now);
        let waiting = facts.members.iter().filter(|(name, upstream)| {
            let open = facts.unsettled.contains(name) || facts.departing.contains(name);
            open && self.goal(name, upstream.born_ms).is_none()
        });
        let waiting = waiting.map(|(name, upstream)| ((*name).clone(), upstream.born_ms));
        self.awaiting_goal = waiting.collect();
        let asks_primary = !self.awaiting_goal.is_empty();
        let asked = facts.members.iter().filter(|(name, _)| {
            if *name == facts.primary {
                return asks_primary;
            }
            // Whether a member can be dropped depends on how far all others have caught up.
            facts.unsettled.contains(name) || !facts.departing.is_empty()
        });
        self.pending = asked
            .map(|(name, upstream)| ((*name).clone(), upstream.born_ms))
            .collect();
        self.pending.keys().cloned().collect()
    }
}
