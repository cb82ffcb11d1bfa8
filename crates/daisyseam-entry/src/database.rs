//! One connection to a database, and what its HTTP port says of it.

mod connection;
mod probe;
mod startup;

pub(crate) use self::connection::decode_context;
pub use self::{
    connection::{
        CancelOrder,
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
