//! Stand-in database, load, experiments and the demo.

pub mod demo;
pub mod experiment;
pub mod experiments;
pub mod fleet;
pub mod idle;
pub mod load;
pub mod process;
pub mod relay;
pub mod standin;
