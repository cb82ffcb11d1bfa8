//! Start-up of a connection to a database, with authentication by the protocol library.

use bytes::BytesMut;
use daisyseam_runtime::Dialer;
use displaydoc::Display;
use futures_util::{
    Sink,
    Stream,
    StreamExt, //
};
use pgwire::{
    api::client::{
        ClientInfo,
        Config,
        ReadyState,
        ServerInformation,
        auth::{
            DefaultStartupHandler,
            StartupHandler, //
        }, //
    },
    error::{
        PgWireClientError,
        PgWireError, //
    },
    messages::{
        PgWireBackendMessage,
        PgWireFrontendMessage,
        ProtocolVersion,
        response::TransactionStatus,
        startup::SecretKey, //
    },
    tokio::client::PgWireMessageClientCodec, //
};
use std::{
    collections::BTreeMap,
    error::Error,
    io,
    net::SocketAddr,
    pin::Pin,
    task::{
        Context,
        Poll, //
    }, //
};
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// SQLSTATE for a database that accepts no more connections.
const TOO_MANY_CONNECTIONS: &str = "53300";

/// Address of a database and credentials for logging in.
#[derive(Clone, Eq, PartialEq)]
pub struct DatabaseTarget {
    /// Address of its PostgreSQL port.
    pub address: SocketAddr,
    /// User.
    pub user: String,
    /// Password.
    pub password: String,
}

impl std::fmt::Debug for DatabaseTarget {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Keeps the password out of logs.
        formatter
            .debug_struct("DatabaseTarget")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// Why a connection to a database could not be opened.
#[derive(Debug, Display)]
pub enum OpenError {
    /// the connection to the database failed: {0}
    Io(io::Error),
    /// the database accepts no more connections: {0}
    Full(String),
    /// the connection start-up failed: {0}
    Startup(String),
    /// the database did not answer in time
    Timeout,
    /// the connection was closed while it was being opened
    Revoked,
}

impl Error for OpenError {}

impl From<io::Error> for OpenError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<PgWireClientError> for OpenError {
    fn from(error: PgWireClientError) -> Self {
        match error {
            PgWireClientError::IoError(error) => Self::Io(error),
            PgWireClientError::RemoteError(info) if info.code == TOO_MANY_CONNECTIONS => {
                Self::Full(info.message)
            }
            error => Self::Startup(error.to_string()),
        }
    }
}

/// A socket after a completed start-up.
pub(super) struct OpenedSocket {
    pub(super) socket: TcpStream,
    pub(super) unread: BytesMut,
    pub(super) information: ServerInformation,
}

/// Connects and logs in.
pub(super) async fn open_socket(
    target: &DatabaseTarget,
    dialer: Dialer,
) -> Result<OpenedSocket, OpenError> {
    let socket = dialer.connect(target.address).await?;
    let mut config = Config::new();
    config
        .user(&target.user)
        .password(&target.password)
        .application_name("daisyseam")
        .protocol_version(ProtocolVersion::PROTOCOL3_0);
    let mut client = StartupClient {
        framed: Framed::new(socket, PgWireMessageClientCodec::default()),
        config,
        parameters: BTreeMap::new(),
        secret: SecretKey::default(),
        version: ProtocolVersion::PROTOCOL3_0,
        status: TransactionStatus::Idle,
    };
    let mut handler = DefaultStartupHandler::new();
    handler.startup(&mut client).await?;
    while let Some(message) = client.framed.next().await {
        let message = message.map_err(PgWireClientError::from)?;
        if let ReadyState::Ready(information) = handler.on_message(&mut client, message).await? {
            let parts = client.framed.into_parts();
            return Ok(OpenedSocket {
                socket: parts.io,
                unread: parts.read_buf,
                information,
            });
        }
    }
    Err(OpenError::Io(io::ErrorKind::UnexpectedEof.into()))
}

/// State on which the library's start-up handler operates.
struct StartupClient {
    framed: Framed<TcpStream, PgWireMessageClientCodec>,
    config: Config,
    parameters: BTreeMap<String, String>,
    secret: SecretKey,
    version: ProtocolVersion,
    status: TransactionStatus,
}

impl ClientInfo for StartupClient {
    fn config(&self) -> &Config {
        &self.config
    }

    fn server_parameters(&self) -> &BTreeMap<String, String> {
        &self.parameters
    }

    fn set_server_parameter(&mut self, name: String, value: String) {
        self.parameters.insert(name, value);
    }

    fn process_id(&self) -> i32 {
        0
    }

    fn secret_key(&self) -> &SecretKey {
        &self.secret
    }

    fn protocol_version(&self) -> ProtocolVersion {
        self.version
    }

    fn set_protocol_version(&mut self, version: ProtocolVersion) {
        self.version = version;
    }

    fn transaction_status(&self) -> TransactionStatus {
        self.status
    }

    fn set_transaction_status(&mut self, status: TransactionStatus) {
        self.status = status;
    }
}

impl Stream for StartupClient {
    type Item = Result<PgWireBackendMessage, PgWireError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.framed.poll_next_unpin(context)
    }
}

impl Sink<PgWireFrontendMessage> for StartupClient {
    type Error = PgWireError;

    fn poll_ready(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), PgWireError>> {
        Sink::<PgWireFrontendMessage>::poll_ready(Pin::new(&mut self.framed), context)
    }

    fn start_send(
        mut self: Pin<&mut Self>,
        message: PgWireFrontendMessage,
    ) -> Result<(), PgWireError> {
        Pin::new(&mut self.framed).start_send(message)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), PgWireError>> {
        Sink::<PgWireFrontendMessage>::poll_flush(Pin::new(&mut self.framed), context)
    }

    fn poll_close(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), PgWireError>> {
        Sink::<PgWireFrontendMessage>::poll_close(Pin::new(&mut self.framed), context)
    }
}
