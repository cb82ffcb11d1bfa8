//! What a stand-in has been asked to do.

use daisyseam_model::announce::UpstreamRole;
use parking_lot::Mutex;
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use tokio::time::Instant;

/// Counts statements.
#[derive(Debug, Default)]
pub struct StatementCounters {
    statements: AtomicU64,
    replica_reads: AtomicU64,
    last: Mutex<Option<Instant>>,
}

impl StatementCounters {
    pub(super) fn count(&self, reads_tables: bool, role: UpstreamRole) {
        self.statements.fetch_add(1, Ordering::Relaxed);
        if reads_tables && role != UpstreamRole::Primary {
            self.replica_reads.fetch_add(1, Ordering::Relaxed);
        }
        *self.last.lock() = Some(Instant::now());
    }

    /// Returns how many statements have started.
    pub fn statements(&self) -> u64 {
        self.statements.load(Ordering::Relaxed)
    }

    /// Returns how many reads of tables have started while it was no primary.
    pub fn replica_reads(&self) -> u64 {
        self.replica_reads.load(Ordering::Relaxed)
    }

    /// Returns when the last statement started.
    pub fn last(&self) -> Option<Instant> {
        *self.last.lock()
    }
}
