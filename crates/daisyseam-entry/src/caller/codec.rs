//! Frames of the PostgreSQL protocol on the caller's connection.

use super::{
    frame_check,
    key_guard::KeyGuard, //
};
use bytes::{
    Buf,
    BytesMut, //
};
use daisyseam_model::{
    ErrorKind,
    RequestError, //
};
use pgwire::{
    error::PgWireError,
    messages::{
        DecodeContext,
        Message,
        PgWireBackendMessage,
        PgWireFrontendMessage,
        ProtocolVersion,
        SslNegotiationMetaMessage,
        cancel::CancelRequest,
        startup::{
            GssEncRequest,
            SslRequest,
            Startup, //
        }, //
    }, //
};
use std::io;
use tokio_util::codec::{
    Decoder,
    Encoder, //
};

/// Largest start-up packet, in bytes.
const STARTUP_BYTES_MAX: usize = 10_000;

/// Largest message before the caller has shown its key, in bytes.
const PASSWORD_BYTES_MAX: usize = 4_096;

/// Length of the length field, in bytes.
const LENGTH_BYTES: usize = 4;

/// Length of tag and length field, in bytes.
const HEADER_BYTES: usize = 5;

/// One message of a caller.
#[derive(Debug)]
pub(super) enum CallerFrame {
    /// A message that may be acted on.
    Message(PgWireFrontendMessage),
    /// A message that is answered with an error; the connection goes on.
    Refused {
        /// Whether everything up to the next `Sync` is skipped.
        extended: bool,
        /// The answer.
        error: RequestError,
    },
}

/// Why no further message can be read.
#[derive(Debug)]
pub(super) enum FrameError {
    /// The connection broke.
    Io(io::Error),
    /// The caller does not follow the protocol.
    Request(RequestError),
}

impl From<io::Error> for FrameError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Cuts messages out of the stream and writes answers into it.
#[derive(Debug)]
pub(super) struct CallerCodec {
    context: DecodeContext,
    starting: bool,
    bytes_max: usize,
    guard: Option<KeyGuard>,
}

impl CallerCodec {
    /// Makes a codec that waits for the start-up packet.
    pub(super) fn new() -> Self {
        let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        context.awaiting_frontend_ssl = false;
        context.awaiting_frontend_startup = false;
        Self {
            context,
            starting: true,
            bytes_max: PASSWORD_BYTES_MAX,
            guard: None,
        }
    }

    /// Expects ordinary messages from now on.
    pub(super) fn end_startup(&mut self) {
        self.starting = false;
    }

    /// Admits messages up to a size, and none that holds the caller's key.
    pub(super) fn admit(&mut self, bytes_max: usize, guard: Option<KeyGuard>) {
        self.bytes_max = bytes_max;
        self.guard = guard;
    }

    fn decode_startup(&mut self, source: &mut BytesMut) -> Result<Option<CallerFrame>, FrameError> {
        let Some(length) = packet_length(source) else {
            return Ok(None);
        };
        if !(2 * LENGTH_BYTES..=STARTUP_BYTES_MAX).contains(&length) {
            return Err(violation("the length of the start-up packet is not valid"));
        }
        if source.len() < length {
            return Ok(None);
        }
        let mut packet = source.split_to(length);
        let message = if SslRequest::is_ssl_request_packet(&packet) {
            let request = SslNegotiationMetaMessage::PostgresSsl(SslRequest::new());
            Ok(Some(PgWireFrontendMessage::SslNegotiation(request)))
        } else if GssEncRequest::is_gss_enc_request_packet(&packet) {
            let request = SslNegotiationMetaMessage::PostgresGss(GssEncRequest::new());
            Ok(Some(PgWireFrontendMessage::SslNegotiation(request)))
        } else if CancelRequest::is_cancel_request_packet(&packet) {
            CancelRequest::decode(&mut packet, &self.context)
                .map(|request| request.map(PgWireFrontendMessage::CancelRequest))
        } else {
            Startup::decode(&mut packet, &self.context)
                .map(|startup| startup.map(PgWireFrontendMessage::Startup))
        };
        whole(message)
    }

