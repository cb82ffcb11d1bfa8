//! Resolution of commits whose answer was lost.
//!
//! A transaction identifier is given again by a new primary if the history that it took over ends
//! before it. So the word of a primary of a later term counts only where the identifier lies
//! below the first one that this primary gave out; at or past it, the transaction is not part of
//! the history that goes on.

use daisyseam_model::{
    LogPosition,
    Term, //
};

/// A commit whose answer was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LostCommit {
    /// Term in which it ran.
    pub term: Term,
    /// Its identifier, as `pg_current_xact_id_if_assigned()` gave it; none if it wrote nothing.
    pub xid: Option<u64>,
    /// Whether a byte of the commit may have left.
    pub commit_sent: bool,
}

/// What a database says of a transaction identifier, as `pg_xact_status` does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum XactStatus {
    /// Committed.
    Committed,
    /// Rolled back.
    Aborted,
    /// Still running.
    InProgress,
    /// The identifier has not been given out yet.
    Future,
    /// So old that nothing is kept of it.
    Forgotten,
}

/// What the present primary of the group answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StatusAnswer {
    /// Term of that primary.
    pub term: Term,
    /// What it says.
    pub status: XactStatus,
    /// First identifier that it gave out in its term, if that is known.
    pub first_xid: Option<u64>,
    /// Position that it had reached when it answered.
    pub position: LogPosition,
}

/// What became of a commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// It took effect, at this position at the latest; the position must be confirmed by a
    /// majority before it is acknowledged.
    Committed(LogPosition),
    /// It took no effect and never will.
    Aborted,
    /// It is not decided yet: ask again.
    Undecided,
    /// It cannot be known.
    Unknown,
}

impl LostCommit {
    /// Decides without asking, where that is possible.
    pub fn settled(&self) -> Option<CommitOutcome> {
        // Without a commit the database rolls back; without an identifier nothing was written.
        let harmless = !self.commit_sent || self.xid.is_none();
        harmless.then_some(CommitOutcome::Aborted)
    }

    /// Decides by the answer of the present primary; the default is that nothing is known.
    ///
    /// # Examples
    ///
    /// ```
    /// use daisyseam_coord::outcome::{CommitOutcome, LostCommit, StatusAnswer, XactStatus};
    /// use daisyseam_model::{LogPosition, Term};
    ///
    /// let commit = LostCommit { term: Term(3), xid: Some(700), commit_sent: true };
    /// let mut answer = StatusAnswer {
    ///     term: Term(4),
    ///     status: XactStatus::Committed,
    ///     first_xid: Some(650),
    ///     position: LogPosition::default(),
    /// };
    /// // Identifier 700 was given again in term 4; this commit is no part of the history.
    /// assert_eq!(commit.resolve(&answer), CommitOutcome::Aborted);
    /// answer.first_xid = Some(701);
    /// assert_eq!(commit.resolve(&answer), CommitOutcome::Committed(answer.position));
    /// ```
    pub fn resolve(&self, answer: &StatusAnswer) -> CommitOutcome {
        if let Some(outcome) = self.settled() {
            return outcome;
        }
        if answer.term < self.term {
            // A former primary knows nothing of what counts.
            return CommitOutcome::Undecided;
        }
        if answer.term == self.term {
            return same_term(answer);
        }
        match (self.xid, answer.first_xid) {
            (Some(xid), Some(first)) if xid >= first => CommitOutcome::Aborted,
            (_, Some(_)) => taken_over(answer),
            (_, None) => given_again_perhaps(answer),
        }
    }
}

/// The primary that ran the transaction answers.
fn same_term(answer: &StatusAnswer) -> CommitOutcome {
    match answer.status {
        XactStatus::Committed => CommitOutcome::Committed(answer.position),
        XactStatus::Aborted => CommitOutcome::Aborted,
        XactStatus::InProgress => CommitOutcome::Undecided,
        XactStatus::Future | XactStatus::Forgotten => CommitOutcome::Unknown,
    }
}

/// A later primary answers for an identifier of the history that it took over.
fn taken_over(answer: &StatusAnswer) -> CommitOutcome {
    match answer.status {
        XactStatus::Committed => CommitOutcome::Committed(answer.position),
        // What was running when the history was taken over can no longer commit.
        XactStatus::Aborted | XactStatus::InProgress => CommitOutcome::Aborted,
        XactStatus::Future | XactStatus::Forgotten => CommitOutcome::Unknown,
    }
}

/// A later primary answers for an identifier that it may have given out itself.
fn given_again_perhaps(answer: &StatusAnswer) -> CommitOutcome {
    match answer.status {
        // If it is this transaction, it is rolled back; if it is another, this one is not there.
        XactStatus::Aborted | XactStatus::Future => CommitOutcome::Aborted,
        // It may be another one that was given the same identifier.
        XactStatus::Committed | XactStatus::InProgress | XactStatus::Forgotten => {
            CommitOutcome::Unknown
        }
    }
}
