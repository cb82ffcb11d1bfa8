//! Coordination state machines without I/O: they use no sockets, files, clock or random source.
//!
//! The caller passes in the time as a [`Moment`], a seeded random number generator, and events as
//! method calls. Each state machine returns the actions to perform as values. The modules can be
//! used independently of each other.

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
pub mod read_route;
pub mod retry;
pub mod route;
pub mod usage;
pub mod view_lease;

pub use crate::moment::Moment;
