//! Counting and reporting without a network.

use super::{
    MeteredCall,
    REPORT_INTERVAL,
    SETTLE_TIME,
    UsageMeter, //
};
use crate::{
    DatabaseRefusal,
    DatabaseReply,
    RefusalKind,
    TransactionState,
    attempt::{
        Fence,
        Statement, //
    },
    link::{
        LinkCall,
        LinkError,
        LinkVerb, //
    }, //
};
use bytes::Bytes;
use daisyseam_model::OrganisationId;
use daisyseam_wire::{
    UsageReport,
    UsageWindow, //
};
use std::time::Duration;
use test_case::test_case;
use tokio::time::Instant;

const WINDOW: Duration = Duration::from_secs(5);

fn organisation() -> OrganisationId {
    "swakop".parse().expect("a sound name")
}

fn window(window: u64, left: Duration, term: u64) -> UsageWindow {
    UsageWindow {
        window,
        left_ms: left.as_millis() as u64,
        window_ms: WINDOW.as_millis() as u64,
        decided: 0,
        term,
    }
}

/// Returns a meter in window 7, which ends five seconds after the returned time.
fn meter() -> (UsageMeter, Instant) {
    let (meter, now) = (UsageMeter::default(), Instant::now());
    meter.handle_reply(1, (now, now), Some(&window(7, WINDOW, 1)));
    (meter, now)
}

fn call<'a>(id: Option<&'a [u8]>, verb: LinkVerb<'a>) -> LinkCall<'a> {
    LinkCall {
        id,
        at_least: None,
        in_transaction: false,
        fence: Fence::Nothing,
        verb,
    }
}

fn start(meter: &UsageMeter, now: Instant) -> MeteredCall<'_> {
    let statement = Statement::Text(Bytes::from_static(b"FETCH a"));
    let call = call(Some(b"q1"), LinkVerb::Run(&statement));
    let started = meter.start(now, Some(&organisation()), &call);
    started.expect("the call counts")
}

fn refused(kind: RefusalKind) -> Result<DatabaseReply, LinkError> {
    Ok(DatabaseReply {
        rows: Vec::new(),
        outcome: Err(DatabaseRefusal {
            kind,
            detail: String::new(),
        }),
        state: TransactionState::Idle,
        position: None,
    })
}

fn answered() -> Result<DatabaseReply, LinkError> {
    Ok(DatabaseReply {
        rows: Vec::new(),
        outcome: Ok(Bytes::new()),
        state: TransactionState::Idle,
        position: None,
    })
}

/// Returns the window, whether the counts are final, and the count of the organisation.
fn summary(reports: &[UsageReport]) -> Vec<(u64, bool, Option<u64>)> {
    let count = |report: &UsageReport| report.counts.first().map(|count| count.count);
    let reports = reports.iter();
    reports
        .map(|report| (report.window, report.is_final, count(report)))
        .collect()
}

fn report(meter: &UsageMeter, now: Instant, sequence: u64) -> Vec<(u64, bool, Option<u64>)> {
    summary(&meter.report(now, sequence).expect("it counts"))
}

/// Guards against counting on a deployment that does not report usage.
#[test]
fn nothing_is_counted_until_control_sends_a_window() {
    let (meter, now) = (UsageMeter::default(), Instant::now());
    let statement = Statement::Text(Bytes::from_static(b"FETCH a"));
    let call = call(Some(b"q1"), LinkVerb::Run(&statement));
    assert!(meter.start(now, Some(&organisation()), &call).is_none());
    assert_eq!(meter.report(now, 1), None);
    let (meter, now) = self::meter();
    meter.handle_reply(2, (now, now), None);
    assert!(meter.start(now, Some(&organisation()), &call).is_none());
    assert_eq!(meter.report(now, 3), None);
}

/// Guards against requests of an instance that are lost while a new leader does not know the time.
#[test]
fn requests_before_the_first_window_belong_to_it() {
    let (meter, now) = (UsageMeter::default(), Instant::now());
    meter.handle_reply(1, (now, now), Some(&window(0, Duration::ZERO, 1)));
    start(&meter, now).finish(&answered());
    meter.handle_reply(2, (now, now), Some(&window(7, WINDOW, 1)));
    assert_eq!(
        report(&meter, now, 3),
        [(6, true, None), (7, false, Some(1))]
    );
}

