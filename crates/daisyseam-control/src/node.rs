//! The actor that owns the control core and its store.

mod backlog;
mod load;
#[cfg(test)]
mod tests;

use self::{
    backlog::{
        RequestBacklog,
        WaitingRequest, //
    },
    load::RequestLoad, //
};
use crate::{
    admin::{
        UpstreamAdmin,
        UsageReporter, //
    },
    call_lease::{
        CallLease,
        TermLease, //
    },
    convert::{
        durable_log,
        entry_to_record,
        from_wire,
        snapshot_to_record,
        to_wire,
        vote_to_record, //
    },
    core::{
        ControlCore,
        DatabaseCall,
        RequestId,
        UsageCall,
        UsageTotals, //
    },
    identity::fresh_identity,
    link::{
        LinkContext,
        MemberLink, //
    },
    session::ReplySender, //
};
use arc_swap::ArcSwap;
use daisyseam_coord::{
    Moment,
    log::{
        LogMessage,
        LogSnapshot,
        LogWrite,
        MemberTable, //
    },
    promotion::{
        CallKind, //
        CallOutcome,
    },
    usage::ReportOutcome, //
};
use daisyseam_model::{
    GroupId,
    InstanceId,
    Term,
    UpstreamId, //
};
use daisyseam_runtime::{
    BootClock,
    MetricClient, //
};
use daisyseam_store::{
    LogStorage,
    StoreError, //
};
use daisyseam_wire::control_message::Body;
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef,
    RpcReplyPort, //
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::SeedableRng, //
};
use serde_json::Value;
use std::{
    collections::BTreeMap,
    marker::PhantomData,
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        SystemTime, //
    }, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};

/// Interval between attempts to use a store whose disk is full.
const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of requests that are handled before messages of other members are looked at again.
const REQUESTS_PER_FLUSH: usize = 16;
/// Interval between updates of the status page.
const STATUS_INTERVAL: Duration = Duration::from_millis(1_000);

/// Message to the node actor.
pub(crate) enum NodeMessage {
    /// A message from another member, and the connection on which to reply.
    Peer {
        body: Body,
        route: Option<ReplySender>,
    },
    /// A request from an entry or an operator.
    Request { body: Body, replies: ReplySender },
    /// Outcome of a call to a database.
    CallFinished {
        group: GroupId,
        upstream: UpstreamId,
        kind: CallKind,
        term: Term,
        answer: CallOutcome,
    },
    /// Outcome of the report of a window that was decided in a term of the log.
    ReportFinished {
        window: u64,
        term: u64,
        outcome: ReportOutcome,
    },
    /// The leader as reported by another instance, for an instance that is not a member.
    LeaderHint(Option<SocketAddr>),
    /// This instance has been permanently removed from the members under the given name.
    RemovedFromMembers(InstanceId),
    /// The next tick of the core is due.
    Tick,
    /// Pending output of the core is to be written and sent.
    Flush,
    /// The leadership is to be transferred before a stop; replies whether a transfer has started.
    TransferLeadership(RpcReplyPort<bool>),
}

/// State of the node that the daemon publishes and uses to stop.
#[derive(Debug, Default)]
pub(crate) struct NodeReport {
    /// Current name of this instance.
    pub(crate) instance: Option<InstanceId>,
    /// Whether it is a member according to its own log.
    pub(crate) is_member: bool,
    /// Whether this instance is the leader and holds the leader lease.
    pub(crate) is_leader: bool,
    /// Address of the leader, if one is known.
    pub(crate) leader: Option<SocketAddr>,
    /// The failure because of which the node makes no decisions, if any.
    pub(crate) failure: Option<String>,
    /// Whether the node cannot recover from the failure.
    pub(crate) is_final: bool,
    /// The most recent status page.
    pub(crate) status: Arc<Value>,
}

