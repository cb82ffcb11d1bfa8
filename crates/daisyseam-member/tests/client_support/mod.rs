//! A control client with an observer that does nothing.

use daisyseam_member::{
    ClientSettings,
    ControlAddresses,
    ControlClient,
    FleetGate,
    FleetObserver,
    HEARTBEAT_INTERVAL,
    IncarnationCell,
    ObserverReport,
    ViewCell, //
};
use daisyseam_model::{
    ClusterId,
    FleetView,
    ViewNumber, //
};
use daisyseam_runtime::{
    Dialer,
    StopSignal,
    TimerService, //
};
use daisyseam_wire::PeerSecurity;
use std::future::pending;

#[derive(Clone)]
struct IdleObserver;

impl FleetObserver for IdleObserver {
    async fn apply(&self, _view: &FleetView) {}

    async fn report_due(&self) {
        pending().await
    }

    fn report(&self, _reported: ViewNumber, _current: &FleetView) -> ObserverReport {
        ObserverReport::default()
    }

    fn lease_begun(&self) {}

    fn lease_ended(&self) {}
}

pub(crate) fn cluster() -> ClusterId {
    ClusterId::new("shellrest").expect("a sound name")
}

pub(crate) fn client(control: ControlAddresses, cell: ViewCell) -> ControlClient {
    let timer = TimerService::start();
    ControlClient::start(ClientSettings {
        cluster: cluster(),
        instance: "entry-1".parse().expect("a sound name"),
        data_centre: "khomas-1".parse().expect("a sound name"),
        peer_address: "127.0.0.1:7400".parse().expect("an address"),
        control,
        heartbeat_interval: HEARTBEAT_INTERVAL,
        incarnation: IncarnationCell::default(),
        cell: cell.clone(),
        observer: IdleObserver,
        gate: FleetGate::new(cell, timer.clone()),
        dialer: Dialer::default(),
        security: PeerSecurity::plain(cluster()),
        timer,
        stop: StopSignal::new(),
    })
}
