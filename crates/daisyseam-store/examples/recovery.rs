//! Measures the duration of a sync and the time to open a folder of 100,000 entries.
//!
//! `cargo run --release -p daisyseam-store --example recovery -- FOLDER`

use daisyseam_model::{
    ClusterId,
    InstanceId, //
};
use daisyseam_store::{
    EntryRecord,
    FolderOwner,
    FolderStore,
    LogStorage, //
};
use std::{
    error::Error,
    path::PathBuf,
    time::Instant, //
};

/// Entries in the folder.
const ENTRY_COUNT: u64 = 100_000;
/// Entries in one sync.
const ENTRIES_PER_SYNC: u64 = 100;
/// Bytes in the payload of one entry.
const PAYLOAD_BYTES: usize = 100;

fn main() -> Result<(), Box<dyn Error>> {
    let folder = std::env::args()
        .nth(1)
        .ok_or("the argument FOLDER is missing")?;
    let folder = PathBuf::from(folder);
    let owner = FolderOwner {
        cluster: ClusterId::new("shellrest")?,
        instance: InstanceId::new("control-1")?,
    };
    let (mut store, _) = FolderStore::open(&folder, &owner)?;
    let mut syncs = Vec::new();
    for batch in 0..ENTRY_COUNT / ENTRIES_PER_SYNC {
        let first = batch * ENTRIES_PER_SYNC + 1;
        let entries = (first..first + ENTRIES_PER_SYNC).map(|index| EntryRecord {
            index,
            term: 1,
            kind: 1,
            payload: vec![b'x'; PAYLOAD_BYTES],
        });
        store.append(entries.collect());
        let started = Instant::now();
        store.sync()?;
        syncs.push(started.elapsed());
    }
    drop(store);
    syncs.sort_unstable();
    println!(
        "sync p50 {:?}, p99 {:?}",
        syncs[syncs.len() / 2],
        syncs[syncs.len() * 99 / 100]
    );
    let started = Instant::now();
    let (_, recovered) = FolderStore::open(&folder, &owner)?;
    println!(
        "{} entries recovered in {:?}",
        recovered.entries.len(),
        started.elapsed()
    );
    Ok(())
}