impl NodeReport {
    fn is_same(&self, other: &Self) -> bool {
        self.instance == other.instance
            && self.is_member == other.is_member
            && self.is_leader == other.is_leader
            && self.leader == other.leader
            && self.failure == other.failure
            && self.is_final == other.is_final
            && Arc::ptr_eq(&self.status, &other.status)
    }
}

/// The actor; `S` is its store and `A` its client for calls to databases.
pub(crate) struct NodeActor<S, A>(PhantomData<fn() -> (S, A)>);

impl<S, A> NodeActor<S, A> {
    pub(crate) fn new() -> Self {
        Self(PhantomData)
    }
}

/// Arguments for starting the actor.
pub(crate) struct NodeArguments<S, A> {
    pub(crate) core: ControlCore,
    pub(crate) instance: InstanceId,
    /// Address from which a new name is derived; `None` if the name is configured.
    pub(crate) naming_address: Option<SocketAddr>,
    pub(crate) store: S,
    /// Members of the log before its first snapshot.
    pub(crate) initial_members: MemberTable,
    pub(crate) admin: A,
    /// Origin of the core's time, by [`BootClock`].
    pub(crate) origin: Instant,
    pub(crate) wake: watch::Sender<Instant>,
    pub(crate) report: Arc<ArcSwap<NodeReport>>,
    pub(crate) metrics: MetricClient,
    /// Whether to update the status page.
    pub(crate) updates_status: bool,
    pub(crate) context: Box<dyn Fn(ActorRef<NodeMessage>) -> LinkContext + Send>,
}

/// State of the actor.
pub(crate) struct NodeState<S, A> {
    core: ControlCore,
    instance: InstanceId,
    naming_address: Option<SocketAddr>,
    store: Option<S>,
    initial_members: MemberTable,
    admin: A,
    /// The lease while this instance leads, for the calls in progress.
    lease: watch::Sender<Option<TermLease>>,
    origin: Instant,
    wake: watch::Sender<Instant>,
    report: Arc<ArcSwap<NodeReport>>,
    reported_at: Option<Moment>,
    status: Arc<Value>,
    metrics: MetricClient,
    updates_status: bool,
    /// Numbers of usage windows that were exported.
    usage_totals: UsageTotals,
    context: LinkContext,
    links: BTreeMap<InstanceId, MemberLink>,
    routes: BTreeMap<InstanceId, ReplySender>,
    requests: BTreeMap<RequestId, ReplySender>,
    /// Requests that have not been handled yet.
    backlog: RequestBacklog,
    load: RequestLoad,
    last_request: RequestId,
    flush_pending: bool,
    failure: Option<String>,
    /// When to try to use the store again after a failure; `None` if that is not possible.
    retry_at: Option<Moment>,
}

impl<S: LogStorage, A: UpstreamAdmin + UsageReporter> Actor for NodeActor<S, A> {
    type Msg = NodeMessage;
    type State = NodeState<S, A>;
    type Arguments = NodeArguments<S, A>;

