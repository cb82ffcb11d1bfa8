//! Application of control's views to the engine, and reports to control about its databases.

use crate::{
    DatabaseConnector,
    engine::EngineShared,
    health::UpstreamHealthReport, //
};
use daisyseam_member::{
    FleetObserver,
    ObserverReport,
    RateGate, //
};
use daisyseam_model::{
    FleetView,
    GroupId,
    PrimaryState,
    Term,
    ViewNumber, //
};
use daisyseam_wire::{
    GroupReport,
    HealthReport,
    UsageReport,
    UsageWindow, //
};
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::time::Instant;

/// Applies views to an engine and reports on its databases.
pub(crate) struct EngineObserver<D: DatabaseConnector, G> {
    shared: Arc<EngineShared<D, G>>,
}

impl<D: DatabaseConnector, G> EngineObserver<D, G> {
    pub(crate) fn new(shared: Arc<EngineShared<D, G>>) -> Self {
        Self { shared }
    }
}

impl<D: DatabaseConnector, G: RateGate> EngineObserver<D, G> {
    /// Reports the ends of logs in groups without a primary, so that an election recognizes a
    /// database that has lost its log.
    ///
    /// No commit is acknowledged under such a view, so the ends include each one that was.
    fn report_log_ends(
        &self,
        reports: &mut Vec<HealthReport>,
        named: ViewNumber,
        held: &FleetView,
    ) {
        let fenced = held.groups.iter();
        let fenced = fenced.filter(|(_, group)| group.primary == PrimaryState::Fenced);
        for (name, upstream_view) in fenced.flat_map(|(group, _)| held.members(group)) {
            let as_replica = self.shared.log_ends.highest(name, upstream_view.born_ms);
            let as_primary = self.shared.samples.highest_of(&upstream_view.group, name);
            let Some(end) = as_replica.max(as_primary) else {
                continue;
            };
            let mut known = reports.iter_mut();
            let known = known.find(|report| report.upstream == name.as_str());
            let report = match known {
                Some(report) => report,
                None => {
                    let Some(health) = self.shared.health.current(name) else {
                        continue;
                    };
                    reports.push(health_report(&health, named));
                    reports.last_mut().expect("a report was added")
                }
            };
            (report.term, report.position) = (end.term.0, end.position.0);
        }
    }
}

impl<D: DatabaseConnector, G> Clone for EngineObserver<D, G> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<D: DatabaseConnector, G: RateGate> FleetObserver for EngineObserver<D, G> {
    /// Closes idle connections and updates the state derived from the view. Sessions check the view
    /// themselves, immediately before sending a call and before acknowledging a commit.
    async fn apply(&self, view: &FleetView) {
        self.shared.pool.apply(view);
        self.shared.outages.apply(view);
        if let Some(relays) = &self.shared.relays {
            relays.apply(view);
        }
        if let Some(admissions) = &self.shared.admissions {
            admissions.apply(view);
        }
        let known = |upstream: &_| view.upstreams.contains_key(upstream);
        self.shared.health.retain(known);
        self.shared.log_ends.retain(known);
        let known = |group: &_| view.groups.contains_key(group);
        self.shared.samples.retain(known);
        self.shared.checks.retain(known);
        self.shared.reads.retain(known);
        self.shared.unconfirmed.retain(known);
        let draining = draining_groups(view).next().is_some();
        self.shared.writers.set_draining(draining);
    }

    async fn report_due(&self) {
        let mut health = self.shared.health.subscribe();
        let mut ended = self.shared.writers.subscribe();
        let timer = &self.shared.settings.timer;
        loop {
            let now = Instant::now();
            let due = self.shared.health.next_report_at(now);
            if due.is_some_and(|due| due <= now) {
                return;
            }
            tokio::select! {
                _ = health.changed() => {}
                _ = ended.changed() => return,
                () = timer.at(due.unwrap_or(now)), if due.is_some() => {}
            }
        }
    }

    fn report(&self, named: ViewNumber, held: &FleetView) -> ObserverReport {
        self.shared.pool.update(held);
        let reports = self.shared.health.take_reports();
        for upstream in self.shared.health.take_probes() {
            let shared = Arc::clone(&self.shared);
            tokio::spawn(async move { shared.probe(upstream).await });
        }
        let groups = draining_groups(held).map(|(group, term)| GroupReport {
            group: group.to_string(),
            term: term.0,
            open_transactions: self.shared.writers.in_progress(group, term),
        });
        let health = reports.iter().map(|health| health_report(health, named));
        let mut health: Vec<HealthReport> = health.collect();
        self.report_log_ends(&mut health, named, held);
        ObserverReport {
            upstreams: Vec::new(),
            health,
            groups: groups.collect(),
        }
    }

    fn usage(&self, sequence: u64) -> Option<Vec<UsageReport>> {
        if self.shared.settings.stop.is_stopping() {
            self.shared.usage.hasten();
        }
        self.shared.usage.report(Instant::now(), sequence)
    }

    fn handle_usage(&self, sequence: u64, sent_at: Instant, window: Option<&UsageWindow>) {
        let times = (sent_at, Instant::now());
        self.shared.usage.handle_reply(sequence, times, window);
    }

    fn lease_begun(&self) {
        self.shared.lease_loss.lease_begun();
    }

    fn lease_ended(&self) {
        self.shared.lease_loss.lease_ended();
    }
}

fn draining_groups(view: &FleetView) -> impl Iterator<Item = (&GroupId, Term)> {
    view.groups
        .iter()
        .filter(|(_, group)| matches!(group.primary, PrimaryState::Draining(_)))
        .map(|(name, group)| (name, group.term))
}

fn health_report(health: &UpstreamHealthReport, named: ViewNumber) -> HealthReport {
    HealthReport {
        upstream: health.upstream.to_string(),
        reachable: health.reachable,
        silent_ms: millis(health.silence),
        held_for_view: named.0,
        ..HealthReport::default()
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
