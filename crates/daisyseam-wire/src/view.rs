//! Messages that carry the view, either whole or as the changes since an earlier view.

/// Changes from one view to another, or a whole view.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireView {
    /// Number of the resulting view.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Number of the view that the changes apply to; 0 for a whole view.
    #[prost(uint64, tag = "2")]
    pub since: u64,
    /// Number of the document in force.
    #[prost(uint64, tag = "3")]
    pub document_number: u64,
    /// The document, if it has changed.
    #[prost(message, optional, tag = "4")]
    pub document: Option<DocumentPatch>,
    /// Changed groups.
    #[prost(message, repeated, tag = "5")]
    pub groups: Vec<WireGroup>,
    /// Changed databases.
    #[prost(message, repeated, tag = "6")]
    pub upstreams: Vec<WireUpstream>,
    /// Changed instances.
    #[prost(message, repeated, tag = "7")]
    pub instances: Vec<WireInstance>,
    /// Digest of the resulting view.
    #[prost(uint64, tag = "8")]
    pub digest: u64,
    /// All data centres that an order took out of service.
    #[prost(string, repeated, tag = "9")]
    pub evacuated: Vec<String>,
}

/// A document as a change of an earlier one: keeps the start and the end and replaces the text between.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DocumentPatch {
    /// Number of the document that it changes; 0 for a whole text.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// Bytes kept at the start.
    #[prost(uint64, tag = "2")]
    pub keep_head: u64,
    /// Bytes kept at the end.
    #[prost(uint64, tag = "3")]
    pub keep_tail: u64,
    /// Text between them.
    #[prost(string, tag = "4")]
    pub middle: String,
}

/// A group.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireGroup {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Whether it has been removed.
    #[prost(bool, tag = "2")]
    pub removed: bool,
    /// Highest term given.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// 0 fenced, 1 draining, 2 active.
    #[prost(uint32, tag = "4")]
    pub state: u32,
    /// Primary, unless fenced.
    #[prost(string, tag = "5")]
    pub primary: String,
    /// Term of the start of the lineage.
    #[prost(uint64, tag = "6")]
    pub lineage_term: u64,
    /// Position of the start of the lineage.
    #[prost(uint64, tag = "7")]
    pub lineage_position: u64,
}

/// A database.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireUpstream {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Whether it has been removed.
    #[prost(bool, tag = "2")]
    pub removed: bool,
    /// Group.
    #[prost(string, tag = "3")]
    pub group: String,
    /// Data centre.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// Address of its PostgreSQL port.
    #[prost(string, tag = "5")]
    pub address: String,
    /// Address of its HTTP port.
    #[prost(string, tag = "6")]
    pub admin_address: String,
    /// Holder, or empty.
    #[prost(string, tag = "7")]
    pub holder: String,
    /// Whether it is leaving.
    #[prost(bool, tag = "8")]
    pub leaving: bool,
    /// When its process started, in milliseconds since 1970; 0 if unknown.
    #[prost(uint64, tag = "9")]
    pub born_ms: u64,
    /// Whether its copies of commits count. Missing in views of earlier program versions, which count
    /// the copies of all databases.
    #[prost(bool, optional, tag = "10")]
    pub voter: Option<bool>,
}

/// An entry instance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WireInstance {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Whether it has been removed.
    #[prost(bool, tag = "2")]
    pub removed: bool,
    /// Incarnation.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Data centre.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// Address for peers.
    #[prost(string, tag = "5")]
    pub peer_address: String,
    /// Whether it is stopping.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
}
