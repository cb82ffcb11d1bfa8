//! One caller's connection, with the session token that it may take elsewhere.

use super::history::WriteOutcome;
use displaydoc::Display;
use std::{
    future::{
        Future,
        poll_fn, //
    },
    io,
    net::SocketAddr,
    pin::pin,
    task::{
        Context,
        Poll, //
    }, //
};
use tokio::net::TcpStream;
use tokio_postgres::{
    CancelToken,
    Client,
    Config,
    Connection,
    Error,
    NoTls,
    Row,
    tls::NoTlsStream,
    types::{
        ToSql,
        Type, //
    }, //
};

/// Parameter in which an entry reports the session's token.
const TOKEN_PARAMETER: &str = "daisyseam.session";

/// To whom a caller connects, and as whom.
#[derive(Clone, Debug)]
pub struct CallerTarget {
    /// Address of an entry instance, or of a database.
    pub address: SocketAddr,
    /// Organisation.
    pub user: String,
    /// Its key.
    pub password: String,
    /// Service.
    pub service: String,
}

/// Why a caller's connection or statement failed.
#[derive(Debug, Display)]
pub enum CallError {
    /// the address does not answer: {0}
    Io(io::Error),
    /// {0}
    Postgres(Error),
}

impl std::error::Error for CallError {}

impl From<Error> for CallError {
    fn from(error: Error) -> Self {
        Self::Postgres(error)
    }
}

impl CallError {
    /// Returns the SQLSTATE of an answer, or words for a connection without one.
    pub fn code(&self) -> &str {
        match self {
            Self::Postgres(error) => match error.code() {
                Some(code) => code.code(),
                None => "connection_lost",
            },
            Self::Io(_) => "connection_refused",
        }
    }

    /// Reads what became of the statement.
    pub fn outcome(&self) -> WriteOutcome {
        let code = self.code().to_owned();
        let Self::Postgres(error) = self else {
            return WriteOutcome::NotRun(code);
        };
        let Some(answer) = error.as_db_error() else {
            return WriteOutcome::Unknown(code);
        };
        match answer.hint() {
            Some(hint) if hint.starts_with("not run") => WriteOutcome::NotRun(code),
            Some(hint) if hint.starts_with("unknown") => WriteOutcome::Unknown(code),
            // The database itself refused the statement and undid it.
            _ => WriteOutcome::Failed(code),
        }
    }
}

/// A caller's connection.
///
/// Connection and statement are polled by the same task, connection first, so that the token of a
/// statement is known when the statement is over.
pub struct CallerSession {
    client: Client,
    /// None once it has ended, so that statements fail and do not wait.
    connection: Option<CallerConnection>,
    token: Option<String>,
    /// What the entry said when it ended the connection.
    farewell: Option<Error>,
}

type CallerConnection = Connection<TcpStream, NoTlsStream>;

impl CallerSession {
    /// Connects, with the token of an earlier session if there is one.
    ///
    /// # Errors
    ///
    /// When the connection is refused or fails.
    pub async fn connect(target: &CallerTarget, token: Option<&str>) -> Result<Self, CallError> {
        let mut config = Config::new();
        config
            .user(&target.user)
            .password(&target.password)
            .dbname(&target.service);
        if let Some(token) = token {
            config.options(format!("-c {TOKEN_PARAMETER}={token}"));
        }
        let socket = TcpStream::connect(target.address).await;
        let socket = socket.map_err(CallError::Io)?;
        socket.set_nodelay(true).map_err(CallError::Io)?;
        let (client, connection) = config.connect_raw(socket, NoTls).await?;
        let mut token = token.map(str::to_owned);
        copy_token(&connection, &mut token);
        Ok(Self {
            client,
            connection: Some(connection),
            token,
            farewell: None,
        })
    }

    /// Returns the token as of the last statement.
    pub fn token(&self) -> Option<&str> {
        self.token.as_deref()
    }

    /// Returns whether the connection has ended.
    pub fn is_ended(&self) -> bool {
        self.connection.is_none()
    }

    /// Returns what cancels the running statement.
    pub fn cancel_token(&self) -> CancelToken {
        self.client.cancel_token()
    }

    /// Runs a statement with parameters of stated types and returns its rows.
    ///
    /// # Errors
    ///
    /// As [`Client::query_typed`].
    pub async fn query(
        &mut self,
        text: &str,
        parameters: &[(&(dyn ToSql + Sync), Type)],
    ) -> Result<Vec<Row>, CallError> {
        let work = self.client.query_typed(text, parameters);
        let farewell = &mut self.farewell;
        let result = drive(&mut self.connection, &mut self.token, farewell, work).await;
        result.map_err(|error| self.explain(error))
    }

    /// Runs a text of one or more statements.
    ///
    /// # Errors
    ///
    /// As [`Client::batch_execute`].
    pub async fn batch(&mut self, text: &str) -> Result<(), CallError> {
        let work = self.client.batch_execute(text);
        let farewell = &mut self.farewell;
        let result = drive(&mut self.connection, &mut self.token, farewell, work).await;
        result.map_err(|error| self.explain(error))
    }

    /// Runs any work with the client.
    pub async fn with<T>(&mut self, work: impl AsyncFnOnce(&Client) -> T) -> T {
        let work = work(&self.client);
        let farewell = &mut self.farewell;
        drive(&mut self.connection, &mut self.token, farewell, work).await
    }

    /// Returns what the entry said at the end, in place of the mere fact that it ended.
    fn explain(&mut self, error: Error) -> CallError {
        let farewell = self.farewell.take_if(|_| error.is_closed());
        CallError::Postgres(farewell.unwrap_or(error))
    }
}

fn copy_token(connection: &CallerConnection, token: &mut Option<String>) {
    let told = connection.parameter(TOKEN_PARAMETER);
    if let Some(told) = told.filter(|told| !told.is_empty())
        && token.as_deref() != Some(told)
    {
        *token = Some(told.to_owned());
    }
}

async fn drive<T>(
    connection: &mut Option<CallerConnection>,
    token: &mut Option<String>,
    farewell: &mut Option<Error>,
    work: impl Future<Output = T>,
) -> T {
    let mut work = pin!(work);
    poll_fn(|context| {
        pump(connection, token, farewell, context);
        let polled = work.as_mut().poll(context);
        if polled.is_pending() {
            // What the work has just queued is sent now; an answer wakes the task again.
            pump(connection, token, farewell, context);
        }
        polled
    })
    .await
}

/// Sends and receives until there is no more to do for now.
fn pump(
    connection: &mut Option<CallerConnection>,
    token: &mut Option<String>,
    farewell: &mut Option<Error>,
    context: &mut Context<'_>,
) {
    while let Some(open) = connection {
        let polled = open.poll_message(context);
        copy_token(open, token);
        match polled {
            Poll::Ready(Some(Ok(message))) => log::trace!("told: {message:?}"),
            Poll::Ready(end) => {
                *farewell = end
                    .and_then(Result::err)
                    .filter(|error| error.code().is_some());
                *connection = None;
                context.waker().wake_by_ref();
            }
            Poll::Pending => return,
        }
    }
}
