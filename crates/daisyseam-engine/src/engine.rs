//! The engine: state shared by all sessions, and its settings.

use crate::{
    CallerStream,
    DatabaseConnector,
    confirmation::{
        AwaitedEnds,
        UnconfirmedLog, //
    },
    health::HealthTable,
    lease::LeaseLoss,
    log_ends::LogEnds,
    observer::EngineObserver,
    outages::OutageTracker,
    pool::ConnectionPool,
    primary_check::PrimaryChecks,
    relay::{
        self,
        AdmissionClient,
        RelayClient,
        RelaySettings, //
    },
    route::{
        ReadRouting,
        Router, //
    },
    samples::PositionSamples,
    session,
    usage::UsageMeter,
    writers::WriterCounts, //
};
use daisyseam_coord::retry::RetryBudget;
use daisyseam_member::{
    FleetGate,
    FleetObserver,
    RateGate,
    ViewCell, //
};
use daisyseam_model::{
    DataCentreId,
    InstanceId, //
};
use daisyseam_runtime::{
    MetricClient,
    StopSignal,
    TimerService, //
};
use parking_lot::Mutex;
use std::{
    future::Future,
    sync::{
        Arc,
        OnceLock,
        Weak, //
    },
    time::Duration, //
};
use tokio::{
    net::TcpStream,
    sync::watch,
    time::Instant, //
};

/// Shortest time after the stop signal for which other instances are told to use another holder.
const RELAY_STOP_GRACE: Duration = Duration::from_millis(500);

/// Retries after overload per thousand requests, and number of retries that may be saved up.
const RETRY_PERMILLE: u32 = 100;
const MAX_SAVED_RETRIES: u32 = 20;

/// Settings and dependencies of an engine.
#[derive(Clone)]
pub struct EngineSettings<D, G = FleetGate> {
    /// This instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The view and the lease on it.
    pub cell: ViewCell,
    /// Enforces rate limits.
    pub gate: G,
    /// Timer service.
    pub timer: TimerService,
    /// Counts the outcomes of requests.
    pub metrics: MetricClient,
    /// Opens connections to databases.
    pub connector: D,
    /// Signals that the instance is stopping.
    pub stop: StopSignal,
    /// Time that open transactions get after the stop signal.
    pub drain: Duration,
    /// How calls are relayed between instances. Without it this instance opens all its connections
    /// itself.
    pub relay: Option<RelaySettings>,
}

/// Serves callers' sessions; cheap to clone.
pub struct SessionEngine<D: DatabaseConnector, G: RateGate = FleetGate> {
    shared: Arc<EngineShared<D, G>>,
}

/// State shared by all sessions.
pub(crate) struct EngineShared<D: DatabaseConnector, G> {
    /// Handle to itself for tasks that outlive a request.
    pub(crate) own: Weak<Self>,
    pub(crate) settings: EngineSettings<D, G>,
    pub(crate) pool: ConnectionPool<D>,
    /// Links to the connections of other instances, if they are used.
    pub(crate) relays: Option<RelayClient>,
    /// Connections to the homes of small rates, if they are used.
    pub(crate) admissions: Option<AdmissionClient>,
    pub(crate) health: HealthTable,
    pub(crate) reads: ReadRouting,
    pub(crate) samples: PositionSamples,
    pub(crate) checks: PrimaryChecks,
    pub(crate) log_ends: LogEnds,
    pub(crate) awaited: AwaitedEnds,
    pub(crate) unconfirmed: UnconfirmedLog,
    pub(crate) writers: WriterCounts,
    pub(crate) usage: UsageMeter,
    pub(crate) outages: OutageTracker,
    pub(crate) lease_loss: LeaseLoss,
    /// Bounds the retries of requests that failed because of overload.
    pub(crate) retries: Mutex<RetryBudget>,
    sessions: watch::Sender<usize>,
    /// Number of links in use by other instances.
    relayed: watch::Sender<usize>,
    stop_observed_at: OnceLock<Instant>,
}

impl<D: DatabaseConnector, G: RateGate> SessionEngine<D, G> {
    /// Creates an engine without sessions.
    pub fn new(settings: EngineSettings<D, G>) -> Self {
        let pool = ConnectionPool::new(
            settings.connector.clone(),
            settings.timer.clone(),
            settings.metrics.clone(),
            settings.relay.as_ref().map(|_| settings.instance.clone()),
        );
        let relays = settings
            .relay
            .clone()
            .map(|relay| RelayClient::new(relay, settings.timer.clone(), settings.metrics.clone()));
        let admissions = settings
            .relay
            .clone()
            .map(|relay| AdmissionClient::new(relay, settings.timer.clone()));
        let shared = Arc::new_cyclic(|own| EngineShared {
            own: Weak::clone(own),
            settings,
            pool,
            relays,
            admissions,
            health: HealthTable::default(),
            reads: ReadRouting::new(),
            samples: PositionSamples::default(),
            checks: PrimaryChecks::default(),
            log_ends: LogEnds::default(),
            awaited: AwaitedEnds::default(),
            unconfirmed: UnconfirmedLog::default(),
            writers: WriterCounts::default(),
            usage: UsageMeter::default(),
            outages: OutageTracker::default(),
            lease_loss: LeaseLoss::default(),
            retries: Mutex::new(RetryBudget::new(RETRY_PERMILLE, MAX_SAVED_RETRIES)),
            sessions: watch::Sender::new(0),
            relayed: watch::Sender::new(0),
            stop_observed_at: OnceLock::new(),
        });
        Self { shared }
    }

