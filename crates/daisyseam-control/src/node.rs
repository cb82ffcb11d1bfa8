//! The actor that owns the decisions and the store.

use crate::{
    admin::UpstreamAdmin,
    convert::{
        entry_to_record,
        from_wire,
        snapshot_to_record,
        to_wire,
        vote_to_record, //
    },
    core::{
        ControlCore,
        DatabaseCall,
        RequestId, //
    },
    identity::fresh_identity,
    link::{
        LinkContext,
        MemberLink, //
    },
    session::AnswerSender, //
};
use arc_swap::ArcSwap;
use daisyseam_coord::{
    Moment,
    log::{
        LogMessage,
        LogSnapshot,
        LogWrite, //
    },
    promotion::{
        CallKind, //
        CallOutcome,
    }, //
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

/// Time between two updates of the status page.
const STATUS_EVERY: Duration = Duration::from_millis(1_000);

/// What reaches the node.
pub(crate) enum NodeMessage {
    /// A message of another member, with the connection on which answers go back.
    Peer {
        body: Body,
        route: Option<AnswerSender>,
    },
    /// A request of an entry or an operator.
    Request { body: Body, answers: AnswerSender },
    /// What became of a call to a database.
    Called {
        group: GroupId,
        upstream: UpstreamId,
        kind: CallKind,
        term: Term,
        answer: CallOutcome,
    },
    /// The leader as others name it, for an instance that is no member.
    LeaderHint(Option<SocketAddr>),
    /// This instance, under this name, has been taken out of the members for good.
    BeginAgain(InstanceId),
    /// Time has passed.
    Tick,
    /// What was decided is to be written and sent.
    Flush,
    /// The leadership is to be handed over before a stop; the answer is whether somebody takes it.
    HandOver(RpcReplyPort<bool>),
}

/// What the daemon's pages and its stop need to know.
#[derive(Debug, Default)]
pub(crate) struct NodeReport {
    /// Its present name.
    pub(crate) me: Option<InstanceId>,
    /// Whether it is a member by its own log.
    pub(crate) is_member: bool,
    /// Whether this instance leads with a lease.
    pub(crate) leads: bool,
    /// Address of the leader, if one is known.
    pub(crate) leader: Option<SocketAddr>,
    /// Why the node stopped deciding, if it did.
    pub(crate) failure: Option<String>,
    /// The status page, as of a moment ago.
    pub(crate) status: Arc<Value>,
}

impl NodeReport {
    fn is_same(&self, other: &Self) -> bool {
        self.me == other.me
            && self.is_member == other.is_member
            && self.leads == other.leads
            && self.leader == other.leader
            && self.failure == other.failure
            && Arc::ptr_eq(&self.status, &other.status)
    }
}

/// The actor; `S` is its store and `A` how it reaches databases.
pub(crate) struct NodeActor<S, A>(PhantomData<fn() -> (S, A)>);

impl<S, A> NodeActor<S, A> {
    pub(crate) fn new() -> Self {
        Self(PhantomData)
    }
}

/// What the actor starts with.
pub(crate) struct NodeArguments<S, A> {
    pub(crate) core: ControlCore,
    pub(crate) me: InstanceId,
    /// Address that its next name would come from; none if its name is set.
    pub(crate) named_by: Option<SocketAddr>,
    pub(crate) store: S,
    pub(crate) admin: A,
    /// When time begins, by [`BootClock`].
    pub(crate) origin: Instant,
    pub(crate) wake: watch::Sender<Instant>,
    pub(crate) report: Arc<ArcSwap<NodeReport>>,
    pub(crate) metrics: MetricClient,
    /// Whether the status page is kept up to date.
    pub(crate) keeps_status: bool,
    pub(crate) context: Box<dyn Fn(ActorRef<NodeMessage>) -> LinkContext + Send>,
}

/// What the actor owns.
pub(crate) struct NodeState<S, A> {
    core: ControlCore,
    me: InstanceId,
    named_by: Option<SocketAddr>,
    store: Option<S>,
    admin: A,
    origin: Instant,
    wake: watch::Sender<Instant>,
    report: Arc<ArcSwap<NodeReport>>,
    reported_at: Option<Moment>,
    status: Arc<Value>,
    metrics: MetricClient,
    keeps_status: bool,
    context: LinkContext,
    links: BTreeMap<InstanceId, MemberLink>,
    routes: BTreeMap<InstanceId, AnswerSender>,
    requests: BTreeMap<RequestId, AnswerSender>,
    last_request: RequestId,
    flushing: bool,
    failure: Option<String>,
}

impl<S: LogStorage, A: UpstreamAdmin> Actor for NodeActor<S, A> {
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
            me: arguments.me,
            named_by: arguments.named_by,
            store: Some(arguments.store),
            admin: arguments.admin,
            origin: arguments.origin,
            wake: arguments.wake,
            report: arguments.report,
            reported_at: None,
            status: Arc::default(),
            metrics: arguments.metrics,
            keeps_status: arguments.keeps_status,
            context,
            links: BTreeMap::new(),
            routes: BTreeMap::new(),
            requests: BTreeMap::new(),
            last_request: RequestId(0),
            flushing: true,
            failure: None,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<NodeMessage>,
        message: NodeMessage,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        if state.failure.is_some() {
            return Ok(());
        }
        if matches!(message, NodeMessage::Flush) {
            state.flushing = false;
            if let Err(error) = state.flush().await {
                state.fail(&error);
            }
            return Ok(());
        }
        if let NodeMessage::BeginAgain(former) = message {
            if let Err(error) = state.begin_again(&former).await {
                state.fail(&error);
            }
        } else {
            state.take(message);
        }
        if !state.flushing {
            // What else waits in the mailbox is written with the same sync.
            state.flushing = true;
            myself.cast(NodeMessage::Flush)?;
        }
        Ok(())
    }
}

