//! Statements that are cancelled, timed out or given up: their late answers reach nobody else.

use crate::support::{
    PathFleet,
    code,
    connect,
    guarded,
    plan,
    run,
    start,
    target, //
};
use daisyseam_bench::load::CallerSession;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_postgres::NoTls;

const ANSWER_DELAY: Duration = Duration::from_millis(400);
const ROUNDS: u32 = 3;

/// Starts a fleet of one slot a database, whose answers come late and which cancels nothing.
async fn start_late() -> PathFleet {
    let mut plan = plan(1);
    plan.text = plan.text.replace(
        "[[region]]",
        "[limits]\nstatement_timeout_ms = 200\nqueue_timeout_ms = 30000\n\n[[region]]",
    );
    let fleet = start(plan).await;
    let mut session = connect(&fleet, 0, None).await;
    run(&mut session, "CREATE TABLE stays (id BIGINT)").await;
    fleet
}

fn set_late(fleet: &PathFleet, delay: Duration) {
    for node in &fleet.databases {
        let options = node.database().expect("it runs").options();
        options.set_ignores_cancel(true);
        options.set_answer_delay(delay);
    }
}

fn statement(word: &str) -> String {
    format!("SELECT '{word}' AS word FROM (SELECT count(*) FROM stays) AS one")
}

/// Lets several callers read, each its own word.
async fn read_own(fleet: &PathFleet, round: u32) {
    for other in 0..4 {
        let mut caller = connect(fleet, other % 3, None).await;
        let word = format!("own-{round}-{other}");
        let rows = guarded(caller.query(&statement(&word), &[])).await;
        let rows = rows.expect("its own answer");
        assert_eq!(rows[0].get::<_, &str>(0), word);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_after_the_timeout_reaches_nobody_else() {
    let fleet = start_late().await;
    for round in 0..ROUNDS {
        set_late(&fleet, ANSWER_DELAY);
        let mut session = connect(&fleet, 0, None).await;
        let late = guarded(session.query(&statement("late"), &[])).await;
        assert_eq!(code(late), "57014");
        set_late(&fleet, Duration::ZERO);
        read_own(&fleet, round).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_a_caller_that_has_gone_reaches_nobody_else() {
    let fleet = start_late().await;
    for round in 0..ROUNDS {
        set_late(&fleet, ANSWER_DELAY);
        let before = statements(&fleet);
        let session = connect(&fleet, 0, None).await;
        let text = statement("late");
        give_up(session, &text, || statements(&fleet) > before).await;
        set_late(&fleet, Duration::ZERO);
        read_own(&fleet, round).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_after_a_cancel_reaches_nobody_else() {
    let fleet = start_late().await;
    for round in 0..ROUNDS {
        set_late(&fleet, ANSWER_DELAY / 4);
        let mut session = connect(&fleet, 0, None).await;
        let token = session.cancel_token();
        let address = target(&fleet, 0).address;
        let cancels = async {
            loop {
                let socket = TcpStream::connect(address).await.expect("a connection");
                // An entry may close the connection before the library has seen it.
                let _ = token.cancel_query_raw(socket, NoTls).await;
            }
        };
        let text = statement("late");
        let late = tokio::select! {
            late = guarded(session.query(&text, &[])) => late,
            () = cancels => unreachable!("requests go on for ever"),
        };
        match late {
            Ok(rows) => assert_eq!(rows[0].get::<_, &str>(0), "late"),
            Err(error) => assert_eq!(error.code(), "57014"),
        }
        set_late(&fleet, Duration::ZERO);
        read_own(&fleet, round).await;
    }
}

fn statements(fleet: &PathFleet) -> u64 {
    let counts = fleet
        .databases
        .iter()
        .filter_map(|node| Some(node.database()?.counters().statements()));
    counts.sum()
}

/// Sends a statement and leaves once a database has begun to run it.
async fn give_up(mut session: CallerSession, text: &str, begun: impl Fn() -> bool) {
    let running = async {
        while !begun() {
            tokio::task::yield_now().await;
        }
    };
    tokio::select! {
        answered = session.query(text, &[]) => panic!("answered early: {answered:?}"),
        () = guarded(running) => {}
    }
}
