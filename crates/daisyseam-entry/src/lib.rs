//! The entry daemon, a PostgreSQL proxy with session consistency.
//!
//! [`caller`] serves PostgreSQL clients and determines what each statement requires; it reaches
//! databases only through a [`LinkBroker`]. The implementation of that trait (routing, queues,
//! slots and peers) does not depend on callers.

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
        OpenLinkRequest,
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
