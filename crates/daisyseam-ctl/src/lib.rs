//! The operator command line: validates, compares and submits the document, and shows the fleet.

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
        KeySubcommand,
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
