//! A log as the terms that wrote it.

use crate::standin::log_record::LogRecord;
use daisyseam_model::{
    Position,
    Term, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::sync::Arc;

/// The part of a log that one term wrote.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HistorySegment {
    /// The term.
    pub term: Term,
    /// Position before its first record.
    pub start: Position,
    /// Position after its last record.
    pub end: Position,
}

/// Parts a log by the terms that wrote it.
pub(super) fn segments(log: &[Arc<LogRecord>]) -> Vec<HistorySegment> {
    let mut segments: Vec<HistorySegment> = Vec::new();
    for record in log {
        match segments.last_mut() {
            Some(last) if last.term == record.term => last.end = record.end,
            _ => segments.push(HistorySegment {
                term: record.term,
                start: record.start,
                end: record.end,
            }),
        }
    }
    segments
}

/// Returns where two histories part.
pub(super) fn common_end(own: &[HistorySegment], other: &[HistorySegment]) -> Position {
    let mut common = Position(0);
    for (own, other) in own.iter().zip(other) {
        if own.term != other.term || own.start != other.start {
            break;
        }
        common = own.end.min(other.end);
        if own.end != other.end {
            break;
        }
    }
    common
}
