//! In-doubt commits are never resolved wrongly, checked against a model of primaries that assign
//! transaction identifiers.

use daisyseam_coord::outcome::{
    CommitOutcome,
    InDoubtCommit,
    StatusAnswer,
    XactStatus, //
};
use daisyseam_model::{
    LogPosition,
    Term, //
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use test_case::test_case;

fn commit(commit_sent: bool, xid: Option<u64>) -> InDoubtCommit {
    InDoubtCommit {
        term: Term(3),
        xid,
        commit_sent,
    }
}

fn answer(term: u64, status: XactStatus, first_xid: Option<u64>) -> StatusAnswer {
    StatusAnswer {
        term: Term(term),
        status,
        first_xid,
        position: LogPosition::default(),
    }
}

#[test_case(false, Some(7) => Some(CommitOutcome::Aborted); "never sent")]
#[test_case(true, None => Some(CommitOutcome::Aborted); "wrote nothing")]
#[test_case(true, Some(7) => None; "needs a query")]
fn outcomes_known_without_a_query(sent: bool, xid: Option<u64>) -> Option<CommitOutcome> {
    commit(sent, xid).known_outcome()
}

#[test_case(2, XactStatus::Committed, None => CommitOutcome::Undecided; "a former primary")]
#[test_case(3, XactStatus::InProgress, None => CommitOutcome::Undecided; "still running")]
#[test_case(3, XactStatus::Future, None => CommitOutcome::Unknown; "identifier unknown in its own term")]
#[test_case(4, XactStatus::Committed, None => CommitOutcome::Unknown; "possibly reassigned")]
#[test_case(4, XactStatus::Future, None => CommitOutcome::Aborted; "not in the history")]
#[test_case(4, XactStatus::Forgotten, Some(9) => CommitOutcome::Unknown; "too old")]
#[test_case(4, XactStatus::Committed, Some(7) => CommitOutcome::Aborted; "reassigned")]
fn outcome_of_a_response(term: u64, status: XactStatus, first: Option<u64>) -> CommitOutcome {
    commit(true, Some(7)).resolve(&answer(term, status, first))
}

/// Model of a primary: assigned identifiers and whether each transaction committed.
#[derive(Clone, Default)]
struct History {
    outcomes: BTreeMap<u64, bool>,
    next: u64,
}

impl History {
    fn run(&mut self, committed: bool) -> u64 {
        let xid = self.next;
        self.next += 1;
        self.outcomes.insert(xid, committed);
        xid
    }

    fn status(&self, xid: u64) -> XactStatus {
        match self.outcomes.get(&xid) {
            Some(true) => XactStatus::Committed,
            Some(false) => XactStatus::Aborted,
            None => XactStatus::Future,
        }
    }
}

proptest! {
    /// A new primary takes over a prefix of the history and continues with other transactions.
    #[test]
    fn a_later_primary_is_never_taken_at_the_wrong_word(
        before in prop::collection::vec(any::<bool>(), 0..10),
        outcome in any::<bool>(),
        lost in 0_usize..12,
        after in prop::collection::vec(any::<bool>(), 0..12),
        first_known in any::<bool>(),
    ) {
        let mut old = History::default();
        for committed in before {
            old.run(committed);
        }
        let xid = old.run(outcome);
        // The new primary is missing the last `lost` transactions.
        let kept = old.outcomes.len().saturating_sub(lost);
        let mut new = History { next: kept as u64, ..History::default() };
        new.outcomes = old.outcomes.iter().take(kept).map(|(xid, outcome)| (*xid, *outcome)).collect();
        let first = new.next;
        let truth = new.outcomes.get(&xid).copied().unwrap_or(false);
        for committed in after {
            new.run(committed);
        }
        let answer = answer(4, new.status(xid), first_known.then_some(first));
        match commit(true, Some(xid)).resolve(&answer) {
            CommitOutcome::Committed(_) => prop_assert!(truth),
            CommitOutcome::Aborted => prop_assert!(!truth),
            CommitOutcome::Unknown => prop_assert!(!first_known),
            CommitOutcome::Undecided => prop_assert!(false, "nothing is running"),
        }
    }
}
