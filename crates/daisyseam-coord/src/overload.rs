//! Adaptive concurrency for one database.
