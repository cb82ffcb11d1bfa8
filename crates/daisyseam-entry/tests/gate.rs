//! Rate gate in virtual time, with a quota ledger that replies to its reports.

use daisyseam_coord::{
    Moment,
    quota::{
        HolderId,
        QuotaLedger,
        RateKey,
        RateShare, //
    }, //
};
use daisyseam_entry::{
    HeldView,
    RateGate,
    ViewCell,
    fleet::FleetGate, //
};
use daisyseam_model::{
    DocumentNumber,
    ErrorKind,
    FleetView,
    Incarnation,
    InstanceId,
    OrganisationId,
    ServiceId,
    ViewNumber,
    document::Document, //
};
use daisyseam_runtime::TimerService;
use daisyseam_wire::WireShareReply;
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::time::Instant;

const LEASE: Duration = Duration::from_millis(1_000);
const HEARTBEAT: Duration = Duration::from_millis(200);

/// A gate, the ledger that grants its shares, and their clock.
struct GateFixture {
    gate: FleetGate,
    cell: ViewCell,
    timer: TimerService,
    ledger: QuotaLedger,
    holder: HolderId,
    origin: Instant,
}

fn document(rate: f64, burst: f64) -> Document {
    let text = format!(
        r#"number = 1
cluster = "test"

[[region]]
name = "home"

[[data_centre]]
name = "one"
region = "home"

[[group]]
name = "records-db"
databases = 1
slots = 5

[[service]]
name = "records"
group = "records-db"

[[organisation]]
name = "keepers"
rate = {rate:?}
burst = {burst:?}

[[organisation.key]]
hash = "sha256:0000000000000000000000000000000000000000000000000000000000000001"

[[open_route]]
service = "records"
tables = ["prices"]
rate = {rate:?}
burst = {burst:?}
"#
    );
    Document::parse(&text).unwrap_or_else(|problems| panic!("{problems:?}"))
}

impl GateFixture {
    fn new(rate: f64, burst: f64) -> Self {
        let timer = TimerService::start();
        let cell = ViewCell::new();
        let origin = Instant::now();
        cell.replace(HeldView {
            view: Arc::new(FleetView {
                number: ViewNumber(1),
                document_number: DocumentNumber(1),
                document: Some(Arc::new(document(rate, burst))),
                ..FleetView::default()
            }),
            lease_until: Some(origin + Duration::from_secs(3_600)),
        });
        let mut ledger = QuotaLedger::new(1, Moment::ORIGIN, LEASE);
        let total = RateShare::from_document(rate, burst);
        let keys = ["keepers", "open/records"].map(|text| RateKey::parse(text).unwrap());
        ledger.set_totals(Moment::ORIGIN, keys.map(|key| (key, total)));
        Self {
            gate: FleetGate::new(cell.clone(), timer.clone()),
            cell,
            timer,
            ledger,
            holder: HolderId {
                instance: InstanceId::new("entry-1").unwrap(),
                incarnation: Incarnation(1),
            },
            origin,
        }
    }

    /// Exchanges reports for a time, as heartbeats would.
    async fn exchange_reports_for(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            let next = end.min(Instant::now() + HEARTBEAT);
            let _ = self.timer.within(next, self.gate.report_due()).await;
            let now = Moment::after_origin(self.origin.elapsed());
            let report = self.gate.report().read().unwrap();
            if let Some(reply) = self.ledger.report(now, &self.holder, &report) {
                self.gate.replied(&WireShareReply::present(&reply), LEASE);
            }
        }
    }
}

fn keepers() -> OrganisationId {
    OrganisationId::new("keepers").unwrap()
}

