//! Collects request counts and reports them, see [`daisyseam_coord::usage`].

use super::{
    ControlCore,
    leader::LeaderState, //
};
use daisyseam_coord::{
    Moment,
    fleet::{
        CloseUsageCommand,
        CommandOutcome,
        FleetCommand,
        UsageCounts,
        UsageHistory, //
    },
    usage::{
        CountingProcess,
        InstanceReport,
        ReportOutcome,
        UsageStep, //
    }, //
};
use daisyseam_model::{
    Incarnation,
    InstanceId, //
};
use daisyseam_wire::{
    Heartbeat,
    UsageReport,
    UsageWindow, //
};
use std::sync::Arc;

/// A report to send.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageCall {
    /// Number of the window.
    pub window: u64,
    /// Decided number of requests of each organisation.
    pub counts: Arc<UsageCounts>,
    /// Fencing token: the term of the log in which the call was decided. No token is lower than one
    /// sent before.
    pub fence: u64,
}

/// Numbers of windows that this instance handled as the leader since it started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UsageTotals {
    /// Windows whose report was acknowledged.
    pub reported: u64,
    /// Of these, windows that were acknowledged later than expected.
    pub late: u64,
    /// Windows that were decided without the final counts of some instance.
    pub incomplete: u64,
    /// Reports that were refused or got no answer.
    pub failed: u64,
}

impl ControlCore {
    /// Returns whether requests are counted.
    pub fn counts_usage(&self) -> bool {
        self.settings.usage.is_some()
    }

    /// Returns the numbers of windows that this instance handled as the leader.
    pub fn usage_totals(&self) -> UsageTotals {
        self.usage_totals
    }

    /// Handles the outcome of a report that was decided in a term of the log.
    pub fn handle_report_outcome(
        &mut self,
        now: Moment,
        window: u64,
        term: u64,
        outcome: ReportOutcome,
    ) {
        let leader = self.leader.as_mut().filter(|leader| leader.term.0 == term);
        let Some(ledger) = leader.and_then(|leader| leader.usage.as_mut()) else {
            return;
        };
        if outcome == ReportOutcome::Failed {
            self.usage_totals.failed += 1;
            log::debug!("the report of usage window {window} failed and will be repeated");
        }
        if ledger.handle_outcome(now, window, outcome) {
            self.usage_totals.reported += 1;
            self.usage_totals.late += u64::from(ledger.is_late(now, window));
            self.propose(now, &FleetCommand::AcknowledgeUsage(window));
        }
        self.step_usage(now);
    }

    /// Decides windows that have ended, and sends decided ones.
    pub(super) fn step_usage(&mut self, now: Moment) {
        if !self.is_acting_leader(now) {
            return;
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(ledger) = &mut leader.usage else {
            return;
        };
        let instances = self.fleet.view().instances.values();
        let live = instances.map(|instance| instance.incarnation).collect();
        let steps = ledger.step(now, self.fleet.usage(), &live);
        let fence = leader.term.0;
        for step in steps {
            match step {
                UsageStep::Close { command, missing } => self.close_usage(now, command, missing),
                UsageStep::Acknowledge(window) => {
                    self.propose(now, &FleetCommand::AcknowledgeUsage(window));
                }
                UsageStep::Send { window, counts } => self.output.reports.push(UsageCall {
                    window,
                    counts,
                    fence,
                }),
            }
        }
    }

    fn close_usage(&mut self, now: Moment, command: CloseUsageCommand, missing: usize) {
        self.usage_totals.incomplete += u64::from(missing > 0);
        let level = match missing {
            0 => log::Level::Info,
            _ => log::Level::Warn,
        };
        log::log!(
            level,
            "usage window {}: {} requests of {} organisations, {missing} instances without a final \
             count",
            command.window,
            command.counts.values().sum::<u64>(),
            command.counts.len()
        );
        self.propose(now, &FleetCommand::CloseUsage(command));
    }

    /// Handles the application of a command, which may make the next step due.
    pub(super) fn usage_applied(
        &mut self,
        now: Moment,
        command: &FleetCommand,
        outcome: &CommandOutcome,
    ) {
        match command {
            FleetCommand::CloseUsage(command) if *outcome != CommandOutcome::Done => {
                log::warn!("usage window {} was decided before", command.window);
            }
            FleetCommand::CloseUsage(_) => self.step_usage(now),
            _ => {}
        }
    }
}

impl LeaderState {
    /// Records the usage in a heartbeat and returns the window for the reply.
    pub(super) fn record_usage(
        &mut self,
        now: Moment,
        history: &UsageHistory,
        instance: &InstanceId,
        heartbeat: &Heartbeat,
    ) -> Option<UsageWindow> {
        let term = self.term.0;
        let ledger = self.usage.as_mut()?;
        let incarnation = Incarnation(heartbeat.incarnation);
        ledger.record_time(now, incarnation, heartbeat.unix_ms);
        // Reports that continue those to an earlier leader are repeated in full after the reply.
        let reports = heartbeat.usage.iter();
        let reports: Vec<_> = reports.filter(|report| report.term == term).collect();
        if let Some(first) = reports.first() {
            let process = CountingProcess {
                instance: instance.clone(),
                born_ms: first.born_ms,
            };
            let from = (incarnation, heartbeat.sequence);
            ledger.record(history, process, from, reports.into_iter().map(to_report));
        }
        let (window, left) = ledger.clock().current(now).unwrap_or_default();
        let window_length = ledger.settings().window;
        Some(UsageWindow {
            window,
            left_ms: u64::try_from(left.as_millis()).unwrap_or(0),
            window_ms: u64::try_from(window_length.as_millis()).unwrap_or(0),
            decided: history.decided(),
            term,
        })
    }
}

/// Decodes a report; counts of invalid names are left out.
fn to_report(report: &UsageReport) -> InstanceReport {
    let counts = report.counts.iter();
    InstanceReport {
        window: report.window,
        is_final: report.is_final,
        counts: counts
            .filter_map(|count| Some((count.organisation.parse().ok()?, count.count)))
            .collect(),
    }
}
