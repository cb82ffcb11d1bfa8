//! The start of a connection: TLS, start-up packet, key.

mod options;

pub(super) use self::options::StartupSettings;
use self::options::read_settings;
use super::{
    answer::{
        SendProgress,
        error_answer, //
    },
    codec::{
        CallerCodec,
        CallerFrame,
        FrameError, //
    },
    exchange::CallerStream,
    identity::{
        CallerIdentity,
        OPEN_USER,
        admit_keyed,
        is_out, //
    },
    key_guard::KeyGuard,
    server::CallerShared,
    session::CallerSession, //
};
use crate::{
    LinkBroker,
    RateGate, //
};
use daisyseam_model::{
    ErrorKind,
    RequestError,
    ServiceId,
    document::Document, //
};
use daisyseam_runtime::tune_caller_socket;
use futures_util::{
    SinkExt,
    StreamExt, //
};
use pgwire::messages::{
    PgWireBackendMessage,
    PgWireFrontendMessage,
    SslNegotiationMetaMessage,
    response::{
        GssEncResponse,
        SslResponse, //
    },
    startup::{
        Authentication,
        BackendKeyData,
        NegotiateProtocolVersion,
        ParameterStatus,
        PasswordMessageFamily,
        SecretKey,
        Startup, //
    }, //
};
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite, //
    },
    net::TcpStream, //
};
use zeroize::Zeroize;

/// Longest time from accepting a connection to the shown key.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);

/// First size of a connection's buffers, in bytes; they grow with need.
const BUFFER_BYTES: usize = 512;

/// Bytes that wait for a slow caller before nothing more is taken from the database.
const BACK_PRESSURE_BYTES: usize = 16 << 10;

/// Version that callers are told.
const SERVER_VERSION: &str = "16.0";

/// Why a connection ends before its first request.
#[derive(Debug)]
pub(super) enum StartupEnd {
    /// Nothing more is to be said.
    Closed,
    /// The caller is told why.
    Refused(RequestError),
}

impl From<ErrorKind> for StartupEnd {
    fn from(kind: ErrorKind) -> Self {
        Self::Refused(kind.into())
    }
}

impl From<FrameError> for StartupEnd {
    fn from(error: FrameError) -> Self {
        match error {
            FrameError::Io(error) => {
                log::debug!("a caller's connection broke: {error}");
                Self::Closed
            }
            FrameError::Request(error) => Self::Refused(error),
        }
    }
}

/// Serves one connection from its first byte to its last.
pub(super) async fn serve<B, G>(stream: TcpStream, shared: Arc<CallerShared<B, G>>)
where
    B: LinkBroker,
    G: RateGate,
{
    // Small answers must not wait for more; without it the connection still works.
    let _ = tune_caller_socket(&stream);
    let mut stream = CallerStream::with_capacity(stream, CallerCodec::new(), BUFFER_BYTES);
    stream.set_backpressure_boundary(BACK_PRESSURE_BYTES);
    let deadline = shared.context.timer.now() + STARTUP_TIMEOUT;
    let first = shared
        .context
        .timer
        .within(deadline, Box::pin(negotiate(&mut stream, &shared)))
        .await;
    match first {
        None => {}
        Some(Err(end)) => refuse(&mut stream, &shared, end).await,
        Some(Ok(FirstPacket::Startup(startup))) => open(stream, shared, startup, deadline).await,
        Some(Ok(FirstPacket::Tls)) => Box::pin(serve_tls(stream, shared, deadline)).await,
    }
}

enum FirstPacket {
    Startup(Startup),
    Tls,
}

/// Answers what may come before the start-up packet.
async fn negotiate<B, G, S>(
    stream: &mut CallerStream<S>,
    shared: &CallerShared<B, G>,
) -> Result<FirstPacket, StartupEnd>
where
    B: LinkBroker,
    G: RateGate,
    S: AsyncRead + AsyncWrite + Unpin,
{
    loop {
        match next_message(stream).await? {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresSsl(_)) => {
                if !stream.read_buffer().is_empty() {
                    let words = "bytes follow the request for TLS";
                    return Err(violation(words));
                }
                let accept = shared.context.tls.is_some();
                let answer = if accept {
                    SslResponse::Accept
                } else {
                    SslResponse::Refuse
                };
                stream
                    .send(PgWireBackendMessage::SslResponse(answer))
                    .await?;
                if accept {
                    return Ok(FirstPacket::Tls);
                }
            }
            PgWireFrontendMessage::SslNegotiation(_) => {
                let answer = PgWireBackendMessage::GssEncResponse(GssEncResponse::Refuse);
                stream.send(answer).await?;
            }
            PgWireFrontendMessage::CancelRequest(request) => {
                if let Some(secret) = request.secret_key.as_i32() {
                    shared.cancels.cancel(request.pid, secret);
                }
                return Err(StartupEnd::Closed);
            }
            PgWireFrontendMessage::Startup(startup) => return Ok(FirstPacket::Startup(startup)),
            _ => return Err(violation("a start-up packet is expected")),
        }
    }
}

