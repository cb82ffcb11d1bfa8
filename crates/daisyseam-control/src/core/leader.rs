//! What only the leader of control knows; it ends with the leadership.

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

/// What only the leader knows.
#[derive(Debug)]
pub(super) struct LeaderWork {
    pub(super) term: LogTerm,
    pub(super) begun: Moment,
    /// Whether nothing of an earlier leader is waited for any more.
    has_taken_over: bool,
    /// View in force when the leadership began; every earlier change is finished with it.
    pub(super) begun_view: ViewNumber,
    pub(super) leases: LeaseTable,
    pub(super) shares: ShareAllocator,
    pub(super) groups: BTreeMap<GroupId, GroupPromotion>,
    pub(super) changed: BTreeMap<GroupId, ViewNumber>,
    pub(super) released: BTreeMap<UpstreamId, (ViewNumber, Moment)>,
    /// View for which the holders were last looked at.
    pub(super) holders_seen: Option<ViewNumber>,
    pub(super) announced: BTreeMap<UpstreamId, AnnouncedUpstream>,
    /// Places that the others must reach before a silent leaving database is dropped.
    pub(super) departing: BTreeMap<UpstreamId, LogPosition>,
    /// Databases that are gone, with the start of the process that is and since when.
    pub(super) departed: BTreeMap<UpstreamId, (u64, Moment)>,
    /// What each instance last said of each database that it reaches.
    pub(super) health: BTreeMap<UpstreamId, BTreeMap<InstanceId, HealthNote>>,
    pub(super) surveys: BTreeMap<GroupId, GroupSurvey>,
    /// Since when this leader knows of databases that are on the list no more.
    pub(super) vacant: BTreeMap<UpstreamId, Moment>,
    pub(super) open: BTreeMap<(Incarnation, GroupId), OpenNote>,
    pub(super) leaving: BTreeSet<Incarnation>,
    pub(super) spares: BTreeMap<InstanceId, SpareNote>,
    pub(super) upkeep_at: Moment,
    pub(super) upkeep_index: LogIndex,
    /// Last entry that an announcement brought.
    pub(super) announced_index: LogIndex,
}

/// A database as it last announced itself.
#[derive(Clone, Debug)]
pub(super) struct AnnouncedUpstream {
    pub(super) command: UpstreamCommand,
    pub(super) state: AnnouncedState,
    pub(super) at: Moment,
    /// Number of the announcement within the life of its process; 0 if it counts none.
    pub(super) sequence: u64,
}

/// What an instance last said of a database.
#[derive(Clone, Debug)]
pub(super) struct HealthNote {
    pub(super) reachable: bool,
    pub(super) answered_at: Moment,
    pub(super) holds: bool,
    /// End of the database's log, if it was told.
    pub(super) end: Option<LogPosition>,
    /// When it said so.
    pub(super) at: Moment,
}

/// Transactions that an instance has open in a draining group.
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
            leases: LeaseTable::new(settings.lease, now),
            shares: ShareAllocator::new(QuotaLedger::new(
                term.0,
                now,
                settings.lease.max_duration(),
            )),
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

    /// Lets the next upkeep come as soon as it may.
    pub(super) fn schedule_now(&mut self) {
        self.upkeep_at = self.begun;
    }

    /// Ends the wait for what an earlier leader may have granted once all instances are heard.
    ///
    /// Only members of the view can have a lease or shares: one is taken off the view after its
    /// lease, and a process that joins anew has ended its former self.
    pub(super) fn check_takeover(&mut self, now: Moment, view: &FleetView) {
        if self.has_taken_over {
            return;
        }
        let mut instances = view.instances.values();
        if instances.all(|instance| self.leases.knows(instance.incarnation)) {
            self.leases.end_takeover(now);
        }
        self.shares.open_if_all_reported(now, view);
        self.has_taken_over = now.since(self.begun) > self.leases.max_duration();
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

    /// Notes an announcement; one that cannot be read is dropped.
    pub(super) fn note_announcement(&mut self, now: Moment, report: &UpstreamReport) {
        let Some(announced) = read_announcement(now, report) else {
            log::warn!("an announcement of `{}` cannot be read", report.upstream);
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

    /// Lists what instances last said of a database.
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

/// Returns whether an announcement of a database follows another one.
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
