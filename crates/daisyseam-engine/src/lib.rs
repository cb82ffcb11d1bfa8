//! The session engine: what happens to a caller's requests, whatever protocols are spoken.
//!
//! Towards callers stands [`CallerStream`], towards databases [`DatabaseConnector`]; between them
//! one code decides routes, floors, retries, limits and stops.

mod caller;
mod database;
mod request;

pub use crate::{
    caller::{
        CallerEnd,
        CallerStream, //
    },
    database::{
        ConnectError,
        ConnectionLost,
        DatabaseCall,
        DatabaseConnection,
        DatabaseConnector,
        DatabaseRefusal,
        DatabaseReply,
        DatabaseTarget,
        DatabaseVerb,
        RefusalKind, //
    },
    request::{
        CallerRequest,
        RequestVerb,
        SessionAnswer,
        SessionStart,
        StatementKind,
        TransactionMode,
        TransactionState, //
    }, //
};
