use super::{
    LOG_INTERVAL,
    RefusalLog, //
};
use std::time::Duration;
use tokio::time::Instant;

/// Thousands of refusals in an overload must not become as many lines, and none may be left out of
/// the sums.
#[test]
fn refusals_are_summed_up() {
    const REFUSALS: u64 = 4_000;
    let mut log = RefusalLog::default();
    let start = Instant::now();
    let upstream = "db-1".parse().unwrap();
    let mut lines = 0;
    let mut logged = 0;
    let mut most_urgent = 0;
    for index in 0..REFUSALS {
        let now = start + Duration::from_millis(5) * u32::try_from(index).unwrap();
        if let Some(sum) = log.record(&upstream, index % 4 == 0, now) {
            lines += 1;
            logged += sum.refused;
            most_urgent += sum.most_urgent;
        }
    }
    assert_eq!(lines, 1 + 20_000 / LOG_INTERVAL.as_millis() - 1);
    let later = start + Duration::from_secs(60);
    let last = log.record(&upstream, false, later).unwrap();
    assert_eq!(logged + last.refused, REFUSALS + 1);
    assert_eq!(most_urgent + last.most_urgent, REFUSALS / 4);
}

/// The sums of databases that have gone must not take memory for ever.
#[test]
fn databases_that_have_gone_are_forgotten() {
    let mut log = RefusalLog::default();
    let now = Instant::now();
    log.record(&"db-1".parse().unwrap(), true, now);
    log.retain(|_| false);
    assert!(log.sums.is_empty());
}
