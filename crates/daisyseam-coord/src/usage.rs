//! Request counts in windows of the wall clock, as the control leader collects them.
//!
//! Instances report cumulative counts of each window. The leader decides the counts of a window once
//! all instances have sent their final counts, or after a bounded wait. Decided counts are replicated
//! (see [`fleet`](crate::fleet)) before they are sent, so that two reports of a window never differ.
//!
//! [`WindowClock`] estimates the true time; [`UsageLedger`] collects the counts and decides.

mod clock;
mod ledger;
#[cfg(test)]
mod tests;

pub use self::{
    clock::WindowClock,
    ledger::{
        CountingProcess,
        InstanceReport,
        UsageLedger,
        UsageStep,
        WINDOWS_MAX, //
    }, //
};
use std::time::Duration;

/// Longest wait for final counts after the end of a window.
const FINAL_WAIT_MAX: Duration = Duration::from_secs(4);

/// Settings of usage reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UsageSettings {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window by which its report is expected.
    pub delay: Duration,
    /// Time from the start of a term until the first report of its leader. Within this time of a
    /// report, no report of a third holder may follow one of a second.
    pub holder_change_wait: Duration,
}

impl UsageSettings {
    /// Returns how long the leader waits for final counts after the end of a window. The rest of
    /// `delay` is for the commit, the report and its retries.
    pub fn final_wait(&self) -> Duration {
        (self.delay * 2 / 5).min(FINAL_WAIT_MAX)
    }
}

/// What became of the attempt to report a window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOutcome {
    /// The report was acknowledged.
    Accepted,
    /// The report was refused, or it is unknown whether it arrived.
    Failed,
    /// The report was not sent, since calls of another kind have precedence.
    Deferred,
}
