//! Messages to and between control instances.

use crate::share::{
    WireShareReply,
    WireShareReport, //
};

/// Any message to or between control instances.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ControlMessage {
    /// The message proper.
    #[prost(
        oneof = "control_message::Body",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30"
    )]
    pub body: Option<control_message::Body>,
}

/// The bodies of a [`ControlMessage`].
pub mod control_message {
    /// One message to or between control instances.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// An instance introduces itself.
        #[prost(message, tag = "1")]
        Handshake(super::Handshake),
        /// Its incarnation is given.
        #[prost(message, tag = "2")]
        Welcome(super::Welcome),
        /// Another control instance leads.
        #[prost(message, tag = "3")]
        NotLeader(super::NotLeader),
        /// An instance asks for its lease.
        #[prost(message, tag = "4")]
        Heartbeat(super::Heartbeat),
        /// The lease, and what has changed.
        #[prost(message, tag = "5")]
        HeartbeatReply(super::HeartbeatReply),
        /// Submits a document.
        #[prost(message, tag = "6")]
        Submit(super::SubmitRequest),
        /// What became of it.
        #[prost(message, tag = "7")]
        Submitted(super::SubmitReply),
        /// Asks for a document.
        #[prost(message, tag = "8")]
        Show(super::ShowRequest),
        /// The document.
        #[prost(message, tag = "9")]
        Shown(super::ShowReply),
        /// Asks for the accepted documents.
        #[prost(message, tag = "10")]
        History(super::HistoryRequest),
        /// The accepted documents.
        #[prost(message, tag = "11")]
        HistoryShown(super::HistoryReply),
        /// Asks for the state of the fleet.
        #[prost(message, tag = "12")]
        Status(super::StatusRequest),
        /// The state of the fleet.
        #[prost(message, tag = "13")]
        StatusShown(super::StatusReply),
        /// Asks for a vote.
        #[prost(message, tag = "14")]
        Vote(super::VoteRequest),
        /// A vote.
        #[prost(message, tag = "15")]
        Voted(super::VoteReply),
        /// Entries of the log.
        #[prost(message, tag = "16")]
        Append(super::AppendRequest),
        /// Whether they were appended.
        #[prost(message, tag = "17")]
        Appended(super::AppendReply),
        /// A piece of a snapshot.
        #[prost(message, tag = "18")]
        Snapshot(super::SnapshotChunk),
        /// How much of the snapshot has been received.
        #[prost(message, tag = "19")]
        SnapshotTaken(super::SnapshotReply),
        /// The leader transfers leadership.
        #[prost(message, tag = "20")]
        Transfer(super::TransferRequest),
        /// A spare control instance announces itself.
        #[prost(message, tag = "21")]
        Spare(super::SpareNotice),
        /// Submits a document that takes effect if its number is the highest.
        #[prost(message, tag = "22")]
        SubmitNewest(crate::SubmitNewestRequest),
        /// What became of it.
        #[prost(message, tag = "23")]
        SubmittedNewest(crate::SubmitNewestReply),
        /// Asks for the source of the newest document.
        #[prost(message, tag = "24")]
        Source(crate::SourceRequest),
        /// The source.
        #[prost(message, tag = "25")]
        SourceShown(crate::SourceReply),
        /// Passes an announcement on.
        #[prost(message, tag = "26")]
        Announce(crate::AnnounceRequest),
        /// The announcement is known.
        #[prost(message, tag = "27")]
        Announced(crate::AnnounceReply),
        /// Takes a data centre out of service, or brings it back.
        #[prost(message, tag = "28")]
        Evacuate(crate::EvacuateRequest),
        /// The order on a data centre is durable.
        #[prost(message, tag = "29")]
        Evacuated(crate::EvacuateReply),
        /// Answers a spare.
        #[prost(message, tag = "30")]
        SpareKnown(super::SpareReply),
    }
}

