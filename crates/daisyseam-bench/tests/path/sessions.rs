//! Sessions through a whole fleet: they see their own writes wherever they go.

use crate::support::{
    connect,
    number,
    plan,
    run,
    start, //
};
use std::time::Duration;

const TABLE: &str = "CREATE TABLE stays (id BIGINT PRIMARY KEY, animal TEXT NOT NULL)";

#[tokio::test(flavor = "multi_thread")]
async fn what_is_written_is_read() {
    let fleet = start(plan(5)).await;
    let mut session = connect(&fleet, 0, None).await;
    run(&mut session, TABLE).await;
    run(
        &mut session,
        "INSERT INTO stays VALUES (1, 'leopard'), (2, 'nama')",
    )
    .await;
    assert_eq!(number(&mut session, "SELECT count(*) FROM stays").await, 2);
    run(&mut session, "BEGIN; DELETE FROM stays; ROLLBACK").await;
    assert_eq!(number(&mut session, "SELECT count(*) FROM stays").await, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_roaming_session_sees_its_own_writes() {
    let mut plan = plan(5);
    plan.lag = Duration::from_millis(50)..=Duration::from_millis(300);
    let fleet = start(plan).await;
    let mut session = connect(&fleet, 0, None).await;
    run(&mut session, TABLE).await;
    let mut token = session.token().map(str::to_owned);
    for id in 1..=12_i64 {
        let entry = usize::try_from(id).expect("a small number") % 3;
        let mut session = connect(&fleet, entry, token.as_deref()).await;
        run(
            &mut session,
            &format!("INSERT INTO stays VALUES ({id}, 'leopard')"),
        )
        .await;
        token = session.token().map(str::to_owned);
        assert!(token.is_some(), "a session that wrote has a token");
        let mut elsewhere = connect(&fleet, (entry + 1) % 3, token.as_deref()).await;
        let newest = number(&mut elsewhere, "SELECT max(id) FROM stays").await;
        assert_eq!(newest, id, "with the token");
        let mut unknown = connect(&fleet, (entry + 2) % 3, None).await;
        let newest = number(&mut unknown, "SELECT max(id) FROM stays").await;
        assert_eq!(newest, id, "without one, behind the barrier");
    }
    let replica_reads: u64 = fleet
        .databases
        .iter()
        .filter_map(|node| Some(node.database()?.counters().replica_reads()))
        .sum();
    assert!(replica_reads > 0, "replicas serve reads");
}
