//! The operator command line: checks, compares and submits the one document, and shows the fleet.

mod command;
mod key;
mod output;
mod run;

pub use crate::{
    command::{
        CheckCommand,
        CtlCommand,
        CtlOptions,
        DiffCommand,
        HistoryCommand,
        KeyCommand,
        KeyNewCommand,
        KeyTask,
        SchemaCommand,
        ShowCommand,
        StatusCommand,
        SubmitCommand, //
    },
    key::{
        NewKey,
        new_key, //
    },
    output::{
        CtlFailure,
        CtlOutput, //
    },
    run::run_command, //
};
