//! Collects the counts of instances and decides when a window is closed and sent.

use super::{
    ReportOutcome,
    UsageSettings,
    WindowClock, //
};
use crate::{
    Moment,
    fleet::{
        CloseUsageCommand,
        UsageCounts,
        UsageHistory, //
    }, //
};
use daisyseam_model::{
    Incarnation,
    InstanceId,
    OrganisationId, //
};
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration, //
};

/// Maximum number of windows that are collected at a time; older ones are not reported. With windows
/// of 5 s they cover two minutes without a leader.
pub const WINDOWS_MAX: u64 = 24;

/// Time after which a command that was not applied is proposed again.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a failed report is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Delay before a report that gave way to other calls is tried again.
const DEFERRED_DELAY: Duration = Duration::from_millis(100);

/// A report of an instance on one window.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceReport {
    /// Number of the window.
    pub window: u64,
    /// Whether the counts no longer change.
    pub is_final: bool,
    /// Cumulative counts; organisations that are missing keep their last count.
    pub counts: Vec<(OrganisationId, u64)>,
}

/// A process that counts. It may join again under another incarnation, and keeps its counts.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CountingProcess {
    /// Name of the instance.
    pub instance: InstanceId,
    /// When the process started, by its own clock, in milliseconds since 1970.
    pub born_ms: u64,
}

/// What the leader has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum UsageStep {
    /// Propose a command that decides the counts of a window.
    Close {
        /// The command.
        command: CloseUsageCommand,
        /// Number of instances whose final counts are missing.
        missing: usize,
    },
    /// Send the decided counts of a window.
    Send {
        /// Number of the window.
        window: u64,
        /// Its counts.
        counts: Arc<UsageCounts>,
    },
    /// Propose a command that records that the report of a window was acknowledged.
    Acknowledge(u64),
}

/// Volatile state of the leader of one term.
#[derive(Debug)]
pub struct UsageLedger {
    settings: UsageSettings,
    started_at: Moment,
    clock: WindowClock,
    processes: BTreeMap<CountingProcess, ProcessUsage>,
    /// The window whose command was proposed last, and when.
    proposed: Option<(u64, Moment)>,
    /// The window whose report is in progress.
    sending: Option<u64>,
    /// When the next report may be sent.
    send_at: Moment,
    /// Acknowledged windows, with the time at which that was last proposed for the log.
    acknowledged: BTreeMap<u64, Moment>,
}

/// Reports of one process.
#[derive(Debug, Default)]
struct ProcessUsage {
    /// Incarnation under which it reported last.
    incarnation: Incarnation,
    /// Sequence number of the last heartbeat with reports.
    sequence: u64,
    windows: BTreeMap<u64, WindowUsage>,
}

#[derive(Debug, Default)]
struct WindowUsage {
    counts: UsageCounts,
    is_final: bool,
}

