//! State that only the control leader keeps, for the duration of its leadership.

use super::{
    CoreSettings,
    repair::SpareRecord,
    shares::ShareAllocator,
    survey::GroupSurvey, //
};
use daisyseam_coord::{
    Moment,
    fleet::{
        FleetState,
        UpstreamCommand, //
    },
    log::{
        LogIndex,
        LogTerm, //
    },
    promotion::{
        AnnouncedState,
        CallKind,
        CallOutcome,
        GroupPromotion, //
    },
    quota::QuotaLedger,
    usage::UsageLedger,
    view_lease::LeaseTable, //
};
use daisyseam_model::{
    FleetView,
    GroupId,
    Incarnation,
    InstanceId,
    LogPosition,
    Position,
    Term,
    UpstreamId,
    ViewNumber,
    announce::is_plausible, //
};
use daisyseam_wire::{
    GroupReport,
    HealthReport,
    UpstreamReport, //
};
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

/// Volatile state of the control leader.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) term: LogTerm,
    pub(super) started_at: Moment,
    /// Whether the takeover period, in which grants of an earlier leader may be in force, is over.
    takeover_ended: bool,
    /// View at the start of the leadership. Once it is in force everywhere, so are earlier changes.
    pub(super) start_view: ViewNumber,
    pub(super) leases: LeaseTable,
    pub(super) shares: ShareAllocator,
    pub(super) groups: BTreeMap<GroupId, GroupPromotion>,
    /// View in which the state of each group last changed.
    pub(super) group_changes: BTreeMap<GroupId, ViewNumber>,
    /// View and time at which the holder of each database was removed.
    pub(super) holder_released: BTreeMap<UpstreamId, (ViewNumber, Moment)>,
    /// View for which the holders were last checked.
    pub(super) holders_checked_view: Option<ViewNumber>,
    pub(super) announced: BTreeMap<UpstreamId, AnnouncedUpstream>,
    /// Last announcements that name no group of the document, in case a later document lists it.
    pub(super) unlisted: BTreeMap<UpstreamId, AnnouncedUpstream>,
    /// Log position that the other members must reach before a silent, leaving database is dropped.
    pub(super) drop_positions: BTreeMap<UpstreamId, LogPosition>,
    /// Databases whose last known process is gone.
    pub(super) departed: BTreeMap<UpstreamId, DepartureRecord>,
    /// Last health report of each instance on each database.
    pub(super) health: BTreeMap<UpstreamId, BTreeMap<InstanceId, HealthRecord>>,
    pub(super) surveys: BTreeMap<GroupId, GroupSurvey>,
    /// Open transactions of each incarnation in draining groups.
    pub(super) open_transactions: BTreeMap<(Incarnation, GroupId), OpenTransactions>,
    /// Incarnations that announced that they are leaving.
    pub(super) leaving: BTreeSet<Incarnation>,
    pub(super) spares: BTreeMap<InstanceId, SpareRecord>,
    /// When the next reconciliation round is due.
    pub(super) reconcile_at: Moment,
    /// Index of the last command proposed by a reconciliation round.
    pub(super) reconcile_index: LogIndex,
    /// Index of the last command proposed for an announcement.
    pub(super) announced_index: LogIndex,
    /// Request counts, if requests are counted.
    pub(super) usage: Option<UsageLedger>,
}

/// The last announcement of a database.
#[derive(Clone, Debug)]
pub(super) struct AnnouncedUpstream {
    pub(super) command: UpstreamCommand,
    pub(super) state: AnnouncedState,
    pub(super) announced_at: Moment,
    /// Sequence number of the announcement within its process, or 0 if the process does not count.
    pub(super) sequence: u64,
}

/// The departure of a database, as announced or concluded from a successor at its address.
///
/// A departure names the database and not its process, and may arrive late, when the next process of
/// the database already runs.
#[derive(Clone, Copy, Debug)]
pub(super) struct DepartureRecord {
    /// Start time of the last process that was known when the departure arrived.
    pub(super) born_ms: u64,
    /// Sequence number of that process's last announcement by then, if one was received.
    pub(super) sequence: Option<u64>,
    /// When the departure arrived.
    pub(super) at: Moment,
}

