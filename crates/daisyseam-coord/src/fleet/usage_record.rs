//! Encoding of decided windows.

use super::{
    ReportedWindow,
    UsageCounts,
    UsageHistory, //
};
use std::sync::Arc;

/// The counts of one window.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct WindowRecord {
    #[prost(uint64, tag = "1")]
    pub(super) window: u64,
    #[prost(message, repeated, tag = "2")]
    counts: Vec<CountRecord>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct CountRecord {
    #[prost(string, tag = "1")]
    organisation: String,
    #[prost(uint64, tag = "2")]
    count: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct ReportedRecord {
    #[prost(uint64, tag = "1")]
    window: u64,
    #[prost(uint64, tag = "2")]
    requests: u64,
    #[prost(bool, tag = "3")]
    acknowledged: bool,
}

/// All decided windows that are kept.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct UsageRecord {
    #[prost(uint64, tag = "1")]
    decided: u64,
    #[prost(message, repeated, tag = "2")]
    pending: Vec<WindowRecord>,
    #[prost(message, repeated, tag = "3")]
    recent: Vec<ReportedRecord>,
}

impl WindowRecord {
    pub(super) fn of(window: u64, counts: &UsageCounts) -> Self {
        let counts = counts.iter().map(|(organisation, count)| CountRecord {
            organisation: organisation.to_string(),
            count: *count,
        });
        Self {
            window,
            counts: counts.collect(),
        }
    }

    pub(super) fn to_counts(&self) -> Option<UsageCounts> {
        let counts = self.counts.iter();
        let counts = counts.map(|record| Some((record.organisation.parse().ok()?, record.count)));
        counts.collect()
    }
}

impl UsageRecord {
    pub(super) fn of(history: &UsageHistory) -> Self {
        let pending = history.pending.iter();
        let recent = history.recent.iter();
        Self {
            decided: history.decided,
            pending: pending
                .map(|(window, counts)| WindowRecord::of(*window, counts))
                .collect(),
            recent: recent
                .map(|reported| ReportedRecord {
                    window: reported.window,
                    requests: reported.requests,
                    acknowledged: reported.acknowledged,
                })
                .collect(),
        }
    }

    pub(super) fn to_history(&self) -> Option<UsageHistory> {
        let pending = self.pending.iter();
        let pending = pending.map(|record| Some((record.window, Arc::new(record.to_counts()?))));
        let recent = self.recent.iter().map(|record| ReportedWindow {
            window: record.window,
            requests: record.requests,
            acknowledged: record.acknowledged,
        });
        Some(UsageHistory {
            decided: self.decided,
            pending: pending.collect::<Option<_>>()?,
            recent: recent.collect(),
        })
    }
}