impl UsageLedger {
    /// Creates the ledger of a leader whose term begins now.
    pub fn new(settings: UsageSettings, now: Moment) -> Self {
        Self {
            settings,
            started_at: now,
            clock: WindowClock::new(settings.window),
            processes: BTreeMap::new(),
            proposed: None,
            sending: None,
            send_at: now + settings.holder_change_wait,
            acknowledged: BTreeMap::new(),
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &UsageSettings {
        &self.settings
    }

    /// Returns the clock.
    pub fn clock(&self) -> &WindowClock {
        &self.clock
    }

    /// Records the time stamp of an instance; 0 if there is none.
    pub fn record_time(&mut self, now: Moment, incarnation: Incarnation, unix_ms: u64) {
        if unix_ms > 0 {
            self.clock.record(now, incarnation, unix_ms);
        }
    }

    /// Records the reports of a process in the heartbeat of an incarnation and sequence number. A heartbeat that arrives after a
    /// later one is ignored, since its counts are out of date.
    pub fn record(
        &mut self,
        history: &UsageHistory,
        process: CountingProcess,
        (incarnation, sequence): (Incarnation, u64),
        reports: impl IntoIterator<Item = InstanceReport>,
    ) {
        let newest = self.clock.window().unwrap_or(u64::MAX);
        let instance = self.processes.entry(process).or_default();
        if sequence <= instance.sequence {
            return;
        }
        instance.sequence = sequence;
        instance.incarnation = incarnation;
        for report in reports {
            // An instance's clock may have entered the next window a little earlier.
            let is_known =
                report.window > history.decided() && report.window <= newest.saturating_add(1);
            if !is_known {
                continue;
            }
            let window = instance.windows.entry(report.window).or_default();
            window.counts.extend(report.counts);
            window.is_final |= report.is_final;
        }
        while instance.windows.len() as u64 > WINDOWS_MAX {
            instance.windows.pop_first();
        }
    }

    /// Returns what is due. `live` are the incarnations that control has not given up.
    pub fn step(
        &mut self,
        now: Moment,
        history: &UsageHistory,
        live: &BTreeSet<Incarnation>,
    ) -> Vec<UsageStep> {
        self.clock.tick(now, live.len());
        self.prune(history, live);
        let mut steps = Vec::new();
        steps.extend(self.close(now, history, live));
        for (window, proposed_at) in &mut self.acknowledged {
            if now.since(*proposed_at) >= PROPOSAL_TIMEOUT {
                *proposed_at = now;
                steps.push(UsageStep::Acknowledge(*window));
            }
        }
        steps.extend(self.send(now, history));
        steps
    }

    /// Handles the outcome of a report; returns whether it was the first acknowledgement of its
    /// window in this term, which is then to be recorded in the log.
    pub fn handle_outcome(&mut self, now: Moment, window: u64, outcome: ReportOutcome) -> bool {
        if self.sending != Some(window) {
            return false;
        }
        self.sending = None;
        match outcome {
            ReportOutcome::Accepted => {
                self.send_at = now;
                self.acknowledged.insert(window, now);
                true
            }
            ReportOutcome::Failed => {
                self.send_at = now + RETRY_DELAY;
                false
            }
            ReportOutcome::Deferred => {
                self.send_at = now + DEFERRED_DELAY;
                false
            }
        }
    }

    /// Returns whether a window is reported later than expected.
    pub fn is_late(&self, now: Moment, window: u64) -> bool {
        let ends_at = self.clock.ends_at(window);
        ends_at.is_some_and(|ends_at| now.since(ends_at) > self.settings.delay)
    }

    fn close(
        &mut self,
        now: Moment,
        history: &UsageHistory,
        live: &BTreeSet<Incarnation>,
    ) -> Option<UsageStep> {
        let (current, _) = self.clock.current(now)?;
        let window = self.next_window(history, current)?;
        let is_proposed = self
            .proposed
            .is_some_and(|(proposed, at)| proposed == window && now.since(at) < PROPOSAL_TIMEOUT);
        if window >= current || is_proposed {
            return None;
        }
        let expected = live.difference(&self.finals(window)).count();
        let ended_at = self.clock.ends_at(window)?.max(self.started_at);
        if expected > 0 && now < ended_at + self.settings.final_wait() {
            return None;
        }
        self.proposed = Some((window, now));
        Some(UsageStep::Close {
            command: CloseUsageCommand {
                window,
                counts: self.sum(window),
            },
            missing: expected + self.lost(window, live),
        })
    }

    /// Returns the window to decide next.
    fn next_window(&self, history: &UsageHistory, current: u64) -> Option<u64> {
        let next = match history.decided() {
            0 => {
                let reported = self.processes.values();
                let first = reported.filter_map(|instance| instance.windows.keys().next());
                first.min().copied().unwrap_or(current).min(current)
            }
            decided => decided + 1,
        };
        Some(next.max(current.saturating_sub(WINDOWS_MAX)))
    }

    /// Returns the incarnations that have sent their final counts of a window.
    fn finals(&self, window: u64) -> BTreeSet<Incarnation> {
        let processes = self.processes.values();
        let finals = processes.filter(|process| {
            let window = process.windows.get(&window);
            window.is_some_and(|window| window.is_final)
        });
        finals.map(|process| process.incarnation).collect()
    }

    /// Returns how many instances have gone that reported the window without a final count.
    fn lost(&self, window: u64, live: &BTreeSet<Incarnation>) -> usize {
        let gone = self.processes.values();
        let gone = gone.filter(|process| !live.contains(&process.incarnation));
        let windows = gone.filter_map(|process| process.windows.get(&window));
        windows.filter(|window| !window.is_final).count()
    }

    /// Sums the counts of all instances, also of those that have gone.
    fn sum(&self, window: u64) -> UsageCounts {
        let mut sums = UsageCounts::new();
        let instances = self.processes.values();
        for window in instances.filter_map(|instance| instance.windows.get(&window)) {
            for (organisation, count) in window.counts.iter().filter(|(_, count)| **count > 0) {
                let sum = sums.entry(organisation.clone()).or_default();
                *sum = sum.saturating_add(*count);
            }
        }
        sums
    }

    fn send(&mut self, now: Moment, history: &UsageHistory) -> Option<UsageStep> {
        if self.sending.is_some() || now < self.send_at {
            return None;
        }
        let mut pending = history.pending().iter();
        let (window, counts) =
            pending.find(|(window, _)| !self.acknowledged.contains_key(window))?;
        self.sending = Some(*window);
        Some(UsageStep::Send {
            window: *window,
            counts: Arc::clone(counts),
        })
    }

    fn prune(&mut self, history: &UsageHistory, live: &BTreeSet<Incarnation>) {
        for instance in self.processes.values_mut() {
            instance
                .windows
                .retain(|window, _| *window > history.decided());
        }
        self.processes.retain(|_, process| {
            live.contains(&process.incarnation) || !process.windows.is_empty()
        });
        let pending = history.pending();
        self.acknowledged
            .retain(|window, _| pending.contains_key(window));
    }
}
