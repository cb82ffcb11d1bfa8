//! The store in a folder on disk.

use crate::{
    EntryRecord,
    FolderIdentity,
    FolderOwner,
    LogStorage,
    RecoveredState,
    SnapshotRecord,
    StoreError,
    VoteRecord,
    frame::{
        encode_frame,
        read_segment, //
    },
    identity::{
        check_owner,
        lock_folder,
        read_identity,
        sync_folder,
        write_identity, //
    },
    record::WalRecord,
    snapshot::{
        SNAPSHOT_FILE,
        read_snapshot,
        write_snapshot, //
    }, //
};
use daisyseam_model::ClusterId;
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
    path::{
        Path,
        PathBuf, //
    }, //
};

/// Size in bytes after which a new segment is started.
const SEGMENT_BYTES: u64 = 16 << 20;

/// A store in a folder on disk, used by one process at a time.
#[derive(Debug)]
pub struct FolderStore {
    folder: PathBuf,
    state: RecoveredState,
    pending: Vec<WalRecord>,
    segment: OpenSegment,
    poisoned: bool,
    /// Held for the life of the store; closing the file releases the lock.
    _lock: File,
}

#[derive(Debug)]
struct OpenSegment {
    number: u64,
    path: PathBuf,
    file: File,
    length: u64,
}

impl FolderStore {
    /// Opens or creates a folder and recovers its durable state.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the folder is damaged, in use, owned by another instance or of a newer
    /// format.
    pub fn open(folder: &Path, owner: &FolderOwner) -> Result<(Self, RecoveredState), StoreError> {
        create_folder(folder)?;
        let lock = lock_folder(folder)?;
        check_owner(folder, owner)?;
        Self::recover(folder, lock)
    }

    /// Opens a folder with its stored identity; a new folder gets the identity from `initial`, which
    /// becomes durable before any other write.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the folder is damaged, in use, part of another cluster or of a newer
    /// format.
    pub fn open_as_stored(
        folder: &Path,
        cluster: &ClusterId,
        initial: impl FnOnce() -> FolderIdentity,
    ) -> Result<(Self, FolderIdentity, RecoveredState), StoreError> {
        create_folder(folder)?;
        let lock = lock_folder(folder)?;
        let identity = match read_identity(folder)? {
            Some(stored) => {
                check_cluster(folder, &stored.identity.owner, cluster)?;
                stored.update_version(folder)?;
                if stored.remove_log {
                    remove_log(folder, &stored.identity)?;
                }
                stored.identity
            }
            None => {
                check_no_log(folder)?;
                let identity = initial();
                write_identity(folder, &identity, false)?;
                identity
            }
        };
        let (store, recovered) = Self::recover(folder, lock)?;
        Ok((store, identity, recovered))
    }

    fn recover(folder: &Path, lock: File) -> Result<(Self, RecoveredState), StoreError> {
        let mut state = RecoveredState {
            snapshot: read_snapshot(folder)?,
            ..RecoveredState::default()
        };
        let (segment, continues_snapshot) = recover_segments(folder, &mut state)?;
        let recovered = state.clone();
        let mut store = Self {
            folder: folder.to_owned(),
            state: with_vote_only(state),
            pending: Vec::new(),
            segment,
            poisoned: false,
            _lock: lock,
        };
        if !continues_snapshot {
            // The process crashed after saving a leader's snapshot and before removing the entries that
            // it replaced.
            store.rewrite_segments(Vec::new())?;
        }
        Ok((store, recovered))
    }

    fn write_pending(&mut self) -> Result<(), StoreError> {
        if self.poisoned {
            return Err(StoreError::Poisoned);
        }
        if self.pending.is_empty() {
            return Ok(());
        }
        let records = std::mem::take(&mut self.pending);
        let frame = encode_frame(&records);
        let written = self.segment.file.write_all(&frame);
        let synced = written.and_then(|()| self.segment.file.sync_data());
        if let Err(error) = synced {
            // The content of the file is unknown until the folder is read again.
            self.poisoned = true;
            return Err(StoreError::io(&self.segment.path, error));
        }
        self.segment.length += frame.len() as u64;
        if self.segment.length > SEGMENT_BYTES {
            self.start_segment()?;
        }
        Ok(())
    }

    fn start_segment(&mut self) -> Result<(), StoreError> {
        let number = self.segment.number + 1;
        match open_segment(&self.folder, number, 0) {
            Ok(segment) => self.segment = segment,
            Err(error) => {
                self.poisoned = true;
                return Err(error);
            }
        }
        Ok(())
    }

