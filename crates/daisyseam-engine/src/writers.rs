//! Work under way that only the primary of a term can finish.

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

/// Counts transactions and single writes under way, by group and term.
#[derive(Clone, Debug, Default)]
pub(crate) struct WriterCounts {
    shared: Arc<CountsShared>,
}

#[derive(Debug, Default)]
struct CountsShared {
    /// Whether anybody waits for an end.
    draining: AtomicBool,
    counts: Mutex<HashMap<(GroupId, Term), u64>>,
    ended: watch::Sender<()>,
}

/// One transaction or single write that is counted until this is dropped.
#[derive(Debug)]
pub(crate) struct WriterGuard {
    shared: Arc<CountsShared>,
    key: (GroupId, Term),
}

impl WriterCounts {
    /// Counts one more.
    ///
    /// To be called before the last look at the view, so that whoever puts a later one in force
    /// sees it counted.
    pub(crate) fn enter(&self, group: &GroupId, term: Term) -> WriterGuard {
        let key = (group.clone(), term);
        *self.shared.counts.lock().entry(key.clone()).or_default() += 1;
        WriterGuard {
            shared: Arc::clone(&self.shared),
            key,
        }
    }

    /// Returns how many are under way.
    pub(crate) fn open(&self, group: &GroupId, term: Term) -> u64 {
        let counts = self.shared.counts.lock();
        counts.get(&(group.clone(), term)).copied().unwrap_or(0)
    }

    /// Says whether a planned move waits for some to end; nobody is woken otherwise.
    pub(crate) fn set_draining(&self, draining: bool) {
        self.shared.draining.store(draining, Ordering::Release);
    }

    /// Returns a receiver that is woken when the last one of a group and term has ended.
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
