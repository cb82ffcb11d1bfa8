//! The tables of a stand-in and the log kept in them.

use super::DurableState;
use crate::standin::{
    error::StandInError,
    functions::ConnectionContext,
    log_record::LogRecord, //
};
use rusqlite::{
    Connection,
    Statement,
    types::Value, //
};
use std::{
    fs,
    path::Path,
    sync::Arc, //
};

pub(super) fn open_tables(folder: &Path) -> Result<Connection, StandInError> {
    let connection = Connection::open(folder.join("tables.sqlite"))?;
    connection.pragma_update(None, "journal_mode", "wal")?;
    connection.pragma_update(None, "synchronous", "off")?;
    connection.busy_timeout(std::time::Duration::from_secs(1))?;
    connection.set_prepared_statement_cache_capacity(64);
    Ok(connection)
}

pub(super) fn read_log(connection: &Connection) -> Result<Vec<Arc<LogRecord>>, StandInError> {
    let mut statement = connection.prepare("SELECT body FROM standin_log ORDER BY position")?;
    let bodies = statement.query_map((), |row| row.get::<_, String>(0))?;
    let mut log = Vec::new();
    for body in bodies {
        let record = serde_json::from_str(&body?).map_err(std::io::Error::from)?;
        log.push(Arc::new(record));
    }
    Ok(log)
}

pub(super) fn read_durable(folder: &Path) -> Result<DurableState, StandInError> {
    let path = folder.join("state.json");
    if !path.exists() {
        return Ok(DurableState::default());
    }
    let bytes = fs::read(path)?;
    Ok(serde_json::from_slice(&bytes).map_err(std::io::Error::from)?)
}

pub(super) fn append_row(connection: &Connection, record: &LogRecord) -> Result<(), StandInError> {
    let body = serde_json::to_string(record).map_err(std::io::Error::from)?;
    let position = i64::try_from(record.end.0).unwrap_or(i64::MAX);
    connection
        .prepare_cached("INSERT INTO standin_log (position, body) VALUES (?1, ?2)")?
        .execute((position, body))?;
    Ok(())
}

pub(super) fn replay(
    connection: &Connection,
    context: &ConnectionContext,
    record: &LogRecord,
) -> Result<(), StandInError> {
    context.set_xid(record.xid);
    context.set_unix_ms(record.unix_ms);
    connection.execute_batch("BEGIN IMMEDIATE")?;
    let applied = replay_statements(connection, record)
        .and_then(|()| append_row(connection, record))
        .and_then(|()| Ok(connection.execute_batch("COMMIT")?));
    if applied.is_err() {
        // The error that counts is the first one.
        let _ = connection.execute_batch("ROLLBACK");
    }
    applied
}

fn replay_statements(connection: &Connection, record: &LogRecord) -> Result<(), StandInError> {
    for statement in &record.statements {
        let mut prepared = connection.prepare_cached(&statement.sql)?;
        bind(&mut prepared, statement.values.iter().map(Value::from))?;
        let mut rows = prepared.raw_query();
        while rows.next()?.is_some() {}
    }
    Ok(())
}

/// Binds values to the parameters `$1`, `$2` and so on, whatever SQLite's own numbers for them.
pub(in crate::standin) fn bind(
    statement: &mut Statement<'_>,
    values: impl Iterator<Item = Value>,
) -> rusqlite::Result<()> {
    for (index, value) in values.enumerate() {
        if let Some(place) = statement.parameter_index(&format!("${}", index + 1))? {
            statement.raw_bind_parameter(place, value)?;
        }
    }
    Ok(())
}

pub(super) fn drop_tables(connection: &Connection) -> Result<(), StandInError> {
    let mut statement = connection.prepare(
        "SELECT type, name FROM sqlite_schema WHERE type IN ('table', 'view') \
         AND name NOT LIKE 'sqlite_%' AND name NOT IN ('standin_log', 'pg_control_checkpoint')",
    )?;
    let found = statement.query_map((), |row| Ok((row.get(0)?, row.get(1)?)))?;
    let found: Vec<(String, String)> = found.collect::<Result<_, _>>()?;
    drop(statement);
    for (kind, name) in found {
        connection.execute_batch(&format!("DROP {kind} \"{name}\""))?;
    }
    Ok(())
}
