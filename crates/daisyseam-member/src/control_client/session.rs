//! A session with one control instance.

use super::{
    ClientSettings,
    keeper::{
        UpdateOutcome,
        ViewKeeper, //
    },
    progress::{
        ProgressSocket,
        ReadProgress, //
    }, //
};
use crate::FleetObserver;
use daisyseam_model::{
    Incarnation,
    ViewNumber, //
};
use daisyseam_runtime::BootClock;
use daisyseam_wire::{
    ControlMessage,
    Handshake,
    Heartbeat,
    HeartbeatReply,
    MessageReceiver,
    MessageSender,
    MessageStream,
    NotLeader,
    PeerRole,
    PeerSocket,
    StreamError,
    control_message::Body, //
};
use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::{
        Duration,
        SystemTime, //
    }, //
};
use tokio::time::Instant;

/// Time without a reply to a heartbeat, or without more of one, after which another control instance
/// is tried.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time limit for connecting and completing the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(700);

/// Minimum time between two heartbeats that confirm a view at once; later views are confirmed together.
const CONFIRM_INTERVAL_MIN: Duration = Duration::from_millis(100);

/// Why a session ended.
pub(super) enum SessionEnd {
    /// The control instance is not the leader.
    NotLeader {
        /// Address of the leader, if it is known.
        leader: Option<SocketAddr>,
        /// Control term in which it leads.
        term: u64,
    },
    /// The connection failed, or the peer violated the protocol.
    Failed(String),
}

impl From<StreamError> for SessionEnd {
    fn from(error: StreamError) -> Self {
        Self::Failed(error.to_string())
    }
}

impl From<NotLeader> for SessionEnd {
    fn from(message: NotLeader) -> Self {
        Self::NotLeader {
            leader: message.leader.parse().ok(),
            term: message.term,
        }
    }
}

/// A heartbeat that has not been answered yet.
struct PendingHeartbeat {
    sequence: u64,
    /// When it was sent, by the monotonic clock.
    sent_at: Instant,
    /// When it was sent, by [`BootClock`]; a lease granted in reply starts at this time.
    lease_start: Instant,
}

type ControlSocket = ProgressSocket<PeerSocket>;

/// A connection on which the handshake is complete.
pub(super) struct ControlSession<'a, O> {
    settings: &'a ClientSettings<O>,
    keeper: &'a mut ViewKeeper<O>,
    sender: MessageSender<ControlSocket, ControlMessage>,
    receiver: MessageReceiver<ControlSocket, ControlMessage>,
    progress: ReadProgress,
    pending: VecDeque<PendingHeartbeat>,
    last_reply_at: Instant,
    next_heartbeat: Instant,
    /// Whether a view was applied since the last heartbeat.
    confirms: bool,
    /// Moment from which the next view may be confirmed at once.
    next_confirmation: Instant,
}

impl<'a, O: FleetObserver> ControlSession<'a, O> {
    /// Connects to a control instance and completes the handshake.
    pub(super) async fn open(
        settings: &'a ClientSettings<O>,
        keeper: &'a mut ViewKeeper<O>,
        target: SocketAddr,
    ) -> Result<Self, SessionEnd> {
        let deadline = settings.timer.now() + HANDSHAKE_TIMEOUT;
        let opened = connect(settings, keeper, target);
        let opened = settings.timer.within(deadline, opened).await;
        let (stream, progress) =
            opened.ok_or(SessionEnd::Failed("the handshake timed out".to_owned()))??;
        let (sender, receiver) = stream.split();
        let now = Instant::now();
        keeper.record_leader(now);
        Ok(Self {
            settings,
            keeper,
            sender,
            receiver,
            progress,
            pending: VecDeque::new(),
            last_reply_at: now,
            next_heartbeat: now,
            confirms: false,
            next_confirmation: now,
        })
    }

