//! Another instance that holds connections, and links over connections to it.

use super::{
    RelaySettings,
    RelayStream,
    convert::{
        decode_failure,
        decode_reply,
        decode_wait,
        encode_fence,
        encode_values,
        encode_verb, //
    }, //
};
use crate::{
    ConnectError,
    DatabaseReply,
    TransactionState,
    attempt::{
        AttemptContext,
        Fence,
        NO_REPLY_FAILURE_AFTER, //
    },
    health::HealthTable,
    link::{
        LinkCall,
        LinkError,
        LinkVerb, //
    },
    pool::{
        AcquireError,
        ConnectionRequest, //
    },
    urgency::QueueRule, //
};
use bytes::Bytes;
use daisyseam_model::{
    LogPosition,
    UpstreamId,
    ViewNumber, //
};
use daisyseam_runtime::TimerService;
use daisyseam_wire::{
    MessageStream,
    PeerRole,
    RelayCall,
    RelayMessage,
    RelayPing,
    RelayVerb,
    relay_message::Body, //
};
use parking_lot::Mutex;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};
use tokio::time::Instant;

/// Longest time for opening a connection to another instance.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without a message from an instance after which it is asked whether it responds.
const SILENCE_LIMIT: Duration = Duration::from_millis(150);

/// Longest time for the answer to that question.
const PING_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which an instance is avoided after its first failure; doubles with each further one.
const AVOID_INITIAL: Duration = Duration::from_millis(250);

/// Number of doublings of the time for which a failed instance is avoided.
const MAX_AVOID_DOUBLINGS: u32 = 3;

/// Time for which an instance that does not hold a database is not asked for it.
const REJECTION_MEMORY: Duration = Duration::from_millis(250);

/// Time beyond its deadline after which the answer to a wait for the end of a log counts as lost.
const AWAIT_GRACE: Duration = Duration::from_millis(250);

/// Largest number of idle connections kept per instance.
const MAX_IDLE: usize = 32;

/// Another instance, with the idle connections to it and what is known of its health.
pub(super) struct RelayPeer {
    address: SocketAddr,
    settings: RelaySettings,
    state: Mutex<PeerState>,
    /// Health of the databases as seen through this instance.
    databases: HealthTable,
}

#[derive(Default)]
struct PeerState {
    idle: Vec<RelayStream>,
    failures: u32,
    failed_at: Option<Instant>,
    avoid_until: Option<Instant>,
    last_heard: Option<Instant>,
    /// Databases that it does not hold, and until when they are not requested from it.
    rejected: HashMap<UpstreamId, Instant>,
}

/// Whether another instance can be asked for a database.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PeerAvailability {
    /// It can.
    Usable,
    /// It does not respond, or does not hold connections to the database.
    NoHolder,
    /// It cannot reach the database.
    NoDatabase,
}

impl RelayPeer {
    pub(super) fn new(address: SocketAddr, settings: RelaySettings) -> Self {
        Self {
            address,
            settings,
            state: Mutex::default(),
            databases: HealthTable::default(),
        }
    }

    /// Returns whether the instance can be asked for a database; `view` is the view that lists it.
    pub(super) fn availability(
        &self,
        upstream: &UpstreamId,
        view: ViewNumber,
        now: Instant,
    ) -> PeerAvailability {
        let state = self.state.lock();
        let rejected = state.rejected.get(upstream);
        if state.avoid_until.is_some_and(|until| now < until)
            || rejected.is_some_and(|until| now < *until)
        {
            return PeerAvailability::NoHolder;
        }
        match self.databases.is_avoided(upstream, view) {
            true => PeerAvailability::NoDatabase,
            false => PeerAvailability::Usable,
        }
    }

    /// Records what an error of a call that took `took` says about this instance as a holder.
    fn record_error(&self, upstream: &UpstreamId, error: &LinkError, took: Duration) {
        match error {
            LinkError::NotHolder | LinkError::Acquire(AcquireError::UnknownUpstream) => {
                let until = Instant::now() + REJECTION_MEMORY;
                let mut state = self.state.lock();
                state.rejected.insert(upstream.clone(), until);
            }
            LinkError::SetUpLost
            | LinkError::Lost
            | LinkError::Acquire(AcquireError::Connect(ConnectError::Unreachable(_))) => {
                self.databases.record_failure(upstream);
            }
            // A timeout after a short wait is due to the request's deadline.
            LinkError::TimedOut if took >= NO_REPLY_FAILURE_AFTER => {
                self.databases.record_failure(upstream);
            }
            LinkError::Acquire(AcquireError::PoolExhausted(_) | AcquireError::Connect(_))
            | LinkError::NotSent
            | LinkError::Fenced
            | LinkError::TimedOut
            | LinkError::HolderLost => {}
        }
    }

