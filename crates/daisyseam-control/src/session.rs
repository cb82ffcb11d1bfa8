//! Connections of entries, operators and other members.

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

/// Most connections at a time.
const SESSIONS_MAX: usize = 8_192;
/// Answers that wait for one connection; a session that takes none is closed.
const ANSWERS_MAX: usize = 256;

/// Roles that may connect.
const ROLES: [PeerRole; 3] = [PeerRole::Entry, PeerRole::Control, PeerRole::Operator];

/// Where answers to a connection go.
pub(crate) type AnswerSender = mpsc::Sender<Body>;

/// Time that a connection may take to prove who opened it.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time before the next attempt to accept a connection after one that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Silence after which a connection of a member or entry is closed.
const SILENCE_MAX: Duration = Duration::from_secs(5);

/// What every session needs.
#[derive(Clone)]
pub(crate) struct SessionContext {
    pub(crate) cluster: ClusterId,
    pub(crate) security: PeerSecurity,
    pub(crate) timer: TimerService,
    pub(crate) node: ActorRef<NodeMessage>,
}

/// Accepts connections until it is aborted; its sessions end with it.
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
                log::warn!("a connection was not accepted: {error}");
                context.timer.after(ACCEPT_PAUSE).await;
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
    let secured = context.security.server_of(socket, &ROLES);
    let (socket, role) = match context.timer.within(until, secured).await {
        Some(Ok(secured)) => secured,
        Some(Err(error)) => {
            log::warn!("the connection from {address} is refused: {error}");
            return;
        }
        None => return,
    };
    let node = context.node;
    let timer = context.timer;
    let mut speaks = false;
    let (mut said, mut heard) = (ConnectionNames::default(), ConnectionNames::default());
    let mut heard_at = timer.now();
    let stream = MessageStream::<_, ControlMessage>::new(socket, context.cluster);
    let (mut sender, mut receiver) = stream.split();
    let (answers, mut outgoing) = mpsc::channel(ANSWERS_MAX);
    loop {
        tokio::select! {
            received = receiver.receive() => {
                let mut body = match received {
                    Ok(ControlMessage { body: Some(body) }) => body,
                    // A newer peer may send what this version does not know.
                    Ok(ControlMessage { body: None }) => continue,
                    Err(error) => {
                        log::debug!("the connection from {address} ended: {error}");
                        return;
                    }
                };
                heard.complete(&mut body);
                heard_at = timer.now();
                speaks |= is_repeated(&body);
                if !may_send(role, &body) {
                    log::warn!("{address} sent what its role may not: it is closed");
                    return;
                }
                if node.cast(route(body, &answers)).is_err() {
                    return;
                }
            }
            () = timer.at(heard_at + SILENCE_MAX), if speaks => {
                log::debug!("the connection from {address} has fallen silent");
                return;
            }
            Some(mut body) = outgoing.recv() => {
                said.shorten(&mut body);
                let message = ControlMessage { body: Some(body) };
                let until = timer.now() + SILENCE_MAX;
                let sent = timer.within(until, sender.send(&message)).await;
                if !matches!(sent, Some(Ok(()))) {
                    log::debug!("the connection from {address} takes nothing more");
                    return;
                }
            }
        }
    }
}

/// Returns whether the sender of a message goes on to speak for as long as it is there.
fn is_repeated(body: &Body) -> bool {
    is_between_members(body) || matches!(body, Body::Heartbeat(_) | Body::Spare(_))
}

/// Returns whether a process of a role may send a message; without TLS there are no roles.
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

fn route(body: Body, answers: &AnswerSender) -> NodeMessage {
    if is_between_members(&body) {
        NodeMessage::Peer {
            body,
            route: Some(answers.clone()),
        }
    } else {
        NodeMessage::Request {
            body,
            answers: answers.clone(),
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
