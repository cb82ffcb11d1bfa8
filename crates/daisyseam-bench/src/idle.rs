//! Connections that only are there, with nothing kept on the caller's side but the socket.

use crate::load::CallerTarget;
use bytes::BytesMut;
use pgwire::messages::{
    DecodeContext,
    PgWireBackendMessage,
    PgWireFrontendMessage,
    startup::{
        Authentication,
        Password,
        PasswordMessageFamily,
        Startup, //
    }, //
};
use std::io;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream, //
};

/// Connects, starts up and returns the bare socket.
///
/// # Errors
///
/// When the connection is refused or fails.
pub async fn open_idle(target: &CallerTarget) -> io::Result<TcpStream> {
    let mut socket = TcpStream::connect(target.address).await?;
    let mut startup = Startup::default();
    let parameters = [("user", &target.user), ("database", &target.service)];
    for (name, value) in parameters {
        startup.parameters.insert(name.to_owned(), value.clone());
    }
    send(&mut socket, &PgWireFrontendMessage::Startup(startup)).await?;
    let mut buffer = BytesMut::new();
    let context = DecodeContext::default();
    loop {
        let message = PgWireBackendMessage::decode(&mut buffer, &context);
        match message.map_err(io::Error::other)? {
            None => {
                if socket.read_buf(&mut buffer).await? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            Some(PgWireBackendMessage::Authentication(Authentication::CleartextPassword)) => {
                let password = Password::new(target.password.clone());
                let family = PasswordMessageFamily::Password(password);
                send(
                    &mut socket,
                    &PgWireFrontendMessage::PasswordMessageFamily(family),
                )
                .await?;
            }
            Some(PgWireBackendMessage::ErrorResponse(error)) => {
                return Err(io::Error::other(format!("{error:?}")));
            }
            Some(PgWireBackendMessage::ReadyForQuery(_)) => return Ok(socket),
            Some(_) => {}
        }
    }
}

async fn send(socket: &mut TcpStream, message: &PgWireFrontendMessage) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    message.encode(&mut buffer).map_err(io::Error::other)?;
    socket.write_all(&buffer).await
}
