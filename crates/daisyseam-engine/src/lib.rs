//! The session engine: processes caller requests independently of the protocols in use.
//!
//! [`CallerStream`] abstracts the protocol of callers, [`DatabaseConnector`] that of databases. The
//! code between them is shared by all protocols and implements routing, read floors, retries,
//! limits and shutdown.

mod attempt;
mod caller;
mod confirmation;
mod connection_state;
mod counters;
mod database;
mod engine;
mod health;
mod identity;
mod lease;
mod link;
mod log_ends;
mod observer;
mod outages;
mod pool;
mod primary_check;
mod relay;
mod request;
mod route;
mod samples;
mod session;
mod times;
mod urgency;
mod usage;
mod values;
mod writers;

pub use crate::{
    caller::{
        CallerDisconnect,
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
    relay::RelaySettings,
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
