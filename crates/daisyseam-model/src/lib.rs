//! Types shared by all parts of daisyseam.
//!
//! Identifiers, terms and log positions, the view that control distributes, the configuration
//! document, and the closed list of error kinds with its table.

pub mod announce;
pub mod document;
mod error;
mod id;
mod position;
mod view;

pub use crate::{
    error::{
        ErrorKind,
        Execution,
        KindRow,
        RequestError, //
    },
    id::{
        ClusterId,
        DataCentreId,
        GroupId,
        InstanceId,
        InvalidName,
        OrganisationId,
        RegionId,
        ServiceId,
        UpstreamId, //
    },
    position::{
        LogPosition,
        Position,
        Term, //
    },
    view::{
        DocumentNumber,
        FleetView,
        GroupView,
        Incarnation,
        InstanceView,
        PrimaryState,
        UpstreamView,
        ViewNumber, //
    }, //
};
