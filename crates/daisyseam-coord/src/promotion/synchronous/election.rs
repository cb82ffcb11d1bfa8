//! Election of a primary among databases with synchronous replication.

#[cfg(test)]
mod tests;

use super::{
    SyncPromotion,
    SyncStage,
    is_eligible, //
};
use crate::{
    Moment,
    fleet::ChosenPrimary,
    promotion::{
        CallKind,
        CallOutcome,
        FenceOutcome,
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
use smallvec::SmallVec;
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fmt,
    time::Duration, //
};

/// Failed calls after which the former primary, or a database that announced its departure, counts as
/// unreachable.
const UNREACHABLE_FAILURES: u32 = 2;
/// Interval between two promotion calls to the same database.
const PROMOTE_RETRY: Duration = Duration::from_millis(700);
/// Time without an answer after which a chosen database is not expected to become primary any more.
const CHOICE_TIMEOUT: Duration = Duration::from_secs(15);

/// Responses of the databases in one election term.
#[derive(Debug)]
pub(super) struct ElectionRound {
    pub(super) term: Term,
    pub(super) started_at: Moment,
    /// When the fence was found committed in the log.
    committed_at: Option<Moment>,
    /// Whether all databases are to be stopped.
    stop_all: bool,
    /// Start time of the process that was queried.
    queried: BTreeMap<UpstreamId, u64>,
    /// Last reported end of each log, with the process that reported it.
    ends: BTreeMap<UpstreamId, EndReport>,
    failures: BTreeMap<UpstreamId, u32>,
    refused: BTreeSet<UpstreamId>,
    /// Databases at whose address another one answered.
    replaced: BTreeSet<UpstreamId>,
    /// A later term that some database knows.
    higher_term: Option<Term>,
    /// A database that is primary in a later term than the last primary.
    later_primary: Option<(UpstreamId, Term, LogPosition)>,
    /// A database that is primary, but in no later term than the last primary.
    outdated_primary: Option<(UpstreamId, Term)>,
}

/// End of a log as its database reported it.
#[derive(Clone, Copy, Debug)]
struct EndReport {
    end: LogPosition,
    /// When the report arrived; for a stopped database, when its first one arrived.
    at: Moment,
    born_ms: u64,
    stopped: bool,
}

/// The end of the log of the former primary, which has each acknowledged commit.
#[derive(Clone, Copy, Debug)]
pub(super) struct FormerEnd {
    pub(super) end: LogPosition,
    /// When the report arrived.
    pub(super) at: Moment,
}

/// The databases that a primary was chosen among, to explain the choice afterwards.
#[derive(Clone, Debug)]
pub struct ElectionBasis {
    /// End of the former primary's log, if that stepped down.
    former_end: Option<LogPosition>,
    /// The last reported end of each log.
    ends: Vec<(UpstreamId, EndReport)>,
    /// Number of stopped databases needed when the former primary is not one of them.
    quorum: usize,
    /// Number of databases that elections count.
    voters: usize,
    /// Number of databases in the view.
    listed: usize,
}

impl fmt::Display for ElectionBasis {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.former_end {
            Some(end) => write!(out, "the former primary was stopped at {end}")?,
            None => write!(out, "{} stopped databases were needed", self.quorum)?,
        }
        let (voters, listed) = (self.voters, self.listed);
        write!(out, "; {voters} voters of {listed} listed")?;
        for (name, report) in &self.ends {
            let state = match report.stopped {
                true => "stopped",
                false => "running",
            };
            write!(out, "; {name} {state} at {}", report.end)?;
        }
        Ok(())
    }
}

/// Promotion of one database, which may take several calls.
#[derive(Debug)]
pub(super) struct SyncPromotionAttempt {
    pub(super) term: Term,
    since: Moment,
    chosen: ChosenPrimary,
    basis: ElectionBasis,
    /// Whether it may have been asked to become primary.
    asked: bool,
    /// Whether a call that asked it may have had no answer, so that it can take effect at any time.
    unanswered: bool,
    /// Whether it confirmed after the choice that it still has its log; it may have restarted.
    verified: bool,
    /// Number of queries without an answer since its last one.
    failures: u32,
    accepted: bool,
    refused: bool,
    became_primary: Option<(Term, LogPosition)>,
}

