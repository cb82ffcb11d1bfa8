//! Invalid input: messages of another cluster, a future version or an old incarnation, malformed
//! bytes, and the data folder of another instance.

#[expect(dead_code, reason = "the other test files use the rest")]
mod support;

use crate::support::{
    Client,
    DOCUMENT,
    Entry,
    free_addresses,
    member_names,
    settings,
    start,
    submit, //
};
use daisyseam_control::{
    ControlDaemon,
    StartError, //
};
use daisyseam_model::{
    ClusterId,
    InstanceId, //
};
use daisyseam_store::StoreError;
use daisyseam_wire::{
    ControlMessage,
    Envelope,
    Heartbeat,
    MessageStream,
    PROTOCOL_VERSION,
    StatusRequest,
    control_message::Body, //
};
use prost::Message;
use std::{
    net::SocketAddr,
    time::Duration, //
};
use tempfile::TempDir;
use test_case::test_case;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream, //
};

async fn one_member() -> (TempDir, ControlDaemon, Vec<SocketAddr>) {
    let folder = tempfile::tempdir().expect("a folder");
    let addresses = free_addresses(1);
    let named = member_names(&addresses);
    let daemon = start(settings(&named, 0, folder.path())).await;
    (folder, daemon, addresses)
}

fn framed(version: u32, cluster: &str) -> Vec<u8> {
    let message = ControlMessage {
        body: Some(Body::Status(StatusRequest {})),
    };
    let envelope = Envelope {
        version,
        cluster: cluster.to_owned(),
        body: message.encode_to_vec().into(),
    };
    let body = envelope.encode_to_vec();
    let length = u32::try_from(body.len()).expect("it fits");
    [&length.to_be_bytes()[..], &body].concat()
}

#[test_case(framed(PROTOCOL_VERSION, "other"); "another cluster")]
#[test_case(framed(PROTOCOL_VERSION, ""); "no cluster in the first frame")]
#[test_case(framed(PROTOCOL_VERSION + 1, "shellrest"); "a future version")]
#[test_case(vec![0xFF; 64]; "a frame that is too long")]
#[test_case(vec![0, 0, 0, 4, 0xFF, 0xFF, 0xFF, 0xFF]; "bytes that are no message")]
#[tokio::test]
async fn a_connection_that_makes_no_sense_is_closed_and_control_goes_on(bytes: Vec<u8>) {
    let (_folder, daemon, addresses) = one_member().await;
    let mut socket = TcpStream::connect(addresses[0]).await.expect("it listens");
    socket.write_all(&bytes).await.expect("it is sent");
    let mut answer = Vec::new();
    // The connection may be reset or closed in order.
    let _ = socket.read_to_end(&mut answer).await;
    assert_eq!(answer, Vec::<u8>::new());
    assert!(submit(&addresses, "change-1", 0, DOCUMENT).await.accepted);
    daemon.stop(Duration::from_secs(10)).await;
}

#[tokio::test]
async fn an_answer_of_another_cluster_is_refused_by_the_asker() {
    let (_folder, daemon, addresses) = one_member().await;
    let socket = TcpStream::connect(addresses[0]).await.expect("it listens");
    let other = ClusterId::new("other").expect("a sound name");
    let mut stream = MessageStream::<_, ControlMessage>::new(socket, other);
    let message = ControlMessage {
        body: Some(Body::Status(StatusRequest {})),
    };
    stream.send(&message).await.expect("it is sent");
    assert!(stream.receive().await.is_err());
    daemon.stop(Duration::from_secs(10)).await;
}

#[tokio::test]
async fn an_old_incarnation_gets_no_lease() {
    let (_folder, daemon, addresses) = one_member().await;
    let mut former = Entry::new("entry-1", &addresses);
    former.send_heartbeat(Vec::new()).await;
    let mut present = Entry::new("entry-1", &addresses);
    present.send_heartbeat(Vec::new()).await;
    let mut client = Client::connect(addresses[0]).await.expect("it listens");
    let heartbeat = Heartbeat {
        sequence: 9,
        incarnation: former.incarnation(),
        instance: "entry-1".to_owned(),
        ..Heartbeat::default()
    };
    let answer = client.request(Body::Heartbeat(heartbeat)).await;
    assert!(matches!(answer, Some(Body::NotLeader(_))), "{answer:?}");
    present.send_heartbeat(Vec::new()).await;
    assert!(present.lease_ms > 0);
    daemon.stop(Duration::from_secs(10)).await;
}

#[tokio::test]
async fn the_data_folder_of_another_instance_is_refused() {
    let (folder, daemon, addresses) = one_member().await;
    daemon.stop(Duration::from_secs(10)).await;
    let named = member_names(&addresses);
    let mut wrong = settings(&named, 0, folder.path());
    wrong.instance = InstanceId::new("control-9").expect("a sound name");
    let refused = ControlDaemon::start(wrong)
        .await
        .err()
        .expect("it does not start");
    assert!(
        matches!(refused, StartError::Store(StoreError::OtherOwner { .. })),
        "{refused}"
    );
}
