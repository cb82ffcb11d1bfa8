//! The daemon: every part of an entry instance, started and stopped together.

mod status;

use crate::{
    ViewCell,
    announce::AnnouncementTable,
    caller::{
        CallerContext,
        CallerServer, //
    },
    database::HttpProbe,
    fleet::{
        BrokerSettings,
        FleetBroker, //
    },
    health::HolderObserver,
    holder::{
        HolderTable,
        TableSettings, //
    },
    peer::{
        IncarnationCell,
        PeerClient,
        PeerServer,
        PeerSettings,
        ServerSettings, //
    },
    security::{
        CallerCertificate,
        EntrySecurity, //
    },
    settings::EntrySettings, //
};
use daisyseam_member::{
    ClientSettings,
    ControlClient,
    FleetGate,
    HEARTBEAT_INTERVAL, //
};
use daisyseam_runtime::{
    Dialer,
    HealthServer,
    MetricClient,
    MetricsError,
    SpanExporter,
    StopSignal,
    TimerService, //
};
use daisyseam_wire::SecurityError;
use displaydoc::Display;
use status::EntryStatus;
use std::{
    error::Error,
    io,
    net::SocketAddr,
    time::Duration, //
};
use tokio::{
    net::TcpListener,
    task::AbortHandle, //
};

/// Part of the stop's time that callers may take; the rest is for handing databases over.
const CALLER_STOP_SHARE: f64 = 0.7;

/// Time between two readings of the certificates.
const RELOAD_INTERVAL: Duration = Duration::from_secs(30);

/// Time between two looks at whether control has moved the databases.
const HAND_OVER_LOOK: Duration = Duration::from_millis(50);

/// Why an entry daemon could not start.
#[derive(Debug, Display)]
pub enum StartError {
    /// address {0} cannot be listened on: {1}
    Listen(SocketAddr, io::Error),
    /// the span file cannot be opened: {0}
    Spans(io::Error),
    /// metrics cannot be sent: {0}
    Metrics(MetricsError),
    /// {0}
    Security(SecurityError),
    /// the HTTP client cannot be set up: {0}
    Http(reqwest::Error),
}

impl Error for StartError {}

/// A running entry daemon; dropping it stops it at once.
pub struct EntryDaemon {
    callers: CallerServer,
    peers: PeerServer,
    health: HealthServer,
    control: ControlClient,
    table: HolderTable,
    gate: FleetGate,
    cell: ViewCell,
    timer: TimerService,
    stop: StopSignal,
    reloading: ReloadGuard,
    _holders: HolderGuard,
}

impl EntryDaemon {
    /// Starts every part with plain connections; callers are refused until control has given a
    /// view.
    ///
    /// # Errors
    ///
    /// [`StartError`] when an address or a file cannot be used.
    pub async fn start(settings: EntrySettings) -> Result<Self, StartError> {
        let security = EntrySecurity::plain(settings.cluster.clone());
        Self::start_secured(settings, security).await
    }

