//! How a database's connections are shared out among the instances.

use crate::route::present_primary;
use daisyseam_model::{
    DataCentreId,
    FleetView,
    UpstreamId,
    UpstreamView, //
};

/// Part of a replica's connections that is left to instances of other data centres, in tenths.
const FAR_TENTHS: usize = 2;

/// How far above its share an instance may go while it needs more at once.
const BURST_FACTOR: usize = 3;

/// How many connections this instance may have to one database.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ConnectionBudget {
    /// Share that it keeps open.
    pub(crate) keep: usize,
    /// Most that it may have at once; what lies above the share is closed soon after its use. The
    /// database itself refuses what would be too many for all instances together.
    pub(crate) most: usize,
}

impl ConnectionBudget {
    /// Returns the budget of an instance in a data centre.
    ///
    /// All instances need the primary alike; a replica serves above all its own data centre.
    pub(crate) fn of(
        view: &FleetView,
        data_centre: &DataCentreId,
        name: &UpstreamId,
        named: &UpstreamView,
    ) -> Self {
        let document = view.document.as_ref();
        let group = document.and_then(|document| document.groups.get(&named.group));
        let slots = group.map_or(0, |group| group.slots);
        let all = view.instances.len().max(1);
        let near = view.instances.values();
        let near = near.filter(|instance| instance.data_centre == named.data_centre);
        let near = near.count();
        let far_slots = slots * FAR_TENTHS / 10;
        let share = if near == 0 || present_primary(view, &named.group) == Some(name) {
            slots / all
        } else if named.data_centre == *data_centre {
            (slots - far_slots) / near
        } else {
            far_slots / (all - near).max(1)
        };
        let keep = share.max(1);
        Self {
            keep,
            most: (keep * BURST_FACTOR).min(slots.max(1)),
        }
    }
}
