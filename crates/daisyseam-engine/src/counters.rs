//! Names of the engine's counters. Errors are counted under the labels of their kinds.

/// Requests answered without an error.
pub(crate) const ANSWERED: &str = "answered";

/// Idle connections reused.
pub(crate) const CONNECTION_REUSED: &str = "connection_reused";

/// Connections opened.
pub(crate) const CONNECTION_OPENED: &str = "connection_opened";

/// Connections not opened because the database was unreachable or refused.
pub(crate) const CONNECTION_FAILED: &str = "connection_failed";

/// Connections not opened because the database has reached its connection limit.
pub(crate) const CONNECTION_OVER_LIMIT: &str = "connection_over_limit";

/// Requests that waited for a connection from the pool.
pub(crate) const CONNECTION_WAITED: &str = "connection_waited";

/// Requests that got no connection from the pool in time.
pub(crate) const CONNECTION_NONE_FREE: &str = "connection_none_free";

/// Commits that a primary acknowledged and that enough listed replicas were found to have.
pub(crate) const COMMIT_CONFIRMED: &str = "commit_confirmed";

/// Commits that a primary acknowledged and whose outcome was reported as unknown.
pub(crate) const COMMIT_UNCONFIRMED: &str = "commit_unconfirmed";

/// Queries for the end of a database's log.
pub(crate) const LOG_END_QUERIED: &str = "log_end_queried";

/// Checks that a database of whose log no position is known leads.
pub(crate) const PRIMARY_CHECKED: &str = "primary_checked";

/// Links opened to connections that other instances hold.
pub(crate) const LINK_RELAYED: &str = "link_relayed";

/// Links not opened because no holder could be reached.
pub(crate) const LINK_NO_HOLDER: &str = "link_no_holder";

/// Calls made for other instances.
pub(crate) const CALL_RELAYED: &str = "call_relayed";

/// Requests that asked another instance for a token.
pub(crate) const TOKEN_RELAYED: &str = "token_relayed";

/// Requests whose home of the rate did not answer, so that control was asked instead.
pub(crate) const TOKEN_NO_HOME: &str = "token_no_home";

/// Requests rejected because they would not get a connection from the pool in time.
pub(crate) const CONNECTION_REJECTED: &str = "connection_rejected";

/// Requests that waited and were refused in favour of more urgent ones or of organisations that use
/// less.
pub(crate) const CONNECTION_SHED: &str = "connection_shed";

/// Requests that got a connection, by the priority of their service; the last stands for all less
/// urgent ones. Counted where requests wait by urgency.
pub(crate) const QUEUE_SERVED: [&str; 4] = [
    "queue_served_0",
    "queue_served_1",
    "queue_served_2",
    "queue_served_rest",
];

/// Requests that got no connection in time, by the priority of their service.
pub(crate) const QUEUE_REFUSED: [&str; 4] = [
    "queue_refused_0",
    "queue_refused_1",
    "queue_refused_2",
    "queue_refused_rest",
];

/// Statements refused by a database because it is overloaded.
pub(crate) const DATABASE_BUSY: &str = "database_busy";

/// Attempts of reads that replicas may serve, sent to a database of the same data centre.
pub(crate) const READ_SAME_DATA_CENTRE: &str = "read_same_data_centre";

/// Those sent to another data centre of the same region.
pub(crate) const READ_SAME_REGION: &str = "read_same_region";

/// Those sent to another region.
pub(crate) const READ_OTHER_REGION: &str = "read_other_region";
