//! Connections to databases, and the state that their HTTP ports report.

mod connection;
mod probe;
mod startup;

pub(crate) use self::connection::decode_context;
pub use self::{
    connection::{
        CancelHandle,
        ConnectionCloser,
        ConnectionReader,
        ConnectionWriter,
        DatabaseConnection, //
    },
    probe::{
        HttpProbe,
        ProbeError,
        UpstreamProbe, //
    },
    startup::{
        DatabaseTarget,
        OpenError, //
    }, //
};
