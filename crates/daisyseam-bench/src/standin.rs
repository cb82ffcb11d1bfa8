//! A database to test against: PostgreSQL's protocol, tables in SQLite, a log that ships.

mod admin;
mod announcer;
mod core;
mod counters;
mod error;
mod functions;
mod log_record;
mod options;
mod recorder;
mod replica;
mod rows;
mod server;
mod session;
mod translate;

use self::{
    admin::AdminState,
    announcer::Announcer,
    core::StandInCore,
    replica::LogPuller,
    server::ServerShared, //
};
pub use self::{
    core::HistorySegment,
    counters::StatementCounters,
    error::StandInError,
    log_record::{
        LogRecord,
        LoggedStatement,
        LoggedValue, //
    },
    options::StandInOptions,
    recorder::ByteRecorder, //
};
use daisyseam_model::{
    ClusterId,
    DataCentreId,
    GroupId,
    LogPosition,
    Term,
    UpstreamId,
    announce::{
        Announcement,
        FollowCall,
        PromoteCall,
        UpstreamState, //
    }, //
};
use daisyseam_runtime::TimerService;
use parking_lot::RwLock;
use pgwire::api::ConnectionManager;
use std::{
    io,
    net::{
        IpAddr,
        SocketAddr,
        TcpListener, //
    },
    ops::RangeInclusive,
    path::PathBuf,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    runtime::{
        Builder,
        Runtime, //
    },
    sync::{
        Semaphore,
        watch, //
    }, //
};

/// How a stand-in is set up.
#[derive(Clone, Debug)]
pub struct StandInSettings {
    /// Cluster it belongs to.
    pub cluster: ClusterId,
    /// Its name.
    pub upstream: UpstreamId,
    /// Its group.
    pub group: GroupId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Address of its PostgreSQL port; port 0 for a free one.
    pub listen: SocketAddr,
    /// Address of its HTTP port; port 0 for a free one.
    pub admin_listen: SocketAddr,
    /// Address under which it announces its PostgreSQL port, if another.
    pub advertise: Option<SocketAddr>,
    /// Address under which it announces its HTTP port, if another.
    pub admin_advertise: Option<SocketAddr>,
    /// HTTP addresses of the entry instances to which it announces itself.
    pub entries: Vec<SocketAddr>,
    /// Address that its own connections start from.
    pub source: Option<IpAddr>,
    /// Folder of its files.
    pub folder: PathBuf,
    /// Connections that it admits.
    pub connections: usize,
    /// Time that opening a connection takes.
    pub open_delay: Duration,
    /// Time that a statement takes.
    pub service_time: Duration,
    /// Bounds of the lag behind a primary.
    pub lag: RangeInclusive<Duration>,
    /// Worker threads.
    pub threads: usize,
    /// Seed of its random draws.
    pub seed: u64,
}

impl StandInSettings {
    /// Makes settings for a stand-in on free loopback ports that announces itself to nobody.
    ///
    /// # Panics
    ///
    /// When a name is not valid.
    pub fn local(upstream: &str, group: &str, folder: PathBuf) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            cluster: name("test"),
            upstream: name(upstream),
            group: name(group),
            data_centre: name("dc-1"),
            listen: any,
            admin_listen: any,
            advertise: None,
            admin_advertise: None,
            entries: Vec::new(),
            source: None,
            folder,
            connections: 30,
            open_delay: Duration::from_millis(10),
            service_time: Duration::ZERO,
            lag: Duration::ZERO..=Duration::ZERO,
            threads: 1,
            seed: 1,
        }
    }
}

/// A running stand-in; dropping it stops it as a crash would.
pub struct StandIn {
    upstream: UpstreamId,
    address: SocketAddr,
    admin_address: SocketAddr,
    core: Arc<StandInCore>,
    options: Arc<StandInOptions>,
    counters: Arc<StatementCounters>,
    recorder: Arc<ByteRecorder>,
    slots: Arc<Semaphore>,
    connections: usize,
    entries: Arc<RwLock<Vec<SocketAddr>>>,
    runtime: Option<Runtime>,
}

