//! A fake database that supports simple queries and can withhold answers.

use super::{
    LOOPBACK,
    position, //
};
use axum::{
    Json,
    Router,
    extract::{
        Query,
        State, //
    },
    routing::get, //
};
use bytes::{
    BufMut,
    BytesMut, //
};
use daisyseam_model::{
    LogPosition,
    Term,
    announce::{
        UpstreamRole,
        UpstreamState, //
    }, //
};
use parking_lot::Mutex;
use pgwire::messages::{
    DecodeContext,
    PgWireBackendMessage,
    PgWireFrontendMessage,
    data::DataRow,
    response::{
        CommandComplete,
        ReadyForQuery,
        TransactionStatus, //
    },
    startup::{
        Authentication,
        BackendKeyData,
        SecretKey, //
    }, //
};
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
    task::JoinSet, //
};

/// A database with a state set by the test.
pub(crate) struct FakeDatabase {
    pub(crate) address: SocketAddr,
    pub(crate) admin_address: SocketAddr,
    shared: Arc<FakeShared>,
    _tasks: JoinSet<()>,
}

struct FakeShared {
    state: watch::Sender<UpstreamState>,
    answers: watch::Sender<bool>,
    statuses: Mutex<BTreeMap<u64, &'static str>>,
    activity: Mutex<FakeActivity>,
}

#[derive(Default)]
struct FakeActivity {
    open: BTreeSet<i32>,
    open_max: usize,
    opened: usize,
    cancelled: Vec<i32>,
    queries: Vec<(i32, String)>,
}

impl FakeDatabase {
    pub(crate) async fn start(role: UpstreamRole, end: LogPosition) -> Self {
        let shared = Arc::new(FakeShared {
            state: watch::Sender::new(UpstreamState {
                promised: end.term,
                end,
                role,
            }),
            answers: watch::Sender::new(true),
            statuses: Mutex::default(),
            activity: Mutex::default(),
        });
        let listener = TcpListener::bind(LOOPBACK).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let admin = TcpListener::bind(LOOPBACK).await.expect("a port");
        let admin_address = admin.local_addr().expect("an address");
        let router = Router::new()
            .route("/state", get(state))
            .with_state(Arc::clone(&shared));
        let mut tasks = JoinSet::new();
        tasks.spawn(async move { axum::serve(admin, router).await.expect("it serves") });
        tasks.spawn(accept(listener, Arc::clone(&shared)));
        Self {
            address,
            admin_address,
            shared,
            _tasks: tasks,
        }
    }

    pub(crate) fn set_end(&self, end: LogPosition) {
        self.shared.state.send_modify(|state| state.end = end);
    }

    pub(crate) fn set_state(&self, promised: u64, role: UpstreamRole) {
        self.shared.state.send_modify(|state| {
            state.promised = Term(promised);
            state.role = role;
        });
    }

    /// Sets the result of `pg_xact_status` for a transaction.
    pub(crate) fn set_status(&self, xid: u64, status: &'static str) {
        self.shared.statuses.lock().insert(xid, status);
    }

    /// Sets whether queries are answered or withheld.
    pub(crate) fn set_answers(&self, answers: bool) {
        self.shared.answers.send_replace(answers);
    }

    pub(crate) fn open_count(&self) -> usize {
        self.shared.activity.lock().open.len()
    }

    pub(crate) fn open_max(&self) -> usize {
        self.shared.activity.lock().open_max
    }

    pub(crate) fn opened_count(&self) -> usize {
        self.shared.activity.lock().opened
    }

    pub(crate) fn cancelled(&self) -> Vec<i32> {
        self.shared.activity.lock().cancelled.clone()
    }

    pub(crate) fn queries(&self) -> Vec<(i32, String)> {
        self.shared.activity.lock().queries.clone()
    }

    /// Returns the process identifier of the connection that received a query.
    pub(crate) fn connection_of(&self, query: &str) -> Option<i32> {
        let queries = self.queries();
        let found = queries.iter().find(|(_, received)| received == query);
        found.map(|(process, _)| *process)
    }
}

async fn state(
    State(shared): State<Arc<FakeShared>>,
    Query(query): Query<BTreeMap<String, u64>>,
) -> Json<UpstreamState> {
    let mut states = shared.state.subscribe();
    let at = position(
        query.get("term").copied().unwrap_or(0),
        query.get("position").copied().unwrap_or(0),
    );
    let wait = Duration::from_millis(query.get("wait_ms").copied().unwrap_or(0));
    let _ = tokio::time::timeout(wait, states.wait_for(|state| state.end >= at)).await;
    Json(shared.state.borrow().clone())
}

async fn accept(listener: TcpListener, shared: Arc<FakeShared>) {
    let mut sessions = JoinSet::new();
    while let Ok((socket, _)) = listener.accept().await {
        sessions.spawn(serve(socket, Arc::clone(&shared)));
    }
}

