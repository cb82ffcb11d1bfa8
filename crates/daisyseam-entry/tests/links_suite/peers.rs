//! Tests of links that a peer relays.

use crate::support::{
    FakeDatabase,
    Instance,
    LOOPBACK,
    ViewParts,
    cluster,
    eventually,
    group,
    order,
    position,
    query,
    upstream,
    within, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use daisyseam_entry::{
    DatabaseLink,
    LinkBroker,
    StatementAccess, //
};
use daisyseam_model::{
    FleetView,
    announce::UpstreamRole, //
};
use daisyseam_wire::{
    LinkData,
    LinkRequest,
    MessageStream,
    PeerMessage,
    StreamError,
    peer_message::Body, //
};
use pgwire::messages::{
    PgWireFrontendMessage,
    simplequery::Query, //
};
use std::net::SocketAddr;
use test_case::test_case;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    task::JoinSet, //
};

/// Starts an instance that holds the database, and another that reaches it through the first.
async fn two_instances() -> (FakeDatabase, Instance, Instance) {
    let database = FakeDatabase::start(UpstreamRole::Primary, position(1, 10)).await;
    let holder = Instance::start("entry-1", 1).await;
    let other = Instance::start("entry-2", 2).await;
    let view = view(&database, holder.server.address(), &other);
    holder.apply_view(&view).await;
    other.apply_view(&view).await;
    (database, holder, other)
}

fn view(database: &FakeDatabase, holder: SocketAddr, other: &Instance) -> FleetView {
    ViewParts::new()
        .instance("entry-1", 1, holder)
        .instance("entry-2", 2, other.server.address())
        .database("one", database, Some("entry-1"))
        .0
}

#[tokio::test]
async fn concurrent_links_never_receive_answers_of_each_other() {
    let (database, _holder, other) = two_instances().await;
    let mut tasks = JoinSet::new();
    for client in 0..12 {
        let broker = other.broker.clone();
        tasks.spawn(async move {
            let group = group();
            for number in 0..12 {
                let opened = broker.open(order(&group, StatementAccess::Write)).await;
                let mut link = opened.expect("every request gets a link in time").link;
                for part in 0..3 {
                    let text = format!("SELECT {client}.{number}.{part}");
                    assert_eq!(query(&mut link, &text).await.expect("an answer"), text);
                }
                // Dropping a link closes its connection instead of returning it.
                if number % 4 != 0 {
                    link.release();
                }
            }
        });
    }
    within(tasks.join_all()).await;
    assert!(database.open_max() <= 2, "more connections than slots");
}

#[tokio::test]
async fn a_peer_lost_in_a_transaction_leaves_no_transaction_open() {
    let (database, holder, other) = two_instances().await;
    let group = group();
    let opened = other.broker.open(order(&group, StatementAccess::Write));
    let mut opened = within(opened).await.expect("a link");
    query(&mut opened.link, "BEGIN").await.expect("an answer");
    let process = database
        .connection_of("BEGIN")
        .expect("the query is received");
    drop(opened);
    let handle = holder.table.get(&upstream("one")).expect("it is held");
    eventually("nothing is checked out", || {
        handle.counts().checked_out == 0
    })
    .await;
    let opened = other.broker.open(order(&group, StatementAccess::Write));
    let mut opened = within(opened).await.expect("a link");
    query(&mut opened.link, "SELECT next")
        .await
        .expect("an answer");
    assert_ne!(database.connection_of("SELECT next"), Some(process));
}

#[tokio::test]
async fn a_holder_that_stops_breaks_the_link() {
    let (database, holder, other) = two_instances().await;
    let group = group();
    let opened = other.broker.open(order(&group, StatementAccess::Write));
    let mut opened = within(opened).await.expect("a link");
    query(&mut opened.link, "BEGIN").await.expect("an answer");
    drop(holder.server);
    within(query(&mut opened.link, "SELECT lost"))
        .await
        .expect_err("the link is broken");
    assert_eq!(database.connection_of("SELECT lost"), None);
}

#[tokio::test]
async fn a_large_request_and_a_large_answer_are_relayed_completely() {
    let (_database, _holder, other) = two_instances().await;
    let group = group();
    let opened = other.broker.open(order(&group, StatementAccess::Write));
    let mut opened = within(opened).await.expect("a link");
    let text = format!("SELECT '{}'", "x".repeat(9 << 20));
    let answer = within(query(&mut opened.link, &text))
        .await
        .expect("an answer");
    assert_eq!(answer.len(), text.len());
    assert!(answer == text, "the answer differs");
}

