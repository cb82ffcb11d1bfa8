//! The snapshot file.

use crate::{
    SnapshotRecord,
    StoreError,
    identity::write_durably,
    record::{
        ByteReader,
        put_bytes,
        put_u64, //
    }, //
};
use std::{
    fs,
    io,
    path::Path, //
};

pub(crate) const SNAPSHOT_FILE: &str = "snapshot";
/// First bytes of the file.
const MAGIC: [u8; 4] = *b"dss1";
/// Bytes before the body: magic bytes and checksum.
const HEADER_BYTES: usize = 8;

/// Replaces the snapshot file; the new one is durable on return.
pub(crate) fn write_snapshot(folder: &Path, snapshot: &SnapshotRecord) -> Result<(), StoreError> {
    let mut head = Vec::new();
    put_u64(&mut head, snapshot.index);
    put_u64(&mut head, snapshot.term);
    put_bytes(&mut head, &snapshot.members);
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&head);
    hasher.update(&snapshot.bytes);
    let checksum = hasher.finalize().to_le_bytes();
    write_durably(
        folder,
        SNAPSHOT_FILE,
        &[&MAGIC, &checksum, &head, &snapshot.bytes],
    )
}

/// Reads the snapshot; returns an empty one if there is no file.
pub(crate) fn read_snapshot(folder: &Path) -> Result<SnapshotRecord, StoreError> {
    let path = folder.join(SNAPSHOT_FILE);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            return Ok(SnapshotRecord::default());
        }
        Err(error) => return Err(StoreError::io(&path, error)),
    };
    decode_snapshot(&bytes).map_err(|(offset, reason)| StoreError::Damaged {
        path,
        offset,
        reason,
    })
}

fn decode_snapshot(bytes: &[u8]) -> Result<SnapshotRecord, (u64, &'static str)> {
    let body = bytes
        .get(HEADER_BYTES..)
        .ok_or((0, "the file is too short"))?;
    if bytes[..4] != MAGIC {
        return Err((0, "not a snapshot file"));
    }
    if crc32fast::hash(body).to_le_bytes() != bytes[4..HEADER_BYTES] {
        return Err((HEADER_BYTES as u64, "checksum mismatch"));
    }
    let mut reader = ByteReader::new(body);
    let mut read = || -> Option<SnapshotRecord> {
        Some(SnapshotRecord {
            index: reader.u64()?,
            term: reader.u64()?,
            members: reader.bytes()?.to_vec(),
            bytes: reader.rest().to_vec(),
        })
    };
    read().ok_or((HEADER_BYTES as u64, "the header cannot be decoded"))
}
