//! Databases that this instance holds: their few connections, and who may use them.
//!
//! One actor a held database owns its pool and its queue. Nothing here knows of callers or peers.

mod admission;
mod handle;
mod pool;
mod pooled;
mod queue;
mod registry;
mod sight;
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
    pooled::PooledConnection,
    sight::{
        SightWatch,
        UpstreamSight, //
    },
    table::{
        HandOver,
        HolderTable,
        TableSettings, //
    }, //
};
