//! Data centres that are out of service according to the view, and since when.

use daisyseam_model::{
    DataCentreId,
    FleetView, //
};
use parking_lot::Mutex;
use std::{
    collections::BTreeMap,
    time::Duration, //
};
use tokio::time::Instant;

/// Time that open transactions get on databases whose data centre is taken out of service.
const TRANSACTION_GRACE: Duration = Duration::from_millis(500);

/// Records when each data centre was first found out of service.
#[derive(Debug, Default)]
pub(crate) struct OutageTracker {
    since: Mutex<BTreeMap<DataCentreId, Instant>>,
}

impl OutageTracker {
    /// Updates the data centres that are out of service from a view.
    pub(crate) fn apply(&self, view: &FleetView) {
        let now = Instant::now();
        let mut since = self.since.lock();
        since.retain(|data_centre, _| !view.in_service(data_centre));
        for upstream_view in view.upstreams.values() {
            if !view.in_service(&upstream_view.data_centre)
                && !since.contains_key(&upstream_view.data_centre)
            {
                since.insert(upstream_view.data_centre.clone(), now);
            }
        }
    }

    /// Returns whether the grace period for open transactions in a data centre is over.
    pub(crate) fn is_grace_over(&self, data_centre: &DataCentreId) -> bool {
        let since = self.since.lock();
        let since = since.get(data_centre);
        since.is_some_and(|since| since.elapsed() >= TRANSACTION_GRACE)
    }
}
