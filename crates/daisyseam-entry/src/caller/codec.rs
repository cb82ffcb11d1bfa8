//! Codec for PostgreSQL protocol messages on caller connections.

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

/// Maximum size of the startup packet, in bytes.
const STARTUP_BYTES_MAX: usize = 10_000;

/// Maximum size of a message before authentication, in bytes.
const PASSWORD_BYTES_MAX: usize = 4_096;

/// Size of the length field, in bytes.
const LENGTH_BYTES: usize = 4;

/// Size of tag and length field, in bytes.
const HEADER_BYTES: usize = 5;

/// A message from a caller.
#[derive(Debug)]
pub(super) enum CallerFrame {
    /// A valid message.
    Message(PgWireFrontendMessage),
    /// A message rejected with an error; the connection stays open.
    Refused {
        /// Whether messages are skipped up to the next `Sync`.
        extended: bool,
        /// Error sent to the caller.
        error: RequestError,
    },
}

/// Why reading from the connection failed.
#[derive(Debug)]
pub(super) enum FrameError {
    /// The connection failed.
    Io(io::Error),
    /// The caller violated the protocol.
    Request(RequestError),
}

impl From<io::Error> for FrameError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Decodes messages of the caller and encodes responses.
#[derive(Debug)]
pub(super) struct CallerCodec {
    context: DecodeContext,
    expects_startup: bool,
    message_bytes_max: usize,
    guard: Option<KeyGuard>,
}

impl CallerCodec {
    /// Creates a codec that expects a startup packet.
    pub(super) fn new() -> Self {
        let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        context.awaiting_frontend_ssl = false;
        context.awaiting_frontend_startup = false;
        Self {
            context,
            expects_startup: true,
            message_bytes_max: PASSWORD_BYTES_MAX,
            guard: None,
        }
    }

    /// Expects regular messages from now on.
    pub(super) fn end_startup(&mut self) {
        self.expects_startup = false;
    }

    /// Accepts messages up to a size from now on and rejects those that contain the caller's key.
    pub(super) fn end_authentication(&mut self, message_bytes_max: usize, guard: Option<KeyGuard>) {
        self.message_bytes_max = message_bytes_max;
        self.guard = guard;
    }

    fn decode_startup(&mut self, source: &mut BytesMut) -> Result<Option<CallerFrame>, FrameError> {
        let Some(length) = packet_length(source) else {
            return Ok(None);
        };
        if !(2 * LENGTH_BYTES..=STARTUP_BYTES_MAX).contains(&length) {
            return Err(protocol_violation("invalid length of the startup packet"));
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
        require_complete(message)
    }

    fn decode_message(&mut self, source: &mut BytesMut) -> Result<Option<CallerFrame>, FrameError> {
        if source.len() < HEADER_BYTES {
            return Ok(None);
        }
        let tag = source[0];
        if !b"QPBCDEfHSXpcd".contains(&tag) {
            return Err(protocol_violation("unknown message type"));
        }
        let Some(length) = packet_length(&source[1..]) else {
            return Ok(None);
        };
        if length < LENGTH_BYTES {
            return Err(protocol_violation("invalid message length"));
        }
        if length > self.message_bytes_max {
            let detail = format!(
                "{length} bytes exceed the limit of {}",
                self.message_bytes_max
            );
            let error = RequestError::new(ErrorKind::MessageTooLarge, detail);
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
        if !frame_check::is_well_formed(tag, body) {
            return Err(protocol_violation(
                "the message is not well-formed for its type",
            ));
        }
        let extended = tag != b'Q';
        if self
            .guard
            .as_ref()
            .is_some_and(|guard| guard.is_contained_in(body))
        {
            return Ok(Some(refused_frame(
                extended,
                ErrorKind::KeyInStatement.into(),
            )));
        }
        let has_text = matches!(tag, b'Q' | b'P');
        if has_text && std::str::from_utf8(statement_text(tag, body)).is_err() {
            let detail = "the statement is not valid UTF-8";
            let error = RequestError::new(ErrorKind::StatementUnclear, detail);
            return Ok(Some(refused_frame(extended, error)));
        }
        require_complete(PgWireFrontendMessage::decode(packet, &self.context))
    }
}

impl Decoder for CallerCodec {
    type Item = CallerFrame;
    type Error = FrameError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<CallerFrame>, FrameError> {
        if self.expects_startup {
            self.decode_startup(source)
        } else {
            self.decode_message(source)
        }
    }

    fn decode_eof(&mut self, source: &mut BytesMut) -> Result<Option<CallerFrame>, FrameError> {
        // A truncated message is dropped with the connection.
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
    // A negative length is mapped to a value above every limit.
    Some(usize::try_from(length).unwrap_or(usize::MAX))
}

/// Returns the part of the body that must be UTF-8; in `Parse`, parameter types follow it.
fn statement_text(tag: u8, body: &[u8]) -> &[u8] {
    let terminators = if tag == b'P' { 2 } else { 1 };
    let end = body
        .iter()
        .enumerate()
        .filter(|(_, byte)| **byte == 0)
        .nth(terminators - 1);
    end.map_or(body, |(end, _)| &body[..end])
}

fn require_complete(
    message: Result<Option<PgWireFrontendMessage>, PgWireError>,
) -> Result<Option<CallerFrame>, FrameError> {
    match message {
        Ok(Some(message)) => Ok(Some(CallerFrame::Message(message))),
        Ok(None) => Err(protocol_violation("the message is incomplete")),
        Err(error) => Err(protocol_violation(&error.to_string())),
    }
}

fn refused_frame(extended: bool, error: RequestError) -> CallerFrame {
    CallerFrame::Refused { extended, error }
}

fn protocol_violation(detail: &str) -> FrameError {
    FrameError::Request(RequestError::new(ErrorKind::ProtocolViolation, detail))
}
