//! Confirmation of commits before they are acknowledged to callers.
//!
//! A primary with synchronous replication acknowledges a commit once any replicas have received it,
//! including replicas that control has not heard of. An election counts only the databases that the
//! view lists. So a commit is acknowledged to its caller only once enough replicas that the view
//! lists have reported its position; each election then finds it on one of the databases it stops.

use crate::{
    DatabaseCall,
    DatabaseConnector,
    DatabaseVerb,
    counters,
    engine::EngineShared,
    pool::ConnectionRequest,
    relay::HolderLink,
    route::{
        Route,
        current_primary, //
    },
    urgency::{
        QueueRule,
        Urgency, //
    },
    values::SessionValues, //
};
use daisyseam_member::HeldView;
use daisyseam_model::{
    FleetView,
    GroupId,
    LogPosition,
    UpstreamId,
    UpstreamView,
    document::CommitPolicy, //
};
use futures_util::{
    StreamExt,
    stream::FuturesUnordered, //
};
use parking_lot::Mutex;
use smallvec::SmallVec;
use std::{
    collections::HashMap,
    time::Duration, //
};
use tokio::time::Instant;

/// Time for which replies to other calls may report the end of a log before the database is queried
/// for it.
const QUIET_TIME: Duration = Duration::from_millis(25);

/// Time after which the next replica is asked as well.
const HEDGE_DELAY: Duration = Duration::from_millis(60);

/// Longest time for which one replica is asked before the replicas are chosen anew.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest time for which a database is queried for the end of its log.
const QUERY_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which commits that were not confirmed are counted before they are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Limits the log lines about commits that were not confirmed.
#[derive(Debug, Default)]
pub(crate) struct UnconfirmedLog {
    /// Commits that have not been logged, and since when they are counted.
    counts: Mutex<HashMap<GroupId, (u64, Instant)>>,
}

impl UnconfirmedLog {
    /// Counts a commit; returns the number to log if a line is due. The first one after a quiet time
    /// is logged at once.
    fn record(&self, group: &GroupId, now: Instant) -> Option<u64> {
        let mut counts = self.counts.lock();
        let Some((count, since)) = counts.get_mut(group) else {
            counts.insert(group.clone(), (0, now));
            return Some(1);
        };
        *count += 1;
        if now < *since + LOG_INTERVAL {
            return None;
        }
        let due = std::mem::take(count);
        *since = now;
        Some(due)
    }

    /// Forgets the groups that are no longer in the view.
    pub(crate) fn retain(&self, is_known: impl Fn(&GroupId) -> bool) {
        self.counts.lock().retain(|group, _| is_known(group));
    }
}

/// The commit of a write that a primary has acknowledged.
#[derive(Clone, Copy, Debug)]
struct CommitMark<'a> {
    group: &'a GroupId,
    primary: &'a UpstreamId,
    position: LogPosition,
}

impl<D: DatabaseConnector, G> EngineShared<D, G> {
    /// Waits until a commit may be acknowledged; returns whether it may by `until`.
    ///
    /// Enough replicas must have it, and no other database can have been primary when it ran.
    pub(crate) async fn confirm_commit(
        &self,
        route: &Route,
        position: Option<LogPosition>,
        until: Instant,
    ) -> bool {
        let confirmed = tokio::select! {
            biased;
            confirmed = self.confirm_copies(route, position, until) => confirmed,
            () = self.superseded(route) => false,
        };
        let confirmed = confirmed && self.confirm_primary(route, until).await;
        self.settings.metrics.count(match confirmed {
            true => counters::COMMIT_CONFIRMED,
            false => counters::COMMIT_UNCONFIRMED,
        });
        confirmed
    }

