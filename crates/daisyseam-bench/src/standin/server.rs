//! The PostgreSQL side of a stand-in.

use super::{
    core::StandInCore,
    counters::StatementCounters,
    error::StandInError,
    options::StandInOptions,
    recorder::{
        ByteRecorder,
        TappedStream, //
    },
    session::Session,
    translate::{
        self,
        ParsedStatement,
        StatementKind, //
    }, //
};
use async_trait::async_trait;
use daisyseam_runtime::TimerService;
use futures_util::{
    Sink,
    SinkExt,
    StreamExt, //
};
use parking_lot::Mutex;
use pgwire::{
    api::{
        ClientInfo,
        ClientPortalStore,
        ConnectionManager,
        DEFAULT_NAME,
        DefaultClient,
        NoopHandler,
        PgWireConnectionState,
        Type,
        auth::noop::NoopStartupHandler,
        cancel::{
            CancelHandler,
            DefaultCancelHandler, //
        },
        portal::{
            Format,
            Portal, //
        },
        query::{
            ExtendedQueryHandler,
            SimpleQueryHandler, //
        },
        results::{
            FieldInfo,
            Response, //
        },
        stmt::QueryParser,
        store::PortalStore, //
    },
    error::{
        ErrorInfo,
        PgWireError,
        PgWireResult, //
    },
    messages::{
        PgWireBackendMessage,
        PgWireFrontendMessage,
        SslNegotiationMetaMessage,
        cancel::CancelRequest,
        response::{
            GssEncResponse,
            SslResponse,
            TransactionStatus, //
        }, //
    },
    tokio::server::{
        PgWireMessageServerCodec,
        process_error,
        process_message, //
    }, //
};
use rusqlite::types::Value;
use std::{
    collections::HashMap,
    fmt::Debug,
    io,
    sync::{
        Arc,
        OnceLock, //
    }, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        OwnedSemaphorePermit,
        Semaphore, //
    }, //
};
use tokio_util::codec::Framed;

/// Parsed texts that are kept.
const PARSED_TEXTS_MAX: usize = 1_000;

type ClientSocket = Framed<TappedStream, PgWireMessageServerCodec<Arc<ParsedStatement>>>;

/// What all connections of a stand-in share.
pub(super) struct ServerShared {
    pub(super) core: Arc<StandInCore>,
    pub(super) options: Arc<StandInOptions>,
    pub(super) counters: Arc<StatementCounters>,
    pub(super) recorder: Arc<ByteRecorder>,
    pub(super) timer: TimerService,
    pub(super) slots: Arc<Semaphore>,
    pub(super) cancels: Arc<ConnectionManager>,
    pub(super) parsed: Mutex<HashMap<String, Arc<Vec<Arc<ParsedStatement>>>>>,
}

impl ServerShared {
    fn parse(&self, text: &str) -> Result<Arc<Vec<Arc<ParsedStatement>>>, StandInError> {
        if let Some(known) = self.parsed.lock().get(text) {
            return Ok(Arc::clone(known));
        }
        let statements = translate::parse(text)?;
        let statements = Arc::new(statements.into_iter().map(Arc::new).collect::<Vec<_>>());
        let mut parsed = self.parsed.lock();
        if parsed.len() >= PARSED_TEXTS_MAX {
            parsed.clear();
        }
        parsed.insert(text.to_owned(), Arc::clone(&statements));
        Ok(statements)
    }
}

/// Accepts connections until it is dropped.
pub(super) async fn accept(listener: TcpListener, shared: Arc<ServerShared>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, Arc::clone(&shared)));
            }
            Err(error) => log::warn!("the stand-in cannot accept: {error}"),
        }
    }
}

async fn serve(stream: TcpStream, shared: Arc<ServerShared>) {
    if let Err(error) = serve_connection(stream, shared).await {
        log::debug!("a connection to the stand-in ended: {error}");
    }
}

async fn serve_connection(stream: TcpStream, shared: Arc<ServerShared>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let address = stream.peer_addr()?;
    let tapped = shared.recorder.tap(stream);
    let client = DefaultClient::new(address, false);
    let mut socket = Framed::new(tapped, PgWireMessageServerCodec::new(client));
    let mut cuts = shared.options.cuts();
    if !negotiate(&mut socket).await? {
        return Ok(());
    }
    let handlers = Arc::new(ConnectionHandlers {
        parser: Arc::new(SessionParser {
            shared,
            session: OnceLock::new(),
        }),
        permit: Mutex::new(None),
    });
    let copies = Arc::new(NoopHandler);
    loop {
        let message = tokio::select! {
            message = socket.next() => message,
            _ = cuts.changed() => None,
        };
        let Some(message) = message else {
            return Ok(());
        };
        let message = message.map_err(io::Error::from)?;
        if matches!(message, PgWireFrontendMessage::Terminate(_)) {
            return Ok(());
        }
        let extended = message.is_extended_query();
        let cancels = matches!(message, PgWireFrontendMessage::CancelRequest(_));
        if handlers.parser.returns_to_savepoint(&socket, &message) {
            // The library lets a failed transaction only end; if this fails it is failed again.
            socket.set_transaction_status(TransactionStatus::Transaction);
        }
        let processed = process_message(
            message,
            &mut socket,
            Arc::clone(&handlers),
            Arc::clone(&handlers),
            Arc::clone(&handlers),
            Arc::clone(&copies),
            Arc::clone(&handlers),
        );
        if let Err(error) = processed.await {
            let fatal = error.is_fatal();
            process_error(&mut socket, error, extended).await?;
            if fatal {
                return Ok(());
            }
        }
        if cancels {
            return Ok(());
        }
    }
}

