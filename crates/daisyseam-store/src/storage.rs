//! What a log needs of its storage.

use crate::{
    EntryRecord,
    FolderIdentity,
    SnapshotRecord,
    StoreError,
    VoteRecord, //
};

/// What was durable when the storage was opened.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RecoveredState {
    /// Term and vote.
    pub vote: VoteRecord,
    /// The newest snapshot.
    pub snapshot: SnapshotRecord,
    /// The entries after it.
    pub entries: Vec<EntryRecord>,
}

/// Durable storage of one log.
///
/// After an error nothing written since the last [`LogStorage::sync`] may be acknowledged, and the
/// storage must be opened again.
pub trait LogStorage: Send + 'static {
    /// Replaces term and vote; durable after the next sync.
    fn save_vote(&mut self, vote: VoteRecord);

    /// Appends entries in place of everything from the first one's index on; durable after the
    /// next sync.
    fn append(&mut self, entries: Vec<EntryRecord>);

    /// Makes what was written since the last call durable.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when it is not, or not for certain.
    fn sync(&mut self) -> Result<(), StoreError>;

    /// Replaces the entries up to the snapshot's index by the snapshot, and with `whole` those
    /// after it too; durable on return, along with what was written before.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when it is not, or not for certain.
    fn save_snapshot(&mut self, snapshot: SnapshotRecord, whole: bool) -> Result<(), StoreError>;

    /// Drops the vote, the snapshot and all entries, and becomes another's; durable on return.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when it is not, or not for certain.
    fn begin_again(&mut self, identity: &FolderIdentity) -> Result<(), StoreError>;
}
