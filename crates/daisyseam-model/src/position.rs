//! Terms and log positions of a database group.

use serde::{
    Deserialize,
    Serialize, //
};

/// The term of one primary in its group; a term is never assigned twice.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl Term {
    /// Returns the term after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl std::fmt::Display for Term {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}

/// An offset in a database's log, in bytes.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Position(pub u64);

impl Position {
    /// Reads PostgreSQL's notation of two hexadecimal halves, `1/A0`.
    pub fn parse(text: &str) -> Option<Self> {
        let (high, low) = text.split_once('/')?;
        let high = u32::from_str_radix(high, 16).ok()?;
        let low = u32::from_str_radix(low, 16).ok()?;
        Some(Self((u64::from(high) << 32) | u64::from(low)))
    }
}

impl std::fmt::Display for Position {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:X}/{:X}", self.0 >> 32, self.0 & 0xFFFF_FFFF)
    }
}

/// A position in a group's history; ordered by term first, and only comparable within the
/// lineage in the view.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct LogPosition {
    /// Term of the primary that wrote up to here.
    pub term: Term,
    /// Offset in the log.
    pub position: Position,
}

impl std::fmt::Display for LogPosition {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}:{}", self.term, self.position)
    }
}
