//! What became of a transaction whose link broke around its commit.

use super::broker::FleetBroker;
use crate::{
    DatabaseLink,
    LinkBroker,
    LinkOrder,
    StatementAccess,
    TransactionFate, //
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

/// What a database says of a transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReportedStatus {
    /// It is committed; the log reaches to here.
    Committed(Position),
    /// It was rolled back.
    Aborted,
    /// It is still running.
    InProgress,
    /// The database knows no such transaction.
    NotKnown,
}

impl FleetBroker {
    /// Asks the present primary until it knows, or the deadline passes.
    pub(super) async fn find_fate(
        &self,
        group: &GroupId,
        term: Term,
        xid: u64,
        deadline: Instant,
    ) -> TransactionFate {
        loop {
            let asked = self.ask_status(group, xid, deadline).await;
            let (now, status) = match asked {
                Some(asked) => asked,
                None if self.pause(deadline).await => continue,
                None => return TransactionFate::Unknown,
            };
            match status {
                ReportedStatus::Aborted => return TransactionFate::Aborted,
                // The lineage went on without it: no later primary can bring it back.
                ReportedStatus::NotKnown if now > term => return TransactionFate::Aborted,
                ReportedStatus::NotKnown => return TransactionFate::Unknown,
                ReportedStatus::InProgress => {}
                ReportedStatus::Committed(position) => {
                    let at = LogPosition {
                        term: now,
                        position,
                    };
                    if self.confirm_commit(group, at, deadline).await.is_ok() {
                        return TransactionFate::Committed(at);
                    }
                }
            }
            if !self.pause(deadline).await {
                return TransactionFate::Unknown;
            }
        }
    }

    /// Returns the term of the primary that answered, and its answer.
    async fn ask_status(
        &self,
        group: &GroupId,
        xid: u64,
        deadline: Instant,
    ) -> Option<(Term, ReportedStatus)> {
        let order = LinkOrder {
            group,
            organisation: None,
            access: StatementAccess::Write,
            deadline,
            trace: TraceContext::start(false),
        };
        let mut opened = self.open(order).await.ok()?;
        let timer = &self.settings().timer;
        let asked = query_status(&mut opened.link, xid);
        let status = timer.within(deadline, asked).await??;
        opened.link.release();
        Some((opened.term, status))
    }
}

/// Asks over a link; returns nothing when the link breaks.
async fn query_status<L: DatabaseLink>(link: &mut L, xid: u64) -> Option<ReportedStatus> {
    let status = format!("SELECT pg_xact_status('{xid}')");
    let status = query_text(link, status).await?;
    let status = match status.as_deref() {
        Ok("committed") => ReportedStatus::Committed(Position::default()),
        Ok("aborted") => ReportedStatus::Aborted,
        Ok("in progress") => ReportedStatus::InProgress,
        // An identifier that the database has not given out yet is an error there.
        Ok(_) | Err(()) => ReportedStatus::NotKnown,
    };
    if status != ReportedStatus::Committed(Position::default()) {
        return Some(status);
    }
    let position = query_text(link, "SELECT pg_current_wal_lsn()".to_owned()).await?;
    let position = position.ok().and_then(|text| Position::parse(&text))?;
    Some(ReportedStatus::Committed(position))
}

/// Runs a query and returns the text of its one value, or that it was refused.
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

/// Returns the first value of a row as text; empty when it is NULL.
fn first_value(row: &[u8]) -> String {
    let Some((length, rest)) = row.split_first_chunk::<4>() else {
        return String::new();
    };
    let length = usize::try_from(i32::from_be_bytes(*length)).unwrap_or(0);
    let value = rest.get(..length).unwrap_or_default();
    str::from_utf8(value).unwrap_or_default().to_owned()
}
