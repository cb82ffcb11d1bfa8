//! What one database has to do for this instance, and how long it takes.

use crate::Moment;
use std::time::Duration;

/// Part of the latest measurement in a moving average, as a divisor.
const AVERAGE_DIVISOR: u32 = 4;

/// Time after which a measurement counts half, so that a slow database is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Load and latency of one database as this instance sees them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct UpstreamLoad {
    under_way: usize,
    opening: Option<MovingAverage>,
    holding: Option<MovingAverage>,
}

impl UpstreamLoad {
    pub(super) fn begin(&mut self) {
        self.under_way += 1;
    }

    pub(super) fn opened(&mut self, now: Moment, took: Duration) {
        MovingAverage::add(&mut self.opening, now, took);
    }

    pub(super) fn end(&mut self, now: Moment, held: Option<Duration>) {
        self.under_way = self.under_way.saturating_sub(1);
        if let Some(held) = held {
            MovingAverage::add(&mut self.holding, now, held);
        }
    }

    /// Returns the time for a link and its use: the way twice at least, what was measured, and
    /// what this instance has under way there beyond the slots.
    pub(super) fn expected(&self, now: Moment, way: Duration, slots: usize) -> Duration {
        let opening = self.opening.map_or(Duration::ZERO, |value| value.at(now));
        let holding = self.holding.map_or(Duration::ZERO, |value| value.at(now));
        let slots = u32::try_from(slots.max(1)).unwrap_or(u32::MAX);
        let queue = holding * u32::try_from(self.under_way).unwrap_or(u32::MAX) / slots;
        opening.max(way) + holding.max(way) + queue
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
