//! A link to a database that is held by another instance.

use super::{
    client::PeerClient,
    connection::{
        CHUNK_BYTES_MAX,
        PeerConnection,
        RequestId,
        receive_for, //
    }, //
};
use crate::{
    DatabaseLink,
    LinkError,
    database::decode_context, //
};
use bytes::BytesMut;
use daisyseam_wire::{
    CancelLink,
    LinkData,
    LinkRelease,
    MessageReceiver,
    PeerMessage,
    PeerSocket,
    StreamError,
    peer_message::Body, //
};
use pgwire::messages::{
    DecodeContext,
    PgWireBackendMessage,
    PgWireFrontendMessage, //
};
use std::{
    future::pending,
    net::SocketAddr, //
};

/// Largest number of bytes read ahead while the peer accepts no data.
const READ_AHEAD_BYTES: usize = 1 << 20;

/// A link relayed by the holder of the database; dropping it closes the database connection.
pub struct PeerLink {
    client: PeerClient,
    address: SocketAddr,
    connection: PeerConnection,
    id: RequestId,
    outgoing: BytesMut,
    incoming: IncomingBytes,
    send_in_progress: bool,
}

impl PeerLink {
    pub(super) fn new(
        client: PeerClient,
        address: SocketAddr,
        connection: PeerConnection,
        id: RequestId,
    ) -> Self {
        Self {
            client,
            address,
            connection,
            id,
            outgoing: BytesMut::new(),
            incoming: IncomingBytes {
                buffer: BytesMut::new(),
                context: decode_context(),
                error: None,
            },
            send_in_progress: false,
        }
    }

    async fn send_body(&mut self, body: Body) -> Result<(), LinkError> {
        if self.send_in_progress {
            return Err(LinkError(
                "a previous message was sent only in part".to_owned(),
            ));
        }
        self.send_in_progress = true;
        let message = self.id.message(body);
        let PeerConnection { sender, receiver } = &mut self.connection;
        let incoming = &mut self.incoming;
        let id = self.id;
        let read_ahead = async {
            while incoming.buffer.len() < READ_AHEAD_BYTES && incoming.error.is_none() {
                incoming.read(receiver, id).await;
            }
            pending::<()>().await;
        };
        let sent = tokio::select! {
            biased;
            sent = sender.send(&message) => sent,
            () = read_ahead => unreachable!("the read-ahead future never completes"),
        };
        self.send_in_progress = false;
        sent.map_err(broken)
    }
}

impl DatabaseLink for PeerLink {
    async fn send(&mut self, message: PgWireFrontendMessage) -> Result<(), LinkError> {
        message
            .encode(&mut self.outgoing)
            .map_err(|error| LinkError(error.to_string()))?;
        if self.outgoing.len() >= CHUNK_BYTES_MAX {
            self.flush().await?;
        }
        Ok(())
    }

    async fn flush(&mut self) -> Result<(), LinkError> {
        while !self.outgoing.is_empty() {
            let length = self.outgoing.len().min(CHUNK_BYTES_MAX);
            let bytes = self.outgoing.split_to(length).freeze();
            self.send_body(Body::Request(LinkData { bytes })).await?;
        }
        Ok(())
    }

    async fn receive(&mut self) -> Result<PgWireBackendMessage, LinkError> {
        loop {
            if let Some(message) = self.incoming.next()? {
                return Ok(message);
            }
            if let Some(error) = &self.incoming.error {
                return Err(error.clone());
            }
            tokio::select! {
                biased;
                () = self.incoming.read(&mut self.connection.receiver, self.id) => {}
                () = self.client.wait_until_unreachable(self.address) => {
                    let detail = "the holder of the database is unreachable";
                    self.incoming.error = Some(LinkError(detail.to_owned()));
                }
            }
        }
    }

    async fn cancel(&mut self) {
        let target = self.id.request;
        // A broken link has nothing left to cancel.
        let _ = self.send_body(Body::Cancel(CancelLink { target })).await;
    }

    fn release(mut self) {
        let unfinished = self.send_in_progress || !self.outgoing.is_empty();
        if unfinished || self.incoming.error.is_some() || !self.incoming.buffer.is_empty() {
            return;
        }
        tokio::spawn(async move {
            let release = Body::Release(LinkRelease { clean: true });
            if self.connection.send(self.id, release).await.is_ok() {
                self.client.return_idle(self.address, self.connection);
            }
        });
    }
}

/// Received data that has not been returned yet.
struct IncomingBytes {
    buffer: BytesMut,
    context: DecodeContext,
    error: Option<LinkError>,
}

impl IncomingBytes {
    fn next(&mut self) -> Result<Option<PgWireBackendMessage>, LinkError> {
        PgWireBackendMessage::decode(&mut self.buffer, &self.context)
            .map_err(|error| LinkError(error.to_string()))
    }

    /// Receives the next chunk, or records the error that ends the link.
    async fn read(
        &mut self,
        receiver: &mut MessageReceiver<PeerSocket, PeerMessage>,
        id: RequestId,
    ) {
        match receive_for(receiver, id).await {
            Ok(Body::Reply(reply)) => {
                self.buffer.extend_from_slice(&reply.bytes);
                if reply.lost {
                    let detail = "the holder lost the connection to the database";
                    self.error = Some(LinkError(detail.to_owned()));
                }
            }
            Ok(_) => self.error = Some(broken(StreamError::Closed)),
            Err(error) => self.error = Some(broken(error)),
        }
    }
}

fn broken(error: StreamError) -> LinkError {
    LinkError(error.to_string())
}
