//! Commands that the log carries, and what becomes of them.

use daisyseam_model::{
    DataCentreId,
    DocumentNumber,
    GroupId,
    Incarnation,
    InstanceId,
    LogPosition,
    PrimaryState,
    Term,
    UpstreamId, //
};
use std::net::SocketAddr;

/// One change of the fleet's state.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetCommand {
    /// A document in place of the one with a stated number.
    Submit(SubmitCommand),
    /// A document that takes effect if its number is the highest.
    SubmitNewest(SubmitNewestCommand),
    /// An instance joins, or comes back as a new process.
    Join(JoinCommand),
    /// An instance is stopping, or is taken off the list.
    Leave(LeaveCommand),
    /// A database announced itself, or said something new.
    Upstream(UpstreamCommand),
    /// A database is taken off the list; its place counts until it is taken or forgotten.
    DropUpstream(UpstreamId),
    /// The place of a database that was taken off the list counts no longer.
    ForgetUpstream(UpstreamId),
    /// A group's term or primary changes.
    Group(GroupCommand),
    /// The holder of a database changes.
    Holder(HolderCommand),
    /// A data centre is taken out of service, or comes back.
    Evacuate(EvacuateCommand),
    /// The log of a database has caught up with its primary since the database started.
    Settle(SettleCommand),
}

/// A document in place of the one with a stated number.
#[derive(Clone, Debug, PartialEq)]
pub struct SubmitCommand {
    /// Identifier that a resend repeats.
    pub id: String,
    /// Number of the document it replaces; 0 for the first.
    pub replaces: u64,
    /// The document; it was validated before it was proposed.
    pub text: String,
    /// Who submits it.
    pub operator: String,
    /// When, by the leader's clock, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
}

/// A document that takes effect if its number is above the one in force, by whatever step.
#[derive(Clone, Debug, PartialEq)]
pub struct SubmitNewestCommand {
    /// Its number.
    pub number: DocumentNumber,
    /// The document; it was validated before it was proposed.
    pub text: String,
    /// What it was made from, kept beside it while it is in force.
    pub source: String,
    /// Who submits it.
    pub operator: String,
    /// When, by the leader's clock, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
}

/// An order on a data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct EvacuateCommand {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// Whether it is taken out of service; else it comes back.
    pub out: bool,
}

/// A process of a database has each commit that was acknowledged before it started.
#[derive(Clone, Debug, PartialEq)]
pub struct SettleCommand {
    /// The database.
    pub upstream: UpstreamId,
    /// When that process started, in milliseconds since 1970; another one has to catch up anew.
    pub born_ms: u64,
}

/// An instance joins.
#[derive(Clone, Debug, PartialEq)]
pub struct JoinCommand {
    /// Its name.
    pub instance: InstanceId,
    /// Data centre it runs in.
    pub data_centre: DataCentreId,
    /// Address on which it answers its peers.
    pub peer_address: SocketAddr,
}

/// An instance leaves.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaveCommand {
    /// Its name.
    pub instance: InstanceId,
    /// Incarnation that leaves; another one stays.
    pub incarnation: Incarnation,
    /// Whether it is gone; else it is stopping.
    pub gone: bool,
}

/// What a database says of itself.
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
    /// When its process started, in milliseconds since 1970; 0 if it did not say.
    pub born_ms: u64,
}

/// A group's term or primary changes.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupCommand {
    /// The group.
    pub group: GroupId,
    /// Term that it must have now; 0 when it is new.
    pub expected: Term,
    /// Term that it has then; never lower.
    pub term: Term,
    /// Who holds that term.
    pub primary: PrimaryState,
    /// Start of the lineage.
    pub lineage_start: LogPosition,
}

/// The holder of a database changes.
#[derive(Clone, Debug, PartialEq)]
pub struct HolderCommand {
    /// The database.
    pub upstream: UpstreamId,
    /// Holder that it must have now.
    pub expected: Option<InstanceId>,
    /// Holder that it has then; one holder follows another only with none in between.
    pub holder: Option<InstanceId>,
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandAnswer {
    /// It took effect.
    Done,
    /// The incarnation of an instance that joined.
    Joined(Incarnation),
    /// What became of a submission.
    Submitted(SubmitOutcome),
    /// A document with at least the submitted number is in force, this one.
    InForce(DocumentNumber),
    /// It no longer fitted the state and changed nothing.
    Refused(RefusedCommand),
}

/// Why a command changed nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusedCommand {
    /// The instance, database or group is not known.
    Unknown,
    /// Something else was decided in the meantime.
    Superseded,
    /// A term would be given twice or go back.
    TermUsed,
    /// The command cannot be read.
    Unreadable,
}

/// What became of a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitOutcome {
    /// It is accepted under this number.
    Accepted(DocumentNumber),
    /// Another submission has the number.
    Lost {
        /// Number of the document in force.
        current: DocumentNumber,
        /// Identifier of the submission that has the number; empty if it is no longer known.
        winner: String,
    },
}