    /// Starts every part; certificates are read again from time to time.
    ///
    /// # Errors
    ///
    /// [`StartError`] when an address or a file cannot be used.
    pub async fn start_secured(
        settings: EntrySettings,
        security: EntrySecurity,
    ) -> Result<Self, StartError> {
        let timer = TimerService::start();
        let stop = StopSignal::new();
        let cell = ViewCell::new();
        let metrics = MetricClient::new(settings.metrics).map_err(StartError::Metrics)?;
        let spans = open_spans(&settings)?;
        let dialer = Dialer {
            source: settings.source,
        };
        let incarnation = IncarnationCell::default();
        let table = HolderTable::new(TableSettings {
            instance: settings.instance.clone(),
            user: settings.upstream_user.clone(),
            password: settings.upstream_password.clone(),
            http: HttpProbe::client(settings.source).map_err(StartError::Http)?,
            cell: cell.clone(),
            dialer,
            timer: timer.clone(),
        });
        let peer_listener = listen(settings.peer_listen).await?;
        let caller_listener = listen(settings.caller_listen).await?;
        let peers = PeerServer::start(
            peer_listener,
            ServerSettings {
                cluster: settings.cluster.clone(),
                table: table.clone(),
                cell: cell.clone(),
                timer: timer.clone(),
                spans: spans.clone(),
                security: security.peers.clone(),
            },
        )
        .map_err(|error| StartError::Listen(settings.peer_listen, error))?;
        let broker = FleetBroker::new(BrokerSettings {
            instance: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            cell: cell.clone(),
            table: table.clone(),
            peers: PeerClient::new(PeerSettings {
                cluster: settings.cluster.clone(),
                incarnation: incarnation.clone(),
                dialer,
                timer: timer.clone(),
                security: security.peers.clone(),
            }),
            timer: timer.clone(),
            metrics: metrics.clone(),
        });
        let gate = FleetGate::with_metrics(cell.clone(), timer.clone(), metrics.clone());
        let acceptor = security.callers.as_ref().map(CallerCertificate::acceptor);
        let acceptor = acceptor.transpose().map_err(StartError::Security)?;
        let callers = CallerServer::start(
            caller_listener,
            CallerContext {
                cluster: settings.cluster.clone(),
                instance: settings.instance.clone(),
                data_centre: settings.data_centre.clone(),
                view: cell.clone(),
                broker: broker.clone(),
                gate: gate.clone(),
                timer: timer.clone(),
                metrics: metrics.clone(),
                spans,
                stop: stop.clone(),
                tls: acceptor,
            },
        )
        .map_err(|error| StartError::Listen(settings.caller_listen, error))?;
        let book = AnnouncementTable::new(settings.cluster.clone());
        let status = EntryStatus {
            instance: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            cell: cell.clone(),
            table: table.clone(),
            incarnation: incarnation.clone(),
            metrics,
            stop: stop.clone(),
        };
        let health = HealthServer::start(settings.http_listen, status, book.routes())
            .await
            .map_err(|error| StartError::Listen(settings.http_listen, error))?;
        let control = ControlClient::start(ClientSettings {
            cluster: settings.cluster,
            instance: settings.instance,
            data_centre: settings.data_centre,
            peer_address: settings.peer_advertise.unwrap_or(peers.address()),
            control: settings.control.into(),
            heartbeat_interval: HEARTBEAT_INTERVAL,
            incarnation,
            cell: cell.clone(),
            observer: HolderObserver::new(table.clone(), book, broker.counts().clone()),
            gate: gate.clone(),
            dialer,
            security: security.peers.clone(),
            timer: timer.clone(),
            stop: stop.clone(),
        });
        let guarded = table.clone();
        Ok(Self {
            callers,
            peers,
            health,
            control,
            table,
            gate,
            cell,
            _holders: HolderGuard(guarded),
            reloading: ReloadGuard::start(security, timer.clone()),
            timer,
            stop,
        })
    }

    /// Returns the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Returns the address of the health pages and announcements.
    pub fn http_address(&self) -> SocketAddr {
        self.health.address()
    }

    /// Returns the view that it acts on.
    pub fn view(&self) -> &ViewCell {
        &self.cell
    }

    /// Stops gracefully: callers finish their transactions, databases are handed over.
    ///
    /// Returns whether everything was done by the deadline.
    pub async fn stop(self, deadline: Duration) -> bool {
        let now = self.timer.now();
        let end = now + deadline;
        let callers_end = now + deadline.mul_f64(CALLER_STOP_SHARE);
        self.stop.stop();
        let drained = self.callers.drained();
        let drained = self.timer.within(callers_end, drained).await.is_some();
        // No caller asks for a token any more.
        self.gate.return_shares();
        // Control sees that this instance leaves and gives its databases to others.
        let handed_over = self.timer.within(end, self.handed_over()).await.is_some();
        // Whatever is left is let go of here; control notices by the lease.
        let released = self.table.release_all();
        let released = self.timer.within(end, released.finish()).await.is_some();
        log::info!("stopped: callers drained {drained}, databases handed over {handed_over}");
        drop(self.reloading);
        drop(self.control);
        drained && released
    }

    /// Waits until this instance holds nothing and control can know it.
    async fn handed_over(&self) {
        // Without a lease there is nothing that could be handed over.
        while self.cell.held().is_valid() && !self.table.is_empty() {
            self.timer.after(HAND_OVER_LOOK).await;
        }
        self.timer.after(HAND_OVER_LOOK).await;
    }
}

/// Ends the holders with the daemon; none is left after a graceful stop.
struct HolderGuard(HolderTable);

impl Drop for HolderGuard {
    fn drop(&mut self) {
        self.0.stop_all();
    }
}

/// Takes changed certificates over until it is dropped.
struct ReloadGuard(AbortHandle);

impl ReloadGuard {
    fn start(security: EntrySecurity, timer: TimerService) -> Self {
        Self(tokio::spawn(reload_often(security, timer)).abort_handle())
    }
}

impl Drop for ReloadGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn reload_often(security: EntrySecurity, timer: TimerService) {
    loop {
        timer.after(RELOAD_INTERVAL).await;
        if let Err(error) = security.reload() {
            log::warn!("the earlier certificates stay in use: {error}");
        }
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError::Listen(address, error))
}

fn open_spans(settings: &EntrySettings) -> Result<SpanExporter, StartError> {
    match &settings.spans {
        None => Ok(SpanExporter::disabled()),
        Some(path) => SpanExporter::to_file(path, "daisyseam-entry", settings.instance.as_str())
            .map_err(StartError::Spans),
    }
}
