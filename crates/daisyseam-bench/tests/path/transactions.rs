//! Transactions through a whole fleet: they never mix, and a dead entry leaves none behind.

use crate::support::{
    PathFleet,
    connect,
    guarded,
    number,
    plan,
    run,
    start, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use tokio::task::JoinSet;

const TABLE: &str = "CREATE TABLE parts (owner BIGINT, part BIGINT)";
const CALLERS: u64 = 12;
const ROUNDS: u64 = 8;

#[tokio::test(flavor = "multi_thread")]
async fn interleaved_transactions_never_mix() {
    let fleet = Arc::new(start(plan(3)).await);
    let mut session = connect(&fleet, 0, None).await;
    run(&mut session, TABLE).await;
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        callers.spawn(interleave(Arc::clone(&fleet), caller));
    }
    let mut kept = 0;
    while let Some(done) = guarded(callers.join_next()).await {
        kept += done.expect("the caller finds no mix");
    }
    let whole = "SELECT count(*) FROM (SELECT owner FROM parts GROUP BY owner \
                 HAVING count(*) = 2 AND min(part) = 1 AND max(part) = 2) AS whole";
    assert_eq!(number(&mut session, whole).await, kept);
    assert_eq!(
        number(&mut session, "SELECT count(*) FROM parts").await,
        2 * kept
    );
}

/// Runs transactions of two parts each; returns how many were committed.
async fn interleave(fleet: Arc<PathFleet>, caller: u64) -> i64 {
    let mut random = ChaCha8Rng::seed_from_u64(caller);
    let entry = usize::try_from(caller).expect("a small number") % 3;
    let mut session = connect(&fleet, entry, None).await;
    let mut kept = 0;
    for round in 0..ROUNDS {
        let owner = caller * ROUNDS + round;
        let own = format!("SELECT count(*) FROM parts WHERE owner = {owner}");
        run(&mut session, "BEGIN").await;
        run(
            &mut session,
            &format!("INSERT INTO parts VALUES ({owner}, 1)"),
        )
        .await;
        tokio::task::yield_now().await;
        assert_eq!(number(&mut session, &own).await, 1);
        run(
            &mut session,
            &format!("INSERT INTO parts VALUES ({owner}, 2)"),
        )
        .await;
        assert_eq!(number(&mut session, &own).await, 2);
        let commits = random.random_ratio(2, 3);
        run(&mut session, if commits { "COMMIT" } else { "ROLLBACK" }).await;
        kept += i64::from(commits);
    }
    kept
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_dies_in_a_transaction_leaves_no_slot_taken() {
    let mut fleet = start(plan(1)).await;
    let mut other = connect(&fleet, 1, None).await;
    run(&mut other, TABLE).await;
    for round in 0..3 {
        let mut session = connect(&fleet, 0, None).await;
        run(&mut session, "BEGIN").await;
        run(
            &mut session,
            &format!("INSERT INTO parts VALUES ({round}, 1)"),
        )
        .await;
        fleet.entries[0].kill();
        // The one slot of the primary is needed for this write.
        let write = "INSERT INTO parts VALUES (100, 1)";
        guarded(async {
            while other.batch(write).await.is_err() {
                other = connect(&fleet, 1, None).await;
            }
        })
        .await;
        let left = format!("SELECT count(*) FROM parts WHERE owner = {round}");
        assert_eq!(number(&mut other, &left).await, 0);
        fleet.start_entry(0).await.expect("it starts again");
        let deadline = tokio::time::Instant::now() + crate::support::HANG_GUARD;
        fleet
            .wait_ready(deadline)
            .await
            .expect("the fleet is whole");
    }
    for node in &fleet.databases {
        let database = node.database().expect("it runs");
        assert!(database.open_connections() <= 1, "slots are kept");
    }
}
