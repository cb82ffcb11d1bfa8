//! Loopback made to look like several data centres: delays and cuts between them.

use bytes::Bytes;
use daisyseam_model::DataCentreId;
use daisyseam_runtime::TimerService;
use parking_lot::{
    Mutex,
    RwLock, //
};
use std::{
    collections::BTreeSet,
    io,
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream,
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        }, //
    },
    runtime::Handle,
    sync::{
        mpsc,
        watch, //
    },
    task::AbortHandle,
    time::Instant, //
};

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 << 10;
/// Chunks on their way at once in one direction.
const CHUNKS_IN_TRANSIT: usize = 64;

/// Where a data centre lies, and the address its processes dial from.
#[derive(Clone, Debug)]
pub struct NetworkSite {
    /// Its name.
    pub name: DataCentreId,
    /// Its region; data centres of one region are near each other.
    pub region: usize,
}

/// One-way delays.
#[derive(Clone, Copy, Debug)]
pub struct NetworkDelays {
    /// Between data centres of one region.
    pub in_region: Duration,
    /// Between regions.
    pub between_regions: Duration,
    /// Between a client and an entry instance.
    pub client: Duration,
}

/// The network of one fleet.
#[derive(Clone)]
pub struct FleetNetwork {
    shared: Arc<NetworkShared>,
    handle: Handle,
    timer: TimerService,
}

struct NetworkShared {
    sites: Vec<NetworkSite>,
    delays: NetworkDelays,
    cuts: RwLock<BTreeSet<(DataCentreId, DataCentreId)>>,
    changed: watch::Sender<()>,
}

/// From where to where a connection runs.
#[derive(Clone, Debug)]
struct NetworkPath {
    /// None for a client, which no cut separates from its entry.
    from: Option<DataCentreId>,
    to: DataCentreId,
}

impl FleetNetwork {
    /// Makes a network without cuts; its relays run on a runtime.
    pub fn new(sites: Vec<NetworkSite>, delays: NetworkDelays, handle: Handle) -> Self {
        let guard = handle.enter();
        let timer = TimerService::start();
        drop(guard);
        let shared = NetworkShared {
            sites,
            delays,
            cuts: RwLock::default(),
            changed: watch::Sender::new(()),
        };
        Self {
            shared: Arc::new(shared),
            handle,
            timer,
        }
    }

    /// Returns the address that processes of a data centre dial from.
    pub fn source(&self, data_centre: &DataCentreId) -> IpAddr {
        let place = self.shared.place(data_centre);
        let octet = u8::try_from(place + 1).unwrap_or(u8::MAX);
        IpAddr::V4(Ipv4Addr::new(127, 0, octet, 1))
    }

    /// Starts a forwarder to a process that will run in a data centre.
    ///
    /// # Errors
    ///
    /// When there is no free port.
    pub fn forward(&self, to: &DataCentreId) -> io::Result<PortForwarder> {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let target = Arc::new(Mutex::new(None));
        let _guard = self.handle.enter();
        let listener = TcpListener::from_std(listener)?;
        let network = self.clone();
        let carried = Arc::new(AtomicU64::new(0));
        let port = ForwardedPort {
            to: to.clone(),
            target: Arc::clone(&target),
            carried: Arc::clone(&carried),
        };
        let accepts = accept(network, listener, port);
        let task = self.handle.spawn(accepts).abort_handle();
        Ok(PortForwarder {
            address,
            target,
            carried,
            task,
        })
    }

    /// Cuts a data centre off from all others, both ways.
    pub fn cut_off(&self, data_centre: &DataCentreId) {
        let mut cuts = self.shared.cuts.write();
        for site in &self.shared.sites {
            if site.name != *data_centre {
                cuts.insert((site.name.clone(), data_centre.clone()));
                cuts.insert((data_centre.clone(), site.name.clone()));
            }
        }
        drop(cuts);
        self.shared.changed.send_replace(());
    }

    /// Ends every cut; what was held back arrives then.
    pub fn heal(&self) {
        self.shared.cuts.write().clear();
        self.shared.changed.send_replace(());
    }

    fn path(&self, from: IpAddr, to: &DataCentreId) -> NetworkPath {
        let site = self
            .shared
            .sites
            .iter()
            .find(|site| self.source(&site.name) == from);
        NetworkPath {
            from: site.map(|site| site.name.clone()),
            to: to.clone(),
        }
    }

