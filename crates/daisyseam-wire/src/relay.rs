//! Messages between an instance and the holder of a database's connections, independent of the
//! protocol that the database speaks.
//!
//! One connection carries either one link at a time or, once its first message asks for a token, any
//! number of such requests. A link is opened by the first call and stays open
//! while a transaction is open on the database; closing the connection ends it.

use crate::WirePosition;

/// Any message of a relay connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayMessage {
    /// Number of the call, counted by the instance that asked.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The message proper.
    #[prost(oneof = "relay_message::Body", tags = "2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<relay_message::Body>,
}

/// The bodies of a [`RelayMessage`].
pub mod relay_message {
    /// One message between an instance and a holder.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// A call to a database.
        #[prost(message, tag = "2")]
        Call(super::RelayCall),
        /// The reply of the database.
        #[prost(message, tag = "3")]
        Reply(super::RelayReply),
        /// The call got no reply from the database.
        #[prost(message, tag = "4")]
        Failure(super::RelayFailure),
        /// Checks that the holder responds.
        #[prost(message, tag = "5")]
        Ping(super::RelayPing),
        /// The holder responds.
        #[prost(message, tag = "6")]
        Pong(super::RelayPong),
        /// Asks for a token of a rate limit.
        #[prost(message, tag = "7")]
        Admit(super::RelayAdmit),
        /// Whether the request may run.
        #[prost(message, tag = "8")]
        Admitted(super::RelayAdmitted),
    }
}

/// A call to a database. The fields up to `connect_ms` count only if no link is open.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayCall {
    /// Database.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// When the database's process started, in milliseconds since 1970.
    #[prost(uint64, tag = "2")]
    pub born_ms: u64,
    /// Organisation that the connection is for; empty for none.
    #[prost(string, tag = "3")]
    pub organisation: String,
    /// Longest wait for a connection or the permission to open one, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub wait_ms: u32,
    /// Longest time for opening a connection, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub connect_ms: u32,
    /// Term in which the database must be primary; 0 if any role will do.
    #[prost(uint64, tag = "6")]
    pub term: u64,
    /// Time until the deadline of the call, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub deadline_ms: u32,
    /// Identifier of the caller's request; empty for a call made by the proxy itself.
    #[prost(bytes = "bytes", tag = "8")]
    pub id: bytes::Bytes,
    /// Position that the database's log must have reached.
    #[prost(message, optional, tag = "9")]
    pub at_least: Option<WirePosition>,
    /// Condition checked immediately before the call is sent.
    #[prost(enumeration = "RelayFence", tag = "10")]
    pub fence: i32,
    /// Session values that must be set.
    #[prost(message, repeated, tag = "11")]
    pub values: Vec<RelayValue>,
    /// Operation.
    #[prost(enumeration = "RelayVerb", tag = "12")]
    pub verb: i32,
    /// Statement text of `RunText` and of the `ExecutePrepared` verbs.
    #[prost(bytes = "bytes", tag = "13")]
    pub text: bytes::Bytes,
    /// Arguments of the `ExecutePrepared` verbs.
    #[prost(bytes = "bytes", tag = "14")]
    pub arguments: bytes::Bytes,
    /// Priority of the service, plus 1; 0 from an instance that does not send it, which counts as
    /// the most urgent. Counts only if no link is open.
    #[prost(uint32, tag = "15")]
    pub priority: u32,
    /// Time until the target latency of the request, in milliseconds. Counts only if no link is
    /// open.
    #[prost(uint32, tag = "16")]
    pub target_ms: u32,
}

/// A session value.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayValue {
    /// Name.
    #[prost(bytes = "bytes", tag = "1")]
    pub name: bytes::Bytes,
    /// Value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: bytes::Bytes,
}

/// The operation of a [`RelayCall`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub enum RelayVerb {
    /// Opens a connection and runs nothing.
    Check = 0,
    /// Begins a transaction that reads and writes.
    BeginReadWrite = 1,
    /// Begins a transaction that only reads.
    BeginReadOnly = 2,
    /// Commits the open transaction.
    Commit = 3,
    /// Rolls the open transaction back.
    Rollback = 4,
    /// Runs a statement given as text.
    RunText = 5,
    /// Prepares a reading statement unless it is prepared already, and runs it.
    ExecutePreparedRead = 6,
    /// Prepares a writing statement unless it is prepared already, and runs it.
    ExecutePreparedWrite = 7,
    /// Waits until the log of the database has reached `at_least`, or until the deadline, and
    /// returns the last known end of the log.
    AwaitEnd = 8,
}

