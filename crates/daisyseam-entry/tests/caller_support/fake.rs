//! Fake database with scripted faults and answers.

use super::raw::database_error;
use bytes::BytesMut;
use daisyseam_entry::{
    DatabaseLink,
    LinkBroker,
    LinkError,
    OpenLinkRequest,
    OpenedLink,
    RateGate,
    StatementAccess,
    TransactionOutcome, //
};
use daisyseam_model::{
    ErrorKind,
    GroupId,
    LogPosition,
    OrganisationId,
    Position,
    RequestError,
    ServiceId,
    Term,
    UpstreamId, //
};
use parking_lot::Mutex;
use pgwire::messages::{
    PgWireBackendMessage as Reply,
    PgWireFrontendMessage as Request,
    data::{
        DataRow,
        FieldDescription,
        NoData,
        ParameterDescription,
        RowDescription, //
    },
    extendedquery::{
        BindComplete,
        CloseComplete,
        ParseComplete,
        PortalSuspended, //
    },
    response::{
        CommandComplete,
        EmptyQueryResponse,
        ReadyForQuery,
        TransactionStatus, //
    }, //
};
use std::{
    collections::VecDeque,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    sync::Notify,
    time::Instant, //
};

/// Term of the fake database group.
pub const TERM: Term = Term(3);

/// Fault to inject next.
#[derive(Clone, Debug)]
pub enum FakeFault {
    /// Opening a link fails.
    RefuseLink(ErrorKind),
    /// The link breaks when a text with this prefix arrives, before it runs.
    DisconnectBefore(&'static str),
    /// The link breaks after a text with this prefix has run, before its answer is sent.
    DisconnectAfter(&'static str),
}

/// State of the fake database, shared with the test.
#[derive(Clone, Default)]
pub struct FakeDatabase {
    state: Arc<Mutex<DatabaseState>>,
    changed: Arc<Notify>,
}

#[derive(Default)]
struct DatabaseState {
    /// Texts received by the database, with the numbers of their links.
    texts: Vec<(usize, String)>,
    /// Bytes received by the database.
    bytes: Vec<u8>,
    /// Writes that were committed.
    committed: Vec<String>,
    /// Accesses requested when opening links.
    accesses: Vec<StatementAccess>,
    faults: VecDeque<FakeFault>,
    confirms: VecDeque<Result<(), RequestError>>,
    outcomes: VecDeque<TransactionOutcome>,
    /// End position of the log.
    end: u64,
    /// Distance of the replicas behind the end of the log.
    lag: u64,
    opened: usize,
    released: usize,
    dropped: usize,
    cancelled: usize,
    barriers: usize,
    /// Whether reads run on the primary.
    primary_only: bool,
    /// Whether opening a link blocks.
    opens_blocked: bool,
}

impl FakeDatabase {
    pub fn inject_fault(&self, fault: FakeFault) {
        self.state.lock().faults.push_back(fault);
    }

    pub fn queue_confirm(&self, result: Result<(), ErrorKind>) {
        let result = result.map_err(RequestError::from);
        self.state.lock().confirms.push_back(result);
    }

    pub fn queue_outcome(&self, outcome: TransactionOutcome) {
        self.state.lock().outcomes.push_back(outcome);
    }

    pub fn texts(&self) -> Vec<String> {
        let state = self.state.lock();
        state.texts.iter().map(|(_, text)| text.clone()).collect()
    }

    /// Returns the texts of each link, in the order in which links were opened.
    pub fn texts_by_link(&self) -> Vec<Vec<String>> {
        let state = self.state.lock();
        (1..=state.opened)
            .map(|link| {
                let own = state.texts.iter().filter(|(number, _)| *number == link);
                own.map(|(_, text)| text.clone()).collect()
            })
            .collect()
    }

    pub fn committed(&self) -> Vec<String> {
        self.state.lock().committed.clone()
    }

    pub fn accesses(&self) -> Vec<StatementAccess> {
        self.state.lock().accesses.clone()
    }

    pub fn has_seen(&self, bytes: &[u8]) -> bool {
        let state = self.state.lock();
        state
            .bytes
            .windows(bytes.len())
            .any(|window| window == bytes)
    }

    /// Returns the numbers of opened, released and dropped links.
    pub fn link_counts(&self) -> (usize, usize, usize) {
        let state = self.state.lock();
        (state.opened, state.released, state.dropped)
    }

    pub fn cancel_count(&self) -> usize {
        self.state.lock().cancelled
    }

    pub fn barrier_count(&self) -> usize {
        self.state.lock().barriers
    }

    pub fn set_replica_lag(&self, lag: u64) {
        self.state.lock().lag = lag;
    }

    pub fn set_log_end(&self, end: u64) {
        self.state.lock().end = end;
    }

    pub fn serve_reads_on_primary(&self) {
        self.state.lock().primary_only = true;
    }

    /// Blocks or unblocks the opening of links.
    pub fn block_opens(&self, opens_blocked: bool) {
        self.state.lock().opens_blocked = opens_blocked;
        self.changed.notify_waiters();
    }

    /// Waits until the condition holds.
    pub async fn wait_until(&self, holds: impl Fn(&Self) -> bool) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if holds(self) {
                return;
            }
            changed.await;
        }
    }

