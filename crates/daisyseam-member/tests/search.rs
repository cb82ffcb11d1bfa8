//! Clients find the control leader although most configured addresses are dead.

mod client_support;

use crate::client_support::{
    client,
    cluster, //
};
use daisyseam_member::{
    ContactState,
    ControlAddresses,
    ViewCell, //
};
use daisyseam_wire::{
    ControlMembers,
    ControlMessage,
    HeartbeatReply,
    MessageStream,
    NotLeader,
    Welcome,
    control_message::Body, //
};
use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    }, //
};
use tokio::net::{
    TcpListener,
    TcpStream, //
};

/// Behaviour of a fake control instance.
#[derive(Clone)]
enum Behaviour {
    /// Accepts connections and sends nothing.
    Silent,
    /// Replies with the address of the leader.
    Follower(SocketAddr),
    /// Acts as the leader and sends the addresses of the members.
    Leader(Vec<SocketAddr>),
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn serve(listener: TcpListener, behaviour: Behaviour) {
    tokio::spawn(async move {
        let mut silent = Vec::new();
        while let Ok((socket, _)) = listener.accept().await {
            match behaviour.clone() {
                Behaviour::Silent => silent.push(socket),
                behaviour => drop(tokio::spawn(answer(socket, behaviour))),
            }
        }
    });
}

async fn answer(socket: TcpStream, behaviour: Behaviour) -> Option<()> {
    let mut stream = MessageStream::<_, ControlMessage>::new(socket, cluster());
    loop {
        let body = match (stream.receive().await.ok()?.body?, &behaviour) {
            (_, Behaviour::Follower(leader)) => Body::NotLeader(NotLeader {
                leader: leader.to_string(),
                term: 1,
            }),
            (Body::Handshake(_), _) => Body::Welcome(Welcome { incarnation: 7 }),
            (Body::Heartbeat(beat), Behaviour::Leader(members)) => {
                let addresses = members.iter().map(ToString::to_string).collect();
                let members = ControlMembers {
                    index: 3,
                    addresses,
                };
                Body::HeartbeatReply(HeartbeatReply {
                    sequence: beat.sequence,
                    lease_ms: 1_000,
                    members: (beat.members != 3).then_some(members),
                    ..HeartbeatReply::default()
                })
            }
            _ => return None,
        };
        let message = ControlMessage { body: Some(body) };
        stream.send(&message).await.ok()?;
    }
}

async fn wait_for_lease(cell: &ViewCell, limit: Duration) {
    let started = Instant::now();
    while cell.valid().is_err() {
        assert!(started.elapsed() < limit, "no lease after {limit:?}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn two_silent_seeds_cost_less_than_two_seconds() {
    let mut seeds = Vec::new();
    for _ in 0..2 {
        let (listener, address) = listen().await;
        serve(listener, Behaviour::Silent);
        seeds.push(address);
    }
    let (leader, address) = listen().await;
    serve(leader, Behaviour::Leader(vec![address]));
    seeds.push(address);
    let cell = ViewCell::new();
    let control = ControlAddresses::new(seeds);
    let _client = client(control.clone(), cell.clone());
    wait_for_lease(&cell, Duration::from_secs(2)).await;
    assert_eq!(control.list().first(), Some(&address));
}

#[tokio::test]
async fn members_that_were_learned_are_tried_once_the_seeds_are_gone() {
    let (second, second_address) = listen().await;
    let (first, first_address) = listen().await;
    let cell = ViewCell::new();
    let control = ControlAddresses::new(vec![first_address]);
    let _client = client(control.clone(), cell.clone());
    let (socket, _) = first.accept().await.expect("it connects");
    let members = vec![second_address];
    let served = tokio::spawn(answer(socket, Behaviour::Leader(members)));
    wait_for_lease(&cell, Duration::from_secs(2)).await;
    while !control.list().contains(&second_address) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    served.abort();
    drop(first);
    serve(second, Behaviour::Leader(vec![second_address]));
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    wait_for_lease(&cell, Duration::from_secs(2)).await;
}

#[tokio::test]
async fn seeds_may_be_replaced_while_the_client_runs() {
    let (silent, silent_address) = listen().await;
    serve(silent, Behaviour::Silent);
    let (leader, leader_address) = listen().await;
    serve(leader, Behaviour::Leader(vec![leader_address]));
    let (follower, follower_address) = listen().await;
    serve(follower, Behaviour::Follower(leader_address));
    let cell = ViewCell::new();
    let control = ControlAddresses::new(vec![silent_address]);
    let _client = client(control.clone(), cell.clone());
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(cell.valid().is_err());
    control.set_seeds(vec![follower_address]);
    wait_for_lease(&cell, Duration::from_secs(2)).await;
}

/// The leader completes a handshake once the registration is durable on a majority, which may be
/// far away and busy just after all instances have started.
#[tokio::test]
async fn a_welcome_that_takes_a_while_is_waited_for() {
    const HANDSHAKE_DELAY: Duration = Duration::from_millis(420);
    let (leader, address) = listen().await;
    let cell = ViewCell::new();
    let _client = client(ControlAddresses::new(vec![address]), cell.clone());
    // Only the first connection is served, so a client that gives it up gets no lease.
    let (socket, _) = leader.accept().await.expect("it connects");
    tokio::spawn(async move {
        tokio::time::sleep(HANDSHAKE_DELAY).await;
        answer(socket, Behaviour::Leader(vec![address])).await
    });
    wait_for_lease(&cell, Duration::from_secs(5)).await;
}

/// Guards against an instance that cannot tell a partition from an election, and against one that takes
/// a single answer for a leader.
#[tokio::test]
async fn control_is_silent_only_while_no_instance_answers() {
    const OBSERVED: Duration = Duration::from_millis(1_500);
    let mut seeds = Vec::new();
    for _ in 0..3 {
        // The port is free again once the listener is dropped, and refuses connections.
        seeds.push(listen().await.1);
    }
    let cell = ViewCell::new();
    let control = ControlAddresses::new(seeds.clone());
    let _client = client(control.clone(), cell.clone());
    let started = Instant::now();
    while cell.contact() != ContactState::Silent {
        assert!(started.elapsed() < Duration::from_secs(5), "never silent");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(cell.is_cut_off());
    let (follower, address) = listen().await;
    serve(follower, Behaviour::Follower(seeds[0]));
    control.set_seeds([&seeds[..2], &[address]].concat());
    let started = Instant::now();
    while cell.contact() != ContactState::Leaderless {
        assert!(started.elapsed() < Duration::from_secs(5), "still silent");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let started = Instant::now();
    while started.elapsed() < OBSERVED {
        assert_eq!(cell.contact(), ContactState::Leaderless);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
