//! The JSON schema of the document, for editors and other programs.

use schemars::{
    JsonSchema,
    schema_for, //
};
use serde::Serialize;
use serde_json::Value;

use super::{
    DataCentreState,
    ReadConsistency, //
};

/// Returns the JSON schema of the document.
///
/// The schema gives the shape; references between sections are checked by the validation alone.
pub fn document_schema() -> Value {
    schema_for!(DocumentShape).to_value()
}

/// The configuration document of a daisyseam fleet.
#[derive(JsonSchema, Serialize)]
#[schemars(rename = "Document", deny_unknown_fields)]
struct DocumentShape {
    /// Number of this document; it replaces the one before it.
    #[schemars(range(min = 1))]
    number: u64,
    /// The cluster it is for.
    cluster: String,
    /// Limits that hold for every organisation.
    limits: Option<LimitsShape>,
    /// Regions.
    region: Vec<RegionShape>,
    /// Data centres; at least one is active.
    data_centre: Vec<DataCentreShape>,
    /// Database groups.
    group: Vec<GroupShape>,
    /// Services that callers connect to.
    service: Vec<ServiceShape>,
    /// Organisations.
    organisation: Option<Vec<OrganisationShape>>,
    /// Routes that need no key.
    open_route: Option<Vec<OpenRouteShape>>,
}

#[derive(JsonSchema, Serialize)]
#[schemars(deny_unknown_fields)]
struct LimitsShape {
    /// Largest message from a caller, in bytes.
    message_bytes: Option<u64>,
    /// Most caller connections on one instance.
    connections_per_instance: Option<u64>,
    /// Longest time a statement may run, in milliseconds.
    statement_timeout_ms: Option<u64>,
    /// Longest time a statement may wait for a slot, in milliseconds.
    queue_timeout_ms: Option<u64>,
    /// Longest time a transaction may sit idle, in milliseconds.
    idle_in_transaction_timeout_ms: Option<u64>,
    /// Most statements that wait for one database.
    queue_length: Option<u64>,
    /// Round trip time to another data centre of the same region, in milliseconds.
    #[schemars(range(min = 0, max = 60_000))]
    region_round_trip_ms: Option<u64>,
    /// Round trip time to another region, in milliseconds.
    #[schemars(range(min = 0, max = 60_000))]
    far_round_trip_ms: Option<u64>,
    /// Time that a read must gain to leave the data centre, in milliseconds.
    #[schemars(range(min = 0, max = 60_000))]
    read_leave_data_centre_ms: Option<u64>,
    /// Time that a read must gain to leave the region, in addition, in milliseconds.
    #[schemars(range(min = 0, max = 60_000))]
    read_leave_region_ms: Option<u64>,
    /// Time that a read must gain to use the primary, in milliseconds.
    #[schemars(range(min = 0, max = 60_000))]
    read_use_primary_ms: Option<u64>,
}

#[derive(JsonSchema, Serialize)]
#[schemars(deny_unknown_fields)]
struct RegionShape {
    /// Name.
    name: String,
}

#[derive(JsonSchema, Serialize)]
#[schemars(deny_unknown_fields)]
struct DataCentreShape {
    /// Name.
    name: String,
    /// Region it lies in.
    region: String,
    /// Whether it takes new work; active when missing.
    state: Option<DataCentreState>,
}

#[derive(JsonSchema, Serialize)]
#[schemars(deny_unknown_fields)]
struct GroupShape {
    /// Name.
    name: String,
    /// How many databases belong to it; as many as announce themselves when missing, which needs
    /// `acknowledging_replicas`.
    #[schemars(range(min = 0, max = 31))]
    databases: Option<u64>,
    /// Connections that each database admits for the whole fleet.
    #[schemars(range(min = 1, max = 10_000))]
    slots: u64,
    /// Statements a second that one database is rated for.
    capacity: Option<f64>,
    /// Replicas that have a commit before the primary acknowledges it; when missing, a majority of
    /// the databases is asked for each commit.
    #[schemars(range(min = 0, max = 31))]
    acknowledging_replicas: Option<u64>,
}

#[derive(JsonSchema, Serialize)]
#[schemars(deny_unknown_fields)]
struct ServiceShape {
    /// Name that callers give as their database.
    name: String,
    /// Group that serves it.
    group: String,
    /// Which commits its reads must see; those of the session when missing.
    consistency: Option<ReadConsistency>,
    /// Greatest age of the data that a read may see, in milliseconds.
    max_staleness_ms: Option<u64>,
    /// Longest time one statement may run, in milliseconds.
    statement_timeout_ms: Option<u64>,
    /// Time within which a request should be answered, in milliseconds.
    target_latency_ms: Option<u64>,
    /// Urgency among services; 0 is the highest.
    #[schemars(range(min = 0, max = 1_000))]
    priority: Option<u64>,
    /// Whether callers need no key.
    public: Option<bool>,
}

#[derive(JsonSchema, Serialize)]
#[schemars(deny_unknown_fields)]
struct OrganisationShape {
    /// Name that callers give as their user.
    name: String,
    /// Share of a busy database; 1 when missing.
    #[schemars(range(min = 1, max = 1_000_000))]
    weight: Option<u64>,
    /// Statements a second over the whole fleet.
    rate: f64,
    /// Statements that may come at once, over the whole fleet.
    burst: f64,
    /// Services it may use; all when missing.
    services: Option<Vec<String>>,
    /// Keys it may show.
    key: Option<Vec<KeyShape>>,
}

#[derive(JsonSchema, Serialize)]
#[schemars(deny_unknown_fields)]
struct KeyShape {
    /// `sha256:` and 64 hexadecimal digits.
    #[schemars(regex(pattern = "^sha256:[0-9a-fA-F]{64}$"))]
    hash: String,
    /// Time from which it works, with an offset.
    not_before: Option<String>,
    /// Time from which it no longer works, with an offset.
    not_after: Option<String>,
}

#[derive(JsonSchema, Serialize)]
#[schemars(deny_unknown_fields)]
struct OpenRouteShape {
    /// Service that it reads from.
    service: String,
    /// Tables that may be read.
    tables: Vec<String>,
    /// Statements a second over the whole fleet.
    rate: f64,
    /// Statements that may come at once, over the whole fleet.
    burst: f64,
}
