//! State that only the control leader keeps, for the duration of its leadership.

use super::{
    CoreSettings,
    repair::SpareNote,
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
        CallAnswer,
        CallKind,
        GroupPromotion, //
    },
    quota::QuotaLedger,
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
    ViewNumber, //
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
pub(super) struct LeaderWork {
    pub(super) term: LogTerm,
    pub(super) begun: Moment,
    /// Whether the takeover period, in which grants of an earlier leader may be in force, is over.
    has_taken_over: bool,
    /// View at the start of the leadership. Once it is in force everywhere, so are earlier changes.
    pub(super) begun_view: ViewNumber,
    pub(super) leases: LeaseTable,
    pub(super) shares: ShareAllocator,
    pub(super) groups: BTreeMap<GroupId, GroupPromotion>,
    /// View in which the state of each group last changed.
    pub(super) changed: BTreeMap<GroupId, ViewNumber>,
    /// View and time at which the holder of each database was removed.
    pub(super) released: BTreeMap<UpstreamId, (ViewNumber, Moment)>,
    /// View for which the holders were last checked.
    pub(super) holders_seen: Option<ViewNumber>,
    pub(super) announced: BTreeMap<UpstreamId, AnnouncedUpstream>,
    /// Log position that the other members must reach before a silent, leaving database is dropped.
    pub(super) departing: BTreeMap<UpstreamId, LogPosition>,
    /// Databases that are gone: start time of the last process, and when it was found to be gone.
    pub(super) departed: BTreeMap<UpstreamId, (u64, Moment)>,
    /// Last health report of each instance on each database.
    pub(super) health: BTreeMap<UpstreamId, BTreeMap<InstanceId, HealthNote>>,
    pub(super) surveys: BTreeMap<GroupId, GroupSurvey>,
    /// When this leader first saw each database that was dropped from the view but still counts.
    pub(super) vacant: BTreeMap<UpstreamId, Moment>,
    pub(super) open: BTreeMap<(Incarnation, GroupId), OpenNote>,
    pub(super) leaving: BTreeSet<Incarnation>,
    pub(super) spares: BTreeMap<InstanceId, SpareNote>,
    pub(super) upkeep_at: Moment,
    pub(super) upkeep_index: LogIndex,
    /// Index of the last command proposed for an announcement.
    pub(super) announced_index: LogIndex,
}

/// The last announcement of a database.
#[derive(Clone, Debug)]
pub(super) struct AnnouncedUpstream {
    pub(super) command: UpstreamCommand,
    pub(super) state: AnnouncedState,
    pub(super) at: Moment,
    /// Sequence number of the announcement within its process, or 0 if the process does not count.
    pub(super) sequence: u64,
}

/// The last health report of an instance on a database.
#[derive(Clone, Debug)]
pub(super) struct HealthNote {
    pub(super) reachable: bool,
    pub(super) answered_at: Moment,
    pub(super) holds: bool,
    /// End of the database's log, if reported.
    pub(super) end: Option<LogPosition>,
    /// When the report arrived.
    pub(super) at: Moment,
}

/// Number of transactions that an instance has open in a draining group.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenNote {
    pub(super) term: Term,
    pub(super) count: u64,
}

impl LeaderWork {
    pub(super) fn begin(
        settings: &CoreSettings,
        now: Moment,
        term: LogTerm,
        fleet: &FleetState,
    ) -> Self {
        Self {
            term,
            begun: now,
            has_taken_over: false,
            begun_view: fleet.view().number,
            leases: LeaseTable::begin(settings.lease, now),
            shares: ShareAllocator::new(QuotaLedger::new(term.0, now, settings.lease.span())),
            groups: BTreeMap::new(),
            changed: BTreeMap::new(),
            released: BTreeMap::new(),
            holders_seen: None,
            announced: BTreeMap::new(),
            departing: BTreeMap::new(),
            departed: BTreeMap::new(),
            health: BTreeMap::new(),
            surveys: BTreeMap::new(),
            vacant: BTreeMap::new(),
            open: BTreeMap::new(),
            leaving: BTreeSet::new(),
            spares: BTreeMap::new(),
            upkeep_at: now,
            upkeep_index: LogIndex(0),
            announced_index: LogIndex(0),
        }
    }

