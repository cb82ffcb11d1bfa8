//! Relays the messages of a link between a peer and a database.

use super::connection::{
    CHUNK_BYTES_MAX,
    PeerConnection,
    RequestId,
    receive_for,
    wait_until_removed, //
};
use crate::{
    LinkError,
    ViewCell,
    database::{
        CancelHandle,
        ConnectionReader,
        ConnectionWriter,
        DatabaseConnection,
        decode_context, //
    }, //
};
use bytes::BytesMut;
use daisyseam_model::Incarnation;
use daisyseam_wire::{
    LinkReply,
    MessageReceiver,
    MessageSender,
    PeerMessage,
    PeerSocket,
    StreamError,
    peer_message::Body, //
};
use pgwire::messages::PgWireFrontendMessage;

/// How a relayed link ended.
pub(super) enum RelayOutcome {
    /// The peer released the link; true if it is clean and no message is incomplete.
    Released(bool),
    /// The connection to the database failed.
    DatabaseLost(LinkError),
    /// The connection to the peer failed.
    PeerLost(StreamError),
}

/// Relays messages in both directions until the link is released, a connection fails, or the
/// requesting instance is removed from the view.
pub(super) async fn relay(
    id: RequestId,
    peer: &mut PeerConnection,
    connection: &mut DatabaseConnection,
    cell: &ViewCell,
) -> RelayOutcome {
    let cancel = connection.cancel_handle();
    let PeerConnection { sender, receiver } = peer;
    let (writer, reader) = connection.split();
    tokio::select! {
        end = relay_to_database(id, receiver, writer, &cancel) => end,
        end = relay_to_peer(id, reader, sender) => end,
        () = wait_until_removed(cell, Incarnation(id.incarnation)) => {
            RelayOutcome::PeerLost(StreamError::Closed)
        }
    }
}

async fn relay_to_database(
    id: RequestId,
    receiver: &mut MessageReceiver<PeerSocket, PeerMessage>,
    writer: &mut ConnectionWriter,
    cancel: &CancelHandle,
) -> RelayOutcome {
    let mut buffer = BytesMut::new();
    loop {
        match receive_for(receiver, id).await {
            Ok(Body::Request(data)) => {
                buffer.extend_from_slice(&data.bytes);
                if let Err(error) = send_complete(&mut buffer, writer).await {
                    return RelayOutcome::DatabaseLost(error);
                }
            }
            Ok(Body::Cancel(request)) if request.target == id.request => {
                tokio::spawn(cancel.clone().send());
            }
            Ok(Body::Release(release)) => {
                return RelayOutcome::Released(release.clean && buffer.is_empty());
            }
            Ok(_) => return RelayOutcome::PeerLost(StreamError::Closed),
            Err(error) => return RelayOutcome::PeerLost(error),
        }
    }
}

/// Sends the messages that have been received completely.
async fn send_complete(
    buffer: &mut BytesMut,
    writer: &mut ConnectionWriter,
) -> Result<(), LinkError> {
    let context = decode_context();
    loop {
        let message = PgWireFrontendMessage::decode(buffer, &context)
            .map_err(|error| LinkError(error.to_string()))?;
        match message {
            Some(message) => writer.send(&message).await?,
            None => return writer.flush().await,
        }
    }
}

async fn relay_to_peer(
    id: RequestId,
    reader: &mut ConnectionReader,
    sender: &mut MessageSender<PeerSocket, PeerMessage>,
) -> RelayOutcome {
    loop {
        let mut batch = match next_batch(reader).await {
            Ok(batch) => batch,
            Err(error) => return RelayOutcome::DatabaseLost(error),
        };
        // A database message may be larger than a peer message.
        while !batch.is_empty() {
            let length = batch.len().min(CHUNK_BYTES_MAX);
            let bytes = batch.split_to(length).freeze();
            let reply = Body::Reply(LinkReply { bytes, lost: false });
            if let Err(error) = sender.send(&id.message(reply)).await {
                return RelayOutcome::PeerLost(error);
            }
        }
    }
}

/// Waits for a message and returns it together with those already buffered.
async fn next_batch(reader: &mut ConnectionReader) -> Result<BytesMut, LinkError> {
    let mut batch = BytesMut::new();
    let mut message = Some(reader.receive().await?);
    while let Some(next) = message.take() {
        next.encode(&mut batch)
            .map_err(|error| LinkError(error.to_string()))?;
        if batch.len() < CHUNK_BYTES_MAX {
            // A decoding error after complete messages recurs at the next receive.
            message = reader.next_buffered().unwrap_or_default();
        }
    }
    Ok(batch)
}
