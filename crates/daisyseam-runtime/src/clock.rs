//! The clock for lease times.

use std::{
    sync::{
        OnceLock,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration, //
};
use tokio::time::Instant;

/// Readings for the initial clock difference, the largest of which is used.
const INITIAL_READINGS: usize = 4;

/// Suspension time added by tests, in microseconds.
static SIMULATED_MICROS: AtomicU64 = AtomicU64::new(0);

/// A monotonic clock that includes the time for which the machine was suspended.
///
/// The system's monotonic clock stops while the machine is suspended, but a lease that another
/// process counts does not. Times of this clock are compared only with each other; timers run on
/// the monotonic clock and take the result of [`BootClock::to_monotonic`].
#[derive(Clone, Copy, Debug)]
pub struct BootClock;

impl BootClock {
    /// Returns the current time.
    ///
    /// The result lies between the call and its return, even if the machine is suspended in
    /// between: the suspension time is read first, and the monotonic clock only advances after it.
    pub fn now() -> Instant {
        let suspended = suspended();
        Instant::now() + suspended
    }

    /// Returns the monotonic time that corresponds to a time of this clock if the machine is not
    /// suspended before then.
    pub fn to_monotonic(moment: Instant) -> Instant {
        let suspended = suspended();
        moment.checked_sub(suspended).unwrap_or_else(Instant::now)
    }

    /// Advances the clock as if the machine had been suspended, for tests.
    pub fn simulate_suspension(time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        SIMULATED_MICROS.fetch_add(micros, Ordering::SeqCst);
    }
}

/// Returns how long the machine was suspended since the first call, in whole milliseconds.
fn suspended() -> Duration {
    static INITIAL: OnceLock<i64> = OnceLock::new();
    static LONGEST_MILLIS: AtomicU64 = AtomicU64::new(0);
    let initial = *INITIAL.get_or_init(|| {
        let readings = std::iter::repeat_with(boot_minus_monotonic).take(INITIAL_READINGS);
        readings.max().unwrap_or_default()
    });
    // A delay between reading the two clocks only makes the difference smaller.
    let grown = boot_minus_monotonic().saturating_sub(initial).max(0);
    let millis = u64::try_from(grown / 1_000_000).unwrap_or(0);
    let longest = LONGEST_MILLIS
        .fetch_max(millis, Ordering::SeqCst)
        .max(millis);
    let simulated = SIMULATED_MICROS.load(Ordering::SeqCst);
    Duration::from_millis(longest) + Duration::from_micros(simulated)
}

/// Returns the boot time clock minus the monotonic clock, in nanoseconds.
#[cfg(target_os = "linux")]
fn boot_minus_monotonic() -> i64 {
    use rustix::time::{
        ClockId,
        clock_gettime, //
    };
    let nanos = |clock| {
        let time = clock_gettime(clock);
        time.tv_sec * 1_000_000_000 + time.tv_nsec
    };
    let boot = nanos(ClockId::Boottime);
    boot - nanos(ClockId::Monotonic)
}

/// Returns 0, since only Linux has both clocks.
#[cfg(not(target_os = "linux"))]
fn boot_minus_monotonic() -> i64 {
    0
}
