//! What the fleet's decisions mean for the databases that an instance uses.

use daisyseam_model::{
    FleetView,
    ViewNumber, //
};
use daisyseam_wire::{
    GroupReport,
    HealthReport,
    UpstreamReport, //
};
use std::future::Future;

/// What an instance tells control with a heartbeat.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObserverReport {
    /// Announcements of databases since the last heartbeat.
    pub upstreams: Vec<UpstreamReport>,
    /// Databases whose health changed or is bad.
    pub health: Vec<HealthReport>,
    /// Open transactions of groups that are being moved.
    pub groups: Vec<GroupReport>,
}

/// Acts on views and leases, and reports on databases.
pub trait FleetObserver: Clone + Send + Sync + 'static {
    /// Acts on a view that has just been put in force; when it returns, nothing here acts on an
    /// earlier one.
    fn apply(&self, view: &FleetView) -> impl Future<Output = ()> + Send;

    /// Waits until control should hear something before the next heartbeat.
    fn news(&self) -> impl Future<Output = ()> + Send;

    /// Returns what control should be told now; `named` is the view that goes along, `held` the
    /// one in force.
    fn report(&self, named: ViewNumber, held: &FleetView) -> ObserverReport;

    /// Learns that a lease holds again after there was none.
    fn lease_begun(&self);

    /// Learns that the lease has run out.
    fn lease_ended(&self);
}
