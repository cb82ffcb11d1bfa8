//! Carries one link's messages between a peer and a database.

use super::connection::{
    CHUNK_BYTES,
    PeerConnection,
    RequestId,
    receive_for,
    taken_off, //
};
use crate::{
    LinkError,
    ViewCell,
    database::{
        CancelOrder,
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
pub(super) enum RelayEnd {
    /// The peer gave it back, and says whether it saw the last answer.
    Released(bool),
    /// The database's connection broke.
    DatabaseLost(LinkError),
    /// The peer's connection broke.
    PeerLost(StreamError),
}

/// Carries messages both ways at once until the link is given back, one end is lost, or the
/// asking instance is gone from the view.
pub(super) async fn relay(
    id: RequestId,
    peer: &mut PeerConnection,
    connection: &mut DatabaseConnection,
    cell: &ViewCell,
) -> RelayEnd {
    let order = connection.cancel_order();
    let PeerConnection { sender, receiver } = peer;
    let (writer, reader) = connection.split();
    tokio::select! {
        end = relay_to_database(id, receiver, writer, &order) => end,
        end = relay_to_caller(id, reader, sender) => end,
        () = taken_off(cell, Incarnation(id.incarnation)) => {
            RelayEnd::PeerLost(StreamError::Closed)
        }
    }
}

async fn relay_to_database(
    id: RequestId,
    receiver: &mut MessageReceiver<PeerSocket, PeerMessage>,
    writer: &mut ConnectionWriter,
    order: &CancelOrder,
) -> RelayEnd {
    let mut buffer = BytesMut::new();
    loop {
        match receive_for(receiver, id).await {
            Ok(Body::Request(data)) => {
                buffer.extend_from_slice(&data.bytes);
                if let Err(error) = send_whole(&mut buffer, writer).await {
                    return RelayEnd::DatabaseLost(error);
                }
            }
            Ok(Body::Cancel(cancel)) if cancel.target == id.request => {
                tokio::spawn(order.clone().send());
            }
            Ok(Body::Release(release)) => {
                return RelayEnd::Released(release.clean && buffer.is_empty());
            }
            Ok(_) => return RelayEnd::PeerLost(StreamError::Closed),
            Err(error) => return RelayEnd::PeerLost(error),
        }
    }
}

/// Sends the messages that have come in whole.
async fn send_whole(buffer: &mut BytesMut, writer: &mut ConnectionWriter) -> Result<(), LinkError> {
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

async fn relay_to_caller(
    id: RequestId,
    reader: &mut ConnectionReader,
    sender: &mut MessageSender<PeerSocket, PeerMessage>,
) -> RelayEnd {
    loop {
        let mut batch = match next_batch(reader).await {
            Ok(batch) => batch,
            Err(error) => return RelayEnd::DatabaseLost(error),
        };
        // One message may be larger than a frame.
        while !batch.is_empty() {
            let length = batch.len().min(CHUNK_BYTES);
            let bytes = batch.split_to(length).freeze();
            let reply = Body::Reply(LinkReply { bytes, lost: false });
            if let Err(error) = sender.send(&id.message(reply)).await {
                return RelayEnd::PeerLost(error);
            }
        }
    }
}

/// Waits for a message and takes those along that have come in with it.
async fn next_batch(reader: &mut ConnectionReader) -> Result<BytesMut, LinkError> {
    let mut batch = BytesMut::new();
    let mut message = Some(reader.receive().await?);
    while let Some(next) = message.take() {
        next.encode(&mut batch)
            .map_err(|error| LinkError(error.to_string()))?;
        if batch.len() < CHUNK_BYTES {
            // An error behind whole messages shows again at the next receive.
            message = reader.buffered().unwrap_or_default();
        }
    }
    Ok(batch)
}
