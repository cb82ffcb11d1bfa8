//! Routing of links across the fleet, failover, confirmation of commits, and rate limits.

mod broker;
mod confirm;
mod known;
mod link;
mod open;
mod outcome;
mod routes;

pub use self::{
    broker::{
        BrokerSettings,
        FleetBroker, //
    },
    link::{
        FleetLink,
        TransactionCounts, //
    }, //
};
pub use daisyseam_member::FleetGate;