    fn update<T>(&self, act: impl FnOnce(&mut DatabaseState) -> T) -> T {
        let result = act(&mut self.state.lock());
        self.changed.notify_waiters();
        result
    }
}

impl DatabaseState {
    fn take_link_refusal(&mut self) -> Option<ErrorKind> {
        match self.faults.front() {
            Some(FakeFault::RefuseLink(kind)) => {
                let kind = *kind;
                self.faults.pop_front();
                Some(kind)
            }
            _ => None,
        }
    }

    fn take_disconnect(&mut self, text: &str, after: bool) -> bool {
        let lost = match self.faults.front() {
            Some(FakeFault::DisconnectBefore(prefix)) => !after && text.starts_with(prefix),
            Some(FakeFault::DisconnectAfter(prefix)) => after && text.starts_with(prefix),
            _ => false,
        };
        if lost {
            self.faults.pop_front();
        }
        lost
    }

    fn end(&self) -> LogPosition {
        at(self.end)
    }
}

/// Returns a log position in the term of the fake database.
pub fn at(position: u64) -> LogPosition {
    LogPosition {
        term: TERM,
        position: Position(position),
    }
}

/// Opens links to the fake database.
#[derive(Clone)]
pub struct FakeBroker {
    database: FakeDatabase,
}

impl FakeBroker {
    pub fn new(database: &FakeDatabase) -> Self {
        Self {
            database: database.clone(),
        }
    }
}

impl LinkBroker for FakeBroker {
    type Link = FakeLink;

    async fn open(&self, order: OpenLinkRequest<'_>) -> Result<OpenedLink<FakeLink>, RequestError> {
        let database = &self.database;
        database.update(|state| state.accesses.push(order.access));
        database
            .wait_until(|database| !database.state.lock().opens_blocked)
            .await;
        let write = order.access == StatementAccess::Write;
        database.update(|state| {
            if let Some(kind) = state.take_link_refusal() {
                return Err(kind.into());
            }
            state.opened += 1;
            let primary = write || state.primary_only;
            let floor = match order.access {
                StatementAccess::ReadAtLeast(floor) => floor,
                _ => LogPosition::default(),
            };
            let replica = at(state.end.saturating_sub(state.lag));
            // The primary serves the read if the replica has not reached the floor.
            let primary = primary || replica < floor;
            if floor > state.end() {
                return Err(ErrorKind::NoReplica.into());
            }
            Ok(OpenedLink {
                link: FakeLink::new(database, state.opened, primary),
                upstream: UpstreamId::new("bookings-a").unwrap(),
                term: TERM,
                primary,
                position: if primary { state.end() } else { replica },
            })
        })
    }

    async fn confirm(
        &self,
        _group: &GroupId,
        _at: LogPosition,
        _deadline: Instant,
    ) -> Result<(), RequestError> {
        self.database
            .update(|state| state.confirms.pop_front().unwrap_or(Ok(())))
    }

