//! The fleet as one broker of links: routing, failover, confirmation of commits, rates.

mod broker;
mod confirm;
mod fate;
mod gate;
mod known;
mod link;
mod open;
mod routes;

pub use self::{
    broker::{
        BrokerSettings,
        FleetBroker, //
    },
    gate::FleetGate,
    link::{
        FleetLink,
        TransactionCounts, //
    }, //
};