/// Refuses encryption; returns whether a start-up message follows.
async fn negotiate(socket: &mut ClientSocket) -> io::Result<bool> {
    loop {
        let message = match socket.next().await {
            Some(message) => message.map_err(io::Error::from)?,
            None => return Ok(false),
        };
        let answer = match message {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresSsl(_)) => {
                PgWireBackendMessage::SslResponse(SslResponse::Refuse)
            }
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresGss(_)) => {
                PgWireBackendMessage::GssEncResponse(GssEncResponse::Refuse)
            }
            _ => {
                socket.set_state(PgWireConnectionState::AwaitingStartup);
                return Ok(true);
            }
        };
        socket.send(answer).await?;
    }
}

/// Answers one connection's messages.
struct ConnectionHandlers {
    parser: Arc<SessionParser>,
    permit: Mutex<Option<OwnedSemaphorePermit>>,
}

/// One connection's session, and what its statements mean there.
struct SessionParser {
    shared: Arc<ServerShared>,
    /// Empty until the connection has started up.
    session: OnceLock<Session>,
}

impl SessionParser {
    /// Returns whether a message begins with the return of a failed transaction to a savepoint.
    fn returns_to_savepoint(&self, socket: &ClientSocket, message: &PgWireFrontendMessage) -> bool {
        if socket.transaction_status() != TransactionStatus::Error {
            return false;
        }
        let first = match message {
            PgWireFrontendMessage::Query(query) => {
                let parsed = self.shared.parse(&query.query).ok();
                parsed.and_then(|statements| statements.first().cloned())
            }
            PgWireFrontendMessage::Execute(execute) => {
                let name = execute.name.as_deref().unwrap_or(DEFAULT_NAME);
                let portal = socket.portal_store().get_portal(name);
                let portal = portal.as_ref().and_then(|portal| portal.value());
                portal.map(|portal| Arc::clone(&portal.statement.statement))
            }
            _ => None,
        };
        first.is_some_and(|statement| matches!(statement.kind, StatementKind::RollBackTo))
    }

    fn session(&self) -> PgWireResult<&Session> {
        self.session.get().ok_or(PgWireError::NotReadyForQuery)
    }
}

#[async_trait]
impl NoopStartupHandler for ConnectionHandlers {
    fn connection_manager(&self) -> Option<Arc<ConnectionManager>> {
        Some(Arc::clone(&self.parser.shared.cancels))
    }

    async fn post_startup<C>(
        &self,
        _client: &mut C,
        _message: PgWireFrontendMessage,
    ) -> PgWireResult<()>
    where
        C: ClientInfo + Sink<PgWireBackendMessage> + Unpin + Send,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        self.parser.shared.options.unstalled().await;
        let slots = Arc::clone(&self.parser.shared.slots);
        let permit = slots
            .try_acquire_owned()
            .map_err(|_| StandInError::TooManyConnections)?;
        *self.permit.lock() = Some(permit);
        let delay = self.parser.shared.options.open_delay();
        if !delay.is_zero() {
            self.parser.shared.timer.after(delay).await;
        }
        let shared = &self.parser.shared;
        let session = Session::open(
            &shared.core,
            &shared.options,
            &shared.counters,
            &shared.timer,
        )?;
        let first = self.parser.session.set(session).is_ok();
        assert!(first, "a connection starts up once");
        Ok(())
    }
}

#[async_trait]
impl CancelHandler for ConnectionHandlers {
    async fn on_cancel_request(&self, request: CancelRequest) {
        if self.parser.shared.options.ignores_cancel() {
            return;
        }
        let cancels = Arc::clone(&self.parser.shared.cancels);
        DefaultCancelHandler::new(cancels)
            .on_cancel_request(request)
            .await;
    }
}

