//! Members, entries and databases for tests of the control daemon.

use axum::{
    Json,
    Router,
    extract::State,
    routing::{
        get,
        post, //
    }, //
};
use daisyseam_control::{
    ControlDaemon,
    ControlSettings, //
};
use daisyseam_model::{
    ClusterId,
    FleetView,
    InstanceId,
    LogPosition,
    Position,
    Term,
    announce::{
        FenceCall,
        FollowCall,
        PromoteCall,
        UpstreamRole,
        UpstreamState, //
    }, //
};
use daisyseam_wire::{
    ControlMessage,
    Handshake,
    Heartbeat,
    HeartbeatReply,
    MessageStream,
    SubmitReply,
    SubmitRequest,
    UpstreamReport,
    control_message::Body, //
};
use std::{
    net::{
        SocketAddr,
        TcpListener, //
    },
    path::Path,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};
use tokio::net::TcpStream;

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
slots = 5

[[service]]
name = "bookings"
group = "bookings-db"

[[organisation]]
name = "swakop-boarding"
rate = 50
burst = 100

[[organisation.key]]
hash = "sha256:0000000000000000000000000000000000000000000000000000000000000001"
"#;

pub(crate) fn cluster() -> ClusterId {
    ClusterId::new("shellrest").expect("a sound name")
}

pub(crate) fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    let address = |listener: &TcpListener| listener.local_addr().expect("an address");
    listeners.iter().map(address).collect()
}

pub(crate) fn member_names(addresses: &[SocketAddr]) -> Vec<(InstanceId, SocketAddr)> {
    let named = addresses.iter().enumerate().map(|(number, address)| {
        let name = format!("control-{number}");
        (InstanceId::new(&name).expect("a sound name"), *address)
    });
    named.collect()
}

pub(crate) fn settings(
    members: &[(InstanceId, SocketAddr)],
    number: usize,
    folder: &Path,
) -> ControlSettings {
    let (instance, listen) = members[number].clone();
    ControlSettings {
        cluster: cluster(),
        data_folder: folder.join(instance.as_str()),
        instance,
        data_centre: "khomas-1".parse().expect("a sound name"),
        listen,
        advertise: None,
        http_listen: Some("127.0.0.1:0".parse().expect("an address")),
        tuning: daisyseam_control::ControlTuning::default(),
        members: members.to_vec(),
        spare: false,
        seeds: Vec::new(),
        bootstrap: false,
        repair_delay: Duration::from_secs(2),
        tolerated_losses: 0,
        source: None,
        metrics: None,
        usage: None,
    }
}

pub(crate) async fn start(settings: ControlSettings) -> ControlDaemon {
    ControlDaemon::start(settings).await.expect("it starts")
}

/// A connection of an entry or operator.
pub(crate) struct Client {
    stream: MessageStream<TcpStream, ControlMessage>,
}

impl Client {
    pub(crate) async fn connect(address: SocketAddr) -> Option<Self> {
        let socket = TcpStream::connect(address).await.ok()?;
        let stream = MessageStream::new(socket, cluster());
        Some(Self { stream })
    }

    pub(crate) async fn request(&mut self, body: Body) -> Option<Body> {
        let message = ControlMessage { body: Some(body) };
        self.stream.send(&message).await.ok()?;
        self.stream.receive().await.ok()?.body
    }
}

