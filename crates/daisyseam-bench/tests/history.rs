//! The check of histories finds each kind of broken promise.

use daisyseam_bench::load::{
    HistoryFinding,
    LoadHistory,
    ReadRecord,
    WriteOutcome,
    WriteRecord, //
};
use std::collections::BTreeMap;
use test_case::test_case;
use tokio::time::Instant;

fn write(id: &str, outcome: WriteOutcome) -> WriteRecord {
    let now = Instant::now();
    WriteRecord {
        service: "bookings".to_owned(),
        id: id.to_owned(),
        organisation: "o".to_owned(),
        sent: now,
        answered: now,
        outcome,
    }
}

#[test_case(WriteOutcome::Acknowledged, 1, [0, 0, 0]; "kept")]
#[test_case(WriteOutcome::Acknowledged, 0, [1, 0, 0]; "lost")]
#[test_case(WriteOutcome::Acknowledged, 2, [0, 1, 0]; "twice")]
#[test_case(WriteOutcome::NotRun(String::new()), 0, [0, 0, 0]; "truly not run")]
#[test_case(WriteOutcome::NotRun(String::new()), 1, [0, 0, 1]; "falsely not run")]
#[test_case(WriteOutcome::Unknown(String::new()), 0, [0, 0, 0]; "unknown and gone")]
#[test_case(WriteOutcome::Unknown(String::new()), 1, [0, 0, 0]; "unknown and kept")]
#[test_case(WriteOutcome::Unknown(String::new()), 2, [0, 1, 0]; "unknown and twice")]
fn a_write_is_judged_by_what_is_held(outcome: WriteOutcome, held: usize, wanted: [u64; 3]) {
    let history = LoadHistory {
        writes: vec![write("a", outcome)],
        ..LoadHistory::default()
    };
    let ids = vec!["a".to_owned(); held];
    let finding = history.check(&BTreeMap::from([("bookings".to_owned(), ids)]));
    let found = [
        finding.lost_acknowledged,
        finding.ran_twice,
        finding.false_not_run,
    ];
    assert_eq!(found, wanted);
    assert_eq!(finding.violations(), wanted.iter().sum::<u64>());
}

#[test_case(Ok(3), 0; "its own write")]
#[test_case(Ok(4), 0; "more than it was told of")]
#[test_case(Ok(2), 1; "less")]
#[test_case(Err("57P03".to_owned()), 0; "a refusal")]
fn a_read_is_judged_by_what_the_session_wrote(seen: Result<i64, String>, stale: u64) {
    let now = Instant::now();
    let history = LoadHistory {
        reads: vec![ReadRecord {
            service: "bookings".to_owned(),
            organisation: "o".to_owned(),
            sent: now,
            answered: now,
            expected: 3,
            seen,
        }],
        ..LoadHistory::default()
    };
    let wanted = HistoryFinding {
        stale_reads: stale,
        ..HistoryFinding::default()
    };
    assert_eq!(history.check(&BTreeMap::new()), wanted);
}
