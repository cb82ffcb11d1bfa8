//! Names of the engine's counters. Refusals are counted under the labels of their kinds besides.

/// A request was answered without an error.
pub(crate) const ANSWERED: &str = "answered";

/// An idle connection to a database was used again.
pub(crate) const CONNECTION_REUSED: &str = "connection_reused";

/// A connection to a database was opened.
pub(crate) const CONNECTION_OPENED: &str = "connection_opened";

/// A connection could not be opened: the database could not be reached or did not want it.
pub(crate) const CONNECTION_FAILED: &str = "connection_failed";

/// A connection could not be opened: the database has as many as it admits.
pub(crate) const CONNECTION_OVER_LIMIT: &str = "connection_over_limit";

/// A request had to wait for a place among the connections to a database.
pub(crate) const CONNECTION_WAITED: &str = "connection_waited";

/// No place among the connections to a database came free in time.
pub(crate) const CONNECTION_NONE_FREE: &str = "connection_none_free";
