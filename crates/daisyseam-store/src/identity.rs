//! Whose folder it is, and that only one process uses it.

use crate::StoreError;
use daisyseam_model::{
    ClusterId,
    InstanceId, //
};
use fs4::fs_std::FileExt;
use std::{
    fs::{
        self,
        File,
        OpenOptions, //
    },
    io::{
        self,
        Write, //
    },
    path::Path, //
};

/// Version of the files that this build writes.
pub const FORMAT_VERSION: u32 = 1;

const IDENTITY_FILE: &str = "identity";
const LOCK_FILE: &str = "lock";

/// The instance that a folder belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FolderOwner {
    /// Its cluster.
    pub cluster: ClusterId,
    /// Its name.
    pub instance: InstanceId,
}

impl FolderOwner {
    fn line(&self) -> String {
        format!("{}/{}", self.cluster, self.instance)
    }
}

/// Locks the folder for this process; the lock ends with the file.
pub(crate) fn lock_folder(folder: &Path) -> Result<File, StoreError> {
    let path = folder.join(LOCK_FILE);
    let file = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .map_err(|error| StoreError::io(&path, error))?;
    match file.try_lock_exclusive() {
        Ok(true) => Ok(file),
        Ok(false) => Err(StoreError::Locked {
            path: folder.to_owned(),
        }),
        Err(error) => Err(StoreError::io(&path, error)),
    }
}

/// Checks whose folder it is; a new folder becomes the asker's.
pub(crate) fn check_owner(folder: &Path, owner: &FolderOwner) -> Result<(), StoreError> {
    let path = folder.join(IDENTITY_FILE);
    match fs::read_to_string(&path) {
        Ok(text) => compare_owner(folder, &text, owner),
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            let text = format!("{FORMAT_VERSION} {}\n", owner.line());
            write_durably(folder, IDENTITY_FILE, &[text.as_bytes()])
        }
        Err(error) => Err(StoreError::io(&path, error)),
    }
}

fn compare_owner(folder: &Path, text: &str, owner: &FolderOwner) -> Result<(), StoreError> {
    let damaged = || StoreError::Damaged {
        path: folder.join(IDENTITY_FILE),
        offset: 0,
        reason: "no version and owner",
    };
    let (version, found) = text.trim_end().split_once(' ').ok_or_else(damaged)?;
    let version: u32 = version.parse().map_err(|_| damaged())?;
    if version > FORMAT_VERSION {
        return Err(StoreError::FutureFormat {
            path: folder.to_owned(),
            found: version,
            known: FORMAT_VERSION,
        });
    }
    if found != owner.line() {
        return Err(StoreError::OtherOwner {
            path: folder.to_owned(),
            found: found.to_owned(),
            wanted: owner.line(),
        });
    }
    Ok(())
}

/// Writes a file beside its place, syncs it, moves it there and syncs the folder.
pub(crate) fn write_durably(folder: &Path, name: &str, parts: &[&[u8]]) -> Result<(), StoreError> {
    let path = folder.join(name);
    let beside = folder.join(format!("{name}.new"));
    let write = || -> io::Result<()> {
        let mut file = File::create(&beside)?;
        for part in parts {
            file.write_all(part)?;
        }
        file.sync_all()?;
        fs::rename(&beside, &path)?;
        sync_folder(folder)
    };
    write().map_err(|error| StoreError::io(&path, error))
}

/// Makes the names in a folder durable.
pub(crate) fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}
