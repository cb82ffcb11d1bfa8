//! Fake callers and databases, and a small fleet to test the engine with.

#![allow(dead_code, reason = "each test file uses only a part of this module")]
#![allow(unreachable_pub, reason = "this module is shared by the test files")]

pub mod caller;
pub mod database;
pub mod relay;

use self::{
    caller::FakeCaller,
    database::FakeDatabases, //
};
use daisyseam_engine::{
    EngineSettings,
    RelaySettings,
    SessionEngine, //
};
use daisyseam_member::{
    HeldView,
    RateGate,
    ViewCell, //
};
use daisyseam_model::{
    DataCentreId,
    ErrorKind,
    FleetView,
    GroupView,
    LogPosition,
    OrganisationId,
    Position,
    PrimaryState,
    RequestError,
    ServiceId,
    Term,
    UpstreamView,
    ViewNumber,
    document::{
        Document,
        GroupEntry,
        KeyEntry,
        OrganisationEntry,
        ReadConsistency,
        RequestLimits,
        ServiceEntry, //
    }, //
};
use daisyseam_runtime::{
    MetricClient,
    StopSignal,
    TimerService, //
};
use sha2::{
    Digest,
    Sha256, //
};
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::Duration, //
};
use tokio::time::Instant;

/// A fleet of one group `g` with the primary `p` and the replicas `a` and `b`.
pub struct Fleet {
    pub engine: SessionEngine<FakeDatabases, FakeGate>,
    pub databases: FakeDatabases,
    pub cell: ViewCell,
    pub gate: FakeGate,
    pub stop: StopSignal,
    pub metrics: MetricClient,
    view: FleetView,
}

/// A rate gate with a fixed number of tokens.
#[derive(Clone)]
pub struct FakeGate {
    pub tokens: Arc<AtomicUsize>,
}

impl RateGate for FakeGate {
    async fn admit(&self, _: &OrganisationId, _: Instant) -> Result<(), RequestError> {
        let take = |tokens: usize| tokens.checked_sub(1);
        self.tokens
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take)
            .map(|_| ())
            .map_err(|_| ErrorKind::RateExceeded.into())
    }

    async fn admit_open(&self, _: &ServiceId, _: Instant) -> Result<(), RequestError> {
        Ok(())
    }
}

pub fn position(term: u64, number: u64) -> LogPosition {
    LogPosition {
        term: Term(term),
        position: Position(number),
    }
}

impl Fleet {
    /// Starts a fleet whose databases admit `slots` connections.
    pub fn start(slots: usize) -> Self {
        Self::with_databases(FakeDatabases::new(&["p", "a", "b"]), slots)
    }

    /// Starts another instance with the given databases.
    pub fn with_databases(databases: FakeDatabases, slots: usize) -> Self {
        Self::instance("e-1", databases, slots, None)
    }

    /// Starts an instance of a name.
    fn instance(
        name: &str,
        databases: FakeDatabases,
        slots: usize,
        relay: Option<RelaySettings>,
    ) -> Self {
        let view = view(&databases, slots);
        let cell = ViewCell::new();
        let gate = FakeGate {
            tokens: Arc::new(AtomicUsize::new(10_000)),
        };
        let stop = StopSignal::new();
        let metrics = MetricClient::local();
        let engine = SessionEngine::new(EngineSettings {
            instance: name.parse().unwrap(),
            data_centre: "dc-1".parse().unwrap(),
            cell: cell.clone(),
            gate: gate.clone(),
            metrics: metrics.clone(),
            timer: TimerService::start(),
            connector: databases.clone(),
            stop: stop.clone(),
            drain: Duration::from_secs(5),
            relay,
        });
        let mut fleet = Self {
            engine,
            databases,
            cell,
            gate,
            stop,
            metrics,
            view,
        };
        fleet.change_view(|_| {});
        fleet
    }

    /// Changes the view and renews it with a long lease.
    pub fn change_view(&mut self, change: impl FnOnce(&mut FleetView)) {
        change(&mut self.view);
        self.view.number = ViewNumber(self.view.number.0 + 1);
        self.set_lease(Duration::from_secs(3_600));
    }