/// An entry instance introduces itself after it has connected.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Handshake {
    /// Its name.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Incarnation it had before on this process; 0 for a process that has just started.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Data centre it runs in.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// Address on which it answers its peers.
    #[prost(string, tag = "4")]
    pub peer_address: String,
    /// Number of the view it holds; 0 for none.
    #[prost(uint64, tag = "5")]
    pub view: u64,
}

/// The leader accepts an instance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Welcome {
    /// Its incarnation from now on.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
}

/// The receiver of the request is not the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct NotLeader {
    /// Address of the leader if it is known, else empty.
    #[prost(string, tag = "1")]
    pub leader: String,
    /// Term of the log.
    #[prost(uint64, tag = "2")]
    pub term: u64,
}

/// An announcement of a database, passed on by the instance that took it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UpstreamReport {
    /// Database.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Group.
    #[prost(string, tag = "2")]
    pub group: String,
    /// Data centre.
    #[prost(string, tag = "3")]
    pub data_centre: String,
    /// Address of its PostgreSQL port.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Address of its HTTP port.
    #[prost(string, tag = "5")]
    pub admin_address: String,
    /// Term it is in.
    #[prost(uint64, tag = "6")]
    pub term: u64,
    /// Its log position.
    #[prost(uint64, tag = "7")]
    pub position: u64,
    /// Whether it takes writes.
    #[prost(bool, tag = "8")]
    pub primary: bool,
    /// Whether it says that it is leaving.
    #[prost(bool, tag = "9")]
    pub leaving: bool,
    /// Time since the announcement came in, in milliseconds.
    #[prost(uint64, tag = "10")]
    pub age_ms: u64,
    /// When its process started, by its own clock, in milliseconds since 1970; 0 if unknown.
    #[prost(uint64, tag = "11")]
    pub born_ms: u64,
    /// Number of the announcement, counted by that process; 0 if it does not count them.
    #[prost(uint64, tag = "12")]
    pub sequence: u64,
}

/// What a holder sees of a database that it holds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HealthReport {
    /// Database.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Whether it answers.
    #[prost(bool, tag = "2")]
    pub reachable: bool,
    /// Term it is in.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Its log position.
    #[prost(uint64, tag = "4")]
    pub position: u64,
    /// Whether it takes writes.
    #[prost(bool, tag = "5")]
    pub primary: bool,
    /// Time since its last answer, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub silent_ms: u64,
    /// Number of the view under which this instance holds its connections; 0 once it has released
    /// them.
    #[prost(uint64, tag = "7")]
    pub held_for_view: u64,
}

/// What an instance has open at a group that is being moved.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GroupReport {
    /// Group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// Term that is draining.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Transactions still open there.
    #[prost(uint64, tag = "3")]
    pub open_transactions: u64,
}

/// Asks for a lease and reports.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Counts the heartbeats of this incarnation.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Incarnation of the sender.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of the view that the sender acts on; all earlier views are out of use there.
    #[prost(uint64, tag = "3")]
    pub view: u64,
    /// Whether the sender is stopping.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// Shares of rates that the sender holds and wants.
    #[prost(message, optional, tag = "5")]
    pub shares: Option<WireShareReport>,
    /// Announcements since the last heartbeat.
    #[prost(message, repeated, tag = "6")]
    pub upstreams: Vec<UpstreamReport>,
    /// Held databases whose health changed.
    #[prost(message, repeated, tag = "7")]
    pub health: Vec<HealthReport>,
    /// Groups that are draining.
    #[prost(message, repeated, tag = "8")]
    pub groups: Vec<GroupReport>,
    /// Name of the sender; empty for the one that opened with a handshake on this connection.
    #[prost(string, tag = "9")]
    pub instance: String,
    /// Digest of the view that the sender acts on.
    #[prost(uint64, tag = "10")]
    pub view_digest: u64,
    /// One more than the index of the control members that the sender knows; 0 for none.
    #[prost(uint64, tag = "11")]
    pub members: u64,
    /// Cumulative request counts of windows that are not decided yet.
    #[prost(message, repeated, tag = "12")]
    pub usage: Vec<UsageReport>,
    /// Wall clock of the sender in milliseconds since 1970, while usage is reported; else 0.
    #[prost(uint64, tag = "13")]
    pub unix_ms: u64,
}