    /// Serves a caller's connection until it ends.
    pub fn serve<S: CallerStream>(
        &self,
        stream: S,
    ) -> impl Future<Output = ()> + Send + use<D, G, S> {
        let guard = SessionGuard::enter(Arc::clone(&self.shared));
        async move { session::serve(&guard.shared, stream).await }
    }

    /// Serves another instance that uses connections of this one, until it closes the connection.
    pub fn serve_relay(&self, socket: TcpStream) -> impl Future<Output = ()> + Send + use<D, G> {
        let shared = Arc::clone(&self.shared);
        async move { relay::serve(&shared, socket).await }
    }

    /// Returns the observer that applies views to this engine and reports the health of its
    /// databases.
    pub fn observer(&self) -> impl FleetObserver + use<D, G> {
        EngineObserver::new(Arc::clone(&self.shared))
    }

    /// Returns the number of sessions that are being served.
    pub fn open_sessions(&self) -> usize {
        self.shared.open_sessions()
    }

    /// Waits for the stop signal and then for all sessions and the links of other instances to end.
    pub async fn drained(&self) {
        self.shared.settings.stop.stopped().await;
        let stopped_at = self.shared.stop_observed_at();
        let mut sessions = self.shared.sessions.subscribe();
        // `self` owns the sender, so this cannot fail.
        let _ = sessions.wait_for(|open| *open == 0).await;
        if self.shared.relays.is_some() {
            self.shared
                .settings
                .timer
                .at(stopped_at + RELAY_STOP_GRACE)
                .await;
        }
        let mut relayed = self.shared.relayed.subscribe();
        let _ = relayed.wait_for(|open| *open == 0).await;
    }
}

impl<D: DatabaseConnector, G: RateGate> Clone for SessionEngine<D, G> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<D: DatabaseConnector, G> EngineShared<D, G> {
    /// Returns a router that selects databases.
    pub(crate) fn router(&self) -> Router<'_, D> {
        Router {
            cell: &self.settings.cell,
            timer: &self.settings.timer,
            health: &self.health,
            pool: &self.pool,
            data_centre: &self.settings.data_centre,
            reads: &self.reads,
            metrics: &self.settings.metrics,
        }
    }

    /// Returns the number of sessions that are being served.
    pub(crate) fn open_sessions(&self) -> usize {
        *self.sessions.borrow()
    }

    /// Counts a link as in use by another instance until the guard is dropped.
    pub(crate) fn relay_started(&self) -> RelayGuard<'_> {
        self.relayed.send_modify(|open| *open += 1);
        RelayGuard {
            relayed: &self.relayed,
        }
    }

    /// Waits for the stop signal and then for the end of the drain time.
    pub(crate) async fn drain_ended(&self) {
        self.settings.stop.stopped().await;
        let drain_end = self.stop_observed_at() + self.settings.drain;
        self.settings.timer.at(drain_end).await;
    }

    /// Returns when the stop signal was first observed; the first call records the current time.
    fn stop_observed_at(&self) -> Instant {
        *self.stop_observed_at.get_or_init(Instant::now)
    }
}

/// Counts a link in use by another instance until it is dropped.
pub(crate) struct RelayGuard<'a> {
    relayed: &'a watch::Sender<usize>,
}

impl Drop for RelayGuard<'_> {
    fn drop(&mut self) {
        self.relayed.send_modify(|open| *open -= 1);
    }
}

/// Counts a session until it is dropped.
struct SessionGuard<D: DatabaseConnector, G> {
    shared: Arc<EngineShared<D, G>>,
}

impl<D: DatabaseConnector, G> SessionGuard<D, G> {
    fn enter(shared: Arc<EngineShared<D, G>>) -> Self {
        shared.sessions.send_modify(|open| *open += 1);
        Self { shared }
    }
}

impl<D: DatabaseConnector, G> Drop for SessionGuard<D, G> {
    fn drop(&mut self) {
        self.shared.sessions.send_modify(|open| *open -= 1);
    }
}
