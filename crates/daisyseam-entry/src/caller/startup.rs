//! Connection startup: TLS negotiation, startup packet and authentication.

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
        authenticate_key,
        is_out_of_service, //
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

/// Time allowed from accepting a connection to receiving the key, and for sending a startup error.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);

/// Initial capacity of a connection's buffers, in bytes; they grow on demand.
const BUFFER_BYTES: usize = 512;

/// Bytes buffered for a slow caller before reading from the database pauses.
const BACK_PRESSURE_BYTES: usize = 16 << 10;

/// Server version reported to callers.
const SERVER_VERSION: &str = "16.0";

/// Why a connection ended before its first request.
#[derive(Debug)]
pub(super) enum StartupError {
    /// Closed without an error response.
    Closed,
    /// Rejected with an error response.
    Refused(RequestError),
}

impl From<ErrorKind> for StartupError {
    fn from(kind: ErrorKind) -> Self {
        Self::Refused(kind.into())
    }
}

impl From<FrameError> for StartupError {
    fn from(error: FrameError) -> Self {
        match error {
            FrameError::Io(error) => {
                log::debug!("caller connection failed: {error}");
                Self::Closed
            }
            FrameError::Request(error) => Self::Refused(error),
        }
    }
}

/// Serves one connection until it closes.
pub(super) async fn serve<B, G>(stream: TcpStream, shared: Arc<CallerShared<B, G>>)
where
    B: LinkBroker,
    G: RateGate,
{
    // Small responses must not be delayed; the connection also works if this fails.
    let _ = tune_caller_socket(&stream);
    let mut stream = CallerStream::with_capacity(stream, CallerCodec::new(), BUFFER_BYTES);
    stream.set_backpressure_boundary(BACK_PRESSURE_BYTES);
    let deadline = shared.context.timer.now() + STARTUP_TIMEOUT;
    let packet = shared
        .context
        .timer
        .within(deadline, Box::pin(negotiate(&mut stream, &shared)))
        .await;
    match packet {
        None => {}
        Some(Err(error)) => send_startup_error(&mut stream, &shared, error).await,
        Some(Ok(FirstPacket::Startup(startup))) => {
            start_session(stream, shared, startup, deadline).await
        }
        Some(Ok(FirstPacket::Tls)) => Box::pin(serve_tls(stream, shared, deadline)).await,
    }
}

enum FirstPacket {
    Startup(Startup),
    Tls,
}

/// Handles TLS, GSS and cancel requests that precede the startup packet.
async fn negotiate<B, G, S>(
    stream: &mut CallerStream<S>,
    shared: &CallerShared<B, G>,
) -> Result<FirstPacket, StartupError>
where
    B: LinkBroker,
    G: RateGate,
    S: AsyncRead + AsyncWrite + Unpin,
{
    loop {
        match next_message(stream).await? {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresSsl(_)) => {
                if !stream.read_buffer().is_empty() {
                    let detail = "unexpected data after the TLS request";
                    return Err(protocol_violation(detail));
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
                return Err(StartupError::Closed);
            }
            PgWireFrontendMessage::Startup(startup) => return Ok(FirstPacket::Startup(startup)),
            _ => return Err(protocol_violation("expected a startup packet")),
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
    let packet = shared
        .context
        .timer
        .within(deadline, next_message(&mut stream));
    match packet.await {
        None => {}
        Some(Err(error)) => send_startup_error(&mut stream, &shared, error).await,
        Some(Ok(PgWireFrontendMessage::Startup(startup))) => {
            start_session(stream, shared, startup, deadline).await;
        }
        Some(Ok(PgWireFrontendMessage::CancelRequest(request))) => {
            if let Some(secret) = request.secret_key.as_i32() {
                shared.cancels.cancel(request.pid, secret);
            }
        }
        Some(Ok(_)) => {
            let error = protocol_violation("expected a startup packet");
            send_startup_error(&mut stream, &shared, error).await;
        }
    }
}

/// Authenticates the caller and runs its session.
async fn start_session<B, G, S>(
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
    let authenticating = Box::pin(authenticate(&mut stream, &shared, &startup));
    let authenticated = shared.context.timer.within(deadline, authenticating).await;
    let (identity, settings) = match authenticated {
        None => return,
        Some(Err(error)) => return send_startup_error(&mut stream, &shared, error).await,
        Some(Ok(authenticated)) => authenticated,
    };
    drop(startup);
    let cancel_registration = shared.cancels.register();
    let mut session = CallerSession::new(stream, shared, identity, cancel_registration);
    let started = Box::pin(complete_startup(&mut session, settings)).await;
    match started {
        Ok(()) => session.run().await,
        Err(error) => {
            let shared = Arc::clone(&session.shared);
            send_startup_error(&mut session.stream, &shared, error).await;
        }
    }
}

async fn authenticate<B, G, S>(
    stream: &mut CallerStream<S>,
    shared: &CallerShared<B, G>,
    startup: &Startup,
) -> Result<(CallerIdentity, StartupSettings), StartupError>
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
        Some(request_key(stream).await?)
    };
    let held = shared.context.view.held();
    if is_out_of_service(&held.view, shared.context.data_centre.as_str()) {
        return Err(ErrorKind::DataCentreOut.into());
    }
    // A key may only be accepted under a valid view lease.
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
    let identity = resolve_identity(document, user, database, key.as_ref())?;
    stream
        .codec_mut()
        .end_authentication(document.limits.message_bytes, key);
    Ok((identity, settings))
}

