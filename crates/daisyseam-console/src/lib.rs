//! The web console: forms that produce and submit the document, and one page that shows the fleet.
//!
//! Operators sign in; every form carries a token against forged posts. A draft lives in the
//! operator's session until it is submitted through the same client as the command line's.

mod draft;
mod operators;
mod pages;
mod routes;
mod server;
mod sessions;
mod settings;

pub use crate::{
    draft::{
        DocumentDraft,
        DraftError, //
    },
    operators::{
        OperatorFile,
        OperatorFileError,
        hash_password, //
    },
    server::{
        ConsoleError,
        ConsoleServer, //
    },
    settings::{
        ConsoleOptions,
        ConsoleSettings, //
    }, //
};
