//! Startup and shutdown of the control daemon.

use crate::{
    admin::{
        HttpAdmin,
        UpstreamAdmin,
        UsageReporter, //
    },
    convert::durable_log,
    core::{
        ControlCore,
        CoreSettings, //
    },
    handle::ControlHandle,
    identity::first_identity,
    link::LinkContext,
    node::{
        NodeActor,
        NodeArguments,
        NodeMessage,
        NodeReport, //
    },
    notice::SpareNotifier,
    session::{
        SessionContext,
        accept_sessions, //
    },
    settings::ControlSettings, //
};
use arc_swap::ArcSwap;
use daisyseam_coord::{
    Moment,
    log::{
        MemberTable,
        ReplicatedLog, //
    }, //
};
use daisyseam_runtime::{
    BootClock,
    ControlAddresses,
    Dialer,
    HealthServer,
    HealthState,
    MetricClient,
    MetricsError,
    StopSignal,
    TimerService,
    exit, //
};
use daisyseam_store::{
    FolderIdentity,
    FolderOwner,
    FolderStore,
    RecoveredState,
    StoreError, //
};
use daisyseam_wire::PeerSecurity;
use displaydoc::Display;
use ractor::{
    Actor,
    ActorRef,
    SpawnErr,
    rpc::CallResult, //
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::SeedableRng, //
};
use serde_json::Value;
use std::{
    error::Error,
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    net::TcpListener,
    sync::watch,
    task::{
        AbortHandle,
        JoinHandle, //
    },
    time::Instant, //
};

/// Time for which startup waits for a former process to unlock the data folder.
const LOCK_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between attempts to lock the data folder.
const LOCK_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Delay between attempts to open a data folder whose disk is full.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval between checks for a failure of the node.
const FAILURE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which certificates are reloaded.
const CERTIFICATE_RELOAD_INTERVAL: Duration = Duration::from_secs(30);
/// Interval between checks for the end of a leadership transfer.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time to wait for the node to handle a tick before it is sent another.
const TICK_TIMEOUT: Duration = Duration::from_millis(50);

/// Error on starting the daemon.
#[derive(Debug, Display)]
pub enum StartError {
    /// cannot use the data folder: {0}
    Store(StoreError),
    /// the data folder contains records that this version cannot read
    Unreadable,
    /// cannot listen on {0}: {1}
    Listen(SocketAddr, io::Error),
    /// cannot set up the metrics client: {0}
    Metrics(MetricsError),
    /// cannot set up the HTTP client for databases: {0}
    Client(reqwest::Error),
    /// cannot start the node: {0}
    Node(SpawnErr),
}

impl Error for StartError {}

/// Failure after which a running daemon makes no further decisions and must be restarted.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum DaemonFailure {
    /// the data folder failed: {0}
    DataFolder(String),
    /// an invariant was violated; see the log
    Invariant,
}

impl DaemonFailure {
    /// Returns the exit code for a program that ends because of the failure.
    pub fn exit_code(&self) -> i32 {
        match self {
            Self::DataFolder(_) => exit::DATA_FOLDER,
            Self::Invariant => exit::FAILURE,
        }
    }
}

/// A running control instance.
pub struct ControlDaemon {
    node: ActorRef<NodeMessage>,
    node_end: JoinHandle<()>,
    report: Arc<ArcSwap<NodeReport>>,
    stop: StopSignal,
    timer: TimerService,
    address: SocketAddr,
    health: Option<HealthServer>,
    addresses: ControlAddresses,
    metrics: MetricClient,
    tasks: Vec<AbortHandle>,
}

impl ControlDaemon {
    /// Recovers the durable state and starts the daemon with unsecured connections.
    ///
    /// # Errors
    ///
    /// [`StartError`] if the data folder, an address or the metrics cannot be used.
    pub async fn start(settings: ControlSettings) -> Result<Self, StartError> {
        let security = PeerSecurity::plain(settings.cluster.clone());
        Self::start_secured(settings, security).await
    }

