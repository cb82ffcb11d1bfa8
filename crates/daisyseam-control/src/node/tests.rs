//! Behaviour of the node when the disk is full.

use super::{
    NodeActor,
    NodeArguments,
    NodeMessage,
    NodeReport,
    REQUESTS_PER_FLUSH,
    backlog::{
        RequestBacklog,
        WaitingRequest, //
    },
    load::{
        LoadSums,
        RequestLoad, //
    }, //
};
use crate::{
    admin::{
        UpstreamAdmin,
        UsageReporter, //
    },
    call_lease::CallLease,
    convert::durable_log,
    core::{
        ControlCore,
        CoreSettings,
        DatabaseCall, //
    },
    link::LinkContext, //
};
use arc_swap::ArcSwap;
use daisyseam_coord::{
    Moment,
    fleet::UsageCounts,
    log::{
        LogSettings,
        MemberTable,
        ReplicatedLog, //
    },
    promotion::CallOutcome,
    usage::ReportOutcome, //
};
use daisyseam_model::{
    ClusterId,
    InstanceId, //
};
use daisyseam_runtime::{
    Dialer,
    MetricClient,
    TimerService, //
};
use daisyseam_store::MemoryDisk;
use daisyseam_wire::{
    AnnounceRequest,
    AppendRequest,
    PeerSecurity,
    StatusRequest,
    SubmitRequest,
    control_message::Body, //
};
use ractor::{
    Actor,
    ActorRef, //
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::SeedableRng, //
};
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::{
    sync::{
        mpsc,
        watch, //
    },
    time::{
        Instant,
        sleep, //
    }, //
};

const DOCUMENT: &str = r#"number = 1
cluster = "shellrest"
region = [{ name = "khomas" }]
data_centre = [{ name = "khomas-1", region = "khomas" }]
group = [{ name = "bookings-db", databases = 3, slots = 5 }]
service = [{ name = "bookings", group = "bookings-db" }]

[[organisation]]
name = "swakop"
rate = 5
burst = 5
key = [{ hash = "sha256:0000000000000000000000000000000000000000000000000000000000000001" }]
"#;

#[derive(Clone)]
struct NoDatabases;

impl UpstreamAdmin for NoDatabases {
    async fn call(&self, _call: DatabaseCall, _lease: CallLease) -> CallOutcome {
        CallOutcome::Lost
    }
}

impl UsageReporter for NoDatabases {
    async fn report(
        &self,
        _window: u64,
        _counts: Arc<UsageCounts>,
        _fence: u64,
        _lease: CallLease,
    ) -> ReportOutcome {
        ReportOutcome::Failed
    }
}

/// Starts the only member of a cluster and waits until it leads.
async fn start(disk: &MemoryDisk) -> (ActorRef<NodeMessage>, Arc<ArcSwap<NodeReport>>) {
    let (store, recovered) = disk.open();
    let instance = InstanceId::new("control-1").expect("a sound name");
    let cluster = ClusterId::new("shellrest").expect("a sound name");
    let address = "127.0.0.1:7000".parse().expect("an address");
    let members = MemberTable::from_voters([(instance.clone(), address)]);
    let durable = durable_log(recovered, members.clone()).expect("an empty disk");
    let random = ChaCha8Rng::seed_from_u64(1);
    let settings = LogSettings::default();
    let log = ReplicatedLog::recover(instance.clone(), settings, durable, Moment::ORIGIN, random);
    let core = ControlCore::new(CoreSettings::new(instance.clone(), cluster.clone()), log);
    let timer = TimerService::start();
    let origin = Instant::now();
    let report = Arc::<ArcSwap<NodeReport>>::default();
    let (wake, _woken) = watch::channel(origin);
    let link_timer = timer.clone();
    let arguments = NodeArguments {
        core,
        instance,
        naming_address: None,
        store,
        initial_members: members,
        admin: NoDatabases,
        origin,
        wake,
        report: Arc::clone(&report),
        metrics: MetricClient::new(None).expect("no socket is needed"),
        updates_status: true,
        context: Box::new(move |node| LinkContext {
            cluster: cluster.clone(),
            dialer: Dialer::default(),
            security: PeerSecurity::plain(cluster.clone()),
            timer: link_timer.clone(),
            node,
        }),
    };
    let (node, _end) = Actor::spawn(None, NodeActor::new(), arguments)
        .await
        .expect("it starts");
    lead(&node, &report).await;
    (node, report)
}

async fn lead(node: &ActorRef<NodeMessage>, report: &ArcSwap<NodeReport>) {
    let until = Instant::now() + Duration::from_secs(10);
    while !report.load().is_leader {
        assert!(Instant::now() < until, "it does not lead");
        sleep(Duration::from_millis(10)).await;
        node.cast(NodeMessage::Tick).expect("it runs");
    }
}