    /// Waits until enough replicas that the view lists have a commit.
    async fn confirm_copies(
        &self,
        route: &Route,
        position: Option<LogPosition>,
        until: Instant,
    ) -> bool {
        if needed_replicas(&self.settings.cell.held().view, &route.group) == 0 {
            return true;
        }
        let Some(position) = position else {
            return false;
        };
        let mark = CommitMark {
            group: &route.group,
            primary: &route.upstream,
            position,
        };
        let timer = &self.settings.timer;
        let copied = async {
            tokio::select! {
                biased;
                () = self.copied(mark) => {}
                () = self.ask_repeatedly(mark) => {}
            }
        };
        if timer.within(until, copied).await.is_some() {
            return true;
        }
        if let Some(count) = self.unconfirmed.record(&route.group, Instant::now()) {
            log::warn!(
                "group {}: {count} commits of {} were not found on enough listed replicas, the last \
                 at {position}",
                route.group,
                route.upstream
            );
        }
        false
    }

    /// Returns once enough replicas that the view lists are known to have a commit.
    async fn copied(&self, mark: CommitMark<'_>) {
        let mut ends = self.log_ends.subscribe();
        let mut views = self.settings.cell.subscribe();
        while !self.is_copied(&self.settings.cell.held().view, mark) {
            // Both senders live as long as the engine.
            tokio::select! {
                _ = ends.changed() => {}
                _ = views.changed() => {}
            }
        }
    }

    fn is_copied(&self, view: &FleetView, mark: CommitMark<'_>) -> bool {
        let has_commit = |(name, upstream_view): &(&UpstreamId, &UpstreamView)| {
            self.log_ends.reaches(name, upstream_view, mark.position)
        };
        let copies = replicas(view, mark).filter(has_commit).count();
        copies >= needed_replicas(view, mark.group)
    }

    /// Asks the replicas for the ends of their logs, again and again.
    async fn ask_repeatedly(&self, mark: CommitMark<'_>) {
        loop {
            let held = self.settings.cell.held();
            let now = Instant::now();
            self.ask_replicas(&held, mark, now + ASK_TIMEOUT).await;
            // Asking may have failed at once.
            self.settings.timer.at(now + QUIET_TIME).await;
        }
    }

    /// Asks the replicas, the nearest one first and the others after a delay.
    async fn ask_replicas(&self, held: &HeldView, mark: CommitMark<'_>, until: Instant) {
        let view = &held.view;
        let replicas = replicas(view, mark);
        let mut replicas: SmallVec<[_; 4]> = replicas
            .filter(|(_, upstream_view)| view.in_service(&upstream_view.data_centre))
            .collect();
        let router = self.router();
        replicas.sort_by_key(|(name, upstream_view)| {
            let avoided = self.health.is_avoided(name, view.number);
            (avoided, router.distance(view, &upstream_view.data_centre))
        });
        let mut ask_at = Instant::now();
        let mut asks = FuturesUnordered::new();
        for replica in replicas {
            let start_at = ask_at;
            asks.push(async move {
                self.settings.timer.at(start_at).await;
                self.ask_replica(view, replica, mark.position, until).await;
            });
            ask_at += HEDGE_DELAY;
        }
        while asks.next().await.is_some() {}
    }

    /// Asks for the end of a replica's log where its connections are held.
    async fn ask_replica(
        &self,
        view: &FleetView,
        (name, upstream_view): (&UpstreamId, &UpstreamView),
        position: LogPosition,
        until: Instant,
    ) {
        let holders = self.pool.holders(view, name, upstream_view);
        let values = SessionValues::default();
        let link = match &self.relays {
            Some(relays) if !holders.is_empty() => {
                let request = self.query_request(view, name, &values, until);
                let own = &self.settings.instance;
                relays.link(request, &holders, own).await
            }
            Some(_) | None => Ok(HolderLink::Own),
        };
        match link {
            Ok(HolderLink::Relayed(mut link)) => {
                let timer = &self.settings.timer;
                let born_ms = upstream_view.born_ms;
                // A wait without a result is repeated.
                if let Ok(Some(end)) = link.await_end(timer, born_ms, position, until).await {
                    self.log_ends.record(name, born_ms, end);
                }
            }
            Ok(HolderLink::Own) => {
                self.await_end(view, (name, upstream_view), position, until)
                    .await;
            }
            Err(_) => {}
        }
    }