    /// Starts the daemon with secured connections and reloads certificates periodically.
    ///
    /// # Errors
    ///
    /// [`StartError`] if the data folder, an address or the metrics cannot be used.
    pub async fn start_secured(
        settings: ControlSettings,
        security: PeerSecurity,
    ) -> Result<Self, StartError> {
        let timer = TimerService::start();
        let admin = HttpAdmin::new(settings.source, timer.clone()).map_err(StartError::Client)?;
        Self::start_on(timer, settings, security, admin).await
    }

    /// Starts the daemon with a custom client for calls to databases.
    ///
    /// # Errors
    ///
    /// [`StartError`] if the data folder, an address or the metrics cannot be used.
    pub async fn start_with<A: UpstreamAdmin + UsageReporter>(
        settings: ControlSettings,
        security: PeerSecurity,
        admin: A,
    ) -> Result<Self, StartError> {
        Self::start_on(TimerService::start(), settings, security, admin).await
    }

    async fn start_on<A: UpstreamAdmin + UsageReporter>(
        timer: TimerService,
        settings: ControlSettings,
        security: PeerSecurity,
        admin: A,
    ) -> Result<Self, StartError> {
        let metrics = MetricClient::new(settings.metrics).map_err(StartError::Metrics)?;
        let listener = bind(settings.listen).await?;
        let address = listener
            .local_addr()
            .map_err(|error| StartError::Listen(settings.listen, error))?;
        let own = settings.advertise.unwrap_or(address);
        let (store, identity, recovered) = open_store(&settings, own, &timer).await?;
        let origin = BootClock::now();
        let core = recover_core(&settings, &identity, recovered)?;
        let report = Arc::<ArcSwap<NodeReport>>::default();
        let (wake, woken) = watch::channel(timer.now());
        let dialer = Dialer {
            source: settings.source,
            ..Dialer::default()
        };
        let link_timer = timer.clone();
        let cluster = settings.cluster.clone();
        let link_security = security.clone();
        let context = move |node| LinkContext {
            cluster: cluster.clone(),
            dialer,
            security: link_security.clone(),
            timer: link_timer.clone(),
            node,
        };
        let voters = identity.voters.iter().cloned();
        let arguments = NodeArguments {
            core,
            initial_members: MemberTable::from_voters(voters),
            instance: identity.owner.instance,
            naming_address: (!settings.seeds.is_empty()).then_some(own),
            store,
            admin,
            origin,
            wake,
            report: Arc::clone(&report),
            metrics: metrics.clone(),
            updates_status: settings.http_listen.is_some(),
            context: Box::new(context),
        };
        let actor = NodeActor::<FolderStore, A>::new();
        let spawned = Actor::spawn(None, actor, arguments).await;
        let (node, node_end) = spawned.map_err(StartError::Node)?;
        let stop = StopSignal::new();
        let state = PageState {
            report: Arc::clone(&report),
            stop: stop.clone(),
        };
        let health = match settings.http_listen {
            Some(address) => Some(start_pages(address, state).await?),
            None => None,
        };
        let sessions = SessionContext {
            cluster: settings.cluster.clone(),
            security: security.clone(),
            timer: timer.clone(),
            node: node.clone(),
        };
        let mut tasks = vec![
            tokio::spawn(drive_ticks(woken, timer.clone(), node.clone())).abort_handle(),
            tokio::spawn(accept_sessions(listener, sessions)).abort_handle(),
            tokio::spawn(reload_certificates(security.clone(), timer.clone())).abort_handle(),
        ];
        let addresses = known_addresses(&settings);
        if settings.spare || !settings.seeds.is_empty() {
            let notifier = SpareNotifier {
                cluster: settings.cluster,
                own_address: own,
                data_centre: settings.data_centre,
                addresses: addresses.clone(),
                report: Arc::clone(&report),
                dialer,
                security,
                timer: timer.clone(),
                node: node.clone(),
            };
            tasks.push(tokio::spawn(notifier.run()).abort_handle());
        }
        Ok(Self {
            node,
            node_end,
            report,
            stop,
            timer,
            address,
            health,
            addresses,
            metrics,
            tasks,
        })
    }

