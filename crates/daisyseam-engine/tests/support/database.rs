//! Fake databases that record calls and fail as the test requests.

use bytes::Bytes;
use daisyseam_engine::{
    ConnectError,
    ConnectionLost,
    DatabaseCall,
    DatabaseConnection,
    DatabaseConnector,
    DatabaseRefusal,
    DatabaseReply,
    DatabaseTarget,
    DatabaseVerb,
    RefusalKind,
    StatementKind,
    TransactionMode,
    TransactionState, //
};
use daisyseam_model::{
    LogPosition,
    OrganisationId,
    Position,
    UpstreamId, //
};
use parking_lot::Mutex;
use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    future,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

/// All databases of a test.
#[derive(Clone)]
pub struct FakeDatabases {
    all: Arc<Mutex<BTreeMap<UpstreamId, FakeDatabase>>>,
    /// Databases that cannot be reached over this handle: neither calls nor replies arrive.
    cut: Arc<Mutex<BTreeSet<UpstreamId>>>,
}

/// One database.
pub struct FakeDatabase {
    pub position: LogPosition,
    pub delay: Duration,
    /// Whether it has closed its connections.
    pub stale: bool,
    pub connect_error: Option<ConnectError>,
    pub open: usize,
    pub max_open: usize,
    pub connects: usize,
    /// Databases that receive each commit before it is acknowledged, in turn.
    pub sync_replicas: VecDeque<UpstreamId>,
    /// Writes that were committed.
    pub committed: Vec<String>,
    /// Calls received, prefixed with the number of the connection.
    pub calls: Vec<String>,
    /// Faults, each triggered by the next call whose text starts with the string.
    pub faults: VecDeque<(&'static str, Fault)>,
}

/// A fault of a call.
pub enum Fault {
    Refuse(RefusalKind),
    /// Refuses the call and ends the open transaction.
    EndTransaction(RefusalKind),
    /// Runs the call and breaks the connection before the reply.
    LoseReply,
    /// Never replies.
    NoReply,
    /// Runs the call, and then the function before the reply.
    RunThen(Box<dyn FnOnce() + Send>),
}

/// A connection to a fake database.
pub struct FakeConnection {
    databases: FakeDatabases,
    upstream: UpstreamId,
    number: usize,
    state: TransactionState,
    values: BTreeMap<Vec<u8>, Vec<u8>>,
    prepared: BTreeMap<Vec<u8>, Vec<u8>>,
    replies: VecDeque<Option<DatabaseReply>>,
    lost: bool,
    pending: Vec<String>,
}

impl FakeDatabases {
    pub fn new(names: &[&str]) -> Self {
        let all = names.iter().map(|name| {
            let database = FakeDatabase {
                position: super::position(1, 100),
                delay: Duration::from_millis(2),
                stale: false,
                connect_error: None,
                open: 0,
                max_open: 0,
                connects: 0,
                sync_replicas: VecDeque::new(),
                committed: Vec::new(),
                calls: Vec::new(),
                faults: VecDeque::new(),
            };
            (name.parse().unwrap(), database)
        });
        Self {
            all: Arc::new(Mutex::new(all.collect())),
            cut: Arc::default(),
        }
    }

    /// Returns a handle to the same databases that can be cut off on its own.
    pub fn other_handle(&self) -> Self {
        Self {
            all: Arc::clone(&self.all),
            cut: Arc::default(),
        }
    }

    /// Cuts this handle off from a database.
    pub fn cut_off(&self, name: &str) {
        self.cut.lock().insert(name.parse().unwrap());
    }

    async fn pass(&self, upstream: &UpstreamId) {
        let is_cut = self.cut.lock().contains(upstream);
        if is_cut {
            future::pending().await
        }
    }

    pub fn addresses(&self) -> Vec<(UpstreamId, SocketAddr)> {
        let all = self.all.lock();
        let names = all.keys().cloned().zip(1_u16..);
        names
            .map(|(name, port)| (name, SocketAddr::from(([127, 0, 0, 1], port))))
            .collect()
    }

    /// Gives access to a database.
    pub fn with<T>(&self, name: &str, access: impl FnOnce(&mut FakeDatabase) -> T) -> T {
        access(self.all.lock().get_mut(name).unwrap())
    }

