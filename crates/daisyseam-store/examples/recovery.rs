//! Prints how long syncs take and how long a folder of 100,000 entries takes to open.
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
const ENTRIES: u64 = 100_000;
/// Entries in one sync.
const BATCH: u64 = 100;
/// Bytes of one entry's payload.
const PAYLOAD: usize = 100;

fn main() -> Result<(), Box<dyn Error>> {
    let folder = std::env::args().nth(1).ok_or("name a folder")?;
    let folder = PathBuf::from(folder);
    let owner = FolderOwner {
        cluster: ClusterId::new("shellrest")?,
        instance: InstanceId::new("control-1")?,
    };
    let (mut store, _) = FolderStore::open(&folder, &owner)?;
    let mut syncs = Vec::new();
    for batch in 0..ENTRIES / BATCH {
        let first = batch * BATCH + 1;
        let entries = (first..first + BATCH).map(|index| EntryRecord {
            index,
            term: 1,
            kind: 1,
            payload: vec![b'x'; PAYLOAD],
        });
        store.append(entries.collect());
        let begun = Instant::now();
        store.sync()?;
        syncs.push(begun.elapsed());
    }
    drop(store);
    syncs.sort_unstable();
    println!(
        "sync p50 {:?}, p99 {:?}",
        syncs[syncs.len() / 2],
        syncs[syncs.len() * 99 / 100]
    );
    let begun = Instant::now();
    let (_, recovered) = FolderStore::open(&folder, &owner)?;
    println!(
        "{} entries recovered in {:?}",
        recovered.entries.len(),
        begun.elapsed()
    );
    Ok(())
}
