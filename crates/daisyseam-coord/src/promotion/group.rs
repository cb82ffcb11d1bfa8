//! The promotion state machine of one group.

use super::{
    stage::PromotionStage, //
    synchronous::{
        ElectionBasis,
        SyncPromotion, //
    },
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
    GroupId,
    GroupView,
    LogPosition,
    PrimaryState,
    Term,
    UpstreamId,
    announce::{
        UpstreamRole,
        UpstreamState, //
    },
    document::CommitPolicy, //
};
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// Timing of the promotion state machine.
#[derive(Clone, Copy, Debug)]
pub struct PromotionSettings {
    /// Silence of a primary after which it is probed directly.
    pub suspect_after: Duration,
    /// Interval between two calls of the same kind to the same database.
    pub call_interval: Duration,
    /// Time after which a promotion without a response is abandoned for a new term.
    pub promote_timeout: Duration,
    /// How long a planned move waits for open transactions.
    pub drain_timeout: Duration,
    /// How long a planned move waits for its target to catch up.
    pub catch_up_timeout: Duration,
    /// Time after which a planned move that failed is retried.
    pub move_retry_delay: Duration,
    /// How long a new group waits for databases that have not announced themselves.
    pub announcement_timeout: Duration,
    /// Interval at which replicas are asked again to follow the primary.
    pub follow_interval: Duration,
    /// Silence of a primary with synchronous replication after which it is probed directly.
    pub suspect_sync_after: Duration,
    /// Time after which a promotion of such a database is abandoned for a new term.
    pub promote_sync_timeout: Duration,
    /// How long such databases are queried for their state before all of them are stopped.
    pub query_timeout: Duration,
    /// How long to wait for an eligible database to reach the end of a stopped primary's log.
    pub reach_timeout: Duration,
}

impl Default for PromotionSettings {
    fn default() -> Self {
        Self {
            suspect_after: Duration::from_millis(500),
            call_interval: Duration::from_millis(150),
            promote_timeout: Duration::from_millis(1_000),
            drain_timeout: Duration::from_millis(4_000),
            catch_up_timeout: Duration::from_millis(2_000),
            move_retry_delay: Duration::from_millis(5_000),
            announcement_timeout: Duration::from_millis(1_000),
            follow_interval: Duration::from_millis(5_000),
            suspect_sync_after: Duration::from_millis(3_000),
            promote_sync_timeout: Duration::from_millis(3_000),
            query_timeout: Duration::from_millis(400),
            reach_timeout: Duration::from_millis(1_000),
        }
    }
}

/// What is known about a group at one moment.
#[derive(Clone, Copy, Debug)]
pub struct GroupFacts<'a> {
    /// The group.
    pub group: &'a GroupId,
    /// Its state in the newest view; `None` before the first one was decided.
    pub view: Option<&'a GroupView>,
    /// Its databases, sorted by name.
    pub members: &'a [MemberFacts],
    /// Number of databases according to the document; 0 for as many as there are members. Groups with
    /// synchronous replication do not use it.
    pub expected: usize,
    /// The database that the log names as the next primary, if the group is fenced.
    pub chosen: Option<&'a ChosenPrimary>,
    /// The last primary, if the group is fenced and the log names one.
    pub former: Option<&'a UpstreamId>,
    /// When a commit of the group counts as durable.
    pub commit: CommitPolicy,
    /// Least number of databases that have each acknowledged commit, by the log; 0 if not known.
    pub copies: usize,
    /// Whether no instance may act on an earlier state of the group.
    pub confirmed: bool,
    /// Number of transactions still open in the group according to the reports of all instances;
    /// `None` until each of them has reported since the drain started.
    pub open_transactions: Option<u64>,
}

/// What is known about one database.
#[derive(Clone, Debug)]
pub struct MemberFacts {
    /// Its name.
    pub upstream: UpstreamId,
    /// Whether it announced that it is leaving.
    pub leaving: bool,
    /// Whether its data centre is in service.
    pub in_service: bool,
    /// Time since it last announced itself or was last reported reachable.
    pub silence: Duration,
    /// Whether its holder cannot reach it although control hears from the holder. Without a holder:
    /// whether enough instances cannot reach it.
    pub reported_unreachable: bool,
    /// Whether half of the instances that control hears from cannot reach it.
    pub unreachable_from_half: bool,
    /// Whether most of the instances that report on it can reach it.
    pub reachable_from_most: bool,
    /// Start time of its process, in Unix milliseconds; 0 if unknown.
    pub born_ms: u64,
    /// Whether one of its processes was counted for commits, so that elections count it.
    pub voter: bool,
    /// Whether its current process has caught up with a primary since it started, so that its log
    /// has all commits that earlier processes of this database had confirmed.
    pub caught_up: bool,
    /// Whether it announced that it has shut down.
    pub gone: bool,
    /// Whether nothing more is to be expected of its log once it is gone: the database that took over
    /// its address is listed, or none has announced itself for long.
    pub vacated: bool,
    /// The listed database that took over its address, if it is gone. It may have its log.
    pub successor: Option<UpstreamId>,
    /// Highest end of its log that instances have reported.
    pub reported_end: Option<LogPosition>,
    /// The state that it last announced, and when.
    pub announced: Option<(AnnouncedState, Moment)>,
}

