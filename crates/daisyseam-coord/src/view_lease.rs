//! Leases on a view, with a stated bound on clock drift.
