//! The choice among the databases of a group.
