//! The stand-in database on its own: statements, log, terms and faults.

use daisyseam_bench::standin::{
    StandIn,
    StandInSettings, //
};
use daisyseam_model::{
    LogPosition,
    Term,
    announce::UpstreamRole, //
};
use std::time::Duration;
use tempfile::TempDir;
use tokio_postgres::{
    Client,
    NoTls,
    error::SqlState, //
};

const HANG_GUARD: Duration = Duration::from_secs(60);

struct TestGroup {
    folder: TempDir,
    members: Vec<StandIn>,
}

impl TestGroup {
    /// Starts members; the first one is primary of term 1 and the others follow it.
    async fn start(members: usize) -> Self {
        let folder = TempDir::new().expect("a temporary folder");
        let members: Vec<_> = (0..members)
            .map(|index| {
                let name = format!("db-{index}");
                let settings = StandInSettings::local(&name, "group", folder.path().join(&name));
                StandIn::start(settings).expect("the stand-in starts")
            })
            .collect();
        members[0].promote(Term(1)).expect("it is promoted");
        for replica in &members[1..] {
            let follows = replica.follow(&members[0], Term(1), LogPosition::default());
            follows.await.expect("it follows");
        }
        Self { folder, members }
    }

    /// Waits until a replica has what the primary has.
    async fn catch_up(&self, replica: usize, primary: usize) {
        let wanted = self.members[primary].state().end;
        let mut changes = self.members[replica].subscribe();
        let reached = changes.wait_for(|state| state.end >= wanted);
        let reached = tokio::time::timeout(HANG_GUARD, reached).await;
        reached.expect("the replica catches up").expect("it lives");
    }
}

async fn connect(database: &StandIn) -> Client {
    try_connect(database).await.expect("a connection")
}

