//! Control daemons with their data folders, and with fake entries and databases.

mod support;

use crate::support::{
    DOCUMENT,
    Database,
    Entry,
    free_addresses,
    member_names,
    request_leader,
    settings,
    start,
    submit, //
};
use daisyseam_model::{
    FleetView,
    announce::UpstreamRole, //
};
use daisyseam_wire::{
    ShowRequest,
    control_message::Body, //
};
use std::time::Duration;
use test_case::test_case;

fn primary(view: &FleetView) -> Option<String> {
    let group = view.groups.values().next()?;
    group.primary.active().map(ToString::to_string)
}

#[test_case(1; "alone")]
#[test_case(3; "of three")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fleet_gets_its_document_its_primary_and_its_holders(members: usize) {
    let folder = tempfile::tempdir().expect("a folder");
    let addresses = free_addresses(members);
    let named = member_names(&addresses);
    let mut daemons = Vec::new();
    for number in 0..members {
        daemons.push(start(settings(&named, number, folder.path())).await);
    }
    let accepted = submit(&addresses, "change-1", 0, DOCUMENT).await;
    assert!(accepted.accepted, "{accepted:?}");
    let again = submit(&addresses, "change-1", 0, DOCUMENT).await;
    assert_eq!(again, accepted, "a resend gets the first answer");
    let loser = submit(&addresses, "change-2", 0, DOCUMENT).await;
    assert_eq!((loser.accepted, loser.winner.as_str()), (false, "change-1"));

    let databases = [
        Database::start("bookings-a", UpstreamRole::Replica, 100).await,
        Database::start("bookings-b", UpstreamRole::Primary, 300).await,
        Database::start("bookings-c", UpstreamRole::Replica, 200).await,
    ];
    let mut entry = Entry::new("entry-1", &addresses);
    let held = |view: &FleetView| {
        view.upstreams
            .values()
            .all(|upstream| upstream.holder.is_some())
    };
    entry
        .heartbeat_until(&databases, |view| {
            primary(view).is_some() && view.upstreams.len() == 3 && held(view)
        })
        .await;
    assert_eq!(primary(&entry.view).as_deref(), Some("bookings-b"));
    assert!(entry.lease_ms > 0);
    for daemon in daemons {
        assert!(daemon.stop(Duration::from_secs(10)).await);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_accepted_document_survives_the_loss_of_the_leader_and_a_restart_of_all() {
    let folder = tempfile::tempdir().expect("a folder");
    let addresses = free_addresses(3);
    let named = member_names(&addresses);
    let mut daemons = Vec::new();
    for number in 0..3 {
        daemons.push(Some(start(settings(&named, number, folder.path())).await));
    }
    let first = submit(&addresses, "change-1", 0, DOCUMENT).await;
    assert!(first.accepted);
    let show = Body::Show(ShowRequest {
        number: 0,
        linearizable: true,
    });
    let (leader, _) = request_leader(&addresses, show.clone()).await;
    let lost = addresses.iter().position(|address| *address == leader);
    let lost = daemons[lost.expect("a member")].take().expect("it runs");
    lost.stop(Duration::from_secs(10)).await;
    let second = DOCUMENT.replace("number = 1", "number = 2");
    let accepted = submit(&addresses, "change-2", 1, &second).await;
    assert_eq!((accepted.accepted, accepted.number), (true, 2));
    for daemon in daemons.into_iter().flatten() {
        daemon.stop(Duration::from_secs(10)).await;
    }
    let mut daemons = Vec::new();
    for number in 0..3 {
        daemons.push(start(settings(&named, number, folder.path())).await);
    }
    let (_, shown) = request_leader(&addresses, show).await;
    let Body::Shown(shown) = shown else {
        panic!("{shown:?}");
    };
    assert_eq!((shown.number, shown.text, shown.stale), (2, second, false));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_entry_gets_an_incarnation_that_was_never_given() {
    let folder = tempfile::tempdir().expect("a folder");
    let addresses = free_addresses(1);
    let named = member_names(&addresses);
    let daemon = start(settings(&named, 0, folder.path())).await;
    let mut entry = Entry::new("entry-1", &addresses);
    entry.send_heartbeat(Vec::new()).await;
    let first = entry.incarnation();
    let mut restarted = Entry::new("entry-1", &addresses);
    restarted.send_heartbeat(Vec::new()).await;
    assert!(restarted.incarnation() > first);
    daemon.stop(Duration::from_secs(10)).await;
}
