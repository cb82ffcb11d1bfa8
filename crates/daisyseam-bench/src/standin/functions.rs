//! PostgreSQL's own functions, registered with SQLite.

use super::core::{
    StandInCore,
    unix_ms, //
};
use daisyseam_model::announce::UpstreamRole;
use parking_lot::Mutex;
use rusqlite::{
    Connection,
    functions::FunctionFlags, //
};
use std::sync::{
    Arc,
    Weak, //
};

/// What the functions know of the transaction that calls them.
#[derive(Default)]
pub(super) struct ConnectionContext {
    state: Mutex<ContextState>,
}

#[derive(Default)]
struct ContextState {
    xid: Option<u64>,
    unix_ms: Option<i64>,
}

impl ConnectionContext {
    pub(super) fn xid(&self) -> Option<u64> {
        self.state.lock().xid
    }

    pub(super) fn set_xid(&self, xid: Option<u64>) {
        self.state.lock().xid = xid;
    }

    /// Returns the time that the whole transaction sees.
    pub(super) fn unix_ms(&self) -> i64 {
        *self.state.lock().unix_ms.get_or_insert_with(unix_ms)
    }

    pub(super) fn set_unix_ms(&self, unix_ms: i64) {
        self.state.lock().unix_ms = Some(unix_ms);
    }

    /// Ends the transaction and returns its number, if it had one.
    pub(super) fn finish(&self) -> Option<u64> {
        std::mem::take(&mut *self.state.lock()).xid
    }
}

/// Registers the functions on a connection.
pub(super) fn register_functions(
    connection: &Connection,
    core: &Weak<StandInCore>,
    context: &Arc<ConnectionContext>,
) -> rusqlite::Result<()> {
    let flags = FunctionFlags::SQLITE_UTF8;
    let weak = Weak::clone(core);
    let position = move || with_core(&weak, |core| Ok(core.upstream()));

    let state = position.clone();
    connection.create_scalar_function("pg_current_wal_lsn", 0, flags, move |_| {
        let state = state()?;
        match state.role {
            UpstreamRole::Primary => Ok(state.end.position.to_string()),
            _ => Err(failure("recovery is in progress")),
        }
    })?;
    let state = position.clone();
    connection.create_scalar_function("pg_last_wal_replay_lsn", 0, flags, move |_| {
        let state = state()?;
        let replica = state.role != UpstreamRole::Primary;
        Ok(replica.then(|| state.end.position.to_string()))
    })?;
    let state = position.clone();
    connection.create_scalar_function("pg_is_in_recovery", 0, flags, move |_| {
        Ok(state()?.role != UpstreamRole::Primary)
    })?;
    let state = position;
    connection.create_scalar_function("standin_timeline", 0, flags, move |_| {
        let term = state()?.end.term;
        Ok(i64::try_from(term.0).unwrap_or(i64::MAX))
    })?;

    let weak = Weak::clone(core);
    let known = Arc::clone(context);
    connection.create_scalar_function("pg_current_xact_id", 0, flags, move |_| {
        if let Some(xid) = known.xid() {
            return Ok(xid.to_string());
        }
        let xid = with_core(&weak, |core| {
            core.assign_xid()
                .map_err(|_| failure("cannot assign transaction ids during recovery"))
        })?;
        known.set_xid(Some(xid));
        Ok(xid.to_string())
    })?;
    let known = Arc::clone(context);
    connection.create_scalar_function("pg_current_xact_id_if_assigned", 0, flags, move |_| {
        Ok(known.xid().map(|xid| xid.to_string()))
    })?;
    let weak = Weak::clone(core);
    connection.create_scalar_function("pg_xact_status", 1, flags, move |call| {
        let xid = match call.get_raw(0) {
            rusqlite::types::ValueRef::Integer(xid) => u64::try_from(xid).ok(),
            value => value.as_str().ok().and_then(|text| text.parse().ok()),
        };
        let xid = xid.ok_or_else(|| failure("invalid transaction id"))?;
        with_core(&weak, |core| {
            core.xact_status(xid)
                .ok_or_else(|| failure(&format!("transaction ID {xid} is in the future")))
        })
    })?;
    let known = Arc::clone(context);
    connection.create_scalar_function("now", 0, flags, move |_| Ok(known.unix_ms()))?;
    connection.create_scalar_function("pg_sleep", 1, flags, |_| Ok(""))?;
    connection.create_scalar_function("version", 0, flags, |_| Ok("PostgreSQL 17.0 (stand-in)"))
}

fn with_core<T>(
    weak: &Weak<StandInCore>,
    read: impl FnOnce(&StandInCore) -> rusqlite::Result<T>,
) -> rusqlite::Result<T> {
    let core = weak
        .upgrade()
        .ok_or_else(|| failure("the stand-in is gone"))?;
    read(&core)
}

fn failure(words: &str) -> rusqlite::Error {
    rusqlite::Error::UserFunctionError(words.into())
}
