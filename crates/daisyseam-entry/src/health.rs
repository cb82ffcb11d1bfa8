//! Applies views from control to the databases held here and reports their health to control.

use crate::{
    announce::AnnouncementTable,
    fleet::TransactionCounts,
    holder::{
        HolderHandle,
        HolderTable,
        UpstreamObservation, //
    }, //
};
use daisyseam_member::{
    FleetObserver,
    ObserverReport, //
};
use daisyseam_model::{
    FleetView,
    PrimaryState,
    Term,
    UpstreamId,
    ViewNumber,
    announce::UpstreamRole, //
};
use daisyseam_wire::{
    GroupReport,
    HealthReport, //
};
use parking_lot::Mutex;
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};
use tokio::time::Instant;

/// Interval at which unchanged health of a database is reported again.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which the release of a database is reported repeatedly.
const RELEASE_REPORT_DURATION: Duration = Duration::from_secs(3);

/// Holds the databases that the view assigns and reports on them.
#[derive(Clone)]
pub(crate) struct HolderObserver {
    table: HolderTable,
    announcements: AnnouncementTable,
    counts: TransactionCounts,
    reporter: Arc<Mutex<HealthReporter>>,
}

impl HolderObserver {
    pub(crate) fn new(
        table: HolderTable,
        announcements: AnnouncementTable,
        counts: TransactionCounts,
    ) -> Self {
        Self {
            table,
            announcements,
            counts,
            reporter: Arc::default(),
        }
    }
}

impl FleetObserver for HolderObserver {
    /// Transactions that are still running during a handover are reported as such; they began
    /// under the earlier view, and no other holder starts before they end.
    async fn apply(&self, view: &FleetView) {
        let hand_over = self.table.apply(view).await;
        if !hand_over.is_empty() {
            self.reporter.lock().start_release(hand_over.upstreams());
            tokio::spawn(hand_over.finish());
        }
    }

    async fn report_due(&self) {
        self.table.changed().await;
    }

    fn report(&self, view_number: ViewNumber, view: &FleetView) -> ObserverReport {
        ObserverReport {
            upstreams: self.announcements.take_reports(),
            health: self.reporter.lock().reports(&self.table, view_number, view),
            groups: group_reports(view, &self.counts),
        }
    }

    fn lease_begun(&self) {
        self.table.wake_all();
    }

    fn lease_ended(&self) {
        self.table.close_all();
    }
}

/// Keeps the last reports, so that unchanged ones are repeated only once per interval.
#[derive(Default)]
struct HealthReporter {
    last_sent: BTreeMap<UpstreamId, (ReportedHealth, Instant)>,
    releasing: BTreeMap<UpstreamId, Instant>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ReportedHealth {
    reachable: bool,
    term: Term,
    primary: bool,
}

impl HealthReporter {
    /// Records that databases are being released, which may be over before the next report.
    fn start_release<'a>(&mut self, upstreams: impl Iterator<Item = &'a UpstreamId>) {
        let now = Instant::now();
        self.releasing
            .extend(upstreams.map(|upstream| (upstream.clone(), now)));
    }

    /// Returns the due reports; an unreachable database is reported every time.
    ///
    /// `view_number` is sent with the reports, `view` is the view in force.
    fn reports(
        &mut self,
        table: &HolderTable,
        view_number: ViewNumber,
        view: &FleetView,
    ) -> Vec<HealthReport> {
        let now = Instant::now();
        let handles = table.all();
        self.last_sent.retain(|upstream, _| {
            let matches = |handle: &HolderHandle| handle.settings().upstream == *upstream;
            handles.iter().any(matches)
        });
        let mut reports = Vec::new();
        for handle in &handles {
            let upstream = &handle.settings().upstream;
            let observation = handle.observation();
            let Some(health) = health(&observation) else {
                continue;
            };
            let last_sent = self.last_sent.get(upstream);
            let up_to_date = last_sent
                .is_some_and(|(last_sent, at)| *last_sent == health && now < *at + REPORT_INTERVAL);
            if up_to_date && health.reachable {
                continue;
            }
            self.last_sent.insert(upstream.clone(), (health, now));
            reports.push(report(upstream, &observation, health, view_number));
        }
        reports.extend(self.release_reports(table, view_number, view));
        reports
    }

    /// Returns reports, every time, on whether databases being handed over are still in use here.
    fn release_reports(
        &mut self,
        table: &HolderTable,
        view_number: ViewNumber,
        view: &FleetView,
    ) -> Vec<HealthReport> {
        let now = Instant::now();
        let releasing = table.releasing();
        for handle in &releasing {
            self.releasing
                .insert(handle.settings().upstream.clone(), now);
        }
        self.releasing.retain(|upstream, last| {
            // A new holder is the only one to report on the database.
            let entry = view.upstreams.get(upstream);
            let reassigned = entry.is_none_or(|entry| entry.holder.is_some());
            now < *last + RELEASE_REPORT_DURATION && !reassigned
        });
        let in_use = |upstream: &UpstreamId| {
            let matches = |handle: &HolderHandle| handle.settings().upstream == *upstream;
            releasing.iter().any(matches)
        };
        let reports = self.releasing.keys().map(|upstream| HealthReport {
            upstream: upstream.to_string(),
            reachable: true,
            held_for_view: if in_use(upstream) { view_number.0 } else { 0 },
            ..HealthReport::default()
        });
        reports.collect()
    }
}

/// Returns the number of open transactions for each group whose primary is draining.
fn group_reports(view: &FleetView, counts: &TransactionCounts) -> Vec<GroupReport> {
    view.groups
        .iter()
        .filter(|(_, group)| matches!(group.primary, PrimaryState::Draining(_)))
        .map(|(name, group)| GroupReport {
            group: name.to_string(),
            term: group.term.0,
            open_transactions: counts.in_progress(name, group.term),
        })
        .collect()
}

/// Returns the health of a database, or `None` before its first probe.
fn health(observation: &UpstreamObservation) -> Option<ReportedHealth> {
    if observation.state.is_none() && observation.no_reply_since.is_none() {
        return None;
    }
    let state = observation.state.as_ref();
    Some(ReportedHealth {
        reachable: observation.no_reply_since.is_none(),
        term: state.map_or(Term(0), |state| state.end.term),
        primary: state.is_some_and(|state| state.role == UpstreamRole::Primary),
    })
}

fn report(
    upstream: &UpstreamId,
    observation: &UpstreamObservation,
    health: ReportedHealth,
    view_number: ViewNumber,
) -> HealthReport {
    let silent = observation.no_reply_since.map(|since| since.elapsed());
    let position = observation.state.as_ref().map(|state| state.end.position.0);
    HealthReport {
        upstream: upstream.to_string(),
        reachable: health.reachable,
        term: health.term.0,
        position: position.unwrap_or(0),
        primary: health.primary,
        silent_ms: silent.map_or(0, |silent| {
            u64::try_from(silent.as_millis()).unwrap_or(u64::MAX)
        }),
        held_for_view: view_number.0,
    }
}