    fn record_failure(&self) {
        let now = Instant::now();
        let mut state = self.state.lock();
        // Calls that fail together count once.
        if state.avoid_until.is_none_or(|until| until <= now) {
            let delay = AVOID_INITIAL * (1 << state.failures.min(MAX_AVOID_DOUBLINGS));
            state.avoid_until = Some(now + delay);
            state.failures += 1;
        }
        state.failed_at = Some(now);
        let idle = std::mem::take(&mut state.idle);
        drop(state);
        drop(idle);
    }

    fn record_message(&self) {
        let mut state = self.state.lock();
        state.last_heard = Some(Instant::now());
        state.failures = 0;
        state.avoid_until = None;
    }

    /// Returns whether the instance has failed since a moment.
    fn failed_since(&self, moment: Instant) -> bool {
        let failed_at = self.state.lock().failed_at;
        failed_at.is_some_and(|failed_at| failed_at >= moment)
    }

    fn heard_since(&self, moment: Instant) -> bool {
        let last_heard = self.state.lock().last_heard;
        last_heard.is_some_and(|last_heard| last_heard >= moment)
    }

    /// Returns an idle connection, or opens one; `None` if the instance cannot be reached in time.
    async fn stream(&self, timer: &TimerService, until: Instant) -> Option<RelayStream> {
        loop {
            let idle = self.state.lock().idle.pop();
            let Some(mut stream) = idle else {
                break;
            };
            if !is_stale(&mut stream).await {
                return Some(stream);
            }
        }
        let until = until.min(Instant::now() + DIAL_TIMEOUT);
        let dialed = timer.within(until, self.dial()).await;
        match dialed {
            Some(Ok(stream)) => Some(stream),
            Some(Err(error)) => {
                log::debug!("failed to connect to instance {}: {error}", self.address);
                self.record_failure();
                None
            }
            None => {
                self.record_failure();
                None
            }
        }
    }

    async fn dial(&self) -> std::io::Result<RelayStream> {
        let settings = &self.settings;
        let socket = settings.dialer.connect(self.address).await?;
        let socket = settings.security.client(socket, PeerRole::Entry).await?;
        Ok(Box::new(MessageStream::new(
            socket,
            settings.cluster.clone(),
        )))
    }

    fn keep(&self, stream: RelayStream) {
        let mut state = self.state.lock();
        if state.idle.len() < MAX_IDLE {
            state.idle.push(stream);
        }
    }

    /// Opens a link; `None` if the instance cannot be reached in time.
    pub(super) async fn link(
        self: &Arc<Self>,
        timer: &TimerService,
        request: ConnectionRequest<'_>,
    ) -> Option<RelayedLink> {
        let stream = self.stream(timer, request.connect_until).await?;
        Some(RelayedLink {
            peer: Arc::clone(self),
            stream: Some(stream),
            upstream: request.upstream.clone(),
            rule: request.rule,
            state: LinkState::New,
            last_number: 0,
            expected_wait: None,
        })
    }

    /// Forgets the databases that are no longer in the view.
    pub(super) fn retain(&self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.databases.retain(&is_known);
        let mut state = self.state.lock();
        state.rejected.retain(|upstream, _| is_known(upstream));
    }

    /// Returns once the instance is found not to respond although a call has been sent to it.
    async fn stopped_responding(&self, timer: &TimerService, sent_at: Instant) {
        let mut check_at = sent_at + SILENCE_LIMIT;
        loop {
            timer.at(check_at).await;
            let now = Instant::now();
            if self.failed_since(sent_at) {
                return;
            }
            if !self.heard_since(now - SILENCE_LIMIT) && !self.responds(timer).await {
                return;
            }
            check_at = Instant::now() + SILENCE_LIMIT;
        }
    }

