//! A fake control instance that distributes views set by the test, and a builder for views.

use super::{
    FakeDatabase,
    LOOPBACK,
    cluster,
    group,
    upstream, //
};
use daisyseam_model::{
    DocumentNumber,
    FleetView,
    GroupView,
    Incarnation,
    InstanceView,
    PrimaryState,
    Term,
    UpstreamView,
    ViewNumber,
    document::Document, //
};
use daisyseam_wire::{
    ControlMessage,
    Heartbeat,
    HeartbeatReply,
    MessageStream,
    Welcome,
    WireView,
    control_message::Body, //
};
use std::{
    net::SocketAddr,
    sync::Arc, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
    task::JoinSet, //
};

pub(crate) const DOCUMENT: &str = r#"number = 1
cluster = "shellrest"

[[region]]
name = "khomas"

[[data_centre]]
name = "khomas-1"
region = "khomas"

[[group]]
name = "bookings-db"
databases = 3
slots = 2

[[service]]
name = "bookings"
group = "bookings-db"
"#;

/// Builder for a view that tests change step by step.
pub(crate) struct ViewParts(pub(crate) FleetView);

impl ViewParts {
    /// Creates a view with a document and a group at term 1 whose primary is `one`.
    pub(crate) fn new() -> Self {
        let document = Document::parse(DOCUMENT).expect("a valid document");
        let mut view = FleetView {
            number: ViewNumber(1),
            document_number: DocumentNumber(1),
            document: Some(Arc::new(document)),
            ..FleetView::default()
        };
        view.groups.insert(
            group(),
            GroupView {
                term: Term(1),
                primary: PrimaryState::Active(upstream("one")),
                lineage_start: Default::default(),
            },
        );
        Self(view)
    }

    pub(crate) fn instance(
        mut self,
        name: &str,
        incarnation: u64,
        peer_address: SocketAddr,
    ) -> Self {
        let instance = InstanceView {
            incarnation: Incarnation(incarnation),
            data_centre: "khomas-1".parse().expect("a name"),
            peer_address,
            leaving: false,
        };
        self.0
            .instances
            .insert(name.parse().expect("a name"), instance);
        self
    }

    pub(crate) fn database(
        mut self,
        name: &str,
        database: &FakeDatabase,
        holder: Option<&str>,
    ) -> Self {
        let entry = UpstreamView {
            group: group(),
            data_centre: "khomas-1".parse().expect("a name"),
            address: database.address,
            admin_address: database.admin_address,
            holder: holder.map(|holder| holder.parse().expect("a name")),
            leaving: false,
            born_ms: 0,
            voter: true,
        };
        self.0.upstreams.insert(upstream(name), entry);
        self
    }

    /// Makes the next view, with another term and primary state of the group.
    pub(crate) fn group(mut self, term: u64, primary: PrimaryState) -> Self {
        let group = self.0.groups.get_mut(&group()).expect("it is there");
        group.term = Term(term);
        group.primary = primary;
        self.next()
    }

    pub(crate) fn next(mut self) -> Self {
        self.0.number.0 += 1;
        self
    }
}

/// A control instance that is always the leader.
pub(crate) struct FakeControl {
    pub(crate) address: SocketAddr,
    view: watch::Sender<FleetView>,
    lease_ms: watch::Sender<u64>,
    disconnects: watch::Sender<()>,
    received: watch::Receiver<Heartbeat>,
    _tasks: JoinSet<()>,
}

impl FakeControl {
    pub(crate) async fn start(view: FleetView) -> Self {
        let listener = TcpListener::bind(LOOPBACK).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let view = watch::Sender::new(view);
        let lease_ms = watch::Sender::new(60_000);
        let (heartbeats, received) = watch::channel(Heartbeat::default());
        let parts = ControlParts {
            view: view.clone(),
            lease_ms: lease_ms.clone(),
            heartbeats,
            disconnects: watch::Sender::new(()),
        };
        let disconnects = parts.disconnects.clone();
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, parts));
        Self {
            address,
            view,
            lease_ms,
            disconnects,
            received,
            _tasks: tasks,
        }
    }

    pub(crate) fn set_view(&self, view: FleetView) {
        self.view.send_replace(view);
    }

    pub(crate) fn set_lease_ms(&self, lease_ms: u64) {
        self.lease_ms.send_replace(lease_ms);
    }

    /// Closes every connection.
    pub(crate) fn disconnect(&self) {
        self.disconnects.send_replace(());
    }

    /// Waits for a heartbeat that satisfies a condition.
    pub(crate) async fn wait_for_heartbeat(&self, fits: impl Fn(&Heartbeat) -> bool) -> Heartbeat {
        let mut received = self.received.clone();
        let heartbeat = super::within(received.wait_for(|heartbeat| fits(heartbeat))).await;
        heartbeat.expect("control is running").clone()
    }
}

#[derive(Clone)]
struct ControlParts {
    view: watch::Sender<FleetView>,
    lease_ms: watch::Sender<u64>,
    heartbeats: watch::Sender<Heartbeat>,
    disconnects: watch::Sender<()>,
}

async fn accept(listener: TcpListener, parts: ControlParts) {
    let mut sessions = JoinSet::new();
    while let Ok((socket, _)) = listener.accept().await {
        sessions.spawn(serve(socket, parts.clone()));
    }
}

async fn serve(socket: TcpStream, parts: ControlParts) {
    let mut stream = MessageStream::<_, ControlMessage>::new(socket, cluster());
    let mut disconnects = parts.disconnects.subscribe();
    loop {
        let received = tokio::select! {
            received = stream.receive() => received,
            _ = disconnects.changed() => return,
        };
        let Ok(message) = received else { return };
        let body = match message.body {
            Some(Body::Handshake(_)) => Body::Welcome(Welcome { incarnation: 1 }),
            Some(Body::Heartbeat(heartbeat)) => {
                let reply = reply(&heartbeat, &parts);
                parts.heartbeats.send_replace(heartbeat);
                Body::HeartbeatReply(reply)
            }
            _ => return,
        };
        let message = ControlMessage { body: Some(body) };
        if stream.send(&message).await.is_err() {
            return;
        }
    }
}

fn reply(heartbeat: &Heartbeat, parts: &ControlParts) -> HeartbeatReply {
    let view = parts.view.borrow();
    let update =
        (heartbeat.view < view.number.0).then(|| WireView::whole(&view, Some(DOCUMENT)).encoded());
    HeartbeatReply {
        sequence: heartbeat.sequence,
        lease_ms: *parts.lease_ms.borrow(),
        update,
        shares: None,
        members: None,
        update_deflated: None,
        usage: None,
    }
}
