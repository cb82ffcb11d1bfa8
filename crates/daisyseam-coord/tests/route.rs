//! Routing of reads by position floor, lag, distance, load and ejection.

use daisyseam_coord::{
    Moment,
    route::{
        ReadRequest,
        RouteCandidate,
        RouteDistance,
        RoutePolicy, //
        RouteTable,
    }, //
};
use daisyseam_model::{
    GroupId,
    LogPosition,
    Position,
    Term,
    UpstreamId, //
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use test_case::test_case;

fn upstream(name: &str) -> UpstreamId {
    UpstreamId::new(name).unwrap()
}

fn group() -> GroupId {
    GroupId::new("bookings").unwrap()
}

fn at(position: u64) -> LogPosition {
    LogPosition {
        term: Term(1),
        position: Position(position),
    }
}

fn candidate(upstream: &UpstreamId, primary: bool, distance: RouteDistance) -> RouteCandidate<'_> {
    RouteCandidate {
        upstream,
        primary,
        distance,
        slots: 5,
        ejected: false,
    }
}

/// Returns a table for a group that writes every 10 ms, with a replica `lag_ms` behind whose position
/// is recorded every 10 ms.
fn table_with_lag(lag_ms: u64, replica: &UpstreamId, until_ms: u64) -> RouteTable {
    let mut table = RouteTable::new(RoutePolicy::default());
    for tick in 0..=until_ms / 10 {
        let now = Moment::from_millis(tick * 10);
        table.record_written(now, &group(), at(tick));
        if tick * 10 >= lag_ms {
            table.record_replica_position(now, &group(), replica, at(tick - lag_ms / 10));
        }
    }
    table
}

#[test_case(50)]
#[test_case(500)]
fn the_lag_of_a_replica_is_measured_in_time(lag_ms: u64) {
    let replica = upstream("near");
    let table = table_with_lag(lag_ms, &replica, 3_000);
    let lag = table.lag(&group(), &replica).unwrap();
    let error = lag.abs_diff(Duration::from_millis(lag_ms));
    assert!(error <= Duration::from_millis(10), "{lag:?}");
    // A position written 40 ms ago is expected 40 ms sooner.
    let now = Moment::from_millis(3_000);
    let wait = table
        .catch_up_time(now, &group(), &replica, at(296))
        .unwrap();
    assert_eq!(wait, lag - Duration::from_millis(40));
    let reached = at((3_000 - lag_ms) / 10);
    let wait = table.catch_up_time(now, &group(), &replica, reached);
    assert_eq!(wait, Some(Duration::ZERO));
}

#[test_case(300, true; "a short wait beats the primary")]
#[test_case(1_500, false; "a long wait does not")]
fn a_read_waits_or_goes_to_the_primary_by_measured_lag(lag_ms: u64, waits: bool) {
    let (replica, primary) = (upstream("near"), upstream("primary"));
    let table = table_with_lag(lag_ms, &replica, 4_000);
    let candidates = [
        candidate(&primary, true, RouteDistance::SameDataCentre),
        candidate(&replica, false, RouteDistance::SameDataCentre),
    ];
    let group = group();
    let request = ReadRequest {
        group: &group,
        floor: Some(at(400)),
        deadline: Moment::from_millis(10_000),
    };
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let plan = table.plan(
        Moment::from_millis(4_000),
        request,
        &candidates,
        &mut random,
    );
    assert_eq!(plan[0].upstream == &replica, waits);
    if waits {
        assert!(plan[0].max_wait >= Duration::from_millis(lag_ms));
    }
}

#[test]
fn the_nearer_replica_is_chosen_until_it_is_the_slower_one() {
    let (near, far) = (upstream("near"), upstream("far"));
    let candidates = [
        candidate(&far, false, RouteDistance::OtherRegion),
        candidate(&near, false, RouteDistance::SameDataCentre),
    ];
    let group = group();
    let request = ReadRequest {
        group: &group,
        floor: None,
        deadline: Moment::from_millis(10_000),
    };
    let mut table = RouteTable::new(RoutePolicy::default());
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let plan = table.plan(Moment::ORIGIN, request, &candidates, &mut random);
    assert_eq!(plan[0].upstream, &near);
    for _ in 0..20 {
        table.begin(&near);
        table.record_opened(Moment::ORIGIN, &near, Duration::from_millis(400));
        table.end(Moment::ORIGIN, &near, Some(Duration::from_millis(50)));
    }
    let plan = table.plan(Moment::ORIGIN, request, &candidates, &mut random);
    assert_eq!(plan[0].upstream, &far);
    // The measurement decays, so the replica is tried again without a new one.
    let later = Moment::from_millis(12_000);
    let plan = table.plan(later, request, &candidates, &mut random);
    assert_eq!(plan[0].upstream, &near);
}

#[test]
fn equal_replicas_share_the_reads() {
    let names = [upstream("left"), upstream("right")];
    let mut table = RouteTable::new(RoutePolicy::default());
    for name in &names {
        table.begin(name);
        table.end(Moment::ORIGIN, name, Some(Duration::from_millis(5)));
    }
    let candidates = [
        candidate(&names[0], false, RouteDistance::SameDataCentre),
        candidate(&names[1], false, RouteDistance::SameDataCentre),
    ];
    let group = group();
    let request = ReadRequest {
        group: &group,
        floor: None,
        deadline: Moment::from_millis(1_000),
    };
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let left = (0..1_000)
        .filter(|_| {
            let plan = table.plan(Moment::ORIGIN, request, &candidates, &mut random);
            plan[0].upstream == &names[0]
        })
        .count();
    assert!((400..600).contains(&left), "{left}");
}

proptest! {
    /// Every candidate is in the plan once, ejected ones last, and no wait exceeds the deadline.
    #[test]
    fn a_plan_holds_every_candidate(
        ejected in prop::collection::vec(any::<bool>(), 1..5),
        floor in prop::option::of(0_u64..500),
        deadline in 0_u64..5_000,
        seed in any::<u64>(),
    ) {
        let names: Vec<UpstreamId> = (0..ejected.len()).map(|index| upstream(&format!("u{index}"))).collect();
        let table = table_with_lag(200, &names[0], 3_000);
        let candidates: Vec<RouteCandidate<'_>> = names.iter().zip(&ejected).enumerate()
            .map(|(index, (name, ejected))| RouteCandidate {
                ejected: *ejected,
                ..candidate(name, index == 1, RouteDistance::SameRegion)
            })
            .collect();
        let group = group();
        let now = Moment::from_millis(3_000);
        let deadline = now + Duration::from_millis(deadline);
        let request = ReadRequest { group: &group, floor: floor.map(at), deadline };
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let plan = table.plan(now, request, &candidates, &mut random);
        prop_assert_eq!(plan.len(), candidates.len());
        let mut order: Vec<&UpstreamId> = plan.iter().map(|step| step.upstream).collect();
        let flags: Vec<bool> = order.iter()
            .map(|name| candidates.iter().find(|candidate| candidate.upstream == *name).unwrap().ejected)
            .collect();
        prop_assert!(flags.is_sorted());
        order.sort();
        order.dedup();
        prop_assert_eq!(order.len(), candidates.len());
        prop_assert!(plan.iter().all(|step| now + step.max_wait <= deadline));
    }
}