async fn serve_tls<B, G>(
    stream: CallerStream<TcpStream>,
    shared: Arc<CallerShared<B, G>>,
    deadline: tokio::time::Instant,
) where
    B: LinkBroker,
    G: RateGate,
{
    let Some(acceptor) = shared.context.tls.clone() else {
        return;
    };
    let accepting = acceptor.accept(stream.into_inner());
    let accepted = shared.context.timer.within(deadline, accepting).await;
    let Some(Ok(stream)) = accepted else {
        shared.context.metrics.count("caller.tls_failures");
        return;
    };
    let mut stream = CallerStream::with_capacity(stream, CallerCodec::new(), BUFFER_BYTES);
    stream.set_backpressure_boundary(BACK_PRESSURE_BYTES);
    let first = shared
        .context
        .timer
        .within(deadline, next_message(&mut stream));
    match first.await {
        None => {}
        Some(Err(end)) => refuse(&mut stream, &shared, end).await,
        Some(Ok(PgWireFrontendMessage::Startup(startup))) => {
            open(stream, shared, startup, deadline).await;
        }
        Some(Ok(PgWireFrontendMessage::CancelRequest(request))) => {
            if let Some(secret) = request.secret_key.as_i32() {
                shared.cancels.cancel(request.pid, secret);
            }
        }
        Some(Ok(_)) => {
            let end = violation("a start-up packet is expected");
            refuse(&mut stream, &shared, end).await;
        }
    }
}

/// Admits the caller and runs its session.
async fn open<B, G, S>(
    mut stream: CallerStream<S>,
    shared: Arc<CallerShared<B, G>>,
    startup: Startup,
    deadline: tokio::time::Instant,
) where
    B: LinkBroker,
    G: RateGate,
    S: AsyncRead + AsyncWrite + Unpin,
{
    stream.codec_mut().end_startup();
    let admitting = Box::pin(admit(&mut stream, &shared, &startup));
    let admitted = shared.context.timer.within(deadline, admitting).await;
    let (identity, settings) = match admitted {
        None => return,
        Some(Err(end)) => return refuse(&mut stream, &shared, end).await,
        Some(Ok(admitted)) => admitted,
    };
    drop(startup);
    let ticket = shared.cancels.register();
    let mut session = CallerSession::new(stream, shared, identity, ticket);
    let started = Box::pin(greet(&mut session, settings)).await;
    match started {
        Ok(()) => session.run().await,
        Err(end) => {
            let shared = Arc::clone(&session.shared);
            refuse(&mut session.stream, &shared, end).await;
        }
    }
}

async fn admit<B, G, S>(
    stream: &mut CallerStream<S>,
    shared: &CallerShared<B, G>,
    startup: &Startup,
) -> Result<(CallerIdentity, StartupSettings), StartupEnd>
where
    B: LinkBroker,
    G: RateGate,
    S: AsyncRead + AsyncWrite + Unpin,
{
    if startup.protocol_number_minor != 0 {
        let version = NegotiateProtocolVersion::new(Startup::PROTOCOL_VERSION_3_0, Vec::new());
        let message = PgWireBackendMessage::NegotiateProtocolVersion(version);
        stream.feed(message).await?;
    }
    let settings = read_settings(startup)?;
    if shared.context.stop.is_stopping() {
        return Err(ErrorKind::Stopping.into());
    }
    let user = startup.parameters.get("user").map_or("", String::as_str);
    let key = if user == OPEN_USER {
        None
    } else {
        Some(ask_key(stream).await?)
    };
    let held = shared.context.view.held();
    if is_out(&held.view, shared.context.data_centre.as_str()) {
        return Err(ErrorKind::DataCentreOut.into());
    }
    // Whoever shows a key must be admitted by a view whose lease holds.
    let view = match &key {
        Some(_) => shared.context.view.valid()?,
        None => Arc::clone(&held.view),
    };
    let document = view.document.as_ref().ok_or(ErrorKind::NoView)?;
    if shared.connections() > document.limits.connections_per_instance {
        return Err(ErrorKind::TooManyConnections.into());
    }
    let database = startup
        .parameters
        .get("database")
        .map_or(user, String::as_str);
    let identity = identify(document, user, database, key.as_ref())?;
    stream.codec_mut().admit(document.limits.message_bytes, key);
    Ok((identity, settings))
}