impl StandIn {
    /// Starts a stand-in on a runtime of its own.
    ///
    /// # Errors
    ///
    /// When a port or the folder cannot be had.
    pub fn start(settings: StandInSettings) -> Result<Self, StandInError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(settings.threads)
            .thread_name("stand-in")
            .enable_all()
            .build()?;
        let guard = runtime.enter();
        let core = StandInCore::open(&settings.folder)?;
        let listener = listen(settings.listen)?;
        let admin_listener = listen(settings.admin_listen)?;
        let address = listener.local_addr()?;
        let admin_address = admin_listener.local_addr()?;
        let options = Arc::new(StandInOptions::new(
            settings.open_delay,
            settings.service_time,
            settings.lag.clone(),
        ));
        let timer = TimerService::start();
        let counters = Arc::<StatementCounters>::default();
        let recorder = Arc::new(ByteRecorder::default());
        let slots = Arc::new(Semaphore::new(settings.connections));
        let entries = Arc::new(RwLock::new(settings.entries));
        let client = reqwest::Client::builder()
            .local_address(settings.source)
            .build()
            .map_err(io::Error::other)?;
        let shared = Arc::new(ServerShared {
            core: Arc::clone(&core),
            options: Arc::clone(&options),
            counters: Arc::clone(&counters),
            recorder: Arc::clone(&recorder),
            timer: timer.clone(),
            slots: Arc::clone(&slots),
            cancels: Arc::new(ConnectionManager::new()),
            parsed: parking_lot::Mutex::default(),
        });
        runtime.spawn(server::accept(listener, shared));
        let admin = AdminState {
            core: Arc::clone(&core),
            options: Arc::clone(&options),
            timer: timer.clone(),
        };
        runtime.spawn(async move {
            if let Err(error) = axum::serve(admin_listener, admin::routes(admin)).await {
                log::error!("the stand-in's HTTP port ended: {error}");
            }
        });
        let puller = LogPuller {
            core: Arc::clone(&core),
            options: Arc::clone(&options),
            timer: timer.clone(),
            client: client.clone(),
            seed: settings.seed,
        };
        runtime.spawn(puller.run());
        let announcer = Announcer {
            core: Arc::clone(&core),
            options: Arc::clone(&options),
            timer,
            client,
            template: Announcement {
                cluster: settings.cluster,
                upstream: settings.upstream.clone(),
                group: settings.group,
                data_centre: settings.data_centre,
                address: settings.advertise.unwrap_or(address),
                admin_address: settings.admin_advertise.unwrap_or(admin_address),
                state: core.upstream(),
                leaving: false,
            },
            entries: Arc::clone(&entries),
        };
        runtime.spawn(announcer.run());
        drop(guard);
        Ok(Self {
            upstream: settings.upstream,
            address,
            admin_address,
            core,
            options,
            counters,
            recorder,
            slots,
            connections: settings.connections,
            entries,
            runtime: Some(runtime),
        })
    }

    /// Returns its name.
    pub fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }

    /// Returns the address of its PostgreSQL port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of its HTTP port.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns what it can be told to do.
    pub fn options(&self) -> &StandInOptions {
        &self.options
    }

    /// Returns what it has been asked to do.
    pub fn counters(&self) -> &StatementCounters {
        &self.counters
    }

    /// Returns its record of received bytes.
    pub fn recorder(&self) -> &ByteRecorder {
        &self.recorder
    }

    /// Returns its present state.
    pub fn state(&self) -> UpstreamState {
        self.core.upstream()
    }

    /// Returns a receiver that sees every change of its state.
    pub fn subscribe(&self) -> watch::Receiver<UpstreamState> {
        self.core.subscribe()
    }

    /// Returns how many connections are open.
    pub fn open_connections(&self) -> usize {
        self.connections - self.slots.available_permits()
    }

    /// Replaces the entry instances to which it announces itself.
    pub fn set_entries(&self, entries: Vec<SocketAddr>) {
        *self.entries.write() = entries;
    }

    /// Makes it primary of a term without a call over the network.
    ///
    /// # Errors
    ///
    /// When it has promised to a higher term.
    pub fn promote(&self, term: Term) -> Result<UpstreamState, StandInError> {
        let end = self.core.upstream().end;
        self.core.promote(&PromoteCall { term, end })
    }

    /// Promises to take nothing of a lower term any more.
    ///
    /// # Errors
    ///
    /// When it has promised to a higher term.
    pub fn fence(&self, term: Term) -> Result<UpstreamState, StandInError> {
        self.core.fence(term)
    }

    /// Makes it follow another stand-in, without a call over the network.
    ///
    /// # Errors
    ///
    /// When it has promised to a higher term.
    pub async fn follow(
        &self,
        primary: &Self,
        term: Term,
        lineage_start: LogPosition,
    ) -> Result<UpstreamState, StandInError> {
        let call = FollowCall {
            term,
            primary: primary.upstream.clone(),
            admin_address: primary.admin_address,
            lineage_start,
        };
        self.core.follow(&call).await
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

fn listen(address: SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    tokio::net::TcpListener::from_std(listener)
}

fn name<T>(text: &str) -> T
where
    T: std::str::FromStr<Err = daisyseam_model::InvalidName>,
{
    text.parse().expect("the name is valid")
}