impl ElectionRound {
    pub(super) fn begin(now: Moment, term: Term) -> Self {
        Self {
            term,
            started_at: now,
            committed_at: None,
            stop_all: false,
            queried: BTreeMap::new(),
            ends: BTreeMap::new(),
            failures: BTreeMap::new(),
            refused: BTreeSet::new(),
            replaced: BTreeSet::new(),
            higher_term: None,
            later_primary: None,
            outdated_primary: None,
        }
    }

    pub(super) fn record_outcome(
        &mut self,
        now: Moment,
        base: Term,
        (upstream, kind): (&UpstreamId, CallKind),
        outcome: &CallOutcome,
    ) {
        let (state, led) = match outcome {
            CallOutcome::State(state) => (state, None),
            CallOutcome::Fenced(fence) => (&fence.state, fence.led),
            CallOutcome::Lost => {
                *self.failures.entry(upstream.clone()).or_default() += 1;
                return;
            }
            CallOutcome::Refused => {
                self.refused.insert(upstream.clone());
                return;
            }
            CallOutcome::Replaced => {
                self.replaced.insert(upstream.clone());
                return;
            }
        };
        let refused = self.refused.remove(upstream);
        self.replaced.remove(upstream);
        self.failures.remove(upstream);
        if state.role == UpstreamRole::Primary {
            match state.promised > base {
                true => self.later_primary = Some((upstream.clone(), state.promised, state.end)),
                false => self.outdated_primary = Some((upstream.clone(), state.promised)),
            }
            return;
        }
        let fenced = kind == CallKind::Fence;
        let not_stopped = (refused || fenced && led.is_none()) && self.is_running(state);
        if state.promised > self.term || not_stopped {
            self.higher_term = self.higher_term.max(Some(state.promised));
            return;
        }
        let stopped = state.role == UpstreamRole::Detached && state.promised == self.term;
        self.record_end(upstream, (state.end, now), stopped);
    }

    /// Returns whether a replica runs in this term or a later one, so that a fence in this term
    /// does not stop it.
    fn is_running(&self, state: &UpstreamState) -> bool {
        state.role == UpstreamRole::Replica && state.promised >= self.term
    }

    fn record_end(
        &mut self,
        upstream: &UpstreamId,
        (end, at): (LogPosition, Moment),
        stopped: bool,
    ) {
        let Some(born_ms) = self.queried.get(upstream).copied() else {
            return;
        };
        let known = self.ends.get(upstream).copied();
        let known = known.filter(|known| known.born_ms == born_ms && known.stopped);
        if known.is_some() && !stopped {
            // A late response to a query that was sent before the database stopped.
            return;
        }
        let report = EndReport {
            end,
            at: known.map_or(at, |known| known.at),
            born_ms,
            stopped,
        };
        self.ends.insert(upstream.clone(), report);
    }

    /// Returns the end of the former primary's log if it was found stopped and is certainly the
    /// process that was primary: the call that made it step down may have had no answer.
    fn former_end(&self, facts: GroupFacts<'_>, former: Option<&UpstreamId>) -> Option<FormerEnd> {
        let mut members = facts.members.iter();
        let former = members.find(|member| Some(&member.upstream) == former)?;
        let report = self.report(former).filter(|report| report.stopped)?;
        let is_same = former.caught_up && self.is_known_process(facts, former);
        is_same.then_some(FormerEnd {
            end: report.end,
            at: report.at,
        })
    }

    fn basis(&self, facts: GroupFacts<'_>, former_end: Option<FormerEnd>) -> ElectionBasis {
        let ends = facts.members.iter().filter_map(|member| {
            let report = self.report(member)?;
            Some((member.upstream.clone(), report))
        });
        ElectionBasis {
            former_end: former_end.map(|former| former.end),
            ends: ends.collect(),
            quorum: stop_quorum(facts),
            voters: voters(facts).count(),
            listed: facts.members.len(),
        }
    }

