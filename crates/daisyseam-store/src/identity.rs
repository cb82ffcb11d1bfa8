//! The owner of a folder, and the lock that limits it to one process.

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

/// Format version that this build writes.
pub const FORMAT_VERSION: u32 = 2;

const IDENTITY_FILE: &str = "identity";
const LOCK_FILE: &str = "lock";
/// First word of a line that names an initial voter.
const VOTER_LINE: &str = "voter";
/// Line that marks the log files as those of a previous identity, to be removed.
const FORGET_LINE: &str = "forget";

/// The instance that a folder belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FolderOwner {
    /// Cluster.
    pub cluster: ClusterId,
    /// Name of the instance.
    pub instance: InstanceId,
}

impl FolderOwner {
    fn to_line(&self) -> String {
        format!("{}/{}", self.cluster, self.instance)
    }

    fn parse(line: &str) -> Option<Self> {
        let (cluster, instance) = line.split_once('/')?;
        Some(Self {
            cluster: cluster.parse().ok()?,
            instance: instance.parse().ok()?,
        })
    }
}

/// The owner of a folder and the initial voters of its log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FolderIdentity {
    /// Instance that owns the folder.
    pub owner: FolderOwner,
    /// Initial voters of the cluster; empty for an instance that joined later.
    pub voters: Vec<(InstanceId, SocketAddr)>,
}

/// Content of the identity file.
pub(crate) struct StoredIdentity {
    pub(crate) identity: FolderIdentity,
    /// Whether the log files belong to a previous identity and must be removed.
    pub(crate) remove_log: bool,
    version: u32,
}

impl StoredIdentity {
    /// Writes the current format version to the folder; called before any other write.
    pub(crate) fn update_version(&self, folder: &Path) -> Result<(), StoreError> {
        if self.version == FORMAT_VERSION {
            return Ok(());
        }
        write_identity(folder, &self.identity, self.remove_log)
    }
}

/// Locks the folder for this process; dropping the file releases the lock.
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

/// Checks that the folder belongs to the owner; a new folder is assigned to it.
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
            found: found.to_line(),
            expected: owner.to_line(),
        });
    }
    stored.update_version(folder)
}

/// Reads the identity; `None` if the folder has none yet.
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
        reason: "the version and the owner cannot be read",
    };
    let (version, rest) = text.split_once(' ').ok_or_else(damaged)?;
    let version: u32 = version.parse().map_err(|_| damaged())?;
    if version > FORMAT_VERSION {
        return Err(StoreError::FutureFormat {
            path: folder.to_owned(),
            found: version,
            supported: FORMAT_VERSION,
        });
    }
    parse_identity(version, rest).map(Some).ok_or_else(damaged)
}

fn parse_identity(version: u32, text: &str) -> Option<StoredIdentity> {
    let mut lines = text.lines();
    let owner = FolderOwner::parse(lines.next()?)?;
    let mut voters = Vec::new();
    let mut remove_log = false;
    for line in lines {
        match line.split_once(' ') {
            Some((VOTER_LINE, voter)) => {
                let (name, address) = voter.split_once('=')?;
                voters.push((name.parse().ok()?, address.parse().ok()?));
            }
            None if line == FORGET_LINE => remove_log = true,
            _ => return None,
        }
    }
    let identity = FolderIdentity { owner, voters };
    Some(StoredIdentity {
        identity,
        remove_log,
        version,
    })
}

/// Writes the identity; it is durable on return.
pub(crate) fn write_identity(
    folder: &Path,
    identity: &FolderIdentity,
    remove_log: bool,
) -> Result<(), StoreError> {
    let mut text = format!("{FORMAT_VERSION} {}\n", identity.owner.to_line());
    for (name, address) in &identity.voters {
        text.push_str(&format!("{VOTER_LINE} {name}={address}\n"));
    }
    if remove_log {
        text.push_str(FORGET_LINE);
        text.push('\n');
    }
    write_durably(folder, IDENTITY_FILE, &[text.as_bytes()])
}

/// Writes and syncs a temporary file, renames it to its final name and syncs the folder.
pub(crate) fn write_durably(folder: &Path, name: &str, parts: &[&[u8]]) -> Result<(), StoreError> {
    let path = folder.join(name);
    let temporary = folder.join(format!("{name}.new"));
    let write = || -> io::Result<()> {
        let mut file = File::create(&temporary)?;
        for part in parts {
            file.write_all(part)?;
        }
        file.sync_all()?;
        fs::rename(&temporary, &path)?;
        sync_folder(folder)
    };
    write().map_err(|error| StoreError::io(&path, error))
}

/// Syncs a folder, which makes the file names in it durable.
pub(crate) fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}
