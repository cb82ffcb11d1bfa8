//! The configuration document, which operators edit and submit.

mod parse;
mod problem;
mod read;
mod schema;

pub use self::{
    problem::{
        Problem,
        Severity, //
    },
    schema::document_schema, //
};
use crate::{
    ClusterId,
    DataCentreId,
    DocumentNumber,
    GroupId,
    OrganisationId,
    RegionId,
    ServiceId, //
};
use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;
use std::{
    collections::BTreeMap,
    time::Duration, //
};
use time::OffsetDateTime;

/// Largest accepted document text, in bytes.
pub const DOCUMENT_BYTES_MAX: usize = 4 << 20;

/// A validated document.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// Its own number.
    pub number: DocumentNumber,
    /// The cluster it is for.
    pub cluster: ClusterId,
    /// Limits that hold for every organisation.
    pub limits: RequestLimits,
    /// Regions, by name.
    pub regions: BTreeMap<RegionId, RegionEntry>,
    /// Data centres, by name.
    pub data_centres: BTreeMap<DataCentreId, DataCentreEntry>,
    /// Database groups, by name.
    pub groups: BTreeMap<GroupId, GroupEntry>,
    /// Services that callers connect to, by name.
    pub services: BTreeMap<ServiceId, ServiceEntry>,
    /// Organisations, by name.
    pub organisations: BTreeMap<OrganisationId, OrganisationEntry>,
    /// Routes that need no key, by service.
    pub open_routes: BTreeMap<ServiceId, OpenRoute>,
}

/// Limits that hold for every organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestLimits {
    /// Largest message from a caller, in bytes.
    pub message_bytes: usize,
    /// Most caller connections on one instance.
    pub connections_per_instance: usize,
    /// Longest time a statement may run.
    pub statement_timeout: Duration,
    /// Longest time a statement may wait for a slot.
    pub queue_timeout: Duration,
    /// Longest time a transaction may sit idle while it holds a slot.
    pub idle_in_transaction_timeout: Duration,
    /// Most statements that wait for one database.
    pub queue_length: usize,
    /// What a read must gain to be sent further than to the nearest replica.
    pub reads: ReadCosts,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            message_bytes: 16 << 20,
            connections_per_instance: 10_000,
            statement_timeout: Duration::from_secs(30),
            queue_timeout: Duration::from_secs(5),
            idle_in_transaction_timeout: Duration::from_secs(30),
            queue_length: 1_024,
            reads: ReadCosts::default(),
        }
    }
}

/// Costs of the databases that may serve a read, as time that the read must gain.
///
/// The defaults keep reads at the nearest replica while its queue is empty.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadCosts {
    /// Round trip time to another data centre of the same region.
    pub region_round_trip: Duration,
    /// Round trip time to another region.
    pub far_round_trip: Duration,
    /// Gain required for leaving the data centre.
    pub leave_data_centre: Duration,
    /// Gain required for leaving the region, in addition.
    pub leave_region: Duration,
    /// Gain required for using the primary, which writes need.
    pub use_primary: Duration,
}

impl Default for ReadCosts {
    fn default() -> Self {
        Self {
            region_round_trip: Duration::from_millis(2),
            far_round_trip: Duration::from_millis(40),
            leave_data_centre: Duration::from_millis(2),
            leave_region: Duration::from_millis(20),
            use_primary: Duration::from_millis(5),
        }
    }
}

/// A region.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionEntry {}

/// A data centre and whether it takes work.
#[derive(Clone, Debug, PartialEq)]
pub struct DataCentreEntry {
    /// Region it lies in.
    pub region: RegionId,
    /// Whether it is in service.
    pub state: DataCentreState,
}

/// Whether a data centre takes new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum DataCentreState {
    /// In service.
    #[default]
    Active,
    /// Taken out: no new work after a few seconds, primaries move away.
    Out,
}

/// A database group.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupEntry {
    /// How many databases belong to it at least; a majority is counted from this number. 0 stands
    /// for as many as announce themselves, which only [`CommitPolicy::Replicas`] allows.
    pub databases: usize,
    /// Connections that each database admits for the whole fleet.
    pub slots: usize,
    /// When a commit counts as durable.
    pub commit: CommitPolicy,
    /// Statements a second that one database is rated for, if stated.
    pub capacity: Option<f64>,
}

/// When a commit of a group counts as durable.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CommitPolicy {
    /// A majority of the databases reports its position; the entry asks them.
    #[default]
    Majority,
    /// The primary acknowledges it once so many replicas have received it.
    Replicas(usize),
}

impl CommitPolicy {
    /// Returns how many copies of `members` an acknowledged commit is on, the primary included.
    pub fn copies(self, members: usize) -> usize {
        match self {
            Self::Majority => members / 2 + 1,
            Self::Replicas(replicas) => (replicas + 1).min(members.max(1)),
        }
    }
}

/// Which commits the reads of a service must see.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ReadConsistency {
    /// Every acknowledged commit: reads go to the primary.
    Primary,
    /// The session's own commits, and all commits older than the staleness bound.
    #[default]
    Session,
    /// All commits older than the staleness bound.
    Bounded,
}

/// A service: the name that callers give as their database.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    /// Group that serves it.
    pub group: GroupId,
    /// Which commits its reads must see.
    pub consistency: ReadConsistency,
    /// Greatest age of the data that a read may see; none for no bound.
    pub max_staleness: Option<Duration>,
    /// Longest time one statement may run, if it differs from the limit for all.
    pub statement_timeout: Option<Duration>,
    /// Time within which a request should be answered, if stated.
    pub target_latency: Option<Duration>,
    /// Urgency among services; 0 is the highest.
    pub priority: u32,
    /// Whether callers need no key.
    pub public: bool,
}

impl ServiceEntry {
    /// Makes an entry with the defaults of the document.
    pub fn of_group(group: GroupId) -> Self {
        Self {
            group,
            consistency: ReadConsistency::default(),
            max_staleness: None,
            statement_timeout: None,
            target_latency: None,
            priority: 0,
            public: false,
        }
    }
}

/// An organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationEntry {
    /// Share of a busy database, relative to the other organisations.
    pub weight: u32,
    /// Statements a second over the whole fleet.
    pub rate: f64,
    /// Statements that may come at once, over the whole fleet.
    pub burst: f64,
    /// Services it may use; empty means all.
    pub services: SmallVec<[ServiceId; 4]>,
    /// Keys it may show.
    pub keys: SmallVec<[KeyEntry; 2]>,
}

/// A key of an organisation, as a hash.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyEntry {
    /// SHA-256 of the key.
    pub hash: [u8; 32],
    /// Time from which it works.
    pub not_before: Option<OffsetDateTime>,
    /// Time from which it no longer works.
    pub not_after: Option<OffsetDateTime>,
}

/// A route that needs no key: read only, on some tables of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenRoute {
    /// Tables that may be read.
    pub tables: SmallVec<[String; 4]>,
    /// Statements a second over the whole fleet.
    pub rate: f64,
    /// Statements that may come at once, over the whole fleet.
    pub burst: f64,
}

impl Document {
    /// Reads and validates a document's text.
    ///
    /// # Errors
    ///
    /// Every problem that was found, in the order of the text, at least one of them an error.
    /// Warnings alone do not refuse a document; [`Document::check`] lists them.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        let (document, problems) = Self::check(text);
        match document {
            Some(document) => Ok(document),
            None => Err(problems),
        }
    }

    /// Reads and validates a document's text and lists warnings too.
    ///
    /// There is a document exactly when no problem is an error.
    pub fn check(text: &str) -> (Option<Self>, Vec<Problem>) {
        parse::check(text)
    }
}