/// Requests of one window that began to run at databases.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UsageReport {
    /// Number of the window.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// Whether the window has ended and the counts no longer change.
    #[prost(bool, tag = "2")]
    pub is_final: bool,
    /// Cumulative counts of the organisations whose count changed since the last report.
    #[prost(message, repeated, tag = "3")]
    pub counts: Vec<UsageCount>,
    /// When the process that counts started, by its own clock, in milliseconds since 1970. It keeps
    /// its counts when it joins again under another incarnation.
    #[prost(uint64, tag = "4")]
    pub born_ms: u64,
    /// Control term whose leader has the earlier reports of this process.
    #[prost(uint64, tag = "5")]
    pub term: u64,
}

/// Requests of one organisation in a window.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UsageCount {
    /// Organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// Number of its requests.
    #[prost(uint64, tag = "2")]
    pub count: u64,
}

/// The window in which requests are counted; its presence enables counting.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UsageWindow {
    /// Number of the current window; 0 while the leader does not know the time yet.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// Time to its end, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub left_ms: u64,
    /// Length of a window in milliseconds.
    #[prost(uint64, tag = "3")]
    pub window_ms: u64,
    /// Highest window whose counts are decided; it and earlier ones need no more reports.
    #[prost(uint64, tag = "4")]
    pub decided: u64,
    /// Control term of the sender. A leader of a new term has no earlier reports.
    #[prost(uint64, tag = "5")]
    pub term: u64,
}

/// The lease, and what has changed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeartbeatReply {
    /// Sequence of the heartbeat that is answered.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The lease holds for this long from the moment the heartbeat was sent, in milliseconds; 0 for no lease.
    #[prost(uint64, tag = "2")]
    pub lease_ms: u64,
    /// Changes from the sender's view to the newest, or the whole view.
    ///
    /// An encoded [`WireView`](crate::WireView), so that all receivers can share one.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub update: Option<bytes::Bytes>,
    /// Shares of rates that the receiver gets and is to return.
    #[prost(message, optional, tag = "4")]
    pub shares: Option<WireShareReply>,
    /// The members of control, if the sender knows others.
    #[prost(message, optional, tag = "5")]
    pub members: Option<ControlMembers>,
    /// The current window, if usage is counted.
    #[prost(message, optional, tag = "6")]
    pub usage: Option<UsageWindow>,
    /// The same as `update`, compressed; used in its place above a size.
    ///
    /// One or more gzip members, see [`EncodedUpdate`](crate::EncodedUpdate).
    #[prost(bytes = "bytes", optional, tag = "7")]
    pub update_deflated: Option<bytes::Bytes>,
}

/// The members of control.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ControlMembers {
    /// One more than the index from which they are members.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Their addresses.
    #[prost(string, repeated, tag = "2")]
    pub addresses: Vec<String>,
}

/// Submits a document in place of the one with a stated number.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SubmitRequest {
    /// Identifier that a resend repeats.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Number of the document it replaces; 0 for the first.
    #[prost(uint64, tag = "2")]
    pub replaces: u64,
    /// The document.
    #[prost(string, tag = "3")]
    pub text: String,
    /// Who submits it, for the history.
    #[prost(string, tag = "4")]
    pub operator: String,
}

/// What became of a submission.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SubmitReply {
    /// Whether it was accepted.
    #[prost(bool, tag = "1")]
    pub accepted: bool,
    /// Number of the document now in force.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Identifier of the submission that has the number it asked for, when another won.
    #[prost(string, tag = "3")]
    pub winner: String,
    /// Problems of the document, one a line.
    #[prost(string, repeated, tag = "4")]
    pub problems: Vec<String>,
    /// Why it was refused, else empty.
    #[prost(string, tag = "5")]
    pub error: String,
    /// Whether nothing was decided and the caller should ask again.
    #[prost(bool, tag = "6")]
    pub busy: bool,
}

