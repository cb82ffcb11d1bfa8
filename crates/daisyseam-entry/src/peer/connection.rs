//! One connection between two entry instances.

use crate::ViewCell;
use daisyseam_model::{
    ClusterId,
    Incarnation, //
};
use daisyseam_wire::{
    MessageReceiver,
    MessageSender,
    MessageStream,
    PeerMessage,
    PeerSocket,
    StreamError,
    peer_message::Body, //
};

/// Bytes of protocol data in one message, at most.
pub(super) const CHUNK_BYTES: usize = 256 << 10;

/// Who asked, and the number of the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct RequestId {
    pub(super) incarnation: u64,
    pub(super) request: u64,
}

impl RequestId {
    pub(super) fn of(message: &PeerMessage) -> Self {
        Self {
            incarnation: message.incarnation,
            request: message.request,
        }
    }

    pub(super) fn message(self, body: Body) -> PeerMessage {
        PeerMessage {
            incarnation: self.incarnation,
            request: self.request,
            body: Some(body),
        }
    }
}

/// A connection whose two ways can be used at once.
pub(super) struct PeerConnection {
    pub(super) sender: MessageSender<PeerSocket, PeerMessage>,
    pub(super) receiver: MessageReceiver<PeerSocket, PeerMessage>,
}

impl PeerConnection {
    pub(super) fn new(socket: PeerSocket, cluster: ClusterId) -> Self {
        let (sender, receiver) = MessageStream::new(socket, cluster).split();
        Self { sender, receiver }
    }

    pub(super) async fn send(&mut self, id: RequestId, body: Body) -> Result<(), StreamError> {
        self.sender.send(&id.message(body)).await
    }

    /// Receives the body of the next message that belongs to a request.
    pub(super) async fn receive(&mut self, id: RequestId) -> Result<Body, StreamError> {
        receive_for(&mut self.receiver, id).await
    }
}

/// Waits until control has taken an instance off the list on which it was.
pub(super) async fn taken_off(cell: &ViewCell, incarnation: Incarnation) {
    let mut changes = cell.subscribe();
    let mut seen = false;
    loop {
        let view = &cell.held().view;
        let mut instances = view.instances.values();
        let present = instances.any(|instance| instance.incarnation == incarnation);
        if seen && !present {
            return;
        }
        // This instance may hear of the other one later than that one of itself.
        seen |= present;
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Receives the body of the next message; one of another request ends the use of the connection.
pub(super) async fn receive_for(
    receiver: &mut MessageReceiver<PeerSocket, PeerMessage>,
    id: RequestId,
) -> Result<Body, StreamError> {
    let message = receiver.receive().await?;
    if RequestId::of(&message) != id {
        log::warn!("a peer's message belongs to another request; the connection is closed");
        return Err(StreamError::Closed);
    }
    message.body.ok_or(StreamError::Closed)
}
