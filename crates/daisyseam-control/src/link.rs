//! Outgoing connections to the other members of control.

use crate::{
    names::ConnectionNames,
    node::NodeMessage, //
};
use daisyseam_model::ClusterId;
use daisyseam_runtime::{
    Dialer,
    TimerService, //
};
use daisyseam_wire::{
    ControlMessage,
    MessageStream,
    PeerRole,
    PeerSecurity,
    PeerSocket,
    control_message::Body, //
};
use ractor::ActorRef;
use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};
use tokio::{
    sync::mpsc,
    task::AbortHandle, //
};

/// Maximum number of messages queued for a connection; more are dropped, as a network may do.
const QUEUE_LENGTH_MAX: usize = 256;
/// Bounds of the delay between attempts to connect.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(50);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(400);
/// Time limit for an attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without a reply after which the connection is reopened, since it may be dead while new ones
/// would work.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Dependencies shared by all links.
#[derive(Clone)]
pub(crate) struct LinkContext {
    pub(crate) cluster: ClusterId,
    pub(crate) dialer: Dialer,
    pub(crate) security: PeerSecurity,
    pub(crate) timer: TimerService,
    pub(crate) node: ActorRef<NodeMessage>,
}

/// A connection to another member, which is closed on drop.
pub(crate) struct MemberLink {
    address: SocketAddr,
    sender: mpsc::Sender<Body>,
    task: AbortHandle,
}

impl MemberLink {
    pub(crate) fn start(address: SocketAddr, context: LinkContext) -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE_LENGTH_MAX);
        let task = tokio::spawn(run_link(address, context, receiver));
        Self {
            address,
            sender,
            task: task.abort_handle(),
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a message unless the queue is full; the log repeats lost messages.
    pub(crate) fn send(&self, body: Body) {
        let _ = self.sender.try_send(body);
    }
}

impl Drop for MemberLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run_link(address: SocketAddr, context: LinkContext, mut receiver: mpsc::Receiver<Body>) {
    let mut delay = RETRY_DELAY_MIN;
    loop {
        let until = context.timer.now() + CONNECT_TIMEOUT;
        let connect = connect_member(&context, address);
        if let Some(Ok(socket)) = context.timer.within(until, connect).await {
            // Messages queued while connecting are too old to be useful.
            while receiver.try_recv().is_ok() {}
            if exchange(socket, &context, &mut receiver).await.is_none() {
                return;
            }
            delay = RETRY_DELAY_MIN;
        }
        context.timer.after(delay).await;
        delay = (delay * 2).min(RETRY_DELAY_MAX);
    }
}

async fn connect_member(context: &LinkContext, address: SocketAddr) -> io::Result<PeerSocket> {
    let socket = context.dialer.connect(address).await?;
    context.security.client(socket, PeerRole::Control).await
}

/// Exchanges messages until the connection fails; returns `None` if the link or the node has ended.
async fn exchange(
    socket: PeerSocket,
    context: &LinkContext,
    receiver: &mut mpsc::Receiver<Body>,
) -> Option<()> {
    let stream = MessageStream::<_, ControlMessage>::new(socket, context.cluster.clone());
    let (mut sender, mut answers) = stream.split();
    let timer = &context.timer;
    let mut unanswered_since = None;
    let (mut sent_names, mut received_names) =
        (ConnectionNames::default(), ConnectionNames::default());
    loop {
        let reply_deadline = unanswered_since.unwrap_or_else(|| timer.now()) + REPLY_TIMEOUT;
        tokio::select! {
            body = receiver.recv() => {
                let mut body = body?;
                sent_names.omit_known(&mut body);
                if expects_reply(&body) {
                    unanswered_since.get_or_insert_with(|| timer.now());
                }
                let message = ControlMessage { body: Some(body) };
                let sent = timer.within(reply_deadline, sender.send(&message)).await;
                if !matches!(sent, Some(Ok(()))) {
                    return Some(());
                }
            }
            () = timer.at(reply_deadline), if unanswered_since.is_some() => {
                log::debug!("a connection to a member timed out");
                return Some(());
            }
            answer = answers.receive() => match answer {
                Ok(ControlMessage { body: Some(mut body) }) => {
                    received_names.restore(&mut body);
                    unanswered_since = None;
                    let message = NodeMessage::Peer { body, route: None };
                    context.node.cast(message).ok()?;
                }
                Ok(ControlMessage { body: None }) => {}
                Err(error) => {
                    log::debug!("a connection to a member ended: {error}");
                    return Some(());
                }
            },
        }
    }
}

/// Returns whether the other member replies to a message on the same connection.
fn expects_reply(body: &Body) -> bool {
    matches!(body, Body::Vote(_) | Body::Append(_) | Body::Snapshot(_))
}
