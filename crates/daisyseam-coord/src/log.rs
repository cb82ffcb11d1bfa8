//! Replicated log with pre-vote, leader lease, snapshots and membership change.
