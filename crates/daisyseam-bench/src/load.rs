//! Callers of a fleet, and the check of what they were told.

mod history;
mod session;
mod worker;

pub use self::{
    history::{
        HistoryFinding,
        LoadHistory,
        ReadRecord,
        WriteOutcome,
        WriteRecord, //
    },
    session::{
        CallError,
        CallerSession,
        CallerTarget, //
    },
    worker::{
        LedgerTable,
        LoadPlan,
        LoadWorker,
        WorkerKind, //
    }, //
};
