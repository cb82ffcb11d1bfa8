//! The table from error kind to answer, and the handbook's copy of it.

use daisyseam_model::{
    ErrorKind,
    Execution, //
};
use std::collections::BTreeSet;

const HANDBOOK: &str = include_str!("../../../docs/OPERATORS.md");

#[test]
fn every_kind_stands_once_in_the_list() {
    let kinds: BTreeSet<_> = ErrorKind::ALL.into_iter().collect();
    assert_eq!(kinds.len(), ErrorKind::ALL.len());
    let labels: BTreeSet<_> = ErrorKind::ALL.iter().map(|kind| kind.row().label).collect();
    assert_eq!(labels.len(), ErrorKind::ALL.len());
}

#[test]
fn what_may_have_run_is_never_offered_for_a_retry() {
    for kind in ErrorKind::ALL {
        let row = kind.row();
        assert!(
            row.execution == Execution::NotRun || !row.may_retry,
            "{kind:?}"
        );
        assert_eq!(row.sqlstate.len(), 5, "{kind:?}");
    }
}

#[test]
fn the_handbook_has_a_row_for_every_kind_and_it_says_the_same() {
    for kind in ErrorKind::ALL {
        let row = kind.row();
        let ran = match row.execution {
            Execution::NotRun => "not run",
            Execution::Unknown => "unknown",
            Execution::Ran => "ran",
        };
        let repeat: &[&str] = if row.may_retry {
            &["yes", "later"]
        } else {
            &["no"]
        };
        let found = repeat.iter().any(|repeat| {
            HANDBOOK.contains(&format!(
                "| `{}` | {} | {ran} | {repeat} |",
                row.label, row.sqlstate
            ))
        });
        assert!(found, "{kind:?} is missing or differs");
    }
}
