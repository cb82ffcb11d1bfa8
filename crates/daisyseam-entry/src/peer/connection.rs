//! A connection between two entry instances.

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

/// Largest amount of protocol data in a message.
pub(super) const CHUNK_BYTES_MAX: usize = 256 << 10;

/// Incarnation of the requesting instance and number of the request.
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

/// A connection whose two directions can be used concurrently.
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

    /// Receives the body of the next message, which must belong to the request.
    pub(super) async fn receive(&mut self, id: RequestId) -> Result<Body, StreamError> {
        receive_for(&mut self.receiver, id).await
    }
}

/// Waits until an instance that was in the view has been removed from it.
pub(super) async fn wait_until_removed(cell: &ViewCell, incarnation: Incarnation) {
    let mut changes = cell.subscribe();
    let mut seen = false;
    loop {
        let view = &cell.held().view;
        let mut instances = view.instances.values();
        let present = instances.any(|instance| instance.incarnation == incarnation);
        if seen && !present {
            return;
        }
        // The other instance may receive the view that contains it before this one does.
        seen |= present;
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Receives the body of the next message, which must belong to the request.
///
/// # Errors
///
/// [`StreamError::Closed`] when it belongs to another request; the connection must not be reused.
pub(super) async fn receive_for(
    receiver: &mut MessageReceiver<PeerSocket, PeerMessage>,
    id: RequestId,
) -> Result<Body, StreamError> {
    let message = receiver.receive().await?;
    if RequestId::of(&message) != id {
        log::warn!(
            "received a peer message that belongs to another request; closing the connection"
        );
        return Err(StreamError::Closed);
    }
    message.body.ok_or(StreamError::Closed)
}
