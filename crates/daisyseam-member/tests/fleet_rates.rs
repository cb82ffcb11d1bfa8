//! Rates in a fleet where each instance receives a small part of an organisation's requests.

use daisyseam_coord::{
    Moment,
    quota::{
        HolderId,
        QuotaLedger,
        document_rates, //
    }, //
};
use daisyseam_member::{
    AdmissionDeadlines,
    FleetGate,
    HeldView,
    RateGate,
    ViewCell, //
};
use daisyseam_model::{
    FleetView,
    Incarnation,
    InstanceId,
    OrganisationId,
    document::Document, //
};
use daisyseam_runtime::{
    BootClock,
    TimerService, //
};
use daisyseam_wire::WireShareReply;
use parking_lot::Mutex;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};
use std::{
    sync::Arc,
    time::Duration, //
};
use test_case::test_case;
use tokio::{
    task::JoinSet,
    time::{
        Instant,
        sleep,
        sleep_until,
        timeout_at, //
    }, //
};

const INSTANCES: usize = 62;
const LEASE: Duration = Duration::from_secs(2);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
const ONE_WAY: Duration = Duration::from_millis(20);
const TOKEN_WAIT: Duration = Duration::from_millis(80);
const SHARE_WAIT: Duration = Duration::from_millis(360);
const LOAD_TIME: Duration = Duration::from_secs(15);

fn document(rate: f64, burst: f64) -> Arc<Document> {
    let text = format!(
        r#"
        number = 1
        cluster = "rates"
        [[region]]
        name = "north"
        [[data_centre]]
        name = "north-a"
        region = "north"
        [[organisation]]
        name = "keepers"
        rate = {rate:?}
        burst = {burst:?}
        "#
    );
    Arc::new(Document::parse(&text).unwrap())
}

/// A fleet of gates that report to one ledger.
struct RateFleet {
    gates: Vec<FleetGate>,
    _reporters: JoinSet<()>,
}

impl RateFleet {
    fn start(document: &Arc<Document>) -> Self {
        let origin = Instant::now();
        let mut ledger = QuotaLedger::new(1, Moment::ORIGIN, LEASE);
        ledger.set_totals(Moment::ORIGIN, document_rates(document));
        let ledger = Arc::new(Mutex::new(ledger));
        let mut reporters = JoinSet::new();
        let gates = (0..INSTANCES).map(|index| {
            let gate = FleetGate::new(leased_cell(document), TimerService::start());
            let reporter = RateReporter {
                gate: gate.clone(),
                ledger: Arc::clone(&ledger),
                origin,
                holder: HolderId {
                    instance: InstanceId::new(&format!("entry-{index}")).unwrap(),
                    incarnation: Incarnation(1),
                },
            };
            reporters.spawn(reporter.run());
            gate
        });
        Self {
            gates: gates.collect(),
            _reporters: reporters,
        }
    }
}

fn leased_cell(document: &Arc<Document>) -> ViewCell {
    let cell = ViewCell::new();
    let view = FleetView {
        document_number: document.number,
        document: Some(Arc::clone(document)),
        ..FleetView::default()
    };
    cell.replace(HeldView {
        view: Arc::new(view),
        lease_until: Some(BootClock::now() + Duration::from_secs(3_600)),
    });
    cell
}

/// Sends the reports of one gate; each reply arrives after a round trip.
struct RateReporter {
    gate: FleetGate,
    ledger: Arc<Mutex<QuotaLedger>>,
    origin: Instant,
    holder: HolderId,
}

impl RateReporter {
    async fn run(self) {
        let mut exchanges = JoinSet::new();
        loop {
            let next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
            let _ = timeout_at(next_heartbeat, self.gate.report_due()).await;
            let (gate, ledger) = (self.gate.clone(), Arc::clone(&self.ledger));
            let (origin, holder) = (self.origin, self.holder.clone());
            let report = gate.report().read().unwrap();
            exchanges.spawn(async move {
                sleep(ONE_WAY).await;
                let now = Moment::after_origin(origin.elapsed());
                let reply = ledger.lock().report(now, &holder, &report);
                sleep(ONE_WAY).await;
                if let Some(reply) = reply {
                    gate.handle_reply(&WireShareReply::present(&reply), LEASE);
                }
            });
        }
    }
}

#[test_case(19.0, 16.0, 10.0; "an organisation of a mean size")]
#[test_case(4.0, 3.0, 1.0; "a small organisation")]
#[test_case(160.0, 135.0, 85.0; "a large organisation")]
#[tokio::test(start_paused = true)]
async fn requests_within_a_rate_that_is_too_small_to_split_over_the_fleet_are_not_refused(
    rate: f64,
    burst: f64,
    demand: f64,
) {
    let mut random = StdRng::seed_from_u64(16);
    let document = document(rate, burst);
    let organisation = OrganisationId::new("keepers").unwrap();
    let fleet = RateFleet::start(&document);
    sleep(LEASE * 2).await;
    let end = Instant::now() + LOAD_TIME;
    let mut requests = JoinSet::new();
    let mut next = Instant::now();
    while next < end {
        next += Duration::from_secs_f64(-random.random::<f64>().max(1e-9).ln() / demand);
        sleep_until(next).await;
        let gate = fleet.gates[random.random_range(0..INSTANCES)].clone();
        let organisation = organisation.clone();
        requests.spawn(async move {
            let now = Instant::now();
            let deadlines = AdmissionDeadlines {
                token: now + TOKEN_WAIT,
                share: now + SHARE_WAIT,
                urgency: 0,
            };
            gate.admit_within(&organisation, deadlines).await.is_ok()
        });
    }
    let admitted = requests.join_all().await;
    let refused = admitted.iter().filter(|admitted| !**admitted).count();
    // At most 1% of the requests may be rejected in operation without faults.
    assert!(
        refused * 100 <= admitted.len(),
        "{refused} of {}",
        admitted.len()
    );
}
