//! Stand-in database, load, experiments and the demo.

pub mod standin;