/// Asks for a document.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShowRequest {
    /// Its number; 0 for the one in force.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether the answer must be the newest; else it may be stale.
    #[prost(bool, tag = "2")]
    pub linearizable: bool,
}

/// A document.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShowReply {
    /// Its number; 0 if there is none.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Its text.
    #[prost(string, tag = "2")]
    pub text: String,
    /// Whether the answer may be stale.
    #[prost(bool, tag = "3")]
    pub stale: bool,
}

/// Asks for the accepted documents.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HistoryRequest {
    /// Most entries wanted, newest first.
    #[prost(uint64, tag = "1")]
    pub limit: u64,
}

/// One accepted document.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HistoryEntry {
    /// Its number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Identifier of its submission.
    #[prost(string, tag = "2")]
    pub id: String,
    /// Who submitted it.
    #[prost(string, tag = "3")]
    pub operator: String,
    /// When it was accepted by the leader's clock, in milliseconds since 1970.
    #[prost(uint64, tag = "4")]
    pub accepted_unix_ms: u64,
}

/// The accepted documents.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HistoryReply {
    /// Newest first.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<HistoryEntry>,
    /// Whether the answer may be stale.
    #[prost(bool, tag = "2")]
    pub stale: bool,
}

/// Asks for the state of the fleet.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusRequest {}

/// The state of the fleet.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusReply {
    /// The state as JSON.
    #[prost(string, tag = "1")]
    pub json: String,
    /// Whether the answer may be stale.
    #[prost(bool, tag = "2")]
    pub stale: bool,
}

/// Asks for a vote, or in a pre-vote whether one would be granted.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VoteRequest {
    /// Sender; sender and receiver are both empty if they are the last ones named by a message
    /// between members on this connection.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Term of the election.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Index of the candidate's last entry.
    #[prost(uint64, tag = "3")]
    pub last_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "4")]
    pub last_term: u64,
    /// Whether this is a pre-vote.
    #[prost(bool, tag = "5")]
    pub pre_vote: bool,
    /// Whether the former leader gave up its lease in favour of the sender.
    #[prost(bool, tag = "6")]
    pub transfer: bool,
    /// Receiver.
    #[prost(string, tag = "7")]
    pub to: String,
    /// Whether the sender wants the votes of all voters.
    #[prost(bool, tag = "8")]
    pub unanimous: bool,
}

/// The leader transfers leadership to the receiver; it has given up its lease.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TransferRequest {
    /// Sender; sender and receiver are both empty if they are the last ones named by a message
    /// between members on this connection.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Term of the leader.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Receiver.
    #[prost(string, tag = "3")]
    pub to: String,
}

/// A control instance that no leader contacts announces itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SpareNotice {
    /// Its name.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Address on which it answers.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Whether it is a member according to its own log.
    #[prost(bool, tag = "3")]
    pub member: bool,
    /// Data centre that it runs in.
    #[prost(string, tag = "4")]
    pub data_centre: String,
}

/// Answers a control instance that no leader contacts.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SpareReply {
    /// Address of the leader if it is known, else empty.
    #[prost(string, tag = "1")]
    pub leader: String,
    /// Addresses of the members, if the sender leads.
    #[prost(string, repeated, tag = "2")]
    pub members: Vec<String>,
    /// Whether the requester, a member according to its own log, has been removed permanently.
    #[prost(bool, tag = "3")]
    pub removed: bool,
}

