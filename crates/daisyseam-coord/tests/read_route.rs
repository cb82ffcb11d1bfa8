//! Reads leave a data centre whose database lacks capacity, and only then.

mod read_support;

use daisyseam_coord::{
    Moment,
    read_route::{
        ReadCandidate,
        ReadShares,
        cheapest, //
    },
    route::RouteDistance, //
};
use daisyseam_model::{
    GroupId,
    UpstreamId,
    document::ReadCosts, //
};
use read_support::{
    INTERVAL_MS,
    ModelSettings,
    run, //
};
use std::{
    f64::consts::TAU,
    time::Duration, //
};
use test_case::test_case;

/// Data centres of the model, each in its own region.
const DATA_CENTRES: usize = 3;

/// Period of the demand, in milliseconds.
const PERIOD_MS: u64 = 15_000;

/// Periods that the model runs for.
const PERIODS: usize = 3;

/// Returns a demand that varies by 0.55 around a mean, with another phase in each data centre.
fn varying(mean: f64, data_centre: usize, at_ms: u64) -> f64 {
    let phase = data_centre as f64 / DATA_CENTRES as f64 + at_ms as f64 / PERIOD_MS as f64;
    mean * (1.0 + 0.55 * (TAU * phase).sin())
}

/// Returns the settings of 66 instances that know of a wait 100 ms after the answer. Reads need 100
/// of the databases' capacity of 120, as measured on the deployment.
fn varying_settings() -> ModelSettings {
    ModelSettings {
        instances: 22,
        way_ms: 20,
        distance: RouteDistance::OtherRegion,
        report_ms: 100,
        demand: |data_centre, at_ms| varying(100.0 / 120.0, data_centre, at_ms),
        fixed: |_, _| 0.0,
        service_ms: 20,
        primary: None,
        costs: Some(ReadCosts::default()),
        target_ms: 300,
        length_ms: PERIOD_MS * PERIODS as u64,
    }
}

/// The databases together carry the demand, but each is asked for 1.29 of its capacity once in a
/// period. Three quarters of the reads in time is the required mean score of the deployment.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn fewer_reads_are_late_than_with_nearest_first(seed: u64) {
    let nearest_settings = ModelSettings {
        costs: None,
        ..varying_settings()
    };
    let nearest = run(&nearest_settings, DATA_CENTRES, seed);
    let routed = run(&varying_settings(), DATA_CENTRES, seed);
    let late = |late, reads| late as f64 / reads as f64;
    let (nearest, routed) = (
        late(nearest.late, nearest.reads),
        late(routed.late, routed.reads),
    );
    assert!(
        routed < nearest && routed <= 0.25,
        "late: {nearest} {routed}"
    );
}

/// Instances that all act on the same old information would send their reads back and forth. The
/// share may rise and fall once in a period; the excess at its highest is 0.22 of the reads.
#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn the_share_that_leaves_does_not_oscillate(seed: u64) {
    // Short statements: the shares of many reads vary little by chance.
    let settings = ModelSettings {
        service_ms: 4,
        ..varying_settings()
    };
    let result = run(&settings, DATA_CENTRES, seed);
    for data_centre in 0..DATA_CENTRES {
        let swings = result.swings(data_centre, 0.22);
        assert!(
            swings <= 2 * PERIODS,
            "{swings} swings: {:?}",
            result.shares[data_centre]
        );
    }
}

/// A read that leaves without need costs 40 ms and traffic between regions.
#[test]
fn nothing_leaves_while_each_database_carries_its_demand() {
    let settings = ModelSettings {
        demand: |data_centre, at_ms| varying(0.5, data_centre, at_ms),
        ..varying_settings()
    };
    assert_eq!(run(&settings, DATA_CENTRES, 1).left, 0);
}

/// Reads that stay away after the load has fallen would be slower than necessary. The share falls
/// from all to none in at most 5 s, as the gain is then 62 of 100 ms and the time 2 s.
#[test]
fn reads_return_when_the_load_falls() {
    let settings = ModelSettings {
        demand: |data_centre, at_ms| match (data_centre, at_ms) {
            (0, ..6_000) => 1.5,
            _ => 0.4,
        },
        length_ms: 15_000,
        ..varying_settings()
    };
    let result = run(&settings, DATA_CENTRES, 1);
    let interval = |at_ms: u64| usize::try_from(at_ms / INTERVAL_MS).expect("a small number");
    let shares = &result.shares[0];
    assert!(
        shares[interval(4_000)..interval(6_000)]
            .iter()
            .all(|share| *share > 0.0)
    );
    assert!(
        shares[interval(11_000)..].iter().all(|share| *share == 0.0),
        "{shares:?}"
    );
}