    async fn responds(&self, timer: &TimerService) -> bool {
        let until = Instant::now() + PING_TIMEOUT;
        let Some(mut stream) = self.stream(timer, until).await else {
            return false;
        };
        let exchange = async {
            stream.send(&message(0, Body::Ping(RelayPing {}))).await?;
            stream.receive().await
        };
        match timer.within(until, exchange).await {
            Some(Ok(RelayMessage {
                body: Some(Body::Pong(_)),
                ..
            })) => {
                self.record_message();
                self.keep(stream);
                true
            }
            _ => {
                self.record_failure();
                false
            }
        }
    }
}

/// Returns whether the other instance has closed an idle connection or sent unsolicited data.
async fn is_stale(stream: &mut RelayStream) -> bool {
    tokio::select! {
        biased;
        _ = stream.receive() => true,
        () = std::future::ready(()) => false,
    }
}

fn message(number: u64, body: Body) -> RelayMessage {
    RelayMessage {
        number,
        body: Some(body),
    }
}

/// A link to a database over another instance; dropping it while a transaction is open ends the
/// transaction.
pub(crate) struct RelayedLink {
    peer: Arc<RelayPeer>,
    /// `None` once the connection is broken or an answer is still owed on it.
    stream: Option<RelayStream>,
    upstream: UpstreamId,
    /// Rule by which its first call waits.
    rule: QueueRule,
    state: LinkState,
    last_number: u64,
    /// Expected wait of a new call, from the holder's last answer.
    expected_wait: Option<Duration>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LinkState {
    /// No call has been made.
    New,
    /// A transaction is open.
    Open,
    /// The holder has taken its connection back.
    Closed,
}

impl RelayedLink {
    /// Returns the expected wait of a new call, from the holder's last answer.
    pub(crate) fn expected_wait(&self) -> Option<Duration> {
        self.expected_wait
    }

    /// Makes a call of an operation.
    pub(crate) async fn call(
        &mut self,
        timer: &TimerService,
        context: AttemptContext<'_>,
        call: LinkCall<'_>,
    ) -> Result<DatabaseReply, LinkError> {
        let until = context.times.deadline();
        let mut message = self.message(call, until);
        let now = Instant::now();
        let route = context.route;
        message.term = route.term.map_or(0, |term| term.0);
        message.wait_ms = millis(context.times.queue_until(now, self.rule) - now);
        message.priority = context.times.urgency().to_wire();
        message.target_ms = millis(context.times.target().saturating_duration_since(now));
        message.connect_ms = millis(context.times.connect_until(now) - now);
        if call.verb.needs_values() {
            message.values = encode_values(context.values);
        }
        if self.state == LinkState::New {
            self.set_target(
                &mut message,
                route.upstream_view().map_or(0, |view| view.born_ms),
            );
            let organisation = context.organisation.map(|name| name.as_str());
            message.organisation = organisation.unwrap_or_default().to_owned();
        }
        self.exchange(timer, message, until).await
    }

    /// Rolls back the open transaction.
    pub(crate) async fn roll_back(
        &mut self,
        timer: &TimerService,
        id: Option<&[u8]>,
        until: Instant,
    ) -> Result<DatabaseReply, LinkError> {
        let call = LinkCall {
            id,
            at_least: None,
            in_transaction: true,
            fence: Fence::Nothing,
            verb: LinkVerb::Rollback,
        };
        let message = self.message(call, until);
        self.exchange(timer, message, until).await
    }

    /// Checks that the holder can open a connection to the database.
    pub(crate) async fn check(
        &mut self,
        timer: &TimerService,
        request: ConnectionRequest<'_>,
        timeout: Duration,
    ) -> Result<(), LinkError> {
        let upstream_view = request.view.upstreams.get(request.upstream);
        let mut message = RelayCall {
            connect_ms: millis(timeout),
            deadline_ms: millis(timeout),
            verb: RelayVerb::Check.into(),
            ..RelayCall::default()
        };
        self.set_target(&mut message, upstream_view.map_or(0, |view| view.born_ms));
        let until = Instant::now() + timeout;
        self.exchange(timer, message, until).await.map(|_| ())
    }

