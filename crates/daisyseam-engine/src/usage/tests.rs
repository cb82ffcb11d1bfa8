//! Counting of requests.