#[test_case(Ok(RefusalKind::Busy), 0)]
#[test_case(Ok(RefusalKind::Lagging), 0)]
#[test_case(Ok(RefusalKind::ReadOnly), 0)]
#[test_case(Ok(RefusalKind::UnknownStatement), 0)]
#[test_case(Ok(RefusalKind::Misdirected), 0)]
#[test_case(Ok(RefusalKind::TooManyConnections), 0)]
#[test_case(Ok(RefusalKind::Aborted), 1)]
#[test_case(Ok(RefusalKind::Failed), 1)]
#[test_case(Ok(RefusalKind::TimedOut), 1)]
#[test_case(Ok(RefusalKind::Unknown), 1)]
#[test_case(Err(LinkError::NotSent), 0)]
#[test_case(Err(LinkError::Lost), 1)]
#[test_case(Err(LinkError::TimedOut), 1)]
fn a_request_counts_unless_it_did_not_run(outcome: Result<RefusalKind, LinkError>, count: u64) {
    let (meter, now) = meter();
    start(&meter, now).finish(&answered());
    start(&meter, now).finish(&outcome.and_then(refused));
    let expected = [(6, true, None), (7, false, Some(1 + count))];
    assert_eq!(report(&meter, now, 2), expected);
}

/// Guards against counting of statements that the system issues itself, and of a transaction as
/// more than one request.
#[test]
fn statements_with_an_identifier_and_transactions_count_once() {
    let (meter, now) = meter();
    let statement = Statement::Text(Bytes::from_static(b"FETCH a"));
    let mode = crate::TransactionMode::ReadWrite;
    let run = LinkVerb::Run(&statement);
    let cases = [
        (Some(&b"q1"[..]), run, false, true),
        (None, run, false, false),
        (None, LinkVerb::Begin(mode), false, true),
        (Some(b"q2"), run, true, false),
        (Some(b"q3"), LinkVerb::Commit, true, false),
        (Some(b"q4"), LinkVerb::Rollback, true, false),
    ];
    for (id, verb, in_transaction, counts) in cases {
        let call = LinkCall {
            in_transaction,
            ..call(id, verb)
        };
        let started = meter.start(now, Some(&organisation()), &call);
        assert_eq!(started.is_some(), counts, "{id:?} {verb:?}");
    }
    assert!(meter.start(now, None, &call(Some(b"q1"), run)).is_none());
}

/// Guards against counts in the wrong window, and against a final count that still changes.
#[test]
fn a_request_belongs_to_the_window_in_which_it_was_sent() {
    let (meter, now) = meter();
    let early = start(&meter, now + WINDOW - Duration::from_millis(1));
    let late = start(&meter, now + WINDOW);
    let at = now + WINDOW + Duration::from_millis(10);
    // The window stays open for the refusal of a request in progress.
    assert_eq!(
        report(&meter, at, 2),
        [(6, true, None), (7, false, Some(1)), (8, false, Some(1))]
    );
    early.finish(&refused(RefusalKind::Busy));
    late.finish(&answered());
    meter.handle_reply(2, (at, at), Some(&window(8, WINDOW, 1)));
    assert_eq!(report(&meter, at, 3), [(7, true, Some(0))]);
}

/// Guards against a window that is never final because of a request without a reply.
#[test]
fn a_window_is_final_although_a_request_gets_no_reply() {
    let (meter, now) = meter();
    let open = start(&meter, now);
    let at = now + WINDOW + SETTLE_TIME;
    assert_eq!(report(&meter, at, 2), [(6, true, None), (7, true, Some(1))]);
    open.finish(&refused(RefusalKind::Busy));
    // Not answered in time, so it is repeated with the same content.
    let again = at + Duration::from_secs(2);
    assert_eq!(
        report(&meter, again, 3),
        [(6, true, None), (7, true, Some(1))]
    );
}

