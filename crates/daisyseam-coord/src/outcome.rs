//! Resolution of commits whose answer was lost.