/// Sends a request to each member in turn until the leader answers.
pub(crate) async fn request_leader(members: &[SocketAddr], body: Body) -> (SocketAddr, Body) {
    loop {
        for address in members {
            let Some(mut client) = Client::connect(*address).await else {
                continue;
            };
            match client.request(body.clone()).await {
                Some(Body::NotLeader(_)) | None => {}
                Some(answer) => return (*address, answer),
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

pub(crate) async fn submit(
    members: &[SocketAddr],
    id: &str,
    replaces: u64,
    text: &str,
) -> SubmitReply {
    let request = SubmitRequest {
        id: id.to_owned(),
        replaces,
        text: text.to_owned(),
        operator: "amalia".to_owned(),
    };
    loop {
        let answer = request_leader(members, Body::Submit(request.clone())).await;
        match answer.1 {
            Body::Submitted(reply) if !reply.busy => return reply,
            _ => {}
        }
    }
}

/// An entry that sends a handshake and heartbeats, and maintains its view.
pub(crate) struct Entry {
    pub(crate) view: FleetView,
    pub(crate) lease_ms: u64,
    members: Vec<SocketAddr>,
    client: Option<Client>,
    name: String,
    text: String,
    incarnation: u64,
    sequence: u64,
}

impl Entry {
    pub(crate) fn new(name: &str, members: &[SocketAddr]) -> Self {
        Self {
            view: FleetView::default(),
            lease_ms: 0,
            members: members.to_vec(),
            client: None,
            name: name.to_owned(),
            text: String::new(),
            incarnation: 0,
            sequence: 0,
        }
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    async fn handshake(&mut self) {
        let handshake = Handshake {
            instance: self.name.clone(),
            incarnation: self.incarnation,
            data_centre: "khomas-1".to_owned(),
            peer_address: "127.0.0.1:7400".to_owned(),
            view: self.view.number.0,
        };
        let (address, answer) = request_leader(&self.members, Body::Handshake(handshake)).await;
        if let Body::Welcome(welcome) = answer {
            self.incarnation = welcome.incarnation;
            self.client = Client::connect(address).await;
        }
    }

    /// Sends a heartbeat and applies the reply.
    pub(crate) async fn send_heartbeat(&mut self, upstreams: Vec<UpstreamReport>) {
        if self.client.is_none() {
            self.handshake().await;
        }
        self.sequence += 1;
        let heartbeat = Heartbeat {
            sequence: self.sequence,
            incarnation: self.incarnation,
            view: self.view.number.0,
            upstreams,
            instance: self.name.clone(),
            ..Heartbeat::default()
        };
        let Some(client) = &mut self.client else {
            return;
        };
        match client.request(Body::Heartbeat(heartbeat)).await {
            Some(Body::HeartbeatReply(reply)) => self.apply(&reply),
            _ => self.client = None,
        }
    }

    fn apply(&mut self, reply: &HeartbeatReply) {
        self.lease_ms = reply.lease_ms;
        if let Some(update) = reply.encoded_update() {
            let update = update.decoded().expect("an update");
            let applied = update.apply(&self.view, &self.text);
            let (view, text) = applied.expect("the update fits");
            assert!(view.number > self.view.number, "the view number decreased");
            self.view = view;
            self.text = text;
        }
    }

    /// Sends heartbeats until the view meets a condition.
    pub(crate) async fn heartbeat_until(
        &mut self,
        databases: &[Database],
        condition: impl Fn(&FleetView) -> bool,
    ) {
        loop {
            let reports = databases.iter().map(Database::report).collect();
            self.send_heartbeat(reports).await;
            if condition(&self.view) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// A fake database that implements only the calls from control.
#[derive(Clone)]
pub(crate) struct Database {
    pub(crate) name: String,
    pub(crate) state: Arc<Mutex<UpstreamState>>,
    pub(crate) address: SocketAddr,
}

impl Database {
    pub(crate) async fn start(name: &str, role: UpstreamRole, position: u64) -> Self {
        let end = LogPosition {
            term: Term(1),
            position: Position(position),
        };
        let state = Arc::new(Mutex::new(UpstreamState {
            promised: Term(1),
            end,
            role,
        }));
        let router = Router::new()
            .route("/state", get(state_page))
            .route("/fence", post(fence))
            .route("/promote", post(promote))
            .route("/follow", post(follow))
            .with_state(Arc::clone(&state));
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a free port");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(async move { axum::serve(listener, router).await });
        Self {
            name: name.to_owned(),
            state,
            address,
        }
    }

    pub(crate) fn report(&self) -> UpstreamReport {
        let state = self.state.lock().expect("no panic");
        UpstreamReport {
            upstream: self.name.clone(),
            group: "bookings-db".to_owned(),
            data_centre: "khomas-1".to_owned(),
            address: self.address.to_string(),
            admin_address: self.address.to_string(),
            term: state.end.term.0,
            position: state.end.position.0,
            primary: state.role == UpstreamRole::Primary,
            leaving: false,
            age_ms: 0,
            born_ms: 0,
            sequence: 0,
        }
    }
}

type Shared = State<Arc<Mutex<UpstreamState>>>;
type StateReply = Result<Json<UpstreamState>, axum::http::StatusCode>;

async fn state_page(State(state): Shared) -> Json<UpstreamState> {
    Json(state.lock().expect("no panic").clone())
}

async fn fence(State(state): Shared, Json(call): Json<FenceCall>) -> StateReply {
    change_state(&state, call.term, |state| {
        state.role = UpstreamRole::Detached
    })
}

async fn promote(State(state): Shared, Json(call): Json<PromoteCall>) -> StateReply {
    change_state(&state, call.term, |state| {
        state.role = UpstreamRole::Primary;
        state.end.term = call.term;
    })
}

async fn follow(State(state): Shared, Json(call): Json<FollowCall>) -> StateReply {
    change_state(&state, call.term, |state| {
        state.role = UpstreamRole::Replica
    })
}

fn change_state(
    state: &Mutex<UpstreamState>,
    term: Term,
    edit: impl FnOnce(&mut UpstreamState),
) -> StateReply {
    let mut state = state.lock().expect("no panic");
    if state.promised > term {
        return Err(axum::http::StatusCode::CONFLICT);
    }
    state.promised = term;
    edit(&mut state);
    Ok(Json(state.clone()))
}
