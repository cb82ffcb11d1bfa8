//! The fleet as one broker of links: routing, failover, confirmation of commits, rates.

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