    /// Changes the document.
    pub fn change_document(&mut self, change: impl FnOnce(&mut Document)) {
        self.change_view(|view| {
            let mut document = Document::clone(view.document.as_ref().unwrap());
            change(&mut document);
            view.document = Some(Arc::new(document));
        });
    }

    /// Returns the document's entry of a service.
    pub fn service(&self, name: &str) -> ServiceEntry {
        let document = self.view.document.as_ref().unwrap();
        document.services[name].clone()
    }

    /// Makes another database the primary of the next term.
    pub fn promote(&mut self, upstream: &str) {
        let upstream = upstream.parse().unwrap();
        self.change_view(|view| {
            let group = view.groups.get_mut("g").unwrap();
            group.term = group.term.next();
            group.primary = PrimaryState::Active(upstream);
        });
    }

    /// Sets the remaining time of the lease.
    pub fn set_lease(&self, lease: Duration) {
        self.cell.replace(HeldView {
            view: Arc::new(self.view.clone()),
            lease_until: Some(Instant::now() + lease),
        });
    }

    /// Opens a session of the organisation `one`.
    pub async fn session(&self, service: &str) -> FakeCaller {
        let mut caller = self.caller(service, "key-one");
        caller.opened().await;
        caller
    }

    /// Connects a caller.
    pub fn caller(&self, service: &str, key: &str) -> FakeCaller {
        let (caller, stream) = caller::pair(service, key);
        tokio::spawn(self.engine.serve(stream));
        caller
    }
}

fn view(databases: &FakeDatabases, slots: usize) -> FleetView {
    let mut view = FleetView {
        document: Some(Arc::new(document(slots))),
        ..FleetView::default()
    };
    let group = GroupView {
        term: Term(1),
        primary: PrimaryState::Active("p".parse().unwrap()),
        lineage_start: LogPosition::default(),
    };
    view.groups.insert("g".parse().unwrap(), group);
    for (name, address) in databases.addresses() {
        let data_centre = match name.as_str() {
            "b" => "dc-2",
            _ => "dc-1",
        };
        let upstream = UpstreamView {
            group: "g".parse().unwrap(),
            data_centre: data_centre.parse().unwrap(),
            address,
            admin_address: address,
            holder: None,
            leaving: false,
            born_ms: 0,
            voter: true,
        };
        view.upstreams.insert(name, upstream);
    }
    view
}

fn document(slots: usize) -> Document {
    let group = GroupEntry {
        databases: 3,
        slots,
        commit: Default::default(),
        capacity: None,
    };
    let service = |consistency, max_staleness| ServiceEntry {
        consistency,
        max_staleness,
        statement_timeout: Some(Duration::from_secs(1)),
        target_latency: Some(Duration::from_millis(400)),
        ..ServiceEntry::of_group("g".parse().unwrap())
    };
    let bound = Some(Duration::from_secs(1));
    let services = [
        ("primary", service(ReadConsistency::Primary, None)),
        ("session", service(ReadConsistency::Session, None)),
        ("bounded", service(ReadConsistency::Bounded, bound)),
    ];
    let organisation = |key: &str| OrganisationEntry {
        weight: 1,
        rate: 100.0,
        burst: 100.0,
        services: Default::default(),
        keys: [key_entry(key)].into_iter().collect(),
    };
    Document {
        number: Default::default(),
        cluster: "c".parse().unwrap(),
        limits: RequestLimits {
            idle_in_transaction_timeout: Duration::from_secs(3),
            ..RequestLimits::default()
        },
        regions: BTreeMap::new(),
        data_centres: BTreeMap::new(),
        groups: BTreeMap::from([("g".parse().unwrap(), group)]),
        services: services
            .into_iter()
            .map(|(name, entry)| (name.parse().unwrap(), entry))
            .collect(),
        organisations: BTreeMap::from([
            ("one".parse().unwrap(), organisation("key-one")),
            ("two".parse().unwrap(), organisation("key-two")),
        ]),
        open_routes: BTreeMap::new(),
    }
}

fn key_entry(key: &str) -> KeyEntry {
    KeyEntry {
        hash: Sha256::digest(key).into(),
        not_before: None,
        not_after: None,
    }
}

/// Parses the name of a data centre.
pub fn data_centre(name: &str) -> DataCentreId {
    name.parse().unwrap()
}
