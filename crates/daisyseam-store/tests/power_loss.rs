//! Recovery from unsynced file names and bytes that a power loss keeps or loses.

use daisyseam_model::{
    ClusterId,
    InstanceId, //
};
use daisyseam_store::{
    EntryRecord,
    FolderIdentity,
    FolderOwner,
    FolderStore,
    LogStorage,
    RecoveredState,
    SnapshotRecord,
    StoreError,
    VoteRecord, //
};
use proptest::prelude::*;
use std::{
    collections::BTreeMap,
    fs,
    path::Path, //
};
use test_case::test_case;

fn cluster() -> ClusterId {
    ClusterId::new("shellrest").expect("a valid name")
}

fn identity(instance: &str) -> FolderIdentity {
    let voters = ["m-1", "m-2"].map(|name| {
        let address = "10.0.0.1:7000".parse().expect("an address");
        (InstanceId::new(name).expect("a valid name"), address)
    });
    FolderIdentity {
        owner: FolderOwner {
            cluster: cluster(),
            instance: InstanceId::new(instance).expect("a valid name"),
        },
        voters: voters.to_vec(),
    }
}

type Opened = (FolderStore, FolderIdentity, RecoveredState);

/// Opens a folder; a new one is assigned to the named instance.
fn open_as(folder: &Path, instance: &str) -> Result<Opened, StoreError> {
    FolderStore::open_as_stored(folder, &cluster(), || identity(instance))
}

fn entry(index: u64, term: u64) -> EntryRecord {
    EntryRecord {
        index,
        term,
        kind: 1,
        payload: vec![7; 40],
    }
}

fn vote(term: u64) -> VoteRecord {
    VoteRecord {
        term,
        voted_for: "m-2".to_owned(),
    }
}

fn snapshot(index: u64, term: u64) -> SnapshotRecord {
    SnapshotRecord {
        index,
        term,
        ..SnapshotRecord::default()
    }
}

/// Returns the files of a folder except the lock.
fn files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let mut files = BTreeMap::new();
    for file in fs::read_dir(folder).expect("the file exists") {
        let file = file.expect("the entry is listed");
        let name = file.file_name().into_string().expect("a plain name");
        if name != "lock" {
            files.insert(name, fs::read(file.path()).expect("the file is read"));
        }
    }
    files
}

#[test]
fn a_folder_keeps_its_initial_name_and_voters() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("made/on/the/way");
    let (store, first, _) = open_as(&path, "m-1").expect("the folder opens");
    drop(store);
    let (_, second, _) = open_as(&path, "m-9").expect("the folder opens");
    assert_eq!(first, identity("m-1"));
    assert_eq!(second, first);
}

#[test]
fn a_folder_of_another_cluster_is_rejected() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    drop(open_as(folder.path(), "m-1").expect("the folder opens"));
    let other = ClusterId::new("other").expect("a valid name");
    let opened = FolderStore::open_as_stored(folder.path(), &other, || identity("m-1"));
    assert!(matches!(opened, Err(StoreError::OtherOwner { .. })));
}

/// A power loss may lose the file name of a segment, or keep the temporary file of an identity or a
/// snapshot, or an empty segment.
#[test_case(&["wal-0000000000000001"], &[]; "no segment")]
#[test_case(&[], &["identity.new"]; "an identity that was not renamed")]
#[test_case(&[], &["snapshot.new"]; "a snapshot that was not renamed")]
#[test_case(&[], &["wal-0000000000000002"]; "an empty segment")]
fn a_folder_opens_with_unsynced_file_names_lost_or_kept(lost: &[&str], kept: &[&str]) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    drop(open_as(folder.path(), "m-1").expect("the folder opens"));
    for name in lost {
        fs::remove_file(folder.path().join(name)).expect("the file exists");
    }
    for name in kept {
        fs::write(folder.path().join(name), b"").expect("the file is written");
    }
    let (mut store, found, recovered) = open_as(folder.path(), "m-9").expect("the folder opens");
    assert_eq!(found, identity("m-1"));
    assert_eq!(recovered, RecoveredState::default());
    store.save_vote(vote(3));
    store.sync().expect("the sync succeeds");
    drop(store);
    let (_, _, again) = open_as(folder.path(), "m-9").expect("the folder opens");
    assert_eq!(again.vote, vote(3));
}

#[test_case("wal-0000000000000001"; "a segment")]
#[test_case("snapshot"; "a snapshot")]
fn log_files_without_an_identity_are_rejected(name: &str) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (mut store, _, _) = open_as(folder.path(), "m-1").expect("the folder opens");
    store
        .save_snapshot(snapshot(3, 1), true)
        .expect("the snapshot is saved");
    drop(store);
    for (file, _) in files(folder.path()) {
        fs::remove_file(folder.path().join(file)).expect("the file exists");
    }
    fs::write(folder.path().join(name), b"").expect("the file is written");
    let opened = open_as(folder.path(), "m-1");
    assert!(matches!(opened, Err(StoreError::Damaged { .. })));
    assert!(
        !folder.path().join("identity").exists(),
        "no file is changed"
    );
}