    /// Returns the calls that a database received.
    pub fn calls(&self, name: &str) -> Vec<String> {
        self.with(name, |database| database.calls.clone())
    }

    pub fn fault(&self, name: &str, call: &'static str, fault: Fault) {
        self.with(name, |database| database.faults.push_back((call, fault)));
    }
}

impl FakeDatabase {
    fn take_fault(&mut self, description: &str) -> Option<Fault> {
        let due = |(call, _): &(&str, Fault)| description.starts_with(call);
        let index = self.faults.iter().position(due)?;
        self.faults.remove(index).map(|(_, fault)| fault)
    }
}

impl DatabaseConnector for FakeDatabases {
    type Connection = FakeConnection;

    async fn connect(&self, target: &DatabaseTarget) -> Result<FakeConnection, ConnectError> {
        self.pass(&target.upstream).await;
        let number = self.with(target.upstream.as_str(), |database| {
            database.open += 1;
            database.connects += 1;
            database.max_open = database.max_open.max(database.open);
            database.connects
        });
        let connection = FakeConnection {
            databases: self.clone(),
            upstream: target.upstream.clone(),
            number,
            state: TransactionState::Idle,
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            replies: VecDeque::new(),
            lost: false,
            pending: Vec::new(),
        };
        tokio::time::sleep(Duration::from_millis(2)).await;
        let error = self.with(target.upstream.as_str(), |database| {
            let organisation = target.organisation.as_ref().map(OrganisationId::as_str);
            let description = format!("{number} connect {}", organisation.unwrap_or("-"));
            database.calls.push(description);
            database.connect_error.clone()
        });
        match error {
            Some(error) => Err(error),
            None => Ok(connection),
        }
    }
}

impl DatabaseConnection for FakeConnection {
    async fn send(&mut self, call: DatabaseCall<'_>) -> Result<(), ConnectionLost> {
        if self.lost {
            return Err(ConnectionLost("closed".to_owned()));
        }
        if self.databases.cut.lock().contains(&self.upstream) {
            return Ok(());
        }
        let description = describe(&call);
        let (fault, held) = self.databases.with(self.upstream.as_str(), |database| {
            database
                .calls
                .push(format!("{} {description}", self.number));
            (database.take_fault(&description), database.position)
        });
        let lagging = call.at_least.is_some_and(|floor| floor > held);
        let reply = match fault {
            Some(Fault::NoReply) => None,
            Some(Fault::Refuse(kind)) => Some(self.refuse(kind)),
            Some(Fault::EndTransaction(kind)) => {
                self.state = TransactionState::Idle;
                self.pending.clear();
                Some(self.refuse(kind))
            }
            Some(Fault::LoseReply) => {
                self.run(&call);
                self.lost = true;
                return Ok(());
            }
            Some(Fault::RunThen(then)) => {
                let reply = self.run(&call);
                then();
                Some(reply)
            }
            None if lagging => Some(self.refuse(RefusalKind::Lagging)),
            None => Some(self.run(&call)),
        };
        self.replies.push_back(reply);
        Ok(())
    }

    async fn receive(&mut self) -> Result<DatabaseReply, ConnectionLost> {
        self.databases.pass(&self.upstream).await;
        let delay = self
            .databases
            .with(self.upstream.as_str(), |found| found.delay);
        tokio::time::sleep(delay).await;
        if self.lost {
            return Err(ConnectionLost("reset".to_owned()));
        }
        match self.replies.front().cloned() {
            Some(Some(reply)) => {
                self.replies.pop_front();
                Ok(reply)
            }
            Some(None) => future::pending().await,
            None => panic!("received without a call in flight"),
        }
    }

