//! Tests of the explanation of a choice.

use super::{
    ElectionBasis,
    EndReport, //
};
use crate::Moment;
use daisyseam_model::{
    LogPosition,
    Position,
    Term, //
};

fn report(position: u64, stopped: bool) -> EndReport {
    EndReport {
        end: LogPosition {
            term: Term(2),
            position: Position(position),
        },
        at: Moment::ORIGIN,
        born_ms: 1,
        stopped,
    }
}

#[test]
fn a_choice_names_the_databases_that_it_counted() {
    let ends = vec![
        ("a".parse().unwrap(), report(0x20, true)),
        ("b".parse().unwrap(), report(0x1f, false)),
    ];
    let basis = ElectionBasis {
        former_end: None,
        ends,
        quorum: 2,
        voters: 3,
        listed: 4,
    };
    assert_eq!(
        basis.to_string(),
        "2 stopped databases were needed; 3 voters of 4 listed; \
         a stopped at 2:0/20; b running at 2:0/1F"
    );
}
