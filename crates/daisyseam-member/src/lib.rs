//! Fleet membership of an instance, independent of the protocols that it speaks.
//!
//! [`ControlClient`] maintains the view and the lease on it, [`ViewCell`] shares them between the
//! parts of the instance, and [`FleetGate`] admits requests within the instance's shares of the
//! rates. [`FleetObserver`] abstracts what the instance does with databases.

mod contact;
mod control_client;
mod gate;
mod incarnation;
mod observer;
mod view_cell;

pub use crate::{
    contact::{
        ContactState,
        ControlContact, //
    },
    control_client::{
        ClientSettings,
        ControlClient,
        HEARTBEAT_INTERVAL, //
    },
    gate::{
        AdmissionDeadlines,
        FleetGate,
        RateGate, //
    },
    incarnation::IncarnationCell,
    observer::{
        FleetObserver,
        ObserverReport, //
    },
    view_cell::{
        HeldView,
        ViewCell, //
    }, //
};
pub use daisyseam_runtime::ControlAddresses;
