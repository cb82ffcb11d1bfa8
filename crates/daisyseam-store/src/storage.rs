//! The storage interface of a log.

use crate::{
    EntryRecord,
    FolderIdentity,
    SnapshotRecord,
    StoreError,
    VoteRecord, //
};

/// The durable state found when the storage was opened.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RecoveredState {
    /// Term and vote.
    pub vote: VoteRecord,
    /// Newest snapshot.
    pub snapshot: SnapshotRecord,
    /// Entries after the snapshot.
    pub entries: Vec<EntryRecord>,
}

/// Durable storage of one log.
///
/// After an error, nothing written since the last [`LogStorage::sync`] may be acknowledged, and the
/// storage must be [reopened](LogStorage::reopen).
pub trait LogStorage: Send + 'static {
    /// Replaces the term and the vote; durable after the next sync.
    fn save_vote(&mut self, vote: VoteRecord);

    /// Appends entries, replacing all stored entries from the first one's index on; durable after
    /// the next sync.
    fn append(&mut self, entries: Vec<EntryRecord>);

    /// Makes all writes since the last call durable.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the writes are not durable or may not be.
    fn sync(&mut self) -> Result<(), StoreError>;

    /// Replaces the entries up to the snapshot's index, or all entries with `clear_log`, by the
    /// snapshot; durable on return, along with all earlier writes.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the writes are not durable or may not be.
    fn save_snapshot(
        &mut self,
        snapshot: SnapshotRecord,
        clear_log: bool,
    ) -> Result<(), StoreError>;

    /// Discards what is not durable and returns the durable state, as after a restart.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the durable state cannot be read or nothing can be written; it may be tried
    /// again.
    fn reopen(&mut self) -> Result<RecoveredState, StoreError>;

    /// Removes the vote, the snapshot and all entries and takes a new identity; durable on return.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the writes are not durable or may not be.
    fn reset(&mut self, identity: &FolderIdentity) -> Result<(), StoreError>;
}
