//! Coordination parts to embed: no sockets, no files, no clock, no randomness of their own.
//!
//! Time comes in as a [`Moment`], chance as a seeded generator, events as method calls; what is to
//! be done goes out as values. Each part stands on its own.

pub mod breaker;
pub mod drain;
pub mod fair_queue;
pub mod fleet;
pub mod floor;
pub mod log;
pub mod membership;
mod moment;
pub mod outcome;
pub mod overload;
pub mod promotion;
pub mod quorum;
pub mod quota;
pub mod retry;
pub mod route;
pub mod view_lease;

pub use crate::moment::Moment;