impl DepartureRecord {
    /// Returns whether an announcement shows that the database runs: it is of a later process, or
    /// a later one of the same process. A process that does not count its announcements never shows
    /// the latter.
    pub(super) fn is_contradicted_by(&self, announced: &AnnouncedUpstream) -> bool {
        let born_ms = announced.command.born_ms;
        let is_later = announced.sequence > self.sequence.unwrap_or(0);
        born_ms > self.born_ms || born_ms == self.born_ms && is_later
    }
}

/// The last health report of an instance on a database.
#[derive(Clone, Debug)]
pub(super) struct HealthRecord {
    pub(super) reachable: bool,
    /// When the database last answered the instance.
    pub(super) answered_at: Moment,
    /// Whether the instance still holds connections to it as its holder.
    pub(super) holds_connections: bool,
    /// Highest end of the database's log that was reported.
    pub(super) log_end: Option<LogPosition>,
    /// When the report arrived.
    pub(super) reported_at: Moment,
}

/// Number of transactions that an instance has open in a draining group.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenTransactions {
    pub(super) term: Term,
    pub(super) count: u64,
}

impl LeaderState {
    pub(super) fn new(
        settings: &CoreSettings,
        now: Moment,
        term: LogTerm,
        fleet: &FleetState,
    ) -> Self {
        Self {
            term,
            started_at: now,
            takeover_ended: false,
            start_view: fleet.view().number,
            leases: LeaseTable::new(settings.lease, now),
            shares: ShareAllocator::new(QuotaLedger::new(
                term.0,
                now,
                settings.lease.max_duration(),
            )),
            groups: BTreeMap::new(),
            group_changes: BTreeMap::new(),
            holder_released: BTreeMap::new(),
            holders_checked_view: None,
            announced: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            drop_positions: BTreeMap::new(),
            departed: BTreeMap::new(),
            health: BTreeMap::new(),
            surveys: BTreeMap::new(),
            open_transactions: BTreeMap::new(),
            leaving: BTreeSet::new(),
            spares: BTreeMap::new(),
            reconcile_at: now,
            reconcile_index: LogIndex(0),
            announced_index: LogIndex(0),
            usage: settings.usage.map(|usage| UsageLedger::new(usage, now)),
        }
    }

    /// Makes the next reconciliation round due at once.
    pub(super) fn schedule_now(&mut self) {
        self.reconcile_at = self.started_at;
    }

    /// Ends the takeover period once all instances of the view have sent a heartbeat.
    ///
    /// Only instances of the view can hold a lease or shares from an earlier leader: an instance is
    /// removed from the view only after its lease has expired, and a process that joins again has
    /// dropped the grants of its former incarnation.
    pub(super) fn check_takeover(&mut self, now: Moment, view: &FleetView) {
        if self.takeover_ended {
            return;
        }
        // The counts rule out most heartbeats without looking at each instance.
        let expected = view.instances.len();
        let mut instances = view.instances.values();
        if self.leases.len() >= expected
            && instances.all(|instance| self.leases.knows(instance.incarnation))
        {
            self.leases.end_takeover(now);
        }
        self.shares.open_if_all_reported(now, view);
        self.takeover_ended = now.since(self.started_at) > self.leases.max_duration();
    }

    pub(super) fn handle_call_answer(
        &mut self,
        now: Moment,
        group: &GroupId,
        upstream: &UpstreamId,
        (kind, term): (CallKind, Term),
        answer: &CallOutcome,
    ) {
        if kind == CallKind::Survey {
            if let Some(survey) = self.surveys.get_mut(group) {
                survey.take_answer(upstream, answer);
            }
            return;
        }
        match kind {
            CallKind::Promote => {
                let result = describe(answer);
                log::warn!(
                    "group {group}: the call to promote {upstream} in term {term}: {result}"
                );
            }
            CallKind::Fence => {
                let result = describe(answer);
                log::info!("group {group}: the call to stop {upstream} in term {term}: {result}");
            }
            _ => {}
        }
        if let Some(promotion) = self.groups.get_mut(group) {
            promotion.handle_outcome(now, upstream, kind, term, answer);
        }
    }

