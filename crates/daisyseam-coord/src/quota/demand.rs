//! Measurement of the demand for one rate on one instance.

use crate::Moment;
use std::time::Duration;

/// Time constant of the moving average of arrivals.
const AVERAGING_TIME: Duration = Duration::from_millis(200);

/// Time within which waiting requests should be served.
const BACKLOG_SERVICE_TIME: Duration = Duration::from_millis(500);

/// State of the queue of requests waiting for a token.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaitingQueue {
    /// Number of waiting requests.
    pub length: usize,
    /// Arrival of the oldest waiting request.
    pub oldest: Moment,
}

/// Exponential moving average of arrivals per second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DemandMeter {
    average: f64,
    at: Moment,
}

impl DemandMeter {
    pub(super) fn count(&mut self, now: Moment) {
        self.average = self.decayed(now) + 1.0 / AVERAGING_TIME.as_secs_f64();
        self.at = self.at.max(now);
    }

    /// Returns the demand in thousandths per second.
    ///
    /// Waiting requests weigh more the longer they have waited, so that under load the fleet serves
    /// requests nearly in order of arrival.
    pub(super) fn demand_rate(&self, now: Moment, queue: WaitingQueue) -> u64 {
        let age = now.since(queue.oldest).as_secs_f64();
        let backlog =
            queue.length as f64 / BACKLOG_SERVICE_TIME.as_secs_f64() * (1.0 + age).powi(2);
        let wanted = (self.decayed(now) + backlog) * super::MILLI as f64;
        // Less than one statement in 100 seconds counts as no demand.
        if wanted < 10.0 { 0 } else { wanted as u64 }
    }

    fn decayed(&self, now: Moment) -> f64 {
        let passed = now.since(self.at).as_secs_f64() / AVERAGING_TIME.as_secs_f64();
        self.average * (-passed).exp()
    }
}