/// Submits the document; returns the answer, or `None` if the request was dropped.
async fn submit(node: &ActorRef<NodeMessage>) -> Option<Body> {
    let (replies, mut replied) = mpsc::channel(1);
    let body = Body::Submit(SubmitRequest {
        id: "change-1".to_owned(),
        replaces: 0,
        text: DOCUMENT.to_owned(),
        operator: "amalia".to_owned(),
    });
    node.cast(NodeMessage::Request { body, replies })
        .expect("it runs");
    replied.recv().await
}

#[tokio::test(start_paused = true)]
async fn a_full_disk_acknowledges_nothing_and_loses_nothing() {
    let disk = MemoryDisk::default();
    let (node, report) = start(&disk).await;
    let entries = disk.open().1.entries.len();
    disk.set_full(true);
    assert_eq!(submit(&node).await, None, "nothing is answered");
    assert!(!report.load().is_leader);
    let failure = report.load().failure.clone().expect("it failed");
    assert!(failure.contains("the disk is full"), "{failure}");
    assert_eq!(disk.open().1.entries.len(), entries);
}

#[tokio::test(start_paused = true)]
async fn a_member_continues_once_its_disk_has_room_again() {
    let disk = MemoryDisk::default();
    let (node, report) = start(&disk).await;
    let entries = disk.open().1.entries;
    disk.set_full(true);
    assert_eq!(submit(&node).await, None);
    for _ in 0..100 {
        sleep(Duration::from_millis(50)).await;
        node.cast(NodeMessage::Tick).expect("it runs");
    }
    let failed = report.load_full();
    assert!(failed.failure.is_some() && !failed.is_final, "{failed:?}");
    assert_eq!(disk.open().1.entries, entries);
    disk.set_full(false);
    lead(&node, &report).await;
    assert_eq!(report.load().failure, None);
    assert!(matches!(submit(&node).await, Some(Body::Submitted(_))));
    // Nothing of before is lost.
    let kept = disk.open().1.entries;
    assert_eq!(kept[..entries.len()], entries);
}

/// Guards against a leader that loses its lease because the messages of other members wait behind the
/// requests that all entries of a large fleet send at once.
#[tokio::test(start_paused = true)]
async fn a_message_of_a_member_is_handled_before_requests_that_wait() {
    const REQUESTS: usize = 1_000;
    let disk = MemoryDisk::default();
    let (node, _report) = start(&disk).await;
    let (replies, mut replied) = mpsc::channel(REQUESTS);
    for _ in 0..REQUESTS {
        let body = Body::Announce(AnnounceRequest::default());
        let replies = replies.clone();
        node.cast(NodeMessage::Request { body, replies })
            .expect("it runs");
    }
    let append = Body::Append(AppendRequest {
        from: "control-2".to_owned(),
        to: "control-1".to_owned(),
        term: 1_000,
        ..AppendRequest::default()
    });
    let message = NodeMessage::Peer {
        body: append,
        route: None,
    };
    node.cast(message).expect("it runs");
    let mut as_leader = 0;
    for _ in 0..REQUESTS {
        let reply = replied.recv().await;
        as_leader += usize::from(matches!(reply, Some(Body::Announced(_))));
    }
    assert!(
        as_leader <= REQUESTS_PER_FLUSH,
        "{as_leader} requests were handled before the message of a later leader"
    );
}

#[tokio::test(start_paused = true)]
async fn a_request_whose_sender_has_gone_is_not_handled() {
    let mut backlog = RequestBacklog::default();
    let (gone, receiver) = mpsc::channel(1);
    let (replies, _receiver) = mpsc::channel(1);
    drop(receiver);
    for replies in [gone, replies] {
        let body = Body::Status(StatusRequest {});
        backlog.push(WaitingRequest {
            body,
            replies,
            received_at: Moment::ORIGIN,
        });
    }
    let request = backlog.pop().expect("a request");
    assert!(!request.replies.is_closed());
    assert!(backlog.pop().is_none());
}

#[test]
fn the_load_of_an_interval_shows_how_many_requests_waited_and_how_long() {
    let mut load = RequestLoad::default();
    for wait in [20, 300, 10] {
        load.record_wait(Duration::from_millis(wait));
    }
    load.record_busy(Duration::from_millis(7));
    assert_eq!(load.take_due(Moment::from_millis(999), 0), None);
    let sums = load.take_due(Moment::from_millis(1_000), 2);
    let expected = LoadSums {
        handled: 3,
        longest_wait: Duration::from_millis(300),
        busy: Duration::from_millis(7),
        waiting: 2,
    };
    assert_eq!(sums, Some(expected));
    assert!(expected.is_overloaded());
    let idle = load.take_due(Moment::from_millis(2_000), 0);
    assert_eq!(idle, Some(LoadSums::default()), "a report starts anew");
}
