//! The clock of leases; one test, since the clock is the process's.

use daisyseam_runtime::BootClock;
use std::time::Duration;
use tokio::time::{
    Instant,
    advance, //
};

#[tokio::test(start_paused = true)]
async fn the_clock_goes_with_the_steady_one_and_counts_suspensions() {
    let (begun, steady) = (BootClock::now(), Instant::now());
    assert_eq!(begun, steady);
    advance(Duration::from_millis(700)).await;
    assert_eq!(BootClock::now() - begun, Duration::from_millis(700));
    BootClock::simulate_suspension(Duration::from_secs(5));
    assert_eq!(BootClock::now() - begun, Duration::from_millis(5_700));
    let due = BootClock::now() + Duration::from_millis(300);
    assert_eq!(
        BootClock::steady(due),
        Instant::now() + Duration::from_millis(300)
    );
}
