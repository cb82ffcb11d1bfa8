//! Simulation of the replicated log under message loss, duplication and reordering, crashes that
//! lose unsynced writes, network partitions, clock drift and membership changes.

mod log_support;

use crate::log_support::{
    LogCluster,
    LogEvent,
    log_events, //
};
use bytes::Bytes;
use daisyseam_coord::{
    Moment,
    log::{
        AppendResponse,
        DurableLog,
        EntryKind,
        LogEntry,
        LogIndex,
        LogMessage,
        LogSettings,
        LogTerm,
        MemberChange,
        MemberTable,
        ProposeError,
        ReplicatedLog,
        VoteResponse, //
    }, //
};
use daisyseam_model::InstanceId;
use proptest::prelude::*;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::SeedableRng, //
};

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn nothing_acknowledged_is_lost_and_no_term_has_two_leaders(
        voters in prop_oneof![Just(3_usize), Just(5)],
        drift in prop::collection::vec(950_u64..=1_050, 6),
        seed in any::<u64>(),
        events in prop::collection::vec(log_events(), 20..300),
    ) {
        let mut cluster = LogCluster::new(voters, &drift, seed);
        cluster.elect();
        cluster.enable_faults();
        for event in events {
            cluster.run(event);
        }
        cluster.heal();
    }
}

/// Returns the number of cases, which `PROPTEST_CASES` can override.
fn cases() -> u32 {
    let given = std::env::var("PROPTEST_CASES").ok();
    given.and_then(|given| given.parse().ok()).unwrap_or(64)
}

#[test]
fn a_leader_without_a_majority_steps_down_within_its_lease() {
    let mut cluster = LogCluster::new(3, &[1_000; 6], 1);
    let leader = cluster.elect();
    cluster.run(LogEvent::Isolate(leader));
    let lease = LogSettings::default().lease;
    cluster.pass(u64::try_from(lease.as_millis()).expect("it fits") + 60);
    assert!(!cluster.leads(leader));
    cluster.pass(1_000);
    assert!((0..3).any(|node| node != leader && cluster.leads(node)));
}

#[test]
fn a_returning_isolated_member_does_not_disrupt_the_leader() {
    let mut cluster = LogCluster::new(3, &[1_000; 6], 1);
    let leader = cluster.elect();
    let term = cluster.term(leader);
    let other = (leader + 1) % 3;
    cluster.run(LogEvent::Isolate(other));
    cluster.pass(20_000);
    cluster.run(LogEvent::Reconnect);
    cluster.pass(2_000);
    assert!(cluster.leads(leader));
    assert_eq!(cluster.term(leader), term);
    assert_eq!(cluster.term(other), term);
}

#[test]
fn leadership_is_transferred_without_waiting_for_an_election_timeout() {
    let mut cluster = LogCluster::new(3, &[1_000; 6], 1);
    let leader = cluster.elect();
    cluster.pass(1_000);
    cluster.run(LogEvent::TransferLeadership);
    cluster.pass(100);
    assert!((0..3).any(|node| node != leader && cluster.leads(node)));
}

#[test]
fn a_member_that_lacks_compacted_entries_receives_a_snapshot_in_chunks() {
    let mut cluster = LogCluster::new(3, &[1_000; 6], 1);
    let leader = cluster.elect();
    let lagging = (leader + 1) % 3;
    cluster.run(LogEvent::Isolate(lagging));
    for _ in 0..200 {
        cluster.run(LogEvent::Propose);
        cluster.pass(1);
    }
    cluster.run(LogEvent::Compact(leader));
    cluster.run(LogEvent::Reconnect);
    cluster.pass(3_000);
    assert_eq!(cluster.applied(lagging), cluster.applied(leader));
}

#[test]
fn a_learner_is_not_promoted_before_it_has_caught_up() {
    let names = ["a", "b"].map(|name| InstanceId::new(name).expect("a sound name"));
    let address = "127.0.0.1:7000".parse().expect("an address");
    let durable = DurableLog::initial(MemberTable::from_voters([(names[0].clone(), address)]));
    let random = ChaCha8Rng::seed_from_u64(1);
    let settings = LogSettings::default();
    let me = names[0].clone();
    let mut log = ReplicatedLog::recover(me, settings, durable, Moment::ORIGIN, random);
    let now = Moment::from_millis(1_000);
    log.tick(now);
    while !log.take_output().is_empty() {
        log.synced(now);
    }
    let add = MemberChange::AddLearner(names[1].clone(), address);
    log.propose_change(now, &add).expect("it is proposed");
    log.take_output();
    let promote = MemberChange::Promote(names[1].clone());
    assert_eq!(
        log.propose_change(now, &promote),
        Err(ProposeError::ChangeInProgress)
    );
    log.synced(now);
    assert_eq!(log.commit(), LogIndex(2));
    assert_eq!(
        log.propose_change(now, &promote),
        Err(ProposeError::NotCaughtUp)
    );
}

