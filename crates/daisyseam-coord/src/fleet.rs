//! Replicated state of the fleet: documents, instances, databases, primaries and holders.
//!
//! [`FleetState`] applies [`FleetCommand`]s one by one. Applying is deterministic: the same commands
//! in the same order produce the same state and the same results on every member.
//!
//! # Examples
//!
//! ```
//! use daisyseam_coord::fleet::{
//!     CommandOutcome,
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
//! assert!(matches!(first, CommandOutcome::Submitted(_)));
//! assert_eq!(state.apply(&submit), first, "a resend returns the first result");
//! ```

mod changes;
mod command;
mod copies;
mod documents;
mod record;
mod state;
mod usage;
mod usage_record;
mod voters;

pub use self::{
    changes::{
        DocumentChange,
        ViewChanges, //
    },
    command::{
        CaughtUpCommand,
        ChooseCommand,
        ChosenPrimary,
        CloseUsageCommand,
        CommandOutcome,
        CopiesCommand,
        EvacuateCommand,
        FleetCommand,
        GroupCommand,
        HolderCommand,
        JoinCommand,
        LeaveCommand,
        RefusalReason,
        SubmitCommand,
        SubmitNewestCommand,
        SubmitOutcome,
        UpstreamCommand,
        VoterCommand, //
    },
    copies::CopyGuarantee,
    documents::{
        AcceptedDocument,
        DocumentHistory,
        HISTORY_BYTES,
        HISTORY_LENGTH, //
    },
    state::FleetState,
    usage::{
        PENDING_WINDOWS_MAX,
        RECENT_WINDOWS_MAX,
        ReportedWindow,
        UsageCounts,
        UsageHistory, //
    }, //
};
