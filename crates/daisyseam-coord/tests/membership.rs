//! Tests of the order of the instances that hold connections to a database or tokens of a rate.

use daisyseam_coord::{
    membership::{
        RANKED_HOLDERS,
        ranked_holders,
        rate_homes, //
    },
    quota::RateKey, //
};
use daisyseam_model::{
    DataCentreId,
    FleetView,
    Incarnation,
    InstanceId,
    InstanceView,
    UpstreamId,
    document::{
        DataCentreEntry,
        DataCentreState,
        Document,
        RequestLimits, //
    }, //
};
use std::{
    collections::BTreeMap,
    sync::Arc, //
};

/// Data centres and their regions.
const PLACES: [(&str, &str); 3] = [
    ("north-a", "north"),
    ("north-b", "north"),
    ("south-a", "south"),
];

fn view(instances: &[(&str, usize)]) -> FleetView {
    let mut view = FleetView {
        document: Some(Arc::new(document())),
        ..FleetView::default()
    };
    for (data_centre, count) in instances {
        for index in 0..*count {
            let name = format!("{data_centre}-{index}").parse().unwrap();
            view.instances.insert(name, instance(data_centre));
        }
    }
    view
}

fn document() -> Document {
    let data_centres = PLACES.iter().map(|(data_centre, region)| {
        let entry = DataCentreEntry {
            region: region.parse().unwrap(),
            state: DataCentreState::Active,
        };
        (data_centre.parse().unwrap(), entry)
    });
    Document {
        number: Default::default(),
        cluster: "c".parse().unwrap(),
        limits: RequestLimits::default(),
        regions: BTreeMap::new(),
        data_centres: data_centres.collect(),
        groups: BTreeMap::new(),
        services: BTreeMap::new(),
        organisations: BTreeMap::new(),
        open_routes: BTreeMap::new(),
    }
}

fn instance(data_centre: &str) -> InstanceView {
    InstanceView {
        incarnation: Incarnation(1),
        data_centre: data_centre.parse().unwrap(),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        leaving: false,
    }
}

fn ranked(view: &FleetView, upstream: &str, data_centre: &str) -> Vec<InstanceId> {
    let upstream: UpstreamId = upstream.parse().unwrap();
    let data_centre: DataCentreId = data_centre.parse().unwrap();
    let ranked = ranked_holders(view, &upstream, &data_centre, |_, _| true);
    ranked.into_iter().cloned().collect()
}

#[test]
fn holders_are_in_the_data_centre_of_the_database_if_it_has_enough_instances() {
    let view = view(&[("north-a", 12), ("north-b", 12), ("south-a", 12)]);
    for index in 0..40 {
        let holders = ranked(&view, &format!("u-{index}"), "north-b");
        assert_eq!(holders.len(), RANKED_HOLDERS);
        for holder in holders {
            assert!(holder.as_str().starts_with("north-b"), "{holder}");
        }
    }
}

#[test]
fn instances_of_the_region_follow_those_of_the_data_centre() {
    let view = view(&[("north-a", 12), ("north-b", 1), ("south-a", 12)]);
    let holders = ranked(&view, "u-1", "north-b");
    assert_eq!(holders[0].as_str(), "north-b-0");
    for holder in &holders[1..] {
        assert!(holder.as_str().starts_with("north-a"), "{holder}");
    }
    assert!(ranked(&view, "u-1", "east-a").is_empty());
}

#[test]
fn the_loss_of_an_instance_changes_the_order_of_no_others() {
    let full = view(&[("north-a", 12)]);
    for index in 0..40 {
        let upstream = format!("u-{index}");
        let before = ranked(&full, &upstream, "north-a");
        let mut less = full.clone();
        less.instances.remove(&before[0]);
        assert_eq!(ranked(&less, &upstream, "north-a")[..2], before[1..]);
        less.instances.remove(&before[2]);
        assert_eq!(ranked(&less, &upstream, "north-a")[0], before[1]);
    }
}

#[test]
fn leaving_and_ineligible_instances_hold_nothing() {
    let mut view = view(&[("north-a", 4)]);
    let before = ranked(&view, "u-1", "north-a");
    view.instances.get_mut(&before[0]).unwrap().leaving = true;
    let upstream: UpstreamId = "u-1".parse().unwrap();
    let data_centre: DataCentreId = "north-a".parse().unwrap();
    let eligible = ranked_holders(&view, &upstream, &data_centre, |name, _| *name != before[1]);
    assert_eq!(eligible.len(), 2);
    assert!(!eligible.contains(&&before[0]) && !eligible.contains(&&before[1]));
}

#[test]
fn databases_are_spread_over_the_instances() {
    let view = view(&[("north-a", 12)]);
    let mut held: BTreeMap<InstanceId, usize> = BTreeMap::new();
    for index in 0..240 {
        let holders = ranked(&view, &format!("db-{index}"), "north-a");
        *held.entry(holders[0].clone()).or_default() += 1;
    }
    // An even spread gives 20 to each.
    assert_eq!(held.len(), 12);
    assert!(
        held.values().all(|count| (8..=40).contains(count)),
        "{held:?}"
    );
}

fn homes(view: &FleetView, rate: &str, data_centre: &str) -> Vec<InstanceId> {
    let rate = RateKey::parse(rate).unwrap();
    let homes = rate_homes(view, &rate, &data_centre.parse().unwrap());
    homes.into_iter().cloned().collect()
}

#[test]
fn the_homes_of_a_rate_are_in_each_data_centre_of_their_own() {
    let mut view = view(&[("north-a", 12), ("north-b", 12), ("south-a", 1)]);
    for (data_centre, count) in [("north-a", 2), ("north-b", 2), ("south-a", 1)] {
        let homes = homes(&view, "keepers", data_centre);
        assert_eq!(homes.len(), count);
        for home in &homes {
            assert_eq!(view.instances[home].data_centre.as_str(), data_centre);
        }
    }
    let before = homes(&view, "keepers", "north-a");
    view.instances.get_mut(&before[0]).unwrap().leaving = true;
    assert_eq!(homes(&view, "keepers", "north-a")[0], before[1]);
}

#[test]
fn rates_are_spread_over_the_instances_of_a_data_centre() {
    let view = view(&[("north-a", 12), ("north-b", 12)]);
    let mut held: BTreeMap<InstanceId, usize> = BTreeMap::new();
    for index in 0..240 {
        let homes = homes(&view, &format!("organisation-{index}"), "north-a");
        *held.entry(homes[0].clone()).or_default() += 1;
    }
    // An even spread gives 20 to each.
    assert_eq!(held.len(), 12);
    assert!(
        held.values().all(|count| (8..=40).contains(count)),
        "{held:?}"
    );
}
