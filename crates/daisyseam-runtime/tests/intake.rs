//! Bounds on what clients can make a process hold.

use daisyseam_runtime::{
    MetricClient,
    TimerService,
    intake::{
        ByteBudget,
        ClientConnection,
        FREE_BYTES,
        Intake,
        IntakeError,
        IntakeLimits, //
    }, //
};
use std::time::Duration;
use test_case::test_case;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    }, //
};

const LARGE_BYTES: usize = 64 << 10;

fn intake(memory_bytes: usize, connections: usize) -> Intake {
    let limits = IntakeLimits {
        memory_bytes,
        connections,
        ..IntakeLimits::for_process(None, None)
    };
    Intake::new(limits, TimerService::start(), MetricClient::local())
}

async fn client(intake: &Intake) -> (TcpStream, ClientConnection) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let listener = intake.listen(listener);
    let connected = TcpStream::connect(listener.local_addr().unwrap());
    let (far, near) = tokio::join!(connected, listener.accept());
    (far.unwrap(), near)
}

/// Receives until as many bytes have arrived.
async fn receive(connection: &mut ClientConnection, bytes: usize) -> Result<(), IntakeError> {
    while connection.received().len() < bytes {
        assert!(
            connection.receive(1 << 20).await? > 0,
            "the client is there"
        );
    }
    Ok(())
}

/// A guard that does not give bytes back would make the process refuse all large messages.
#[tokio::test(start_paused = true)]
async fn guards_share_the_budget_and_give_it_back() {
    let budget = ByteBudget::new(100);
    let timer = TimerService::start();
    let mut first = budget.guard();
    let mut second = budget.guard();
    assert!(first.try_hold(80));
    assert!(!second.try_hold(30));
    assert!(!second.hold(30, &timer, Duration::from_millis(1)).await);
    assert!(first.try_hold(50));
    assert!(second.hold(30, &timer, Duration::from_millis(1)).await);
    assert_eq!(budget.free(), 20);
    drop((first, second));
    assert_eq!(budget.free(), 100);
}

/// A message that needs more than the whole budget is served alone; it must not wait for ever.
#[test]
fn a_guard_for_more_than_the_budget_takes_all_of_it() {
    let budget = ByteBudget::new(100);
    let mut guard = budget.guard();
    assert!(guard.try_hold(1_000));
    assert_eq!((guard.held(), budget.free()), (100, 0));
    assert!(guard.try_hold(0));
    assert_eq!(budget.free(), 100);
}

/// A wait that is abandoned must not take bytes.
#[tokio::test(start_paused = true)]
async fn an_abandoned_wait_takes_nothing() {
    let budget = ByteBudget::new(100);
    let timer = TimerService::start();
    let mut first = budget.guard();
    assert!(first.try_hold(80));
    let mut second = budget.guard();
    let hold = second.hold(90, &timer, Duration::from_secs(10));
    let abandoned = tokio::time::timeout(Duration::from_millis(1), hold).await;
    assert!(abandoned.is_err());
    drop(first);
    assert_eq!(budget.free(), 100);
}

/// The entry and the control instance of a deployment, one without settings, and one with nothing.
#[test_case(Some(160), Some(4_300), 1_000, 2_050)]
#[test_case(Some(256), Some(4_096), 1_500, 2_050)]
#[test_case(None, None, 10_000, 24_000)]
#[test_case(Some(0), Some(0), 1, 1)]
fn limits_follow_from_the_settings(
    memory_mb: Option<u64>,
    max_fds: Option<u64>,
    connections_min: usize,
    connections_max: usize,
) {
    let limits = IntakeLimits::for_process(memory_mb, max_fds);
    assert!((connections_min..=connections_max).contains(&limits.connections));
}

/// A connection above the limit would take a descriptor that the system itself needs.
#[tokio::test]
async fn a_connection_above_the_limit_is_closed_at_once() {
    let intake = intake(LARGE_BYTES, 1);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let listener = intake.listen(listener);
    let address = listener.local_addr().unwrap();
    let _first = TcpStream::connect(address).await.unwrap();
    let held = listener.accept().await;
    let mut second = TcpStream::connect(address).await.unwrap();
    let accept = tokio::spawn(async move { listener.accept().await });
    assert_eq!(second.read(&mut [0]).await.unwrap_or(0), 0);
    drop(held);
    let _third = TcpStream::connect(address).await.unwrap();
    accept.await.unwrap();
}

