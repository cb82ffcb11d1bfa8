//! Low-level PostgreSQL client that sends and receives raw messages.

use bytes::BytesMut;
use pgwire::messages::{
    PgWireBackendMessage,
    PgWireFrontendMessage,
    response::ErrorResponse,
    startup::{
        Password,
        PasswordMessageFamily,
        Startup, //
    }, //
};
use std::net::SocketAddr;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream, //
};

/// Tag and body of a message from the server.
pub type RawMessage = (u8, Vec<u8>);

/// Low-level PostgreSQL client that sends and receives raw messages.
pub struct RawCaller {
    stream: TcpStream,
}

impl RawCaller {
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        Self { stream }
    }

    /// Connects and logs in with a key.
    pub async fn log_in(address: SocketAddr, user: &str, key: &str) -> Self {
        Self::log_in_with(address, user, key, &[]).await
    }

    /// Connects with startup parameters and logs in with a key.
    pub async fn log_in_with(
        address: SocketAddr,
        user: &str,
        key: &str,
        parameters: &[(&str, &str)],
    ) -> Self {
        let mut caller = Self::connect(address).await;
        caller.send_startup(user, "bookings", parameters).await;
        if user != "open" {
            assert_eq!(caller.read().await.unwrap().0, b'R');
            caller.send_key(key).await;
        }
        caller.read_until_ready().await;
        caller
    }

    pub async fn send_startup(&mut self, user: &str, database: &str, parameters: &[(&str, &str)]) {
        let mut startup = Startup::new();
        let fixed = [("user", user), ("database", database)];
        for (name, value) in fixed.iter().chain(parameters) {
            let pair = ((*name).to_owned(), (*value).to_owned());
            startup.parameters.extend([pair]);
        }
        self.send(PgWireFrontendMessage::Startup(startup)).await;
    }

    pub async fn send_key(&mut self, key: &str) {
        let password = Password::new(key.to_owned());
        let family = PasswordMessageFamily::Password(password);
        self.send(PgWireFrontendMessage::PasswordMessageFamily(family))
            .await;
    }

    pub async fn send(&mut self, message: PgWireFrontendMessage) {
        let mut bytes = BytesMut::new();
        message.encode(&mut bytes).unwrap();
        self.write(&bytes).await;
    }

    pub async fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.unwrap();
    }

    pub async fn try_write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes).await
    }

    pub async fn try_shut_down(&mut self) -> std::io::Result<()> {
        self.stream.shutdown().await
    }

    /// Shuts down the sending direction of the connection.
    pub async fn shut_down(&mut self) {
        self.stream.shutdown().await.unwrap();
    }

    /// Reads a single byte outside the message framing.
    pub async fn read_byte(&mut self) -> u8 {
        self.stream.read_u8().await.unwrap()
    }

    /// Reads the next message; returns `None` when the connection is closed.
    pub async fn read(&mut self) -> Option<RawMessage> {
        let tag = self.stream.read_u8().await.ok()?;
        let length = self.stream.read_u32().await.ok()?;
        let mut body = vec![0; length as usize - 4];
        self.stream.read_exact(&mut body).await.ok()?;
        Some((tag, body))
    }

    /// Reads messages up to and including `ReadyForQuery`.
    pub async fn read_until_ready(&mut self) -> Vec<RawMessage> {
        let mut messages = Vec::new();
        loop {
            let message = self.read().await.expect("the connection is open");
            let ready = message.0 == b'Z';
            messages.push(message);
            if ready {
                return messages;
            }
        }
    }

    /// Reads messages until the connection is closed.
    pub async fn read_until_closed(&mut self) -> Vec<RawMessage> {
        let mut messages = Vec::new();
        while let Some(message) = self.read().await {
            messages.push(message);
        }
        messages
    }

    /// Reads messages up to and including one with this tag.
    pub async fn read_until(&mut self, tag: u8) -> Vec<RawMessage> {
        let mut messages = Vec::new();
        loop {
            let message = self.read().await.expect("the connection is open");
            let found = message.0 == tag;
            messages.push(message);
            if found {
                return messages;
            }
        }
    }
}

/// Returns the tags of the messages as a string.
pub fn tags(messages: &[RawMessage]) -> String {
    messages.iter().map(|(tag, _)| char::from(*tag)).collect()
}

/// Returns a field of the first error in the messages.
pub fn error_field(messages: &[RawMessage], field: u8) -> Option<String> {
    let (_, body) = messages.iter().find(|(tag, _)| *tag == b'E')?;
    let mut rest = body.as_slice();
    while let Some((code, tail)) = rest.split_first() {
        let end = tail.iter().position(|byte| *byte == 0)?;
        if *code == field {
            return Some(String::from_utf8_lossy(&tail[..end]).into_owned());
        }
        rest = &tail[end + 1..];
    }
    None
}

/// Returns the error response of a database.
pub fn database_error(sqlstate: &str, message: &str) -> PgWireBackendMessage {
    PgWireBackendMessage::ErrorResponse(ErrorResponse::new(vec![
        (b'S', "ERROR".to_owned()),
        (b'V', "ERROR".to_owned()),
        (b'C', sqlstate.to_owned()),
        (b'M', message.to_owned()),
    ]))
}
