//! Tracking of unfinished writes that depend on the primary of a term.

use daisyseam_model::{
    GroupId,
    Term, //
};
use parking_lot::Mutex;
use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    }, //
};
use tokio::sync::watch;

/// Counts read-write transactions and single writes in progress, by group and term.
#[derive(Clone, Debug, Default)]
pub(crate) struct WriterCounts {
    shared: Arc<CountsShared>,
}

#[derive(Debug, Default)]
struct CountsShared {
    /// Whether a planned move waits for the counted work to end.
    draining: AtomicBool,
    counts: Mutex<HashMap<(GroupId, Term), u64>>,
    ended: watch::Sender<()>,
}

/// Counts one transaction or single write until dropped.
#[derive(Debug)]
pub(crate) struct WriterGuard {
    shared: Arc<CountsShared>,
    key: (GroupId, Term),
}

impl WriterCounts {
    /// Counts a new transaction or write.
    ///
    /// Must be called before the final check of the view, so that it is counted when a later view
    /// is applied.
    pub(crate) fn start(&self, group: &GroupId, term: Term) -> WriterGuard {
        let key = (group.clone(), term);
        *self.shared.counts.lock().entry(key.clone()).or_default() += 1;
        WriterGuard {
            shared: Arc::clone(&self.shared),
            key,
        }
    }

    /// Returns the number of transactions and writes in progress.
    pub(crate) fn in_progress(&self, group: &GroupId, term: Term) -> u64 {
        let counts = self.shared.counts.lock();
        counts.get(&(group.clone(), term)).copied().unwrap_or(0)
    }

    /// Sets whether a planned move waits for the counted work; subscribers are notified only then.
    pub(crate) fn set_draining(&self, draining: bool) {
        self.shared.draining.store(draining, Ordering::Release);
    }

    /// Returns a receiver that is notified when the last one of a group and term has ended.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.shared.ended.subscribe()
    }
}

impl Drop for WriterGuard {
    fn drop(&mut self) {
        let mut counts = self.shared.counts.lock();
        let Some(count) = counts.get_mut(&self.key) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            counts.remove(&self.key);
            drop(counts);
            if self.shared.draining.load(Ordering::Acquire) {
                self.shared.ended.send_replace(());
            }
        }
    }
}
