//! Frames of a segment: magic bytes, length and checksum, then the records of one sync.

use crate::{
    StoreError,
    record::{
        ByteReader,
        WalRecord, //
    }, //
};
use std::path::Path;

/// First bytes of every frame.
const MAGIC: [u8; 4] = *b"dsf1";
/// Bytes before the records: magic bytes, length, checksum.
const HEADER_BYTES: usize = 12;

/// Encodes records as one frame.
pub(crate) fn encode_frame(records: &[WalRecord]) -> Vec<u8> {
    let mut body = Vec::new();
    for record in records {
        record.encode(&mut body);
    }
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend_from_slice(&MAGIC);
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    frame.extend_from_slice(&body);
    frame
}

/// Content of the complete frames of a segment.
pub(crate) struct SegmentContent {
    pub(crate) records: Vec<WalRecord>,
    /// Length in bytes of the complete frames; anything after them is a torn tail.
    pub(crate) length: u64,
}

/// Decodes a segment; only the last one may have a torn tail.
pub(crate) fn read_segment(
    path: &Path,
    bytes: &[u8],
    last: bool,
) -> Result<SegmentContent, StoreError> {
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let Some(body) = body_at(bytes, offset) else {
            // At most one frame is unsynced at a time, so a valid frame after it proves damage.
            if last && !has_frame_after(bytes, offset) {
                break;
            }
            return Err(damaged(
                path,
                offset,
                "incomplete frame or checksum mismatch",
            ));
        };
        let mut reader = ByteReader::new(body);
        while !reader.is_empty() {
            let record = WalRecord::decode(&mut reader);
            let record =
                record.ok_or_else(|| damaged(path, offset, "a record cannot be decoded"))?;
            records.push(record);
        }
        offset += HEADER_BYTES + body.len();
    }
    Ok(SegmentContent {
        records,
        length: offset as u64,
    })
}

/// Returns the records of the frame at an offset, if it is complete and its checksum matches.
fn body_at(bytes: &[u8], offset: usize) -> Option<&[u8]> {
    let frame = bytes.get(offset..)?.strip_prefix(&MAGIC)?;
    let mut reader = ByteReader::new(frame);
    let length = usize::try_from(reader.u32()?).ok()?;
    let checksum = reader.u32()?;
    let body = frame.get(8..8_usize.checked_add(length)?)?;
    (crc32fast::hash(body) == checksum).then_some(body)
}

fn has_frame_after(bytes: &[u8], offset: usize) -> bool {
    let starts = offset + 1..bytes.len().saturating_sub(HEADER_BYTES - 1);
    starts
        .filter(|start| bytes[*start..].starts_with(&MAGIC))
        .any(|start| body_at(bytes, start).is_some_and(|body| !body.is_empty()))
}

fn damaged(path: &Path, offset: usize, reason: &'static str) -> StoreError {
    StoreError::Damaged {
        path: path.to_owned(),
        offset: offset as u64,
        reason,
    }
}
