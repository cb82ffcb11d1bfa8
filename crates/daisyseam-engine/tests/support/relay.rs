//! A fleet of instances that relay calls to each other over loopback.

use super::{
    Fleet,
    caller::FakeCaller,
    data_centre,
    database::FakeDatabases, //
};
use daisyseam_engine::RelaySettings;
use daisyseam_member::FleetObserver;
use daisyseam_model::{
    FleetView,
    Incarnation,
    InstanceId,
    InstanceView, //
};
use daisyseam_runtime::Dialer;
use daisyseam_wire::{
    MessageStream,
    PeerRole,
    PeerSecurity,
    RelayFailure,
    RelayFailureKind,
    RelayMessage,
    relay_message::Body, //
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    }, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::mpsc,
    task::JoinHandle, //
};

/// Instances `e-0`, `e-1` and so on that share the databases.
pub struct RelayFleet {
    pub instances: Vec<RelayInstance>,
    pub databases: FakeDatabases,
}

/// One instance of the fleet.
pub struct RelayInstance {
    pub name: InstanceId,
    pub fleet: Fleet,
    address: SocketAddr,
    server: JoinHandle<()>,
    /// Number of connections that other instances have opened to it.
    pub accepted: Arc<AtomicUsize>,
}

impl RelayFleet {
    /// Starts instances whose databases admit `slots` connections each.
    pub async fn start(count: usize, slots: usize) -> Self {
        let databases = FakeDatabases::new(&["p", "a", "b"]);
        let mut instances = Vec::new();
        for index in 0..count {
            instances.push(RelayInstance::start(index, &databases, slots).await);
        }
        let mut fleet = Self {
            instances,
            databases,
        };
        let members: Vec<_> = fleet
            .instances
            .iter()
            .map(|instance| (instance.name.clone(), instance.address))
            .collect();
        fleet
            .change_view(|view| {
                for upstream in view.upstreams.values_mut() {
                    upstream.data_centre = data_centre("dc-1");
                }
                for (name, address) in &members {
                    view.instances.insert(name.clone(), member(*address));
                }
            })
            .await;
        fleet
    }

    /// Changes the view of all instances.
    pub async fn change_view(&mut self, change: impl Fn(&mut FleetView)) {
        for instance in &mut self.instances {
            instance.fleet.change_view(&change);
            let view = Arc::clone(&instance.fleet.cell.held().view);
            instance.fleet.engine.observer().apply(&view).await;
        }
    }

    /// Returns the indices of the instances that hold connections to a database, in order.
    pub fn holders(&self, upstream: &str) -> Vec<usize> {
        let view = &self.instances[0].fleet.cell.held().view;
        let ranked = daisyseam_coord::membership::ranked_holders(
            view,
            &upstream.parse().unwrap(),
            &data_centre("dc-1"),
            |_, _| true,
        );
        let index = |name: &&InstanceId| {
            let mut instances = self.instances.iter();
            instances.position(|instance| instance.name == **name)
        };
        ranked.iter().filter_map(index).collect()
    }

    /// Returns an instance that holds no connections to a database.
    pub fn other(&self, upstream: &str) -> &RelayInstance {
        let holders = self.holders(upstream);
        let index = (0..self.instances.len()).find(|index| !holders.contains(index));
        &self.instances[index.unwrap()]
    }

    /// Opens a session at an instance that holds no connections to `p`.
    pub async fn session(&self, service: &str) -> FakeCaller {
        self.other("p").fleet.session(service).await
    }
}

impl RelayInstance {
    async fn start(index: usize, databases: &FakeDatabases, slots: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let name = format!("e-{index}");
        let relay = RelaySettings {
            cluster: "c".parse().unwrap(),
            dialer: Dialer::default(),
            security: PeerSecurity::plain("c".parse().unwrap()),
        };
        let fleet = Fleet::instance(&name, databases.other_handle(), slots, Some(relay));
        let engine = fleet.engine.clone();
        let accepted = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&accepted);
        let server = tokio::spawn(async move {
            let mut sessions = tokio::task::JoinSet::new();
            while let Ok((socket, _)) = listener.accept().await {
                count.fetch_add(1, Ordering::Relaxed);
                sessions.spawn(engine.serve_relay(socket));
            }
        });
        Self {
            name: name.parse().unwrap(),
            fleet,
            address,
            server,
            accepted,
        }
    }

    /// Ends the instance's part for others: its connections to them break at once.
    pub async fn kill(&mut self) {
        self.server.abort();
        let _ = (&mut self.server).await;
    }

    /// Replaces the instance's part for others by one that does not know any of their calls.
    pub async fn forget_calls(&mut self) {
        self.kill().await;
        let listener = TcpListener::bind(self.address).await.unwrap();
        self.server = tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let security = PeerSecurity::plain("c".parse().unwrap());
                let socket = security.server(socket, &[PeerRole::Entry]).await.unwrap();
                let mut stream = MessageStream::new(socket, "c".parse().unwrap());
                tokio::spawn(async move {
                    while let Ok(RelayMessage { number, .. }) = stream.receive().await {
                        let failure = RelayFailure {
                            kind: RelayFailureKind::NotSent.into(),
                            ..RelayFailure::default()
                        };
                        let body = Some(Body::Failure(failure));
                        stream.send(&RelayMessage { number, body }).await.unwrap();
                    }
                });
            }
        });
    }

    /// Replaces the instance's part for others by one that accepts connections and never answers.
    pub async fn freeze(&mut self) -> mpsc::Receiver<TcpStream> {
        self.kill().await;
        let listener = TcpListener::bind(self.address).await.unwrap();
        let (sender, receiver) = mpsc::channel(1_000);
        self.server = tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                // Kept open and never read.
                let _ = sender.send(socket).await;
            }
        });
        receiver
    }
}

fn member(address: SocketAddr) -> InstanceView {
    InstanceView {
        incarnation: Incarnation(1),
        data_centre: data_centre("dc-1"),
        peer_address: address,
        leaving: false,
    }
}
