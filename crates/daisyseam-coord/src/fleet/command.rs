//! Commands of the replicated log and their results.

use super::UsageCounts;
use daisyseam_model::{
    DataCentreId,
    DocumentNumber,
    GroupId,
    Incarnation,
    InstanceId,
    LogPosition,
    PrimaryState,
    Term,
    UpstreamId,
    ViewNumber, //
};
use std::net::SocketAddr;

/// A change of the fleet's state.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetCommand {
    /// Submits a document that replaces the one with a given number.
    Submit(SubmitCommand),
    /// Submits a document that takes effect if its number is the highest.
    SubmitNewest(SubmitNewestCommand),
    /// Adds an instance, or a new process of a known one.
    Join(JoinCommand),
    /// Marks an instance as stopping, or removes it.
    Leave(LeaveCommand),
    /// Adds a database that announced itself, or updates it.
    Upstream(UpstreamCommand),
    /// Removes a database, on whose log no acknowledged commit depends any more.
    DropUpstream(UpstreamId),
    /// Changes a group's term or primary.
    Group(GroupCommand),
    /// Records or withdraws the choice of a group's next primary.
    Choose(ChooseCommand),
    /// Changes the holder of a database.
    Holder(HolderCommand),
    /// Takes a data centre out of service, or puts it back.
    Evacuate(EvacuateCommand),
    /// Records that a database has caught up with its primary since it started.
    CaughtUp(CaughtUpCommand),
    /// Stops counting the copies of a voter for later commits.
    SuspendVoter(VoterCommand),
    /// Makes a voter, whose copies are no longer counted, a learner that elections don't count.
    DemoteVoter(VoterCommand),
    /// Records how many databases have each acknowledged commit of a group.
    Copies(CopiesCommand),
    /// Decides the request counts of a window.
    CloseUsage(CloseUsageCommand),
    /// Records that the report of a window was acknowledged.
    AcknowledgeUsage(u64),
}

/// Submits a document that replaces the one with a given number.
#[derive(Clone, Debug, PartialEq)]
pub struct SubmitCommand {
    /// Identifier of the submission; a resend uses the same one.
    pub id: String,
    /// Number of the document to replace; 0 for the first document.
    pub replaces: u64,
    /// Text of the document, validated before the command was proposed.
    pub text: String,
    /// Operator who submits it.
    pub operator: String,
    /// Submission time by the leader's clock, in Unix milliseconds.
    pub accepted_unix_ms: u64,
}

/// Submits a document that takes effect if its number exceeds the one in force, by any amount.
#[derive(Clone, Debug, PartialEq)]
pub struct SubmitNewestCommand {
    /// Its number.
    pub number: DocumentNumber,
    /// Text of the document, validated before the command was proposed.
    pub text: String,
    /// Source that it was generated from, kept while the document is in force.
    pub source: String,
    /// Operator who submits it.
    pub operator: String,
    /// Submission time by the leader's clock, in Unix milliseconds.
    pub accepted_unix_ms: u64,
}

/// Takes a data centre out of service, or puts it back.
#[derive(Clone, Debug, PartialEq)]
pub struct EvacuateCommand {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Whether it is taken out of service rather than put back.
    pub out: bool,
}

/// Records that a database process has each commit acknowledged before the process started.
#[derive(Clone, Debug, PartialEq)]
pub struct CaughtUpCommand {
    /// The database.
    pub upstream: UpstreamId,
    /// Start time of that process in Unix milliseconds; a later process must catch up again.
    pub born_ms: u64,
}

/// Names a voter.
#[derive(Clone, Debug, PartialEq)]
pub struct VoterCommand {
    /// The database.
    pub upstream: UpstreamId,
    /// Start time of its listed process in Unix milliseconds; the command does not affect a later one.
    pub born_ms: u64,
}

