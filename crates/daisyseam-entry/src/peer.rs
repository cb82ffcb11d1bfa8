//! Protocol between entry instances: links to databases held by others, and their positions.
//!
//! A connection carries one request at a time and is reused for the next. Every message contains
//! the incarnation of the requesting instance and the number of the request; an unexpected pair
//! closes the connection, so that an answer to another request is never accepted.

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
