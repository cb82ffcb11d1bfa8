//! A control instance that hands out the views that the test sets, and the views themselves.

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

/// A view that tests change step by step.
pub(crate) struct ViewParts(pub(crate) FleetView);

impl ViewParts {
    /// Makes a view with a document and a group at term 1 whose primary is `one`.
    pub(crate) fn new() -> Self {
        let document = Document::parse(DOCUMENT).expect("a sound document");
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
        };
        self.0.upstreams.insert(upstream(name), entry);
        self
    }

    /// Makes the next view: another term and state of the group.
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

/// A control instance that always leads.
pub(crate) struct FakeControl {
    pub(crate) address: SocketAddr,
    view: watch::Sender<FleetView>,
    lease_ms: watch::Sender<u64>,
    cuts: watch::Sender<()>,
    heard: watch::Receiver<Heartbeat>,
    _tasks: JoinSet<()>,
}

impl FakeControl {
    pub(crate) async fn start(view: FleetView) -> Self {
        let listener = TcpListener::bind(LOOPBACK).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let view = watch::Sender::new(view);
        let lease_ms = watch::Sender::new(60_000);
        let (heartbeats, heard) = watch::channel(Heartbeat::default());
        let parts = ControlParts {
            view: view.clone(),
            lease_ms: lease_ms.clone(),
            heartbeats,
            cuts: watch::Sender::new(()),
        };
        let cuts = parts.cuts.clone();
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, parts));
        Self {
            address,
            view,
            lease_ms,
            cuts,
            heard,
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
    pub(crate) fn cut(&self) {
        self.cuts.send_replace(());
    }

    /// Waits for a heartbeat that fits.
    pub(crate) async fn heard(&self, fits: impl Fn(&Heartbeat) -> bool) -> Heartbeat {
        let mut heard = self.heard.clone();
        let heartbeat = super::within(heard.wait_for(|heartbeat| fits(heartbeat))).await;
        heartbeat.expect("control runs").clone()
    }
}

#[derive(Clone)]
struct ControlParts {
    view: watch::Sender<FleetView>,
    lease_ms: watch::Sender<u64>,
    heartbeats: watch::Sender<Heartbeat>,
    cuts: watch::Sender<()>,
}

async fn accept(listener: TcpListener, parts: ControlParts) {
    let mut sessions = JoinSet::new();
    while let Ok((socket, _)) = listener.accept().await {
        sessions.spawn(serve(socket, parts.clone()));
    }
}

async fn serve(socket: TcpStream, parts: ControlParts) {
    let mut stream = MessageStream::<_, ControlMessage>::new(socket, cluster());
    let mut cuts = parts.cuts.subscribe();
    loop {
        let received = tokio::select! {
            received = stream.receive() => received,
            _ = cuts.changed() => return,
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
    let update = (heartbeat.view < view.number.0).then(|| WireView::whole(&view, Some(DOCUMENT)));
    HeartbeatReply {
        sequence: heartbeat.sequence,
        lease_ms: *parts.lease_ms.borrow(),
        update,
        shares: None,
        members: None,
    }
}
