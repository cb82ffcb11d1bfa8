//! The data folder: write-ahead log, snapshots, recovery.
