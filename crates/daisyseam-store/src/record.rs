//! The stored records and their encoding.

/// Term and vote.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VoteRecord {
    /// Highest term seen.
    pub term: u64,
    /// Candidate that received the vote in that term; empty if none did.
    pub voted_for: String,
}

/// One entry of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryRecord {
    /// Index in the log.
    pub index: u64,
    /// Term of the leader that created it.
    pub term: u64,
    /// Kind, as numbered by the log that uses the store.
    pub kind: u8,
    /// Encoded content.
    pub payload: Vec<u8>,
}

/// A snapshot of the state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SnapshotRecord {
    /// Last index that it covers; 0 if there is no snapshot.
    pub index: u64,
    /// Term at that index.
    pub term: u64,
    /// Encoded members as of that index.
    pub members: Vec<u8>,
    /// Encoded state.
    pub bytes: Vec<u8>,
}

const TAG_VOTE: u8 = 1;
const TAG_ENTRY: u8 = 2;
const TAG_CLEAR_ENTRIES: u8 = 3;

/// One record in a frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum WalRecord {
    Vote(VoteRecord),
    Entry(EntryRecord),
    /// Discards all entries before it.
    ClearEntries,
}

impl WalRecord {
    pub(crate) fn encode(&self, out: &mut Vec<u8>) {
        match self {
            Self::Vote(vote) => {
                out.push(TAG_VOTE);
                put_u64(out, vote.term);
                put_bytes(out, vote.voted_for.as_bytes());
            }
            Self::Entry(entry) => {
                out.push(TAG_ENTRY);
                put_u64(out, entry.index);
                put_u64(out, entry.term);
                out.push(entry.kind);
                put_bytes(out, &entry.payload);
            }
            Self::ClearEntries => out.push(TAG_CLEAR_ENTRIES),
        }
    }

    /// Decodes the next record; `None` if the bytes are not a valid one.
    pub(crate) fn decode(reader: &mut ByteReader<'_>) -> Option<Self> {
        match reader.u8()? {
            TAG_VOTE => Some(Self::Vote(VoteRecord {
                term: reader.u64()?,
                voted_for: String::from_utf8(reader.bytes()?.to_vec()).ok()?,
            })),
            TAG_ENTRY => Some(Self::Entry(EntryRecord {
                index: reader.u64()?,
                term: reader.u64()?,
                kind: reader.u8()?,
                payload: reader.bytes()?.to_vec(),
            })),
            TAG_CLEAR_ENTRIES => Some(Self::ClearEntries),
            _ => None,
        }
    }
}

/// Decodes numbers and byte strings from a slice.
pub(crate) struct ByteReader<'a> {
    rest: &'a [u8],
}

impl<'a> ByteReader<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        Self { rest: bytes }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    pub(crate) fn rest(&self) -> &'a [u8] {
        self.rest
    }

    pub(crate) fn u8(&mut self) -> Option<u8> {
        self.take(1).map(|bytes| bytes[0])
    }

    pub(crate) fn u32(&mut self) -> Option<u32> {
        let bytes = self.take(4)?;
        Some(u32::from_le_bytes(bytes.try_into().ok()?))
    }

    pub(crate) fn u64(&mut self) -> Option<u64> {
        let bytes = self.take(8)?;
        Some(u64::from_le_bytes(bytes.try_into().ok()?))
    }

    pub(crate) fn bytes(&mut self) -> Option<&'a [u8]> {
        let length = usize::try_from(self.u32()?).ok()?;
        self.take(length)
    }

    fn take(&mut self, length: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.rest.split_at_checked(length)?;
        self.rest = rest;
        Some(taken)
    }
}

pub(crate) fn put_u64(out: &mut Vec<u8>, value: u64) {
    out.extend_from_slice(&value.to_le_bytes());
}

/// Writes a byte string; the length field of the frame limits it to 4 GiB.
pub(crate) fn put_bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(bytes);
}
