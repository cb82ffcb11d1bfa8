//! The data folder of a control instance: write-ahead log, snapshots, recovery.
//!
//! [`FolderStore`] keeps a term, a vote, a snapshot and the entries after it under one folder.
//! Writes are buffered and become durable together in [`LogStorage::sync`]: one frame with one
//! checksum, so that a crash leaves either all of them or none.

mod error;
mod folder;
mod frame;
mod identity;
mod memory;
mod record;
mod snapshot;
mod storage;

pub use crate::{
    error::StoreError,
    folder::FolderStore,
    identity::{
        FORMAT_VERSION,
        FolderIdentity,
        FolderOwner, //
    },
    memory::{
        MemoryDisk,
        MemoryStore, //
    },
    record::{
        EntryRecord,
        SnapshotRecord,
        VoteRecord, //
    },
    storage::{
        LogStorage,
        RecoveredState, //
    }, //
};
