//! Tests of a database's slots: never exceeded, never leaked, never reused in a dirty state.

use crate::support::{
    self,
    FakeDatabase,
    Instance,
    ViewParts,
    eventually,
    group,
    order,
    position,
    query,
    upstream,
    within, //
};
use daisyseam_entry::{
    DatabaseLink,
    LinkBroker,
    StatementAccess, //
};
use daisyseam_model::announce::UpstreamRole;
use pgwire::messages::{
    PgWireFrontendMessage,
    simplequery::Query, //
};

/// Number of slots in the document.
const SLOTS: usize = 2;

async fn one_held_database() -> (FakeDatabase, Instance) {
    let database = FakeDatabase::start(UpstreamRole::Primary, position(1, 10)).await;
    let instance = Instance::start("entry-1", 1).await;
    let view = ViewParts::new()
        .instance("entry-1", 1, instance.server.address())
        .database("one", &database, Some("entry-1"));
    instance.apply_view(&view.0).await;
    (database, instance)
}

#[tokio::test]
async fn slots_are_never_exceeded_and_all_are_served() {
    let (database, instance) = one_held_database().await;
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..40 {
        let broker = instance.broker.clone();
        tasks.spawn(async move {
            let group = group();
            let opened = broker.open(order(&group, StatementAccess::Write)).await;
            let mut link = opened.expect("every request gets a link in time").link;
            let text = format!("SELECT {number}");
            assert_eq!(query(&mut link, &text).await.expect("an answer"), text);
            // Releases the link, drops it, or releases it within a transaction.
            match number % 3 {
                0 => link.release(),
                1 => drop(link),
                _ => {
                    query(&mut link, "BEGIN").await.expect("an answer");
                    link.release();
                }
            }
        });
    }
    within(tasks.join_all()).await;
    assert!(database.open_max() <= SLOTS, "more connections than slots");
    let handle = instance.table.get(&upstream("one")).expect("it is held");
    eventually("nothing is checked out", || {
        handle.counts().checked_out == 0
    })
    .await;
    assert_eq!(handle.counts().queued, 0);
}

#[tokio::test]
async fn a_clean_connection_is_reused() {
    let (database, instance) = one_held_database().await;
    let group = group();
    let mut opened = within(instance.broker.open(order(&group, StatementAccess::Write)))
        .await
        .expect("a link");
    query(&mut opened.link, "SELECT 1")
        .await
        .expect("an answer");
    opened.link.release();
    let handle = instance.table.get(&upstream("one")).expect("it is held");
    eventually("the connection is returned", || {
        handle.counts().checked_out == 0
    })
    .await;
    let mut opened = within(instance.broker.open(order(&group, StatementAccess::Write)))
        .await
        .expect("a link");
    query(&mut opened.link, "SELECT 2")
        .await
        .expect("an answer");
    let first = database.connection_of("SELECT 1");
    assert_eq!(first, database.connection_of("SELECT 2"));
}

#[tokio::test]
async fn a_connection_with_an_outstanding_answer_is_closed_and_its_query_cancelled() {
    let (database, instance) = one_held_database().await;
    let group = group();
    let mut opened = within(instance.broker.open(order(&group, StatementAccess::Write)))
        .await
        .expect("a link");
    database.set_answers(false);
    let message = PgWireFrontendMessage::Query(Query::new("SELECT slow".to_owned()));
    opened
        .link
        .send(message)
        .await
        .expect("the query is buffered");
    opened.link.flush().await.expect("it is sent");
    eventually("the query is received", || {
        database.connection_of("SELECT slow").is_some()
    })
    .await;
    // The link is released although an answer is outstanding.
    opened.link.release();
    let process = database
        .connection_of("SELECT slow")
        .expect("the query is received");
    eventually("the query is cancelled", || {
        database.cancelled() == [process]
    })
    .await;
    database.set_answers(true);
    for number in 0..4 {
        let mut opened = within(instance.broker.open(order(&group, StatementAccess::Write)))
            .await
            .expect("a link");
        let text = format!("SELECT after-{number}");
        assert_eq!(
            query(&mut opened.link, &text).await.expect("an answer"),
            text
        );
        assert_ne!(database.connection_of(&text), Some(process));
        opened.link.release();
    }
}

#[tokio::test]
async fn an_abandoned_queued_request_leaks_no_slot() {
    let (database, instance) = one_held_database().await;
    let group = group();
    let mut links = Vec::new();
    for _ in 0..SLOTS {
        let opened = instance.broker.open(order(&group, StatementAccess::Write));
        links.push(within(opened).await.expect("a link").link);
    }
    let handle = instance.table.get(&upstream("one")).expect("it is held");
    let broker = instance.broker.clone();
    let waiting = tokio::spawn(async move {
        let group = support::group();
        let _ = broker.open(order(&group, StatementAccess::Write)).await;
    });
    eventually("a request waits", || handle.counts().queued == 1).await;
    waiting.abort();
    let _ = waiting.await;
    for link in links {
        link.release();
    }
    eventually("nothing is checked out", || {
        handle.counts().checked_out == 0
    })
    .await;
    for _ in 0..SLOTS {
        let opened = instance.broker.open(order(&group, StatementAccess::Write));
        std::mem::forget(within(opened).await.expect("a link"));
    }
    assert!(database.open_max() <= SLOTS, "more connections than slots");
}