#[async_trait]
impl SimpleQueryHandler for ConnectionHandlers {
    async fn do_query<C>(&self, _client: &mut C, query: &str) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let session = self.parser.session()?;
        let statements = self.parser.shared.parse(query)?;
        let mut responses = Vec::with_capacity(statements.len());
        for statement in statements.iter() {
            let ran = session.run(statement, Vec::new(), &Format::UnifiedText);
            match ran.await {
                Ok(response) => responses.push(response),
                Err(error) => {
                    let error: PgWireError = Into::into(error);
                    if error.is_fatal() {
                        return Err(error);
                    }
                    responses.push(Response::Error(Box::new(ErrorInfo::from(error))));
                    break;
                }
            }
        }
        Ok(responses)
    }
}

#[async_trait]
impl QueryParser for SessionParser {
    type Statement = Arc<ParsedStatement>;

    async fn parse_sql<C>(
        &self,
        _client: &C,
        sql: &str,
        _types: &[Option<Type>],
    ) -> PgWireResult<Option<Self::Statement>>
    where
        C: ClientInfo + Unpin + Send + Sync,
    {
        let statements = self.shared.parse(sql)?;
        match statements.as_slice() {
            [] => Ok(None),
            [statement] => Ok(Some(Arc::clone(statement))),
            _ => {
                let words = "cannot insert multiple commands into a prepared statement";
                Err(StandInError::Syntax(words.to_owned()).into())
            }
        }
    }

    fn get_parameter_types(&self, statement: &Self::Statement) -> PgWireResult<Vec<Type>> {
        let session = self.session()?;
        Ok(session.with_connection(|connection| statement.parameter_types(connection)))
    }

    fn get_result_schema(
        &self,
        statement: &Self::Statement,
        format: Option<&Format>,
    ) -> PgWireResult<Vec<FieldInfo>> {
        let format = format.unwrap_or(&Format::UnifiedText);
        Ok(self.session()?.describe(statement, format)?)
    }
}

#[async_trait]
impl ExtendedQueryHandler for ConnectionHandlers {
    type Statement = Arc<ParsedStatement>;
    type QueryParser = SessionParser;

    fn query_parser(&self) -> Arc<Self::QueryParser> {
        Arc::clone(&self.parser)
    }

    async fn do_query<C>(
        &self,
        _client: &mut C,
        portal: &Portal<Self::Statement>,
        _max_rows: usize,
    ) -> PgWireResult<Response>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let session = self.parser.session()?;
        let statement = &portal.statement.statement;
        let types = self.parser.parameter_types(portal)?;
        let values = read_parameters(portal, &types)?;
        Ok(session
            .run(statement, values, &portal.result_column_format)
            .await?)
    }
}

impl SessionParser {
    /// Returns the types that the client stated, else the inferred ones.
    fn parameter_types(&self, portal: &Portal<Arc<ParsedStatement>>) -> PgWireResult<Vec<Type>> {
        let stated = &portal.statement.parameter_types;
        if stated.len() >= portal.parameters.len() && stated.iter().all(Option::is_some) {
            return Ok(stated.iter().flatten().cloned().collect());
        }
        let inferred = self.get_parameter_types(&portal.statement.statement)?;
        let given = |index: usize| stated.get(index).cloned().flatten();
        let types = (0..portal.parameters.len()).map(|index| {
            given(index)
                .or_else(|| inferred.get(index).cloned())
                .unwrap_or(Type::TEXT)
        });
        Ok(types.collect())
    }
}

fn read_parameters(
    portal: &Portal<Arc<ParsedStatement>>,
    types: &[Type],
) -> PgWireResult<Vec<Value>> {
    types
        .iter()
        .enumerate()
        .take(portal.parameters.len())
        .map(|(index, parameter_type)| read_parameter(portal, index, parameter_type))
        .collect()
}

fn read_parameter(
    portal: &Portal<Arc<ParsedStatement>>,
    index: usize,
    parameter_type: &Type,
) -> PgWireResult<Value> {
    let value = match *parameter_type {
        Type::BOOL => portal
            .parameter::<bool>(index, parameter_type)?
            .map(|value| Value::Integer(value.into())),
        Type::INT2 => portal
            .parameter::<i16>(index, parameter_type)?
            .map(|value| Value::Integer(value.into())),
        Type::INT4 => portal
            .parameter::<i32>(index, parameter_type)?
            .map(|value| Value::Integer(value.into())),
        Type::INT8 => portal
            .parameter::<i64>(index, parameter_type)?
            .map(Value::Integer),
        Type::FLOAT4 => portal
            .parameter::<f32>(index, parameter_type)?
            .map(|value| Value::Real(value.into())),
        Type::FLOAT8 => portal
            .parameter::<f64>(index, parameter_type)?
            .map(Value::Real),
        Type::BYTEA => portal
            .parameter::<Vec<u8>>(index, parameter_type)?
            .map(Value::Blob),
        _ => portal.parameters[index]
            .as_ref()
            .map(|bytes| Value::Text(String::from_utf8_lossy(bytes).into_owned())),
    };
    Ok(value.unwrap_or(Value::Null))
}
