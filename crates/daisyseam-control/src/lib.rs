//! The control daemon, which makes the decisions for the fleet on a replicated, durable log.
//!
//! `core` makes the decisions and performs no I/O. `node` is the actor that owns the core and its
//! store. Sessions, links to other members and calls to databases perform the network I/O.

mod admin;
mod call_lease;
mod convert;
mod core;
mod daemon;
mod handle;
mod identity;
mod link;
mod names;
mod node;
mod notice;
mod session;
mod settings;

pub use crate::{
    admin::{
        AdminCall,
        HttpAdmin,
        UpstreamAdmin,
        UsageReporter, //
    },
    call_lease::CallLease,
    core::{
        ControlCore,
        CoreOutput,
        CoreSettings,
        DatabaseCall,
        RequestId,
        UsageCall,
        UsageTotals, //
    },
    daemon::{
        ControlDaemon,
        DaemonFailure,
        StartError, //
    },
    handle::ControlHandle,
    settings::{
        ControlFlags,
        ControlSettings,
        ControlTuning,
        REPAIR_DELAY, //
    }, //
};
