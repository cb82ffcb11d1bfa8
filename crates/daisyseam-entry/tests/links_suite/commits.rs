//! Confirmation of commits, positions of primaries, and outcomes.

use crate::support::{
    FakeDatabase,
    Instance,
    ViewParts,
    deadline,
    group,
    order,
    position,
    query,
    upstream,
    within, //
};
use daisyseam_entry::{
    HeldView,
    LinkBroker,
    StatementAccess,
    TransactionOutcome, //
};
use daisyseam_model::{
    ErrorKind,
    PrimaryState,
    Term,
    announce::UpstreamRole, //
};
use std::time::Duration;
use test_case::test_case;
use tokio::{
    task::JoinHandle,
    time::Instant, //
};

/// Three databases, all held by one instance.
struct Fleet {
    one: FakeDatabase,
    two: FakeDatabase,
    three: FakeDatabase,
    instance: Instance,
    view: ViewParts,
}

async fn fleet() -> Fleet {
    let one = FakeDatabase::start(UpstreamRole::Primary, position(1, 10)).await;
    let two = FakeDatabase::start(UpstreamRole::Replica, position(1, 5)).await;
    let three = FakeDatabase::start(UpstreamRole::Replica, position(1, 5)).await;
    let instance = Instance::start("entry-1", 1).await;
    let view = ViewParts::new()
        .instance("entry-1", 1, instance.server.address())
        .database("one", &one, Some("entry-1"))
        .database("two", &two, Some("entry-1"))
        .database("three", &three, Some("entry-1"));
    instance.hold(&view.0).await;
    Fleet {
        one,
        two,
        three,
        instance,
        view,
    }
}

impl Fleet {
    fn confirm(&self, at: u64) -> JoinHandle<Result<(), ErrorKind>> {
        let broker = self.instance.broker.clone();
        tokio::spawn(async move {
            let group = group();
            let confirmed = broker.confirm(&group, position(1, at), deadline());
            confirmed.await.map_err(|error| error.kind)
        })
    }

    /// Waits until every database has been asked whether it has reached a position.
    async fn settle(&self) {
        for name in ["one", "two", "three"] {
            let handle = self.instance.table.get(&upstream(name)).expect("held");
            handle.fresh_state(deadline()).await.expect("it answers");
        }
    }
}

#[tokio::test]
async fn a_commit_is_confirmed_by_a_majority_and_not_before() {
    let fleet = fleet().await;
    let confirmed = fleet.confirm(10);
    fleet.settle().await;
    assert!(!confirmed.is_finished(), "one of three is no majority");
    fleet.two.set_end(position(1, 9));
    fleet.settle().await;
    assert!(!confirmed.is_finished(), "the replica is not there yet");
    fleet.three.set_end(position(1, 12));
    assert_eq!(within(confirmed).await.expect("it runs"), Ok(()));
}

#[tokio::test]
async fn a_later_term_does_not_confirm_a_commit() {
    let fleet = fleet().await;
    let confirmed = fleet.confirm(10);
    fleet.two.set_end(position(2, 50));
    fleet.three.set_end(position(2, 50));
    fleet.settle().await;
    assert!(!confirmed.is_finished(), "another term is another history");
    let fenced = fleet.view.group(2, PrimaryState::Fenced);
    fleet.instance.hold(&fenced.0).await;
    let end = within(confirmed).await.expect("it runs");
    assert_eq!(end, Err(ErrorKind::OutcomeUnknown));
}

#[tokio::test]
async fn a_lapsed_lease_confirms_nothing() {
    let fleet = fleet().await;
    fleet.two.set_end(position(1, 10));
    let view = fleet.instance.cell.held().view.clone();
    let lapsed = HeldView {
        view: view.clone(),
        lease_until: Some(Instant::now()),
    };
    fleet.instance.cell.replace(lapsed);
    let confirmed = fleet.confirm(10);
    fleet.settle().await;
    assert!(!confirmed.is_finished(), "there is no lease");
    let renewed = HeldView {
        view,
        lease_until: Some(deadline()),
    };
    fleet.instance.cell.replace(renewed);
    assert_eq!(within(confirmed).await.expect("it runs"), Ok(()));
}

#[tokio::test]
async fn a_commit_whose_term_ended_under_it_is_not_confirmed_by_late_replicas() {
    let fleet = fleet().await;
    let confirmed = fleet.confirm(10);
    fleet.settle().await;
    let fenced = fleet.view.group(2, PrimaryState::Fenced);
    fleet.instance.hold(&fenced.0).await;
    fleet.two.set_end(position(1, 10));
    let end = within(confirmed).await.expect("it runs");
    assert_eq!(end, Err(ErrorKind::OutcomeUnknown));
}

