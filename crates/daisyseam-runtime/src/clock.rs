//! The clock that leases are counted on.

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

/// Readings of which the first difference is taken.
const FIRST_READINGS: usize = 4;

/// Suspension that a test adds, in microseconds.
static SIMULATED: AtomicU64 = AtomicU64::new(0);

/// The steady clock, and with it the time for which the machine was suspended.
///
/// The steady clock stands still while the machine is suspended, but a lease that others count
/// does not. Moments of this clock are compared only with each other; a timer runs by the steady
/// clock and takes what [`BootClock::steady`] gives.
#[derive(Clone, Copy, Debug)]
pub struct BootClock;

impl BootClock {
    /// Returns the present moment.
    ///
    /// It lies between the call and its return, also if the machine is suspended in between: the
    /// time since boot is read first, and the steady clock only goes forward after it.
    pub fn now() -> Instant {
        let suspended = suspended();
        Instant::now() + suspended
    }

    /// Returns when the steady clock reaches a moment if the machine is not suspended before.
    pub fn steady(moment: Instant) -> Instant {
        let suspended = suspended();
        moment.checked_sub(suspended).unwrap_or_else(Instant::now)
    }

    /// Lets the clock go on as if the machine had been suspended, for tests.
    pub fn simulate_suspension(time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        SIMULATED.fetch_add(micros, Ordering::SeqCst);
    }
}

/// Returns for how long the machine was suspended since the first call, in whole milliseconds.
fn suspended() -> Duration {
    static FIRST: OnceLock<i64> = OnceLock::new();
    static MOST: AtomicU64 = AtomicU64::new(0);
    let first = *FIRST.get_or_init(|| {
        let readings = std::iter::repeat_with(boot_less_steady).take(FIRST_READINGS);
        readings.max().unwrap_or_default()
    });
    // Time that passes between the two readings only makes the difference smaller.
    let grown = boot_less_steady().saturating_sub(first).max(0);
    let millis = u64::try_from(grown / 1_000_000).unwrap_or(0);
    let most = MOST.fetch_max(millis, Ordering::SeqCst).max(millis);
    let simulated = SIMULATED.load(Ordering::SeqCst);
    Duration::from_millis(most) + Duration::from_micros(simulated)
}

/// Returns the time since boot less the time of the steady clock, in nanoseconds.
#[cfg(target_os = "linux")]
fn boot_less_steady() -> i64 {
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

/// Elsewhere the steady clock is all there is.
#[cfg(not(target_os = "linux"))]
fn boot_less_steady() -> i64 {
    0
}
