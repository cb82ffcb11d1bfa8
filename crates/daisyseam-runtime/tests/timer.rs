//! The timer service under virtual time.

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
async fn tickets_are_ready_in_the_order_of_their_moments() {
    let timer = TimerService::start();
    let start = Instant::now();
    let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel();
    for delay in [30, 10, 20, 10] {
        let ticket = timer.after(millis(delay));
        let sender = sender.clone();
        tokio::spawn(async move {
            ticket.await;
            sender
                .send((delay, start.elapsed()))
                .expect("the test listens");
        });
    }
    for expected in [10, 10, 20, 30] {
        let (delay, elapsed) = receiver.recv().await.expect("a ticket is ready");
        assert_eq!(delay, expected);
        assert!(elapsed >= millis(delay) && elapsed < millis(delay + 2));
    }
}

#[tokio::test(start_paused = true)]
async fn a_future_is_cut_off_at_its_moment() {
    let timer = TimerService::start();
    let start = Instant::now();
    let output = timer.within(start + millis(50), pending::<()>()).await;
    assert!(output.is_none());
    assert!(start.elapsed() >= millis(50));
    let output = timer.within(start + millis(90), async { 7 }).await;
    assert_eq!(output, Some(7));
}

#[tokio::test(start_paused = true)]
async fn a_ticket_outlives_the_handle_it_came_from() {
    let ticket = TimerService::start().after(millis(5));
    ticket.await;
}

/// A loop whose waits are all over at once must not keep other tasks of the thread from running.
#[tokio::test]
async fn waits_that_are_over_let_other_tasks_run() {
    const TURNS_MAX: usize = 10_000;
    let timer = TimerService::start();
    let other = tokio::spawn(async {});
    let past = Instant::now();
    for _ in 0..TURNS_MAX {
        timer.at(past).await;
        if other.is_finished() {
            return;
        }
    }
    panic!("{TURNS_MAX} waits were over, and no other task has run");
}