    /// Returns the report of the current process of a database.
    fn report(&self, member: &MemberFacts) -> Option<EndReport> {
        let report = self.ends.get(&member.upstream).copied();
        report.filter(|report| report.born_ms == member.born_ms)
    }

    /// Returns whether a database has announced its departure and does not respond any more, or
    /// another one responds at its address. The announcement alone may be a late one, of a process
    /// before the one that runs.
    fn is_gone(&self, member: &MemberFacts) -> bool {
        let is_silent = self.failures.get(&member.upstream) >= Some(&UNREACHABLE_FAILURES);
        member.gone && (is_silent || self.replaced.contains(&member.upstream))
    }

    fn has_answered(&self, member: &MemberFacts, calls: u32) -> bool {
        self.failures.get(&member.upstream) >= Some(&calls)
            || self.refused.contains(&member.upstream)
            || self.replaced.contains(&member.upstream)
            || self.report(member).is_some()
    }

    /// Returns whether the report of a stopped database is certainly from its known process.
    ///
    /// One that restarted without having announced itself has lost its log. Its log ends before a
    /// position that instances have seen there, and its announcements name another process.
    fn is_known_process(&self, facts: GroupFacts<'_>, member: &MemberFacts) -> bool {
        let Some(report) = self.report(member) else {
            return false;
        };
        match (member.reported_end, facts.view) {
            (Some(seen), Some(view)) => view.keeps(report.end, seen),
            _ => member.announced.is_some_and(|(_, at)| at >= report.at),
        }
    }

    /// Returns whether each database that may have acknowledged commits has been stopped, so that no
    /// other one can have more.
    fn is_every_log_stopped(&self, facts: GroupFacts<'_>) -> bool {
        let is_stopped =
            |member: &MemberFacts| self.report(member).is_some_and(|report| report.stopped);
        let is_successor_stopped = |successor: &UpstreamId| {
            let mut members = facts.members.iter();
            let successor = members.find(|member| member.upstream == *successor);
            successor.is_none_or(is_stopped)
        };
        // The log of one that is gone may be on the next database at its address.
        let is_vacated = |member: &MemberFacts| {
            let successor = member.successor.as_ref();
            self.is_gone(member) && member.vacated && successor.is_none_or(is_successor_stopped)
        };
        // Without a known number of copies, learners may have been counted by earlier versions. Without
        // voters, the databases may have commits from before the group was adopted.
        let counts_learners = facts.copies == 0 || voters(facts).next().is_none();
        let mut needed = facts.members.iter();
        let is_needed = |member: &MemberFacts| member.voter || counts_learners;
        needed.all(|member| !is_needed(member) || is_stopped(member) || is_vacated(member))
    }

    /// Returns the lowest position known to include each acknowledged commit.
    ///
    /// It is the end of the former primary's log, or of the longest log of any set of stopped
    /// databases of which at least one must have each such commit.
    fn required_end(
        &self,
        facts: GroupFacts<'_>,
        former_end: Option<FormerEnd>,
    ) -> Option<LogPosition> {
        let stopped = facts.members.iter().filter_map(|member| {
            let report = self.report(member).filter(|report| report.stopped)?;
            Some((member, report.end))
        });
        let highest = stopped.clone().map(|(_, end)| end).max();
        let counts =
            |member: &MemberFacts| member.caught_up && self.is_known_process(facts, member);
        let counted = stopped.filter(|(member, _)| counts(member));
        let mut counted: SmallVec<[LogPosition; 4]> = counted.map(|(_, end)| end).collect();
        counted.sort_unstable();
        let quorum_end = counted.get(stop_quorum(facts) - 1).copied();
        let last_end = highest.filter(|_| self.is_every_log_stopped(facts));
        let former_end = former_end.map(|former| former.end);
        let ends = [former_end, quorum_end, last_end];
        ends.into_iter().flatten().min()
    }

