//! Logs as JSON lines.

use displaydoc::Display;
use log::{
    LevelFilter,
    SetLoggerError, //
};
use log4rs::{
    append::{
        Append,
        console::{
            ConsoleAppender,
            Target, //
        },
        file::FileAppender, //
    },
    config::{
        Appender,
        Config,
        Root,
        runtime::ConfigErrors, //
    },
    encode::json::JsonEncoder, //
};
use std::{
    error::Error,
    io,
    path::Path, //
};

/// Environment variable with the lowest log level to write; `warn` if it is not set.
pub const LOG_LEVEL_VARIABLE: &str = "DAISYSEAM_LOG";

/// Name of the only appender.
const APPENDER: &str = "lines";

/// Why logging could not start.
#[derive(Debug, Display)]
pub enum LogsError {
    /// the log file cannot be opened: {0}
    File(io::Error),
    /// the logger cannot be set up: {0}
    Config(ConfigErrors),
    /// a logger is already set: {0}
    Set(SetLoggerError),
}

impl Error for LogsError {}

/// Reads the log level from the environment.
///
/// # Errors
///
/// The value of the variable, if it is not a log level.
pub fn log_level() -> Result<LevelFilter, String> {
    match std::env::var(LOG_LEVEL_VARIABLE) {
        Ok(level) => level.parse().map_err(|_| level),
        Err(_) => Ok(LevelFilter::Warn),
    }
}

/// Starts logging to standard error, or to a file.
///
/// # Errors
///
/// [`LogsError`] when the file cannot be opened or a logger is already set.
pub fn start_logs(level: LevelFilter, file: Option<&Path>) -> Result<(), LogsError> {
    let encoder = Box::new(JsonEncoder::new());
    let appender: Box<dyn Append> = match file {
        Some(path) => {
            let appender = FileAppender::builder()
                .encoder(encoder)
                .build(path)
                .map_err(LogsError::File)?;
            Box::new(appender)
        }
        None => {
            let builder = ConsoleAppender::builder().encoder(encoder);
            Box::new(builder.target(Target::Stderr).build())
        }
    };
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, appender))
        .build(Root::builder().appender(APPENDER).build(level))
        .map_err(LogsError::Config)?;
    log4rs::init_config(config).map_err(LogsError::Set)?;
    Ok(())
}
