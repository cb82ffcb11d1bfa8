//! Tables, log, term and promise of one stand-in.

mod history;
mod tables;

use self::{
    history::{
        common_end,
        segments, //
    },
    tables::{
        append_row,
        drop_tables,
        open_tables,
        read_durable,
        read_log,
        replay, //
    }, //
};
use super::{
    error::StandInError,
    functions::{
        ConnectionContext,
        register_functions, //
    },
    log_record::{
        LogRecord,
        LoggedStatement, //
    }, //
};
use daisyseam_model::{
    LogPosition,
    Position,
    Term,
    announce::{
        FollowCall,
        PromoteCall,
        UpstreamRole,
        UpstreamState, //
    }, //
};
use parking_lot::Mutex;
use rusqlite::Connection;
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    collections::BTreeSet,
    fs::{
        self,
        File, //
    },
    io::Write,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    sync::{
        Arc,
        Weak, //
    }, //
};
use tokio::sync::{
    Mutex as AsyncMutex,
    OwnedMutexGuard,
    watch, //
};

pub use self::history::HistorySegment;
pub(super) use self::tables::bind;

/// Bits of a transaction number below the term that gave it, so that no two terms give the same.
const XID_TERM_SHIFT: u32 = 32;
/// Statements that make the stand-in's own tables.
const OWN_TABLES: &str = "
CREATE TABLE IF NOT EXISTS standin_log (position INTEGER PRIMARY KEY, body TEXT NOT NULL);
CREATE VIEW IF NOT EXISTS pg_control_checkpoint AS
  SELECT CAST(standin_timeline() AS INTEGER) AS timeline_id;
";

/// A write transaction that holds the stand-in's one write lock.
pub(super) struct WriteTransaction {
    connection: Arc<Mutex<Connection>>,
    term: Term,
    xid: u64,
    unix_ms: i64,
    statements: Vec<LoggedStatement>,
    _permit: OwnedMutexGuard<()>,
}

/// Place in a session for its write transaction, from where a fence may take it.
pub(super) type WriteSlot = Mutex<Option<WriteTransaction>>;

impl WriteTransaction {
    /// Adds a statement that has run.
    pub(super) fn record(&mut self, statement: LoggedStatement) {
        self.statements.push(statement);
    }

    /// Undoes everything.
    pub(super) fn roll_back(self) {
        // A connection that cannot roll back is closed by its session.
        let _ = self.connection.lock().execute_batch("ROLLBACK");
    }
}

/// Whom a replica follows.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct FollowTarget {
    pub(super) term: Term,
    pub(super) admin_address: SocketAddr,
}

struct CoreState {
    promised: Term,
    role: UpstreamRole,
    /// Term in which it is primary or which it follows.
    term: Term,
    log: Vec<Arc<LogRecord>>,
    committed: BTreeSet<u64>,
    open: BTreeSet<u64>,
    next_xid: u64,
    slots: Vec<Weak<WriteSlot>>,
}

/// What outlives a restart besides the tables.
#[derive(Default, Deserialize, Serialize)]
struct DurableState {
    promised: Term,
    primary_of: Option<Term>,
}

/// The database proper, shared by its sessions and its admin calls.
pub(super) struct StandInCore {
    folder: PathBuf,
    writer: Arc<AsyncMutex<()>>,
    applier: Mutex<Connection>,
    applier_context: Arc<ConnectionContext>,
    state: Mutex<CoreState>,
    changes: watch::Sender<UpstreamState>,
    target: watch::Sender<Option<FollowTarget>>,
}

impl StandInCore {
    /// Opens the stand-in's files or makes them.
    pub(super) fn open(folder: &Path) -> Result<Arc<Self>, StandInError> {
        fs::create_dir_all(folder)?;
        let durable = read_durable(folder)?;
        let connection = open_tables(folder)?;
        // The view needs the function only when it is read.
        connection.execute_batch(OWN_TABLES)?;
        let log = read_log(&connection)?;
        let committed: BTreeSet<u64> = log.iter().filter_map(|record| record.xid).collect();
        let role = match durable.primary_of {
            Some(term) if term >= durable.promised => UpstreamRole::Primary,
            _ => UpstreamRole::Detached,
        };
        let term = durable.primary_of.unwrap_or_default();
        let first_xid = (term.0 << XID_TERM_SHIFT) + 1;
        let next_xid = committed
            .last()
            .map_or(first_xid, |xid| (xid + 1).max(first_xid));
        let state = CoreState {
            promised: durable.promised,
            role,
            term,
            log,
            committed,
            open: BTreeSet::new(),
            next_xid,
            slots: Vec::new(),
        };
        let core = Arc::new(Self {
            folder: folder.to_owned(),
            writer: Arc::default(),
            applier: Mutex::new(connection),
            applier_context: Arc::default(),
            changes: watch::Sender::new(state.upstream()),
            state: Mutex::new(state),
            target: watch::Sender::new(None),
        });
        // Replay holds the state, so its functions must not ask for it.
        register_functions(&core.applier.lock(), &Weak::new(), &core.applier_context)?;
        Ok(core)
    }