    /// Chooses among databases whose logs reach a position.
    fn choose_reaching(
        &self,
        facts: GroupFacts<'_>,
        end: LogPosition,
        eligible_only: bool,
    ) -> Option<UpstreamId> {
        let reaches = |other: LogPosition| {
            let known = facts.view.is_some_and(|view| view.reaches(other, end));
            known || other >= end
        };
        let reached = facts.members.iter().filter(|member| {
            let report = self.report(member);
            !self.is_gone(member) && report.is_some_and(|report| reaches(report.end))
        });
        let able = reached.filter(|member| {
            !eligible_only || is_eligible(member) && !member.unreachable_from_half
        });
        let best = able.rev().max_by_key(|member| {
            let end = self.report(member).map(|report| report.end);
            (
                is_eligible(member),
                !member.unreachable_from_half,
                !member.reported_unreachable,
                end,
            )
        });
        best.map(|member| member.upstream.clone())
    }
}

/// Returns how many databases must be stopped so that at least one has each acknowledged commit.
fn stop_quorum(facts: GroupFacts<'_>) -> usize {
    let voters = voters(facts).count();
    voters + 1 - facts.copies.min(voters)
}

/// Iterates over the databases that elections count. A learner has no copy that counts for a commit.
fn voters<'a>(facts: GroupFacts<'a>) -> impl Iterator<Item = &'a MemberFacts> {
    facts.members.iter().filter(|member| member.voter)
}

impl SyncPromotionAttempt {
    /// Returns what the choice of the database was based on.
    pub(super) fn basis(&self) -> &ElectionBasis {
        &self.basis
    }

    pub(super) fn record_outcome(
        &mut self,
        base: Term,
        (upstream, kind): (&UpstreamId, CallKind),
        outcome: &CallOutcome,
    ) {
        if *upstream != self.chosen.upstream {
            return;
        }
        match outcome {
            CallOutcome::State(state) | CallOutcome::Fenced(FenceOutcome { state, .. }) => {
                self.accepted |= kind == CallKind::Promote;
                self.failures = 0;
                self.verified |= state.end >= self.chosen.end;
                self.refused |= state.end < self.chosen.end;
                if state.role == UpstreamRole::Primary && state.promised > base {
                    self.became_primary = Some((state.promised, state.end));
                }
            }
            CallOutcome::Refused => self.refused |= kind == CallKind::Promote,
            CallOutcome::Replaced => {
                self.refused |= kind == CallKind::Promote;
                self.failures += u32::from(kind == CallKind::State);
            }
            CallOutcome::Lost => {
                self.unanswered |= kind == CallKind::Promote;
                self.failures += u32::from(kind == CallKind::State);
            }
        }
    }

    fn is_unreachable(&self) -> bool {
        self.failures >= UNREACHABLE_FAILURES
    }

    /// Returns whether another database may be chosen after this attempt: this one does not have its
    /// log or does not run, was not asked, or was asked so long ago that the call has taken effect.
    fn is_settled(&self) -> bool {
        let answered = self.accepted && !self.unanswered;
        self.refused || !self.asked || answered && self.is_unreachable()
    }
}

impl SyncPromotion {
    /// Queries and stops databases, chooses one and promotes it.
    pub(super) fn elect(&mut self, now: Moment, facts: GroupFacts<'_>, view: &GroupView) {
        match &self.stage {
            SyncStage::Electing(round) if round.term == view.term => {
                self.collect_reports(now, facts, view);
            }
            SyncStage::Electing(round) if round.term > view.term => {
                self.repeat_fence(now, facts, view);
            }
            SyncStage::Promoting(attempt) if attempt.term == view.term => {
                self.continue_promotion(now, facts, view);
            }
            // In this term, an earlier control leader may have promoted a database already.
            _ => self.propose_fence(now, facts, view, view.term.next()),
        }
    }

