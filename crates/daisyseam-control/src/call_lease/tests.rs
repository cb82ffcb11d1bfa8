//! Tests of the lease that calls in progress watch.

use super::{
    CallLease,
    TermLease, //
};
use daisyseam_runtime::{
    BootClock,
    TimerService, //
};
use std::time::Duration;
use tokio::{
    sync::watch,
    time::Instant, //
};

const LEASE: Duration = Duration::from_millis(240);

fn lease(term: u64) -> Option<TermLease> {
    let until = BootClock::now() + LEASE;
    Some(TermLease { term, until })
}

#[tokio::test(start_paused = true)]
async fn a_lease_that_is_not_renewed_ends() {
    let (_sender, receiver) = watch::channel(lease(3));
    let mut call = CallLease::new(3, receiver, TimerService::start());
    let began = Instant::now();
    assert!(call.holds());
    call.ended().await;
    assert!(!call.holds());
    assert_eq!(began.elapsed().as_millis(), LEASE.as_millis());
}

#[tokio::test(start_paused = true)]
async fn a_renewed_lease_goes_on() {
    let (sender, receiver) = watch::channel(lease(3));
    let mut call = CallLease::new(3, receiver, TimerService::start());
    let began = Instant::now();
    tokio::time::sleep(LEASE / 2).await;
    sender.send_replace(lease(3));
    call.ended().await;
    assert!(began.elapsed() >= LEASE * 3 / 2);
}

/// Guards against a call of a former term that goes on because its member leads again.
#[tokio::test(start_paused = true)]
async fn the_lease_of_a_later_term_does_not_count() {
    let (sender, receiver) = watch::channel(lease(3));
    let mut call = CallLease::new(3, receiver, TimerService::start());
    sender.send_replace(lease(4));
    assert!(!call.holds());
    call.ended().await;
}

#[tokio::test(start_paused = true)]
async fn a_lease_without_its_leader_ends_in_time() {
    let mut call = CallLease::fixed(BootClock::now() + LEASE, TimerService::start());
    let began = Instant::now();
    call.ended().await;
    assert_eq!(began.elapsed().as_millis(), LEASE.as_millis());
}
