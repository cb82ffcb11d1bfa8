//! An instance as a member of the fleet, whatever protocols it speaks.
//!
//! [`ControlClient`] keeps the view and the lease on it; [`ViewCell`] shares them between the
//! parts of the instance; [`FleetGate`] admits requests within the instance's shares of rates.
//! What the instance does with databases stands behind [`FleetObserver`].

mod control_client;
mod gate;
mod incarnation;
mod observer;
mod view_cell;

pub use crate::{
    control_client::{
        ClientSettings,
        ControlClient,
        HEARTBEAT, //
    },
    gate::{
        AdmitTimes,
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