    async fn barrier(
        &self,
        _group: &GroupId,
        _deadline: Instant,
    ) -> Result<LogPosition, RequestError> {
        self.database.update(|state| {
            state.barriers += 1;
            Ok(state.end())
        })
    }

    async fn outcome(
        &self,
        _group: &GroupId,
        term: Term,
        _xid: u64,
        _deadline: Instant,
    ) -> TransactionOutcome {
        assert_eq!(term, TERM);
        self.database.update(|state| {
            let outcome = state.outcomes.pop_front();
            outcome.unwrap_or(TransactionOutcome::Unknown)
        })
    }
}

/// A connection to the fake database.
pub struct FakeLink {
    database: FakeDatabase,
    number: usize,
    primary: bool,
    released: bool,
    lost: bool,
    status: TransactionStatus,
    read_only: bool,
    written: Vec<String>,
    parsed: String,
    portal: String,
    skipping: bool,
    stuck: bool,
    answers: VecDeque<Reply>,
}

impl FakeLink {
    fn new(database: &FakeDatabase, number: usize, primary: bool) -> Self {
        Self {
            database: database.clone(),
            number,
            primary,
            released: false,
            lost: false,
            status: TransactionStatus::Idle,
            read_only: false,
            written: Vec::new(),
            parsed: String::new(),
            portal: String::new(),
            skipping: false,
            stuck: false,
            answers: VecDeque::new(),
        }
    }

    /// Runs a text; `described` sends a row description before its rows.
    fn run(&mut self, text: &str, described: bool) {
        let number = self.number;
        let lost = self.database.update(|state| {
            state.texts.push((number, text.to_owned()));
            state.take_disconnect(text, false)
        });
        if lost {
            self.lost = true;
            return;
        }
        self.execute(text, described);
        self.lost = self
            .database
            .update(|state| state.take_disconnect(text, true));
        if self.lost {
            self.answers.clear();
        }
    }

    fn execute(&mut self, text: &str, described: bool) {
        let upper = text.to_ascii_uppercase();
        let ends = upper.starts_with("COMMIT") || upper.starts_with("ROLLBACK");
        if self.status == TransactionStatus::Error && !ends {
            self.error("25P02", "current transaction is aborted");
        } else if upper.starts_with("BEGIN") || upper.starts_with("START TRANSACTION") {
            self.status = TransactionStatus::Transaction;
            self.read_only = upper.contains("READ ONLY");
            self.complete("BEGIN");
        } else if upper.starts_with("COMMIT") {
            self.commit();
        } else if upper.starts_with("ROLLBACK TO") {
            self.status = TransactionStatus::Transaction;
            self.complete("ROLLBACK");
        } else if upper.starts_with("ROLLBACK") {
            self.written.clear();
            self.status = TransactionStatus::Idle;
            self.complete("ROLLBACK");
        } else if upper.contains("BROKEN") {
            self.error("42601", "syntax error");
        } else if upper.contains("SLOW") {
            self.stuck = true;
        } else if upper.starts_with("SET LOCAL") || upper.starts_with("SAVEPOINT") {
            self.complete("SET");
        } else if upper.contains("PG_CURRENT_XACT_ID_IF_ASSIGNED") {
            let id = (!self.written.is_empty()).then(|| "77".to_owned());
            self.rows(&[id], described);
        } else if upper.contains("PG_CURRENT_WAL_LSN") {
            let end = self.database.state.lock().end;
            self.rows(&[Some(Position(end).to_string())], described);
        } else if upper.starts_with("INSERT") || upper.contains("HIDDEN_WRITE") {
            self.write(text);
        } else if let Some(count) = text.strip_prefix("SELECT * FROM rows_") {
            let rows = vec![Some("row".repeat(100)); count.parse().unwrap()];
            self.rows(&rows, described);
        } else {
            self.rows(&[Some(text.to_owned())], described);
        }
    }

