//! Links to databases that other instances hold, and their positions, between entry instances.
//!
//! One connection carries one request at a time and is kept for the next. Every message names the
//! incarnation of the asking instance and the number of its request; another pair than the one
//! that is expected closes the connection, so that late and crossed answers meet nobody.

mod client;
mod connection;
mod link;
mod relay;
mod server;

pub(crate) use self::client::{
    OPEN_ROUTE,
    millis_until, //
};
pub use self::{
    client::{
        PeerClient,
        PeerError,
        PeerSettings, //
    },
    link::PeerLink,
    server::{
        PeerServer,
        ServerSettings, //
    }, //
};
pub use daisyseam_member::IncarnationCell;
