//! An in-memory store that loses unsynced writes, for tests.

use crate::{
    EntryRecord,
    FolderIdentity,
    LogStorage,
    RecoveredState,
    SnapshotRecord,
    StoreError,
    VoteRecord, //
};
use std::{
    io,
    path::PathBuf,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    }, //
};

/// The durable state of in-memory stores, which survives a simulated crash.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    shared: Arc<Mutex<DiskState>>,
}

#[derive(Debug, Default)]
struct DiskState {
    durable: RecoveredState,
    full: bool,
}

impl MemoryDisk {
    /// Opens the disk as after a crash: unsynced writes are lost.
    pub fn open(&self) -> (MemoryStore, RecoveredState) {
        let store = MemoryStore {
            disk: self.clone(),
            pending: Vec::new(),
        };
        (store, self.lock().durable.clone())
    }

    /// Makes every later sync fail with a full disk, or succeed again.
    pub fn set_full(&self, full: bool) {
        self.lock().full = full;
    }

    fn lock(&self) -> MutexGuard<'_, DiskState> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A store in memory, backed by a [`MemoryDisk`].
#[derive(Debug)]
pub struct MemoryStore {
    disk: MemoryDisk,
    pending: Vec<PendingWrite>,
}

#[derive(Debug)]
enum PendingWrite {
    Vote(VoteRecord),
    Entries(Vec<EntryRecord>),
}

impl LogStorage for MemoryStore {
    fn save_vote(&mut self, vote: VoteRecord) {
        self.pending.push(PendingWrite::Vote(vote));
    }

    fn append(&mut self, entries: Vec<EntryRecord>) {
        self.pending.push(PendingWrite::Entries(entries));
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        let mut disk = self.disk.lock();
        if disk.full {
            return Err(StoreError::Full {
                path: PathBuf::from("memory"),
                error: io::Error::from(io::ErrorKind::StorageFull),
            });
        }
        for write in self.pending.drain(..) {
            match write {
                PendingWrite::Vote(vote) => disk.durable.vote = vote,
                PendingWrite::Entries(entries) => {
                    let first = entries.first().map_or(u64::MAX, |entry| entry.index);
                    disk.durable.entries.retain(|entry| entry.index < first);
                    disk.durable.entries.extend(entries);
                }
            }
        }
        Ok(())
    }

    fn save_snapshot(
        &mut self,
        snapshot: SnapshotRecord,
        clear_log: bool,
    ) -> Result<(), StoreError> {
        self.sync()?;
        let mut disk = self.disk.lock();
        let index = snapshot.index;
        disk.durable.snapshot = snapshot;
        let kept = |entry: &EntryRecord| !clear_log && entry.index > index;
        disk.durable.entries.retain(kept);
        Ok(())
    }

    fn reopen(&mut self) -> Result<RecoveredState, StoreError> {
        self.pending.clear();
        self.sync()?;
        Ok(self.disk.lock().durable.clone())
    }

    fn reset(&mut self, _identity: &FolderIdentity) -> Result<(), StoreError> {
        self.pending.clear();
        self.disk.lock().durable = RecoveredState::default();
        Ok(())
    }
}
