//! One connection's transactions and statements.

use super::{
    core::{
        StandInCore,
        WriteSlot,
        bind, //
    },
    counters::StatementCounters,
    error::StandInError,
    functions::ConnectionContext,
    log_record::LoggedStatement,
    options::StandInOptions,
    rows::RowSchema,
    translate::{
        ParsedStatement,
        StatementKind, //
    }, //
};
use daisyseam_runtime::TimerService;
use parking_lot::Mutex;
use pgwire::api::{
    portal::Format,
    results::{
        FieldInfo,
        QueryResponse,
        Response,
        Tag, //
    }, //
};
use rusqlite::{
    Connection,
    types::Value, //
};
use std::{
    sync::Arc,
    time::Duration, //
};

/// Where a session stands between statements.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TransactionMode {
    Idle,
    Open,
    Failed,
}

/// A connection's side of the tables.
pub(super) struct Session {
    core: Arc<StandInCore>,
    options: Arc<StandInOptions>,
    counters: Arc<StatementCounters>,
    timer: TimerService,
    connection: Arc<Mutex<Connection>>,
    context: Arc<ConnectionContext>,
    slot: Arc<WriteSlot>,
    state: Mutex<SessionState>,
}

struct SessionState {
    mode: TransactionMode,
    /// Set while a statement runs; still set afterwards if it was cancelled.
    running: bool,
    /// Whether the open transaction has written.
    wrote: bool,
}

impl Session {
    /// Opens a session.
    pub(super) fn open(
        core: &Arc<StandInCore>,
        options: &Arc<StandInOptions>,
        counters: &Arc<StatementCounters>,
        timer: &TimerService,
    ) -> Result<Self, StandInError> {
        let context = Arc::new(ConnectionContext::default());
        let connection = core.connect(&context)?;
        Ok(Self {
            core: Arc::clone(core),
            options: Arc::clone(options),
            counters: Arc::clone(counters),
            timer: timer.clone(),
            connection: Arc::new(Mutex::new(connection)),
            context,
            slot: Arc::default(),
            state: Mutex::new(SessionState {
                mode: TransactionMode::Idle,
                running: false,
                wrote: false,
            }),
        })
    }

    /// Runs a closure with the connection.
    pub(super) fn with_connection<T>(&self, read: impl FnOnce(&Connection) -> T) -> T {
        read(&self.connection.lock())
    }

    /// Describes the result columns of a statement.
    pub(super) fn describe(
        &self,
        statement: &ParsedStatement,
        format: &Format,
    ) -> Result<Vec<FieldInfo>, StandInError> {
        if !matches!(statement.kind, StatementKind::Run(_)) {
            return Ok(Vec::new());
        }
        let connection = self.connection.lock();
        let types = statement.result_types(&connection);
        let prepared = connection.prepare_cached(&statement.sql)?;
        let schema = RowSchema::describe(&prepared, &types, format);
        Ok(schema.fields().to_vec())
    }

    /// Runs one statement.
    ///
    /// Dropping the future stops the statement; the next one then finds its transaction failed.
    pub(super) async fn run(
        &self,
        statement: &ParsedStatement,
        values: Vec<Value>,
        format: &Format,
    ) -> Result<Response, StandInError> {
        self.recover();
        self.state.lock().running = true;
        let result = self.dispatch(statement, values, format).await;
        self.state.lock().running = false;
        if result.is_err() {
            self.fail();
        }
        result
    }

    fn recover(&self) {
        let cancelled = std::mem::take(&mut self.state.lock().running);
        if cancelled {
            self.fail();
        }
    }

    fn mode(&self) -> TransactionMode {
        self.state.lock().mode
    }

    async fn dispatch(
        &self,
        statement: &ParsedStatement,
        values: Vec<Value>,
        format: &Format,
    ) -> Result<Response, StandInError> {
        self.options.unstalled().await;
        match statement.kind {
            StatementKind::Begin => Ok(self.begin()),
            StatementKind::Commit => self.finish(true),
            StatementKind::RollBack => self.finish(false),
            StatementKind::Setting(tag) => Ok(Response::Execution(Tag::new(tag))),
            StatementKind::RollBackTo => self.roll_back_to(statement),
            StatementKind::Run(tag) => self.run_sql(statement, tag, values, format).await,
        }
    }

    fn begin(&self) -> Response {
        let mut state = self.state.lock();
        if state.mode == TransactionMode::Idle {
            state.mode = TransactionMode::Open;
            state.wrote = false;
        }
        Response::TransactionStart(Tag::new("BEGIN"))
    }

    fn finish(&self, commit: bool) -> Result<Response, StandInError> {
        let (mode, wrote) = {
            let mut state = self.state.lock();
            let left = (state.mode, state.wrote);
            state.mode = TransactionMode::Idle;
            state.wrote = false;
            left
        };
        let commit = commit && mode != TransactionMode::Failed;
        self.end_transaction(commit, wrote)?;
        let tag = if commit { "COMMIT" } else { "ROLLBACK" };
        Ok(Response::TransactionEnd(Tag::new(tag)))
    }