    /// Opens another connection to the tables.
    pub(super) fn connect(
        self: &Arc<Self>,
        context: &Arc<ConnectionContext>,
    ) -> Result<Connection, StandInError> {
        let connection = open_tables(&self.folder)?;
        register_functions(&connection, &Arc::downgrade(self), context)?;
        Ok(connection)
    }

    /// Returns the present state.
    pub(super) fn upstream(&self) -> UpstreamState {
        self.state.lock().upstream()
    }

    /// Returns a receiver that sees every change of state.
    pub(super) fn subscribe(&self) -> watch::Receiver<UpstreamState> {
        self.changes.subscribe()
    }

    /// Returns a receiver of whom to follow.
    pub(super) fn follow_target(&self) -> watch::Receiver<Option<FollowTarget>> {
        self.target.subscribe()
    }

    /// Gives a transaction its number.
    pub(super) fn assign_xid(&self) -> Result<u64, StandInError> {
        let mut state = self.state.lock();
        if state.role != UpstreamRole::Primary {
            return Err(StandInError::ReadOnly);
        }
        let xid = state.next_xid;
        state.next_xid += 1;
        state.open.insert(xid);
        Ok(xid)
    }

    /// Ends a transaction that has a number but wrote nothing.
    pub(super) fn end_xid(&self, xid: u64, committed: bool) {
        let mut state = self.state.lock();
        if state.open.remove(&xid) && committed {
            state.committed.insert(xid);
        }
    }

