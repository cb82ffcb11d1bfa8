//! The timer service in virtual time.

use daisyseam_runtime::TimerService;
use std::{
    future::pending,
    time::Duration, //
};
use tokio::time::Instant;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[tokio::test(start_paused = true)]
async fn futures_become_ready_in_the_order_of_their_times() {
    let timer = TimerService::start();
    let start = Instant::now();
    let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel();
    for delay in [30, 10, 20, 10] {
        let future = timer.after(millis(delay));
        let sender = sender.clone();
        tokio::spawn(async move {
            future.await;
            sender
                .send((delay, start.elapsed()))
                .expect("the receiver is open");
        });
    }
    for expected in [10, 10, 20, 30] {
        let (delay, elapsed) = receiver.recv().await.expect("a future is ready");
        assert_eq!(delay, expected);
        assert!(elapsed >= millis(delay) && elapsed < millis(delay + 2));
    }
}

#[tokio::test(start_paused = true)]
async fn a_future_is_cancelled_at_the_deadline() {
    let timer = TimerService::start();
    let start = Instant::now();
    let output = timer.within(start + millis(50), pending::<()>()).await;
    assert!(output.is_none());
    assert!(start.elapsed() >= millis(50));
    let output = timer.within(start + millis(90), async { 7 }).await;
    assert_eq!(output, Some(7));
}

#[tokio::test(start_paused = true)]
async fn a_future_outlives_the_service_handle() {
    let future = TimerService::start().after(millis(5));
    future.await;
}

/// Guards against a loop of waits whose time has passed starving the other tasks of its thread.
#[tokio::test]
async fn waits_whose_time_has_passed_let_other_tasks_run() {
    const ITERATIONS_MAX: usize = 10_000;
    let timer = TimerService::start();
    let other = tokio::spawn(async {});
    let past = Instant::now();
    for _ in 0..ITERATIONS_MAX {
        timer.at(past).await;
        if other.is_finished() {
            return;
        }
    }
    panic!("{ITERATIONS_MAX} waits completed without another task running");
}