    fn write(&mut self, text: &str) {
        if self.read_only || !self.primary {
            return self.error("25006", "cannot execute a write in a read-only transaction");
        }
        self.written.push(text.to_owned());
        if self.status == TransactionStatus::Idle {
            self.commit_written();
        }
        self.complete("INSERT 0 1");
    }

    fn commit(&mut self) {
        if self.status == TransactionStatus::Error {
            self.written.clear();
            self.status = TransactionStatus::Idle;
            return self.complete("ROLLBACK");
        }
        self.status = TransactionStatus::Idle;
        self.commit_written();
        self.complete("COMMIT");
    }

    fn commit_written(&mut self) {
        let written = std::mem::take(&mut self.written);
        self.database.update(|state| {
            state.end += 16 * written.len() as u64;
            state.committed.extend(written);
        });
    }

    fn rows(&mut self, values: &[Option<String>], described: bool) {
        if described {
            self.answers
                .push_back(Reply::RowDescription(single_column()));
        }
        for value in values {
            self.answers
                .push_back(Reply::DataRow(row(value.as_deref())));
        }
        self.complete(&format!("SELECT {}", values.len()));
    }

    fn complete(&mut self, tag: &str) {
        let complete = CommandComplete::new(tag.to_owned());
        self.answers.push_back(Reply::CommandComplete(complete));
    }

    fn error(&mut self, sqlstate: &str, message: &str) {
        if self.status == TransactionStatus::Transaction {
            self.status = TransactionStatus::Error;
        }
        self.answers.push_back(database_error(sqlstate, message));
    }

    fn ready(&mut self) {
        let ready = ReadyForQuery::new(self.status);
        self.answers.push_back(Reply::ReadyForQuery(ready));
    }

    fn handle(&mut self, request: Request) {
        match request {
            Request::Query(query) if query.query.trim().is_empty() => {
                let empty = EmptyQueryResponse::new();
                self.answers.push_back(Reply::EmptyQueryResponse(empty));
                self.ready();
            }
            Request::Query(query) => {
                self.parsed.clear();
                self.run(&query.query, true);
                if !self.stuck && !self.lost {
                    self.ready();
                }
            }
            Request::Sync(_) => {
                self.skipping = false;
                if self.stuck {
                    return;
                }
                self.ready();
            }
            Request::Flush(_) => {}
            _ if self.skipping => {}
            other => {
                let before = self.answers.len();
                self.handle_extended(other);
                let new = self.answers.iter().skip(before);
                self.skipping = new
                    .into_iter()
                    .any(|answer| matches!(answer, Reply::ErrorResponse(_)));
            }
        }
    }

    fn handle_extended(&mut self, request: Request) {
        match request {
            Request::Parse(parse) => {
                assert_eq!(parse.name, None, "only the unnamed statement is used");
                self.database.update(|state| {
                    state
                        .texts
                        .push((self.number, format!("P:{}", parse.query)))
                });
                if parse.query.contains("unparsable") {
                    return self.error("42601", "syntax error");
                }
                self.parsed = parse.query;
                self.answers
                    .push_back(Reply::ParseComplete(ParseComplete::new()));
            }
            Request::Bind(bind) => {
                assert!(!self.parsed.is_empty(), "a bind without a statement");
                let values = bind.parameters.iter().flatten();
                let values: Vec<_> = values
                    .map(|value| String::from_utf8_lossy(value).into_owned())
                    .collect();
                self.portal = self.parsed.clone();
                for (index, value) in values.iter().enumerate() {
                    let place = format!("${}", index + 1);
                    self.portal = self.portal.replace(&place, &format!("'{value}'"));
                }
                self.answers
                    .push_back(Reply::BindComplete(BindComplete::new()));
            }
            Request::Describe(describe) => {
                if describe.target_type == b'S' {
                    let count = self.parsed.matches('$').count();
                    let types = ParameterDescription::new(vec![25; count]);
                    self.answers.push_back(Reply::ParameterDescription(types));
                }
                let text = self.parsed.to_ascii_uppercase();
                if text.starts_with("INSERT") || text.starts_with("SAVEPOINT") {
                    self.answers.push_back(Reply::NoData(NoData::new()));
                } else {
                    self.answers
                        .push_back(Reply::RowDescription(single_column()));
                }
            }
            Request::Execute(execute) => {
                let portal = self.portal.clone();
                self.run(&portal, false);
                if execute.max_rows == 1 && !portal.starts_with("INSERT") {
                    self.answers.pop_back();
                    let suspended = Reply::PortalSuspended(PortalSuspended::new());
                    self.answers.push_back(suspended);
                }
            }
            Request::Close(_) => {
                self.answers
                    .push_back(Reply::CloseComplete(CloseComplete::new()));
            }
            other => panic!("unexpected message for a database: {other:?}"),
        }
    }
}

