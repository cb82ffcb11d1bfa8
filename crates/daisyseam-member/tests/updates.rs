//! View updates that are sent while heartbeats of the instance are in flight.

mod client_support;

use crate::client_support::{
    client,
    cluster, //
};
use daisyseam_member::{
    ControlAddresses,
    ViewCell, //
};
use daisyseam_model::ViewNumber;
use daisyseam_wire::{
    ControlMessage,
    Heartbeat,
    HeartbeatReply,
    MessageStream,
    Welcome,
    WireView,
    control_message::Body, //
};
use std::time::{
    Duration,
    Instant, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    time::timeout, //
};

/// The leader's side of a connection.
struct LeaderStream(MessageStream<TcpStream, ControlMessage>);

impl LeaderStream {
    async fn accept(listener: &TcpListener) -> Self {
        let (socket, _) = listener.accept().await.expect("it connects");
        let mut stream = Self(MessageStream::new(socket, cluster()));
        let handshake = stream.receive().await;
        assert!(matches!(handshake, Body::Handshake(_)), "{handshake:?}");
        stream.send(Body::Welcome(Welcome { incarnation: 7 })).await;
        stream
    }

    async fn receive(&mut self) -> Body {
        let message = timeout(Duration::from_secs(2), self.0.receive()).await;
        let message = message.expect("it goes on on this connection");
        message.expect("the connection stays").body.expect("a body")
    }

    async fn heartbeat(&mut self) -> Heartbeat {
        match self.receive().await {
            Body::Heartbeat(beat) => beat,
            other => panic!("{other:?}"),
        }
    }

    async fn send(&mut self, body: Body) {
        let message = ControlMessage { body: Some(body) };
        self.0.send(&message).await.expect("the connection stays");
    }

    /// Replies to a heartbeat with an update based on the view that it reported.
    async fn update(&mut self, beat: &Heartbeat, number: u64) {
        let update = WireView {
            number,
            since: beat.view,
            ..WireView::default()
        };
        let reply = HeartbeatReply {
            sequence: beat.sequence,
            lease_ms: 1_000,
            update: Some(update.encoded()),
            ..HeartbeatReply::default()
        };
        self.send(Body::HeartbeatReply(reply)).await;
    }
}

#[tokio::test]
async fn an_update_that_starts_from_an_earlier_view_does_not_end_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let cell = ViewCell::new();
    let _client = client(ControlAddresses::new(vec![address]), cell.clone());
    let mut leader = LeaderStream::accept(&listener).await;
    let first = leader.heartbeat().await;
    assert_eq!(first.view, 0);
    leader.update(&first, 1).await;
    // Two heartbeats report the first view before the second view arrives.
    let (one, other) = (leader.heartbeat().await, leader.heartbeat().await);
    assert_eq!((one.view, other.view), (1, 1));
    leader.update(&one, 2).await;
    leader.update(&other, 3).await;
    let mut beat = leader.heartbeat().await;
    while beat.view < 2 {
        beat = leader.heartbeat().await;
    }
    // The client requests the difference, not the full view.
    assert_eq!(beat.view, 2);
    assert_eq!(cell.held().view.number, ViewNumber(2));
    leader.update(&beat, 3).await;
    while leader.heartbeat().await.view != 3 {}
    assert!(cell.valid().is_ok());
}

/// Guards against a leader that every entry of a large fleet answers once a round trip while instances
/// join, since each of them changes the view.
#[tokio::test]
async fn views_that_follow_each_other_closely_are_confirmed_together() {
    const TIME: Duration = Duration::from_millis(1_000);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let cell = ViewCell::new();
    let _client = client(ControlAddresses::new(vec![address]), cell.clone());
    let mut leader = LeaderStream::accept(&listener).await;
    let begin = Instant::now();
    let (mut heartbeats, mut number) = (0, 0);
    while begin.elapsed() < TIME {
        let beat = leader.heartbeat().await;
        heartbeats += 1;
        number += 1;
        leader.update(&beat, number).await;
    }
    // One confirmation in 100 ms and a heartbeat in 200 ms.
    assert!(heartbeats <= 17, "{heartbeats} heartbeats in {TIME:?}");
    assert!(heartbeats >= 5, "{heartbeats} heartbeats in {TIME:?}");
}
