//! The caller side: speaks PostgreSQL to callers and decides what each statement needs.
//!
//! Databases are reached only through a [`LinkBroker`](crate::LinkBroker), rates are kept by a
//! [`RateGate`](crate::RateGate).

mod answer;
mod cancel;
mod classify;
mod codec;
mod exchange;
mod frame_check;
mod identity;
mod key_guard;
mod lease;
mod prepared;
mod server;
mod session;
mod startup;
mod statement_cache;

pub use self::{
    answer::{
        SendProgress,
        error_answer, //
    },
    classify::{
        ClassifiedStatement,
        ClassifiedText,
        SessionSetting,
        StatementHints,
        StatementKind,
        classify, //
    },
    server::{
        CallerContext,
        CallerServer, //
    }, //
};