    /// Returns what PostgreSQL says of a transaction, or nothing if it lies in the future.
    pub(super) fn xact_status(&self, xid: u64) -> Option<&'static str> {
        let state = self.state.lock();
        if state.committed.contains(&xid) {
            Some("committed")
        } else if state.open.contains(&xid) {
            Some("in progress")
        } else if xid < state.next_xid {
            Some("aborted")
        } else {
            None
        }
    }

    /// Takes the write lock and starts a write transaction on a session's connection.
    pub(super) async fn begin_write(
        &self,
        connection: &Arc<Mutex<Connection>>,
        context: &ConnectionContext,
        slot: &Arc<WriteSlot>,
    ) -> Result<(), StandInError> {
        if self.upstream().role != UpstreamRole::Primary {
            return Err(StandInError::ReadOnly);
        }
        let permit = Arc::clone(&self.writer).lock_owned().await;
        let xid = match context.xid() {
            Some(xid) => xid,
            None => {
                let xid = self.assign_xid()?;
                context.set_xid(Some(xid));
                xid
            }
        };
        connection.lock().execute_batch("BEGIN IMMEDIATE")?;
        let mut state = self.state.lock();
        *slot.lock() = Some(WriteTransaction {
            connection: Arc::clone(connection),
            term: state.term,
            xid,
            unix_ms: context.unix_ms(),
            statements: Vec::new(),
            _permit: permit,
        });
        state.slots.retain(|slot| slot.strong_count() > 0);
        if !state
            .slots
            .iter()
            .any(|known| known.as_ptr() == Arc::as_ptr(slot))
        {
            state.slots.push(Arc::downgrade(slot));
        }
        Ok(())
    }

    /// Commits a write transaction and appends it to the log.
    pub(super) fn commit(&self, transaction: WriteTransaction) -> Result<(), StandInError> {
        let mut state = self.state.lock();
        state.open.remove(&transaction.xid);
        if state.role != UpstreamRole::Primary || state.term != transaction.term {
            drop(state);
            transaction.roll_back();
            return Err(StandInError::Demoted);
        }
        if transaction.statements.is_empty() {
            // It only took locks.
            transaction.connection.lock().execute_batch("COMMIT")?;
            state.committed.insert(transaction.xid);
            return Ok(());
        }
        let record = Arc::new(LogRecord::after(
            state.end().position,
            transaction.term,
            Some(transaction.xid),
            transaction.unix_ms,
            transaction.statements,
        ));
        let connection = transaction.connection.lock();
        let committed =
            append_row(&connection, &record).and_then(|()| Ok(connection.execute_batch("COMMIT")?));
        if let Err(error) = committed {
            // The error that counts is the first one.
            let _ = connection.execute_batch("ROLLBACK");
            return Err(error);
        }
        state.append(record);
        self.changes.send_replace(state.upstream());
        Ok(())
    }

    /// Applies a record that was shipped under a term.
    pub(super) async fn apply(
        &self,
        target: &FollowTarget,
        record: Arc<LogRecord>,
    ) -> Result<(), StandInError> {
        let _permit = self.writer.lock().await;
        let mut state = self.state.lock();
        if state.role != UpstreamRole::Replica || state.term != target.term {
            return Err(StandInError::Promised(state.promised));
        }
        if state.end().position != record.start {
            return Err(StandInError::Gap(state.end()));
        }
        let connection = self.applier.lock();
        replay(&connection, &self.applier_context, &record)?;
        state.append(record);
        self.changes.send_replace(state.upstream());
        Ok(())
    }

    /// Promises to take nothing of a lower term any more.
    pub(super) fn fence(&self, term: Term) -> Result<UpstreamState, StandInError> {
        let mut state = self.state.lock();
        if term < state.promised {
            return Err(StandInError::Promised(state.promised));
        }
        let stopped = self.promise(&mut state, term)?;
        let upstream = state.upstream();
        drop(state);
        roll_back_all(stopped);
        Ok(upstream)
    }

    /// Becomes primary.
    pub(super) fn promote(&self, call: &PromoteCall) -> Result<UpstreamState, StandInError> {
        let mut state = self.state.lock();
        if call.term < state.promised {
            return Err(StandInError::Promised(state.promised));
        }
        if state.role == UpstreamRole::Primary && state.term == call.term {
            return match state.lineage_start() == call.end {
                true => Ok(state.upstream()),
                false => Err(StandInError::OtherEnd(state.end())),
            };
        }
        if state.end() != call.end {
            return Err(StandInError::OtherEnd(state.end()));
        }
        let stopped = self.promise(&mut state, call.term)?;
        let start = state.end().position;
        let record = Arc::new(LogRecord::after(
            start,
            call.term,
            None,
            unix_ms(),
            Vec::new(),
        ));
        append_row(&self.applier.lock(), &record)?;
        state.append(record);
        state.role = UpstreamRole::Primary;
        state.term = call.term;
        state.next_xid = state.next_xid.max((call.term.0 << XID_TERM_SHIFT) + 1);
        self.write_durable(&state)?;
        self.target.send_replace(None);
        self.changes.send_replace(state.upstream());
        let upstream = state.upstream();
        drop(state);
        roll_back_all(stopped);
        Ok(upstream)
    }

    /// Follows a primary; what lies past the start of its lineage in an older term is dropped.
    pub(super) async fn follow(&self, call: &FollowCall) -> Result<UpstreamState, StandInError> {
        let stopped = {
            let mut state = self.state.lock();
            let leads = state.role == UpstreamRole::Primary && state.term == call.term;
            if call.term < state.promised || leads {
                return Err(StandInError::Promised(state.promised));
            }
            self.promise(&mut state, call.term)?
        };
        roll_back_all(stopped);
        // Open writers are gone with the promise, so the lock comes soon.
        let _permit = self.writer.lock().await;
        let mut state = self.state.lock();
        if call.term < state.promised {
            return Err(StandInError::Promised(state.promised));
        }
        let keep = state
            .log
            .iter()
            .take_while(|record| {
                record.term >= call.term
                    || (record.end <= call.lineage_start.position
                        && record.term <= call.lineage_start.term)
            })
            .count();
        self.truncate(&mut state, keep)?;
        state.role = UpstreamRole::Replica;
        state.term = call.term;
        self.write_durable(&state)?;
        let target = FollowTarget {
            term: call.term,
            admin_address: call.admin_address,
        };
        self.target.send_if_modified(|present| {
            let changed = present.as_ref() != Some(&target);
            *present = Some(target);
            changed
        });
        self.changes.send_replace(state.upstream());
        Ok(state.upstream())
    }

    /// Drops the own log past the place up to which another history is the same.
    ///
    /// Returns the end that is left.
    pub(super) async fn align(
        &self,
        target: &FollowTarget,
        history: &[HistorySegment],
    ) -> Result<LogPosition, StandInError> {
        let _permit = self.writer.lock().await;
        let mut state = self.state.lock();
        if state.role != UpstreamRole::Replica || state.term != target.term {
            return Err(StandInError::Promised(state.promised));
        }
        let common = common_end(&segments(&state.log), history);
        let keep = state
            .log
            .iter()
            .take_while(|record| record.end <= common)
            .count();
        self.truncate(&mut state, keep)?;
        self.changes.send_replace(state.upstream());
        Ok(state.end())
    }

    /// Returns the log's segments by term.
    pub(super) fn history(&self) -> Vec<HistorySegment> {
        segments(&self.state.lock().log)
    }

    /// Returns records after a position, oldest first, while this is the primary of a term.
    pub(super) fn records_after(
        &self,
        term: Term,
        position: Position,
        limit: usize,
    ) -> Option<Vec<Arc<LogRecord>>> {
        let state = self.state.lock();
        if state.role != UpstreamRole::Primary || state.term != term {
            return None;
        }
        let first = state.log.partition_point(|record| record.start < position);
        Some(state.log[first..].iter().take(limit).cloned().collect())
    }

    /// Keeps a promise and returns the transactions that it ends.
    ///
    /// They are rolled back once the state is unlocked: a session that runs a statement holds its
    /// connection and may wait for the state.
    fn promise(
        &self,
        state: &mut CoreState,
        term: Term,
    ) -> Result<Vec<WriteTransaction>, StandInError> {
        let mut stopped = Vec::new();
        if term > state.promised {
            state.promised = term;
            self.write_durable(state)?;
        }
        if state.term < term && state.role != UpstreamRole::Detached {
            state.role = UpstreamRole::Detached;
            self.target.send_replace(None);
            self.write_durable(state)?;
            for slot in state.slots.drain(..).filter_map(|slot| slot.upgrade()) {
                if let Some(transaction) = slot.lock().take() {
                    state.open.remove(&transaction.xid);
                    stopped.push(transaction);
                }
            }
        }
        self.changes.send_replace(state.upstream());
        Ok(stopped)
    }

    /// Keeps the first records and rebuilds the tables from them.
    fn truncate(&self, state: &mut CoreState, keep: usize) -> Result<(), StandInError> {
        if keep == state.log.len() {
            return Ok(());
        }
        let connection = self.applier.lock();
        let log: Vec<_> = state.log[..keep].to_vec();
        drop_tables(&connection)?;
        connection.execute("DELETE FROM standin_log", ())?;
        for record in &log {
            replay(&connection, &self.applier_context, record)?;
        }
        state.committed = log.iter().filter_map(|record| record.xid).collect();
        state.log = log;
        Ok(())
    }

    fn write_durable(&self, state: &CoreState) -> Result<(), StandInError> {
        let primary = state.role == UpstreamRole::Primary;
        let durable = DurableState {
            promised: state.promised,
            primary_of: primary.then_some(state.term),
        };
        let path = self.folder.join("state.json.new");
        let mut file = File::create(&path)?;
        file.write_all(&serde_json::to_vec(&durable).map_err(std::io::Error::from)?)?;
        file.sync_all()?;
        fs::rename(path, self.folder.join("state.json"))?;
        Ok(())
    }
}

