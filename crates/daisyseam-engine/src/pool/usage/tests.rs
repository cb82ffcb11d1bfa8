use super::{
    HALF_LIFE,
    PRUNED_LEN,
    RecentUsage, //
};
use daisyseam_model::OrganisationId;
use tokio::time::Instant;

fn organisation(name: &str) -> Option<OrganisationId> {
    Some(name.parse().unwrap())
}

/// An organisation that was busy long ago must not be refused in favour of one that is busy now.
#[test]
fn former_requests_count_less() {
    let mut usage = RecentUsage::default();
    let start = Instant::now();
    let (former, current) = (organisation("former"), organisation("current"));
    for _ in 0..100 {
        usage.record(former.as_ref(), start);
    }
    let now = start + HALF_LIFE * 8;
    usage.record(current.as_ref(), now);
    assert!(usage.of(&former, now) < usage.of(&current, now));
    assert!(usage.of(&organisation("other"), now) <= 0.0);
}

/// Organisations that have gone must not take memory for ever.
#[test]
fn organisations_without_requests_are_forgotten() {
    let mut usage = RecentUsage::default();
    let start = Instant::now();
    for index in 0..20 * PRUNED_LEN {
        let now = start + HALF_LIFE / 8 * u32::try_from(index).unwrap();
        usage.record(organisation(&format!("org-{index}")).as_ref(), now);
    }
    assert!(usage.used.len() <= PRUNED_LEN + 1, "{}", usage.used.len());
}