async fn try_connect(database: &StandIn) -> Result<Client, tokio_postgres::Error> {
    let address = database.address();
    let text = format!(
        "host={} port={} user=system dbname=test",
        address.ip(),
        address.port()
    );
    let (client, connection) = tokio_postgres::connect(&text, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

const TABLE: &str = "CREATE TABLE weighing (id BIGSERIAL PRIMARY KEY, animal TEXT NOT NULL, \
                     grams INT NOT NULL, fridge BOOLEAN DEFAULT false)";

#[tokio::test]
async fn statements_run_with_typed_parameters_and_rows() {
    let group = TestGroup::start(1).await;
    let client = connect(&group.members[0]).await;
    client.batch_execute(TABLE).await.expect("a table");
    let text = "INSERT INTO weighing (animal, grams, fridge) VALUES ($1, $2, $3) RETURNING id";
    let row = client
        .query_one(text, &[&"leopard", &13_500_i32, &true])
        .await
        .expect("an insert");
    let id: i64 = row.get(0);
    let row = client
        .query_one(
            "SELECT animal, grams, fridge FROM weighing WHERE id = $1",
            &[&id],
        )
        .await
        .expect("a row");
    assert_eq!(row.get::<_, String>(0), "leopard");
    assert_eq!(row.get::<_, i32>(1), 13_500);
    assert!(row.get::<_, bool>(2));
    let text = "UPDATE weighing SET grams = grams + $2 WHERE id = $1";
    let changed = client.execute(text, &[&id, &-250_i32]).await;
    assert_eq!(changed.expect("an update"), 1);
    let row = client.query_one("SELECT count(*), sum(grams) FROM weighing", &[]);
    let row = row.await.expect("sums");
    assert_eq!(row.get::<_, i64>(0), 1);
    assert_eq!(row.get::<_, i64>(1), 13_250);
}

#[tokio::test]
async fn the_functions_of_postgresql_answer() {
    let group = TestGroup::start(2).await;
    let primary = connect(&group.members[0]).await;
    primary.batch_execute(TABLE).await.expect("a table");
    group.catch_up(1, 0).await;
    let replica = connect(&group.members[1]).await;
    let text = "SELECT pg_is_in_recovery(), timeline_id FROM pg_control_checkpoint()";
    let row = primary.query_one(text, &[]).await.expect("a row");
    assert!(!row.get::<_, bool>(0));
    assert_eq!(row.get::<_, i32>(1), 1);
    assert!(
        replica
            .query_one(text, &[])
            .await
            .expect("a row")
            .get::<_, bool>(0)
    );
    let end = group.members[0].state().end.position.to_string();
    let told = simple(&primary, "SELECT pg_current_wal_lsn()").await;
    assert_eq!(told, Some(end.clone()));
    let told = simple(&replica, "SELECT pg_last_wal_replay_lsn()").await;
    assert_eq!(told, Some(end));
    let unassigned = simple(&primary, "SELECT pg_current_xact_id_if_assigned()").await;
    assert_eq!(unassigned, None);
}

async fn simple(client: &Client, text: &str) -> Option<String> {
    let messages = client.simple_query(text).await.expect("an answer");
    messages.iter().find_map(|message| match message {
        tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}

#[tokio::test]
async fn the_fate_of_a_transaction_survives_a_promotion() {
    let group = TestGroup::start(2).await;
    let client = connect(&group.members[0]).await;
    client.batch_execute(TABLE).await.expect("a table");
    let insert = "INSERT INTO weighing (animal, grams) VALUES ('a', 1)";
    let shipped = transaction(&client, insert, "COMMIT").await;
    let undone = transaction(&client, insert, "ROLLBACK").await;
    group.catch_up(1, 0).await;
    group.members[1].fence(Term(2)).expect("a promise");
    let lost = transaction(&client, insert, "COMMIT").await;
    group.members[1].promote(Term(2)).expect("it is promoted");
    let promoted = connect(&group.members[1]).await;
    for (xid, wanted) in [
        (shipped, "committed"),
        (undone, "aborted"),
        (lost, "aborted"),
    ] {
        let told = simple(&promoted, &format!("SELECT pg_xact_status({xid})")).await;
        assert_eq!(told.as_deref(), Some(wanted));
    }
    let next = transaction(&promoted, insert, "COMMIT").await;
    assert!(next > lost, "no two terms give one number");
}

async fn transaction(client: &Client, statement: &str, end: &str) -> u64 {
    client.batch_execute("BEGIN").await.expect("a start");
    client.batch_execute(statement).await.expect("a statement");
    let xid = simple(client, "SELECT pg_current_xact_id_if_assigned()").await;
    client.batch_execute(end).await.expect("an end");
    xid.and_then(|xid| xid.parse().ok()).expect("a number")
}

#[tokio::test]
async fn a_dead_history_is_dropped_by_whoever_follows() {
    let group = TestGroup::start(2).await;
    let client = connect(&group.members[0]).await;
    client.batch_execute(TABLE).await.expect("a table");
    group.catch_up(1, 0).await;
    let end = group.members[1].fence(Term(2)).expect("a promise").end;
    // The old primary knows of nothing and takes writes that nobody else has.
    let insert = "INSERT INTO weighing (animal, grams) VALUES ('dead', 1), ('dead', 2)";
    client.batch_execute(insert).await.expect("a write");
    group.members[1].promote(Term(2)).expect("it is promoted");
    let promoted = connect(&group.members[1]).await;
    let insert = "INSERT INTO weighing (animal, grams) VALUES ('alive', 3)";
    promoted.batch_execute(insert).await.expect("a write");
    assert!(group.members[0].state().end.term < Term(2));
    let follows = group.members[0].follow(&group.members[1], Term(2), end);
    follows.await.expect("it follows");
    group.catch_up(0, 1).await;
    let old = connect(&group.members[0]).await;
    let rows = old
        .query("SELECT animal FROM weighing", &[])
        .await
        .expect("rows");
    let animals: Vec<String> = rows.iter().map(|row| row.get(0)).collect();
    assert_eq!(animals, ["alive"]);
    assert_eq!(group.members[0].state(), {
        let mut state = group.members[1].state();
        state.role = UpstreamRole::Replica;
        state
    });
}

#[tokio::test]
async fn a_fence_ends_open_writes_and_is_kept_over_a_restart() {
    let mut group = TestGroup::start(1).await;
    let client = connect(&group.members[0]).await;
    client.batch_execute(TABLE).await.expect("a table");
    let insert = "INSERT INTO weighing (animal, grams) VALUES ('a', 1)";
    client.batch_execute("BEGIN").await.expect("a start");
    client.batch_execute(insert).await.expect("a write");
    group.members[0].fence(Term(7)).expect("a promise");
    let error = client.batch_execute("COMMIT").await.expect_err("fenced");
    assert_eq!(error.code(), Some(&SqlState::ADMIN_SHUTDOWN));
    let client = connect(&group.members[0]).await;
    let error = client.batch_execute(insert).await.expect_err("fenced");
    assert_eq!(error.code(), Some(&SqlState::READ_ONLY_SQL_TRANSACTION));
    assert!(group.members[0].fence(Term(6)).is_err());
    assert!(group.members[0].promote(Term(6)).is_err());

    let before = group.members.remove(0).state();
    let settings = StandInSettings::local("db-0", "group", group.folder.path().join("db-0"));
    let restarted = StandIn::start(settings).expect("it starts again");
    assert_eq!(restarted.state(), before);
    let client = connect(&restarted).await;
    let row = client.query_one("SELECT count(*) FROM weighing", &[]).await;
    assert_eq!(row.expect("a row").get::<_, i64>(0), 0);
}

#[tokio::test]
async fn connections_beyond_the_limit_are_refused() {
    let folder = TempDir::new().expect("a temporary folder");
    let mut settings = StandInSettings::local("db", "group", folder.path().to_owned());
    settings.connections = 1;
    let database = StandIn::start(settings).expect("the stand-in starts");
    let client = connect(&database).await;
    let error = try_connect(&database).await.expect_err("no room");
    assert_eq!(error.code(), Some(&SqlState::TOO_MANY_CONNECTIONS));
    assert_eq!(database.open_connections(), 1);
    client
        .simple_query("SELECT 1")
        .await
        .expect("the first one works");
}

#[tokio::test]
async fn a_cancelled_statement_does_not_run() {
    let group = TestGroup::start(1).await;
    let client = connect(&group.members[0]).await;
    client.batch_execute(TABLE).await.expect("a table");
    let token = client.cancel_token();
    let slow = "INSERT INTO weighing (animal, grams) SELECT 'a', length(pg_sleep(600))";
    let cancels = async {
        // The first requests may come before the statement does.
        loop {
            token.cancel_query(NoTls).await.expect("a request");
        }
    };
    let ran = tokio::select! {
        ran = client.batch_execute(slow) => ran,
        () = cancels => unreachable!("requests go on for ever"),
    };
    assert_eq!(
        ran.expect_err("cancelled").code(),
        Some(&SqlState::QUERY_CANCELED)
    );
    let row = client.query_one("SELECT count(*) FROM weighing", &[]).await;
    assert_eq!(row.expect("a row").get::<_, i64>(0), 0);
}

#[tokio::test]
async fn recorded_bytes_are_found() {
    let group = TestGroup::start(1).await;
    group.members[0].recorder().switch_on();
    let client = connect(&group.members[0]).await;
    client
        .batch_execute("SELECT 'a-secret'")
        .await
        .expect("an answer");
    let recorder = group.members[0].recorder();
    assert!(recorder.contains(b"a-secret"));
    assert!(!recorder.contains(b"another-secret"));
    assert!(recorder.bytes() > 50);
}