impl CoreState {
    fn end(&self) -> LogPosition {
        self.log
            .last()
            .map_or_else(LogPosition::default, |record| record.reaches())
    }

    fn upstream(&self) -> UpstreamState {
        UpstreamState {
            promised: self.promised,
            end: self.end(),
            role: self.role,
        }
    }

    fn append(&mut self, record: Arc<LogRecord>) {
        assert!(record.start == self.end().position, "the log has a gap");
        assert!(record.term >= self.end().term, "the log's term went back");
        if let Some(xid) = record.xid {
            self.committed.insert(xid);
            self.next_xid = self.next_xid.max(xid + 1);
        }
        self.log.push(record);
    }

    /// Returns the place from which the present term went on.
    fn lineage_start(&self) -> LogPosition {
        let first = self.log.partition_point(|record| record.term < self.term);
        match first.checked_sub(1) {
            Some(last) => self.log[last].reaches(),
            None => LogPosition::default(),
        }
    }
}

fn roll_back_all(transactions: Vec<WriteTransaction>) {
    for transaction in transactions {
        transaction.roll_back();
    }
}

/// Returns the time of the system's clock in milliseconds since 1970.
pub(super) fn unix_ms() -> i64 {
    let since = std::time::SystemTime::UNIX_EPOCH.elapsed();
    since.map_or(0, |since| {
        i64::try_from(since.as_millis()).unwrap_or(i64::MAX)
    })
}
