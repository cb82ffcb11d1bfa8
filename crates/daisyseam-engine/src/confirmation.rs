//! Confirmation of commits before they are acknowledged to callers.
//!
//! A primary with synchronous replication acknowledges a commit once any replicas have received it,
//! including replicas that control has not heard of. An election counts only the voters of the view:
//! databases that have caught up since they started. So a commit is acknowledged to its caller only
//! once as many voters as the document asks for, besides the primary, have reported its position; each
//! election then finds it on one of the databases it stops.

mod awaited;
mod unconfirmed_log;

pub(crate) use self::{
    awaited::AwaitedEnds,
    unconfirmed_log::UnconfirmedLog, //
};
use crate::{
    DatabaseCall,
    DatabaseConnector,
    DatabaseVerb,
    counters,
    engine::EngineShared,
    link::LinkError,
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
use daisyseam_member::RateGate;
use daisyseam_model::{
    FleetView,
    GroupId,
    LogPosition,
    UpstreamId,
    UpstreamView,
    document::CommitPolicy, //
};
use smallvec::SmallVec;
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::time::Instant;

/// Time for which replies to other calls may report the end of a log before the database is queried
/// for it, and between two requests that ask for it in vain.
const QUIET_TIME: Duration = Duration::from_millis(25);

/// Time after which the next replica is asked as well.
const HEDGE_DELAY: Duration = Duration::from_millis(60);

/// Longest time that one request may wait for the end of a log.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest time for which a database is queried for the end of its log.
const QUERY_TIMEOUT: Duration = Duration::from_millis(200);

/// The commit of a write that a primary has acknowledged.
#[derive(Clone, Copy, Debug)]
struct CommitMark<'a> {
    /// The route to the primary.
    route: &'a Route,
    position: LogPosition,
}

impl<D: DatabaseConnector, G: RateGate> EngineShared<D, G> {
    /// Waits until a commit may be acknowledged; returns whether it may by `until`.
    ///
    /// As many replicas as the document asks for must have it, and no other database can have been
    /// primary when it ran.
    pub(crate) async fn confirm_commit(
        &self,
        route: &Route,
        position: Option<LogPosition>,
        until: Instant,
    ) -> bool {
        let is_copied = tokio::select! {
            biased;
            is_copied = self.confirm_copies(route, position, until) => is_copied,
            () = self.superseded(route) => false,
        };
        let is_confirmed =
            is_copied && self.confirm_primary(route, until).await && self.is_same_process(route);
        self.settings.metrics.count(match is_confirmed {
            true => counters::COMMIT_CONFIRMED,
            false => counters::COMMIT_UNCONFIRMED,
        });
        is_confirmed
    }

    /// Waits until enough replicas that the view lists have a commit.
    async fn confirm_copies(
        &self,
        route: &Route,
        position: Option<LogPosition>,
        until: Instant,
    ) -> bool {
        let view = &self.settings.cell.held().view;
        if self.needed_replicas(view, route) == Some(0) && primary_counts(view, route) {
            return true;
        }
        let Some(position) = position else {
            return false;
        };
        let mark = CommitMark { route, position };
        let copied = async {
            tokio::select! {
                biased;
                () = self.copied(mark) => {}
                () = self.request_ends(mark, until) => {}
            }
        };
        if self.settings.timer.within(until, copied).await.is_some() {
            return true;
        }
        if let Some(count) = self.unconfirmed.record(&route.group, Instant::now()) {
            log::warn!(
                "group {}: commits of {} that were not found on enough listed replicas: {count}, \
                 the last at {position}",
                route.group,
                route.upstream
            );
        }
        false
    }

    /// Returns how many replicas must have a commit before it is acknowledged; `None` if the
    /// document does not say so any more.
    ///
    /// A commit that began under an earlier document needs no fewer than that one asks for.
    fn needed_replicas(&self, view: &FleetView, route: &Route) -> Option<usize> {
        let began_with = policy_replicas(&route.held.view, &route.group)?;
        let needed = policy_replicas(view, &route.group)?;
        Some(needed.max(began_with))
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
        let needed = self.needed_replicas(view, mark.route);
        needed.is_some_and(|needed| copies >= needed) && primary_counts(view, mark.route)
    }

    /// Requests the ends of the replicas' logs, of the nearest one first and of the others after a
    /// delay, and of those that are listed later.
    async fn request_ends(&self, mark: CommitMark<'_>, until: Instant) {
        let mut views = self.settings.cell.subscribe();
        let mut requested: SmallVec<[UpstreamId; 4]> = SmallVec::new();
        loop {
            let held = self.settings.cell.held();
            let Some(name) = self.next_replica(&held.view, mark, &requested) else {
                // The cell owns the sender.
                let _ = views.changed().await;
                continue;
            };
            let born_ms = held.view.upstreams[name].born_ms;
            self.request_end(name, born_ms, mark.position, until);
            requested.push(name.clone());
            self.settings.timer.at(Instant::now() + HEDGE_DELAY).await;
        }
    }

