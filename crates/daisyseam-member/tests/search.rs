//! Control is found although most addresses of the settings are dead.

mod client_support;

use crate::client_support::{
    client,
    cluster, //
};
use daisyseam_member::{
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

/// What a control instance answers.
#[derive(Clone)]
enum Part {
    /// It accepts connections and says nothing.
    Silent,
    /// It names the leader.
    Follower(SocketAddr),
    /// It leads, and names the members.
    Leader(Vec<SocketAddr>),
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn serve(listener: TcpListener, part: Part) {
    tokio::spawn(async move {
        let mut held = Vec::new();
        while let Ok((socket, _)) = listener.accept().await {
            match part.clone() {
                Part::Silent => held.push(socket),
                part => drop(tokio::spawn(answer(socket, part))),
            }
        }
    });
}

async fn answer(socket: TcpStream, part: Part) -> Option<()> {
    let mut stream = MessageStream::<_, ControlMessage>::new(socket, cluster());
    loop {
        let body = match (stream.receive().await.ok()?.body?, &part) {
            (_, Part::Follower(leader)) => Body::NotLeader(NotLeader {
                leader: leader.to_string(),
                term: 1,
            }),
            (Body::Handshake(_), _) => Body::Welcome(Welcome { incarnation: 7 }),
            (Body::Heartbeat(beat), Part::Leader(members)) => {
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

async fn until_valid(cell: &ViewCell, limit: Duration) {
    let begun = Instant::now();
    while cell.valid().is_err() {
        assert!(begun.elapsed() < limit, "no lease after {limit:?}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn two_silent_seeds_cost_less_than_two_seconds() {
    let mut seeds = Vec::new();
    for _ in 0..2 {
        let (listener, address) = listen().await;
        serve(listener, Part::Silent);
        seeds.push(address);
    }
    let (leader, address) = listen().await;
    serve(leader, Part::Leader(vec![address]));
    seeds.push(address);
    let cell = ViewCell::new();
    let control = ControlAddresses::new(seeds);
    let _client = client(control.clone(), cell.clone());
    until_valid(&cell, Duration::from_secs(2)).await;
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
    let served = tokio::spawn(answer(socket, Part::Leader(members)));
    until_valid(&cell, Duration::from_secs(2)).await;
    while !control.list().contains(&second_address) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    served.abort();
    drop(first);
    serve(second, Part::Leader(vec![second_address]));
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    until_valid(&cell, Duration::from_secs(2)).await;
}

#[tokio::test]
async fn seeds_may_be_replaced_while_the_client_runs() {
    let (silent, silent_address) = listen().await;
    serve(silent, Part::Silent);
    let (leader, leader_address) = listen().await;
    serve(leader, Part::Leader(vec![leader_address]));
    let (follower, follower_address) = listen().await;
    serve(follower, Part::Follower(leader_address));
    let cell = ViewCell::new();
    let control = ControlAddresses::new(vec![silent_address]);
    let _client = client(control.clone(), cell.clone());
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(cell.valid().is_err());
    control.set_seeds(vec![follower_address]);
    until_valid(&cell, Duration::from_secs(2)).await;
}

/// The leader welcomes an instance once its joining is durable on a majority, which may be far away
/// and busy just after all have started.
#[tokio::test]
async fn a_welcome_that_takes_a_while_is_waited_for() {
    const JOINING: Duration = Duration::from_millis(420);
    let (leader, address) = listen().await;
    let cell = ViewCell::new();
    let _client = client(ControlAddresses::new(vec![address]), cell.clone());
    // Only the first connection is served: whoever gives it up gets no lease.
    let (socket, _) = leader.accept().await.expect("it connects");
    tokio::spawn(async move {
        tokio::time::sleep(JOINING).await;
        answer(socket, Part::Leader(vec![address])).await
    });
    until_valid(&cell, Duration::from_secs(5)).await;
}