    async fn pre_start(
        &self,
        myself: ActorRef<NodeMessage>,
        arguments: NodeArguments<S, A>,
    ) -> Result<Self::State, ActorProcessingErr> {
        let context = (arguments.context)(myself.clone());
        myself.cast(NodeMessage::Flush)?;
        Ok(NodeState {
            core: arguments.core,
            instance: arguments.instance,
            naming_address: arguments.naming_address,
            store: Some(arguments.store),
            initial_members: arguments.initial_members,
            admin: arguments.admin,
            lease: watch::channel(None).0,
            origin: arguments.origin,
            wake: arguments.wake,
            report: arguments.report,
            reported_at: None,
            status: Arc::default(),
            metrics: arguments.metrics,
            updates_status: arguments.updates_status,
            usage_totals: UsageTotals::default(),
            context,
            links: BTreeMap::new(),
            routes: BTreeMap::new(),
            requests: BTreeMap::new(),
            backlog: RequestBacklog::default(),
            load: RequestLoad::default(),
            last_request: RequestId(0),
            flush_pending: true,
            failure: None,
            retry_at: None,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<NodeMessage>,
        message: NodeMessage,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        if state.failure.is_some() {
            if matches!(message, NodeMessage::Tick) {
                state.retry_store().await;
            }
            if state.failure.is_some() {
                return Ok(());
            }
        }
        if matches!(message, NodeMessage::Flush) {
            state.flush_pending = false;
            state.handle_backlog();
            if let Err(error) = state.flush().await {
                state.fail(&error);
            }
            if !state.backlog.is_empty() {
                // Messages of other members that are already in the mailbox come first.
                state.flush_pending = true;
                myself.cast(NodeMessage::Flush)?;
            }
            return Ok(());
        }
        if let NodeMessage::RemovedFromMembers(former) = message {
            if let Err(error) = state.restart_as_spare(&former).await {
                state.fail(&error);
            }
        } else {
            state.handle_message(message);
        }
        if !state.flush_pending {
            // Messages that are already in the mailbox are then written with the same sync.
            state.flush_pending = true;
            myself.cast(NodeMessage::Flush)?;
        }
        Ok(())
    }
}

impl<S: LogStorage, A: UpstreamAdmin + UsageReporter> NodeState<S, A> {
    fn now(&self) -> Moment {
        Moment::after_origin(BootClock::now() - self.origin)
    }

    fn handle_message(&mut self, message: NodeMessage) {
        let now = self.now();
        match message {
            NodeMessage::Peer { body, route } => self.handle_peer(now, body, route),
            NodeMessage::Request { body, replies } => {
                self.backlog.push(WaitingRequest {
                    body,
                    replies,
                    received_at: now,
                });
            }
            NodeMessage::CallFinished {
                group,
                upstream,
                kind,
                term,
                answer,
            } => {
                let core = &mut self.core;
                core.handle_call_answer(now, &group, &upstream, (kind, term), &answer);
            }
            NodeMessage::ReportFinished {
                window,
                term,
                outcome,
            } => self.core.handle_report_outcome(now, window, term, outcome),
            NodeMessage::Tick => self.core.tick(now),
            NodeMessage::LeaderHint(leader) => self.core.set_leader_hint(leader),
            NodeMessage::TransferLeadership(reply) => {
                let started = self.core.transfer_leadership(now);
                // The daemon may have stopped waiting; it stops regardless.
                let _ = reply.send(started);
            }
            NodeMessage::Flush | NodeMessage::RemovedFromMembers(_) => {}
        }
    }

    fn handle_peer(&mut self, now: Moment, mut body: Body, route: Option<ReplySender>) {
        let data_centre = match &mut body {
            Body::Appended(answer) => std::mem::take(&mut answer.data_centre).parse().ok(),
            _ => None,
        };
        let Some(envelope) = from_wire(body) else {
            log::warn!("cannot decode a message from another member");
            return;
        };
        let from = envelope.from;
        if envelope.to != self.instance {
            // The message is for the former name of this instance, before it lost its data folder.
            log::debug!("dropped a message from {from} to {}", envelope.to);
            return;
        }
        if let Some(route) = route {
            self.routes.insert(from.clone(), route);
        }
        if let Some(data_centre) = data_centre {
            self.core.set_member_data_centre(from.clone(), data_centre);
        }
        self.core.receive(now, &from, envelope.message);
    }

    fn handle_backlog(&mut self) {
        let now = self.now();
        for _ in 0..REQUESTS_PER_FLUSH {
            let Some(request) = self.backlog.pop() else {
                break;
            };
            self.load.record_wait(now.since(request.received_at));
            self.handle_request(now, request.body, request.replies);
        }
        self.load.record_busy(self.now().since(now));
    }

    fn handle_request(&mut self, now: Moment, body: Body, replies: ReplySender) {
        self.last_request = RequestId(self.last_request.0 + 1);
        let request = self.last_request;
        self.requests.insert(request, replies);
        self.core.request(now, unix_millis(), request, body);
    }

    /// Discards the log and becomes a spare with a new name, to be added as a member again.
    async fn restart_as_spare(&mut self, former: &InstanceId) -> Result<(), StoreError> {
        let Some(address) = self.naming_address.filter(|_| self.instance == *former) else {
            log::warn!("{former} is no longer a member of control");
            return Ok(());
        };
        let identity = fresh_identity(self.core.cluster(), address);
        let name = identity.owner.instance.clone();
        log::warn!("{former} is no longer a member of control; restarting as spare {name}");
        self.links.clear();
        self.routes.clear();
        self.backlog.clear();
        self.requests.clear();
        self.use_store(move |store| store.reset(&identity)).await?;
        let random = ChaCha8Rng::from_os_rng();
        self.initial_members = MemberTable::default();
        self.core = self.core.recreate_as(name.clone(), self.now(), random);
        self.instance = name;
        Ok(())
    }

    /// Writes, sends and applies the output of the core until there is none left.
    async fn flush(&mut self) -> Result<(), StoreError> {
        loop {
            let output = self.core.take_log_output();
            if output.is_empty() {
                break;
            }
            self.send_all(output.before_sync);
            if !output.writes.is_empty() {
                let writes = output.writes;
                self.use_store(move |store| write_all(store, writes))
                    .await?;
            }
            let now = self.now();
            self.core.synced(now);
            self.send_all(output.after_sync);
            self.core.apply(now, output.restore, output.apply);
        }
        if let Some(snapshot) = self.core.take_snapshot() {
            let record = snapshot_to_record(&snapshot);
            self.use_store(move |store| store.save_snapshot(record, false))
                .await?;
        }
        self.update_links();
        let output = self.core.take_output();
        for (request, body) in output.replies {
            self.send_reply(request, body);
        }
        self.publish_lease();
        for call in output.calls {
            self.start_call(call);
        }
        for report in output.reports {
            self.start_report(report);
        }
        self.finish_flush();
        Ok(())
    }

    /// Runs an action on the store on a thread that may block.
    async fn use_store<T: Send + 'static>(
        &mut self,
        action: impl FnOnce(&mut S) -> Result<T, StoreError> + Send + 'static,
    ) -> Result<T, StoreError> {
        let Some(mut store) = self.store.take() else {
            return Err(StoreError::Poisoned);
        };
        let task = tokio::task::spawn_blocking(move || {
            let result = action(&mut store);
            (store, result)
        });
        let (store, result) = task.await.map_err(|_| StoreError::Poisoned)?;
        self.store = Some(store);
        result
    }

    fn send_all(&mut self, messages: Vec<(InstanceId, LogMessage)>) {
        for (to, message) in messages {
            let is_reply = matches!(
                message,
                LogMessage::VoteResponse(_)
                    | LogMessage::AppendResponse(_)
                    | LogMessage::SnapshotResponse(_)
            );
            let mut body = to_wire(&self.instance, &to, message);
            if let (Body::Appended(answer), Some(data_centre)) =
                (&mut body, self.core.data_centre())
            {
                answer.data_centre = data_centre.to_string();
            }
            match self.routes.get(&to) {
                // The other member repeats the request if the reply is lost.
                Some(route) if is_reply && !route.is_closed() => drop(route.try_send(body)),
                _ => self.send_over_link(&to, body),
            }
        }
    }

    fn send_over_link(&mut self, to: &InstanceId, body: Body) {
        if !self.links.contains_key(to) {
            self.update_links();
        }
        if let Some(link) = self.links.get(to) {
            link.send(body);
        }
    }

    /// Opens and closes links so that there is one to every other member.
    fn update_links(&mut self) {
        let members = self.core.log().members();
        self.links
            .retain(|name, link| members.address(name) == Some(link.address()));
        for (name, address) in members.all() {
            if *name != self.instance && !self.links.contains_key(name) {
                let link = MemberLink::start(*address, self.context.clone());
                self.links.insert(name.clone(), link);
            }
        }
    }

    fn send_reply(&mut self, request: RequestId, body: Body) {
        if let Some(replies) = self.requests.remove(&request) {
            // If the session has ended or its queue is full, the peer repeats the request.
            let _ = replies.try_send(body);
        }
    }

    fn publish_lease(&self) {
        let log = self.core.log();
        let until = log.lease_until(self.now());
        let lease = until.map(|until| TermLease {
            term: log.term().0,
            until: self.origin + until.since_origin(),
        });
        self.lease.send_replace(lease);
    }

    fn start_call(&mut self, call: DatabaseCall) {
        let admin = self.admin.clone();
        let node = self.context.node.clone();
        let lease = CallLease::new(
            call.fence,
            self.lease.subscribe(),
            self.context.timer.clone(),
        );
        tokio::spawn(async move {
            let (group, upstream) = (call.group.clone(), call.upstream.clone());
            let (kind, term) = (call.kind, call.term);
            let mut watched = lease.clone();
            let answer = tokio::select! {
                biased;
                answer = admin.call(call, lease) => answer,
                () = watched.ended() => {
                    log::info!("gave up a {kind:?} call to {upstream}: the leader's lease ended");
                    CallOutcome::Lost
                }
            };
            let message = NodeMessage::CallFinished {
                group,
                upstream,
                kind,
                term,
                answer,
            };
            if node.cast(message).is_err() {
                log::debug!("a call to a database finished after the node had stopped");
            }
        });
    }

    fn start_report(&mut self, call: UsageCall) {
        let admin = self.admin.clone();
        let node = self.context.node.clone();
        let lease = CallLease::new(
            call.fence,
            self.lease.subscribe(),
            self.context.timer.clone(),
        );
        tokio::spawn(async move {
            let mut watched = lease.clone();
            let outcome = tokio::select! {
                biased;
                outcome = admin.report(call.window, call.counts, call.fence, lease) => outcome,
                () = watched.ended() => ReportOutcome::Failed,
            };
            let message = NodeMessage::ReportFinished {
                window: call.window,
                term: call.fence,
                outcome,
            };
            if node.cast(message).is_err() {
                log::debug!("a usage report finished after the node had stopped");
            }
        });
    }

    fn finish_flush(&mut self) {
        let now = self.now();
        let wake = BootClock::to_monotonic(self.origin + self.core.next_tick().since_origin());
        self.wake
            .send_if_modified(|held| std::mem::replace(held, wake) != wake);
        let due = |at: Moment| now.since(at) >= STATUS_INTERVAL;
        if self.reported_at.is_none_or(due) {
            self.reported_at = Some(now);
            if self.updates_status {
                self.status = Arc::new(self.core.status_json(now));
            }
            self.record_metrics();
            self.record_usage();
        }
        self.report_load(now);
        self.publish(now);
    }

    /// Exports the load of the last interval, and logs it if requests waited for long.
    fn report_load(&mut self, now: Moment) {
        let Some(sums) = self.load.take_due(now, self.backlog.len()) else {
            return;
        };
        self.metrics.add("control_requests", sums.handled);
        let busy_us = u64::try_from(sums.busy.as_micros()).unwrap_or(u64::MAX);
        self.metrics.add("control_requests_busy_us", busy_us);
        self.metrics.time("control.request_wait", sums.longest_wait);
        if sums.is_overloaded() {
            self.metrics.count("control_overloaded_seconds");
            log::warn!(
                "requests wait too long: {} handled in {} ms of the last second, the longest wait was \
                 {} ms, {} still wait",
                sums.handled,
                sums.busy.as_millis(),
                sums.longest_wait.as_millis(),
                sums.waiting
            );
        }
    }

    /// Exports the numbers of usage windows since the last call.
    fn record_usage(&mut self) {
        let totals = self.core.usage_totals();
        let former = std::mem::replace(&mut self.usage_totals, totals);
        let counters = [
            ("usage_reported", totals.reported, former.reported),
            ("usage_late", totals.late, former.late),
            ("usage_incomplete", totals.incomplete, former.incomplete),
            ("usage_failed_calls", totals.failed, former.failed),
        ];
        for (name, total, former) in counters {
            // A core that starts again counts from 0.
            let added = total.checked_sub(former).unwrap_or(total);
            if added > 0 {
                self.metrics.add(name, added);
            }
        }
    }

    fn record_metrics(&self) {
        let log = self.core.log();
        self.metrics.gauge("control.term", log.term().0);
        self.metrics.gauge("control.commit", log.commit().0);
        self.metrics
            .gauge("control.leads", u64::from(log.is_leader()));
    }

    fn publish(&self, now: Moment) {
        let log = self.core.log();
        let leader = log.leader();
        let report = NodeReport {
            instance: Some(self.instance.clone()),
            is_member: self.core.is_member(),
            is_leader: self.failure.is_none() && log.has_lease(now),
            leader: leader.and_then(|leader| log.members().address(leader)),
            failure: self.failure.clone(),
            is_final: self.failure.is_some() && self.retry_at.is_none(),
            status: Arc::clone(&self.status),
        };
        if !report.is_same(&self.report.load()) {
            self.report.store(Arc::new(report));
        }
    }

    /// Stops making decisions, since nothing may be acknowledged that is not durable.
    ///
    /// If the disk is full, the node starts again from its durable state once there is room.
    fn fail(&mut self, error: &StoreError) {
        let now = self.now();
        if error.is_full() {
            log::error!("no decisions are made until the disk has room: {error}");
            self.schedule_retry(now);
        } else {
            log::error!("the data folder failed; no further decisions are made: {error}");
            self.retry_at = None;
        }
        self.failure = Some(error.to_string());
        self.links.clear();
        self.routes.clear();
        self.requests.clear();
        self.publish(now);
    }

    fn schedule_retry(&mut self, now: Moment) {
        let retry_at = now + STORE_RETRY_INTERVAL;
        self.retry_at = Some(retry_at);
        let wake = BootClock::to_monotonic(self.origin + retry_at.since_origin());
        self.wake.send_replace(wake);
    }

    /// Starts again from the durable state if the disk has room and a retry is due.
    async fn retry_store(&mut self) {
        let now = self.now();
        if self.retry_at.is_none_or(|retry_at| now < retry_at) {
            return;
        }
        let recovered = match self.use_store(LogStorage::reopen).await {
            Ok(recovered) => recovered,
            Err(error) if error.is_full() => {
                self.schedule_retry(now);
                return;
            }
            Err(error) => return self.fail(&error),
        };
        let Some(durable) = durable_log(recovered, self.initial_members.clone()) else {
            log::error!("the data folder holds records that cannot be read");
            self.retry_at = None;
            return self.publish(now);
        };
        log::warn!("the disk has room again; continuing from the durable state");
        let random = ChaCha8Rng::from_os_rng();
        self.core = self.core.recreate_from(durable, self.now(), random);
        self.failure = None;
        self.retry_at = None;
        self.publish(self.now());
    }
}

fn write_all<S: LogStorage>(store: &mut S, writes: Vec<LogWrite>) -> Result<(), StoreError> {
    for write in writes {
        match write {
            LogWrite::Vote { term, voted_for } => {
                store.save_vote(vote_to_record(term, voted_for.as_ref()));
            }
            LogWrite::Entries(entries) => {
                store.append(entries.into_iter().map(entry_to_record).collect());
            }
            LogWrite::Snapshot(snapshot) => save_received_snapshot(store, &snapshot)?,
        }
    }
    store.sync()
}

fn save_received_snapshot<S: LogStorage>(
    store: &mut S,
    snapshot: &LogSnapshot,
) -> Result<(), StoreError> {
    store.save_snapshot(snapshot_to_record(snapshot), true)
}

/// Returns the wall-clock time in milliseconds, for the history shown to operators.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
