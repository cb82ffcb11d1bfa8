//! Decided windows of request counts.

use super::{
    CloseUsageCommand,
    CommandOutcome,
    RefusalReason, //
};
use daisyseam_model::OrganisationId;
use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    sync::Arc, //
};

/// Maximum number of decided windows that wait for an acknowledgement; beyond, the oldest is
/// removed. With windows of 5 s they cover an outage of the receiver of ten minutes.
pub const PENDING_WINDOWS_MAX: usize = 120;
/// Number of removed windows that are kept for operators, without their counts.
pub const RECENT_WINDOWS_MAX: usize = 16;

/// Number of requests of each organisation.
pub type UsageCounts = BTreeMap<OrganisationId, u64>;

/// A window that needs no report any more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedWindow {
    /// Number of the window.
    pub window: u64,
    /// Requests of all organisations.
    pub requests: u64,
    /// Whether its report was acknowledged, rather than dropped because too many were waiting.
    pub acknowledged: bool,
}

/// Decided windows, in order.
///
/// The counts of a window are decided once and never change, so every report of it is the same.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UsageHistory {
    /// Highest decided window; 0 if there is none.
    pub(super) decided: u64,
    /// Decided windows whose report has not been acknowledged.
    pub(super) pending: BTreeMap<u64, Arc<UsageCounts>>,
    /// The last windows that were removed from `pending`, oldest first.
    pub(super) recent: VecDeque<ReportedWindow>,
}

impl UsageHistory {
    /// Returns the highest decided window, or 0 if there is none.
    pub fn decided(&self) -> u64 {
        self.decided
    }

    /// Returns the decided windows whose report has not been acknowledged.
    pub fn pending(&self) -> &BTreeMap<u64, Arc<UsageCounts>> {
        &self.pending
    }

    /// Iterates over the last windows that need no report any more, oldest first.
    pub fn recent(&self) -> impl Iterator<Item = &ReportedWindow> {
        self.recent.iter()
    }

    pub(super) fn close(&mut self, command: &CloseUsageCommand) -> CommandOutcome {
        if command.window <= self.decided {
            return CommandOutcome::Refused(RefusalReason::Superseded);
        }
        self.decided = command.window;
        let counts = Arc::new(command.counts.clone());
        self.pending.insert(command.window, counts);
        while self.pending.len() > PENDING_WINDOWS_MAX
            && let Some((&oldest, _)) = self.pending.first_key_value()
        {
            self.remove(oldest, false);
        }
        CommandOutcome::Done
    }

    pub(super) fn acknowledge(&mut self, window: u64) -> CommandOutcome {
        match self.remove(window, true) {
            true => CommandOutcome::Done,
            false => CommandOutcome::Refused(RefusalReason::Unknown),
        }
    }

    fn remove(&mut self, window: u64, acknowledged: bool) -> bool {
        let Some(counts) = self.pending.remove(&window) else {
            return false;
        };
        self.recent.push_back(ReportedWindow {
            window,
            requests: counts.values().sum(),
            acknowledged,
        });
        if self.recent.len() > RECENT_WINDOWS_MAX {
            self.recent.pop_front();
        }
        true
    }
}
