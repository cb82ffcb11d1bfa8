//! Checks whether the logs of databases that acknowledge commits by themselves have caught up.
//!
//! A new database becomes a voter, whose copies of commits count, once its log has reached a position
//! that the primary had reached after it started. A restarted one counts again only after the same,
//! because its former process may have had commits that the new one lacks.
//!
//! Whatever elections stop counting, instances stop counting first. The following changes therefore
//! wait until no instance may act on an earlier view, and then until enough voters have reached a
//! position that the primary had reached after that:
//!
//! - A silent voter is suspended and then demoted to a learner. It may run on and receive commits.
//! - A stopped database is marked as leaving and then dropped.
//! - After the document asks for more replicas, elections rely on more copies of each commit.

use super::{
    ControlCore,
    announcements::leave_command,
    leader::LeaderState, //
};
use crate::admin::AdminCall;
use daisyseam_coord::{
    Moment,
    fleet::{
        CaughtUpCommand,
        CopiesCommand,
        CopyGuarantee,
        FleetCommand,
        FleetState,
        VoterCommand, //
    },
    promotion::{
        CallKind,
        CallOutcome, //
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
    ViewNumber,
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
/// Time without an announcement after which a voter that answers no calls either is suspended.
const SUSPEND_TIMEOUT: Duration = Duration::from_secs(3);
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
    /// Likewise, departing databases and voters that no instance counts any more.
    awaiting_drop_goal: Vec<(UpstreamId, u64)>,
    /// Log positions to reach, with the start time of the process for which each was set.
    goals: BTreeMap<UpstreamId, (u64, LogPosition)>,
    /// Log positions that others must reach before a departing database is dropped or a voter demoted.
    drop_goals: BTreeMap<UpstreamId, (u64, LogPosition)>,
    /// View that instances had confirmed before the primary was asked for the next `copies_goal`.
    awaiting_copies_goal: Option<ViewNumber>,
    /// Log position that members must reach before commits count as having more copies, with the view
    /// that instances had confirmed before.
    copies_goal: Option<(ViewNumber, LogPosition)>,
    /// Departing databases and voters whose copies do not count by the view.
    uncounted: BTreeMap<UpstreamId, UncountedSince>,
    /// The primary, and the minimum term that it must lead.
    primary: Option<(UpstreamId, Term)>,
}

/// Since when, and why, no copy of a database counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct UncountedSince {
    /// First view in which it was found so.
    view: ViewNumber,
    /// Whether it leaves, rather than being suspended. It may have counted between the two.
    is_leaving: bool,
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
            for (name, born_ms) in self.awaiting_drop_goal.drain(..) {
                self.drop_goals.insert(name, (born_ms, state.end));
            }
            if let Some(since) = self.awaiting_copies_goal.take() {
                self.copies_goal = Some((since, state.end));
            }
        }
        let note = StateRecord {
            born_ms,
            end: state.end,
            leads,
        };
        self.states.insert(upstream.clone(), note);
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
    name: &'a GroupId,
    group: &'a GroupView,
    replicas: CommitPolicy,
    /// The recorded number of copies of each acknowledged commit.
    copies: Option<CopyGuarantee>,
    /// Number of members that elections count.
    voters: usize,
    /// Members whose copies do not count, because their process has not caught up or was suspended.
    unsettled: BTreeSet<&'a UpstreamId>,
    /// Members that announced that they are gone, or that have been silent for too long.
    departing: BTreeSet<&'a UpstreamId>,
    /// Voters that are silent, while enough others are not.
    silent: BTreeSet<&'a UpstreamId>,
    /// Voters whose copies do not count by the view.
    suspended: BTreeSet<&'a UpstreamId>,
}

