//! Keys through a whole fleet: none reaches a database, and a withdrawn one stops working.

use crate::support::{
    HANG_GUARD,
    ORGANISATION,
    code,
    connect,
    guarded,
    number,
    plan,
    run,
    start,
    target, //
};
use daisyseam_bench::{
    fleet::{
        example_key,
        next_document, //
    },
    load::CallerSession, //
};
use tokio::time::Instant;

#[tokio::test(flavor = "multi_thread")]
async fn no_database_ever_receives_a_key() {
    let mut plan = plan(5);
    plan.records_bytes = true;
    let fleet = start(plan).await;
    let key = example_key(ORGANISATION);
    let mut session = connect(&fleet, 0, None).await;
    run(&mut session, "CREATE TABLE stays (id BIGINT, note TEXT)").await;
    run(&mut session, "INSERT INTO stays VALUES (1, 'not-secret')").await;
    let text = format!("INSERT INTO stays VALUES (2, '{key}')");
    let refused = session.batch(&text);
    assert_eq!(code(guarded(refused).await), "28000");
    let parameters: [(&(dyn tokio_postgres::types::ToSql + Sync), _); 1] =
        [(&key, tokio_postgres::types::Type::TEXT)];
    let refused = session.query("INSERT INTO stays VALUES (3, $1)", &parameters);
    assert_eq!(code(guarded(refused).await), "28000");
    assert_eq!(number(&mut session, "SELECT count(*) FROM stays").await, 1);
    let mut wrong = target(&fleet, 1);
    wrong.password = format!("{key}-wrong");
    let refused = CallerSession::connect(&wrong, None).await.err();
    assert_eq!(refused.expect("a refusal").code(), "28P01");

    let databases = || fleet.databases.iter().filter_map(|node| node.database());
    assert!(databases().any(|database| database.recorder().contains(b"not-secret")));
    for database in databases() {
        assert!(!database.recorder().contains(key.as_bytes()));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_stops_working_on_an_open_connection() {
    let fleet = start(plan(5)).await;
    let mut session = connect(&fleet, 0, None).await;
    run(&mut session, "CREATE TABLE stays (id BIGINT)").await;
    let withdrawn = next_document(fleet.document_text(), 1, None)
        .replace(&hash_line(fleet.document_text()), &"0".repeat(64));
    let deadline = Instant::now() + HANG_GUARD;
    fleet
        .submit(&withdrawn, 1, "withdraw", deadline)
        .await
        .expect("it is accepted");
    let in_force = |view: &daisyseam_model::FleetView| view.document_number.0 == 2;
    fleet
        .wait_view("the second document", deadline, in_force)
        .await
        .expect("in force");
    let refused = guarded(session.batch("SELECT count(*) FROM stays")).await;
    assert_eq!(code(refused), "28000");
    let refused = CallerSession::connect(&target(&fleet, 1), None).await.err();
    assert_eq!(refused.expect("a refusal").code(), "28P01");
}

/// Returns the hash of the first organisation's key.
fn hash_line(text: &str) -> String {
    let place = text.find("sha256:").expect("a hash");
    text[place + 7..place + 71].to_owned()
}
