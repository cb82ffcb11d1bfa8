//! Load and latency of one database, as measured by this instance.

use crate::Moment;
use std::time::Duration;

/// Weight of the latest measurement in a moving average, as a divisor.
const AVERAGE_DIVISOR: u32 = 4;

/// Half-life of a measurement; the decay makes sure that a slow database is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Number of connections in use and average latencies of one database.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UpstreamLoad {
    in_flight: usize,
    opening: Option<MovingAverage>,
    usage: Option<MovingAverage>,
}

impl UpstreamLoad {
    pub(super) fn begin(&mut self) {
        self.in_flight += 1;
    }

    pub(super) fn record_opened(&mut self, now: Moment, took: Duration) {
        MovingAverage::add(&mut self.opening, now, took);
    }

    pub(super) fn end(&mut self, now: Moment, used_for: Option<Duration>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(used_for) = used_for {
            MovingAverage::add(&mut self.usage, now, used_for);
        }
    }

    /// Returns the expected time to open and use a connection: at least two round trips, plus the
    /// expected time in the queue behind this instance's connections already in use.
    pub(super) fn expected(&self, now: Moment, round_trip: Duration, slots: usize) -> Duration {
        let opening = self.opening.map_or(Duration::ZERO, |value| value.at(now));
        let usage = self.usage.map_or(Duration::ZERO, |value| value.at(now));
        let slots = u32::try_from(slots.max(1)).unwrap_or(u32::MAX);
        let queue = usage * u32::try_from(self.in_flight).unwrap_or(u32::MAX) / slots;
        opening.max(round_trip) + usage.max(round_trip) + queue
    }
}

#[derive(Clone, Copy, Debug)]
struct MovingAverage {
    value: Duration,
    at: Moment,
}

impl MovingAverage {
    fn add(average: &mut Option<Self>, now: Moment, value: Duration) {
        let value = average.map_or(value, |former| {
            (former.value * (AVERAGE_DIVISOR - 1) + value) / AVERAGE_DIVISOR
        });
        *average = Some(Self { value, at: now });
    }

    fn at(&self, now: Moment) -> Duration {
        let halvings = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.value.mul_f64(0.5_f64.powf(halvings))
    }
}
