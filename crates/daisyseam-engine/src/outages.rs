//! Data centres that the view has taken out of service, and since when.

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

/// Time that open transactions get at databases whose data centre is taken out.
const TRANSACTION_GRACE: Duration = Duration::from_millis(500);

/// When each data centre that is out was first seen to be.
#[derive(Debug, Default)]
pub(crate) struct OutageClock {
    since: Mutex<BTreeMap<DataCentreId, Instant>>,
}

impl OutageClock {
    /// Takes in which data centres of databases are out.
    pub(crate) fn apply(&self, view: &FleetView) {
        let now = Instant::now();
        let mut since = self.since.lock();
        since.retain(|data_centre, _| !view.in_service(data_centre));
        for named in view.upstreams.values() {
            if !view.in_service(&named.data_centre) && !since.contains_key(&named.data_centre) {
                since.insert(named.data_centre.clone(), now);
            }
        }
    }

    /// Returns whether open transactions have had their time in a data centre.
    pub(crate) fn is_over(&self, data_centre: &DataCentreId) -> bool {
        let since = self.since.lock();
        let since = since.get(data_centre);
        since.is_some_and(|since| since.elapsed() >= TRANSACTION_GRACE)
    }
}
