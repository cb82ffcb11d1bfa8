//! The entry daemon, which starts and stops all services of an entry instance.

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

/// Share of the stop time allowed for draining callers; the rest is for handing over databases.
const CALLER_DRAIN_SHARE: f64 = 0.7;

/// Interval at which certificates are reloaded.
const RELOAD_INTERVAL: Duration = Duration::from_secs(30);

/// Interval of checks whether control has reassigned the databases.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Why the entry daemon failed to start.
#[derive(Debug, Display)]
pub enum StartError {
    /// failed to listen on {0}: {1}
    Listen(SocketAddr, io::Error),
    /// failed to open the span file: {0}
    Spans(io::Error),
    /// failed to set up metrics: {0}
    Metrics(MetricsError),
    /// {0}
    Security(SecurityError),
    /// failed to set up the HTTP client: {0}
    Http(reqwest::Error),
}

impl Error for StartError {}

/// A running entry daemon; dropping it stops it immediately.
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
    reload_guard: ReloadGuard,
    _holder_guard: HolderGuard,
}

impl EntryDaemon {
    /// Starts all services without TLS; callers are rejected until control sends a view.
    ///
    /// # Errors
    ///
    /// [`StartError`] if an address or a file cannot be used.
    pub async fn start(settings: EntrySettings) -> Result<Self, StartError> {
        let security = EntrySecurity::plain(settings.cluster.clone());
        Self::start_secured(settings, security).await
    }

    /// Starts all services; certificates are reloaded periodically.
    ///
    /// # Errors
    ///
    /// [`StartError`] if an address or a file cannot be used.
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
            ..Dialer::default()
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
        let announcements = AnnouncementTable::new(settings.cluster.clone());
        let status = EntryStatus {
            instance: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            cell: cell.clone(),
            table: table.clone(),
            incarnation: incarnation.clone(),
            metrics,
            stop: stop.clone(),
        };
        let health = HealthServer::start(settings.http_listen, status, announcements.routes())
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
            observer: HolderObserver::new(table.clone(), announcements, broker.counts().clone()),
            gate: gate.clone(),
            dialer,
            security: security.peers.clone(),
            timer: timer.clone(),
            stop: stop.clone(),
        });
        let holders = table.clone();
        Ok(Self {
            callers,
            peers,
            health,
            control,
            table,
            gate,
            cell,
            _holder_guard: HolderGuard(holders),
            reload_guard: ReloadGuard::start(security, timer.clone()),
            timer,
            stop,
        })
    }

    /// Returns the listen address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the listen address for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Returns the listen address for health pages and announcements.
    pub fn http_address(&self) -> SocketAddr {
        self.health.address()
    }

    /// Returns the cell with the current view.
    pub fn view(&self) -> &ViewCell {
        &self.cell
    }

    /// Stops gracefully: lets callers finish their transactions and hands over the databases.
    ///
    /// Returns whether callers were drained and databases released before the deadline.
    pub async fn stop(self, deadline: Duration) -> bool {
        let now = self.timer.now();
        let stop_deadline = now + deadline;
        let caller_deadline = now + deadline.mul_f64(CALLER_DRAIN_SHARE);
        self.stop.stop();
        let drained = self.callers.drained();
        let drained = self.timer.within(caller_deadline, drained).await.is_some();
        // No caller requests rate tokens any more.
        self.gate.return_shares();
        // Control learns that this instance is stopping and reassigns its databases.
        let handed_over = self
            .timer
            .within(stop_deadline, self.wait_for_handover())
            .await
            .is_some();
        // Remaining databases are released locally; control learns of it when the lease expires.
        let released = self.table.release_all();
        let released = self
            .timer
            .within(stop_deadline, released.finish())
            .await
            .is_some();
        log::info!("stopped; callers drained: {drained}, databases handed over: {handed_over}");
        drop(self.reload_guard);
        drop(self.control);
        drained && released
    }

    /// Waits until this instance holds no database, and leaves time to report this to control.
    async fn wait_for_handover(&self) {
        // Without a valid lease there is nothing to hand over.
        while self.cell.held().is_valid() && !self.table.is_empty() {
            self.timer.after(HANDOVER_POLL_INTERVAL).await;
        }
        self.timer.after(HANDOVER_POLL_INTERVAL).await;
    }
}

/// Stops the remaining holders on drop; after a graceful stop there are none.
struct HolderGuard(HolderTable);

impl Drop for HolderGuard {
    fn drop(&mut self) {
        self.0.stop_all();
    }
}

/// Reloads certificates periodically until dropped.
struct ReloadGuard(AbortHandle);

impl ReloadGuard {
    fn start(security: EntrySecurity, timer: TimerService) -> Self {
        Self(tokio::spawn(reload_periodically(security, timer)).abort_handle())
    }
}

impl Drop for ReloadGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn reload_periodically(security: EntrySecurity, timer: TimerService) {
    loop {
        timer.after(RELOAD_INTERVAL).await;
        if let Err(error) = security.reload() {
            log::warn!("failed to reload certificates; the previous ones stay in use: {error}");
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
