//! What callers did and were told, and the check against what the databases hold.

use std::collections::{
    BTreeMap,
    HashMap, //
};
use tokio::time::Instant;

/// What a caller was told of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// It is committed.
    Acknowledged,
    /// It was not run; the SQLSTATE says why.
    NotRun(String),
    /// IdleObserver said whether it ran; the SQLSTATE or `connection_lost` says why.
    Unknown(String),
    /// The database refused it.
    Failed(String),
}

/// One write.
#[derive(Clone, Debug)]
pub struct WriteRecord {
    /// Service.
    pub service: String,
    /// Identifier, used once.
    pub id: String,
    /// Organisation.
    pub organisation: String,
    /// When it was sent.
    pub sent: Instant,
    /// When the answer came.
    pub answered: Instant,
    /// The answer.
    pub outcome: WriteOutcome,
}

/// One read of a session's own newest write.
#[derive(Clone, Debug)]
pub struct ReadRecord {
    /// Service.
    pub service: String,
    /// Organisation.
    pub organisation: String,
    /// When it was sent.
    pub sent: Instant,
    /// When the answer came.
    pub answered: Instant,
    /// Newest number that the session had written and been told of.
    pub expected: i64,
    /// Number that it read, or the SQLSTATE of a refusal.
    pub seen: Result<i64, String>,
}

/// All that the callers of one run did.
#[derive(Debug, Default)]
pub struct LoadHistory {
    /// Writes.
    pub writes: Vec<WriteRecord>,
    /// Reads.
    pub reads: Vec<ReadRecord>,
    /// Connections that were refused, by SQLSTATE.
    pub refused_connections: BTreeMap<String, u64>,
}

/// What a history shows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HistoryFinding {
    /// Acknowledged writes that are gone.
    pub lost_acknowledged: u64,
    /// Writes that are there more than once.
    pub ran_twice: u64,
    /// Writes that are there although the answer said that they did not run.
    pub false_not_run: u64,
    /// Reads that missed the session's own write.
    pub stale_reads: u64,
    /// Writes whose outcome nobody told.
    pub unknown: u64,
    /// Acknowledged writes.
    pub acknowledged: u64,
}

impl HistoryFinding {
    /// Returns how many findings break a promise.
    pub fn violations(&self) -> u64 {
        self.lost_acknowledged + self.ran_twice + self.false_not_run + self.stale_reads
    }
}

impl LoadHistory {
    /// Adds what another worker did.
    pub fn absorb(&mut self, other: Self) {
        self.writes.extend(other.writes);
        self.reads.extend(other.reads);
        for (code, count) in other.refused_connections {
            *self.refused_connections.entry(code).or_default() += count;
        }
    }

    /// Compares the history with the identifiers that the final primaries hold, by service.
    pub fn check(&self, held: &BTreeMap<String, Vec<String>>) -> HistoryFinding {
        let counts = count_held(held);
        let mut finding = HistoryFinding::default();
        for write in &self.writes {
            let key = (write.service.as_str(), write.id.as_str());
            let times = counts.get(&key).copied().unwrap_or(0);
            finding.ran_twice += u64::from(times > 1);
            match &write.outcome {
                WriteOutcome::Acknowledged => {
                    finding.acknowledged += 1;
                    finding.lost_acknowledged += u64::from(times == 0);
                }
                WriteOutcome::NotRun(_) | WriteOutcome::Failed(_) => {
                    finding.false_not_run += u64::from(times > 0);
                }
                WriteOutcome::Unknown(_) => finding.unknown += 1,
            }
        }
        let stale = |read: &&ReadRecord| read.seen.as_ref().is_ok_and(|seen| *seen < read.expected);
        finding.stale_reads = self.reads.iter().filter(stale).count() as u64;
        finding
    }

    /// Counts refusals and failures by SQLSTATE.
    pub fn refusals(&self) -> BTreeMap<String, u64> {
        let mut refusals = BTreeMap::new();
        let writes = self.writes.iter().filter_map(|write| match &write.outcome {
            WriteOutcome::Acknowledged => None,
            WriteOutcome::NotRun(code) => Some(format!("{code} not run")),
            WriteOutcome::Unknown(code) => Some(format!("{code} unknown")),
            WriteOutcome::Failed(code) => Some(format!("{code} failed")),
        });
        let reads = self.reads.iter().filter_map(|read| {
            let code = read.seen.as_ref().err()?;
            Some(format!("{code} read"))
        });
        for words in writes.chain(reads) {
            *refusals.entry(words).or_default() += 1;
        }
        for (code, count) in &self.refused_connections {
            *refusals.entry(format!("{code} connect")).or_default() += count;
        }
        refusals
    }

    /// Returns the longest time between two acknowledged writes of a service that spans a moment.
    ///
    /// Nothing when no write was acknowledged before it or none after it.
    pub fn gap_around(&self, service: &str, moment: Instant) -> Option<std::time::Duration> {
        let acknowledged = || {
            self.writes.iter().filter(|write| {
                write.service == service && write.outcome == WriteOutcome::Acknowledged
            })
        };
        let before = acknowledged().map(|write| write.answered);
        let last = before.filter(|answered| *answered <= moment).max()?;
        let after = acknowledged().filter(|write| write.sent >= moment);
        let first = after.map(|write| write.answered).min()?;
        Some(first - last)
    }
}

fn count_held(held: &BTreeMap<String, Vec<String>>) -> HashMap<(&str, &str), u64> {
    let mut counts = HashMap::new();
    for (service, ids) in held {
        for id in ids {
            *counts.entry((service.as_str(), id.as_str())).or_default() += 1;
        }
    }
    counts
}