/// Small messages are served while a misbehaving client holds the whole budget.
#[tokio::test]
async fn a_small_message_needs_no_budget() {
    let intake = intake(LARGE_BYTES, 2);
    let mut all = intake.budget().guard();
    assert!(all.try_hold(LARGE_BYTES));
    let (mut far, mut near) = client(&intake).await;
    far.write_all(&[b'x'; FREE_BYTES]).await.unwrap();
    receive(&mut near, FREE_BYTES).await.unwrap();
    assert_eq!(near.take(FREE_BYTES, 0).unwrap().len(), FREE_BYTES);
    near.send(&[vec![b'y'; FREE_BYTES].into()]).await.unwrap();
    far.read_exact(&mut [0; FREE_BYTES]).await.unwrap();
}

/// A large message waits for the budget, and is refused when it stays exhausted.
#[tokio::test(start_paused = true)]
async fn a_large_message_is_refused_while_the_budget_is_exhausted() {
    let intake = intake(LARGE_BYTES, 2);
    let mut all = intake.budget().guard();
    assert!(all.try_hold(LARGE_BYTES));
    let (mut far, mut near) = client(&intake).await;
    far.write_all(&[b'x'; 2 * FREE_BYTES]).await.unwrap();
    let received = receive(&mut near, 2 * FREE_BYTES).await;
    assert!(matches!(received, Err(IntakeError::BudgetExhausted)));
    drop((all, near));
    assert_eq!(intake.budget().free(), LARGE_BYTES);
    let (mut far, mut near) = client(&intake).await;
    far.write_all(&[b'x'; 2 * FREE_BYTES]).await.unwrap();
    receive(&mut near, 2 * FREE_BYTES).await.unwrap();
    let message = near.take(2 * FREE_BYTES, 0).unwrap();
    assert!(intake.budget().free() < LARGE_BYTES);
    near.release();
    drop(message);
    assert_eq!(intake.budget().free(), LARGE_BYTES);
}

/// A message that is never completed must not hold its connection for ever; an idle one may.
#[tokio::test(start_paused = true)]
async fn a_message_that_began_must_be_completed() {
    let intake = intake(LARGE_BYTES, 1);
    let (mut far, mut near) = client(&intake).await;
    let idle = tokio::time::timeout(Duration::from_secs(3_600), near.receive(100)).await;
    assert!(idle.is_err());
    far.write_all(b"x").await.unwrap();
    receive(&mut near, 1).await.unwrap();
    let received = receive(&mut near, 2).await;
    assert!(matches!(received, Err(IntakeError::TooSlow)));
}

/// An answer that is not read must not be kept for ever, nor without a share of the budget.
#[tokio::test(start_paused = true)]
async fn an_answer_that_is_not_read_ends_the_connection() {
    let intake = intake(16 << 20, 2);
    let (_far, mut near) = client(&intake).await;
    let answer = vec![b'x'; 8 << 20];
    let sent = near.send(&[answer.into()]).await;
    assert!(matches!(sent, Err(IntakeError::TooSlow)));
    drop(near);
    let mut all = intake.budget().guard();
    assert!(all.try_hold(12 << 20));
    let (_far, mut near) = client(&intake).await;
    let answer = vec![b'x'; 8 << 20];
    let sent = near.send(&[answer.into()]).await;
    assert!(matches!(sent, Err(IntakeError::BudgetExhausted)));
}

/// Statements and values that a session keeps must count, since a caller may send any number.
#[tokio::test]
async fn retained_bytes_are_bounded() {
    let intake = intake(2 << 20, 1);
    let (_far, mut near) = client(&intake).await;
    assert!(near.retain(FREE_BYTES));
    assert_eq!(intake.budget().free(), 2 << 20);
    assert!(near.retain(1 << 20));
    assert_eq!(intake.budget().free(), 1 << 20);
    assert!(!near.retain(100 << 20));
    drop(near);
    assert_eq!(intake.budget().free(), 2 << 20);
}