#[tokio::test(start_paused = true)]
async fn requests_wait_for_the_share_and_are_admitted_in_order() {
    let mut fixture = GateFixture::new(10.0, 5.0);
    let deadline = Instant::now() + Duration::from_secs(30);
    let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel();
    for number in 0..50 {
        let (gate, sender) = (fixture.gate.clone(), sender.clone());
        tokio::spawn(async move {
            gate.admit(&keepers(), deadline).await.unwrap();
            sender.send((number, Instant::now())).unwrap();
        });
        tokio::task::yield_now().await;
    }
    fixture.exchange_reports_for(Duration::from_secs(10)).await;
    drop(sender);
    let mut admitted = Vec::new();
    while let Some(admission) = receiver.recv().await {
        admitted.push(admission);
    }
    assert!(admitted.iter().map(|(number, _)| *number).eq(0..50));
    // Ten admissions per second from when the share arrived; no burst had accrued by then.
    let first = admitted[0].1;
    for (number, at) in &admitted {
        let earliest = first + Duration::from_millis(100) * (*number as u32).saturating_sub(5);
        assert!(*at >= earliest, "{number}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_cannot_meet_its_deadline_is_rejected_immediately() {
    let mut fixture = GateFixture::new(10.0, 5.0);
    fixture.exchange_reports_for(Duration::from_secs(3)).await;
    let now = Instant::now();
    let deadline = now + Duration::from_secs(1);
    let waiting: Vec<_> = (0..40)
        .map(|_| {
            let gate = fixture.gate.clone();
            tokio::spawn(async move { gate.admit(&keepers(), deadline).await })
        })
        .collect();
    fixture.exchange_reports_for(Duration::from_secs(2)).await;
    let (mut admitted, mut refused) = (0, 0);
    for request in waiting {
        match request.await.unwrap() {
            Ok(()) => admitted += 1,
            Err(error) => {
                assert_eq!(error.kind, ErrorKind::RateExceeded);
                assert!(error.retry_after.unwrap() >= Duration::from_millis(100));
                refused += 1;
            }
        }
    }
    assert_eq!(admitted + refused, 40);
    assert!((14..=15).contains(&admitted), "{admitted}");
}

#[tokio::test(start_paused = true)]
async fn requests_are_rejected_without_shares_or_a_view_lease() {
    let fixture = GateFixture::new(10.0, 5.0);
    let deadline = Instant::now() + Duration::from_secs(1);
    let refused = fixture.gate.admit(&keepers(), deadline).await.unwrap_err();
    assert_eq!(refused.kind, ErrorKind::RateExceeded);
    let view = Arc::clone(&fixture.cell.held().view);
    fixture.cell.replace(HeldView {
        view,
        lease_until: None,
    });
    let deadline = Instant::now() + Duration::from_secs(1);
    let refused = fixture.gate.admit(&keepers(), deadline).await.unwrap_err();
    assert_eq!(refused.kind, ErrorKind::NoView);
}

#[tokio::test(start_paused = true)]
async fn an_open_route_has_a_separate_rate() {
    let mut fixture = GateFixture::new(10.0, 5.0);
    fixture.exchange_reports_for(Duration::from_secs(3)).await;
    let records = ServiceId::new("records").unwrap();
    let other = ServiceId::new("other").unwrap();
    let now = Instant::now();
    for _ in 0..5 {
        fixture.gate.admit_open(&records, now).await.unwrap();
    }
    let refused = fixture.gate.admit_open(&records, now).await.unwrap_err();
    assert_eq!(refused.kind, ErrorKind::RateExceeded);
    let refused = fixture.gate.admit_open(&other, now).await.unwrap_err();
    assert_eq!(refused.kind, ErrorKind::ServiceDenied);
    // The tokens of the organisation are not affected.
    fixture.gate.admit(&keepers(), now).await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn shares_end_with_their_lease_or_when_the_instance_leaves() {
    let mut fixture = GateFixture::new(10.0, 5.0);
    fixture.exchange_reports_for(Duration::from_secs(3)).await;
    fixture
        .gate
        .admit(&keepers(), Instant::now())
        .await
        .unwrap();
    fixture.timer.after(LEASE).await;
    let refused = fixture.gate.admit(&keepers(), Instant::now()).await;
    assert_eq!(refused.unwrap_err().kind, ErrorKind::RateExceeded);
    fixture.exchange_reports_for(Duration::from_secs(3)).await;
    fixture
        .gate
        .admit(&keepers(), Instant::now())
        .await
        .unwrap();
    fixture.gate.leave();
    fixture.exchange_reports_for(HEARTBEAT).await;
    let refused = fixture.gate.admit(&keepers(), Instant::now()).await;
    assert_eq!(refused.unwrap_err().kind, ErrorKind::RateExceeded);
    let keepers = RateKey::parse("keepers").unwrap();
    assert_eq!(fixture.ledger.outstanding(&keepers), RateShare::default());
}