impl ControlCore {
    pub(super) fn survey_groups(&mut self, now: Moment) {
        let view = Arc::clone(self.fleet.view());
        let (Some(document), true) = (&view.document, self.is_acting_leader(now)) else {
            return;
        };
        for (group, entry) in &document.groups {
            if !matches!(entry.commit, CommitPolicy::Replicas(_)) {
                continue;
            }
            if self.fleet.guaranteed_copies(group).is_none() {
                let command = FleetCommand::Copies(CopiesCommand {
                    group: group.clone(),
                    copies: 0,
                    since: ViewNumber::default(),
                });
                self.propose_reconcile(now, &command);
            }
            self.survey_group(now, &view, group, entry.commit);
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
        survey.note_uncounted(view.number, &facts);
        let command = survey.next_command(&facts, &self.fleet);
        let is_confirmed = |number| leader.leases.is_change_complete(now, number);
        let asks = survey.next_round(now, &facts, is_confirmed);
        if let Some(command) = command {
            log::info!("group {group}: {command:?}");
            // Otherwise its last announcement would undo the change.
            match &command {
                FleetCommand::DropUpstream(name) => drop(leader.announced.remove(name)),
                FleetCommand::Upstream(leave) => {
                    if let Some(known) = leader.announced.get_mut(&leave.upstream) {
                        known.command.leaving = leave.leaving;
                    }
                }
                _ => {}
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
        let unsettled = members
            .iter()
            .filter(|(name, upstream)| !upstream.voter && !departing.contains(name));
        let unsettled = unsettled.map(|(name, _)| *name).collect();
        let suspended = members
            .iter()
            .filter(|(name, upstream)| *name != primary && !upstream.voter && fleet.is_voter(name));
        let suspended = suspended.map(|(name, _)| *name).collect();
        let counted = members
            .iter()
            .filter(|(_, upstream)| upstream.voter && !upstream.leaving);
        let (silent, heard): (Vec<_>, Vec<_>) =
            counted.partition(|(name, _)| *name != primary && silence(name) >= SUSPEND_TIMEOUT);
        let silent = match heard.len() >= replicas.copies(usize::MAX) {
            true => silent.iter().map(|(name, _)| *name).collect(),
            false => BTreeSet::new(),
        };
        Some(SurveyFacts {
            unsettled,
            departing,
            silent,
            suspended,
            members,
            primary,
            name: group,
            group: state,
            replicas,
            copies: fleet.guaranteed_copies(group),
            voters: fleet.voter_count(group),
        })
    }
}

impl SurveyFacts<'_> {
    fn has_work(&self) -> bool {
        !self.unsettled.is_empty()
            || !self.departing.is_empty()
            || !self.silent.is_empty()
            || !self.suspended.is_empty()
            || self.lacks_copies()
    }

    /// Returns whether commits may get more copies than elections rely on.
    fn lacks_copies(&self) -> bool {
        let wanted = self.replicas.copies(self.voters);
        self.copies.is_some_and(|known| known.copies < wanted)
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
        if let Some((name, _)) = gone {
            return Some(FleetCommand::DropUpstream((*name).clone()));
        }
        if let Some(command) = self.copies_command(facts) {
            return Some(FleetCommand::Copies(command));
        }
        if let Some(command) = self.voter_command(facts) {
            return Some(command);
        }
        let mut silent = facts.members.iter().filter(|(name, upstream)| {
            let unanswered = self.unanswered.contains(*name);
            facts.departing.contains(name) && !upstream.leaving && unanswered
        });
        let (name, upstream) = silent.next()?;
        Some(leave_command(name, upstream))
    }

    /// Returns a command that stops counting a silent voter, or demotes one that no instance counts
    /// any more once enough others have each acknowledged commit.
    fn voter_command(&self, facts: &SurveyFacts<'_>) -> Option<FleetCommand> {
        let command = |(name, upstream): &(&UpstreamId, &UpstreamView)| VoterCommand {
            upstream: (*name).clone(),
            born_ms: upstream.born_ms,
        };
        let mut members = facts.members.iter();
        let silent = members
            .find(|(name, _)| facts.silent.contains(name) && self.unanswered.contains(*name));
        if let Some(silent) = silent {
            return Some(FleetCommand::SuspendVoter(command(silent)));
        }
        let mut members = facts.members.iter();
        let suspended = members.find(|(name, upstream)| {
            let goal = position_of(&self.drop_goals, name, upstream.born_ms);
            let is_enough = |goal| {
                let needed = facts.replicas.copies(usize::MAX);
                self.count_reached(facts, goal) >= needed
            };
            facts.suspended.contains(name) && goal.is_some_and(is_enough)
        });
        Some(FleetCommand::DemoteVoter(command(suspended?)))
    }

    /// Returns a command that raises the number of copies that elections rely on, if enough members
    /// provably have each acknowledged commit.
    fn copies_command(&self, facts: &SurveyFacts<'_>) -> Option<CopiesCommand> {
        let known = facts.copies?;
        let (since, goal) = self
            .copies_goal
            .filter(|(since, _)| *since == known.since)?;
        let reached = self.count_reached(facts, goal);
        let copies = reached.min(facts.replicas.copies(facts.voters));
        (copies > known.copies).then(|| CopiesCommand {
            group: facts.name.clone(),
            copies,
            since,
        })
    }

    /// Returns how many voters stay, count for commits, and have reached a position of the primary's log.
    fn count_reached(&self, facts: &SurveyFacts<'_>, goal: LogPosition) -> usize {
        let reached = facts.members.iter().filter(|(name, upstream)| {
            let leads = *name == facts.primary;
            let stays = upstream.voter && !facts.departing.contains(name);
            stays && (leads || self.has_reached(facts, (name, upstream), goal))
        });
        reached.count()
    }

    /// Notes since which view instances can know that the copies of a database do not count.
    fn note_uncounted(&mut self, number: ViewNumber, facts: &SurveyFacts<'_>) {
        let former = std::mem::take(&mut self.uncounted);
        let uncounted = facts.members.iter().filter_map(|(name, upstream)| {
            let is_leaving = upstream.leaving && facts.departing.contains(name);
            let known = former
                .get(*name)
                .filter(|known| known.is_leaving == is_leaving);
            let found = UncountedSince {
                view: number,
                is_leaving,
            };
            let is_uncounted = is_leaving || facts.suspended.contains(name);
            is_uncounted.then(|| ((*name).clone(), known.copied().unwrap_or(found)))
        });
        self.uncounted = uncounted.collect();
        // One that was counted again in the meantime needs a later position.
        let uncounted = &self.uncounted;
        let is_same = |name: &UpstreamId| {
            let known = uncounted.get(name);
            known.is_some() && known == former.get(name)
        };
        self.drop_goals.retain(|name, _| is_same(name));
        self.awaiting_drop_goal.retain(|(name, _)| is_same(name));
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
        let goal = position_of(&self.goals, name, upstream.born_ms);
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
        let Some(goal) = position_of(&self.drop_goals, name, upstream.born_ms) else {
            return false;
        };
        let voters = facts.voters - usize::from(fleet.is_voter(name));
        let needed = facts.replicas.copies(voters);
        self.count_reached(facts, goal) >= needed
    }

    /// Starts the next round if it is due, and returns the databases to ask.
    fn next_round(
        &mut self,
        now: Moment,
        facts: &SurveyFacts<'_>,
        is_confirmed: impl Fn(ViewNumber) -> bool,
    ) -> Vec<UpstreamId> {
        let due = |at: Moment| now.since(at) >= SURVEY_INTERVAL;
        if !self.asked_at.is_none_or(due) || !self.pending.is_empty() {
            return Vec::new();
        }
        self.asked_at = Some(now);
        let named =
            |(name, upstream): &(&UpstreamId, &UpstreamView)| ((*name).clone(), upstream.born_ms);
        let waiting = facts.members.iter().filter(|(name, upstream)| {
            let goal = position_of(&self.goals, name, upstream.born_ms);
            facts.unsettled.contains(name) && goal.is_none()
        });
        self.awaiting_goal = waiting.map(named).collect();
        let waiting = facts.members.iter().filter(|(name, upstream)| {
            let goal = position_of(&self.drop_goals, name, upstream.born_ms);
            // Until then, instances may count what it receives.
            let since = self.uncounted.get(*name).map(|uncounted| uncounted.view);
            since.is_some_and(&is_confirmed) && goal.is_none()
        });
        self.awaiting_drop_goal = waiting.map(named).collect();
        let since = facts.copies.filter(|_| facts.lacks_copies());
        let since = since.map(|known| known.since);
        let since = since.filter(|since| is_confirmed(*since));
        self.awaiting_copies_goal = since.filter(|since| {
            let known = self.copies_goal.map(|(known, _)| known);
            known != Some(*since)
        });
        let asks_primary = !self.awaiting_goal.is_empty()
            || !self.awaiting_drop_goal.is_empty()
            || self.awaiting_copies_goal.is_some();
        let asked = facts.members.iter().filter(|(name, _)| {
            if *name == facts.primary {
                return asks_primary;
            }
            // Whether a member can be dropped depends on how far all others have caught up.
            facts.unsettled.contains(name)
                || facts.silent.contains(name)
                || !facts.departing.is_empty()
                || !facts.suspended.is_empty()
                || since.is_some()
        });
        self.pending = asked
            .map(|(name, upstream)| ((*name).clone(), upstream.born_ms))
            .collect();
        self.pending.keys().cloned().collect()
    }
}

/// Returns the position that was noted for a process of a database.
fn position_of(
    goals: &BTreeMap<UpstreamId, (u64, LogPosition)>,
    name: &UpstreamId,
    born_ms: u64,
) -> Option<LogPosition> {
    let (_, position) = goals.get(name).filter(|(born, _)| *born == born_ms)?;
    Some(*position)
}