/// A power loss may leave an unsynced frame complete, missing, zeroed, or partly written.
#[test_case(|_: &mut Vec<u8>, _| {}, true; "present")]
#[test_case(Vec::truncate, false; "missing")]
#[test_case(|bytes: &mut Vec<u8>, from| bytes[from..].fill(0), false; "zeros")]
#[test_case(|bytes: &mut Vec<u8>, from| bytes[from + 9..].fill(0), false; "only its start")]
#[test_case(|bytes: &mut Vec<u8>, from| bytes[from..from + 20].fill(0), false; "only its end")]
#[test_case(|bytes: &mut Vec<u8>, from| bytes[from + 55..from + 59].fill(0), false; "a hole in it")]
fn an_unsynced_frame_is_recovered_completely_or_not_at_all(
    tear: impl Fn(&mut Vec<u8>, usize),
    complete: bool,
) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (mut store, _, _) = open_as(folder.path(), "m-1").expect("the folder opens");
    store.append(vec![entry(1, 1)]);
    store.sync().expect("the sync succeeds");
    let segment = folder.path().join("wal-0000000000000001");
    let from = fs::read(&segment).expect("the file exists").len();
    store.save_vote(vote(2));
    store.append(vec![entry(2, 2)]);
    store.sync().expect("the sync succeeds");
    drop(store);
    let mut bytes = fs::read(&segment).expect("the file exists");
    tear(&mut bytes, from);
    fs::write(&segment, bytes).expect("the file is written");
    let (_, _, recovered) = open_as(folder.path(), "m-1").expect("the folder opens");
    assert_eq!(recovered.entries.len(), 1 + usize::from(complete));
    assert_eq!(recovered.vote.term, if complete { 2 } else { 0 });
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    /// A power loss may restore any subset of the removed segments.
    #[test]
    fn restored_segments_change_nothing(
        rounds in prop::collection::vec((1_u64..6, 1_u64..5, any::<bool>()), 1..5),
        kept in any::<u64>(),
    ) {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let (mut store, _, _) = open_as(folder.path(), "m-1").expect("the folder opens");
        let mut before = BTreeMap::new();
        let mut last = 0;
        for (term, (count, back, clear_log)) in (1..).zip(rounds) {
            store.save_vote(vote(term));
            store.append((last + 1..=last + count).map(|index| entry(index, term)).collect());
            store.sync().expect("the sync succeeds");
            last += count;
            before.append(&mut files(folder.path()));
            let index = last.saturating_sub(back).max(1);
            // A leader's snapshot may belong to a different history than the local entries.
            let other = if clear_log { 100 } else { 0 };
            store.save_snapshot(snapshot(index, term + other), clear_log).expect("the snapshot is saved");
            last = if clear_log { index } else { last };
        }
        drop(store);
        let expected = open_as(folder.path(), "m-1").expect("the folder opens").2;
        let present = files(folder.path());
        let removed = before.into_iter().filter(|(name, _)| !present.contains_key(name));
        for (number, (name, bytes)) in removed.enumerate() {
            if kept >> number & 1 == 1 {
                fs::write(folder.path().join(name), bytes).expect("the file is written");
            }
        }
        let found = open_as(folder.path(), "m-1").expect("the folder opens").2;
        prop_assert_eq!(found, expected);
    }

    /// A power loss during a reset may keep any of the old log files.
    #[test]
    fn an_interrupted_reset_never_recovers_the_old_log(kept in any::<u8>()) {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let (mut store, _, _) = open_as(folder.path(), "m-1").expect("the folder opens");
        store.append(vec![entry(1, 1), entry(2, 1)]);
        store.save_snapshot(snapshot(1, 1), false).expect("the snapshot is saved");
        store.save_vote(vote(4));
        store.sync().expect("the sync succeeds");
        let former = files(folder.path());
        store.reset(&identity("m-7")).expect("the reset succeeds");
        drop(store);
        let mark = "2 shellrest/m-7\nvoter m-1=10.0.0.1:7000\nvoter m-2=10.0.0.1:7000\nforget\n";
        fs::write(folder.path().join("identity"), mark).expect("the file is written");
        let logs = former.into_iter().filter(|(name, _)| name != "identity");
        for (number, (name, bytes)) in logs.enumerate() {
            if kept >> number & 1 == 1 {
                fs::write(folder.path().join(name), bytes).expect("the file is written");
            }
        }
        let (mut store, found, recovered) = open_as(folder.path(), "m-9").expect("the folder opens");
        prop_assert_eq!(found, identity("m-7"));
        prop_assert_eq!(recovered, RecoveredState::default());
        store.save_vote(vote(1));
        store.sync().expect("the sync succeeds");
        drop(store);
        let again = open_as(folder.path(), "m-9").expect("the folder opens").2;
        prop_assert_eq!(again.vote, vote(1));
    }
}

#[test]
fn a_folder_of_the_previous_format_is_read_and_updated() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (mut store, _, _) = open_as(folder.path(), "m-1").expect("the folder opens");
    store.append(vec![entry(1, 1)]);
    store.sync().expect("the sync succeeds");
    drop(store);
    let path = folder.path().join("identity");
    fs::write(&path, "1 shellrest/m-1\n").expect("the file is written");
    let (_, found, recovered) = open_as(folder.path(), "m-9").expect("the folder opens");
    assert_eq!((found.voters.len(), recovered.entries.len()), (0, 1));
    let text = fs::read_to_string(&path).expect("the file exists");
    assert_eq!(text, "2 shellrest/m-1\n");
}