    /// Records an announcement. An invalid one is dropped.
    pub(super) fn record_announcement(
        &mut self,
        now: Moment,
        view: &FleetView,
        report: &UpstreamReport,
    ) {
        let Some(announced) = parse_announcement(now, report) else {
            log::warn!("invalid announcement of database `{}`", report.upstream);
            return;
        };
        let Some(announced) = self.defer_unlisted(view, announced) else {
            return;
        };
        let name = announced.command.upstream.clone();
        let newer = self
            .announced
            .get(&name)
            .is_none_or(|known| is_at_least_as_new(&announced, known));
        if newer {
            let content = |known: &AnnouncedUpstream| (known.command.clone(), known.state.primary);
            let current = content(&announced);
            let former = self.announced.insert(name, announced);
            if former.as_ref().map(content) != Some(current) {
                self.schedule_now();
            }
        }
    }

    pub(super) fn record_health(
        &mut self,
        now: Moment,
        instance: &InstanceId,
        report: &HealthReport,
    ) {
        let Ok(upstream) = report.upstream.parse() else {
            return;
        };
        let log_end = (report.position != 0).then_some(LogPosition {
            term: Term(report.term),
            position: Position(report.position),
        });
        let known = self.health.get(&upstream);
        let known = known.and_then(|notes| notes.get(instance)?.log_end);
        let note = HealthRecord {
            reachable: report.reachable,
            answered_at: now - Duration::from_millis(report.silent_ms),
            holds_connections: report.held_for_view != 0,
            log_end: log_end.max(known),
            reported_at: now,
        };
        let reachable = note.reachable;
        let notes: &mut BTreeMap<_, _> = self.health.entry(upstream).or_default();
        let former = notes.insert(instance.clone(), note);
        if former.is_none_or(|former| former.reachable != reachable) {
            self.schedule_now();
        }
    }

    /// Returns the last health report of each instance on a database.
    pub(super) fn reports_on(
        &self,
        upstream: &UpstreamId,
    ) -> impl Iterator<Item = (&InstanceId, &HealthRecord)> + Clone {
        let notes = self.health.get(upstream);
        notes.into_iter().flatten()
    }

    pub(super) fn record_open_transactions(
        &mut self,
        incarnation: Incarnation,
        report: &GroupReport,
    ) {
        let Ok(group) = report.group.parse() else {
            return;
        };
        let note = OpenTransactions {
            term: Term(report.term),
            count: report.open_transactions,
        };
        self.open_transactions.insert((incarnation, group), note);
    }
}

/// Returns whether an announcement of a database is at least as new as the recorded one.
fn is_at_least_as_new(announced: &AnnouncedUpstream, known: &AnnouncedUpstream) -> bool {
    announced.command.born_ms >= known.command.born_ms
        && announced.announced_at >= known.announced_at
}

pub(super) fn parse_announcement(
    now: Moment,
    report: &UpstreamReport,
) -> Option<AnnouncedUpstream> {
    let address = report.address.parse().ok()?;
    if !is_plausible(address, report.sequence, report.born_ms) {
        return None;
    }
    let command = UpstreamCommand {
        upstream: report.upstream.parse().ok()?,
        group: report.group.parse().ok()?,
        data_centre: report.data_centre.parse().ok()?,
        address,
        admin_address: report.admin_address.parse().ok()?,
        leaving: report.leaving,
        born_ms: report.born_ms,
    };
    let end = LogPosition {
        term: Term(report.term),
        position: Position(report.position),
    };
    Some(AnnouncedUpstream {
        command,
        state: AnnouncedState {
            end,
            primary: report.primary,
        },
        announced_at: now - Duration::from_millis(report.age_ms),
        sequence: report.sequence,
    })
}

/// Describes the answer to a call that changes a database.
fn describe(answer: &CallOutcome) -> String {
    match answer {
        CallOutcome::State(state) => format!("it is {:?}", state.role),
        CallOutcome::Fenced(fence) => {
            let (role, end) = (fence.state.role, fence.state.end);
            match fence.led {
                Some(led) => format!("it stepped down in term {led} and is {role:?} at {end}"),
                None => format!("it was no primary and is {role:?} at {end}"),
            }
        }
        CallOutcome::Refused => "refused".to_owned(),
        CallOutcome::Replaced => "another database has its address".to_owned(),
        CallOutcome::Lost => "no answer".to_owned(),
    }
}