fn identify(
    document: &Document,
    user: &str,
    database: &str,
    key: Option<&KeyGuard>,
) -> Result<CallerIdentity, StartupEnd> {
    let known = ServiceId::new(database)
        .ok()
        .filter(|service| document.services.contains_key(service));
    let Some(guard) = key else {
        let open = known.filter(|service| document.open_routes.contains_key(service));
        return match open {
            Some(service) => Ok(CallerIdentity {
                service,
                keyed: None,
            }),
            None => Err(ErrorKind::UnknownService.into()),
        };
    };
    match known {
        Some(service) => admit_keyed(document, user, service, guard).map_err(StartupEnd::Refused),
        // Only who holds a key of the organisation learns which services there are.
        None => {
            let organisation = document.organisations.get(user);
            let any = document.services.keys().next().cloned();
            match (organisation, any) {
                (Some(_), Some(any)) => match admit_keyed(document, user, any, guard) {
                    Err(error) if error.kind == ErrorKind::KeyRefused => {
                        Err(StartupEnd::Refused(error))
                    }
                    _ => Err(ErrorKind::UnknownService.into()),
                },
                _ => Err(ErrorKind::KeyRefused.into()),
            }
        }
    }
}

async fn ask_key<S>(stream: &mut CallerStream<S>) -> Result<KeyGuard, StartupEnd>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let ask = PgWireBackendMessage::Authentication(Authentication::CleartextPassword);
    stream.send(ask).await?;
    let answer = next_message(stream).await?;
    let PgWireFrontendMessage::PasswordMessageFamily(PasswordMessageFamily::Raw(mut body)) = answer
    else {
        return Err(violation("the key is expected as a password"));
    };
    let key = body.strip_suffix(&[0]).unwrap_or_default();
    let guard = KeyGuard::new(key);
    body.zeroize();
    guard.ok_or_else(|| ErrorKind::KeyRefused.into())
}

/// Tells the caller that it is admitted, and what it starts with.
async fn greet<B, G, S>(
    session: &mut CallerSession<B, G, S>,
    settings: StartupSettings,
) -> Result<(), StartupEnd>
where
    B: LinkBroker,
    G: RateGate,
    S: AsyncRead + AsyncWrite + Unpin,
{
    session
        .apply_startup_settings(settings)
        .map_err(StartupEnd::Refused)?;
    let stream = &mut session.stream;
    let admitted = PgWireBackendMessage::Authentication(Authentication::Ok);
    stream.feed(admitted).await?;
    for (name, value) in [
        ("server_version", SERVER_VERSION),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("IntervalStyle", "postgres"),
        ("TimeZone", "UTC"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
        ("is_superuser", "off"),
    ] {
        let status = ParameterStatus::new(name.to_owned(), value.to_owned());
        stream
            .feed(PgWireBackendMessage::ParameterStatus(status))
            .await?;
    }
    let secret = SecretKey::I32(session.ticket.secret);
    let data = BackendKeyData::new(session.ticket.process, secret);
    stream
        .feed(PgWireBackendMessage::BackendKeyData(data))
        .await?;
    Ok(())
}

async fn next_message<S>(stream: &mut CallerStream<S>) -> Result<PgWireFrontendMessage, StartupEnd>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    match stream.next().await {
        Some(Ok(CallerFrame::Message(message))) => Ok(message),
        Some(Ok(CallerFrame::Refused { error, .. })) => Err(StartupEnd::Refused(error)),
        Some(Err(error)) => Err(error.into()),
        None => Err(StartupEnd::Closed),
    }
}

async fn refuse<B, G, S>(stream: &mut CallerStream<S>, shared: &CallerShared<B, G>, end: StartupEnd)
where
    B: LinkBroker,
    G: RateGate,
    S: AsyncRead + AsyncWrite + Unpin,
{
    let StartupEnd::Refused(error) = end else {
        return;
    };
    shared.count_error(error.kind);
    // Before the first request the connection ends with every error.
    let answer = fatal(error_answer(&error, SendProgress::Unsent));
    let deadline = shared.context.timer.now() + STARTUP_TIMEOUT;
    // A caller that is gone needs no answer.
    let _ = shared
        .context
        .timer
        .within(deadline, stream.send(answer))
        .await;
}

/// Marks an answer as the last one on its connection.
pub(super) fn fatal(mut answer: PgWireBackendMessage) -> PgWireBackendMessage {
    if let PgWireBackendMessage::ErrorResponse(error) = &mut answer {
        for (_, value) in error
            .fields
            .iter_mut()
            .filter(|(code, _)| b"SV".contains(code))
        {
            *value = "FATAL".to_owned();
        }
    }
    answer
}

fn violation(words: &str) -> StartupEnd {
    StartupEnd::Refused(RequestError::new(ErrorKind::ProtocolViolation, words))
}
