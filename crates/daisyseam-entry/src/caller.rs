//! The caller side: speaks PostgreSQL to callers and decides what each statement needs.
//!
//! Databases are reached only through a [`LinkBroker`](crate::LinkBroker), rates are kept by a
//! [`RateGate`](crate::RateGate).

mod server;

pub use self::server::{
    CallerContext,
    CallerServer, //
};
