//! Usage reports in the simulation: entries that count, and the receiver of the reports.

use daisyseam_control::UsageCall;
use daisyseam_coord::{
    fleet::UsageCounts,
    usage::{
        ReportOutcome,
        UsageSettings, //
    }, //
};
use daisyseam_wire::{
    UsageCount,
    UsageReport,
    UsageWindow, //
};
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

/// Unix time at the start of the simulation, in milliseconds.
const START_UNIX_MS: u64 = 1_800_000_000_000;
/// Length of a window, in milliseconds.
const WINDOW_MS: u64 = 300;
/// Wait of a new leader before its first report, in milliseconds.
const HOLDER_CHANGE_MS: u64 = 1_000;
/// Number of windows that an entry reports.
const WINDOWS: u64 = 20;

/// A report that arrived.
#[derive(Debug)]
struct ReceivedReport {
    at: u64,
    member: usize,
    fence: u64,
    window: u64,
    counts: Arc<UsageCounts>,
}

/// The receiver, and what entries know of control.
#[derive(Default)]
pub(crate) struct UsageSimulation {
    received: Vec<ReceivedReport>,
    /// Whether the receiver is down and answers nothing.
    pub(crate) is_down: bool,
    /// Control term and last decided window, as known at each entry.
    known: BTreeMap<usize, (u64, u64)>,
}

impl UsageSimulation {
    pub(crate) fn settings() -> UsageSettings {
        UsageSettings {
            window: Duration::from_millis(WINDOW_MS),
            delay: Duration::from_millis(2_000),
            holder_change_wait: Duration::from_millis(HOLDER_CHANGE_MS),
        }
    }

    /// Returns the time stamp and the reports of an entry; the clock of the first one is wrong.
    pub(crate) fn report(&self, entry: usize, now: u64, process: u64) -> (u64, Vec<UsageReport>) {
        let unix_ms = START_UNIX_MS + now;
        let wrong_ms = if entry == 0 { 3_600_000 } else { 0 };
        let (term, decided) = self.known.get(&entry).copied().unwrap_or_default();
        let current = unix_ms / WINDOW_MS;
        let windows = (current - WINDOWS).max(decided + 1)..=current;
        let report = |window: u64| UsageReport {
            window,
            is_final: window < current,
            counts: vec![UsageCount {
                organisation: "swakop".to_owned(),
                count: (unix_ms - window * WINDOW_MS).min(WINDOW_MS),
            }],
            born_ms: process + 1,
            term,
        };
        (unix_ms + wrong_ms, windows.map(report).collect())
    }

    pub(crate) fn handle_window(&mut self, entry: usize, window: &UsageWindow) {
        self.known.insert(entry, (window.term, window.decided));
    }

    /// Receives a report; the answers to some are lost.
    pub(crate) fn receive(&mut self, at: u64, member: usize, call: &UsageCall) -> ReportOutcome {
        self.received.push(ReceivedReport {
            at,
            member,
            fence: call.fence,
            window: call.window,
            counts: Arc::clone(&call.counts),
        });
        match self.is_down || self.received.len().is_multiple_of(7) {
            true => ReportOutcome::Failed,
            false => ReportOutcome::Accepted,
        }
    }

    /// Checks all reports, and returns the number of windows.
    pub(crate) fn check(&self) -> usize {
        let mut contents = BTreeMap::new();
        for report in &self.received {
            let first = contents.entry(report.window).or_insert(&report.counts);
            assert_eq!(**first, report.counts, "two contents of {}", report.window);
        }
        assert!(self.received.is_sorted_by_key(|report| report.fence));
        for (index, first) in self.received.iter().enumerate() {
            let later = self.received[index..].iter();
            let mut later = later.take_while(|report| report.at < first.at + HOLDER_CHANGE_MS);
            let changed = later.any(|report| report.member != first.member);
            let returns = later.any(|report| report.member == first.member);
            assert!(!changed || !returns, "the holder came back: {first:?}");
        }
        contents.len()
    }
}
