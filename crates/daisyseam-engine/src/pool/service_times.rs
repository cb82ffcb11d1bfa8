//! Delay of statements by others that run in a database at the same time.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// Largest number of running statements that do not delay each other.
const UNDELAYED_RUNNING: usize = 2;

/// Weights of a new service time in the averages, as divisors. Undelayed statements may be few, and
/// their average must not follow a single one.
const CURRENT_WEIGHT: u32 = 16;
const UNDELAYED_WEIGHT: u32 = 64;

/// Percentage of the undelayed service time from which a longer one counts as delay: the mix of
/// statements varies.
const TOLERANCE_PERCENT: u32 = 150;

/// Average service times of a database. A statement that a database queues itself, since more run
/// than it has slots, takes longer than one that runs alone.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceTimes {
    current: Option<Duration>,
    undelayed: Option<Duration>,
}

impl ServiceTimes {
    /// Records the time that a statement took, and how many ran when it ended, itself included.
    pub(super) fn record(&mut self, took: Duration, running: usize) {
        add(&mut self.current, took, CURRENT_WEIGHT);
        if running <= UNDELAYED_RUNNING {
            add(&mut self.undelayed, took, UNDELAYED_WEIGHT);
        }
    }

    /// Returns by how much a statement is delayed while `running` others run.
    pub(super) fn delay(&self, running: usize) -> Duration {
        let (Some(current), Some(undelayed)) = (self.current, self.undelayed) else {
            return Duration::ZERO;
        };
        match running > UNDELAYED_RUNNING {
            true => current.saturating_sub(undelayed * TOLERANCE_PERCENT / 100),
            false => Duration::ZERO,
        }
    }
}

fn add(average: &mut Option<Duration>, took: Duration, weight: u32) {
    *average = Some(match *average {
        Some(average) => average - average / weight + took / weight,
        None => took,
    });
}