    fn collect_reports(&mut self, now: Moment, facts: GroupFacts<'_>, view: &GroupView) {
        let stop_all = self.must_stop_all(now, facts);
        let SyncStage::Electing(round) = &mut self.stage else {
            return;
        };
        round.committed_at.get_or_insert(now);
        let found = round
            .outdated_primary
            .take_if(|(_, term)| *term == self.base);
        if self.former_primary.is_none() {
            // An earlier control leader knew it as the primary.
            let found = found.map(|(upstream, _)| upstream);
            self.former_primary = facts.former.cloned().or(found);
        }
        if self.former_end.is_none() {
            self.former_end = round.former_end(facts, self.former_primary.as_ref());
        }
        round.stop_all |= stop_all;
        if let Some(later_primary) = round.later_primary.clone() {
            // It has been promoted already; a replacement could lack commits that it acknowledges.
            if facts.confirmed {
                self.propose_existing_primary(now, facts, view, later_primary);
            }
            return;
        }
        if let Some(higher_term) = round.higher_term {
            let term = higher_term.max(view.term).next();
            return self.propose_fence(now, facts, view, term);
        }
        let chosen = match facts.chosen {
            Some(chosen) => self.resume_choice(now, facts, view, chosen),
            None => self.choose(now, facts),
        };
        if let Some(chosen) = chosen {
            if facts.confirmed {
                self.begin_promotion(now, facts, view, chosen);
            }
            return;
        }
        self.query_all(now, facts, view.term);
    }

    /// Returns the recorded choice if it still has its log. Proposes to withdraw one that does not,
    /// that has left, or that did not answer for long.
    ///
    /// As instances confirmed the fence before the choice, no commit was acknowledged since.
    fn resume_choice(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        view: &GroupView,
        chosen: &ChosenPrimary,
    ) -> Option<ChosenPrimary> {
        let SyncStage::Electing(round) = &self.stage else {
            return None;
        };
        let mut members = facts.members.iter();
        let member = members.find(|member| member.upstream == chosen.upstream);
        let report = member.and_then(|member| round.report(member));
        if report.is_some_and(|report| report.end >= chosen.end) {
            return Some(chosen.clone());
        }
        let gone = member.is_none_or(|member| round.is_gone(member));
        let heard_at = self.chosen_heard.as_ref().map(|(_, at)| *at);
        let silent = heard_at.is_some_and(|at| now.since(at) >= CHOICE_TIMEOUT);
        if report.is_some() || gone || silent {
            self.propose_choice(now, facts, view, None);
        }
        None
    }

    /// Returns whether the query phase is over and all databases have to be stopped.
    fn must_stop_all(&self, now: Moment, facts: GroupFacts<'_>) -> bool {
        let SyncStage::Electing(round) = &self.stage else {
            return false;
        };
        if let Some(former) = self.former_end {
            return now.since(former.at) >= self.settings.reach_timeout;
        }
        let former = self.former_primary.as_ref();
        let answered = facts.members.iter().all(|member| {
            let patience = if former == Some(&member.upstream) || member.gone {
                UNREACHABLE_FAILURES
            } else {
                1
            };
            round.has_answered(member, patience)
        });
        let timed_out =
            |committed_at: Moment| now.since(committed_at) >= self.settings.query_timeout;
        answered || round.committed_at.is_some_and(timed_out)
    }

    fn choose(&self, now: Moment, facts: GroupFacts<'_>) -> Option<ChosenPrimary> {
        let SyncStage::Electing(round) = &self.stage else {
            return None;
        };
        if self.former_end.is_none() && !round.stop_all {
            return None;
        }
        let end = round.required_end(facts, self.former_end)?;
        // After that, the former primary itself may be the only one.
        let timeout = self.settings.reach_timeout;
        let waits = |former: FormerEnd| now.since(former.at) < timeout;
        let eligible_only = self.former_end.is_some_and(waits);
        let upstream = round.choose_reaching(facts, end, eligible_only)?;
        let end = round.ends.get(&upstream)?.end;
        Some(ChosenPrimary { upstream, end })
    }

