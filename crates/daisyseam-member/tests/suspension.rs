//! A lease expires during a suspension of the machine. One test, since the clock is global to the
//! process.

use daisyseam_member::{
    HeldView,
    ViewCell, //
};
use daisyseam_model::ErrorKind;
use daisyseam_runtime::BootClock;
use std::time::Duration;
use tokio::time::{
    Instant,
    advance, //
};

#[tokio::test(start_paused = true)]
async fn a_lease_ends_in_time_although_the_machine_was_suspended() {
    let lease = Duration::from_secs(1);
    let cell = ViewCell::new();
    let hold = |cell: &ViewCell| {
        cell.replace(HeldView {
            lease_until: Some(BootClock::now() + lease),
            ..HeldView::default()
        });
    };
    hold(&cell);
    advance(Duration::from_millis(600)).await;
    assert!(cell.valid().is_ok());
    BootClock::simulate_suspension(Duration::from_millis(399));
    assert!(cell.valid().is_ok());
    BootClock::simulate_suspension(Duration::from_millis(1));
    assert_eq!(cell.valid(), Err(ErrorKind::NoView));

    // A lease that is requested after the suspension has its full duration.
    hold(&cell);
    let until = cell.held().lease_until.expect("it holds");
    assert_eq!(BootClock::to_monotonic(until), Instant::now() + lease);
    advance(Duration::from_millis(999)).await;
    assert!(cell.valid().is_ok());
    advance(Duration::from_millis(1)).await;
    assert_eq!(cell.valid(), Err(ErrorKind::NoView));
}
