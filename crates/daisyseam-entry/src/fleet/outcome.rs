//! Determines the outcome of a transaction whose link broke around its commit.

use super::broker::FleetBroker;
use crate::{
    DatabaseLink,
    LinkBroker,
    OpenLinkRequest,
    StatementAccess,
    TransactionOutcome, //
};
use daisyseam_coord::outcome::{
    CommitOutcome,
    InDoubtCommit,
    StatusAnswer,
    XactStatus, //
};
use daisyseam_model::{
    GroupId,
    LogPosition,
    Position,
    Term, //
};
use daisyseam_runtime::TraceContext;
use pgwire::messages::{
    PgWireBackendMessage,
    PgWireFrontendMessage,
    simplequery::Query, //
};
use std::str;
use tokio::time::Instant;

impl FleetBroker {
    /// Queries the current primary until the outcome is known or the deadline passes.
    pub(super) async fn find_outcome(
        &self,
        group: &GroupId,
        term: Term,
        xid: u64,
        deadline: Instant,
    ) -> TransactionOutcome {
        let commit = InDoubtCommit {
            term,
            xid: Some(xid),
            commit_sent: true,
        };
        loop {
            let queried = self.query_transaction_status(group, xid, deadline).await;
            let answer = match queried {
                Some(answer) => answer,
                None if self.wait_before_retry(deadline).await => continue,
                None => return TransactionOutcome::Unknown,
            };
            match commit.resolve(&answer) {
                CommitOutcome::Aborted => return TransactionOutcome::Aborted,
                CommitOutcome::Unknown => return TransactionOutcome::Unknown,
                CommitOutcome::Undecided => {}
                CommitOutcome::Committed(at) => {
                    if self.confirm_commit(group, at, deadline).await.is_ok() {
                        return TransactionOutcome::Committed(at);
                    }
                }
            }
            if !self.wait_before_retry(deadline).await {
                return TransactionOutcome::Unknown;
            }
        }
    }

    /// Returns the status of the transaction on the current primary.
    async fn query_transaction_status(
        &self,
        group: &GroupId,
        xid: u64,
        deadline: Instant,
    ) -> Option<StatusAnswer> {
        let order = OpenLinkRequest {
            group,
            organisation: None,
            access: StatementAccess::Write,
            deadline,
            trace: TraceContext::start(false),
        };
        let mut opened = self.open(order).await.ok()?;
        let timer = &self.settings().timer;
        let query = query_status(&mut opened.link, xid);
        let (status, position) = timer.within(deadline, query).await??;
        opened.link.release();
        Some(StatusAnswer {
            term: opened.term,
            status,
            // Nobody reads the first identifier before the first write of a term, so an identifier
            // that a later primary reports as committed may belong to another transaction.
            first_xid: None,
            position: LogPosition {
                term: opened.term,
                position,
            },
        })
    }
}

/// Queries the status over a link; returns nothing if the link breaks.
async fn query_status<L: DatabaseLink>(link: &mut L, xid: u64) -> Option<(XactStatus, Position)> {
    let status = format!("SELECT pg_xact_status('{xid}')");
    let status = query_text(link, status).await?;
    let status = match status.as_deref() {
        Ok("committed") => XactStatus::Committed,
        Ok("aborted") => XactStatus::Aborted,
        Ok("in progress") => XactStatus::InProgress,
        // The database reports an error for an identifier that it has not assigned yet.
        Ok(_) | Err(()) => XactStatus::Future,
    };
    if status != XactStatus::Committed {
        return Some((status, Position::default()));
    }
    let position = query_text(link, "SELECT pg_current_wal_lsn()".to_owned()).await?;
    let position = position.ok().and_then(|text| Position::parse(&text))?;
    Some((status, position))
}

/// Runs a query and returns the text of its single value, or `Err(())` if the query failed.
async fn query_text<L: DatabaseLink>(link: &mut L, query: String) -> Option<Result<String, ()>> {
    let message = PgWireFrontendMessage::Query(Query::new(query));
    link.send(message).await.ok()?;
    link.flush().await.ok()?;
    let mut text = Ok(String::new());
    loop {
        match link.receive().await.ok()? {
            PgWireBackendMessage::DataRow(row) => text = Ok(first_value(&row.data)),
            PgWireBackendMessage::ErrorResponse(_) => text = Err(()),
            PgWireBackendMessage::ReadyForQuery(_) => return Some(text),
            _ => {}
        }
    }
}

/// Returns the first value of a row as text; empty if it is NULL.
fn first_value(row: &[u8]) -> String {
    let Some((length, rest)) = row.split_first_chunk::<4>() else {
        return String::new();
    };
    let length = usize::try_from(i32::from_be_bytes(*length)).unwrap_or(0);
    let value = rest.get(..length).unwrap_or_default();
    str::from_utf8(value).unwrap_or_default().to_owned()
}
