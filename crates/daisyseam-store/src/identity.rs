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
    net::SocketAddr,
    path::Path, //
};

/// Version of the files that this build writes.
pub const FORMAT_VERSION: u32 = 2;

const IDENTITY_FILE: &str = "identity";
const LOCK_FILE: &str = "lock";
/// Start of a line that names a first voter.
const VOTER_LINE: &str = "voter";
/// The line that says that the log files are those of a former identity.
const FORGET_LINE: &str = "forget";

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

    fn read(line: &str) -> Option<Self> {
        let (cluster, instance) = line.split_once('/')?;
        Some(Self {
            cluster: cluster.parse().ok()?,
            instance: instance.parse().ok()?,
        })
    }
}

/// Whose folder it is, and with whom its log began.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FolderIdentity {
    /// The instance.
    pub owner: FolderOwner,
    /// The first voters of the whole system; none for an instance that was taken in later.
    pub voters: Vec<(InstanceId, SocketAddr)>,
}

/// What the identity file says.
pub(crate) struct StoredIdentity {
    pub(crate) identity: FolderIdentity,
    /// Whether the log files are those of a former identity.
    pub(crate) forget: bool,
    version: u32,
}

impl StoredIdentity {
    /// Says, before anything else is written, that this version has written here.
    pub(crate) fn bring_up_to_date(&self, folder: &Path) -> Result<(), StoreError> {
        if self.version == FORMAT_VERSION {
            return Ok(());
        }
        write_identity(folder, &self.identity, self.forget)
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
    let Some(stored) = read_identity(folder)? else {
        let identity = FolderIdentity {
            owner: owner.clone(),
            voters: Vec::new(),
        };
        return write_identity(folder, &identity, false);
    };
    let found = &stored.identity.owner;
    if found != owner {
        return Err(StoreError::OtherOwner {
            path: folder.to_owned(),
            found: found.line(),
            wanted: owner.line(),
        });
    }
    stored.bring_up_to_date(folder)
}

/// Reads the identity; nothing if the folder has none yet.
pub(crate) fn read_identity(folder: &Path) -> Result<Option<StoredIdentity>, StoreError> {
    let path = folder.join(IDENTITY_FILE);
    let text = match fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(StoreError::io(&path, error)),
    };
    let damaged = || StoreError::Damaged {
        path: path.clone(),
        offset: 0,
        reason: "no version and owner",
    };
    let (version, rest) = text.split_once(' ').ok_or_else(damaged)?;
    let version: u32 = version.parse().map_err(|_| damaged())?;
    if version > FORMAT_VERSION {
        return Err(StoreError::FutureFormat {
            path: folder.to_owned(),
            found: version,
            known: FORMAT_VERSION,
        });
    }
    parse_identity(version, rest).map(Some).ok_or_else(damaged)
}

fn parse_identity(version: u32, text: &str) -> Option<StoredIdentity> {
    let mut lines = text.lines();
    let owner = FolderOwner::read(lines.next()?)?;
    let mut voters = Vec::new();
    let mut forget = false;
    for line in lines {
        match line.split_once(' ') {
            Some((VOTER_LINE, voter)) => {
                let (name, address) = voter.split_once('=')?;
                voters.push((name.parse().ok()?, address.parse().ok()?));
            }
            None if line == FORGET_LINE => forget = true,
            _ => return None,
        }
    }
    let identity = FolderIdentity { owner, voters };
    Some(StoredIdentity {
        identity,
        forget,
        version,
    })
}

/// Writes the identity; it is durable on return.
pub(crate) fn write_identity(
    folder: &Path,
    identity: &FolderIdentity,
    forget: bool,
) -> Result<(), StoreError> {
    let mut text = format!("{FORMAT_VERSION} {}\n", identity.owner.line());
    for (name, address) in &identity.voters {
        text.push_str(&format!("{VOTER_LINE} {name}={address}\n"));
    }
    if forget {
        text.push_str(FORGET_LINE);
        text.push('\n');
    }
    write_durably(folder, IDENTITY_FILE, &[text.as_bytes()])
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
