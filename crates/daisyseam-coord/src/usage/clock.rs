//! The leader's estimate of true time, in windows.

use crate::Moment;
use daisyseam_model::Incarnation;
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// Age beyond which a time stamp no longer counts; instances send one with every heartbeat.
const SAMPLE_AGE_MAX: Duration = Duration::from_secs(10);

/// Longest wait for the time stamps of most instances before the first estimate.
const FIRST_ESTIMATE_WAIT: Duration = Duration::from_secs(2);

/// Assigns moments to windows of true time.
///
/// The estimate is the median of the instances' clocks relative to the monotonic clock, so that a
/// minority of wrong clocks does not move it. It is renewed between two windows only: the end of the
/// current window does not move, and window numbers never decrease.
#[derive(Debug)]
pub struct WindowClock {
    window_ms: i64,
    samples: BTreeMap<Incarnation, ClockSample>,
    /// When the first time stamp arrived.
    first_at: Option<Moment>,
    /// Estimated true time in milliseconds since 1970 at the origin of the monotonic clock.
    offset_ms: Option<i64>,
    current: Option<CurrentWindow>,
}

/// A time stamp of an instance.
#[derive(Clone, Copy, Debug)]
struct ClockSample {
    offset_ms: i64,
    at: Moment,
}

#[derive(Clone, Copy, Debug)]
struct CurrentWindow {
    number: u64,
    ends_at: Moment,
}

impl WindowClock {
    /// Creates a clock without an estimate.
    ///
    /// # Panics
    ///
    /// If a window is shorter than a millisecond.
    pub fn new(window: Duration) -> Self {
        let window_ms = millis(window);
        assert!(window_ms > 0, "a window is at least a millisecond long");
        Self {
            window_ms,
            samples: BTreeMap::new(),
            first_at: None,
            offset_ms: None,
            current: None,
        }
    }

    /// Records the time stamp of an instance, in milliseconds since 1970, when it arrives.
    pub fn record(&mut self, now: Moment, incarnation: Incarnation, unix_ms: u64) {
        let Ok(unix_ms) = i64::try_from(unix_ms) else {
            return;
        };
        self.first_at.get_or_insert(now);
        let offset_ms = unix_ms - millis(now.since_origin());
        let sample = ClockSample { offset_ms, at: now };
        self.samples.insert(incarnation, sample);
    }

    /// Advances to the current window. `instances` is the number of instances that are expected to
    /// send time stamps.
    pub fn tick(&mut self, now: Moment, instances: usize) {
        match self.current {
            None if !self.may_start(now, instances) => return,
            Some(current) if now < current.ends_at => return,
            _ => {}
        }
        self.samples
            .retain(|_, sample| now.since(sample.at) <= SAMPLE_AGE_MAX);
        self.offset_ms = self.median().or(self.offset_ms);
        let Some(offset_ms) = self.offset_ms else {
            return;
        };
        let true_ms = millis(now.since_origin()).saturating_add(offset_ms);
        let estimated = u64::try_from(true_ms.div_euclid(self.window_ms)).unwrap_or(0);
        let number = self.current.map_or(estimated, |current| {
            // An estimate that went back lengthens the window that begins now.
            estimated.max(current.number + 1)
        });
        self.current = Some(CurrentWindow {
            number,
            ends_at: self.end_of(number, offset_ms),
        });
    }

    /// Returns the current window.
    pub fn window(&self) -> Option<u64> {
        self.current.map(|current| current.number)
    }

    /// Returns the current window and the time to its end.
    pub fn current(&self, now: Moment) -> Option<(u64, Duration)> {
        let current = self.current?;
        Some((current.number, current.ends_at.since(now)))
    }

    /// Returns when a window ends or has ended.
    pub fn ends_at(&self, window: u64) -> Option<Moment> {
        let current = self.current?;
        match window == current.number {
            true => Some(current.ends_at),
            false => Some(self.end_of(window, self.offset_ms?)),
        }
    }

    fn may_start(&self, now: Moment, instances: usize) -> bool {
        let most = self.samples.len() > instances / 2;
        let waited = |first_at| now.since(first_at) >= FIRST_ESTIMATE_WAIT;
        !self.samples.is_empty() && (most || self.first_at.is_some_and(waited))
    }

    fn median(&self) -> Option<i64> {
        let samples = self.samples.values();
        let mut offsets: Vec<i64> = samples.map(|sample| sample.offset_ms).collect();
        let middle = offsets.len() / 2;
        (!offsets.is_empty()).then(|| *offsets.select_nth_unstable(middle).1)
    }

    fn end_of(&self, window: u64, offset_ms: i64) -> Moment {
        let next = i64::try_from(window).unwrap_or(i64::MAX).saturating_add(1);
        let ends_ms = next
            .saturating_mul(self.window_ms)
            .saturating_sub(offset_ms);
        Moment::from_millis(u64::try_from(ends_ms).unwrap_or(0))
    }
}

fn millis(duration: Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
}
