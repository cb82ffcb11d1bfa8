//! What a power loss may leave of names and bytes that no sync covered.

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
    ClusterId::new("shellrest").expect("a sound name")
}

fn identity(instance: &str) -> FolderIdentity {
    let voters = ["m-1", "m-2"].map(|name| {
        let address = "10.0.0.1:7000".parse().expect("an address");
        (InstanceId::new(name).expect("a sound name"), address)
    });
    FolderIdentity {
        owner: FolderOwner {
            cluster: cluster(),
            instance: InstanceId::new(instance).expect("a sound name"),
        },
        voters: voters.to_vec(),
    }
}

type Opened = (FolderStore, FolderIdentity, RecoveredState);

/// Opens a folder; a new one becomes the named instance's.
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

/// Returns the files of a folder but for the lock.
fn files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let mut files = BTreeMap::new();
    for file in fs::read_dir(folder).expect("it is there") {
        let file = file.expect("it is listed");
        let name = file.file_name().into_string().expect("a plain name");
        if name != "lock" {
            files.insert(name, fs::read(file.path()).expect("it is read"));
        }
    }
    files
}

#[test]
fn a_folder_keeps_the_name_and_voters_that_it_was_first_given() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("made/on/the/way");
    let (store, first, _) = open_as(&path, "m-1").expect("it opens");
    drop(store);
    let (_, second, _) = open_as(&path, "m-9").expect("it opens");
    assert_eq!(first, identity("m-1"));
    assert_eq!(second, first);
}

#[test]
fn a_folder_of_another_cluster_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    drop(open_as(folder.path(), "m-1").expect("it opens"));
    let other = ClusterId::new("other").expect("a sound name");
    let opened = FolderStore::open_as_stored(folder.path(), &other, || identity("m-1"));
    assert!(matches!(opened, Err(StoreError::OtherOwner { .. })));
}

/// The name of the segment, or of the file that was to become the identity or the snapshot, is
/// not kept or is kept although it was of no use any more.
#[test_case(&["wal-0000000000000001"], &[]; "no segment")]
#[test_case(&[], &["identity.new"]; "an identity that was not moved")]
#[test_case(&[], &["snapshot.new"]; "a snapshot that was not moved")]
#[test_case(&[], &["wal-0000000000000002"]; "a segment in which nothing is written")]
fn a_folder_opens_whatever_became_of_names_that_no_sync_covered(gone: &[&str], left: &[&str]) {
    let folder = tempfile::tempdir().expect("a folder");
    drop(open_as(folder.path(), "m-1").expect("it opens"));
    for name in gone {
        fs::remove_file(folder.path().join(name)).expect("it is there");
    }
    for name in left {
        fs::write(folder.path().join(name), b"").expect("it is written");
    }
    let (mut store, found, recovered) = open_as(folder.path(), "m-9").expect("it opens");
    assert_eq!(found, identity("m-1"));
    assert_eq!(recovered, RecoveredState::default());
    store.save_vote(vote(3));
    store.sync().expect("it is synced");
    drop(store);
    let (_, _, again) = open_as(folder.path(), "m-9").expect("it opens");
    assert_eq!(again.vote, vote(3));
}

#[test_case("wal-0000000000000001"; "a segment")]
#[test_case("snapshot"; "a snapshot")]
fn log_files_without_an_identity_are_refused(name: &str) {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut store, _, _) = open_as(folder.path(), "m-1").expect("it opens");
    store
        .save_snapshot(snapshot(3, 1), true)
        .expect("it is saved");
    drop(store);
    for (file, _) in files(folder.path()) {
        fs::remove_file(folder.path().join(file)).expect("it is there");
    }
    fs::write(folder.path().join(name), b"").expect("it is written");
    let opened = open_as(folder.path(), "m-1");
    assert!(matches!(opened, Err(StoreError::Damaged { .. })));
    assert!(
        !folder.path().join("identity").exists(),
        "nothing is changed"
    );
}

