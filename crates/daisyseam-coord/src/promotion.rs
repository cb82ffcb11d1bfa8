//! The promotion of a database to primary.
