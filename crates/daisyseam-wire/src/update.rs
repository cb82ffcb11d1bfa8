//! Encoded updates of the view, compressed above a size.

use crate::{
    ConvertError,
    DocumentPatch,
    FRAME_BYTES_MAX,
    HeartbeatReply,
    WireView, //
};
use bytes::Bytes;
use flate2::{
    Compression,
    read::{
        GzEncoder,
        MultiGzDecoder, //
    }, //
};
use std::io::{
    self,
    Read, //
};

/// Largest update, in bytes before compression; an uncompressed one has to fit into a frame.
pub const UPDATE_BYTES_MAX: usize = FRAME_BYTES_MAX;

/// Size from which a part of an update is compressed, in bytes. Smaller ones take only a few packets,
/// and most of them are sent to few instances.
const DEFLATED_BYTES_MIN: usize = 2_048;

/// The document of an update, encoded once for all updates that carry it.
///
/// Compressing a large document takes milliseconds. While a fleet restarts, each instance that joins
/// changes the view but not the document.
#[derive(Clone, Debug)]
pub struct EncodedDocument {
    /// A [`WireView`] with only the document.
    plain: Bytes,
    /// The same, compressed, if it is large.
    deflated: Option<Bytes>,
}

impl EncodedDocument {
    /// Encodes a document.
    pub fn new(patch: DocumentPatch) -> Self {
        let view = WireView {
            document: Some(patch),
            ..WireView::default()
        };
        let plain = view.encoded();
        let deflated = (plain.len() >= DEFLATED_BYTES_MIN).then(|| deflate(&plain));
        Self { plain, deflated }
    }
}

/// An encoded update, and whether it is compressed; cheap to clone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EncodedUpdate {
    /// An encoded [`WireView`].
    Plain(Bytes),
    /// An encoded [`WireView`] in one or more gzip members, whose contents follow each other.
    Deflated(Bytes),
}

impl EncodedUpdate {
    /// Encodes an update from its document, if it carries one, and its other fields.
    pub fn new(document: Option<&EncodedDocument>, others: &WireView) -> Self {
        let others = others.encoded();
        // Encoded messages that follow each other decode as one message with the fields of both.
        let Some(document) = document else {
            return Self::from_plain(others);
        };
        match &document.deflated {
            Some(deflated) => Self::Deflated([&deflate(&others)[..], deflated].concat().into()),
            None => Self::from_plain([&others[..], &document.plain].concat().into()),
        }
    }

    fn from_plain(plain: Bytes) -> Self {
        match plain.len() < DEFLATED_BYTES_MIN {
            true => Self::Plain(plain),
            false => Self::Deflated(deflate(&plain)),
        }
    }

    /// Returns the bytes that are sent.
    pub fn bytes(&self) -> &Bytes {
        match self {
            Self::Plain(bytes) | Self::Deflated(bytes) => bytes,
        }
    }

    /// Decodes the update.
    ///
    /// # Errors
    ///
    /// [`ConvertError::Compression`], [`ConvertError::Oversized`] or [`ConvertError::Encoding`] if the
    /// bytes are no update of at most [`UPDATE_BYTES_MAX`] bytes.
    pub fn decoded(&self) -> Result<WireView, ConvertError> {
        match self {
            Self::Plain(bytes) => WireView::from_encoded(bytes),
            Self::Deflated(bytes) => WireView::from_encoded(&inflate(bytes)?),
        }
    }
}

impl HeartbeatReply {
    /// Sets the update, in the field for its encoding.
    pub fn set_update(&mut self, update: Option<EncodedUpdate>) {
        (self.update, self.update_deflated) = match update {
            None => (None, None),
            Some(EncodedUpdate::Plain(bytes)) => (Some(bytes), None),
            Some(EncodedUpdate::Deflated(bytes)) => (None, Some(bytes)),
        };
    }

    /// Returns the update, if there is one.
    pub fn encoded_update(&self) -> Option<EncodedUpdate> {
        let deflated = self.update_deflated.clone().map(EncodedUpdate::Deflated);
        deflated.or_else(|| self.update.clone().map(EncodedUpdate::Plain))
    }
}

fn deflate(plain: &[u8]) -> Bytes {
    let mut deflated = Vec::new();
    GzEncoder::new(plain, Compression::default())
        .read_to_end(&mut deflated)
        .expect("reading from and writing to memory cannot fail");
    deflated.into()
}

/// Decompresses an update. No more than the maximum size is ever held, whatever the input claims.
fn inflate(deflated: &[u8]) -> Result<Bytes, ConvertError> {
    let mut plain = Vec::new();
    let limit = UPDATE_BYTES_MAX as u64 + 1;
    let read: io::Result<usize> = MultiGzDecoder::new(deflated)
        .take(limit)
        .read_to_end(&mut plain);
    read.map_err(|_| ConvertError::Compression)?;
    match plain.len() > UPDATE_BYTES_MAX {
        true => Err(ConvertError::Oversized(UPDATE_BYTES_MAX)),
        false => Ok(plain.into()),
    }
}