/// The unsynced frame is there, not there, zeros, or partly each.
#[test_case(|_: &mut Vec<u8>, _| {}, true; "present")]
#[test_case(Vec::truncate, false; "missing")]
#[test_case(|bytes: &mut Vec<u8>, from| bytes[from..].fill(0), false; "zeros")]
#[test_case(|bytes: &mut Vec<u8>, from| bytes[from + 9..].fill(0), false; "only its start")]
#[test_case(|bytes: &mut Vec<u8>, from| bytes[from..from + 20].fill(0), false; "only its end")]
#[test_case(|bytes: &mut Vec<u8>, from| bytes[from + 55..from + 59].fill(0), false; "a hole in it")]
fn an_unsynced_frame_is_whole_or_not_there(tear: impl Fn(&mut Vec<u8>, usize), whole: bool) {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut store, _, _) = open_as(folder.path(), "m-1").expect("it opens");
    store.append(vec![entry(1, 1)]);
    store.sync().expect("it is synced");
    let segment = folder.path().join("wal-0000000000000001");
    let from = fs::read(&segment).expect("it is there").len();
    store.save_vote(vote(2));
    store.append(vec![entry(2, 2)]);
    store.sync().expect("it is synced");
    drop(store);
    let mut bytes = fs::read(&segment).expect("it is there");
    tear(&mut bytes, from);
    fs::write(&segment, bytes).expect("it is written");
    let (_, _, recovered) = open_as(folder.path(), "m-1").expect("it opens");
    assert_eq!(recovered.entries.len(), 1 + usize::from(whole));
    assert_eq!(recovered.vote.term, if whole { 2 } else { 0 });
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    /// Segments that were removed come back one by one, as the power loss likes it.
    #[test]
    fn removed_segments_that_come_back_change_nothing(
        rounds in prop::collection::vec((1_u64..6, 1_u64..5, any::<bool>()), 1..5),
        kept in any::<u64>(),
    ) {
        let folder = tempfile::tempdir().expect("a folder");
        let (mut store, _, _) = open_as(folder.path(), "m-1").expect("it opens");
        let mut before = BTreeMap::new();
        let mut last = 0;
        for (term, (count, back, whole)) in (1..).zip(rounds) {
            store.save_vote(vote(term));
            store.append((last + 1..=last + count).map(|index| entry(index, term)).collect());
            store.sync().expect("it is synced");
            last += count;
            before.append(&mut files(folder.path()));
            let index = last.saturating_sub(back).max(1);
            // A leader's snapshot is of another history than the entries here.
            let other = if whole { 100 } else { 0 };
            store.save_snapshot(snapshot(index, term + other), whole).expect("it is saved");
            last = if whole { index } else { last };
        }
        drop(store);
        let expected = open_as(folder.path(), "m-1").expect("it opens").2;
        let present = files(folder.path());
        let removed = before.into_iter().filter(|(name, _)| !present.contains_key(name));
        for (number, (name, bytes)) in removed.enumerate() {
            if kept >> number & 1 == 1 {
                fs::write(folder.path().join(name), bytes).expect("it is written");
            }
        }
        let found = open_as(folder.path(), "m-1").expect("it opens").2;
        prop_assert_eq!(found, expected);
    }

    /// A folder begins again: whatever is left of the former log is of no use.
    #[test]
    fn a_folder_that_begins_again_forgets_the_former_log_at_any_point(kept in any::<u8>()) {
        let folder = tempfile::tempdir().expect("a folder");
        let (mut store, _, _) = open_as(folder.path(), "m-1").expect("it opens");
        store.append(vec![entry(1, 1), entry(2, 1)]);
        store.save_snapshot(snapshot(1, 1), false).expect("it is saved");
        store.save_vote(vote(4));
        store.sync().expect("it is synced");
        let former = files(folder.path());
        store.begin_again(&identity("m-7")).expect("it begins again");
        drop(store);
        let mark = "2 shellrest/m-7\nvoter m-1=10.0.0.1:7000\nvoter m-2=10.0.0.1:7000\nforget\n";
        fs::write(folder.path().join("identity"), mark).expect("it is written");
        let logs = former.into_iter().filter(|(name, _)| name != "identity");
        for (number, (name, bytes)) in logs.enumerate() {
            if kept >> number & 1 == 1 {
                fs::write(folder.path().join(name), bytes).expect("it is written");
            }
        }
        let (mut store, found, recovered) = open_as(folder.path(), "m-9").expect("it opens");
        prop_assert_eq!(found, identity("m-7"));
        prop_assert_eq!(recovered, RecoveredState::default());
        store.save_vote(vote(1));
        store.sync().expect("it is synced");
        drop(store);
        let again = open_as(folder.path(), "m-9").expect("it opens").2;
        prop_assert_eq!(again.vote, vote(1));
    }
}

#[test]
fn a_folder_of_the_former_format_is_read_and_marked() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut store, _, _) = open_as(folder.path(), "m-1").expect("it opens");
    store.append(vec![entry(1, 1)]);
    store.sync().expect("it is synced");
    drop(store);
    let path = folder.path().join("identity");
    fs::write(&path, "1 shellrest/m-1\n").expect("it is written");
    let (_, found, recovered) = open_as(folder.path(), "m-9").expect("it opens");
    assert_eq!((found.voters.len(), recovered.entries.len()), (0, 1));
    let text = fs::read_to_string(&path).expect("it is there");
    assert_eq!(text, "2 shellrest/m-1\n");
}