    /// Waits until a database has reported a position, and queries it if nothing else makes it
    /// report.
    pub(crate) async fn await_end(
        &self,
        view: &FleetView,
        (name, upstream_view): (&UpstreamId, &UpstreamView),
        position: LogPosition,
        until: Instant,
    ) {
        let timer = &self.settings.timer;
        loop {
            let reported = self.reported(name, upstream_view, position);
            let quiet_until = (Instant::now() + QUIET_TIME).min(until);
            if timer.within(quiet_until, reported).await.is_some() || Instant::now() >= until {
                return;
            }
            if let Some(guard) = self.log_ends.start_query(name, upstream_view.born_ms) {
                self.query_end(view, (name, upstream_view), until).await;
                drop(guard);
            }
        }
    }

    async fn reported(
        &self,
        name: &UpstreamId,
        upstream_view: &UpstreamView,
        position: LogPosition,
    ) {
        let mut ends = self.log_ends.subscribe();
        while !self.log_ends.reaches(name, upstream_view, position) {
            // The sender lives as long as the engine.
            let _ = ends.changed().await;
        }
    }

    /// Queries a database for the end of its log over a connection of this instance.
    async fn query_end(
        &self,
        view: &FleetView,
        (name, upstream_view): (&UpstreamId, &UpstreamView),
        until: Instant,
    ) {
        let until = until.min(Instant::now() + QUERY_TIMEOUT);
        let values = SessionValues::default();
        let request = self.query_request(view, name, &values, until);
        let Ok(mut connection) = self.pool.acquire(request).await else {
            return;
        };
        self.settings.metrics.count(counters::LOG_END_QUERIED);
        let call = DatabaseCall {
            id: None,
            at_least: None,
            verb: DatabaseVerb::Status,
        };
        let reply = connection.call(&self.settings.timer, call, until).await;
        if let Ok(reply) = reply {
            connection.release();
            if let Some(end) = reply.position {
                self.log_ends.record(name, upstream_view.born_ms, end);
            }
        }
    }

    fn query_request<'a>(
        &self,
        view: &'a FleetView,
        upstream: &'a UpstreamId,
        values: &'a SessionValues,
        until: Instant,
    ) -> ConnectionRequest<'a> {
        ConnectionRequest {
            view,
            upstream,
            organisation: None,
            values,
            wait_until: until,
            connect_until: until,
            urgency: Urgency::HIGHEST,
            rule: QueueRule::Turns,
            target: until,
        }
    }

    /// Returns once the primary of a route no longer leads its term.
    async fn superseded(&self, route: &Route) {
        let mut views = self.settings.cell.subscribe();
        let leads = || {
            let view = &self.settings.cell.held().view;
            let term = view.groups.get(&route.group).map(|group| group.term);
            let primary = current_primary(view, &route.group);
            route.term.is_none_or(|expected| term == Some(expected))
                && primary == Some(&route.upstream)
        };
        while leads() {
            // The cell owns the sender.
            let _ = views.changed().await;
        }
    }
}

/// Returns how many replicas must have a commit before it is acknowledged.
fn needed_replicas(view: &FleetView, group: &GroupId) -> usize {
    let document = view.document.as_ref();
    let entry = document.and_then(|document| document.groups.get(group));
    match entry.map(|entry| entry.commit) {
        Some(CommitPolicy::Replicas(replicas)) => replicas,
        Some(CommitPolicy::Majority) | None => 0,
    }
}

/// Iterates over the replicas whose copies of a commit count. The log of one that leaves goes with
/// it.
fn replicas<'a>(
    view: &'a FleetView,
    mark: CommitMark<'a>,
) -> impl Iterator<Item = (&'a UpstreamId, &'a UpstreamView)> {
    let members = view.members(mark.group);
    members.filter(move |(name, upstream_view)| *name != mark.primary && !upstream_view.leaving)
}
