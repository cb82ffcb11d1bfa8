//! PostgreSQL front end: serves client connections and determines what each statement requires.
//!
//! Databases are reached only through a [`LinkBroker`](crate::LinkBroker), and rate limits are
//! enforced by a [`RateGate`](crate::RateGate).

mod answer;
mod cancel;
mod checked_out_link;
mod classify;
mod codec;
mod exchange;
mod frame_check;
mod identity;
mod key_guard;
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