    /// Maintains the lease until the session ends.
    pub(super) async fn run(mut self) -> SessionEnd {
        let mut leaving = self.settings.stop.is_stopping();
        loop {
            let timer = &self.settings.timer;
            let reply_deadline = self.reply_deadline();
            let may_send = !self.is_receiving();
            let result = tokio::select! {
                message = self.receiver.receive() => match message {
                    Ok(message) => self.handle(message.body).await,
                    Err(error) => Err(error.into()),
                },
                () = self.settings.observer.report_due(), if may_send => {
                    self.next_heartbeat = Instant::now();
                    Ok(())
                }
                () = self.settings.stop.stopped(), if !leaving => {
                    leaving = true;
                    self.next_heartbeat = Instant::now();
                    Ok(())
                }
                () = self.settings.gate.report_due(), if may_send => {
                    self.next_heartbeat = Instant::now();
                    Ok(())
                }
                () = timer.at(self.next_heartbeat), if may_send => self.send_heartbeat().await,
                () = timer.at(reply_deadline) => self.check_reply(),
            };
            if let Err(end) = result {
                // A part of a reply shows as well that the leader answers.
                self.keeper.record_leader(self.progress.last_read_at());
                return end;
            }
        }
    }

    /// Returns when the session fails without a reply; control sends messages only as replies.
    fn reply_deadline(&self) -> Instant {
        let oldest_pending = self.pending.front().map(|sent| sent.sent_at);
        oldest_pending
            .unwrap_or(self.next_heartbeat)
            .max(self.progress.last_read_at())
            + REPLY_TIMEOUT
    }

    /// Ends the session if neither a reply nor a part of one has arrived in time.
    fn check_reply(&self) -> Result<(), SessionEnd> {
        match Instant::now() < self.reply_deadline() {
            true => Ok(()),
            false => Err(SessionEnd::Failed(
                "no reply to a heartbeat in time".to_owned(),
            )),
        }
    }

    /// Returns whether a large reply is on its way. Another heartbeat would request its contents again,
    /// and over a narrow link the copies would delay each other without end.
    fn is_receiving(&self) -> bool {
        let is_partial = self.progress.last_read_at() > self.last_reply_at;
        let is_whole = self.keeper.reported_number() == ViewNumber::default();
        !self.pending.is_empty() && (is_partial || is_whole)
    }

    async fn send_heartbeat(&mut self) -> Result<(), SessionEnd> {
        // Read first, so that a suspension from here on shortens the lease.
        let lease_start = BootClock::now();
        let sequence = self.keeper.next_sequence();
        let settings = self.settings;
        let view = self.keeper.reported_number();
        let held = settings.cell.held();
        let report = settings.observer.report(view, &held.view);
        let usage = settings.observer.usage(sequence);
        let unix_ms = usage.as_ref().map_or(0, |_| unix_millis());
        let heartbeat = Heartbeat {
            sequence,
            incarnation: settings.incarnation.get().0,
            view: view.0,
            leaving: settings.stop.is_stopping(),
            shares: Some(settings.gate.report()),
            upstreams: report.upstreams,
            health: report.health,
            groups: report.groups,
            // Known from the handshake on this connection.
            instance: String::new(),
            view_digest: self.keeper.view_digest(),
            members: self.keeper.members_index(),
            usage: usage.unwrap_or_default(),
            unix_ms,
        };
        let now = Instant::now();
        self.pending.push_back(PendingHeartbeat {
            sequence,
            sent_at: now,
            lease_start,
        });
        self.next_heartbeat = now + settings.heartbeat_interval;
        if std::mem::take(&mut self.confirms) {
            self.next_confirmation = now + CONFIRM_INTERVAL_MIN;
        }
        let message = ControlMessage {
            body: Some(Body::Heartbeat(heartbeat)),
        };
        let sent = self.sender.send(&message);
        match settings.timer.within(now + REPLY_TIMEOUT, sent).await {
            Some(sent) => Ok(sent?),
            None => Err(SessionEnd::Failed(
                "sending a heartbeat timed out".to_owned(),
            )),
        }
    }