    /// Returns the address that entries, operators and other members connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the health pages, if they are served.
    pub fn http_address(&self) -> Option<SocketAddr> {
        self.health.as_ref().map(HealthServer::address)
    }

    /// Returns a handle for requests from the same process.
    pub fn handle(&self) -> ControlHandle {
        let report = Arc::clone(&self.report);
        ControlHandle::new(self.node.clone(), report, self.timer.clone())
    }

    /// Returns the known addresses of control instances, whose seeds may be replaced.
    pub fn addresses(&self) -> &ControlAddresses {
        &self.addresses
    }

    /// Returns the counters of this instance.
    pub fn metrics(&self) -> &MetricClient {
        &self.metrics
    }

    /// Returns whether this instance was the leader at the last update.
    pub fn is_leader(&self) -> bool {
        self.report.load().is_leader
    }

    /// Returns the last update of the status page, which is null if no pages are served.
    pub fn status(&self) -> Value {
        self.report.load().status.as_ref().clone()
    }

    /// Waits until the daemon fails for good, and returns the failure. A full disk is no such
    /// failure: the daemon continues once there is room.
    pub async fn failed(&self) -> DaemonFailure {
        loop {
            let report = self.report.load();
            if let (Some(failure), true) = (&report.failure, report.is_final) {
                return DaemonFailure::DataFolder(failure.clone());
            }
            drop(report);
            if self.node_end.is_finished() {
                return DaemonFailure::Invariant;
            }
            self.timer.after(FAILURE_POLL_INTERVAL).await;
        }
    }

    /// Transfers the leadership and stops; returns whether this was done before the deadline.
    pub async fn stop(self, deadline: Duration) -> bool {
        self.stop.stop();
        let until = self.timer.now() + deadline;
        let transferred = self.transfer_leadership(until).await;
        for task in &self.tasks {
            task.abort();
        }
        self.node.stop(None);
        let ended = self.timer.within(until, self.node_end).await;
        transferred && ended.is_some()
    }

    /// Transfers the leadership to another member if possible; returns `false` if a transfer has
    /// started but is not complete at `until`.
    async fn transfer_leadership(&self, until: Instant) -> bool {
        let request = self.node.call(NodeMessage::TransferLeadership, None);
        let started = self.timer.within(until, request).await;
        let Some(Ok(CallResult::Success(true))) = started else {
            // It is not the leader, or there is no other member to take over.
            return true;
        };
        while self.is_leader() {
            if self.timer.now() >= until {
                return false;
            }
            self.timer.after(STOP_POLL_INTERVAL).await;
        }
        true
    }
}

/// State behind the health pages.
#[derive(Clone)]
struct PageState {
    report: Arc<ArcSwap<NodeReport>>,
    stop: StopSignal,
}

impl HealthState for PageState {
    fn not_ready(&self) -> Option<String> {
        let report = self.report.load();
        if self.stop.is_stopping() {
            return Some("stopping".to_owned());
        }
        if let Some(failure) = &report.failure {
            return Some(failure.clone());
        }
        report
            .leader
            .is_none()
            .then(|| "no leader is known".to_owned())
    }

    fn status(&self) -> Value {
        self.report.load().status.as_ref().clone()
    }
}

async fn start_pages(address: SocketAddr, state: PageState) -> Result<HealthServer, StartError> {
    let pages = HealthServer::start(address, state, axum::Router::new()).await;
    pages.map_err(|error| StartError::Listen(address, error))
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| StartError::Listen(address, error))
}