/// A vote.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VoteReply {
    /// Sender; sender and receiver are both empty if they are the last ones named by a message
    /// between members on this connection.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Term of the sender, or of the pre-vote that is answered.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Whether it is granted.
    #[prost(bool, tag = "3")]
    pub granted: bool,
    /// Whether it answers a pre-vote.
    #[prost(bool, tag = "4")]
    pub pre_vote: bool,
    /// Receiver.
    #[prost(string, tag = "5")]
    pub to: String,
}

/// One entry of the log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LogEntry {
    /// Index.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Kind of the payload: 0 none, 1 command, 2 membership.
    #[prost(uint32, tag = "3")]
    pub kind: u32,
    /// Payload.
    #[prost(bytes = "bytes", tag = "4")]
    pub payload: bytes::Bytes,
}

/// Entries of the log, or none as a heartbeat.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AppendRequest {
    /// Sender; sender and receiver are both empty if they are the last ones named by a message
    /// between members on this connection.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Term of the leader.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Index before the first entry.
    #[prost(uint64, tag = "3")]
    pub previous_index: u64,
    /// Term at that index.
    #[prost(uint64, tag = "4")]
    pub previous_term: u64,
    /// Index up to which the log is committed.
    #[prost(uint64, tag = "5")]
    pub commit: u64,
    /// The entries.
    #[prost(message, repeated, tag = "6")]
    pub entries: Vec<LogEntry>,
    /// Counts the rounds of the leader, for its lease.
    #[prost(uint64, tag = "7")]
    pub round: u64,
    /// Receiver.
    #[prost(string, tag = "8")]
    pub to: String,
}

/// Whether entries were appended.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AppendReply {
    /// Sender; sender and receiver are both empty if they are the last ones named by a message
    /// between members on this connection.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Term of the sender.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Whether they were appended and synced.
    #[prost(bool, tag = "3")]
    pub success: bool,
    /// Last index known to agree.
    #[prost(uint64, tag = "4")]
    pub match_index: u64,
    /// Where the leader may try next.
    #[prost(uint64, tag = "5")]
    pub hint_index: u64,
    /// Round that is answered.
    #[prost(uint64, tag = "6")]
    pub round: u64,
    /// Receiver.
    #[prost(string, tag = "7")]
    pub to: String,
    /// Data centre of the sender; empty if the names are empty.
    #[prost(string, tag = "8")]
    pub data_centre: String,
}

/// A piece of a snapshot.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotChunk {
    /// Sender; sender and receiver are both empty if they are the last ones named by a message
    /// between members on this connection.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Term of the leader.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Last index in the snapshot.
    #[prost(uint64, tag = "3")]
    pub last_index: u64,
    /// Term at that index.
    #[prost(uint64, tag = "4")]
    pub last_term: u64,
    /// Offset of this piece, in bytes.
    #[prost(uint64, tag = "5")]
    pub offset: u64,
    /// Length of the whole, in bytes.
    #[prost(uint64, tag = "6")]
    pub total: u64,
    /// The piece.
    #[prost(bytes = "bytes", tag = "7")]
    pub bytes: bytes::Bytes,
    /// Encoded membership at that index.
    #[prost(bytes = "bytes", tag = "8")]
    pub members: bytes::Bytes,
    /// Round of the leader.
    #[prost(uint64, tag = "9")]
    pub round: u64,
    /// Receiver.
    #[prost(string, tag = "10")]
    pub to: String,
}

/// How much of a snapshot has been received.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SnapshotReply {
    /// Sender; sender and receiver are both empty if they are the last ones named by a message
    /// between members on this connection.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Term of the sender.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Last index of that snapshot.
    #[prost(uint64, tag = "3")]
    pub last_index: u64,
    /// Offset of the next chunk to send.
    #[prost(uint64, tag = "4")]
    pub next_offset: u64,
    /// Whether all of it is synced.
    #[prost(bool, tag = "5")]
    pub done: bool,
    /// Round that is answered.
    #[prost(uint64, tag = "6")]
    pub round: u64,
    /// Receiver.
    #[prost(string, tag = "7")]
    pub to: String,
}
