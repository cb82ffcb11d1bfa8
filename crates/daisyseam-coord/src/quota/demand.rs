//! How much is asked for at one instance.

use crate::Moment;
use std::time::Duration;

/// Time over which arrivals are averaged.
const AVERAGE_TIME: Duration = Duration::from_millis(200);

/// Time in which what waits should be served.
const WAITING_TIME: Duration = Duration::from_millis(500);

/// Requests that wait for a token.
#[derive(Clone, Copy, Debug, Default)]
pub struct WaitingQueue {
    /// How many.
    pub length: usize,
    /// When the first of them came.
    pub oldest: Moment,
}

/// Moving average of arrivals, in arrivals a second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DemandMeter {
    average: f64,
    at: Moment,
}

impl DemandMeter {
    pub(super) fn count(&mut self, now: Moment) {
        self.average = self.decayed(now) + 1.0 / AVERAGE_TIME.as_secs_f64();
        self.at = self.at.max(now);
    }

    /// Returns the wanted rate in thousandths a second.
    ///
    /// What waits counts more the longer it has waited, so that under pressure the fleet serves
    /// it nearly in the order in which it came.
    pub(super) fn wanted(&self, now: Moment, line: WaitingQueue) -> u64 {
        let age = now.since(line.oldest).as_secs_f64();
        let backlog = line.length as f64 / WAITING_TIME.as_secs_f64() * (1.0 + age).powi(2);
        let wanted = (self.decayed(now) + backlog) * super::MILLI as f64;
        // Below one statement in a hundred seconds nothing is wanted.
        if wanted < 10.0 { 0 } else { wanted as u64 }
    }

    fn decayed(&self, now: Moment) -> f64 {
        let passed = now.since(self.at).as_secs_f64() / AVERAGE_TIME.as_secs_f64();
        self.average * (-passed).exp()
    }
}
