//! Resolution of in-doubt commits, whose response was lost.
//!
//! A new primary reassigns a transaction identifier if the history that it took over ends before
//! it. So the status reported by a primary of a later term is valid only for identifiers below the
//! first one that this primary assigned. At or above it, the transaction is not part of the
//! continuing history.

use daisyseam_model::{
    LogPosition,
    Term, //
};

/// A commit whose response was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InDoubtCommit {
    /// Term in which the transaction ran.
    pub term: Term,
    /// Transaction identifier, as returned by `pg_current_xact_id_if_assigned()`; `None` if the
    /// transaction wrote nothing.
    pub xid: Option<u64>,
    /// Whether any byte of the commit may have been sent.
    pub commit_sent: bool,
}

/// Status of a transaction identifier, as reported by `pg_xact_status`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum XactStatus {
    /// Committed.
    Committed,
    /// Rolled back.
    Aborted,
    /// Still running.
    InProgress,
    /// The identifier has not been assigned yet.
    Future,
    /// The transaction is so old that its status is no longer kept.
    Forgotten,
}

/// Response of the current primary of the group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StatusAnswer {
    /// Term of the primary.
    pub term: Term,
    /// Status that it reported.
    pub status: XactStatus,
    /// First identifier that the primary assigned in its term, if known.
    pub first_xid: Option<u64>,
    /// Log position of the primary at the time of the response.
    pub position: LogPosition,
}

/// Outcome of a commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The transaction committed at or before this position. The position must be confirmed by a
    /// majority before the commit is acknowledged.
    Committed(LogPosition),
    /// The transaction did not commit and never will.
    Aborted,
    /// The outcome is not decided yet; query again.
    Undecided,
    /// The outcome cannot be determined.
    Unknown,
}

impl InDoubtCommit {
    /// Returns the outcome if it is known without a query.
    pub fn known_outcome(&self) -> Option<CommitOutcome> {
        // Without a commit the database rolls back; without an identifier nothing was written.
        let not_committed = !self.commit_sent || self.xid.is_none();
        not_committed.then_some(CommitOutcome::Aborted)
    }

    /// Determines the outcome from the response of the current primary; whatever the response does
    /// not prove is [`CommitOutcome::Unknown`] or [`CommitOutcome::Undecided`].
    ///
    /// # Examples
    ///
    /// ```
    /// use daisyseam_coord::outcome::{CommitOutcome, InDoubtCommit, StatusAnswer, XactStatus};
    /// use daisyseam_model::{LogPosition, Term};
    ///
    /// let commit = InDoubtCommit { term: Term(3), xid: Some(700), commit_sent: true };
    /// let mut answer = StatusAnswer {
    ///     term: Term(4),
    ///     status: XactStatus::Committed,
    ///     first_xid: Some(650),
    ///     position: LogPosition::default(),
    /// };
    /// // Identifier 700 was reassigned in term 4; this commit is not part of the history.
    /// assert_eq!(commit.resolve(&answer), CommitOutcome::Aborted);
    /// answer.first_xid = Some(701);
    /// assert_eq!(commit.resolve(&answer), CommitOutcome::Committed(answer.position));
    /// ```
    pub fn resolve(&self, answer: &StatusAnswer) -> CommitOutcome {
        if let Some(outcome) = self.known_outcome() {
            return outcome;
        }
        if answer.term < self.term {
            // A former primary does not know the current history.
            return CommitOutcome::Undecided;
        }
        if answer.term == self.term {
            return same_term_status(answer);
        }
        match (self.xid, answer.first_xid) {
            (Some(xid), Some(first)) if xid >= first => CommitOutcome::Aborted,
            (_, Some(_)) => inherited_status(answer),
            (_, None) => possibly_reassigned_status(answer),
        }
    }
}

/// Interprets the response of the primary that ran the transaction.
fn same_term_status(answer: &StatusAnswer) -> CommitOutcome {
    match answer.status {
        XactStatus::Committed => CommitOutcome::Committed(answer.position),
        XactStatus::Aborted => CommitOutcome::Aborted,
        XactStatus::InProgress => CommitOutcome::Undecided,
        XactStatus::Future | XactStatus::Forgotten => CommitOutcome::Unknown,
    }
}

/// Interprets the response of a later primary for an identifier in the history it took over.
fn inherited_status(answer: &StatusAnswer) -> CommitOutcome {
    match answer.status {
        XactStatus::Committed => CommitOutcome::Committed(answer.position),
        // A transaction that was running at the takeover can no longer commit.
        XactStatus::Aborted | XactStatus::InProgress => CommitOutcome::Aborted,
        XactStatus::Future | XactStatus::Forgotten => CommitOutcome::Unknown,
    }
}

/// Interprets the response of a later primary for an identifier that it may have reassigned.
fn possibly_reassigned_status(answer: &StatusAnswer) -> CommitOutcome {
    match answer.status {
        // If the status is of this transaction, it was rolled back; if it is of another one with the
        // same identifier, this one is not in the history.
        XactStatus::Aborted | XactStatus::Future => CommitOutcome::Aborted,
        // The status may be that of another transaction with the same identifier.
        XactStatus::Committed | XactStatus::InProgress | XactStatus::Forgotten => {
            CommitOutcome::Unknown
        }
    }
}
