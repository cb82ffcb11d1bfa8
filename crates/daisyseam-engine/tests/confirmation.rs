//! Tests that a commit is acknowledged only once databases that control counts have it.

mod support;

use daisyseam_engine::RequestVerb;
use daisyseam_model::{
    ErrorKind,
    FleetView,
    document::CommitPolicy, //
};
use std::{
    sync::Arc,
    time::Duration, //
};
use support::{
    Fleet,
    caller::{
        BEGIN,
        FakeCaller,
        write, //
    },
    database::FakeDatabases, //
};
use test_case::test_case;
use tokio::time::Instant;

/// Target latency of the services, after which a caller is told that the outcome is unknown.
const TARGET_LATENCY: Duration = Duration::from_millis(400);

/// Makes commits count as durable with a number of replicas.
fn require_replicas(view: &mut FleetView, replicas: usize) {
    let mut document = view.document.as_deref().unwrap().clone();
    let group = document.groups.get_mut("g").unwrap();
    group.commit = CommitPolicy::Replicas(replicas);
    view.document = Some(Arc::new(document));
}

/// Starts a fleet whose primary acknowledges a commit once `receiver` has it. The database `n` runs,
/// but is not in the view.
fn start(receiver: &str) -> Fleet {
    let databases = FakeDatabases::new(&["p", "a", "b", "n"]);
    databases.with("p", |primary| {
        primary.sync_replicas = [receiver.parse().unwrap()].into();
    });
    let mut fleet = Fleet::with_databases(databases, 30);
    fleet.change_view(|view| {
        require_replicas(view, 1);
        view.upstreams.remove("n");
    });
    fleet
}

/// Writes once, in a transaction or outside of one, and returns the result.
async fn try_write(caller: &mut FakeCaller, in_transaction: bool) -> Result<(), ErrorKind> {
    let verb = match in_transaction {
        false => write("write 1"),
        true => {
            caller.ok(BEGIN).await;
            caller.ok(write("write 1")).await;
            RequestVerb::Commit
        }
    };
    let answer = caller.ask(verb).await;
    answer.outcome.map(|_| ()).map_err(|error| error.kind)
}

/// Guards against the loss of an acknowledged commit that only the primary and a replica unknown to
/// control had.
#[test_case(false; "of a single write")]
#[test_case(true; "of a transaction")]
#[tokio::test(start_paused = true)]
async fn a_commit_that_only_an_unlisted_replica_has_is_not_acknowledged(in_transaction: bool) {
    let fleet = start("n");
    let mut caller = fleet.session("primary").await;
    let started_at = Instant::now();
    let result = try_write(&mut caller, in_transaction).await;
    assert_eq!(result, Err(ErrorKind::OutcomeUnknown));
    assert!(started_at.elapsed() < TARGET_LATENCY * 2);
    assert_eq!(fleet.databases.with("p", |p| p.committed.len()), 1);
}

#[test_case(false; "of a single write")]
#[test_case(true; "of a transaction")]
#[tokio::test(start_paused = true)]
async fn a_commit_is_acknowledged_once_any_listed_replica_has_it(in_transaction: bool) {
    for receiver in ["a", "b"] {
        let fleet = start(receiver);
        let mut caller = fleet.session("primary").await;
        let started_at = Instant::now();
        assert_eq!(try_write(&mut caller, in_transaction).await, Ok(()));
        assert!(started_at.elapsed() < TARGET_LATENCY);
    }
}
