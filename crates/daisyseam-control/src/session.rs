//! Incoming connections from entries, operators and other members.

use crate::{
    names::ConnectionNames,
    node::NodeMessage, //
};
use daisyseam_model::ClusterId;
use daisyseam_runtime::{
    TimerService,
    tune_socket, //
};
use daisyseam_wire::{
    ControlMessage,
    MessageStream,
    PeerRole,
    PeerSecurity,
    control_message::Body, //
};
use ractor::ActorRef;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        OwnedSemaphorePermit,
        Semaphore,
        mpsc, //
    },
    task::JoinSet, //
};

/// Maximum number of concurrent connections.
const SESSIONS_MAX: usize = 8_192;
/// Maximum number of replies queued for one connection.
const QUEUED_REPLIES_MAX: usize = 256;

/// Roles that may connect.
const ALLOWED_ROLES: [PeerRole; 3] = [PeerRole::Entry, PeerRole::Control, PeerRole::Operator];

/// Queue of replies to a connection.
pub(crate) type ReplySender = mpsc::Sender<Body>;

/// Time limit for authenticating the peer of a new connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time without a message after which a connection from a member or entry is closed; also the time
/// limit for sending a reply.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Dependencies shared by all sessions.
#[derive(Clone)]
pub(crate) struct SessionContext {
    pub(crate) cluster: ClusterId,
    pub(crate) security: PeerSecurity,
    pub(crate) timer: TimerService,
    pub(crate) node: ActorRef<NodeMessage>,
}

/// Accepts connections until the task is aborted, which also ends all sessions.
pub(crate) async fn accept_sessions(listener: TcpListener, context: SessionContext) {
    let permits = Arc::new(Semaphore::new(SESSIONS_MAX));
    let mut sessions = JoinSet::new();
    loop {
        while sessions.try_join_next().is_some() {}
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((socket, address)) => {
                sessions.spawn(run_session(socket, address, context.clone(), permit));
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                context.timer.after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn run_session(
    socket: TcpStream,
    address: SocketAddr,
    context: SessionContext,
    _permit: OwnedSemaphorePermit,
) {
    if let Err(error) = tune_socket(&socket) {
        log::debug!("{address}: {error}");
    }
    let until = context.timer.now() + HANDSHAKE_TIMEOUT;
    let secured = context.security.server_of(socket, &ALLOWED_ROLES);
    let (socket, role) = match context.timer.within(until, secured).await {
        Some(Ok(secured)) => secured,
        Some(Err(error)) => {
            log::warn!("rejected the connection from {address}: {error}");
            return;
        }
        None => return,
    };
    let node = context.node;
    let timer = context.timer;
    let mut sends_periodically = false;
    let (mut sent_names, mut received_names) =
        (ConnectionNames::default(), ConnectionNames::default());
    let mut last_received_at = timer.now();
    let stream = MessageStream::<_, ControlMessage>::new(socket, context.cluster);
    let (mut sender, mut receiver) = stream.split();
    let (replies, mut outgoing) = mpsc::channel(QUEUED_REPLIES_MAX);
    loop {
        tokio::select! {
            received = receiver.receive() => {
                let mut body = match received {
                    Ok(ControlMessage { body: Some(body) }) => body,
                    // A newer peer may send a message that this version does not know.
                    Ok(ControlMessage { body: None }) => continue,
                    Err(error) => {
                        log::debug!("the connection from {address} ended: {error}");
                        return;
                    }
                };
                received_names.restore(&mut body);
                last_received_at = timer.now();
                sends_periodically |= is_sent_periodically(&body);
                if !may_send(role, &body) {
                    log::warn!("closing the connection from {address}: its role may not send this message");
                    return;
                }
                if node.cast(route(body, &replies)).is_err() {
                    return;
                }
            }
            () = timer.at(last_received_at + IDLE_TIMEOUT), if sends_periodically => {
                log::debug!("the connection from {address} timed out");
                return;
            }
            Some(mut body) = outgoing.recv() => {
                sent_names.omit_known(&mut body);
                let message = ControlMessage { body: Some(body) };
                let until = timer.now() + IDLE_TIMEOUT;
                let sent = timer.within(until, sender.send(&message)).await;
                if !matches!(sent, Some(Ok(()))) {
                    log::debug!("sending a reply to {address} failed or timed out");
                    return;
                }
            }
        }
    }
}

/// Returns whether a sender of this message keeps sending messages periodically.
fn is_sent_periodically(body: &Body) -> bool {
    is_between_members(body) || matches!(body, Body::Heartbeat(_) | Body::Spare(_))
}

/// Returns whether a role may send a message; without TLS there are no roles and all is allowed.
fn may_send(role: Option<PeerRole>, body: &Body) -> bool {
    let Some(role) = role else {
        return true;
    };
    match body {
        Body::Handshake(_) | Body::Heartbeat(_) => role == PeerRole::Entry,
        Body::Submit(_) => role == PeerRole::Operator,
        Body::Show(_) | Body::History(_) | Body::Status(_) => true,
        _ => role == PeerRole::Control,
    }
}

fn route(body: Body, replies: &ReplySender) -> NodeMessage {
    if is_between_members(&body) {
        NodeMessage::Peer {
            body,
            route: Some(replies.clone()),
        }
    } else {
        NodeMessage::Request {
            body,
            replies: replies.clone(),
        }
    }
}

fn is_between_members(body: &Body) -> bool {
    matches!(
        body,
        Body::Vote(_)
            | Body::Voted(_)
            | Body::Append(_)
            | Body::Appended(_)
            | Body::Snapshot(_)
            | Body::SnapshotTaken(_)
            | Body::Transfer(_)
    )
}