    fn end_transaction(&self, commit: bool, wrote: bool) -> Result<(), StandInError> {
        let transaction = self.slot.lock().take();
        let xid = self.context.finish();
        match transaction {
            Some(transaction) if commit => self.core.commit(transaction),
            Some(transaction) => {
                transaction.roll_back();
                self.forget(xid, false);
                Ok(())
            }
            // A fence has taken the transaction away.
            None if commit && wrote => Err(StandInError::Demoted),
            None => {
                self.forget(xid, commit);
                Ok(())
            }
        }
    }

    fn forget(&self, xid: Option<u64>, committed: bool) {
        if let Some(xid) = xid {
            self.core.end_xid(xid, committed);
        }
    }

    fn fail(&self) {
        let mut state = self.state.lock();
        if state.mode == TransactionMode::Open {
            state.mode = TransactionMode::Failed;
        }
        let idle = state.mode == TransactionMode::Idle;
        drop(state);
        if idle {
            // Only a rollback, which cannot fail in a way that matters here.
            let _ = self.end_transaction(false, false);
        }
    }

    fn roll_back_to(&self, statement: &ParsedStatement) -> Result<Response, StandInError> {
        self.connection.lock().execute_batch(&statement.sql)?;
        if let Some(transaction) = self.slot.lock().as_mut() {
            transaction.record(logged(statement, &[]));
        }
        let mut state = self.state.lock();
        if state.mode == TransactionMode::Failed {
            state.mode = TransactionMode::Open;
        }
        Ok(Response::TransactionStart(Tag::new("ROLLBACK")))
    }

    async fn run_sql(
        &self,
        statement: &ParsedStatement,
        tag: &'static str,
        values: Vec<Value>,
        format: &Format,
    ) -> Result<Response, StandInError> {
        if self.mode() == TransactionMode::Failed {
            return Err(StandInError::Aborted);
        }
        self.pause(self.options.service_time() + statement.sleep)
            .await;
        self.counters
            .count(statement.reads_tables, self.core.upstream().role);
        let implicit = self.mode() == TransactionMode::Idle;
        let marks = matches!(tag, "SAVEPOINT" | "RELEASE");
        let writes = marks || statement.locks || !self.is_readonly(&statement.sql)?;
        if writes {
            self.prepare_write().await?;
        }
        let response = self.execute(statement, tag, &values, format)?;
        if writes && !statement.locks {
            let mut slot = self.slot.lock();
            let transaction = slot.as_mut().ok_or(StandInError::Demoted)?;
            transaction.record(logged(statement, &values));
        }
        if implicit {
            let wrote = std::mem::take(&mut self.state.lock().wrote);
            self.end_transaction(true, wrote)?;
        }
        self.pause(self.options.answer_delay()).await;
        Ok(response)
    }

    async fn prepare_write(&self) -> Result<(), StandInError> {
        if self.slot.lock().is_some() {
            return Ok(());
        }
        if self.state.lock().wrote {
            return Err(StandInError::Demoted);
        }
        self.core
            .begin_write(&self.connection, &self.context, &self.slot)
            .await?;
        self.state.lock().wrote = true;
        Ok(())
    }

    fn is_readonly(&self, sql: &str) -> Result<bool, StandInError> {
        Ok(self.connection.lock().prepare_cached(sql)?.readonly())
    }

    fn execute(
        &self,
        statement: &ParsedStatement,
        tag: &'static str,
        values: &[Value],
        format: &Format,
    ) -> Result<Response, StandInError> {
        let connection = self.connection.lock();
        let mut prepared = connection.prepare_cached(&statement.sql)?;
        bind(&mut prepared, values.iter().cloned())?;
        if prepared.column_count() == 0 {
            let changed = prepared.raw_execute()?;
            return Ok(Response::Execution(command_tag(tag, changed)));
        }
        let types = statement.result_types(&connection);
        let schema = RowSchema::describe(&prepared, &types, format);
        let rows = schema.read(&mut prepared)?;
        let mut response = QueryResponse::new(schema.fields(), rows);
        response.set_command_tag(if tag == "INSERT" { "INSERT 0" } else { tag });
        Ok(Response::Query(response))
    }

    async fn pause(&self, delay: Duration) {
        if !delay.is_zero() {
            self.timer.after(delay).await;
        }
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        // A connection that goes leaves no transaction behind.
        let _ = self.end_transaction(false, false);
    }
}

fn command_tag(tag: &str, changed: usize) -> Tag {
    match tag {
        "INSERT" => Tag::new(tag).with_oid(0).with_rows(changed),
        "UPDATE" | "DELETE" => Tag::new(tag).with_rows(changed),
        _ => Tag::new(tag),
    }
}

/// Makes the logged form; values are placed as SQLite numbers the parameters.
fn logged(statement: &ParsedStatement, values: &[Value]) -> LoggedStatement {
    LoggedStatement {
        sql: statement.sql.clone(),
        values: values.iter().map(Into::into).collect(),
    }
}