    /// Returns the nearest replica that has not been asked yet. Databases of an evacuated data centre
    /// are asked only where the other replicas are too few for any commit to be confirmed.
    fn next_replica<'v>(
        &self,
        view: &'v FleetView,
        mark: CommitMark<'v>,
        requested: &[UpstreamId],
    ) -> Option<&'v UpstreamId> {
        let router = self.router();
        let in_service = |upstream_view: &UpstreamView| view.in_service(&upstream_view.data_centre);
        let remaining = replicas(view, mark).filter(|(_, upstream_view)| in_service(upstream_view));
        let needed = self.needed_replicas(view, mark.route);
        let suffices = needed.is_some_and(|needed| remaining.count() >= needed);
        let candidates = replicas(view, mark).filter(|(name, upstream_view)| {
            !requested.contains(name) && (in_service(upstream_view) || !suffices)
        });
        let nearest = candidates.min_by_key(|(name, upstream_view)| {
            let is_avoided = self.health.is_avoided(name, view.number);
            (
                !in_service(upstream_view),
                is_avoided,
                router.distance(view, &upstream_view.data_centre),
            )
        });
        nearest.map(|(name, _)| name)
    }

    /// Has the end of a replica's log asked for, by a task that serves all commits that wait for it.
    fn request_end(
        &self,
        upstream: &UpstreamId,
        born_ms: u64,
        position: LogPosition,
        until: Instant,
    ) {
        let is_first = self.awaited.request(upstream, born_ms, position, until);
        if let (true, Some(engine)) = (is_first, self.own.upgrade()) {
            let upstream = upstream.clone();
            tokio::spawn(async move { engine.ask_while_awaited(&upstream).await });
        }
    }

    async fn ask_while_awaited(self: Arc<Self>, upstream: &UpstreamId) {
        while let Some((born_ms, position)) = self.awaited.next(upstream, &self.log_ends) {
            let now = Instant::now();
            let held = self.settings.cell.held();
            let listed = held.view.upstreams.get(upstream);
            if let Some(listed) = listed.filter(|listed| listed.born_ms == born_ms) {
                let until = now + ASK_TIMEOUT;
                self.ask_replica(&held.view, (upstream, listed), position, until)
                    .await;
                if self.log_ends.reaches(upstream, listed, position) {
                    continue;
                }
            }
            self.settings.timer.at(now + QUIET_TIME).await;
        }
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
                let request = query_request(view, name, &values, until);
                let own = &self.settings.instance;
                relays.link(request, &holders, own).await
            }
            Some(_) | None => Ok(HolderLink::Own),
        };
        let born_ms = upstream_view.born_ms;
        match link {
            Ok(HolderLink::Relayed(mut link)) => {
                let timer = &self.settings.timer;
                match link.await_end(timer, born_ms, position, until).await {
                    Ok(Some(end)) => self.log_ends.record(name, born_ms, end),
                    // A holder of an earlier version of the program does not know the request.
                    Err(LinkError::NotSent) => {
                        let database = (name, upstream_view);
                        self.await_end(view, database, position, until).await;
                    }
                    Ok(None) | Err(_) => {}
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
                self.query_end(view, (name, upstream_view)).await;
                drop(guard);
            }
        }
    }

    /// Returns once a database is known to have reached a position.
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
    ) {
        let until = Instant::now() + QUERY_TIMEOUT;
        let values = SessionValues::default();
        let request = query_request(view, name, &values, until);
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

    /// Returns whether the view still lists the process that a route was chosen for. Positions of
    /// the next process, which may have lost its log, do not compare with what replicas reported.
    fn is_same_process(&self, route: &Route) -> bool {
        let held = self.settings.cell.held();
        let listed = held.view.upstreams.get(&route.upstream);
        let born_ms = route.upstream_view().map(|listed| listed.born_ms);
        listed.map(|listed| listed.born_ms) == born_ms
    }
}

fn query_request<'a>(
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

/// Returns how many replicas a document asks for; `None` if it does not list the group.
fn policy_replicas(view: &FleetView, group: &GroupId) -> Option<usize> {
    let entry = view.document.as_ref()?.groups.get(group)?;
    Some(match entry.commit {
        CommitPolicy::Replicas(replicas) => replicas,
        // Such databases do not acknowledge commits by themselves.
        CommitPolicy::Majority => 0,
    })
}

/// Returns whether elections find a commit on the primary of a route.
fn primary_counts(view: &FleetView, route: &Route) -> bool {
    let document = view.document.as_ref();
    let entry = document.and_then(|document| document.groups.get(&route.group));
    let listed = view.upstreams.get(&route.upstream);
    entry.is_some_and(|entry| match entry.commit {
        CommitPolicy::Replicas(_) => listed.is_some_and(|listed| listed.voter),
        // No database of such a group is a voter.
        CommitPolicy::Majority => true,
    })
}

/// Iterates over the replicas whose copies of a commit count. The log of one that leaves goes with
/// it.
fn replicas<'a>(
    view: &'a FleetView,
    mark: CommitMark<'a>,
) -> impl Iterator<Item = (&'a UpstreamId, &'a UpstreamView)> {
    let members = view.members(&mark.route.group);
    members.filter(move |(name, upstream_view)| {
        **name != mark.route.upstream && upstream_view.voter && !upstream_view.leaving
    })
}
