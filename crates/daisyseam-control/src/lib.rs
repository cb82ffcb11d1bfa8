//! The control daemon: the replicated log on instances with a disk.
//!
//! `core` decides and does no input or output; `node` is the actor that owns it with its store;
//! sessions, peer links and calls to databases are shells around.

mod admin;
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
        UpstreamAdmin, //
    },
    core::{
        ControlCore,
        CoreOutput,
        CoreSettings,
        DatabaseCall,
        RequestId, //
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