/// Work that only the primary can do must not wait behind reads that replicas can serve.
#[test]
fn reads_leave_a_primary_that_is_needed_for_other_work() {
    let settings = ModelSettings {
        demand: |_, _| 0.5,
        fixed: |data_centre, _| match data_centre {
            0 => 0.9,
            _ => 0.0,
        },
        primary: Some(0),
        ..varying_settings()
    };
    let nearest_settings = ModelSettings {
        costs: None,
        ..settings.clone()
    };
    let late = |settings| {
        let result = run(settings, DATA_CENTRES, 1);
        result.fixed_late as f64 / result.fixed as f64
    };
    let (nearest, routed) = (late(&nearest_settings), late(&settings));
    assert!(
        routed < nearest && routed <= 0.25,
        "late: {nearest} {routed}"
    );
}

/// The primary of the same data centre has capacity left; a share that rises too slowly would leave
/// reads waiting for the replica, and one that is too high would delay the work of the primary.
#[test]
fn a_primary_with_capacity_helps_a_full_replica_of_its_data_centre() {
    let settings = ModelSettings {
        instances: 66,
        way_ms: 0,
        distance: RouteDistance::SameDataCentre,
        report_ms: 5,
        demand: |database, _| match database {
            0 => 0.0,
            _ => 1.4,
        },
        fixed: |database, _| match database {
            0 => 0.3,
            _ => 0.0,
        },
        primary: Some(0),
        ..varying_settings()
    };
    let result = run(&settings, 2, 1);
    assert!(result.late * 4 <= result.reads);
    assert!(result.fixed_late * 4 <= result.fixed);
}

/// A database that may serve a read.
fn candidate(upstream: &UpstreamId, distance: RouteDistance) -> ReadCandidate<'_> {
    ReadCandidate {
        upstream,
        primary: false,
        distance,
        full: false,
        wait: Duration::ZERO,
        load: (0, 0),
    }
}

fn name(text: &str) -> UpstreamId {
    UpstreamId::new(text).expect("a valid name")
}

fn group() -> GroupId {
    GroupId::new("bookings").expect("a valid name")
}

/// Returns which candidate gets each of the reads that come one a millisecond.
fn choices(costs: &ReadCosts, candidates: &[ReadCandidate<'_>], reads: u64) -> Vec<usize> {
    let mut shares = ReadShares::default();
    let moments = (0..reads).map(Moment::from_millis);
    let chosen = moments.map(|now| shares.choose(now, costs, &group(), candidates));
    chosen.map(|chosen| chosen.expect("a candidate")).collect()
}

/// The order of databases without queues must stay: the nearest, and of those the least loaded.
#[test]
fn the_least_loaded_of_the_nearest_is_chosen_while_none_has_a_queue() {
    let (far, busy, free) = (name("copy-1"), name("copy-2"), name("copy-3"));
    let candidates = [
        candidate(&far, RouteDistance::SameRegion),
        ReadCandidate {
            load: (1, 0),
            ..candidate(&busy, RouteDistance::SameDataCentre)
        },
        candidate(&free, RouteDistance::SameDataCentre),
    ];
    let chosen = choices(&ReadCosts::default(), &candidates, 100);
    assert!(chosen.iter().all(|index| *index == 2));
}

/// The primary's slots are needed for writes, so a replica in the same region is used even in calm,
/// but not one in another region.
#[test_case(RouteDistance::SameRegion, 1; "same region")]
#[test_case(RouteDistance::OtherRegion, 0; "other region")]
fn a_near_replica_is_preferred_to_the_primary(distance: RouteDistance, expected: usize) {
    let (primary, replica) = (name("copy-1"), name("copy-2"));
    let candidates = [
        ReadCandidate {
            primary: true,
            ..candidate(&primary, RouteDistance::SameDataCentre)
        },
        candidate(&replica, distance),
    ];
    let chosen = choices(&ReadCosts::default(), &candidates, 100);
    assert!(chosen.iter().all(|index| *index == expected));
}

/// Two equally good databases elsewhere must share what leaves, or the one would be overloaded.
#[test]
fn equally_good_databases_share_what_leaves() {
    let names = [name("copy-1"), name("copy-2"), name("copy-3")];
    let candidates = [
        ReadCandidate {
            wait: Duration::from_secs(1),
            ..candidate(&names[0], RouteDistance::SameDataCentre)
        },
        candidate(&names[1], RouteDistance::OtherRegion),
        candidate(&names[2], RouteDistance::OtherRegion),
    ];
    let chosen = choices(&ReadCosts::default(), &candidates, 100);
    let count = |index| chosen.iter().filter(|chosen| **chosen == index).count();
    assert!(count(1).abs_diff(count(2)) <= 1);
    assert!(count(0) == 0);
}

/// A database that had no free connection in time would refuse the read or let it wait in vain.
#[test]
fn a_full_database_is_used_only_if_no_other_is_left() {
    let (near, far) = (name("copy-1"), name("copy-2"));
    let full = ReadCandidate {
        full: true,
        ..candidate(&near, RouteDistance::SameDataCentre)
    };
    let other = candidate(&far, RouteDistance::OtherRegion);
    let costs = ReadCosts::default();
    assert!(
        choices(&costs, &[full, other], 10)
            .iter()
            .all(|index| *index == 1)
    );
    assert!(choices(&costs, &[full], 10).iter().all(|index| *index == 0));
    assert_eq!(cheapest(&costs, &[full, other]), Some(1));
}
