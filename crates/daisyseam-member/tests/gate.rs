//! How long a request waits for admission: briefly for a token, longer for a lease or a share.

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
    ContactState,
    FleetGate,
    HeldView,
    RateGate,
    ViewCell, //
};
use daisyseam_model::document::Document;
use daisyseam_model::{
    ErrorKind,
    FleetView,
    Incarnation,
    InstanceId,
    OrganisationId,
    RequestError, //
};
use daisyseam_runtime::{
    BootClock,
    TimerService, //
};
use daisyseam_wire::WireShareReply;
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::time::{
    Instant,
    sleep, //
};

const LEASE: Duration = Duration::from_secs(10);
const TOKEN_WAIT: Duration = Duration::from_millis(100);
const SHARE_WAIT: Duration = Duration::from_millis(500);

fn document() -> Arc<Document> {
    let text = r#"
        number = 1
        cluster = "rates"
        [[region]]
        name = "north"
        [[data_centre]]
        name = "north-a"
        region = "north"
        [[organisation]]
        name = "keepers"
        rate = 10.0
        burst = 1.0
    "#;
    Arc::new(Document::parse(text).unwrap())
}

fn renew_lease(cell: &ViewCell) {
    let document = document();
    let view = FleetView {
        document_number: document.number,
        document: Some(document),
        ..FleetView::default()
    };
    cell.replace(HeldView {
        view: Arc::new(view),
        lease_until: Some(BootClock::now() + LEASE),
    });
}

/// Sends reports to a ledger that grants shares, and applies its replies.
fn grant_share(gate: &FleetGate) {
    let mut ledger = QuotaLedger::new(1, Moment::ORIGIN, LEASE);
    let now = Moment::ORIGIN + LEASE;
    ledger.set_totals(now, document_rates(&document()));
    let holder = HolderId {
        instance: InstanceId::new("entry-1").unwrap(),
        incarnation: Incarnation(1),
    };
    for _ in 0..2 {
        let report = gate.report().read().unwrap();
        let reply = ledger.report(now, &holder, &report).unwrap();
        gate.handle_reply(&WireShareReply::present(&reply), LEASE);
    }
}

async fn admit(gate: &FleetGate) -> Result<(), RequestError> {
    admit_urgent(gate, 0, TOKEN_WAIT).await
}

async fn admit_urgent(
    gate: &FleetGate,
    urgency: u32,
    token_wait: Duration,
) -> Result<(), RequestError> {
    let now = Instant::now();
    let deadlines = AdmissionDeadlines {
        token: now + token_wait,
        share: now + SHARE_WAIT,
        urgency,
    };
    gate.admit_within(&OrganisationId::new("keepers").unwrap(), deadlines)
        .await
}

