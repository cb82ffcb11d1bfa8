//! Keeps this instance's lease and view: one connection to the leading control instance.

mod keeper;
mod search;
mod session;

use crate::{
    FleetGate,
    FleetObserver,
    IncarnationCell,
    ViewCell, //
};
use daisyseam_model::{
    ClusterId,
    DataCentreId,
    InstanceId, //
};
use daisyseam_runtime::{
    BootClock,
    ControlAddresses,
    Dialer,
    StopSignal,
    TimerService, //
};
use daisyseam_wire::PeerSecurity;
use keeper::ViewKeeper;
use rand::Rng;
use search::LeaderSearch;
use session::{
    ControlSession,
    SessionEnd, //
};
use std::{
    net::SocketAddr,
    time::Duration, //
};
use tokio::{
    task::AbortHandle,
    time::Instant, //
};

/// Shortest and longest time before the next control instance is tried.
const RECONNECT_MIN: Duration = Duration::from_millis(20);
const RECONNECT_MAX: Duration = Duration::from_millis(150);

/// Longest time between two looks at the lease; a suspension shows only after it.
const LEASE_LOOK: Duration = Duration::from_millis(250);

/// Time between two heartbeats, if none is set.
pub const HEARTBEAT: Duration = Duration::from_millis(200);

/// What the client needs.
#[derive(Clone)]
pub struct ClientSettings<O> {
    /// Cluster.
    pub cluster: ClusterId,
    /// This instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Address that other instances reach it at.
    pub peer_address: SocketAddr,
    /// Control instances; the seeds in it may be replaced at any time.
    pub control: ControlAddresses,
    /// Time between two heartbeats.
    pub heartbeat: Duration,
    /// Its incarnation, filled in by the client.
    pub incarnation: IncarnationCell,
    /// The view, filled in by the client.
    pub cell: ViewCell,
    /// What acts on views and reports on databases.
    pub observer: O,
    /// Rates, for demand and shares.
    pub gate: FleetGate,
    /// Outgoing connections.
    pub dialer: Dialer,
    /// How both sides prove themselves.
    pub security: PeerSecurity,
    /// Timer service.
    pub timer: TimerService,
    /// Given when the instance is leaving.
    pub stop: StopSignal,
}

/// Keeps the lease until it is dropped.
pub struct ControlClient {
    tasks: [AbortHandle; 2],
}

impl ControlClient {
    /// Starts to look for the leader and to keep the lease.
    pub fn start<O: FleetObserver>(settings: ClientSettings<O>) -> Self {
        let keeper = ViewKeeper::new(settings.cell.clone(), settings.observer.clone());
        let lease = watch_lease(
            settings.cell.clone(),
            settings.observer.clone(),
            settings.timer.clone(),
        );
        let follow = follow_leader(settings, keeper);
        Self {
            tasks: [
                tokio::spawn(follow).abort_handle(),
                tokio::spawn(lease).abort_handle(),
            ],
        }
    }
}

impl Drop for ControlClient {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Goes from control instance to control instance until one leads, and stays with it.
async fn follow_leader<O: FleetObserver>(settings: ClientSettings<O>, mut keeper: ViewKeeper<O>) {
    let mut search = LeaderSearch::new(settings.control.clone());
    loop {
        let Some(target) = search.next(Instant::now()) else {
            log::error!("no control instance is named");
            settings.timer.after(RECONNECT_MAX).await;
            continue;
        };
        let session = ControlSession::open(&settings, &mut keeper, target).await;
        let end = match session {
            Ok(session) => session.run().await,
            Err(end) => end,
        };
        match end {
            SessionEnd::NotLeader { leader, term } => {
                search.named(target, leader, term, Instant::now());
            }
            SessionEnd::Failed(why) => {
                log::info!("control instance {target}: {why}");
                search.failed(target, Instant::now());
            }
        }
        if !search.has_hint() {
            let pause = rand::rng().random_range(RECONNECT_MIN..RECONNECT_MAX);
            settings.timer.after(pause).await;
        }
    }
}

/// Tells the observer when the lease runs out, or soon after the end of a suspension.
async fn watch_lease<O: FleetObserver>(cell: ViewCell, observer: O, timer: TimerService) {
    let mut changes = cell.subscribe();
    loop {
        let until = cell.held().lease_until;
        match until.filter(|until| *until > BootClock::now()) {
            Some(until) => {
                let look = timer.now() + LEASE_LOOK;
                let until = BootClock::to_monotonic(until).min(look);
                timer.within(until, changes.changed()).await;
            }
            None => {
                if until.is_some() {
                    log::warn!("the lease on the view has run out");
                    observer.lease_ended();
                }
                if changes.changed().await.is_err() {
                    return;
                }
            }
        }
    }
}
