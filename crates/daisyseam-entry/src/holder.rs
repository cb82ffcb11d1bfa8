//! Databases that this instance holds: their few connections, and who may use them.
//!
//! One actor a held database owns its pool and its queue. Nothing here knows of callers or peers.

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
        HolderError,
        HolderHandle,
        HolderLimits,
        HolderOrder,
        HolderRefusal,
        HolderSettings,
        PoolCounts, //
    },
    observation::{
        ObservationWatch,
        UpstreamObservation, //
    },
    pooled::PooledConnection,
    table::{
        HandOver,
        HolderTable,
        TableSettings, //
    }, //
};