impl<S: LogStorage, A: UpstreamAdmin> NodeState<S, A> {
    fn now(&self) -> Moment {
        Moment::after_origin(BootClock::now() - self.origin)
    }

    fn take(&mut self, message: NodeMessage) {
        let now = self.now();
        match message {
            NodeMessage::Peer { body, route } => self.take_peer(now, body, route),
            NodeMessage::Request { body, answers } => self.take_request(now, body, answers),
            NodeMessage::Called {
                group,
                upstream,
                kind,
                term,
                answer,
            } => {
                let core = &mut self.core;
                core.handle_call_answer(now, &group, &upstream, (kind, term), &answer);
            }
            NodeMessage::Tick => self.core.tick(now),
            NodeMessage::LeaderHint(leader) => self.core.set_leader_hint(leader),
            NodeMessage::HandOver(reply) => {
                let begun = self.core.transfer_leadership(now);
                // A daemon that no longer waits stops all the same.
                let _ = reply.send(begun);
            }
            NodeMessage::Flush | NodeMessage::BeginAgain(_) => {}
        }
    }

    fn take_peer(&mut self, now: Moment, mut body: Body, route: Option<AnswerSender>) {
        let place = match &mut body {
            Body::Appended(answer) => std::mem::take(&mut answer.data_centre).parse().ok(),
            _ => None,
        };
        let Some(letter) = from_wire(body) else {
            log::warn!("a message of a member cannot be read");
            return;
        };
        let from = letter.from;
        if letter.to != self.me {
            // It is meant for who was here before the folder was lost.
            log::debug!("{from} sent a message for {}: it is dropped", letter.to);
            return;
        }
        if let Some(route) = route {
            self.routes.insert(from.clone(), route);
        }
        if let Some(place) = place {
            self.core.set_member_data_centre(from.clone(), place);
        }
        self.core.receive(now, &from, letter.message);
    }

    fn take_request(&mut self, now: Moment, body: Body, answers: AnswerSender) {
        self.last_request = RequestId(self.last_request.0 + 1);
        let request = self.last_request;
        self.requests.insert(request, answers);
        self.core.request(now, unix_millis(), request, body);
    }

    /// Drops the log and waits under another name to be taken in again.
    async fn begin_again(&mut self, former: &InstanceId) -> Result<(), StoreError> {
        let Some(address) = self.named_by.filter(|_| self.me == *former) else {
            log::warn!("{former} is no longer a member of control");
            return Ok(());
        };
        let identity = fresh_identity(self.core.cluster(), address);
        let name = identity.owner.instance.clone();
        log::warn!("{former} is no longer a member of control: it is a spare as {name}");
        self.links.clear();
        self.routes.clear();
        self.requests.clear();
        self.write(move |store| store.reset(&identity)).await?;
        let random = ChaCha8Rng::from_os_rng();
        self.core = self.core.recreate_as(name.clone(), self.now(), random);
        self.me = name;
        Ok(())
    }

    /// Writes, sends and applies until nothing is left to do.
    async fn flush(&mut self) -> Result<(), StoreError> {
        loop {
            let output = self.core.take_log_output();
            if output.is_empty() {
                break;
            }
            self.send_all(output.before_sync);
            if !output.writes.is_empty() {
                let writes = output.writes;
                self.write(move |store| write_all(store, writes)).await?;
            }
            let now = self.now();
            self.core.synced(now);
            self.send_all(output.after_sync);
            self.core.apply(now, output.restore, output.apply);
        }
        if let Some(snapshot) = self.core.take_snapshot() {
            let record = snapshot_to_record(&snapshot);
            self.write(move |store| store.save_snapshot(record, false))
                .await?;
        }
        self.follow_members();
        let output = self.core.take_output();
        for (request, body) in output.replies {
            self.answer(request, body);
        }
        for call in output.calls {
            self.call(call);
        }
        self.finish_flush();
        Ok(())
    }