/// Condition checked immediately before a call is sent to the database.
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub enum RelayFence {
    /// None.
    Nothing = 0,
    /// The primary leads its term according to the view.
    Leads = 1,
    /// The primary leads its term, under a valid lease.
    Leased = 2,
    /// The database also accepts new work.
    NewReads = 3,
    /// In addition, the primary is not draining for a planned move.
    NewWrites = 4,
}

/// The reply of a database.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayReply {
    /// Rows, in order.
    #[prost(bytes = "bytes", repeated, tag = "1")]
    pub rows: Vec<bytes::Bytes>,
    /// The database's receipt, if it succeeded.
    #[prost(bytes = "bytes", tag = "2")]
    pub receipt: bytes::Bytes,
    /// Why the database refused or failed, otherwise.
    #[prost(message, optional, tag = "3")]
    pub refusal: Option<RelayRefusal>,
    /// Transaction state after the call: 0 idle, 1 open, 2 failed.
    #[prost(uint32, tag = "4")]
    pub state: u32,
    /// Position of the database's log, if it reported one.
    #[prost(message, optional, tag = "5")]
    pub position: Option<WirePosition>,
    /// Expected wait of a new call at the holder, in milliseconds, as sent + 1; 0 is unknown.
    #[prost(uint32, tag = "6")]
    pub wait_ms: u32,
}

/// An error reported by a database.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayRefusal {
    /// Kind of refusal, as numbered by the engine.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Message from the database.
    #[prost(string, tag = "2")]
    pub detail: String,
}

/// Why a call got no reply from the database.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RelayFailure {
    /// The reason.
    #[prost(enumeration = "RelayFailureKind", tag = "1")]
    pub kind: i32,
    /// Kind of refusal with `ConnectionRefused`, as numbered by the engine.
    #[prost(uint32, tag = "2")]
    pub refusal: u32,
    /// Time after which a retry is expected to succeed, with `Exhausted`, in milliseconds; 0 if
    /// unknown.
    #[prost(uint32, tag = "3")]
    pub retry_after_ms: u32,
    /// Expected wait of a new call at the holder, in milliseconds, as sent + 1; 0 is unknown.
    #[prost(uint32, tag = "4")]
    pub wait_ms: u32,
}

/// Reasons of a [`RelayFailure`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub enum RelayFailureKind {
    /// The call was malformed; not run.
    Malformed = 0,
    /// The instance does not hold connections to the database; not run.
    NotHolder = 1,
    /// No connection became free in time; not run.
    Exhausted = 2,
    /// The database cannot be reached from the holder; not run.
    Unreachable = 3,
    /// The database refused the connection; not run.
    ConnectionRefused = 4,
    /// The connection could not be set up or broke before the call was sent; not run.
    NotSent = 5,
    /// The view or the lease of the holder does not allow the call; not run.
    Fenced = 6,
    /// The call was sent, and the connection broke.
    Lost = 7,
    /// The call was sent, and no reply came in time.
    TimedOut = 8,
}

/// Checks that the holder responds.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RelayPing {}

/// The holder responds.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RelayPong {}

/// Asks a home of a rate limit for a token.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RelayAdmit {
    /// Owner of the rate.
    #[prost(string, tag = "1")]
    pub rate: String,
    /// Longest wait for a token, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub token_ms: u32,
    /// Longest wait for a lease or a share that the home lacks, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub share_ms: u32,
    /// One more than the priority of the service; 0 from an instance that does not know it, which
    /// counts as the most urgent.
    #[prost(uint32, tag = "4")]
    pub priority: u32,
}

/// Answers a [`RelayAdmit`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RelayAdmitted {
    /// The outcome.
    #[prost(enumeration = "AdmitOutcome", tag = "1")]
    pub outcome: i32,
    /// Time after which a refused request may be repeated, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub retry_after_ms: u32,
}

/// Outcome of a [`RelayAdmit`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, prost::Enumeration)]
#[repr(i32)]
pub enum AdmitOutcome {
    /// The home cannot tell: it is stopping, or lacks the rate or a lease.
    Unknown = 0,
    /// The request has a token.
    Granted = 1,
    /// The rate is exceeded.
    Exceeded = 2,
}