    async fn handle(&mut self, body: Option<Body>) -> Result<(), SessionEnd> {
        match body {
            Some(Body::HeartbeatReply(reply)) => self.handle_reply(reply).await,
            Some(Body::NotLeader(message)) => Err(message.into()),
            _ => Err(SessionEnd::Failed("unexpected message".to_owned())),
        }
    }

    async fn handle_reply(&mut self, reply: HeartbeatReply) -> Result<(), SessionEnd> {
        self.last_reply_at = Instant::now();
        self.keeper.record_leader(self.last_reply_at);
        let Some(heartbeat) = self.take_heartbeat(reply.sequence) else {
            return Err(SessionEnd::Failed(
                "reply to an unknown heartbeat".to_owned(),
            ));
        };
        let lease_start = heartbeat.lease_start;
        let observer = &self.settings.observer;
        observer.handle_usage(reply.sequence, heartbeat.sent_at, reply.usage.as_ref());
        if let Some(members) = &reply.members {
            self.keeper.update_members(&self.settings.control, members);
        }
        if let Some(update) = reply.encoded_update() {
            let applied = match update.decoded() {
                Ok(update) => self.keeper.apply(&update).await,
                Err(error) => {
                    log::warn!("cannot decode an update of the view: {error}");
                    Err(error)
                }
            };
            let end = applied.map_err(|error| SessionEnd::Failed(error.to_string()))?;
            // Control waits for the new view number before it completes a change. While a fleet
            // restarts, views follow each other faster than round trips.
            self.confirms = true;
            let confirm_at = self.next_confirmation.max(Instant::now());
            self.next_heartbeat = self.next_heartbeat.min(confirm_at);
            if end == UpdateOutcome::Outdated {
                // Without the update, the lease would apply to a view that is no longer in force.
                return Ok(());
            }
        }
        if reply.lease_ms > 0 {
            let lease = Duration::from_millis(reply.lease_ms);
            self.keeper.extend_lease(lease_start + lease);
            if let Some(shares) = &reply.shares {
                self.settings.gate.handle_reply(shares, lease);
            }
        }
        Ok(())
    }

    /// Returns a pending heartbeat, and removes it and all earlier heartbeats.
    fn take_heartbeat(&mut self, sequence: u64) -> Option<PendingHeartbeat> {
        while let Some(sent) = self.pending.pop_front() {
            if sent.sequence == sequence {
                return Some(sent);
            }
        }
        None
    }
}

/// Returns the wall clock in milliseconds since 1970.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

async fn connect<O: FleetObserver>(
    settings: &ClientSettings<O>,
    keeper: &ViewKeeper<O>,
    target: SocketAddr,
) -> Result<(MessageStream<ControlSocket, ControlMessage>, ReadProgress), SessionEnd> {
    let until = settings.timer.now() + CONNECT_TIMEOUT;
    let socket = settings
        .timer
        .within(until, settings.dialer.connect(target));
    let socket = socket.await;
    let socket = socket.ok_or(SessionEnd::Failed("connecting timed out".to_owned()))?;
    let socket = socket.map_err(|error| SessionEnd::Failed(error.to_string()))?;
    let secured = settings.security.client(socket, PeerRole::Control).await;
    let socket = secured.map_err(|error| SessionEnd::Failed(error.to_string()))?;
    let socket = ProgressSocket::new(socket);
    let progress = socket.progress();
    let mut stream = MessageStream::new(socket, settings.cluster.clone());
    let handshake = Handshake {
        instance: settings.instance.to_string(),
        incarnation: settings.incarnation.get().0,
        data_centre: settings.data_centre.to_string(),
        peer_address: settings.peer_address.to_string(),
        view: keeper.reported_number().0,
    };
    let message = ControlMessage {
        body: Some(Body::Handshake(handshake)),
    };
    stream.send(&message).await?;
    match stream.receive().await?.body {
        Some(Body::Welcome(welcome)) => {
            settings.incarnation.set(Incarnation(welcome.incarnation));
            Ok((stream, progress))
        }
        Some(Body::NotLeader(message)) => Err(message.into()),
        _ => Err(SessionEnd::Failed(
            "unexpected reply to the handshake".to_owned(),
        )),
    }
}