/// An entry of an earlier term may be on a majority and still be replaced by a later leader, so
/// counting replicas must not commit it.
#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_counting_replicas() {
    let names = ["a", "b", "c"].map(|name| InstanceId::new(name).expect("a sound name"));
    let address = "127.0.0.1:7000".parse().expect("an address");
    let voters = names.iter().map(|name| (name.clone(), address));
    let mut durable = DurableLog::initial(MemberTable::from_voters(voters));
    durable.term = LogTerm(2);
    durable.entries = vec![LogEntry {
        index: LogIndex(1),
        term: LogTerm(2),
        kind: EntryKind::Command,
        payload: Bytes::new(),
    }];
    let random = ChaCha8Rng::seed_from_u64(1);
    let me = names[0].clone();
    let settings = LogSettings::default();
    let mut log = ReplicatedLog::recover(me, settings, durable, Moment::ORIGIN, random);
    let now = Moment::from_millis(1_000);
    log.tick(now);
    for pre_vote in [true, false] {
        let vote = VoteResponse {
            term: LogTerm(3),
            granted: true,
            pre_vote,
        };
        log.receive(now, &names[1], LogMessage::VoteResponse(vote));
    }
    assert!(log.is_leader());
    log.take_output();
    log.synced(now);
    for (matched, commit) in [(1, 0), (2, 2)] {
        let appended = AppendResponse {
            term: LogTerm(3),
            success: true,
            match_index: LogIndex(matched),
            hint_index: LogIndex(0),
            round: 1,
        };
        log.receive(now, &names[1], LogMessage::AppendResponse(appended));
        assert_eq!(log.commit(), LogIndex(commit));
    }
}

#[test]
fn all_restarted_members_elect_a_leader_without_waiting_for_a_lease() {
    for seed in 0..20 {
        let mut cluster = LogCluster::new(3, &[1_000; 6], seed);
        cluster.elect();
        for node in 0..3 {
            cluster.run(LogEvent::Crash(node));
        }
        for node in 0..3 {
            cluster.run(LogEvent::Restart(node));
        }
        let settings = LogSettings::default();
        let round = settings.election_retry + settings.election_spread;
        // Two candidates at the same time do not make each other's election fail.
        let wait = u64::try_from(round.as_millis()).expect("it fits") + 50;
        let elected = (0..wait).position(|_| {
            cluster.pass(1);
            (0..3).any(|node| cluster.leads(node))
        });
        assert!(elected.is_some(), "seed {seed}: no leader after {wait} ms");
    }
}

#[test]
fn a_restarted_member_does_not_replace_a_running_leader() {
    for seed in 0..20 {
        let mut cluster = LogCluster::new(3, &[1_000; 6], seed);
        let leader = cluster.elect();
        let term = cluster.term(leader);
        for other in (0..3).filter(|node| *node != leader) {
            cluster.run(LogEvent::Crash(other));
            cluster.run(LogEvent::Restart(other));
        }
        cluster.pass(2_000);
        assert!(cluster.leads(leader), "seed {seed}");
        assert_eq!(cluster.term(leader), term, "seed {seed}");
    }
}

#[test]
fn restarted_members_wait_for_the_lease_of_an_unreachable_leader() {
    let settings = LogSettings::default();
    for seed in 0..20 {
        let mut cluster = LogCluster::new(3, &[1_000; 6], seed);
        let leader = cluster.elect();
        cluster.run(LogEvent::Isolate(leader));
        for other in (0..3).filter(|node| *node != leader) {
            cluster.run(LogEvent::Crash(other));
            cluster.run(LogEvent::Restart(other));
        }
        let refusal = u64::try_from(settings.vote_refusal.as_millis()).expect("it fits");
        for _ in 0..refusal - 1 {
            cluster.pass(1);
            let others = (0..3).filter(|node| *node != leader);
            assert_eq!(others.filter(|node| cluster.leads(*node)).count(), 0);
        }
        cluster.pass(1_500);
        assert!((0..3).any(|node| node != leader && cluster.leads(node)));
    }
}
