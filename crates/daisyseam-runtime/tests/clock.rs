//! The clock for lease times; one test only, since the simulated suspension affects the process.

use daisyseam_runtime::BootClock;
use std::time::Duration;
use tokio::time::{
    Instant,
    advance, //
};

#[tokio::test(start_paused = true)]
async fn the_boot_clock_follows_the_monotonic_clock_and_includes_suspensions() {
    let (started, monotonic) = (BootClock::now(), Instant::now());
    assert_eq!(started, monotonic);
    advance(Duration::from_millis(700)).await;
    assert_eq!(BootClock::now() - started, Duration::from_millis(700));
    BootClock::simulate_suspension(Duration::from_secs(5));
    assert_eq!(BootClock::now() - started, Duration::from_millis(5_700));
    let due = BootClock::now() + Duration::from_millis(300);
    assert_eq!(
        BootClock::to_monotonic(due),
        Instant::now() + Duration::from_millis(300)
    );
}