    fn is_stale(&mut self) -> bool {
        let stale = self
            .databases
            .with(self.upstream.as_str(), |found| found.stale);
        self.lost || stale
    }
}

impl Drop for FakeConnection {
    fn drop(&mut self) {
        self.databases
            .with(self.upstream.as_str(), |database| database.open -= 1);
    }
}

impl FakeConnection {
    fn run(&mut self, call: &DatabaseCall<'_>) -> DatabaseReply {
        let row = match call.verb {
            DatabaseVerb::Begin(_) => {
                assert_eq!(self.state, TransactionState::Idle);
                self.state = TransactionState::Open;
                None
            }
            DatabaseVerb::Commit | DatabaseVerb::Rollback => {
                assert_ne!(self.state, TransactionState::Idle);
                let is_commit = matches!(call.verb, DatabaseVerb::Commit);
                self.state = TransactionState::Idle;
                let pending = std::mem::take(&mut self.pending);
                if is_commit {
                    self.commit(pending);
                }
                None
            }
            DatabaseVerb::Set(name, value) => {
                self.values.insert(name.to_vec(), value.to_vec());
                None
            }
            DatabaseVerb::Prepare(name, _, text) => {
                self.prepared.insert(name.to_vec(), text.to_vec());
                None
            }
            DatabaseVerb::Discard => {
                assert_eq!(self.state, TransactionState::Idle);
                self.values.clear();
                self.prepared.clear();
                None
            }
            DatabaseVerb::Status => None,
            DatabaseVerb::Run(text) => {
                if text.starts_with(b"write") {
                    self.write(text_of(text));
                }
                Some(format!("{}{}", text_of(text), self.session_values()))
            }
            DatabaseVerb::Execute(name, arguments) => match self.prepared.get(name) {
                Some(text) => Some(format!("{} {}", text_of(text), text_of(arguments))),
                None => return self.refuse(RefusalKind::UnknownStatement),
            },
        };
        let rows = row.map(Bytes::from).into_iter().collect();
        self.reply(
            rows,
            Ok(Bytes::from(format!("{}-{}", self.upstream, self.number))),
        )
    }

    fn write(&mut self, text: String) {
        match self.state {
            TransactionState::Idle => self.commit(vec![text]),
            TransactionState::Open | TransactionState::Failed => self.pending.push(text),
        }
    }

    fn commit(&self, writes: Vec<String>) {
        if writes.is_empty() {
            return;
        }
        let (position, replica) = self.databases.with(self.upstream.as_str(), |database| {
            database.position.position = Position(database.position.position.0 + 1);
            database.committed.extend(writes);
            database
                .sync_replicas
                .rotate_left(usize::from(!database.sync_replicas.is_empty()));
            (database.position, database.sync_replicas.front().cloned())
        });
        if let Some(replica) = replica {
            self.databases
                .with(replica.as_str(), |replica| replica.position = position);
        }
    }

    fn refuse(&mut self, kind: RefusalKind) -> DatabaseReply {
        if self.state == TransactionState::Open && kind != RefusalKind::Busy {
            self.state = TransactionState::Failed;
        }
        let detail = "as told".to_owned();
        self.reply(Vec::new(), Err(DatabaseRefusal { kind, detail }))
    }

    fn reply(&self, rows: Vec<Bytes>, outcome: Result<Bytes, DatabaseRefusal>) -> DatabaseReply {
        let position = self
            .databases
            .with(self.upstream.as_str(), |found| found.position);
        DatabaseReply {
            rows,
            outcome,
            state: self.state,
            position: Some(position),
        }
    }

    fn session_values(&self) -> String {
        let values = self.values.iter();
        values
            .map(|(name, value)| format!(" {}={}", text_of(name), text_of(value)))
            .collect()
    }
}

fn describe(call: &DatabaseCall<'_>) -> String {
    let description = match call.verb {
        DatabaseVerb::Begin(TransactionMode::ReadWrite) => "begin".to_owned(),
        DatabaseVerb::Begin(TransactionMode::ReadOnly) => "begin-read".to_owned(),
        DatabaseVerb::Commit => "commit".to_owned(),
        DatabaseVerb::Rollback => "rollback".to_owned(),
        DatabaseVerb::Run(text) => text_of(text),
        DatabaseVerb::Set(name, value) => format!("set {}={}", text_of(name), text_of(value)),
        DatabaseVerb::Prepare(name, kind, text) => {
            assert_eq!(kind, StatementKind::Read);
            format!("prepare {} {}", text_of(name), text_of(text))
        }
        DatabaseVerb::Execute(name, arguments) => {
            format!("execute {} {}", text_of(name), text_of(arguments))
        }
        DatabaseVerb::Discard => "discard".to_owned(),
        DatabaseVerb::Status => "status".to_owned(),
    };
    match call.at_least {
        Some(floor) => format!("{description} @{}", floor.position.0),
        None => description,
    }
}

fn text_of(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}
