//! Relays calls to the instances that hold connections to a database.
//!
//! Where a database admits too few connections for every instance, a few instances in its data
//! centre hold them, and the others send their calls to one of those. A link that breaks after a
//! call was sent leaves the outcome of the call unknown, like a broken connection to the database.

mod admission;
mod client;
mod convert;
mod peer;
mod server;

pub(crate) use self::{
    admission::AdmissionClient,
    client::{
        HolderLink,
        RelayClient, //
    },
    peer::RelayedLink,
    server::serve, //
};
use daisyseam_model::ClusterId;
use daisyseam_runtime::Dialer;
use daisyseam_wire::{
    MessageStream,
    PeerSecurity,
    PeerSocket,
    RelayMessage, //
};

/// Settings for relaying calls between instances.
#[derive(Clone)]
pub struct RelaySettings {
    /// Cluster to which all instances belong.
    pub cluster: ClusterId,
    /// Opens connections to other instances.
    pub dialer: Dialer,
    /// Authentication between instances.
    pub security: PeerSecurity,
}

/// A connection between two instances.
type RelayStream = Box<MessageStream<PeerSocket, RelayMessage>>;
