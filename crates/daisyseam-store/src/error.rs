//! Errors of the data folder.

use displaydoc::Display;
use std::{
    error::Error,
    io,
    path::{
        Path,
        PathBuf, //
    }, //
};

/// An error of the data folder.
#[derive(Debug, Display)]
pub enum StoreError {
    /// {path}: {error}
    Io {
        /// File or folder.
        path: PathBuf,
        /// Error from the operating system.
        error: io::Error,
    },
    /// {path}: the disk is full; no part of this write was acknowledged: {error}
    Full {
        /// File.
        path: PathBuf,
        /// Error from the operating system.
        error: io::Error,
    },
    /// {path}: damaged at offset {offset}: {reason}
    Damaged {
        /// File.
        path: PathBuf,
        /// Offset in bytes.
        offset: u64,
        /// What is wrong there.
        reason: &'static str,
    },
    /// {path}: the folder belongs to {found}, not to {expected}
    OtherOwner {
        /// Folder.
        path: PathBuf,
        /// Owner that the folder records.
        found: String,
        /// Owner that it was opened for.
        expected: String,
    },
    /// {path}: format version {found} is newer than the supported version {supported}
    FutureFormat {
        /// Folder.
        path: PathBuf,
        /// Version of the folder.
        found: u32,
        /// Newest version that this build reads.
        supported: u32,
    },
    /// {path}: the folder is in use by another process
    Locked {
        /// Folder.
        path: PathBuf,
    },
    /// an earlier write failed; the folder must be reopened
    Poisoned,
}

impl Error for StoreError {}

impl StoreError {
    /// Returns whether the store can be used again once the disk has room.
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Full { .. })
    }

    /// Wraps an I/O error for a path.
    pub(crate) fn io(path: &Path, error: io::Error) -> Self {
        let path = path.to_owned();
        match error.kind() {
            io::ErrorKind::StorageFull
            | io::ErrorKind::QuotaExceeded
            | io::ErrorKind::FileTooLarge => Self::Full { path, error },
            _ => Self::Io { path, error },
        }
    }
}