async fn serve(mut socket: TcpStream, shared: Arc<FakeShared>) {
    let mut buffer = BytesMut::new();
    let mut context = DecodeContext::default();
    context.awaiting_frontend_ssl = false;
    match next(&mut socket, &mut buffer, &context).await {
        Some(PgWireFrontendMessage::CancelRequest(cancel)) => {
            shared.activity.lock().cancelled.push(cancel.pid);
            return;
        }
        Some(PgWireFrontendMessage::Startup(_)) => {}
        _ => return,
    }
    context.awaiting_frontend_startup = false;
    let process = {
        let mut activity = shared.activity.lock();
        activity.opened += 1;
        let process = i32::try_from(activity.opened).expect("a small number");
        activity.open.insert(process);
        activity.open_max = activity.open_max.max(activity.open.len());
        process
    };
    let guard = OpenGuard {
        shared: Arc::clone(&shared),
        process,
    };
    session(&mut socket, &mut buffer, &context, &guard).await;
}

struct OpenGuard {
    shared: Arc<FakeShared>,
    process: i32,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.shared.activity.lock().open.remove(&self.process);
    }
}

async fn session(
    socket: &mut TcpStream,
    buffer: &mut BytesMut,
    context: &DecodeContext,
    guard: &OpenGuard,
) {
    let greeting = [
        PgWireBackendMessage::Authentication(Authentication::Ok),
        PgWireBackendMessage::BackendKeyData(BackendKeyData::new(
            guard.process,
            SecretKey::I32(guard.process),
        )),
        PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(TransactionStatus::Idle)),
    ];
    if !send(socket, &greeting).await {
        return;
    }
    let mut status = TransactionStatus::Idle;
    let mut answers = guard.shared.answers.subscribe();
    while let Some(message) = next(socket, buffer, context).await {
        let PgWireFrontendMessage::Query(query) = message else {
            return;
        };
        let text = query.query;
        let received = (guard.process, text.clone());
        guard.shared.activity.lock().queries.push(received);
        match text.as_str() {
            "BEGIN" => status = TransactionStatus::Transaction,
            "COMMIT" | "ROLLBACK" => status = TransactionStatus::Idle,
            _ => {}
        }
        // Ends the session if the connection is closed while the answer is withheld.
        let closed = tokio::select! {
            held = answers.wait_for(|answers| *answers) => held.is_err(),
            readable = socket.readable() => readable.is_err(),
        };
        if closed || is_closed(socket).await {
            return;
        }
        let value = answer(&guard.shared, &text);
        let reply = [
            PgWireBackendMessage::DataRow(row(&value)),
            PgWireBackendMessage::CommandComplete(CommandComplete::new("SELECT 1".to_owned())),
            PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status)),
        ];
        if !send(socket, &reply).await {
            return;
        }
    }
}

/// Returns whether the peer has closed the connection; a correct proxy sends nothing before the
/// answer.
async fn is_closed(socket: &TcpStream) -> bool {
    let mut byte = [0];
    let mut peeked = tokio::io::ReadBuf::new(&mut byte);
    let peek = std::future::poll_fn(|context| match socket.poll_peek(context, &mut peeked) {
        std::task::Poll::Ready(result) => std::task::Poll::Ready(Some(result)),
        std::task::Poll::Pending => std::task::Poll::Ready(None),
    });
    !matches!(peek.await, None | Some(Ok(1)))
}

/// Returns the query itself as its result, except for the queries that determine outcomes.
fn answer(shared: &FakeShared, text: &str) -> String {
    if text == "SELECT pg_current_wal_lsn()" {
        return shared.state.borrow().end.position.to_string();
    }
    let asked = text.strip_prefix("SELECT pg_xact_status('");
    let Some(xid) = asked.and_then(|rest| rest.strip_suffix("')")) else {
        return text.to_owned();
    };
    let xid: u64 = xid.parse().expect("a number");
    let statuses = shared.statuses.lock();
    statuses.get(&xid).copied().unwrap_or_default().to_owned()
}

fn row(value: &str) -> DataRow {
    let mut data = BytesMut::new();
    data.put_i32(i32::try_from(value.len()).expect("a short value"));
    data.put_slice(value.as_bytes());
    DataRow::new(data, 1)
}

async fn send(socket: &mut TcpStream, messages: &[PgWireBackendMessage]) -> bool {
    let mut buffer = BytesMut::new();
    for message in messages {
        message.encode(&mut buffer).expect("it can be encoded");
    }
    socket.write_all(&buffer).await.is_ok()
}

async fn next(
    socket: &mut TcpStream,
    buffer: &mut BytesMut,
    context: &DecodeContext,
) -> Option<PgWireFrontendMessage> {
    loop {
        let decoded = PgWireFrontendMessage::decode(buffer, context);
        if let Some(message) = decoded.expect("the proxy sends valid messages") {
            return Some(message);
        }
        if socket.read_buf(buffer).await.unwrap_or(0) == 0 {
            return None;
        }
    }
}
