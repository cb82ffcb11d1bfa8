//! The databases held here as control's decisions reach them, and what control is told of them.

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

/// Time after which a database's health is told again though nothing has changed.
const REPEAT: Duration = Duration::from_secs(1);

/// Time for which control is told again that a database was let go of.
const LET_GO_REPEAT: Duration = Duration::from_secs(3);

/// Holds databases as the view says and reports on them.
#[derive(Clone)]
pub(crate) struct HolderObserver {
    table: HolderTable,
    book: AnnouncementTable,
    counts: TransactionCounts,
    teller: Arc<Mutex<HealthReporter>>,
}

impl HolderObserver {
    pub(crate) fn new(
        table: HolderTable,
        book: AnnouncementTable,
        counts: TransactionCounts,
    ) -> Self {
        Self {
            table,
            book,
            counts,
            teller: Arc::default(),
        }
    }
}

impl FleetObserver for HolderObserver {
    /// Transactions that go on while a database is handed over are reported as such; they are
    /// ones that the earlier view let begin, and no other holder starts before their end.
    async fn apply(&self, view: &FleetView) {
        let hand_over = self.table.apply(view).await;
        if !hand_over.is_empty() {
            tokio::spawn(hand_over.finish());
        }
    }

    async fn news(&self) {
        self.table.changed().await;
    }

    fn report(&self, named: ViewNumber, held: &FleetView) -> ObserverReport {
        ObserverReport {
            upstreams: self.book.take(),
            health: self.teller.lock().reports(&self.table, named, held),
            groups: group_reports(held, &self.counts),
        }
    }

    fn lease_begun(&self) {
        self.table.wake_all();
    }

    fn lease_ended(&self) {
        self.table.close_all();
    }
}

/// Remembers what was told, so that only changes are told again.
#[derive(Default)]
struct HealthReporter {
    told: BTreeMap<UpstreamId, (ReportedHealth, Instant)>,
    moving: BTreeMap<UpstreamId, Instant>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ReportedHealth {
    reachable: bool,
    term: Term,
    primary: bool,
}

impl HealthReporter {
    /// Returns the reports that are due; a database that does not answer is told of every time.
    ///
    /// `view` is the number that goes along, `held` the view in force.
    fn reports(
        &mut self,
        table: &HolderTable,
        view: ViewNumber,
        held: &FleetView,
    ) -> Vec<HealthReport> {
        let now = Instant::now();
        let handles = table.all();
        self.told.retain(|upstream, _| {
            let held = |handle: &HolderHandle| handle.settings().upstream == *upstream;
            handles.iter().any(held)
        });
        let mut reports = Vec::new();
        for handle in &handles {
            let upstream = &handle.settings().upstream;
            let observation = handle.observation();
            let Some(health) = health(&observation) else {
                continue;
            };
            let told = self.told.get(upstream);
            let known = told.is_some_and(|(told, at)| *told == health && now < *at + REPEAT);
            if known && health.reachable {
                continue;
            }
            self.told.insert(upstream.clone(), (health, now));
            reports.push(report(upstream, &observation, health, view));
        }
        reports.extend(self.hand_over_reports(table, view, held));
        reports
    }

    /// Returns whether databases that are handed over are still in use here, every time.
    fn hand_over_reports(
        &mut self,
        table: &HolderTable,
        view: ViewNumber,
        held: &FleetView,
    ) -> Vec<HealthReport> {
        let now = Instant::now();
        let moving = table.releasing();
        for handle in &moving {
            self.moving.insert(handle.settings().upstream.clone(), now);
        }
        self.moving.retain(|upstream, last| {
            // Once there is a holder, it alone speaks of the database.
            let entry = held.upstreams.get(upstream);
            let handed_on = entry.is_none_or(|entry| entry.holder.is_some());
            now < *last + LET_GO_REPEAT && !handed_on
        });
        let in_use = |upstream: &UpstreamId| {
            let moves = |handle: &HolderHandle| handle.settings().upstream == *upstream;
            moving.iter().any(moves)
        };
        let reports = self.moving.keys().map(|upstream| HealthReport {
            upstream: upstream.to_string(),
            reachable: true,
            held_for_view: if in_use(upstream) { view.0 } else { 0 },
            ..HealthReport::default()
        });
        reports.collect()
    }
}

/// Returns how many transactions are open at each group that is being moved.
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

/// Returns nothing while the database has not been asked yet.
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
    view: ViewNumber,
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
        held_for_view: view.0,
    }
}
