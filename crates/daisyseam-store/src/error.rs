//! Why the data folder cannot be used.

use displaydoc::Display;
use std::{
    error::Error,
    io,
    path::{
        Path,
        PathBuf, //
    }, //
};

/// Why the data folder cannot be used.
#[derive(Debug, Display)]
pub enum StoreError {
    /// {path}: {error}
    Io {
        /// File or folder.
        path: PathBuf,
        /// What the system said.
        error: io::Error,
    },
    /// {path}: the disk is full; nothing of this write was acknowledged: {error}
    Full {
        /// File.
        path: PathBuf,
        /// What the system said.
        error: io::Error,
    },
    /// {path}: damaged at offset {offset}: {reason}
    Damaged {
        /// File.
        path: PathBuf,
        /// Offset in bytes.
        offset: u64,
        /// What does not fit.
        reason: &'static str,
    },
    /// {path}: the folder belongs to {found}, this is {wanted}
    OtherOwner {
        /// Folder.
        path: PathBuf,
        /// Whose it is.
        found: String,
        /// Who asked.
        wanted: String,
    },
    /// {path}: format version {found} is newer than {known}
    FutureFormat {
        /// Folder.
        path: PathBuf,
        /// Version of the folder.
        found: u32,
        /// Newest version that is understood.
        known: u32,
    },
    /// {path}: another process uses the folder
    Locked {
        /// Folder.
        path: PathBuf,
    },
    /// an earlier write failed; the folder must be opened again
    Poisoned,
}

impl Error for StoreError {}

impl StoreError {
    /// Wraps what the system said about a file.
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
