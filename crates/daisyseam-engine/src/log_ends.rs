//! Ends of the logs of databases, as their replies report them.

use daisyseam_model::{
    LogPosition,
    UpstreamId,
    UpstreamView, //
};
use parking_lot::Mutex;
use std::{
    collections::HashMap,
    time::Duration, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};

/// Least time between two queries of a database.
const QUERY_INTERVAL: Duration = Duration::from_millis(20);

/// The highest position that each database has reported.
#[derive(Debug)]
pub(crate) struct LogEnds {
    ends: Mutex<HashMap<UpstreamId, ReportedEnd>>,
    changes: watch::Sender<()>,
}

#[derive(Clone, Copy, Debug)]
struct ReportedEnd {
    /// Start time of the process that reported it.
    born_ms: u64,
    end: LogPosition,
    query: QueryState,
}

/// Whether a database is asked for the end of its log.
#[derive(Clone, Copy, Debug)]
enum QueryState {
    /// A query is in progress.
    Running,
    /// The next query may start at this time.
    NextAt(Instant),
}

/// Keeps others from querying a database until some time after it is dropped.
pub(crate) struct QueryGuard<'a> {
    ends: &'a LogEnds,
    upstream: &'a UpstreamId,
}

impl Default for LogEnds {
    fn default() -> Self {
        Self {
            ends: Mutex::default(),
            changes: watch::Sender::new(()),
        }
    }
}

impl LogEnds {
    /// Records the end that a process of a database has reported.
    pub(crate) fn record(&self, upstream: &UpstreamId, born_ms: u64, end: LogPosition) {
        let mut ends = self.ends.lock();
        match ends.get_mut(upstream) {
            Some(known) if known.born_ms == born_ms && known.end >= end => return,
            Some(known) if known.born_ms > born_ms => return,
            Some(known) => (known.born_ms, known.end) = (born_ms, end),
            None => {
                let reported = ReportedEnd {
                    born_ms,
                    end,
                    query: QueryState::NextAt(Instant::now()),
                };
                ends.insert(upstream.clone(), reported);
            }
        }
        drop(ends);
        self.notify();
    }

    /// Returns whether the listed process of a database has reported a position at or after one of
    /// the same term. Positions of different terms say nothing about each other.
    pub(crate) fn reaches(
        &self,
        upstream: &UpstreamId,
        upstream_view: &UpstreamView,
        position: LogPosition,
    ) -> bool {
        let ends = self.ends.lock();
        ends.get(upstream).is_some_and(|known| {
            known.born_ms == upstream_view.born_ms
                && known.end.term == position.term
                && known.end >= position
        })
    }

    /// Returns the highest end that a process of a database has reported.
    pub(crate) fn highest(&self, upstream: &UpstreamId, born_ms: u64) -> Option<LogPosition> {
        let ends = self.ends.lock();
        let known = ends.get(upstream)?;
        (known.born_ms == born_ms).then_some(known.end)
    }

    /// Starts a query for the end of a log; `None` if one is in progress or has just ended.
    pub(crate) fn start_query<'a>(
        &'a self,
        upstream: &'a UpstreamId,
        born_ms: u64,
    ) -> Option<QueryGuard<'a>> {
        let now = Instant::now();
        let mut ends = self.ends.lock();
        let reported = ends.entry(upstream.clone()).or_insert(ReportedEnd {
            born_ms,
            end: LogPosition::default(),
            query: QueryState::NextAt(now),
        });
        match reported.query {
            QueryState::NextAt(next_at) if next_at <= now => {}
            QueryState::NextAt(_) | QueryState::Running => return None,
        }
        reported.query = QueryState::Running;
        Some(QueryGuard {
            ends: self,
            upstream,
        })
    }

    /// Returns a receiver that is notified of each higher end.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Forgets the databases that are no longer in the view.
    pub(crate) fn retain(&self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.ends.lock().retain(|upstream, _| is_known(upstream));
    }

    fn notify(&self) {
        if self.changes.receiver_count() > 0 {
            self.changes.send_replace(());
        }
    }
}

impl Drop for QueryGuard<'_> {
    fn drop(&mut self) {
        if let Some(reported) = self.ends.ends.lock().get_mut(self.upstream) {
            reported.query = QueryState::NextAt(Instant::now() + QUERY_INTERVAL);
        }
    }
}
