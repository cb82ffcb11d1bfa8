//! Orders that a front of the product may bring to control besides documents of the console.

use crate::UpstreamReport;

/// Submits a document that takes effect if its number is above the one in force.
///
/// A number that is not higher is acknowledged and changes nothing, so that a resend, a late copy
/// and the loser of a race all get a clear answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SubmitNewestRequest {
    /// Number of the document.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The document.
    #[prost(string, tag = "2")]
    pub text: String,
    /// What the document was made from, kept beside it and shown again byte by byte.
    #[prost(string, tag = "3")]
    pub source: String,
    /// Who submits it, for the history.
    #[prost(string, tag = "4")]
    pub operator: String,
}

/// What became of a [`SubmitNewestRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct SubmitNewestReply {
    /// Whether it is acknowledged: it, or a document with the same or a higher number, is in force.
    #[prost(bool, tag = "1")]
    pub acknowledged: bool,
    /// Number of the document now in force.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Problems of the document, one a line; it is refused if there is one.
    #[prost(string, repeated, tag = "3")]
    pub problems: Vec<String>,
}

/// Asks for the source of the newest document; only the leader answers, after a read point.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SourceRequest {}

/// The source of the newest document.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SourceReply {
    /// Its number; 0 if there is none.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// What it was made from.
    #[prost(string, tag = "2")]
    pub source: String,
}

/// Passes an announcement of a database on to control.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AnnounceRequest {
    /// The announcement.
    #[prost(message, optional, tag = "1")]
    pub report: Option<UpstreamReport>,
    /// Whether the database is gone for good.
    #[prost(bool, tag = "2")]
    pub gone: bool,
}

/// The announcement is known, and what it changes is durable.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AnnounceReply {}

/// Takes a data centre out of service, or brings it back.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EvacuateRequest {
    /// The data centre.
    #[prost(string, tag = "1")]
    pub data_centre: String,
    /// Whether it is taken out; else it comes back.
    #[prost(bool, tag = "2")]
    pub out: bool,
}

/// The order on a data centre is durable.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EvacuateReply {
    /// Whether the data centre is in the document; an unknown one is refused.
    #[prost(bool, tag = "1")]
    pub known: bool,
}
