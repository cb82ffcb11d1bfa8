//! What the replicated log agrees on: documents, instances, databases, primaries, holders.
//!
//! [`FleetState`] applies [`FleetCommand`]s one by one. Applying is deterministic: the same commands
//! in the same order give the same state on every member, and the same answers.
//!
//! # Examples
//!
//! ```
//! use daisyseam_coord::fleet::{
//!     CommandAnswer,
//!     FleetCommand,
//!     FleetState,
//!     SubmitCommand, //
//! };
//!
//! let mut state = FleetState::default();
//! let submit = FleetCommand::Submit(SubmitCommand {
//!     id: "change-1".to_owned(),
//!     replaces: 0,
//!     text: "number = 1\ncluster = \"shellrest\"\n".to_owned(),
//!     operator: "amalia".to_owned(),
//!     accepted_unix_ms: 0,
//! });
//! let first = state.apply(&submit);
//! assert!(matches!(first, CommandAnswer::Submitted(_)));
//! assert_eq!(state.apply(&submit), first, "a resend gets the first answer");
//! ```

mod changes;
mod command;
mod documents;
mod record;
mod state;

pub use self::{
    changes::{
        DocumentChange,
        ViewChanges, //
    },
    command::{
        CommandAnswer,
        EvacuateCommand,
        FleetCommand,
        GroupCommand,
        HolderCommand,
        JoinCommand,
        LeaveCommand,
        RefusedCommand,
        SettleCommand,
        SubmitCommand,
        SubmitNewestCommand,
        SubmitOutcome,
        UpstreamCommand, //
    },
    documents::{
        AcceptedDocument,
        DocumentLedger,
        HISTORY_BYTES,
        HISTORY_LENGTH, //
    },
    state::FleetState, //
};