    fn replace_by_snapshot(
        &mut self,
        snapshot: SnapshotRecord,
        clear_log: bool,
    ) -> Result<(), StoreError> {
        self.write_pending()?;
        write_snapshot(&self.folder, &snapshot)?;
        let index = if clear_log { u64::MAX } else { snapshot.index };
        let kept = self.read_entries_after(index)?;
        self.rewrite_segments(kept)
    }

    /// Starts a segment with the vote and the given entries, then removes the older segments.
    fn rewrite_segments(&mut self, kept: Vec<EntryRecord>) -> Result<(), StoreError> {
        let old = self.segment.number;
        self.start_segment()?;
        let vote = self.state.vote.clone();
        // A power loss may undo the removal of any older segment, so the new one clears its entries.
        self.pending = vec![WalRecord::ClearEntries, WalRecord::Vote(vote)];
        self.pending.extend(kept.into_iter().map(WalRecord::Entry));
        self.write_pending()?;
        // The older segments are no longer needed.
        remove_segments(&self.folder, old)
    }

    /// Reads the entries after an index from the segments.
    fn read_entries_after(&self, index: u64) -> Result<Vec<EntryRecord>, StoreError> {
        let mut state = RecoveredState::default();
        state.snapshot.index = index;
        for (number, path) in list_segments(&self.folder)? {
            let bytes = fs::read(&path).map_err(|error| StoreError::io(&path, error))?;
            let content = read_segment(&path, &bytes, number == self.segment.number)?;
            replay(&mut state, content.records);
        }
        Ok(state.entries)
    }
}

impl LogStorage for FolderStore {
    fn save_vote(&mut self, vote: VoteRecord) {
        self.state.vote = vote.clone();
        self.pending.push(WalRecord::Vote(vote));
    }

    fn append(&mut self, entries: Vec<EntryRecord>) {
        self.pending
            .extend(entries.into_iter().map(WalRecord::Entry));
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        self.write_pending()
    }

    fn save_snapshot(
        &mut self,
        snapshot: SnapshotRecord,
        clear_log: bool,
    ) -> Result<(), StoreError> {
        let replaced = self.replace_by_snapshot(snapshot, clear_log);
        self.poisoned |= replaced.is_err();
        replaced
    }

    fn reopen(&mut self) -> Result<RecoveredState, StoreError> {
        self.poisoned = true;
        self.pending.clear();
        let mut state = RecoveredState {
            snapshot: read_snapshot(&self.folder)?,
            ..RecoveredState::default()
        };
        let (segment, _) = recover_segments(&self.folder, &mut state)?;
        let recovered = state.clone();
        let entries = std::mem::take(&mut state.entries);
        self.segment = segment;
        self.state = with_vote_only(state);
        self.poisoned = false;
        // After a failed sync, what is read may be in memory only, so all of it is written anew.
        let rewritten = self.rewrite_segments(entries);
        self.poisoned = rewritten.is_err();
        rewritten.map(|()| recovered)
    }

    fn reset(&mut self, identity: &FolderIdentity) -> Result<(), StoreError> {
        // If this is interrupted, the mark in the identity file makes the next open remove the log
        // files.
        self.poisoned = true;
        self.pending.clear();
        write_identity(&self.folder, identity, true)?;
        remove_log(&self.folder, identity)?;
        self.state = RecoveredState::default();
        self.segment = open_segment(&self.folder, 1, 0)?;
        self.poisoned = false;
        Ok(())
    }
}

/// Creates a folder and makes its name durable.
fn create_folder(folder: &Path) -> Result<(), StoreError> {
    if folder.is_dir() {
        return Ok(());
    }
    fs::create_dir_all(folder).map_err(|error| StoreError::io(folder, error))?;
    for parent in folder.ancestors().skip(1) {
        // A parent that cannot be synced belongs to another user, who has made its name durable.
        if parent.as_os_str().is_empty() || sync_folder(parent).is_err() {
            break;
        }
    }
    Ok(())
}

fn check_cluster(
    folder: &Path,
    owner: &FolderOwner,
    cluster: &ClusterId,
) -> Result<(), StoreError> {
    if owner.cluster == *cluster {
        return Ok(());
    }
    Err(StoreError::OtherOwner {
        path: folder.to_owned(),
        found: owner.cluster.to_string(),
        expected: cluster.to_string(),
    })
}

/// Rejects log files without an identity, which is written before them and so has been lost.
fn check_no_log(folder: &Path) -> Result<(), StoreError> {
    let segments = list_segments(folder)?;
    let snapshot = folder.join(SNAPSHOT_FILE);
    let found = segments.into_iter().map(|(_, path)| path).next();
    match found.or_else(|| snapshot.exists().then_some(snapshot)) {
        None => Ok(()),
        Some(path) => Err(StoreError::Damaged {
            path,
            offset: 0,
            reason: "the identity file is missing",
        }),
    }
}