impl DatabaseLink for FakeLink {
    async fn send(&mut self, message: Request) -> Result<(), LinkError> {
        let mut bytes = BytesMut::new();
        message.encode(&mut bytes).unwrap();
        self.database.update(|state| state.bytes.extend(bytes));
        if !self.lost {
            self.handle(message);
        }
        Ok(())
    }

    async fn flush(&mut self) -> Result<(), LinkError> {
        Ok(())
    }

    async fn receive(&mut self) -> Result<Reply, LinkError> {
        match self.answers.pop_front() {
            Some(answer) => Ok(answer),
            None if self.lost => Err(LinkError("simulated connection loss".to_owned())),
            None => std::future::pending().await,
        }
    }

    async fn cancel(&mut self) {
        self.database.update(|state| state.cancelled += 1);
        if std::mem::take(&mut self.stuck) {
            self.error("57014", "canceling statement due to user request");
            self.ready();
        }
    }

    fn release(mut self) {
        assert!(self.answers.is_empty(), "released with outstanding answers");
        assert_eq!(
            self.status,
            TransactionStatus::Idle,
            "released inside a transaction"
        );
        assert!(!self.lost, "released after the connection was lost");
        self.released = true;
    }
}

impl Drop for FakeLink {
    fn drop(&mut self) {
        let released = self.released;
        self.database.update(|state| match released {
            true => state.released += 1,
            false => state.dropped += 1,
        });
    }
}

fn single_column() -> RowDescription {
    let field = FieldDescription::new("value".to_owned(), 0, 0, 25, -1, -1, 0);
    RowDescription::new(vec![field])
}

fn row(value: Option<&str>) -> DataRow {
    let mut data = BytesMut::new();
    match value {
        None => data.extend_from_slice(&(-1_i32).to_be_bytes()),
        Some(text) => {
            data.extend_from_slice(&(text.len() as i32).to_be_bytes());
            data.extend_from_slice(text.as_bytes());
        }
    }
    DataRow::new(data, 1)
}

/// Rate gate that admits all requests except those scripted to be refused.
#[derive(Clone, Default)]
pub struct FakeGate {
    refusals: Arc<Mutex<VecDeque<Duration>>>,
    admitted: Arc<Mutex<Vec<String>>>,
}

impl FakeGate {
    /// Refuses the next request.
    pub fn refuse_next(&self, retry_after: Duration) {
        self.refusals.lock().push_back(retry_after);
    }

    pub fn admitted(&self) -> Vec<String> {
        self.admitted.lock().clone()
    }

    fn take(&self, name: String) -> Result<(), RequestError> {
        if let Some(delay) = self.refusals.lock().pop_front() {
            let error = RequestError::from(ErrorKind::RateExceeded);
            return Err(error.with_retry_after(delay));
        }
        self.admitted.lock().push(name);
        Ok(())
    }
}

impl RateGate for FakeGate {
    async fn admit(
        &self,
        organisation: &OrganisationId,
        _deadline: Instant,
    ) -> Result<(), RequestError> {
        self.take(organisation.to_string())
    }

    async fn admit_open(
        &self,
        service: &ServiceId,
        _deadline: Instant,
    ) -> Result<(), RequestError> {
        self.take(format!("open:{service}"))
    }
}