    /// Waits until the holder has found a position in the database's log; returns the last end that
    /// it knows.
    pub(crate) async fn await_end(
        &mut self,
        timer: &TimerService,
        born_ms: u64,
        position: LogPosition,
        until: Instant,
    ) -> Result<Option<LogPosition>, LinkError> {
        let mut message = RelayCall {
            deadline_ms: millis(until.saturating_duration_since(Instant::now())),
            at_least: Some(position.into()),
            verb: RelayVerb::AwaitEnd.into(),
            ..RelayCall::default()
        };
        self.set_target(&mut message, born_ms);
        let until = until + AWAIT_GRACE;
        // A wait without a result says nothing about the health of the database.
        let reply = self.send_and_receive(timer, message, until).await;
        if let Err(error @ LinkError::NotHolder) = &reply {
            let peer = Arc::clone(&self.peer);
            peer.record_error(&self.upstream, error, Duration::ZERO);
        }
        Ok(reply?.position)
    }

    fn set_target(&self, message: &mut RelayCall, born_ms: u64) {
        message.upstream = self.upstream.as_str().to_owned();
        message.born_ms = born_ms;
    }

    fn message(&self, call: LinkCall<'_>, until: Instant) -> RelayCall {
        let mut message = RelayCall {
            deadline_ms: millis(until.saturating_duration_since(Instant::now())),
            id: call.id.map(Bytes::copy_from_slice).unwrap_or_default(),
            at_least: call.at_least.map(Into::into),
            fence: encode_fence(call.fence),
            ..RelayCall::default()
        };
        encode_verb(&mut message, call.verb);
        message
    }

    async fn exchange(
        &mut self,
        timer: &TimerService,
        call: RelayCall,
        until: Instant,
    ) -> Result<DatabaseReply, LinkError> {
        let peer = Arc::clone(&self.peer);
        let upstream = self.upstream.clone();
        let in_flight = peer.databases.call_started(&upstream);
        let started_at = Instant::now();
        let reply = self.send_and_receive(timer, call, until).await;
        drop(in_flight);
        match &reply {
            Ok(_) => peer.databases.record_reply(&upstream),
            Err(error) => peer.record_error(&upstream, error, started_at.elapsed()),
        }
        reply
    }

    async fn send_and_receive(
        &mut self,
        timer: &TimerService,
        call: RelayCall,
        until: Instant,
    ) -> Result<DatabaseReply, LinkError> {
        if self.state == LinkState::Closed {
            return Err(LinkError::NotSent);
        }
        // If this future is dropped, the connection is closed, as an answer is still owed on it.
        let mut stream = self.stream.take().ok_or(LinkError::NotSent)?;
        self.last_number += 1;
        let number = self.last_number;
        self.expected_wait = None;
        let sent_at = Instant::now();
        let sent = timer
            .within(until, stream.send(&message(number, Body::Call(call))))
            .await;
        match sent {
            Some(Ok(())) => {}
            Some(Err(error)) => {
                log::debug!("failed to send to instance {}: {error}", self.peer.address);
                self.peer.record_failure();
                return Err(LinkError::NotSent);
            }
            None => return Err(LinkError::TimedOut),
        }
        let answer = tokio::select! {
            biased;
            answer = stream.receive() => answer,
            () = timer.at(until) => return Err(LinkError::TimedOut),
            () = self.peer.stopped_responding(timer, sent_at) => return Err(LinkError::HolderLost),
        };
        let answer = match answer {
            Ok(answer) if answer.number == number => answer.body,
            Ok(_) => None,
            Err(error) => {
                log::debug!(
                    "lost the connection to instance {}: {error}",
                    self.peer.address
                );
                self.peer.record_failure();
                return Err(LinkError::HolderLost);
            }
        };
        self.peer.record_message();
        match answer {
            Some(Body::Reply(reply)) => {
                self.expected_wait = decode_wait(reply.wait_ms);
                let reply = decode_reply(reply).ok_or(LinkError::HolderLost)?;
                self.state = match reply.state {
                    TransactionState::Idle => LinkState::Closed,
                    TransactionState::Open | TransactionState::Failed => LinkState::Open,
                };
                self.stream = Some(stream);
                Ok(reply)
            }
            Some(Body::Failure(failure)) => {
                self.expected_wait = decode_wait(failure.wait_ms);
                self.state = LinkState::Closed;
                self.stream = Some(stream);
                Err(decode_failure(failure))
            }
            _ => {
                log::warn!("instance {} sent an unexpected answer", self.peer.address);
                Err(LinkError::HolderLost)
            }
        }
    }
}

impl Drop for RelayedLink {
    fn drop(&mut self) {
        if self.state != LinkState::Open
            && let Some(stream) = self.stream.take()
        {
            self.peer.keep(stream);
        }
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
