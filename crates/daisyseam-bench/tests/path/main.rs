//! Whole-path tests: callers through real daemons on loopback to stand-in databases.

mod cancel;
mod failover;
mod keys;
mod sessions;
mod support;
mod transactions;
