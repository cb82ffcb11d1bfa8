//! Session floors: the position that a session's reads must have reached.