    /// Makes the next reconciliation round due at once.
    pub(super) fn schedule_now(&mut self) {
        self.upkeep_at = self.begun;
    }

    /// Ends the takeover period once all instances of the view have sent a heartbeat.
    ///
    /// Only instances of the view can hold a lease or shares from an earlier leader: an instance is
    /// removed from the view only after its lease has expired, and a process that joins again has
    /// dropped the grants of its former incarnation.
    pub(super) fn check_takeover(&mut self, now: Moment, view: &FleetView) {
        if self.has_taken_over {
            return;
        }
        let mut instances = view.instances.values();
        if instances.all(|instance| self.leases.knows(instance.incarnation)) {
            self.leases.end_takeover(now);
        }
        self.shares.open_if_all_reported(now, view);
        self.has_taken_over = now.since(self.begun) > self.leases.span();
    }

    pub(super) fn take_call(
        &mut self,
        now: Moment,
        group: &GroupId,
        upstream: &UpstreamId,
        (kind, term): (CallKind, Term),
        answer: &CallAnswer,
    ) {
        if kind == CallKind::Survey {
            if let Some(survey) = self.surveys.get_mut(group) {
                survey.take_answer(upstream, answer);
            }
            return;
        }
        if let Some(promotion) = self.groups.get_mut(group) {
            promotion.answer(now, upstream, kind, term, answer);
        }
    }

    /// Records an announcement. An invalid one is dropped.
    pub(super) fn note_announcement(&mut self, now: Moment, report: &UpstreamReport) {
        let Some(announced) = read_announcement(now, report) else {
            log::warn!("invalid announcement of database `{}`", report.upstream);
            return;
        };
        let name = announced.command.upstream.clone();
        let newer = self
            .announced
            .get(&name)
            .is_none_or(|known| is_later(&announced, known));
        if newer {
            let said = |known: &AnnouncedUpstream| (known.command.clone(), known.state.primary);
            let now_said = said(&announced);
            let former = self.announced.insert(name, announced);
            if former.as_ref().map(said) != Some(now_said) {
                self.schedule_now();
            }
        }
    }

    pub(super) fn note_health(
        &mut self,
        now: Moment,
        instance: &InstanceId,
        report: &HealthReport,
    ) {
        let Ok(upstream) = report.upstream.parse() else {
            return;
        };
        let note = HealthNote {
            reachable: report.reachable,
            answered_at: now - Duration::from_millis(report.silent_ms),
            holds: report.held_for_view != 0,
            end: (report.position != 0).then_some(LogPosition {
                term: Term(report.term),
                position: Position(report.position),
            }),
            at: now,
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
    ) -> impl Iterator<Item = (&InstanceId, &HealthNote)> + Clone {
        let notes = self.health.get(upstream);
        notes.into_iter().flatten()
    }

    pub(super) fn note_open(&mut self, incarnation: Incarnation, report: &GroupReport) {
        let Ok(group) = report.group.parse() else {
            return;
        };
        let note = OpenNote {
            term: Term(report.term),
            count: report.open_transactions,
        };
        self.open.insert((incarnation, group), note);
    }
}

/// Returns whether an announcement of a database is at least as new as the recorded one.
fn is_later(announced: &AnnouncedUpstream, known: &AnnouncedUpstream) -> bool {
    announced.command.born_ms >= known.command.born_ms && announced.at >= known.at
}

pub(super) fn read_announcement(now: Moment, report: &UpstreamReport) -> Option<AnnouncedUpstream> {
    let command = UpstreamCommand {
        upstream: report.upstream.parse().ok()?,
        group: report.group.parse().ok()?,
        data_centre: report.data_centre.parse().ok()?,
        address: report.address.parse().ok()?,
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
        at: now - Duration::from_millis(report.age_ms),
        sequence: report.sequence,
    })
}
