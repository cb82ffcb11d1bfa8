//! The session engine: what happens to a caller's requests, whatever protocols are spoken.
//!
//! Towards callers stands [`CallerStream`], towards databases [`DatabaseConnector`]; between them
//! one code decides routes, floors, retries, limits and stops.

mod attempt;
mod caller;
mod counters;
mod database;
mod engine;
mod health;
mod identity;
mod lease;
mod memory;
mod observer;
mod outages;
mod pool;
mod request;
mod route;
mod samples;
mod session;
mod times;
mod values;
mod writers;

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
    engine::{
        EngineSettings,
        SessionEngine, //
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