/// Guards against heartbeats that repeat what control knows, and against lost counts when an answer
/// or a leader is lost.
#[test]
fn only_changes_are_reported_until_the_leader_changes() {
    let (meter, now) = meter();
    start(&meter, now).finish(&answered());
    assert_eq!(report(&meter, now, 2).len(), 2);
    meter.handle_reply(2, (now, now), Some(&window(7, WINDOW, 1)));
    let later = now + REPORT_INTERVAL;
    assert_eq!(report(&meter, later, 3), []);
    start(&meter, later).finish(&answered());
    let later = later + REPORT_INTERVAL;
    assert_eq!(report(&meter, later, 4), [(7, false, Some(2))]);
    // The answer to heartbeat 4 is lost, and the next leader knows nothing.
    meter.handle_reply(5, (later, later), Some(&window(7, WINDOW / 2, 2)));
    let later = later + REPORT_INTERVAL;
    assert_eq!(
        report(&meter, later, 6),
        [(6, true, None), (7, false, Some(2))]
    );
}

/// Guards against windows that control has decided and that would be kept and reported for ever.
#[test]
fn decided_windows_are_removed() {
    let (meter, now) = meter();
    start(&meter, now).finish(&answered());
    let decided = UsageWindow {
        decided: 7,
        ..window(8, WINDOW, 1)
    };
    let later = now + WINDOW;
    meter.handle_reply(2, (later, later), Some(&decided));
    assert_eq!(report(&meter, later, 3), []);
}

/// Guards against a correction of the clock that moves requests to a window that has ended.
#[test]
fn the_window_never_goes_back() {
    let (meter, now) = meter();
    let later = now + WINDOW;
    start(&meter, later).finish(&answered());
    meter.handle_reply(
        2,
        (later, later),
        Some(&window(7, Duration::from_millis(80), 1)),
    );
    start(&meter, later).finish(&answered());
    assert_eq!(
        report(&meter, later, 3),
        [(6, true, None), (7, true, None), (8, false, Some(2))]
    );
}

/// Guards against a slow reply that moves the end of the window.
#[test]
fn a_slow_reply_does_not_correct_the_clock() {
    let (meter, now) = meter();
    let received = now + Duration::from_millis(900);
    meter.handle_reply(2, (now, received), Some(&window(7, WINDOW, 1)));
    start(&meter, now + WINDOW).finish(&answered());
    let reports = report(&meter, now + WINDOW, 3);
    assert_eq!(reports.last(), Some(&(8, false, Some(1))));
}

/// Guards against a heartbeat over the bound of 3 KB with many organisations, and against a window
/// that is final before all its counts were reported.
#[test]
fn the_size_of_a_report_is_bounded() {
    let (meter, now) = meter();
    let statement = Statement::Text(Bytes::from_static(b"FETCH a"));
    let call = call(Some(b"q1"), LinkVerb::Run(&statement));
    for number in 0..250 {
        let name: OrganisationId = format!("organisation-{number}").parse().expect("a name");
        drop(meter.start(now, Some(&name), &call));
    }
    let mut at = now + WINDOW;
    let mut total = 0;
    for sequence in 2..5 {
        let reports = meter.report(at, sequence).expect("it counts");
        let counts = reports.iter().map(|report| report.counts.len());
        total += counts.sum::<usize>();
        let bytes: usize = reports.iter().map(prost_len).sum();
        assert!(bytes <= 3_000, "{bytes}");
        let is_final = reports
            .iter()
            .any(|report| report.window == 7 && report.is_final);
        assert_eq!(is_final, total == 250);
        meter.handle_reply(sequence, (at, at), Some(&window(8, WINDOW, 1)));
        at += Duration::from_millis(300);
    }
    assert_eq!(total, 250);
}

/// Returns an upper bound of the encoded size.
fn prost_len(report: &UsageReport) -> usize {
    let counts = report.counts.iter();
    // Tag and length of the message, of the name and of the count, with up to three bytes of count.
    counts
        .map(|count| count.organisation.len() + 8)
        .sum::<usize>()
        + 24
}
