//! Content of the health pages.

use crate::{
    ViewCell,
    holder::{
        HolderHandle,
        HolderTable, //
    },
    peer::IncarnationCell, //
};
use daisyseam_model::{
    DataCentreId,
    InstanceId, //
};
use daisyseam_runtime::{
    BootClock,
    HealthState,
    MetricClient,
    StopSignal, //
};
use serde_json::{
    Value,
    json, //
};

/// State that the health pages report.
#[derive(Clone)]
pub(super) struct EntryStatus {
    pub(super) instance: InstanceId,
    pub(super) data_centre: DataCentreId,
    pub(super) cell: ViewCell,
    pub(super) table: HolderTable,
    pub(super) incarnation: IncarnationCell,
    pub(super) metrics: MetricClient,
    pub(super) stop: StopSignal,
}

impl HealthState for EntryStatus {
    fn not_ready(&self) -> Option<String> {
        if self.stop.is_stopping() {
            return Some("stopping".to_owned());
        }
        let view = match self.cell.valid() {
            Ok(view) => view,
            Err(kind) => return Some(kind.to_string()),
        };
        view.document
            .is_none()
            .then(|| "no document has been submitted".to_owned())
    }

    fn status(&self) -> Value {
        let held = self.cell.held();
        let now = BootClock::now();
        let lease = held
            .lease_until
            .map_or(0, |until| until.saturating_duration_since(now).as_millis());
        let upstreams: Vec<_> = self.table.all().iter().map(describe).collect();
        json!({
            "instance": self.instance,
            "incarnation": self.incarnation.get(),
            "data_centre": self.data_centre,
            "stopping": self.stop.is_stopping(),
            "view": held.view.number,
            "document": held.view.document_number,
            "lease_left_ms": u64::try_from(lease).unwrap_or(u64::MAX),
            "held_upstreams": upstreams,
            "counters": self.metrics.counters(),
        })
    }
}

fn describe(handle: &HolderHandle) -> Value {
    let observation = handle.observation();
    let counts = handle.counts();
    let settings = handle.settings();
    json!({
        "upstream": settings.upstream,
        "group": settings.group,
        "slots": settings.limits.slots,
        "open": counts.open,
        "checked_out": counts.checked_out,
        "queued": counts.queued,
        "reachable": observation.state.is_some() && observation.no_reply_since.is_none(),
        "state": observation.state,
    })
}
