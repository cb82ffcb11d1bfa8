//! Order of the instances tried after failures and hints, at times given by the tests.

use super::LeaderSearch;
use daisyseam_runtime::ControlAddresses;
use std::{
    net::SocketAddr,
    time::Duration, //
};
use tokio::time::Instant;

/// Control term that all instances know.
const TERM: u64 = 3;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

fn search_of(count: u16) -> LeaderSearch {
    LeaderSearch::new(ControlAddresses::new((1..=count).map(address).collect()))
}

#[test]
fn a_leader_of_a_newer_term_is_asked_although_it_failed_before() {
    let now = Instant::now();
    let mut search = search_of(3);
    // The leader started slightly later than this instance.
    search.record_failure(address(2), now);
    let soon = now + Duration::from_millis(200);
    search.record_redirect(address(1), Some(address(2)), 3, soon);
    assert!(search.has_hint());
    assert_eq!(search.next_target(soon), Some(address(2)));
}

#[test]
fn a_leader_that_failed_in_its_term_is_not_asked_at_once() {
    let now = Instant::now();
    let mut search = search_of(3);
    search.record_redirect(address(1), Some(address(2)), 3, now);
    assert_eq!(search.next_target(now), Some(address(2)));
    search.record_failure(address(2), now);
    search.record_redirect(address(3), Some(address(2)), 3, now);
    assert!(
        !search.has_hint(),
        "its followers have not noticed the failure yet"
    );
    search.record_redirect(address(3), Some(address(2)), 4, now);
    assert!(search.has_hint(), "it was elected in a newer term");
}

#[test]
fn a_leader_that_failed_is_asked_again_after_a_second() {
    let now = Instant::now();
    let mut search = search_of(3);
    search.record_redirect(address(1), Some(address(2)), 3, now);
    search.record_failure(address(2), now);
    let later = now + Duration::from_millis(1_000);
    search.record_redirect(address(3), Some(address(2)), 3, later);
    assert_eq!(search.next_target(later), Some(address(2)));
}

#[test]
fn an_instance_that_failed_is_asked_after_the_others() {
    let now = Instant::now();
    let mut search = search_of(3);
    search.record_failure(address(1), now);
    search.record_failure(address(3), now + Duration::from_millis(10));
    let soon = now + Duration::from_millis(20);
    assert_eq!(search.next_target(soon), Some(address(2)));
    search.record_failure(address(2), soon);
    assert_eq!(
        search.next_target(soon),
        Some(address(1)),
        "the longest ago"
    );
}

fn instances() -> Vec<SocketAddr> {
    let address = |number: u16| SocketAddr::from(([127, 0, 0, 1], 7_000 + number));
    (0..3).map(address).collect()
}

/// Creates a search that has already seen a term.
fn search() -> LeaderSearch {
    let mut search = LeaderSearch::new(ControlAddresses::new(instances()));
    search.record_redirect(instances()[0], None, TERM, Instant::now());
    search
}

/// Tries instances until the leader is tried, while all others name it; returns the number of
/// attempts before.
fn attempts_before(search: &mut LeaderSearch, leader: SocketAddr, now: Instant) -> usize {
    for attempts in 0..100 {
        let target = search.next_target(now).expect("an instance");
        if target == leader {
            return attempts;
        }
        search.record_redirect(target, Some(leader), TERM, now);
    }
    panic!("the leader was not tried");
}

#[test]
fn a_leader_is_found_at_once_after_a_cut_from_all() {
    let now = Instant::now();
    for leader in instances() {
        let mut search = search();
        for _ in 0..10 {
            let target = search.next_target(now).expect("an instance");
            search.record_failure(target, now);
        }
        let attempts = attempts_before(&mut search, leader, now);
        assert!(
            attempts <= 1,
            "{attempts} others were tried before {leader}"
        );
    }
}

#[test]
fn a_leader_that_failed_alone_is_asked_again_when_it_is_still_named() {
    let now = Instant::now();
    let leader = instances()[1];
    let mut search = search();
    search.record_failure(leader, now);
    let later = now + Duration::from_millis(1_100);
    let attempts = attempts_before(&mut search, leader, later);
    assert!(
        attempts <= 1,
        "{attempts} others were tried before {leader}"
    );
}

#[test]
fn a_leader_that_has_just_failed_is_not_asked_because_others_name_it() {
    let now = Instant::now();
    let leader = instances()[1];
    let mut search = search();
    search.record_failure(leader, now);
    let soon = now + Duration::from_millis(900);
    for _ in 0..10 {
        let target = search.next_target(soon).expect("an instance");
        assert_ne!(target, leader);
        search.record_redirect(target, Some(leader), TERM, soon);
    }
}
