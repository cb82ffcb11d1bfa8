//! Membership by heartbeat, with incarnations.