    fn decode_message(&mut self, source: &mut BytesMut) -> Result<Option<CallerFrame>, FrameError> {
        if source.len() < HEADER_BYTES {
            return Ok(None);
        }
        let tag = source[0];
        if !b"QPBCDEfHSXpcd".contains(&tag) {
            return Err(violation("the message type is not known"));
        }
        let Some(length) = packet_length(&source[1..]) else {
            return Ok(None);
        };
        if length < LENGTH_BYTES {
            return Err(violation("the length of the message is not valid"));
        }
        if length > self.bytes_max {
            let words = format!("{length} bytes, at most {} are taken", self.bytes_max);
            let error = RequestError::new(ErrorKind::MessageTooLarge, words);
            return Err(FrameError::Request(error));
        }
        if source.len() < length + 1 {
            return Ok(None);
        }
        let mut packet = source.split_to(length + 1);
        self.read_packet(tag, &mut packet)
    }

    fn read_packet(
        &self,
        tag: u8,
        packet: &mut BytesMut,
    ) -> Result<Option<CallerFrame>, FrameError> {
        let body = &packet[HEADER_BYTES..];
        if !frame_check::is_sound(tag, body) {
            return Err(violation("the message does not have the shape of its type"));
        }
        let extended = tag != b'Q';
        if self
            .guard
            .as_ref()
            .is_some_and(|guard| guard.is_contained_in(body))
        {
            return Ok(Some(refused(extended, ErrorKind::KeyInStatement.into())));
        }
        let textual = matches!(tag, b'Q' | b'P');
        if textual && std::str::from_utf8(text_part(tag, body)).is_err() {
            let words = "the statement is not valid UTF-8";
            let error = RequestError::new(ErrorKind::StatementUnclear, words);
            return Ok(Some(refused(extended, error)));
        }
        whole(PgWireFrontendMessage::decode(packet, &self.context))
    }
}

impl Decoder for CallerCodec {
    type Item = CallerFrame;
    type Error = FrameError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<CallerFrame>, FrameError> {
        if self.starting {
            self.decode_startup(source)
        } else {
            self.decode_message(source)
        }
    }

    fn decode_eof(&mut self, source: &mut BytesMut) -> Result<Option<CallerFrame>, FrameError> {
        // A message that was cut off is dropped with its connection.
        self.decode(source)
    }
}

impl Encoder<PgWireBackendMessage> for CallerCodec {
    type Error = FrameError;

    fn encode(
        &mut self,
        message: PgWireBackendMessage,
        target: &mut BytesMut,
    ) -> Result<(), FrameError> {
        message
            .encode(target)
            .map_err(|error| FrameError::Io(io::Error::other(error)))
    }
}

fn packet_length(mut bytes: &[u8]) -> Option<usize> {
    let length = bytes.try_get_i32().ok()?;
    // A negative length becomes one that no limit admits.
    Some(usize::try_from(length).unwrap_or(usize::MAX))
}

/// Returns the part of the body that must be text; parameter types follow it in `Parse`.
fn text_part(tag: u8, body: &[u8]) -> &[u8] {
    let ends = if tag == b'P' { 2 } else { 1 };
    let end = body
        .iter()
        .enumerate()
        .filter(|(_, byte)| **byte == 0)
        .nth(ends - 1);
    end.map_or(body, |(end, _)| &body[..end])
}

fn whole(
    message: Result<Option<PgWireFrontendMessage>, PgWireError>,
) -> Result<Option<CallerFrame>, FrameError> {
    match message {
        Ok(Some(message)) => Ok(Some(CallerFrame::Message(message))),
        Ok(None) => Err(violation("the message is shorter than it says")),
        Err(error) => Err(violation(&error.to_string())),
    }
}

fn refused(extended: bool, error: RequestError) -> CallerFrame {
    CallerFrame::Refused { extended, error }
}

fn violation(words: &str) -> FrameError {
    FrameError::Request(RequestError::new(ErrorKind::ProtocolViolation, words))
}