#[tokio::test(start_paused = true)]
async fn a_request_waits_for_a_lease_and_a_share_past_the_time_for_its_turn() {
    let cell = ViewCell::new();
    let gate = FleetGate::new(cell.clone(), TimerService::start());
    let started = Instant::now();
    let waiting = tokio::spawn({
        let gate = gate.clone();
        async move { admit(&gate).await }
    });
    sleep(TOKEN_WAIT * 2).await;
    renew_lease(&cell);
    sleep(TOKEN_WAIT).await;
    grant_share(&gate);
    waiting.await.unwrap().unwrap();
    assert!(started.elapsed() < SHARE_WAIT, "{:?}", started.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_request_is_refused_when_no_lease_or_no_share_has_come_in_time() {
    let cell = ViewCell::new();
    let gate = FleetGate::new(cell.clone(), TimerService::start());
    let started = Instant::now();
    let error = admit(&gate).await.unwrap_err();
    assert_eq!(error.kind, ErrorKind::NoView);
    assert!(started.elapsed() >= SHARE_WAIT);

    renew_lease(&cell);
    let started = Instant::now();
    let error = admit(&gate).await.unwrap_err();
    assert_eq!(error.kind, ErrorKind::RateExceeded);
    assert!(started.elapsed() >= SHARE_WAIT);
    assert!(started.elapsed() < SHARE_WAIT + TOKEN_WAIT);
}

#[tokio::test(start_paused = true)]
async fn a_request_beyond_its_share_waits_no_longer_than_for_its_turn() {
    let cell = ViewCell::new();
    let gate = FleetGate::new(cell.clone(), TimerService::start());
    renew_lease(&cell);
    grant_share(&gate);
    sleep(TOKEN_WAIT * 2).await;
    admit(&gate).await.unwrap();
    // The next token accrues after 100 ms: one request may wait for it, the other is rejected.
    let started = Instant::now();
    let (first, second) = tokio::join!(admit(&gate), admit(&gate));
    let refused = [first, second].into_iter().filter(Result::is_err).count();
    assert!(refused >= 1);
    assert!(started.elapsed() <= TOKEN_WAIT + Duration::from_millis(10));
}

/// Guards against urgent requests of an organisation that wait behind its less urgent ones.
#[tokio::test(start_paused = true)]
async fn an_urgent_request_gets_the_next_token() {
    let cell = ViewCell::new();
    let gate = FleetGate::new(cell.clone(), TimerService::start());
    renew_lease(&cell);
    grant_share(&gate);
    sleep(TOKEN_WAIT * 2).await;
    admit(&gate).await.unwrap();
    let started = Instant::now();
    let less_urgent = tokio::spawn({
        let gate = gate.clone();
        async move {
            let result = admit_urgent(&gate, 2, TOKEN_WAIT * 5).await;
            (result, Instant::now())
        }
    });
    sleep(TOKEN_WAIT / 4).await;
    admit_urgent(&gate, 0, TOKEN_WAIT * 2).await.unwrap();
    let urgent_at = Instant::now();
    let (result, less_urgent_at) = less_urgent.await.unwrap();
    result.unwrap();
    assert!(urgent_at < less_urgent_at);
    assert!(less_urgent_at - started <= TOKEN_WAIT * 2 + Duration::from_millis(10));
}

/// The load: an organisation asks for four times its rate, 15 % of it urgent. Guards against refusing the
/// urgent requests because the others wait longer.
#[tokio::test(start_paused = true)]
async fn an_organisation_over_its_rate_spends_its_tokens_on_urgent_requests() {
    const REQUESTS: u32 = 400;
    let cell = ViewCell::new();
    let gate = FleetGate::new(cell.clone(), TimerService::start());
    renew_lease(&cell);
    grant_share(&gate);
    let mut requests = Vec::new();
    for number in 0..REQUESTS {
        sleep(Duration::from_millis(25)).await;
        renew_lease(&cell);
        if number % 20 == 0 {
            grant_share(&gate);
        }
        let (urgency, wait) = match number % 20 {
            0 | 7 | 14 => (0, TOKEN_WAIT * 2),
            1 | 8 | 15 => (2, TOKEN_WAIT * 2),
            _ => (1, TOKEN_WAIT),
        };
        let gate = gate.clone();
        requests.push(tokio::spawn(async move {
            (urgency, admit_urgent(&gate, urgency, wait).await.is_ok())
        }));
    }
    let (mut urgent, mut admitted, mut admitted_urgent) = (0, 0, 0);
    for request in requests {
        let (urgency, is_admitted) = request.await.unwrap();
        urgent += u32::from(urgency == 0);
        admitted += u32::from(is_admitted);
        admitted_urgent += u32::from(is_admitted && urgency == 0);
    }
    assert!(
        admitted_urgent * 100 >= urgent * 95,
        "{admitted_urgent} of {urgent} urgent requests"
    );
    // The rate is 10 a second for 10 s, and the burst 1.
    assert!(admitted >= 90, "{admitted} admitted in all");
}

/// Guards against requests that wait for a lease that no instance of control can grant.
#[tokio::test(start_paused = true)]
async fn no_request_waits_for_a_lease_while_control_is_silent() {
    let cell = ViewCell::new();
    let gate = FleetGate::new(cell.clone(), TimerService::start());
    let waiting = tokio::spawn({
        let gate = gate.clone();
        async move { admit(&gate).await }
    });
    sleep(TOKEN_WAIT).await;
    let started = Instant::now();
    cell.set_contact(ContactState::Silent);
    let waited = waiting.await.unwrap().unwrap_err().kind;
    let refused = admit(&gate).await.unwrap_err().kind;
    assert_eq!((waited, refused), (ErrorKind::NoView, ErrorKind::NoView));
    assert!(started.elapsed() < TOKEN_WAIT / 10);
    // A valid lease is used although control is silent.
    renew_lease(&cell);
    grant_share(&gate);
    admit(&gate).await.unwrap();
}

/// Guards against requests that wait for a token under a lease, and go on waiting after its end.
#[tokio::test(start_paused = true)]
async fn a_request_that_waits_for_a_share_is_refused_at_the_end_of_the_last_lease() {
    let cell = ViewCell::new();
    let gate = FleetGate::new(cell.clone(), TimerService::start());
    renew_lease(&cell);
    sleep(LEASE - TOKEN_WAIT).await;
    cell.set_contact(ContactState::Silent);
    let started = Instant::now();
    assert_eq!(admit(&gate).await.unwrap_err().kind, ErrorKind::NoView);
    assert!(started.elapsed() >= TOKEN_WAIT);
    assert!(started.elapsed() < TOKEN_WAIT * 11 / 10);
}
