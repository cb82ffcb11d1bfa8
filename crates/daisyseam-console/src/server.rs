//! The console server.

use crate::{
    ConsoleSettings,
    OperatorFile,
    OperatorFileError,
    routes::{
        ConsoleState,
        routes, //
    },
    sessions::SessionTable, //
};
use daisyseam_runtime::{
    Dialer,
    HealthServer,
    HealthState,
    OperatorClient,
    TimerService, //
};
use displaydoc::Display;
use serde_json::{
    Value,
    json, //
};
use std::{
    error::Error,
    io,
    net::SocketAddr,
    sync::Arc, //
};

/// Why the console could not start.
#[derive(Debug, Display)]
pub enum ConsoleError {
    /// {0}
    Operators(OperatorFileError),
    /// cannot listen on {0}: {1}
    Listen(SocketAddr, io::Error),
}

impl Error for ConsoleError {}

/// A running console; dropping it stops the server.
pub struct ConsoleServer {
    server: HealthServer,
}

impl ConsoleServer {
    /// Starts the console.
    ///
    /// # Errors
    ///
    /// [`ConsoleError`] when the operators file cannot be read or the address cannot be bound.
    pub async fn start(settings: ConsoleSettings) -> Result<Self, ConsoleError> {
        let operators = OperatorFile::read(&settings.operators).map_err(ConsoleError::Operators)?;
        let timer = TimerService::start();
        let client = OperatorClient::new(
            settings.cluster,
            settings.control,
            Dialer::default(),
            settings.security,
            timer.clone(),
            settings.timeout,
        );
        let state = ConsoleState {
            operators: Arc::new(operators),
            sessions: SessionTable::default(),
            client,
            timer,
            secure_cookie: settings.secure_cookie,
        };
        let server = HealthServer::start(settings.listen, ConsoleHealth, routes(state))
            .await
            .map_err(|error| ConsoleError::Listen(settings.listen, error))?;
        Ok(Self { server })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

/// The health state of the console, which has no state that could make it not ready.
#[derive(Clone)]
struct ConsoleHealth;

impl HealthState for ConsoleHealth {
    fn not_ready(&self) -> Option<String> {
        None
    }

    fn status(&self) -> Value {
        json!({"role": "console"})
    }
}