    fn delay(&self, path: &NetworkPath) -> Duration {
        let delays = &self.shared.delays;
        let Some(from) = &path.from else {
            return delays.client;
        };
        if *from == path.to {
            Duration::ZERO
        } else if self.shared.region(from) == self.shared.region(&path.to) {
            delays.in_region
        } else {
            delays.between_regions
        }
    }

    async fn connected(&self, path: &NetworkPath) {
        let Some(from) = &path.from else { return };
        let pair = (from.clone(), path.to.clone());
        let mut changed = self.shared.changed.subscribe();
        while self.shared.cuts.read().contains(&pair) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }
}

impl NetworkShared {
    fn place(&self, data_centre: &DataCentreId) -> usize {
        let place = self.sites.iter().position(|site| site.name == *data_centre);
        place.expect("the data centre belongs to the network")
    }

    fn region(&self, data_centre: &DataCentreId) -> usize {
        self.sites[self.place(data_centre)].region
    }
}

/// A fixed address in front of a process that may come, go and move.
pub struct PortForwarder {
    address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    carried: Arc<AtomicU64>,
    task: AbortHandle,
}

impl PortForwarder {
    /// Returns the address in front.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Names the process behind; none while there is none.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *self.target.lock() = target;
    }

    /// Returns the bytes of payload carried so far, both ways together.
    pub fn carried_bytes(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
    }
}

impl Drop for PortForwarder {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What a forwarder's connections share.
struct ForwardedPort {
    to: DataCentreId,
    target: Arc<Mutex<Option<SocketAddr>>>,
    carried: Arc<AtomicU64>,
}

async fn accept(network: FleetNetwork, listener: TcpListener, port: ForwardedPort) {
    loop {
        let Ok((outer, from)) = listener.accept().await else {
            continue;
        };
        let path = network.path(from.ip(), &port.to);
        let known = *port.target.lock();
        // A process that is down refuses connections.
        if let Some(target) = known {
            let carried = Arc::clone(&port.carried);
            tokio::spawn(relay(network.clone(), outer, target, path, carried));
        }
    }
}

async fn relay(
    network: FleetNetwork,
    outer: TcpStream,
    target: SocketAddr,
    path: NetworkPath,
    carried: Arc<AtomicU64>,
) {
    let relayed = async {
        outer.set_nodelay(true)?;
        network.connected(&path).await;
        let inner = TcpStream::connect(target).await?;
        inner.set_nodelay(true)?;
        let (outer_read, outer_write) = outer.into_split();
        let (inner_read, inner_write) = inner.into_split();
        let there = pipe(&network, &path, &carried, outer_read, inner_write);
        let back = pipe(&network, &path, &carried, inner_read, outer_write);
        tokio::join!(there, back);
        io::Result::Ok(())
    };
    if let Err(error) = relayed.await {
        log::debug!("a forwarded connection failed: {error}");
    }
}

type InTransit = (Instant, Bytes);

/// Carries bytes one way; a cut holds them back, and the end of the connection too.
async fn pipe(
    network: &FleetNetwork,
    path: &NetworkPath,
    carried: &AtomicU64,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
) {
    let delay = network.delay(path);
    let (sender, receiver) = mpsc::channel(CHUNKS_IN_TRANSIT);
    tokio::join!(
        take_in(reader, sender, delay, carried),
        deliver(network, path, receiver, writer)
    );
}

async fn take_in(
    mut reader: OwnedReadHalf,
    sender: mpsc::Sender<InTransit>,
    delay: Duration,
    carried: &AtomicU64,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let length = tokio::select! {
            length = reader.read(&mut buffer) => length.unwrap_or(0),
            () = sender.closed() => return,
        };
        carried.fetch_add(length as u64, Ordering::Relaxed);
        let chunk = Bytes::copy_from_slice(&buffer[..length]);
        let sent = sender.send((Instant::now() + delay, chunk)).await;
        if length == 0 || sent.is_err() {
            return;
        }
    }
}

async fn deliver(
    network: &FleetNetwork,
    path: &NetworkPath,
    mut receiver: mpsc::Receiver<InTransit>,
    mut writer: OwnedWriteHalf,
) {
    while let Some((due, chunk)) = receiver.recv().await {
        network.timer.at(due).await;
        network.connected(path).await;
        if chunk.is_empty() {
            break;
        }
        if writer.write_all(&chunk).await.is_err() {
            return;
        }
    }
    // The far end sees the close, or has gone already.
    let _ = writer.shutdown().await;
}
