//! Messages between entry instances: links to databases that a peer holds, and their positions.
//!
//! One connection carries one link at a time. A link belongs to (incarnation of the requester,
//! request number); an answer under another pair closes the connection.

/// A place in a group's history.
#[derive(Clone, Copy, Eq, PartialEq, prost::Message)]
pub struct WirePosition {
    /// Term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Offset in the log.
    #[prost(uint64, tag = "2")]
    pub position: u64,
}

/// Any message between entry instances.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerMessage {
    /// Incarnation of the instance that asked.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Number of the request, counted by the instance that asked.
    #[prost(uint64, tag = "2")]
    pub request: u64,
    /// The message proper.
    #[prost(
        oneof = "peer_message::Body",
        tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13"
    )]
    pub body: Option<peer_message::Body>,
}

/// The bodies of a [`PeerMessage`].
pub mod peer_message {
    /// One message between entry instances.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// Asks for a connection to a database.
        #[prost(message, tag = "3")]
        Open(super::LinkRequest),
        /// The connection is granted.
        #[prost(message, tag = "4")]
        Granted(super::LinkGranted),
        /// The connection is refused; nothing was run.
        #[prost(message, tag = "5")]
        Refused(super::LinkRefused),
        /// Protocol bytes towards the database.
        #[prost(message, tag = "6")]
        Request(super::LinkData),
        /// Protocol bytes from the database.
        #[prost(message, tag = "7")]
        Reply(super::LinkReply),
        /// Gives the connection back.
        #[prost(message, tag = "8")]
        Release(super::LinkRelease),
        /// Asks the database to cancel what the link is running.
        #[prost(message, tag = "9")]
        Cancel(super::CancelLink),
        /// Asks to be told when a database has reached a position.
        #[prost(message, tag = "10")]
        Await(super::AwaitRequest),
        /// The position was reached, or not.
        #[prost(message, tag = "11")]
        Awaited(super::AwaitReply),
        /// Asks for a database's present position.
        #[prost(message, tag = "12")]
        Probe(super::ProbeRequest),
        /// A database's present position.
        #[prost(message, tag = "13")]
        Probed(super::ProbeReply),
    }
}

/// Asks the holder of a database for one of its connections.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LinkRequest {
    /// Database.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Organisation on whose behalf, `open` for an open route.
    #[prost(string, tag = "2")]
    pub organisation: String,
    /// Term in which the database must be primary; 0 for any role.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Position that the database must have reached.
    #[prost(message, optional, tag = "4")]
    pub floor: Option<WirePosition>,
    /// Greatest measured age of the data, in milliseconds; 0 for no bound.
    #[prost(uint64, tag = "5")]
    pub max_age_ms: u64,
    /// Longest wait for a connection, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub queue_ms: u64,
    /// Longest wait for the position, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub catch_up_ms: u64,
    /// Trace context of the caller's request, as `traceparent` writes it; may be empty.
    #[prost(string, tag = "8")]
    pub traceparent: String,
}

/// The connection is granted.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LinkGranted {
    /// Position of the database at that moment.
    #[prost(message, optional, tag = "1")]
    pub position: Option<WirePosition>,
    /// Time spent in the queue, in microseconds.
    #[prost(uint64, tag = "2")]
    pub queued_us: u64,
}

/// The connection is refused; nothing was run.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LinkRefused {
    /// Label of the error kind.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// Words.
    #[prost(string, tag = "2")]
    pub detail: String,
    /// Time after which a retry makes sense, in milliseconds; 0 for none.
    #[prost(uint64, tag = "3")]
    pub retry_after_ms: u64,
    /// Position of the database, if it is behind the floor.
    #[prost(message, optional, tag = "4")]
    pub position: Option<WirePosition>,
}

/// Encoded frontend messages, whole ones only.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LinkData {
    /// The bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub bytes: bytes::Bytes,
}

/// Encoded backend messages, whole ones only.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LinkReply {
    /// The bytes; empty with `lost` set when the database's connection broke.
    #[prost(bytes = "bytes", tag = "1")]
    pub bytes: bytes::Bytes,
    /// Whether the database's connection is lost.
    #[prost(bool, tag = "2")]
    pub lost: bool,
}

/// Gives a link back.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LinkRelease {
    /// Whether the requester saw the last answer and no transaction is open.
    #[prost(bool, tag = "1")]
    pub clean: bool,
}

/// Asks the database to cancel what the link is running.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CancelLink {
    /// Number of the request that is to be cancelled.
    #[prost(uint64, tag = "1")]
    pub target: u64,
}

/// Asks to be told when a database has reached a position.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AwaitRequest {
    /// Database.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Position that must be reached, in exactly this term.
    #[prost(message, optional, tag = "2")]
    pub position: Option<WirePosition>,
    /// Longest wait, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub wait_ms: u64,
}

/// The position was reached, or not.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AwaitReply {
    /// Whether it was reached.
    #[prost(bool, tag = "1")]
    pub reached: bool,
    /// The database's position.
    #[prost(message, optional, tag = "2")]
    pub position: Option<WirePosition>,
}

/// Asks for a database's present position, read after the request came in.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ProbeRequest {
    /// Database.
    #[prost(string, tag = "1")]
    pub upstream: String,
}

/// A database's position.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ProbeReply {
    /// The position; none if the database did not answer.
    #[prost(message, optional, tag = "1")]
    pub position: Option<WirePosition>,
    /// Whether it is a replica.
    #[prost(bool, tag = "2")]
    pub replica: bool,
}
