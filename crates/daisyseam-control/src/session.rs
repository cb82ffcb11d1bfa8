//! Connections of entries, operators and other members.

use crate::node::NodeMessage;
use daisyseam_model::ClusterId;
use daisyseam_wire::{
    ControlMessage,
    MessageStream,
    control_message::Body, //
};
use ractor::ActorRef;
use std::{
    net::SocketAddr,
    sync::Arc, //
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

/// Where answers to a connection go.
pub(crate) type AnswerSender = mpsc::Sender<Body>;

/// Accepts connections until it is aborted; its sessions end with it.
pub(crate) async fn accept_sessions(
    listener: TcpListener,
    cluster: ClusterId,
    node: ActorRef<NodeMessage>,
) {
    let permits = Arc::new(Semaphore::new(SESSIONS_MAX));
    let mut sessions = JoinSet::new();
    loop {
        while sessions.try_join_next().is_some() {}
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((socket, address)) => {
                let session = run_session(socket, address, cluster.clone(), node.clone(), permit);
                sessions.spawn(session);
            }
            Err(error) => log::warn!("a connection was not accepted: {error}"),
        }
    }
}

async fn run_session(
    socket: TcpStream,
    address: SocketAddr,
    cluster: ClusterId,
    node: ActorRef<NodeMessage>,
    _permit: OwnedSemaphorePermit,
) {
    if let Err(error) = socket.set_nodelay(true) {
        log::debug!("{address}: {error}");
    }
    let stream = MessageStream::<_, ControlMessage>::new(socket, cluster);
    let (mut sender, mut receiver) = stream.split();
    let (answers, mut outgoing) = mpsc::channel(ANSWERS_MAX);
    loop {
        tokio::select! {
            received = receiver.receive() => {
                let body = match received {
                    Ok(ControlMessage { body: Some(body) }) => body,
                    // A newer peer may send what this version does not know.
                    Ok(ControlMessage { body: None }) => continue,
                    Err(error) => {
                        log::debug!("the connection from {address} ended: {error}");
                        return;
                    }
                };
                if node.cast(route(body, &answers)).is_err() {
                    return;
                }
            }
            Some(body) = outgoing.recv() => {
                let message = ControlMessage { body: Some(body) };
                if let Err(error) = sender.send(&message).await {
                    log::debug!("the connection from {address} failed: {error}");
                    return;
                }
            }
        }
    }
}

fn route(body: Body, answers: &AnswerSender) -> NodeMessage {
    let from_member = matches!(
        body,
        Body::Vote(_)
            | Body::Voted(_)
            | Body::Append(_)
            | Body::Appended(_)
            | Body::Snapshot(_)
            | Body::SnapshotTaken(_)
            | Body::Transfer(_)
    );
    if from_member {
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
