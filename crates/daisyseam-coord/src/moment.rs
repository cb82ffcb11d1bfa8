//! A point on the monotonic clock of one process.

use std::{
    ops::{
        Add,
        Sub, //
    },
    time::Duration, //
};

/// Time since an origin chosen by the embedding process; not comparable across processes.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Moment(Duration);

impl Moment {
    /// The origin.
    pub const ORIGIN: Self = Self(Duration::ZERO);

    /// Creates the moment at this duration after the origin.
    pub const fn after_origin(since: Duration) -> Self {
        Self(since)
    }

    /// Creates the moment this many milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns the time since the origin.
    pub const fn since_origin(self) -> Duration {
        self.0
    }

    /// Returns the time since an earlier moment, or zero if that moment is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }
}

impl Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }
}
