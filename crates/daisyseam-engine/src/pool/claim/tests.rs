use super::{
    ClaimRequest,
    KEEP_DIVISOR, //
};
use crate::{
    urgency::{
        QueueRule,
        Urgency, //
    },
    values::SessionValues, //
};
use std::time::Duration;
use tokio::time::Instant;

const TARGET: Duration = Duration::from_millis(800);
const SERVICE_TIME: Duration = Duration::from_millis(40);

/// Returns until when a request waits, and from when on it is kept, for a target and a deadline.
fn waits(
    rule: QueueRule,
    target: Duration,
    deadline: Duration,
    service_time: Option<Duration>,
) -> (Duration, Duration) {
    let now = Instant::now();
    let request = ClaimRequest {
        organisation: None,
        values: &SessionValues::default(),
        number: 0,
        deadline: now + deadline,
        target: now + target,
        urgency: Urgency::HIGHEST,
        rule,
    };
    let entry = request.wait_entry(now, service_time);
    (entry.start_by - now, entry.keep_from - now)
}

/// Requests were refused after a quarter of their target although they could have been answered in
/// time, and must not wait so long that the statement ends after the target.
#[test]
fn a_request_waits_until_its_target_less_a_statement() {
    let waits = waits(QueueRule::Urgency, TARGET, TARGET, Some(SERVICE_TIME));
    assert_eq!(waits, (TARGET - SERVICE_TIME, TARGET / KEEP_DIVISOR));
}

/// Where services have one priority, the wait must not depend on the target.
#[test]
fn a_request_that_takes_turns_waits_until_its_deadline() {
    let deadline = TARGET / 4;
    assert_eq!(
        waits(QueueRule::Turns, TARGET, deadline, Some(SERVICE_TIME)),
        (deadline, deadline)
    );
}

/// A request whose target passed while it waited for a primary, or of an older instance that sends
/// none, must not be refused for it.
#[test]
fn a_request_without_a_target_waits_until_its_deadline() {
    let deadline = TARGET / 4;
    let waits = waits(
        QueueRule::Urgency,
        Duration::ZERO,
        deadline,
        Some(SERVICE_TIME),
    );
    assert_eq!(waits, (deadline, deadline));
}

/// No request may wait past the deadline of its statement.
#[test]
fn a_request_does_not_wait_past_its_deadline() {
    let deadline = TARGET / 2;
    let (start_by, _) = waits(QueueRule::Urgency, TARGET, deadline, Some(SERVICE_TIME));
    assert_eq!(start_by, deadline);
}

/// Where each instance opens its own connections, it does not know the others' load, and a longer
/// wait would end in a late refusal.
#[test]
fn a_request_whose_wait_cannot_be_estimated_waits_a_quarter() {
    let (start_by, _) = waits(QueueRule::Urgency, TARGET, TARGET, None);
    assert_eq!(start_by, TARGET / KEEP_DIVISOR);
}
