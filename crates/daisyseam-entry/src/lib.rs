//! The entry daemon: callers, peers, databases, announcements.
//!
//! `caller` speaks PostgreSQL to callers and decides what a statement needs; it reaches databases
//! only through a [`LinkBroker`]. Everything behind that trait (routing, queues, slots, peers)
//! knows nothing of callers.

pub mod announce;
mod broker;
pub mod caller;
mod daemon;
pub mod database;
pub mod fleet;
mod health;
pub mod holder;
pub mod peer;
pub mod security;
mod settings;

pub use crate::{
    broker::{
        DatabaseLink,
        LinkBroker,
        LinkError,
        LinkOrder,
        OpenedLink,
        StatementAccess,
        TransactionOutcome, //
    },
    daemon::{
        EntryDaemon,
        StartError, //
    },
    settings::{
        EntryArguments,
        EntrySettings, //
    }, //
};
pub use daisyseam_member::{
    HeldView,
    RateGate,
    ViewCell, //
};