/// State of a database according to its announcement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnnouncedState {
    /// End of its log.
    pub end: LogPosition,
    /// Whether it is the primary and accepts writes.
    pub primary: bool,
}

/// A kind of call to a database.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallKind {
    /// `GET /state`.
    State,
    /// `GET /state` with a position to wait for.
    Await,
    /// `POST /fence`.
    Fence,
    /// `POST /promote`.
    Promote,
    /// `POST /follow`.
    Follow,
    /// `GET /state` to track which databases have caught up, independent of a change of primary.
    Survey,
}

/// What a fence found at a database, and what it left.
#[derive(Clone, Debug, PartialEq)]
pub struct FenceOutcome {
    /// State after the fence.
    pub state: UpstreamState,
    /// Term in which the database was primary until this call made it step down.
    pub led: Option<Term>,
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// The database responded with its state.
    State(UpstreamState),
    /// The database carried out a fence.
    Fenced(FenceOutcome),
    /// The database refused the call.
    Refused,
    /// Another database answered at its address, so its process has ended.
    Replaced,
    /// No response arrived; the call may have taken effect.
    Lost,
}

impl CallOutcome {
    /// Returns the state that the database responded with, if it did.
    pub fn state(&self) -> Option<&UpstreamState> {
        match self {
            Self::State(state) => Some(state),
            Self::Fenced(fence) => Some(&fence.state),
            Self::Refused | Self::Replaced | Self::Lost => None,
        }
    }
}

/// An action to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum PromotionAction {
    /// Propose a command to the log.
    Propose(GroupCommand),
    /// Propose the choice of the next primary, or its withdrawal, to the log.
    Choose(ChooseCommand),
    /// Query the state of a database.
    State(UpstreamId),
    /// Wait until a database has reached a position.
    Await(UpstreamId, LogPosition),
    /// Ask a database to reject lower terms from now on.
    Fence(UpstreamId, Term),
    /// Ask a database to become primary at the reported end of its log.
    Promote(UpstreamId, Term, LogPosition),
    /// Ask a database to follow the primary.
    Follow {
        /// The database.
        upstream: UpstreamId,
        /// Term of the primary.
        term: Term,
        /// The primary.
        primary: UpstreamId,
        /// Start of its lineage.
        lineage_start: LogPosition,
    },
}

/// Promotion state machine of one group; each new control leader starts with a fresh one.
#[derive(Debug)]
pub struct GroupPromotion {
    pub(super) settings: PromotionSettings,
    pub(super) stage: PromotionStage,
    pub(super) called: BTreeMap<(UpstreamId, CallKind), Moment>,
    pub(super) followed: BTreeMap<UpstreamId, (Term, Moment)>,
    pub(super) quorum_since: Option<Moment>,
    pub(super) active_since: Option<(Term, Moment)>,
    pub(super) move_after: Moment,
    pub(super) actions: Vec<PromotionAction>,
    synchronous: SyncPromotion,
    /// Whether the group uses synchronous replication, as of the last step.
    is_synchronous: bool,
}

impl GroupPromotion {
    /// Creates a state machine without knowledge of earlier attempts.
    pub fn new(settings: PromotionSettings) -> Self {
        Self {
            settings,
            stage: PromotionStage::Watching,
            called: BTreeMap::new(),
            followed: BTreeMap::new(),
            quorum_since: None,
            active_since: None,
            move_after: Moment::ORIGIN,
            actions: Vec::new(),
            synchronous: SyncPromotion::new(settings),
            is_synchronous: false,
        }
    }

    /// Returns the actions to perform now.
    pub fn step(&mut self, now: Moment, facts: GroupFacts<'_>) -> Vec<PromotionAction> {
        self.is_synchronous = matches!(facts.commit, CommitPolicy::Replicas(_));
        if self.is_synchronous {
            return self.synchronous.step(now, facts);
        }
        match facts.view {
            None => self.bootstrap(now, facts),
            Some(view) => match &view.primary {
                PrimaryState::Fenced => self.elect(now, facts, view),
                PrimaryState::Draining(primary) => self.drain(now, facts, view, primary),
                PrimaryState::Active(primary) => self.watch(now, facts, view, primary),
            },
        }
        std::mem::take(&mut self.actions)
    }

