//! The web console: forms to edit and submit the document, and a page that shows the fleet.
//!
//! Operators sign in; every form carries a CSRF token. A draft is kept in the operator's session
//! until it is submitted, through the same client that the command line uses.

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