    /// Queries or stops each database that has not been found stopped.
    fn query_all(&mut self, now: Moment, facts: GroupFacts<'_>, term: Term) {
        for member in facts.members {
            let former = self.former_primary.as_ref() == Some(&member.upstream);
            let SyncStage::Electing(round) = &mut self.stage else {
                return;
            };
            if round.is_gone(member) {
                continue;
            }
            let report = round.report(member);
            let stopped = report.is_some_and(|report| report.stopped);
            let chosen = facts.chosen.map(|chosen| &chosen.upstream);
            let awaited = chosen == Some(&member.upstream);
            let stop = (former || round.stop_all && !awaited) && !stopped;
            let refused = round.refused.contains(&member.upstream);
            if stopped {
                continue;
            }
            round
                .queried
                .insert(member.upstream.clone(), member.born_ms);
            if stop && !refused {
                self.stop(now, &member.upstream, term);
            } else {
                self.query(now, &member.upstream, self.settings.call_interval);
            }
        }
    }

    fn begin_promotion(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        view: &GroupView,
        chosen: ChosenPrimary,
    ) {
        let SyncStage::Electing(round) = &self.stage else {
            return;
        };
        let basis = round.basis(facts, self.former_end);
        self.stage = SyncStage::Promoting(SyncPromotionAttempt {
            term: view.term,
            since: now,
            chosen,
            basis,
            asked: facts.chosen.is_some(),
            unanswered: facts.chosen.is_some(),
            verified: false,
            failures: 0,
            accepted: false,
            refused: false,
            became_primary: None,
        });
        self.called.clear();
        self.continue_promotion(now, facts, view);
    }

    /// Promotes the chosen database until it is primary; another one can only follow in a later term.
    fn continue_promotion(&mut self, now: Moment, facts: GroupFacts<'_>, view: &GroupView) {
        let SyncStage::Promoting(attempt) = &self.stage else {
            return;
        };
        let chosen = attempt.chosen.upstream.clone();
        if let Some((became_primary, end)) = attempt.became_primary {
            if self.former_primary.as_ref() == Some(&chosen) {
                // No other database was able to take over, so do not retry the move at once.
                self.move_after = now + self.settings.move_retry_delay;
            }
            return self.propose_existing_primary(now, facts, view, (chosen, became_primary, end));
        }
        let timed_out = now.since(attempt.since) >= self.settings.promote_sync_timeout;
        let unreachable = !attempt.verified && attempt.is_unreachable();
        if attempt.refused || unreachable || timed_out {
            if attempt.is_settled() {
                self.push_choice(facts, view, None);
            }
            return self.propose_fence(now, facts, view, view.term.next());
        }
        let promote_due = attempt.verified && !attempt.accepted;
        match facts.chosen {
            None => {
                let choice = attempt.chosen.clone();
                self.propose_choice(now, facts, view, Some(choice));
            }
            Some(recorded) if recorded.upstream != chosen => {
                return self.propose_fence(now, facts, view, view.term.next());
            }
            Some(_) if promote_due => self.promote(now, view, &chosen),
            Some(_) => {}
        }
        self.query(now, &chosen, self.settings.call_interval);
    }

    /// Proposes a choice, or its withdrawal, unless something was proposed within `call_interval`.
    fn propose_choice(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        view: &GroupView,
        chosen: Option<ChosenPrimary>,
    ) {
        let is_recent = |at: Moment| now.since(at) < self.settings.call_interval;
        if !self.proposed_at.is_some_and(is_recent) {
            self.proposed_at = Some(now);
            self.push_choice(facts, view, chosen);
        }
    }

    fn promote(&mut self, now: Moment, view: &GroupView, chosen: &UpstreamId) {
        if !self.is_due(now, chosen, CallKind::Promote, PROMOTE_RETRY) {
            return;
        }
        if let SyncStage::Promoting(attempt) = &mut self.stage {
            attempt.asked = true;
        }
        let end = LogPosition::default();
        let action = PromotionAction::Promote(chosen.clone(), view.term, end);
        self.actions.push(action);
    }
}
