//! The entry daemon: callers, peers, databases, announcements.
//!
//! `caller` speaks PostgreSQL to callers and decides what a statement needs; it reaches databases
//! only through a [`LinkBroker`]. Everything behind that trait (routing, queues, slots, peers)
//! knows nothing of callers.

pub mod announce;
mod broker;
pub mod caller;
pub mod control_client;
mod daemon;
pub mod database;
pub mod fleet;
pub mod holder;
pub mod peer;
pub mod security;
mod settings;
mod view_cell;

pub use crate::{
    broker::{
        DatabaseLink,
        LinkBroker,
        LinkError,
        LinkOrder,
        OpenedLink,
        RateGate,
        StatementAccess,
        TransactionFate, //
    },
    daemon::{
        EntryDaemon,
        StartError, //
    },
    settings::{
        EntryArguments,
        EntrySettings, //
    },
    view_cell::{
        HeldView,
        ViewCell, //
    }, //
};