fn resolve_identity(
    document: &Document,
    user: &str,
    database: &str,
    key: Option<&KeyGuard>,
) -> Result<CallerIdentity, StartupError> {
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
        Some(service) => {
            authenticate_key(document, user, service, guard).map_err(StartupError::Refused)
        }
        // Only a caller with a valid key of the organisation may learn that a service is unknown.
        None => {
            let organisation = document.organisations.get(user);
            let any_service = document.services.keys().next().cloned();
            match (organisation, any_service) {
                (Some(_), Some(any_service)) => {
                    match authenticate_key(document, user, any_service, guard) {
                        Err(error) if error.kind == ErrorKind::KeyRefused => {
                            Err(StartupError::Refused(error))
                        }
                        _ => Err(ErrorKind::UnknownService.into()),
                    }
                }
                _ => Err(ErrorKind::KeyRefused.into()),
            }
        }
    }
}

async fn request_key<S>(stream: &mut CallerStream<S>) -> Result<KeyGuard, StartupError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let request = PgWireBackendMessage::Authentication(Authentication::CleartextPassword);
    stream.send(request).await?;
    let answer = next_message(stream).await?;
    let PgWireFrontendMessage::PasswordMessageFamily(PasswordMessageFamily::Raw(mut body)) = answer
    else {
        return Err(protocol_violation(
            "expected a password message that contains the key",
        ));
    };
    let key = body.strip_suffix(&[0]).unwrap_or_default();
    let guard = KeyGuard::new(key);
    body.zeroize();
    guard.ok_or_else(|| ErrorKind::KeyRefused.into())
}

/// Applies the startup settings and sends `AuthenticationOk`, parameters and cancel key data.
async fn complete_startup<B, G, S>(
    session: &mut CallerSession<B, G, S>,
    settings: StartupSettings,
) -> Result<(), StartupError>
where
    B: LinkBroker,
    G: RateGate,
    S: AsyncRead + AsyncWrite + Unpin,
{
    session
        .apply_startup_settings(settings)
        .map_err(StartupError::Refused)?;
    let stream = &mut session.stream;
    let authenticated = PgWireBackendMessage::Authentication(Authentication::Ok);
    stream.feed(authenticated).await?;
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
    let secret = SecretKey::I32(session.cancel_registration.secret);
    let data = BackendKeyData::new(session.cancel_registration.process_id, secret);
    stream
        .feed(PgWireBackendMessage::BackendKeyData(data))
        .await?;
    Ok(())
}

async fn next_message<S>(
    stream: &mut CallerStream<S>,
) -> Result<PgWireFrontendMessage, StartupError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    match stream.next().await {
        Some(Ok(CallerFrame::Message(message))) => Ok(message),
        Some(Ok(CallerFrame::Refused { error, .. })) => Err(StartupError::Refused(error)),
        Some(Err(error)) => Err(error.into()),
        None => Err(StartupError::Closed),
    }
}

async fn send_startup_error<B, G, S>(
    stream: &mut CallerStream<S>,
    shared: &CallerShared<B, G>,
    error: StartupError,
) where
    B: LinkBroker,
    G: RateGate,
    S: AsyncRead + AsyncWrite + Unpin,
{
    let StartupError::Refused(error) = error else {
        return;
    };
    shared.count_error(error.kind);
    // Every error before the first request closes the connection.
    let answer = mark_fatal(error_answer(&error, SendProgress::Unsent));
    let deadline = shared.context.timer.now() + STARTUP_TIMEOUT;
    // Ignores failures, since the caller may have disconnected.
    let _ = shared
        .context
        .timer
        .within(deadline, stream.send(answer))
        .await;
}

/// Sets the severity of an error response to `FATAL`.
pub(super) fn mark_fatal(mut answer: PgWireBackendMessage) -> PgWireBackendMessage {
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

fn protocol_violation(detail: &str) -> StartupError {
    StartupError::Refused(RequestError::new(ErrorKind::ProtocolViolation, detail))
}