/// Records how many databases have each acknowledged commit of a group. The first one of a group
/// begins the record, with the number of the document if the group has no state yet.
#[derive(Clone, Debug, PartialEq)]
pub struct CopiesCommand {
    /// The group.
    pub group: GroupId,
    /// Least number of databases that have each acknowledged commit; 0 if it is not known.
    pub copies: usize,
    /// View in which commits last began to get fewer copies or a database was removed; a later change
    /// invalidates the command.
    pub since: ViewNumber,
}

/// Decides the request counts of a window; they do not change afterwards.
#[derive(Clone, Debug, PartialEq)]
pub struct CloseUsageCommand {
    /// Number of the window; later than any that is decided.
    pub window: u64,
    /// Number of requests of each organisation that began to run at a database.
    pub counts: UsageCounts,
}

/// Adds an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct JoinCommand {
    /// Its name.
    pub instance: InstanceId,
    /// Data centre it runs in.
    pub data_centre: DataCentreId,
    /// Address on which it accepts connections from its peers.
    pub peer_address: SocketAddr,
}

/// Marks an instance as stopping, or removes it.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaveCommand {
    /// Its name.
    pub instance: InstanceId,
    /// Incarnation that leaves; the command does not affect a later one.
    pub incarnation: Incarnation,
    /// Whether it has shut down and is removed, rather than stopping.
    pub gone: bool,
}

/// Announcement of a database.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamCommand {
    /// Its name.
    pub upstream: UpstreamId,
    /// Group it belongs to.
    pub group: GroupId,
    /// Data centre it runs in.
    pub data_centre: DataCentreId,
    /// Address of its PostgreSQL port.
    pub address: SocketAddr,
    /// Address of its HTTP port.
    pub admin_address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Start time of its process in Unix milliseconds; 0 if unknown.
    pub born_ms: u64,
}

/// Changes a group's term or primary.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupCommand {
    /// The group.
    pub group: GroupId,
    /// Term that it must be in for the command to apply; 0 if it is new.
    pub expected: Term,
    /// New term; never lower than the expected one.
    pub term: Term,
    /// State of the primary in that term.
    pub primary: PrimaryState,
    /// Position in the log at which the lineage of that primary starts.
    pub lineage_start: LogPosition,
}

/// Records or withdraws the choice of the next primary of a fenced group.
#[derive(Clone, Debug, PartialEq)]
pub struct ChooseCommand {
    /// The group.
    pub group: GroupId,
    /// Term in which it must be fenced for the command to apply.
    pub term: Term,
    /// The choice; `None` to withdraw it. A choice must be withdrawn before another one can be made.
    pub chosen: Option<ChosenPrimary>,
}

/// The only database that may be promoted until a primary is active or the choice is withdrawn.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChosenPrimary {
    /// The database.
    pub upstream: UpstreamId,
    /// End of its log when it was chosen; while it has this log, it has each acknowledged commit.
    pub end: LogPosition,
}

/// Changes the holder of a database.
#[derive(Clone, Debug, PartialEq)]
pub struct HolderCommand {
    /// The database.
    pub upstream: UpstreamId,
    /// Holder that it must have for the command to apply.
    pub expected: Option<InstanceId>,
    /// New holder. A holder must be cleared before another one can be set.
    pub holder: Option<InstanceId>,
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandOutcome {
    /// It took effect.
    Done,
    /// The instance joined with this incarnation.
    Joined(Incarnation),
    /// Result of a submission.
    Submitted(SubmitOutcome),
    /// The document with this number, at least the submitted one, is in force.
    InForce(DocumentNumber),
    /// It was not applicable to the current state and changed nothing.
    Refused(RefusalReason),
}

/// Reason why a command was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The instance, database or group is not known.
    Unknown,
    /// The expected state was changed by another command.
    Superseded,
    /// The term would be reused or decrease.
    TermUsed,
    /// The command cannot be decoded.
    Unreadable,
}

/// Result of a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitOutcome {
    /// The document was accepted with this number.
    Accepted(DocumentNumber),
    /// Another submission took the number.
    Lost {
        /// Number of the document in force.
        current: DocumentNumber,
        /// Identifier of the submission that took the number; empty if it is no longer known.
        winner: String,
    },
}
