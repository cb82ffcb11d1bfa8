use super::{
    HALF_LIFE,
    PRUNED_LEN,
    RecentUsage, //
};
use crate::urgency::Urgency;
use daisyseam_model::OrganisationId;
use tokio::time::Instant;

fn organisation(name: &str) -> OrganisationId {
    name.parse().unwrap()
}

fn used(usage: &RecentUsage, organisation: &OrganisationId, now: Instant) -> f64 {
    let parts = usage.parts(now);
    let own = parts.filter(|part| part.organisation == Some(organisation));
    own.map(|part| part.used).sum()
}

/// An organisation that was busy long ago must not be refused in favour of one that is busy now.
#[test]
fn former_requests_count_less() {
    let mut usage = RecentUsage::default();
    let start = Instant::now();
    let (former, current) = (organisation("former"), organisation("current"));
    for _ in 0..100 {
        usage.record(Some(&former), Urgency::HIGHEST, start);
    }
    let now = start + HALF_LIFE * 8;
    usage.record(Some(&current), Urgency::HIGHEST, now);
    assert!(used(&usage, &former, now) < used(&usage, &current, now));
    assert!(used(&usage, &organisation("other"), now) <= 0.0);
}

/// Organisations that have gone must not take memory for ever.
#[test]
fn organisations_without_requests_are_forgotten() {
    let mut usage = RecentUsage::default();
    let start = Instant::now();
    for index in 0..20 * PRUNED_LEN {
        let now = start + HALF_LIFE / 8 * u32::try_from(index).unwrap();
        let organisation = organisation(&format!("org-{index}"));
        usage.record(Some(&organisation), Urgency::HIGHEST, now);
    }
    assert!(usage.used.len() <= PRUNED_LEN + 1, "{}", usage.used.len());
}