/// Returns the addresses of control instances in the settings.
fn known_addresses(settings: &ControlSettings) -> ControlAddresses {
    let members = settings.members.iter().map(|(_, address)| *address);
    ControlAddresses::new(match settings.seeds.is_empty() {
        true => members.collect(),
        false => settings.seeds.clone(),
    })
}

/// Opens the data folder, and retries for a while if a former process still holds its lock.
async fn open_store(
    settings: &ControlSettings,
    own: SocketAddr,
    timer: &TimerService,
) -> Result<(FolderStore, FolderIdentity, RecoveredState), StartError> {
    let until = timer.now() + LOCK_TIMEOUT;
    loop {
        match open_data_folder(settings, own) {
            Err(StoreError::Locked { .. }) if timer.now() < until => {
                timer.after(LOCK_RETRY_DELAY).await
            }
            Err(error) if error.is_full() => {
                log::error!("waiting until the disk has room: {error}");
                timer.after(FULL_RETRY_DELAY).await;
            }
            opened => return opened.map_err(StartError::Store),
        }
    }
}

fn open_data_folder(
    settings: &ControlSettings,
    own: SocketAddr,
) -> Result<(FolderStore, FolderIdentity, RecoveredState), StoreError> {
    let folder = &settings.data_folder;
    if !settings.seeds.is_empty() {
        let first = || first_identity(settings, own);
        return FolderStore::open_as_stored(folder, &settings.cluster, first);
    }
    let owner = FolderOwner {
        cluster: settings.cluster.clone(),
        instance: settings.instance.clone(),
    };
    let (store, recovered) = FolderStore::open(folder, &owner)?;
    let voters = match settings.spare {
        true => Vec::new(),
        false => settings.members.clone(),
    };
    Ok((store, FolderIdentity { owner, voters }, recovered))
}

fn recover_core(
    settings: &ControlSettings,
    identity: &FolderIdentity,
    recovered: RecoveredState,
) -> Result<ControlCore, StartError> {
    let initial = MemberTable::from_voters(identity.voters.iter().cloned());
    let durable = durable_log(recovered, initial).ok_or(StartError::Unreadable)?;
    let instance = identity.owner.instance.clone();
    let random = ChaCha8Rng::from_os_rng();
    let origin = Moment::ORIGIN;
    let tuning = &settings.tuning;
    let log = ReplicatedLog::recover(
        instance.clone(),
        tuning.log.clone(),
        durable,
        origin,
        random,
    );
    let mut core = CoreSettings::new(instance, settings.cluster.clone());
    core.lease = tuning.lease;
    core.promotion = tuning.promotion;
    core.usage = settings.usage;
    core.snapshot_bytes = tuning.snapshot_bytes.unwrap_or(core.snapshot_bytes);
    core.repair_delay = settings.repair_delay;
    core.min_voters = 2 * settings.tolerated_losses + 1;
    Ok(ControlCore::new(core, log))
}

/// Sends a tick to the node whenever one is due.
async fn drive_ticks(
    mut woken: watch::Receiver<Instant>,
    timer: TimerService,
    node: ActorRef<NodeMessage>,
) {
    loop {
        let due = *woken.borrow_and_update();
        tokio::select! {
            () = timer.at(due) => {
                if node.cast(NodeMessage::Tick).is_err() {
                    return;
                }
                // The node schedules the next tick once it has handled this one.
                let until = timer.now() + TICK_TIMEOUT;
                if let Some(Err(_)) = timer.within(until, woken.changed()).await {
                    return;
                }
            }
            changed = woken.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

/// Reloads the certificates periodically, so that renewed ones are used without a restart.
async fn reload_certificates(security: PeerSecurity, timer: TimerService) {
    loop {
        timer.after(CERTIFICATE_RELOAD_INTERVAL).await;
        if let Err(error) = security.reload() {
            log::warn!("cannot reload the certificates: {error}");
        }
    }
}
