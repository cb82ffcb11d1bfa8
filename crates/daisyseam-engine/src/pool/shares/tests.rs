use super::{
    ConnectionPlan,
    ConnectionShares,
    DEPARTED_GRACE, //
};
use daisyseam_model::{
    FleetView,
    Incarnation,
    InstanceId,
    InstanceView,
    UpstreamId,
    UpstreamView,
    ViewNumber,
    document::{
        Document,
        GroupEntry,
        RequestLimits, //
    }, //
};
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};
use tokio::time::Instant;

const SLOTS: usize = 53;

/// The view and the shares of all instances.
struct ShareFixture {
    view: FleetView,
    shares: BTreeMap<InstanceId, ConnectionShares>,
    now: Instant,
}

impl ShareFixture {
    fn start(count: usize) -> Self {
        let mut view = FleetView {
            document: Some(Arc::new(document())),
            ..FleetView::default()
        };
        view.upstreams.insert(upstream(), upstream_view());
        for index in 0..count {
            view.instances.insert(name(index), instance(1));
        }
        let shares = view.instances.keys();
        let shares = shares.map(|name| (name.clone(), ConnectionShares::new(Some(name.clone()))));
        let mut fixture = Self {
            shares: shares.collect(),
            view,
            now: Instant::now(),
        };
        fixture.change(|_| {});
        fixture
    }

    fn change(&mut self, change: impl FnOnce(&mut FleetView)) {
        change(&mut self.view);
        self.view.number = ViewNumber(self.view.number.0 + 1);
        for shares in self.shares.values_mut() {
            shares.apply(&self.view, self.now);
        }
        // The pool recomputes its budgets with every view.
        self.total();
    }

    fn wait(&mut self, duration: Duration) {
        self.now += duration;
    }

    fn plan(&mut self, instance: &InstanceId) -> ConnectionPlan {
        let shares = self.shares.get_mut(instance).unwrap();
        shares.plan(&self.view, &upstream(), &upstream_view(), self.now)
    }

    /// Returns the holders that the instances agree on.
    fn holders(&mut self) -> Vec<InstanceId> {
        let names: Vec<_> = self.view.instances.keys().cloned().collect();
        let mut plans = names.iter().map(|name| self.plan(name).holders.to_vec());
        let first = plans.next().unwrap();
        assert!(plans.all(|plan| plan == first));
        first
    }

    fn share(&mut self, instance: &InstanceId) -> usize {
        self.plan(instance).budget.share
    }

    fn total(&mut self) -> usize {
        let names: Vec<_> = self.shares.keys().cloned().collect();
        names.iter().map(|name| self.share(name)).sum()
    }
}

fn name(index: usize) -> InstanceId {
    format!("e-{index}").parse().unwrap()
}

fn upstream() -> UpstreamId {
    "u".parse().unwrap()
}

fn upstream_view() -> UpstreamView {
    UpstreamView {
        group: "g".parse().unwrap(),
        data_centre: "dc-1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        admin_address: "127.0.0.1:1".parse().unwrap(),
        holder: None,
        leaving: false,
        born_ms: 0,
        voter: true,
    }
}

fn instance(incarnation: u64) -> InstanceView {
    InstanceView {
        incarnation: Incarnation(incarnation),
        data_centre: "dc-1".parse().unwrap(),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        leaving: false,
    }
}

fn document() -> Document {
    let group = GroupEntry {
        databases: 1,
        slots: SLOTS,
        commit: Default::default(),
        capacity: None,
    };
    Document {
        number: Default::default(),
        cluster: "c".parse().unwrap(),
        limits: RequestLimits::default(),
        regions: BTreeMap::new(),
        data_centres: BTreeMap::new(),
        groups: BTreeMap::from([("g".parse().unwrap(), group)]),
        services: BTreeMap::new(),
        organisations: BTreeMap::new(),
        open_routes: BTreeMap::new(),
    }
}

#[test]
fn every_instance_opens_its_own_connections_if_it_cannot_relay() {
    let mut fixture = ShareFixture::start(9);
    let mut shares = ConnectionShares::new(None);
    shares.apply(&fixture.view, fixture.now);
    let plan = shares.plan(&fixture.view, &upstream(), &upstream_view(), fixture.now);
    assert!(plan.holders.is_empty());
    assert_eq!(plan.budget.share, 5);
    fixture.wait(DEPARTED_GRACE);
    assert!(!fixture.plan(&name(0)).holders.is_empty());
}

#[test]
fn few_holders_share_the_connections_where_there_are_too_few() {
    let mut fixture = ShareFixture::start(71);
    let holders = fixture.holders();
    let shares: Vec<_> = holders.iter().map(|holder| fixture.share(holder)).collect();
    assert_eq!(shares, [39, 6, 3]);
    assert_eq!(fixture.total(), 48);
}

#[test]
fn the_shares_of_a_lost_holder_and_its_successors_stay_within_the_limit() {
    let mut fixture = ShareFixture::start(71);
    let before = fixture.holders();
    fixture.change(|view| {
        view.instances.remove(&before[0]);
    });
    let lost = 39;
    assert_eq!(fixture.holders()[..2], before[1..]);
    let others: usize = before[1..].iter().map(|holder| fixture.share(holder)).sum();
    assert!(lost + others <= SLOTS, "{others}");
    fixture.wait(DEPARTED_GRACE);
    assert_eq!(fixture.share(&before[1]), 39);
    assert_eq!(fixture.share(&before[2]), 6);
}

#[test]
fn a_restarted_instance_is_no_holder_until_its_former_connections_are_gone() {
    let mut fixture = ShareFixture::start(71);
    let before = fixture.holders();
    fixture.change(|view| {
        view.instances.insert(before[0].clone(), instance(2));
    });
    let mut others = before[1..].iter().cloned();
    assert!(others.all(|other| !fixture.plan(&other).holders.contains(&before[0])));
    fixture.wait(DEPARTED_GRACE);
    assert_eq!(fixture.holders(), before);
}

#[test]
fn a_share_falls_at_once_when_a_new_instance_is_preferred() {
    let mut fixture = ShareFixture::start(71);
    let before = fixture.holders();
    fixture.change(|view| {
        view.instances.get_mut(&before[0]).unwrap().leaving = true;
    });
    fixture.wait(DEPARTED_GRACE);
    assert_eq!(fixture.share(&before[1]), 39);
    fixture.change(|view| {
        view.instances.get_mut(&before[0]).unwrap().leaving = false;
    });
    assert_eq!(fixture.share(&before[1]), 6);
}
