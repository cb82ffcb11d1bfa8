//! Databases that this instance holds: their connection pools and request queues.
//!
//! One actor per held database owns its pool and queue. This module is independent of callers and
//! peers.

mod admission;
mod handle;
mod observation;
mod pool;
mod pooled;
mod queue;
mod registry;
mod table;

pub use self::{
    handle::{
        CheckOutError,
        ConnectionRequest,
        HolderError,
        HolderHandle,
        HolderLimits,
        HolderSettings,
        PoolCounts, //
    },
    observation::{
        ObservationWatch,
        UpstreamObservation, //
    },
    pooled::PooledConnection,
    table::{
        HolderRelease,
        HolderTable,
        TableSettings, //
    }, //
};
