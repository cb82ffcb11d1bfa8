//! Tests of commit confirmation, positions of primaries, and transaction outcomes.

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

/// Three databases held by one instance.
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
    instance.apply_view(&view.0).await;
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

    /// Waits until the current state of every database has been read.
    async fn refresh_states(&self) {
        for name in ["one", "two", "three"] {
            let handle = self
                .instance
                .table
                .get(&upstream(name))
                .expect("it is held");
            handle.fresh_state(deadline()).await.expect("it answers");
        }
    }
}

#[tokio::test]
async fn a_commit_is_confirmed_by_a_majority_and_not_before() {
    let fleet = fleet().await;
    let confirmed = fleet.confirm(10);
    fleet.refresh_states().await;
    assert!(
        !confirmed.is_finished(),
        "one of three databases is not a majority"
    );
    fleet.two.set_end(position(1, 9));
    fleet.refresh_states().await;
    assert!(
        !confirmed.is_finished(),
        "the replica has not reached the position"
    );
    fleet.three.set_end(position(1, 12));
    assert_eq!(within(confirmed).await.expect("the task completes"), Ok(()));
}

#[tokio::test]
async fn a_later_term_does_not_confirm_a_commit() {
    let fleet = fleet().await;
    let confirmed = fleet.confirm(10);
    fleet.two.set_end(position(2, 50));
    fleet.three.set_end(position(2, 50));
    fleet.refresh_states().await;
    assert!(
        !confirmed.is_finished(),
        "a position of another term does not count"
    );
    let fenced = fleet.view.group(2, PrimaryState::Fenced);
    fleet.instance.apply_view(&fenced.0).await;
    let end = within(confirmed).await.expect("the task completes");
    assert_eq!(end, Err(ErrorKind::OutcomeUnknown));
}

#[tokio::test]
async fn an_expired_lease_confirms_nothing() {
    let fleet = fleet().await;
    fleet.two.set_end(position(1, 10));
    let view = fleet.instance.cell.held().view.clone();
    let lapsed = HeldView {
        view: view.clone(),
        lease_until: Some(Instant::now()),
    };
    fleet.instance.cell.replace(lapsed);
    let confirmed = fleet.confirm(10);
    fleet.refresh_states().await;
    assert!(!confirmed.is_finished(), "the lease has expired");
    let renewed = HeldView {
        view,
        lease_until: Some(deadline()),
    };
    fleet.instance.cell.replace(renewed);
    assert_eq!(within(confirmed).await.expect("the task completes"), Ok(()));
}

#[tokio::test]
async fn a_commit_of_an_ended_term_is_not_confirmed_by_late_replicas() {
    let fleet = fleet().await;
    let confirmed = fleet.confirm(10);
    fleet.refresh_states().await;
    let fenced = fleet.view.group(2, PrimaryState::Fenced);
    fleet.instance.apply_view(&fenced.0).await;
    fleet.two.set_end(position(1, 10));
    let end = within(confirmed).await.expect("the task completes");
    assert_eq!(end, Err(ErrorKind::OutcomeUnknown));
}

#[tokio::test]
async fn a_read_goes_to_a_replica_known_to_have_reached_the_position() {
    let fleet = fleet().await;
    fleet.three.set_end(position(1, 10));
    let confirmed = fleet.confirm(10);
    assert_eq!(within(confirmed).await.expect("the task completes"), Ok(()));
    let group = group();
    let access = StatementAccess::ReadAtLeast(position(1, 10));
    let opened = within(fleet.instance.broker.open(order(&group, access))).await;
    let mut opened = opened.expect("a link");
    assert_eq!(opened.upstream, upstream("three"));
    assert!(!opened.primary);
    query(&mut opened.link, "SELECT read")
        .await
        .expect("an answer");
    assert!(fleet.three.connection_of("SELECT read").is_some());
}

#[tokio::test]
async fn a_requested_age_is_proved_by_the_primary_and_not_by_a_clock() {
    let fleet = fleet().await;
    let group = group();
    let access = StatementAccess::ReadWithin {
        age: Duration::from_secs(3_600),
        floor: None,
    };
    // No sample exists, so the primary is queried first. It is at 10, which no replica has reached.
    let opened = within(fleet.instance.broker.open(order(&group, access))).await;
    assert!(opened.expect("a link").primary);
    // From now on, a database that has reached 10 is known to be no older than that query.
    fleet.one.set_end(position(1, 99));
    fleet.two.set_end(position(1, 10));
    fleet.refresh_states().await;
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
async fn an_outcome_follows_the_status_on_the_primary(
    status: &'static str,
    outcome: TransactionOutcome,
) {
    let fleet = fleet().await;
    fleet.one.set_status(42, status);
    fleet.two.set_end(position(1, 10));
    let broker = &fleet.instance.broker;
    let found = within(broker.outcome(&group(), Term(1), 42, deadline())).await;
    assert_eq!(found, outcome);
}

#[tokio::test]
async fn a_commit_without_a_majority_is_not_reported_as_committed() {
    let fleet = fleet().await;
    fleet.one.set_status(42, "committed");
    let broker = &fleet.instance.broker;
    let soon = Instant::now() + Duration::from_millis(150);
    let found = within(broker.outcome(&group(), Term(1), 42, soon)).await;
    assert_eq!(found, TransactionOutcome::Unknown);
}

#[tokio::test]
async fn a_transaction_unknown_to_the_next_primary_was_aborted() {
    let fleet = fleet().await;
    let active = fleet.view.group(2, PrimaryState::Active(upstream("two")));
    fleet.two.set_state(2, UpstreamRole::Primary);
    fleet.two.set_end(position(2, 6));
    fleet.instance.apply_view(&active.0).await;
    let broker = &fleet.instance.broker;
    let found = within(broker.outcome(&group(), Term(1), 42, deadline())).await;
    assert_eq!(found, TransactionOutcome::Aborted);
}

#[tokio::test]
async fn a_later_primary_that_reused_the_identifier_is_not_trusted() {
    let fleet = fleet().await;
    let active = fleet.view.group(2, PrimaryState::Active(upstream("two")));
    fleet.two.set_state(2, UpstreamRole::Primary);
    fleet.two.set_end(position(2, 6));
    fleet.two.set_status(42, "committed");
    fleet.instance.apply_view(&active.0).await;
    let broker = &fleet.instance.broker;
    let found = within(broker.outcome(&group(), Term(1), 42, deadline())).await;
    assert_eq!(found, TransactionOutcome::Unknown);
}