#[tokio::test]
async fn a_read_goes_to_the_replica_that_is_known_to_be_there() {
    let fleet = fleet().await;
    fleet.three.set_end(position(1, 10));
    let confirmed = fleet.confirm(10);
    assert_eq!(within(confirmed).await.expect("it runs"), Ok(()));
    let group = group();
    let access = StatementAccess::ReadAtLeast(position(1, 10));
    let opened = within(fleet.instance.broker.open(order(&group, access))).await;
    let mut opened = opened.expect("a link");
    assert_eq!(opened.upstream, upstream("three"));
    assert!(!opened.primary);
    query(&mut opened.link, "SELECT read").await.expect("it");
    assert!(fleet.three.connection_of("SELECT read").is_some());
}

#[tokio::test]
async fn a_stated_age_is_proved_by_the_primary_and_not_by_a_clock() {
    let fleet = fleet().await;
    let group = group();
    let access = StatementAccess::ReadWithin {
        age: Duration::from_secs(3_600),
        floor: None,
    };
    // The primary stands at 10 and is asked first: no replica is there, so none is fresh enough.
    let opened = within(fleet.instance.broker.open(order(&group, access))).await;
    assert!(opened.expect("a link").primary);
    // From here on, whatever has reached 10 is known to be no older than that question.
    fleet.one.set_end(position(1, 99));
    fleet.two.set_end(position(1, 10));
    fleet.settle().await;
    let opened = within(fleet.instance.broker.open(order(&group, access))).await;
    assert_eq!(opened.expect("a link").upstream, upstream("two"));
}

#[tokio::test]
async fn a_barrier_is_read_after_the_call() {
    let fleet = fleet().await;
    let broker = &fleet.instance.broker;
    let first = within(broker.barrier(&group(), deadline())).await;
    assert_eq!(first, Ok(position(1, 10)));
    fleet.one.set_end(position(1, 77));
    let second = within(broker.barrier(&group(), deadline())).await;
    assert_eq!(second, Ok(position(1, 77)));
}

#[test_case("committed", TransactionOutcome::Committed(position(1, 10)); "committed and with a majority")]
#[test_case("aborted", TransactionOutcome::Aborted; "rolled back")]
#[test_case("", TransactionOutcome::Unknown; "not known in its own term")]
#[tokio::test]
async fn an_outcome_is_answered_as_the_primary_knows_it(
    status: &'static str,
    outcome: TransactionOutcome,
) {
    let fleet = fleet().await;
    fleet.one.set_status(42, status);
    fleet.two.set_end(position(1, 10));
    let broker = &fleet.instance.broker;
    let told = within(broker.outcome(&group(), Term(1), 42, deadline())).await;
    assert_eq!(told, outcome);
}

#[tokio::test]
async fn a_commit_that_no_majority_has_is_not_told_as_committed() {
    let fleet = fleet().await;
    fleet.one.set_status(42, "committed");
    let broker = &fleet.instance.broker;
    let soon = Instant::now() + Duration::from_millis(150);
    let told = within(broker.outcome(&group(), Term(1), 42, soon)).await;
    assert_eq!(told, TransactionOutcome::Unknown);
}

#[tokio::test]
async fn a_transaction_that_the_next_primary_does_not_know_was_not_run() {
    let fleet = fleet().await;
    let active = fleet.view.group(2, PrimaryState::Active(upstream("two")));
    fleet.two.set_state(2, UpstreamRole::Primary);
    fleet.two.set_end(position(2, 6));
    fleet.instance.hold(&active.0).await;
    let broker = &fleet.instance.broker;
    let told = within(broker.outcome(&group(), Term(1), 42, deadline())).await;
    assert_eq!(told, TransactionOutcome::Aborted);
}

#[tokio::test]
async fn a_later_primary_that_gave_the_identifier_again_is_not_believed() {
    let fleet = fleet().await;
    let active = fleet.view.group(2, PrimaryState::Active(upstream("two")));
    fleet.two.set_state(2, UpstreamRole::Primary);
    fleet.two.set_end(position(2, 6));
    fleet.two.set_status(42, "committed");
    fleet.instance.hold(&active.0).await;
    let broker = &fleet.instance.broker;
    let told = within(broker.outcome(&group(), Term(1), 42, deadline())).await;
    assert_eq!(told, TransactionOutcome::Unknown);
}