/// Opens a link and sends a query with the number or incarnation of another request.
#[test_case(1, 8; "another number")]
#[test_case(2, 7; "another incarnation")]
#[tokio::test]
async fn a_message_of_another_request_closes_the_connection(incarnation: u64, request: u64) {
    let (database, holder, _other) = two_instances().await;
    let socket = TcpStream::connect(holder.server.address()).await;
    let mut stream = MessageStream::new(socket.expect("it listens"), cluster());
    let open = LinkRequest {
        upstream: "one".to_owned(),
        organisation: "open".to_owned(),
        queue_ms: 10_000,
        ..LinkRequest::default()
    };
    let message = |incarnation, request, body| PeerMessage {
        incarnation,
        request,
        body: Some(body),
    };
    let sent = stream.send(&message(1, 7, Body::Open(open))).await;
    sent.expect("it is sent");
    let granted = within(stream.receive()).await.expect("an answer");
    assert!(matches!(granted.body, Some(Body::Granted(_))));
    let mut bytes = BytesMut::new();
    PgWireFrontendMessage::Query(Query::new("SELECT crossed".to_owned()))
        .encode(&mut bytes)
        .expect("it can be encoded");
    let data = Body::Request(LinkData {
        bytes: Bytes::from(bytes),
    });
    let sent = stream.send(&message(incarnation, request, data)).await;
    sent.expect("it is sent");
    let end = within(stream.receive()).await;
    assert!(matches!(end, Err(StreamError::Closed | StreamError::Io(_))));
    assert_eq!(database.connection_of("SELECT crossed"), None);
}

/// Accepts connections and never answers, like a peer behind a network partition.
async fn accept_without_answering(listener: TcpListener) {
    let mut kept = Vec::new();
    while let Ok((socket, _)) = listener.accept().await {
        kept.push(socket);
    }
}

#[tokio::test]
async fn an_unreachable_holder_does_not_delay_a_read_until_its_deadline() {
    let near = FakeDatabase::start(UpstreamRole::Replica, position(1, 10)).await;
    let far = FakeDatabase::start(UpstreamRole::Replica, position(1, 10)).await;
    let listener = TcpListener::bind(LOOPBACK).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let holder_task = tokio::spawn(accept_without_answering(listener));
    let other = Instance::start("entry-2", 2).await;
    // Whichever replica is tried first, the one that answers serves the read.
    let view = ViewParts::new()
        .instance("entry-1", 1, address)
        .instance("entry-2", 2, other.server.address())
        .database("two", &far, Some("entry-1"))
        .database("three", &near, Some("entry-2"));
    other.apply_view(&view.0).await;
    let group = group();
    for _ in 0..4 {
        let access = StatementAccess::ReadAtLeast(position(1, 10));
        let opened = within(other.broker.open(order(&group, access))).await;
        assert_eq!(opened.expect("a link").upstream, upstream("three"));
    }
    holder_task.abort();
}

#[tokio::test]
async fn a_peer_removed_from_the_view_leaves_no_transaction_open() {
    let (database, holder, other) = two_instances().await;
    let group = group();
    let opened = other.broker.open(order(&group, StatementAccess::Write));
    let mut opened = within(opened).await.expect("a link");
    query(&mut opened.link, "BEGIN").await.expect("an answer");
    let mut view = view(&database, holder.server.address(), &other);
    view.number.0 += 1;
    view.instances.retain(|name, _| name.as_str() == "entry-1");
    holder.apply_view(&view).await;
    let handle = holder.table.get(&upstream("one")).expect("it is held");
    eventually("nothing is checked out", || {
        handle.counts().checked_out == 0
    })
    .await;
    within(query(&mut opened.link, "SELECT late"))
        .await
        .expect_err("the link is closed");
}

/// A holder that answers with another request's number, like a late answer.
async fn answer_with_another_number(listener: TcpListener) {
    while let Ok((socket, _)) = listener.accept().await {
        let mut stream = MessageStream::<_, PeerMessage>::new(socket, cluster());
        while let Ok(mut message) = stream.receive().await {
            message.request += 1;
            message.body = Some(Body::Granted(Default::default()));
            if stream.send(&message).await.is_err() {
                break;
            }
        }
    }
}

#[tokio::test]
async fn an_answer_to_another_request_is_never_accepted() {
    let database = FakeDatabase::start(UpstreamRole::Primary, position(1, 10)).await;
    let listener = TcpListener::bind(LOOPBACK).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let holder_task = tokio::spawn(answer_with_another_number(listener));
    let other = Instance::start("entry-2", 2).await;
    other.apply_view(&view(&database, address, &other)).await;
    let group = group();
    let mut order = order(&group, StatementAccess::Write);
    order.deadline = tokio::time::Instant::now() + std::time::Duration::from_millis(200);
    let refused = within(other.broker.open(order)).await.err();
    let refused = refused.expect("no link is opened");
    assert!(refused.kind.row().may_retry, "{refused}");
    holder_task.abort();
}
