//! Slots of one database: never more than admitted, never leaked, never checked out dirty.

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

/// Connections that the document admits.
const SLOTS: usize = 2;

async fn one_held() -> (FakeDatabase, Instance) {
    let database = FakeDatabase::start(UpstreamRole::Primary, position(1, 10)).await;
    let instance = Instance::start("entry-1", 1).await;
    let view = ViewParts::new()
        .instance("entry-1", 1, instance.server.address())
        .database("one", &database, Some("entry-1"));
    instance.hold(&view.0).await;
    (database, instance)
}

#[tokio::test]
async fn slots_are_never_exceeded_and_all_are_served() {
    let (database, instance) = one_held().await;
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..40 {
        let broker = instance.broker.clone();
        tasks.spawn(async move {
            let group = group();
            let opened = broker.open(order(&group, StatementAccess::Write)).await;
            let mut link = opened.expect("there is time for all").link;
            let text = format!("SELECT {number}");
            assert_eq!(query(&mut link, &text).await.expect("an answer"), text);
            // Some give the connection back, some leave it open, some drop it in a transaction.
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
async fn a_clean_connection_is_used_again() {
    let (database, instance) = one_held().await;
    let group = group();
    let mut opened = within(instance.broker.open(order(&group, StatementAccess::Write)))
        .await
        .expect("a link");
    query(&mut opened.link, "SELECT 1")
        .await
        .expect("an answer");
    opened.link.release();
    let handle = instance.table.get(&upstream("one")).expect("it is held");
    eventually("it came back", || handle.counts().checked_out == 0).await;
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
async fn a_connection_with_an_answer_owed_is_closed_and_told_to_cancel() {
    let (database, instance) = one_held().await;
    let group = group();
    let mut opened = within(instance.broker.open(order(&group, StatementAccess::Write)))
        .await
        .expect("a link");
    database.set_answers(false);
    let message = PgWireFrontendMessage::Query(Query::new("SELECT slow".to_owned()));
    opened.link.send(message).await.expect("it is taken");
    opened.link.flush().await.expect("it is sent");
    eventually("the query came in", || {
        database.connection_of("SELECT slow").is_some()
    })
    .await;
    // The caller claims that all is done, which must not be believed.
    opened.link.release();
    let owed = database.connection_of("SELECT slow").expect("it came in");
    eventually("it was cancelled", || database.cancelled() == [owed]).await;
    database.set_answers(true);
    for number in 0..4 {
        let mut opened = within(instance.broker.open(order(&group, StatementAccess::Write)))
            .await
            .expect("a link");
        let text = format!("SELECT after-{number}");
        assert_eq!(query(&mut opened.link, &text).await.expect("it"), text);
        assert_ne!(database.connection_of(&text), Some(owed));
        opened.link.release();
    }
}

#[tokio::test]
async fn one_that_gives_up_in_the_queue_leaves_no_slot_behind() {
    let (database, instance) = one_held().await;
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
    eventually("one waits", || handle.counts().queued == 1).await;
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