    /// Runs a write where it may block.
    async fn write(
        &mut self,
        write: impl FnOnce(&mut S) -> Result<(), StoreError> + Send + 'static,
    ) -> Result<(), StoreError> {
        let Some(mut store) = self.store.take() else {
            return Err(StoreError::Poisoned);
        };
        let task = tokio::task::spawn_blocking(move || {
            let result = write(&mut store);
            (store, result)
        });
        let (store, result) = task.await.map_err(|_| StoreError::Poisoned)?;
        self.store = Some(store);
        result
    }

    fn send_all(&mut self, messages: Vec<(InstanceId, LogMessage)>) {
        for (to, message) in messages {
            let answers = matches!(
                message,
                LogMessage::VoteResponse(_)
                    | LogMessage::AppendResponse(_)
                    | LogMessage::SnapshotResponse(_)
            );
            let mut body = to_wire(&self.me, &to, message);
            if let (Body::Appended(answer), Some(place)) = (&mut body, self.core.data_centre()) {
                answer.data_centre = place.to_string();
            }
            match self.routes.get(&to) {
                // A lost answer is asked for again.
                Some(route) if answers && !route.is_closed() => drop(route.try_send(body)),
                _ => self.link(&to, body),
            }
        }
    }

    fn link(&mut self, to: &InstanceId, body: Body) {
        if !self.links.contains_key(to) {
            self.follow_members();
        }
        if let Some(link) = self.links.get(to) {
            link.send(body);
        }
    }

    /// Keeps one link to every other member.
    fn follow_members(&mut self) {
        let members = self.core.log().members();
        self.links
            .retain(|name, link| members.address(name) == Some(link.address()));
        for (name, address) in members.all() {
            if *name != self.me && !self.links.contains_key(name) {
                let link = MemberLink::start(*address, self.context.clone());
                self.links.insert(name.clone(), link);
            }
        }
    }

    fn answer(&mut self, request: RequestId, body: Body) {
        if let Some(answers) = self.requests.remove(&request) {
            // A session that has ended or takes nothing asks again.
            let _ = answers.try_send(body);
        }
    }

    fn call(&mut self, call: DatabaseCall) {
        let admin = self.admin.clone();
        let node = self.context.node.clone();
        tokio::spawn(async move {
            let (group, upstream) = (call.group.clone(), call.upstream.clone());
            let (kind, term) = (call.kind, call.term);
            let message = NodeMessage::Called {
                group,
                upstream,
                kind,
                term,
                answer: admin.call(call).await,
            };
            if node.cast(message).is_err() {
                log::debug!("the answer of a database came after the stop");
            }
        });
    }

    fn finish_flush(&mut self) {
        let now = self.now();
        let wake = BootClock::to_monotonic(self.origin + self.core.next_tick().since_origin());
        self.wake
            .send_if_modified(|held| std::mem::replace(held, wake) != wake);
        let due = |at: Moment| now.since(at) >= STATUS_EVERY;
        if self.reported_at.is_none_or(due) {
            self.reported_at = Some(now);
            if self.keeps_status {
                self.status = Arc::new(self.core.status_json(now));
            }
            self.measure();
        }
        self.publish(now);
    }

    fn measure(&self) {
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
            me: Some(self.me.clone()),
            is_member: self.core.is_member(),
            leads: self.failure.is_none() && log.has_lease(now),
            leader: leader.and_then(|leader| log.members().address(leader)),
            failure: self.failure.clone(),
            status: Arc::clone(&self.status),
        };
        if !report.is_same(&self.report.load()) {
            self.report.store(Arc::new(report));
        }
    }

    /// Stops deciding: nothing that is not durable may be acknowledged.
    fn fail(&mut self, error: &StoreError) {
        log::error!("the data folder failed, this instance decides nothing more: {error}");
        self.failure = Some(error.to_string());
        self.links.clear();
        self.routes.clear();
        self.requests.clear();
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
            LogWrite::Snapshot(snapshot) => save_whole(store, &snapshot)?,
        }
    }
    store.sync()
}

fn save_whole<S: LogStorage>(store: &mut S, snapshot: &LogSnapshot) -> Result<(), StoreError> {
    store.save_snapshot(snapshot_to_record(snapshot), true)
}

/// The wall clock, for the history that people read.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

#[cfg(test)]
mod tests;