/// Removes the log files of a previous identity, then the mark in the identity file.
fn remove_log(folder: &Path, identity: &FolderIdentity) -> Result<(), StoreError> {
    match fs::remove_file(folder.join(SNAPSHOT_FILE)) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => {
            return Err(StoreError::io(folder, error));
        }
        _ => {}
    }
    remove_segments(folder, u64::MAX)?;
    write_identity(folder, identity, false)
}

/// Keeps only the vote; the store does not need the rest after recovery.
fn with_vote_only(state: RecoveredState) -> RecoveredState {
    RecoveredState {
        vote: state.vote,
        ..RecoveredState::default()
    }
}

/// Replays the segments; returns whether their entries continue from the snapshot.
fn recover_segments(
    folder: &Path,
    state: &mut RecoveredState,
) -> Result<(OpenSegment, bool), StoreError> {
    let segments = list_segments(folder)?;
    let last = segments.last().map_or(1, |(number, _)| *number);
    let mut length = 0;
    let mut boundary = None;
    for (number, path) in segments {
        let bytes = fs::read(&path).map_err(|error| StoreError::io(&path, error))?;
        let content = read_segment(&path, &bytes, number == last)?;
        boundary = boundary_term(boundary, state.snapshot.index, &content.records);
        if content.length < bytes.len() as u64 {
            let torn = bytes.len() as u64 - content.length;
            log::warn!(
                "{}: dropped {torn} unsynced bytes at the end",
                path.display()
            );
        }
        length = content.length;
        replay(state, content.records);
    }
    let continues_snapshot = boundary.is_none_or(|term| term == state.snapshot.term);
    if !continues_snapshot {
        state.entries.clear();
    }
    Ok((open_segment(folder, last, length)?, continues_snapshot))
}

/// Returns the term of the last entry with an index, unless later records clear it.
fn boundary_term(before: Option<u64>, index: u64, records: &[WalRecord]) -> Option<u64> {
    records
        .iter()
        .fold(before, |boundary, record| match record {
            WalRecord::ClearEntries => None,
            WalRecord::Entry(entry) if entry.index == index => Some(entry.term),
            _ => boundary,
        })
}

fn replay(state: &mut RecoveredState, records: Vec<WalRecord>) {
    for record in records {
        match record {
            WalRecord::Vote(vote) => state.vote = vote,
            WalRecord::Entry(entry) => replay_entry(state, entry),
            WalRecord::ClearEntries => state.entries.clear(),
        }
    }
}

fn replay_entry(state: &mut RecoveredState, entry: EntryRecord) {
    if entry.index <= state.snapshot.index {
        // An entry that the snapshot covers has still replaced all entries after it.
        state.entries.clear();
        return;
    }
    let first = state
        .entries
        .first()
        .map_or(entry.index, |first| first.index);
    let keep = usize::try_from(entry.index.saturating_sub(first)).unwrap_or(usize::MAX);
    state.entries.truncate(keep);
    state.entries.push(entry);
}

fn open_segment(folder: &Path, number: u64, length: u64) -> Result<OpenSegment, StoreError> {
    let path = folder.join(segment_name(number));
    let open = || -> io::Result<File> {
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        file.set_len(length)?;
        file.sync_all()?;
        sync_folder(folder)?;
        Ok(file)
    };
    let file = open().map_err(|error| StoreError::io(&path, error))?;
    Ok(OpenSegment {
        number,
        path,
        file,
        length,
    })
}

fn segment_name(number: u64) -> String {
    format!("wal-{number:016}")
}

fn list_segments(folder: &Path) -> Result<Vec<(u64, PathBuf)>, StoreError> {
    let list = || -> io::Result<Vec<(u64, PathBuf)>> {
        let mut segments = Vec::new();
        for file in fs::read_dir(folder)? {
            let file = file?;
            let name = file.file_name();
            let number = name.to_str().and_then(|name| name.strip_prefix("wal-"));
            if let Some(number) = number.and_then(|number| number.parse().ok()) {
                segments.push((number, file.path()));
            }
        }
        segments.sort_unstable();
        Ok(segments)
    };
    list().map_err(|error| StoreError::io(folder, error))
}

fn remove_segments(folder: &Path, up_to: u64) -> Result<(), StoreError> {
    for (number, path) in list_segments(folder)? {
        if number <= up_to {
            fs::remove_file(&path).map_err(|error| StoreError::io(&path, error))?;
        }
    }
    sync_folder(folder).map_err(|error| StoreError::io(folder, error))
}
