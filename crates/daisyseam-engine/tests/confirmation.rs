//! Tests that a commit is acknowledged only once databases that control counts have it.

mod support;

use daisyseam_engine::RequestVerb;
use daisyseam_model::{
    ErrorKind,
    FleetView,
    document::CommitPolicy, //
};
use std::{
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::Duration, //
};
use support::{
    Fleet,
    caller::{
        BEGIN,
        FakeCaller,
        read,
        write, //
    },
    database::FakeDatabases,
    relay::RelayFleet, //
};
use test_case::test_case;
use tokio::time::{
    Instant,
    sleep, //
};

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

/// Returns the number of queries for the end of a database's log.
fn queries(fleet: &Fleet, name: &str) -> usize {
    let calls = fleet.databases.calls(name);
    calls.iter().filter(|call| call.contains("status")).count()
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

/// Guards against commits that wait for voters in a group whose databases do not acknowledge by
/// themselves.
#[tokio::test(start_paused = true)]
async fn a_commit_of_a_group_without_voters_is_acknowledged() {
    let mut fleet = start("a");
    fleet.change_view(|view| {
        let mut document = view.document.as_deref().unwrap().clone();
        let group = document.groups.get_mut("g").unwrap();
        group.commit = CommitPolicy::Majority;
        view.document = Some(Arc::new(document));
        for upstream in view.upstreams.values_mut() {
            upstream.voter = false;
        }
    });
    let mut caller = fleet.session("primary").await;
    assert_eq!(try_write(&mut caller, false).await, Ok(()));
}

/// Guards against the loss of an acknowledged commit with a replica that leaves.
#[tokio::test(start_paused = true)]
async fn a_commit_that_only_a_leaving_replica_has_is_not_acknowledged() {
    let mut fleet = start("a");
    fleet.change_view(|view| view.upstreams.get_mut("a").unwrap().leaving = true);
    let mut caller = fleet.session("primary").await;
    let result = try_write(&mut caller, false).await;
    assert_eq!(result, Err(ErrorKind::OutcomeUnknown));
}

/// Guards against the loss of an acknowledged commit whose copies elections do not count.
#[test_case("a"; "of the replica that has it")]
#[test_case("p"; "of the primary")]
#[tokio::test(start_paused = true)]
async fn a_commit_waits_until_its_copies_count(learner: &str) {
    let mut fleet = start("a");
    let set_voter = |voter: bool| {
        move |view: &mut FleetView| view.upstreams.get_mut(learner).unwrap().voter = voter
    };
    fleet.change_view(set_voter(false));
    let mut caller = fleet.session("primary").await;
    let result = try_write(&mut caller, false).await;
    assert_eq!(result, Err(ErrorKind::OutcomeUnknown));
    let mut caller = fleet.session("primary").await;
    caller.send(write("write 2"));
    sleep(Duration::from_millis(100)).await;
    fleet.change_view(set_voter(true));
    let answer = caller.answer().await;
    assert!(answer.outcome.is_ok(), "{answer:?}");
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

#[tokio::test(start_paused = true)]
async fn a_commit_is_acknowledged_once_the_replica_that_has_it_is_listed() {
    let mut fleet = start("n");
    let listed = fleet.cell.held().view.upstreams["a"].clone();
    let mut caller = fleet.session("primary").await;
    caller.send(write("write 1"));
    sleep(Duration::from_millis(100)).await;
    let addresses = fleet.databases.addresses();
    let (name, address) = addresses
        .into_iter()
        .find(|(name, _)| name.as_str() == "n")
        .unwrap();
    fleet.change_view(|view| {
        let mut joined = listed;
        (joined.address, joined.admin_address) = (address, address);
        view.upstreams.insert(name, joined);
    });
    let answer = caller.answer().await;
    assert!(answer.outcome.is_ok(), "{answer:?}");
}

#[tokio::test(start_paused = true)]
async fn a_commit_waits_for_as_many_replicas_as_the_document_asks_for() {
    let mut fleet = start("a");
    fleet.change_view(|view| require_replicas(view, 2));
    let mut caller = fleet.session("primary").await;
    caller.send(write("write 1"));
    sleep(Duration::from_millis(200)).await;
    let end = fleet.databases.with("a", |a| a.position);
    fleet.databases.with("b", |b| b.position = end);
    let answer = caller.answer().await;
    assert!(answer.outcome.is_ok(), "{answer:?}");
}

#[tokio::test(start_paused = true)]
async fn a_restarted_replica_counts_only_with_what_its_process_reported() {
    let mut fleet = start("a");
    let mut caller = fleet.session("session").await;
    assert_eq!(try_write(&mut caller, false).await, Ok(()));
    fleet.databases.with("p", |p| {
        p.sync_replicas = ["n".parse().unwrap()].into();
    });
    fleet
        .databases
        .with("a", |a| a.position = support::position(1, 0));
    fleet.change_view(|view| view.upstreams.get_mut("a").unwrap().born_ms = 7);
    let result = try_write(&mut caller, false).await;
    assert_eq!(result, Err(ErrorKind::OutcomeUnknown));
}

#[tokio::test(start_paused = true)]
async fn a_primary_that_was_replaced_meanwhile_gives_an_unknown_outcome_at_once() {
    let mut fleet = start("n");
    let mut caller = fleet.session("primary").await;
    caller.send(write("write 1"));
    sleep(Duration::from_millis(50)).await;
    fleet.promote("a");
    let changed_at = Instant::now();
    let answer = caller.answer().await;
    assert_eq!(answer.outcome.unwrap_err().kind, ErrorKind::OutcomeUnknown);
    assert!(changed_at.elapsed() < Duration::from_millis(5));
}

#[tokio::test(start_paused = true)]
async fn replies_to_reads_confirm_commits_without_a_query() {
    let fleet = start("a");
    let mut reader = fleet.session("session").await;
    let reads = tokio::spawn(async move {
        loop {
            reader.ok(read("read 1")).await;
        }
    });
    // The first read of a session goes to the primary until a position is known.
    sleep(Duration::from_millis(50)).await;
    let mut caller = fleet.session("primary").await;
    for _ in 0..10 {
        assert_eq!(try_write(&mut caller, false).await, Ok(()));
    }
    reads.abort();
    assert_eq!(queries(&fleet, "a") + queries(&fleet, "b"), 0);
}

#[tokio::test(start_paused = true)]
async fn commits_that_wait_together_share_the_queries_of_a_replica() {
    let fleet = start("n");
    let mut callers = Vec::new();
    for _ in 0..20 {
        let mut caller = fleet.session("primary").await;
        caller.send(write("write 1"));
        callers.push(caller);
    }
    for caller in &mut callers {
        let answer = caller.answer().await;
        assert_eq!(answer.outcome.unwrap_err().kind, ErrorKind::OutcomeUnknown);
    }
    let asked = queries(&fleet, "a");
    assert!((1..40).contains(&asked), "{asked} queries");
}

#[tokio::test]
async fn the_holder_of_a_replica_confirms_commits_for_other_instances() {
    let mut fleet = RelayFleet::start(12, 10).await;
    fleet.change_view(|view| require_replicas(view, 1)).await;
    fleet.databases.with("p", |p| {
        p.sync_replicas = ["a".parse().unwrap()].into();
    });
    let mut caller = fleet.session("primary").await;
    for _ in 0..5 {
        caller.ok(write("write 1")).await;
    }
    let connects = fleet.databases.with("a", |a| a.connects);
    assert!(connects <= 2, "{connects} connections were opened");
}

/// Guards against the loss of an acknowledged commit whose group the document drops meanwhile.
#[tokio::test(start_paused = true)]
async fn a_commit_is_not_acknowledged_because_the_document_drops_its_group() {
    let mut fleet = start("n");
    let mut caller = fleet.session("primary").await;
    caller.send(write("write 1"));
    sleep(Duration::from_millis(50)).await;
    fleet.change_document(|document| document.groups.clear());
    let answer = caller.answer().await;
    assert_eq!(answer.outcome.unwrap_err().kind, ErrorKind::OutcomeUnknown);
}

/// Guards against the loss of an acknowledged commit of a primary that restarted with an empty log.
#[tokio::test(start_paused = true)]
async fn a_commit_of_a_primary_that_restarted_is_not_acknowledged() {
    let mut fleet = start("n");
    let mut caller = fleet.session("primary").await;
    caller.send(write("write 1"));
    sleep(Duration::from_millis(50)).await;
    fleet
        .databases
        .with("a", |a| a.position = support::position(1, 150));
    fleet.change_view(|view| view.upstreams.get_mut("p").unwrap().born_ms = 7);
    let answer = caller.answer().await;
    assert_eq!(answer.outcome.unwrap_err().kind, ErrorKind::OutcomeUnknown);
}

#[tokio::test(start_paused = true)]
async fn databases_of_an_evacuated_data_centre_are_not_queried() {
    let mut fleet = start("b");
    fleet.change_view(|view| {
        view.evacuated.insert(support::data_centre("dc-2"));
    });
    let mut caller = fleet.session("primary").await;
    let result = try_write(&mut caller, false).await;
    assert_eq!(result, Err(ErrorKind::OutcomeUnknown));
    assert_eq!(queries(&fleet, "b"), 0);
    assert!(queries(&fleet, "a") > 0);
}

/// Guards against a group that confirms no commit because its only other voter is in an evacuated
/// data centre.
#[test_case(false; "where it is the only other database")]
#[test_case(true; "beside a database that does not count")]
#[tokio::test(start_paused = true)]
async fn the_only_replica_confirms_commits_from_an_evacuated_data_centre(has_learner: bool) {
    let mut fleet = start("b");
    fleet.change_view(|view| {
        view.evacuated.insert(support::data_centre("dc-2"));
        match has_learner {
            true => view.upstreams.get_mut("a").unwrap().voter = false,
            false => drop(view.upstreams.remove("a")),
        }
    });
    let mut caller = fleet.session("primary").await;
    assert_eq!(try_write(&mut caller, false).await, Ok(()));
}

#[tokio::test]
async fn a_commit_that_is_confirmed_early_closes_no_connection() {
    let mut fleet = RelayFleet::start(12, 10).await;
    fleet.change_view(|view| require_replicas(view, 1)).await;
    fleet.databases.with("p", |p| {
        p.sync_replicas = ["a".parse().unwrap()].into();
    });
    let entry = &fleet.other("p").fleet;
    let mut readers = Vec::new();
    for _ in 0..4 {
        let mut reader = entry.session("session").await;
        readers.push(tokio::spawn(async move {
            loop {
                reader.ok(read("read 1")).await;
            }
        }));
    }
    let mut caller = entry.session("primary").await;
    for _ in 0..50 {
        caller.ok(write("write 1")).await;
    }
    for reader in readers {
        reader.abort();
    }
    let instances = fleet.instances.iter();
    let accepted: usize = instances
        .map(|instance| instance.accepted.load(Ordering::Relaxed))
        .sum();
    assert!(accepted < 25, "{accepted} connections between instances");
}

/// Guards against unknown outcomes of all commits while the holders run an earlier version.
#[tokio::test]
async fn a_commit_is_confirmed_although_a_holder_does_not_know_the_request() {
    let mut fleet = RelayFleet::start(24, 10).await;
    let of_primary = fleet.holders("p");
    let first_holder = |name: &&str| fleet.holders(name)[0];
    let mut replicas = ["a", "b"].into_iter();
    let replica = replicas.find(|name| !of_primary.contains(&first_holder(name)));
    let replica = replica.expect("a replica whose first holder does not hold the primary");
    let holder = first_holder(&replica);
    fleet
        .change_view(|view| {
            require_replicas(view, 1);
            view.upstreams
                .retain(|name, _| ["p", replica].contains(&name.as_str()));
        })
        .await;
    fleet.databases.with("p", |p| {
        p.sync_replicas = [replica.parse().unwrap()].into();
    });
    fleet.instances[holder].forget_calls().await;
    let mut caller = fleet.session("primary").await;
    for _ in 0..5 {
        caller.ok(write("write 1")).await;
    }
}
