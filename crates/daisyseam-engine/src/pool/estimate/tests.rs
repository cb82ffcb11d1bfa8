use super::{
    QueueEstimate,
    UsedPart, //
};
use crate::urgency::Urgency;
use daisyseam_model::OrganisationId;
use std::time::Duration;
use tokio::time::Instant;

const INTERVAL: Duration = Duration::from_millis(10);

fn organisation(name: &str) -> OrganisationId {
    name.parse().unwrap()
}

fn part(organisation: &OrganisationId, priority: u32, used: f64) -> UsedPart<'_> {
    UsedPart {
        organisation: Some(organisation),
        urgency: Urgency::of_priority(priority),
        used,
    }
}

/// A less urgent request was admitted by the requests before it, and more urgent ones arrived.
#[test]
fn less_urgent_requests_wait_longer_while_urgent_ones_arrive() {
    let now = Instant::now();
    let (one, two) = (organisation("one"), organisation("two"));
    let parts = [part(&one, 0, 3.0), part(&two, 0, 3.0), part(&two, 1, 2.0)];
    let estimate = QueueEstimate::new(now, INTERVAL, parts.into_iter(), std::iter::empty());
    let wait = |priority, ahead| estimate.start_at(Urgency::of_priority(priority), ahead) - now;
    assert_eq!(wait(0, 9), INTERVAL * 10);
    assert_eq!(wait(1, 9), INTERVAL * 40);
}

/// The requests of a busy organisation, which are refused first, made others seem late.
#[test]
fn urgent_requests_of_a_busy_organisation_do_not_delay_others() {
    let now = Instant::now();
    let (busy, calm) = (organisation("busy"), organisation("calm"));
    let parts = [part(&busy, 0, 9.0), part(&calm, 1, 1.0)];
    let estimate = QueueEstimate::new(now, INTERVAL, parts.into_iter(), std::iter::empty());
    assert!(estimate.is_excessive(Some(&busy)));
    assert!(!estimate.is_excessive(Some(&calm)));
    let wait =
        |name, priority| estimate.earliest_start(name, Urgency::of_priority(priority), 0) - now;
    assert_eq!(wait(Some(&calm), 1), INTERVAL);
    assert!(wait(Some(&busy), 1) > INTERVAL * 9);
}

/// An organisation that is alone or uses as much as others must keep the order of urgency.
#[test]
fn an_organisation_is_compared_with_the_others() {
    let now = Instant::now();
    let (one, two) = (organisation("one"), organisation("two"));
    let alone = [part(&one, 0, 100.0)];
    let estimate = QueueEstimate::new(now, INTERVAL, alone.into_iter(), std::iter::empty());
    assert!(!estimate.is_excessive(Some(&one)));
    let waiting = [(Some(&one), 15), (Some(&two), 10)];
    let estimate = QueueEstimate::new(now, INTERVAL, std::iter::empty(), waiting.into_iter());
    assert!(!estimate.is_excessive(Some(&one)));
}
