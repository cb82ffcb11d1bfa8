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
    DocumentPatch,
    EncodedDocument,
    EncodedUpdate,
    Heartbeat,
    HeartbeatReply,
    MessageStream,
    Welcome,
    WireGroup,
    WireView,
    control_message::Body, //
};
use std::time::{
    Duration,
    Instant, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncReadExt,
        AsyncWrite,
        AsyncWriteExt,
        DuplexStream, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    time::{
        sleep,
        timeout, //
    }, //
};

/// The leader's side of a connection.
struct LeaderStream<T = TcpStream>(MessageStream<T, ControlMessage>);

impl LeaderStream {
    async fn accept(listener: &TcpListener) -> Self {
        let (socket, _) = listener.accept().await.expect("it connects");
        Self::welcome(socket).await
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> LeaderStream<T> {
    async fn welcome(socket: T) -> Self {
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

/// Bytes that a narrow link carries in one interval, and the interval.
const LINK_CHUNK: usize = 4_096;
const LINK_INTERVAL: Duration = Duration::from_millis(25);

/// Returns the leader's end of a link that carries 160 KB a second to the client.
fn narrow_link(socket: TcpStream) -> DuplexStream {
    let (near, far) = tokio::io::duplex(LINK_CHUNK);
    let (mut from_client, mut to_client) = socket.into_split();
    let (mut from_leader, mut to_leader) = tokio::io::split(far);
    tokio::spawn(async move { tokio::io::copy(&mut from_client, &mut to_leader).await });
    tokio::spawn(async move {
        let mut chunk = [0; LINK_CHUNK];
        while let Ok(length @ 1..) = from_leader.read(&mut chunk).await {
            if to_client.write_all(&chunk[..length]).await.is_err() {
                return;
            }
            sleep(LINK_INTERVAL).await;
        }
    });
    near
}

/// Guards against an instance that requests the whole view again and again, since the view takes longer
/// than the timeout of a reply over its link.
#[tokio::test]
async fn a_view_that_takes_longer_than_a_reply_timeout_arrives_over_a_narrow_link() {
    const GROUPS: usize = 4_000;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let cell = ViewCell::new();
    let _client = client(ControlAddresses::new(vec![address]), cell.clone());
    let (socket, _) = listener.accept().await.expect("it connects");
    let mut leader = LeaderStream::welcome(narrow_link(socket)).await;
    let beat = leader.heartbeat().await;
    let groups = (0..GROUPS).map(|number| WireGroup {
        name: format!("a-group-with-a-long-name-so-that-the-view-is-large-{number}"),
        term: 1,
        ..WireGroup::default()
    });
    let view = WireView {
        number: 7,
        groups: groups.collect(),
        ..WireView::default()
    };
    let reply = HeartbeatReply {
        sequence: beat.sequence,
        lease_ms: 10_000,
        update: Some(view.encoded()),
        ..HeartbeatReply::default()
    };
    let begin = Instant::now();
    leader.send(Body::HeartbeatReply(reply)).await;
    let beat = leader.heartbeat().await;
    assert!(
        begin.elapsed() > Duration::from_millis(1_000),
        "the link is narrow"
    );
    assert_eq!(beat.view, 7, "no copy was requested meanwhile");
    assert!(cell.valid().is_ok());
}

/// Returns a document of this many services.
fn document(services: usize) -> String {
    let head = r#"number = 1
cluster = "shellrest"
region = [{ name = "khomas" }]
data_centre = [{ name = "khomas-1", region = "khomas" }]
group = [{ name = "bookings-db", databases = 3, slots = 5 }]
"#;
    let service = |number| {
        format!(
            r#"
[[service]]
name = "bookings-{number}"
group = "bookings-db"
consistency = "bounded"
max_staleness_ms = {}
statement_timeout_ms = 3000
target_latency_ms = 1200
"#,
            1_000 + number
        )
    };
    head.to_owned() + &(0..services).map(service).collect::<String>()
}

/// Guards against leases that run out behind an update of a large document on a narrow link.
#[tokio::test]
async fn a_lease_does_not_run_out_while_a_large_document_arrives() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let cell = ViewCell::new();
    let _client = client(ControlAddresses::new(vec![address]), cell.clone());
    let (socket, _) = listener.accept().await.expect("it connects");
    let mut leader = LeaderStream::welcome(narrow_link(socket)).await;
    let first = leader.heartbeat().await;
    leader.update(&first, 1).await;
    let beat = leader.heartbeat().await;
    let document = EncodedDocument::new(DocumentPatch::whole(&document(1_728)));
    let others = WireView {
        number: 2,
        since: beat.view,
        document_number: 1,
        ..WireView::default()
    };
    let mut reply = HeartbeatReply {
        sequence: beat.sequence,
        lease_ms: 1_000,
        ..HeartbeatReply::default()
    };
    reply.set_update(Some(EncodedUpdate::new(Some(&document), &others)));
    let arrives = async {
        leader.send(Body::HeartbeatReply(reply)).await;
        while leader.heartbeat().await.view != 2 {}
    };
    tokio::pin!(arrives);
    loop {
        tokio::select! {
            () = &mut arrives => break,
            () = sleep(Duration::from_millis(5)) => {
                assert!(cell.valid().is_ok(), "the lease has run out");
            }
        }
    }
    assert!(cell.held().view.document.is_some());
}
