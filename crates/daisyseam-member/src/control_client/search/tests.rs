//! Tests of the search for the leader.

use super::LeaderSearch;
use daisyseam_runtime::ControlAddresses;
use std::{
    net::SocketAddr,
    time::Duration, //
};
use tokio::time::Instant;

fn instances() -> Vec<SocketAddr> {
    let address = |number: u16| SocketAddr::from(([127, 0, 0, 1], 7_000 + number));
    (0..3).map(address).collect()
}

fn search() -> LeaderSearch {
    LeaderSearch::new(ControlAddresses::new(instances()))
}

/// Asks until the leader is asked; everybody else names it. Returns the questions before.
fn questions_before(search: &mut LeaderSearch, leader: SocketAddr, now: Instant) -> usize {
    for asked in 0..100 {
        let target = search.next(now).expect("an instance");
        if target == leader {
            return asked;
        }
        search.named(target, Some(leader), now);
    }
    panic!("the leader is not asked");
}

#[test]
fn a_leader_is_found_at_once_after_a_cut_from_all() {
    let now = Instant::now();
    for leader in instances() {
        let mut search = search();
        for _ in 0..10 {
            let target = search.next(now).expect("an instance");
            search.failed(target, now);
        }
        let asked = questions_before(&mut search, leader, now);
        assert!(asked <= 1, "{asked} others are asked before {leader}");
    }
}

#[test]
fn a_leader_that_failed_alone_is_asked_again_when_it_is_still_named() {
    let now = Instant::now();
    let leader = instances()[1];
    let mut search = search();
    search.failed(leader, now);
    let later = now + Duration::from_millis(1_100);
    let asked = questions_before(&mut search, leader, later);
    assert_eq!(asked, 1, "the first answer names it");
}

#[test]
fn a_leader_that_has_just_failed_is_not_asked_because_others_name_it() {
    let now = Instant::now();
    let leader = instances()[1];
    let mut search = search();
    search.failed(leader, now);
    let soon = now + Duration::from_millis(900);
    for _ in 0..10 {
        let target = search.next(soon).expect("an instance");
        assert_ne!(target, leader);
        search.named(target, Some(leader), soon);
    }
}
