//! Infrastructure shared by all daemons.
//!
//! Settings with validation, JSON logs, metrics, spans, the timer service, health pages and the
//! signal for a graceful stop.

mod addresses;
mod clock;
mod dialer;
mod health;
pub mod intake;
mod logs;
mod metrics;
mod operator;
mod security;
mod settings;
mod shutdown;
mod socket;
mod span;
mod timer;

pub use crate::{
    addresses::ControlAddresses,
    clock::BootClock,
    dialer::Dialer,
    health::{
        HealthServer,
        HealthState, //
    },
    logs::{
        LOG_LEVEL_VARIABLE,
        LogsError,
        log_level,
        start_logs, //
    },
    metrics::{
        MetricClient,
        MetricsError, //
    },
    operator::{
        OperatorClient,
        OperatorError, //
    },
    security::SecurityFlags,
    settings::{
        SettingProblem,
        SettingReader, //
    },
    shutdown::{
        StopSignal,
        stop_on_signal, //
    },
    socket::{
        tune_caller_socket,
        tune_discarding_socket,
        tune_socket, //
    },
    span::{
        HopSpan,
        SpanExporter,
        TraceContext, //
    },
    timer::{
        TimerFuture, //
        TimerService,
    }, //
};

/// Exit codes shared by all programs of the system.
pub mod exit {
    /// The program completed as requested.
    pub const SUCCESS: i32 = 0;
    /// An operation failed at run time.
    pub const FAILURE: i32 = 1;
    /// The command line or a setting is not valid.
    pub const USAGE: i32 = 2;
    /// The graceful stop did not complete before its deadline.
    pub const STOP_DEADLINE: i32 = 3;
    /// The data folder is damaged, belongs to another instance, or failed.
    pub const DATA_FOLDER: i32 = 4;
    /// The document has errors.
    pub const INVALID_DOCUMENT: i32 = 5;
    /// Another submission took the document number first.
    pub const LOST_RACE: i32 = 6;
    /// No control instance answered.
    pub const UNREACHABLE: i32 = 7;
}