    /// Processes the result of a call.
    pub fn handle_outcome(
        &mut self,
        now: Moment,
        upstream: &UpstreamId,
        kind: CallKind,
        term: Term,
        outcome: &CallOutcome,
    ) {
        if self.is_synchronous {
            self.synchronous
                .record_outcome(now, upstream, kind, term, outcome);
        } else {
            self.record_outcome(now, upstream, kind, term, outcome);
        }
    }

    /// Returns what the choice of the database that is being promoted was based on, where databases
    /// acknowledge commits themselves.
    pub fn basis(&self) -> Option<&ElectionBasis> {
        self.synchronous.basis()
    }

    /// Returns whether nothing is pending, so that steps can be less frequent.
    pub fn is_idle(&self) -> bool {
        self.is_synchronous && self.synchronous.is_idle()
    }

    pub(super) fn record_active(&mut self, now: Moment, term: Term) {
        if self.active_since.is_none_or(|(known, _)| known != term) {
            self.active_since = Some((term, now));
        }
    }

    /// Returns how long this state machine has observed the current primary.
    pub(super) fn active_for(&self, now: Moment) -> Duration {
        let since = self.active_since.map_or(now, |(_, since)| since);
        now.since(since)
    }

    /// Proposes the first term of a group once enough databases have announced themselves.
    fn bootstrap(&mut self, now: Moment, facts: GroupFacts<'_>) {
        if self
            .stage
            .is_fencing_since(now, self.settings.promote_timeout)
        {
            return;
        }
        let announced = facts.members.iter().filter_map(|member| member.announced);
        let highest = announced
            .clone()
            .map(|(announced, _)| announced.end.term)
            .max();
        let count = announced.count();
        let Some(highest) = highest.filter(|_| count > facts.expected / 2) else {
            self.quorum_since = None;
            return;
        };
        let since = *self.quorum_since.get_or_insert(now);
        if count < facts.expected && now.since(since) < self.settings.announcement_timeout {
            return;
        }
        self.propose_fence(now, facts, Term::default(), highest.next(), None);
    }

    /// Proposes a new term without a primary.
    pub(super) fn propose_fence(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        expected: Term,
        term: Term,
        preferred: Option<UpstreamId>,
    ) {
        self.stage = PromotionStage::fencing(now, term, preferred);
        self.called.clear();
        let lineage_start = facts.view.map(|view| view.lineage_start);
        self.actions.push(PromotionAction::Propose(GroupCommand {
            group: facts.group.clone(),
            expected,
            term,
            primary: PrimaryState::Fenced,
            lineage_start: lineage_start.unwrap_or_default(),
        }));
    }

    /// Returns whether a call is due, and if so records it as made.
    pub(super) fn is_due(&mut self, now: Moment, upstream: &UpstreamId, kind: CallKind) -> bool {
        let key = (upstream.clone(), kind);
        let last = self.called.get(&key).copied();
        let due = last.is_none_or(|last| now.since(last) >= self.settings.call_interval);
        if due {
            self.called.insert(key, now);
        }
        due
    }

    /// Asks every other database to follow the primary.
    pub(super) fn request_follow(
        &mut self,
        now: Moment,
        facts: GroupFacts<'_>,
        view: &GroupView,
        primary: &UpstreamId,
    ) {
        for member in facts.members {
            let name = &member.upstream;
            if name == primary || !self.needs_follow(now, member, view.term) {
                continue;
            }
            if self.is_due(now, name, CallKind::Follow) {
                self.actions.push(PromotionAction::Follow {
                    upstream: name.clone(),
                    term: view.term,
                    primary: primary.clone(),
                    lineage_start: view.lineage_start,
                });
            }
        }
    }

    fn needs_follow(&self, now: Moment, member: &MemberFacts, term: Term) -> bool {
        let Some((followed, since)) = self.followed.get(&member.upstream).copied() else {
            return true;
        };
        // A former primary that returned still announces itself as primary.
        let claims_primary = member
            .announced
            .is_some_and(|(announced, at)| announced.primary && at > since);
        followed != term || claims_primary || now.since(since) >= self.settings.follow_interval
    }

    pub(super) fn is_promoted(state: &UpstreamState, term: Term) -> bool {
        state.role == UpstreamRole::Primary && state.promised == term
    }
}
