//! Interface between the control client and the code that uses databases.

use daisyseam_model::{
    FleetView,
    ViewNumber, //
};
use daisyseam_wire::{
    GroupReport,
    HealthReport,
    UpstreamReport,
    UsageReport,
    UsageWindow, //
};
use std::future::Future;
use tokio::time::Instant;

/// Report on databases that an instance sends to control with a heartbeat.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ObserverReport {
    /// Announcements of databases since the last heartbeat.
    pub upstreams: Vec<UpstreamReport>,
    /// Health of databases whose health has changed or is bad.
    pub health: Vec<HealthReport>,
    /// Open transactions of groups whose primary is being moved.
    pub groups: Vec<GroupReport>,
}

/// Reacts to changes of the view and the lease, and reports on databases.
pub trait FleetObserver: Clone + Send + Sync + 'static {
    /// Applies a view that has just come into force.
    ///
    /// Once this returns, nothing on this instance acts on an earlier view.
    fn apply(&self, view: &FleetView) -> impl Future<Output = ()> + Send;

    /// Waits until a report should be sent before the next regular heartbeat.
    fn report_due(&self) -> impl Future<Output = ()> + Send;

    /// Returns the report to send now.
    ///
    /// `reported` is the view number in the same heartbeat and `current` the view in force.
    fn report(&self, reported: ViewNumber, current: &FleetView) -> ObserverReport;

    /// Returns the usage to report with the heartbeat of a sequence number; `None` while no usage is
    /// counted.
    fn usage(&self, _sequence: u64) -> Option<Vec<UsageReport>> {
        None
    }

    /// Handles the window in the reply to the heartbeat of a sequence number, which was sent at
    /// `sent_at`; `None` means that usage is not counted.
    fn handle_usage(&self, _sequence: u64, _sent_at: Instant, _window: Option<&UsageWindow>) {}

    /// Called when a lease becomes valid after there was none.
    fn lease_begun(&self);

    /// Called when the lease has expired.
    fn lease_ended(&self);
}
