//! Maintains the view and the lease of this instance over a connection to the control leader.

mod keeper;
mod progress;
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

/// Bounds of the random delay before the next control instance is tried.
const RECONNECT_DELAY_MIN: Duration = Duration::from_millis(20);
const RECONNECT_DELAY_MAX: Duration = Duration::from_millis(150);

/// Longest time between two checks of the lease, and so the time to notice a suspension of the machine.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Default interval between heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Settings and dependencies of [`ControlClient`].
#[derive(Clone)]
pub struct ClientSettings<O> {
    /// Cluster.
    pub cluster: ClusterId,
    /// This instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Address at which other instances reach it.
    pub peer_address: SocketAddr,
    /// Addresses of control instances; their seeds may be replaced at any time.
    pub control: ControlAddresses,
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// Its incarnation, which the client sets.
    pub incarnation: IncarnationCell,
    /// The view, which the client sets.
    pub cell: ViewCell,
    /// Observer that applies views and reports on databases.
    pub observer: O,
    /// Gate whose demand is reported and which receives shares of rates.
    pub gate: FleetGate,
    /// Dialer for outgoing connections.
    pub dialer: Dialer,
    /// Mutual authentication of the connection.
    pub security: PeerSecurity,
    /// Timer service.
    pub timer: TimerService,
    /// Signal that the instance is stopping.
    pub stop: StopSignal,
}

/// Maintains the view and the lease until it is dropped.
pub struct ControlClient {
    tasks: [AbortHandle; 2],
}

impl ControlClient {
    /// Starts tasks that follow the control leader and watch the lease.
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

/// Tries control instances until it finds the leader, and keeps a session with it.
async fn follow_leader<O: FleetObserver>(settings: ClientSettings<O>, mut keeper: ViewKeeper<O>) {
    let mut search = LeaderSearch::new(settings.control.clone());
    loop {
        let Some(target) = search.next_target(Instant::now()) else {
            log::error!("no address of a control instance is known");
            settings.timer.after(RECONNECT_DELAY_MAX).await;
            continue;
        };
        let session = ControlSession::open(&settings, &mut keeper, target).await;
        let end = match session {
            Ok(session) => session.run().await,
            Err(end) => end,
        };
        match end {
            SessionEnd::NotLeader { leader, term } => {
                keeper.record_not_leader();
                search.record_redirect(target, leader, term, Instant::now());
            }
            SessionEnd::Failed(reason) => {
                log::info!("control instance {target}: {reason}");
                let known = settings.control.list().len();
                if keeper.record_no_answer(target, known) {
                    settings.gate.count_control_silence();
                }
                search.record_failure(target, Instant::now());
            }
        }
        if !search.has_hint() {
            let delay = rand::rng().random_range(RECONNECT_DELAY_MIN..RECONNECT_DELAY_MAX);
            settings.timer.after(delay).await;
        }
    }
}

/// Notifies the observer when the lease expires, or soon after a suspension during which it expired.
async fn watch_lease<O: FleetObserver>(cell: ViewCell, observer: O, timer: TimerService) {
    let mut changes = cell.subscribe();
    loop {
        let until = cell.held().lease_until;
        match until.filter(|until| *until > BootClock::now()) {
            Some(until) => {
                let next_poll = timer.now() + LEASE_POLL_INTERVAL;
                let until = BootClock::to_monotonic(until).min(next_poll);
                timer.within(until, changes.changed()).await;
            }
            None => {
                if until.is_some() {
                    log::warn!("the lease on the view has run out");
                    observer.lease_ended();
                }
                // Other changes of the cell do not end the lease once more.
                while cell.held().lease_until == until {
                    if changes.changed().await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}
