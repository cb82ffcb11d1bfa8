//! One connection to one control instance.

use super::{
    ClientSettings,
    keeper::{
        UpdateEnd,
        ViewKeeper, //
    },
};
use crate::FleetObserver;
use daisyseam_model::Incarnation;
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
    time::Duration, //
};
use tokio::time::Instant;

/// Time without any answer to a heartbeat after which another control instance is tried.
const SILENCE_MAX: Duration = Duration::from_millis(500);

/// Longest time that connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest time that connecting and being welcomed may take.
const WELCOME_TIMEOUT: Duration = Duration::from_millis(700);

/// Why a session ended.
pub(super) enum SessionEnd {
    /// Another instance leads.
    NotLeader {
        /// Its address, if it is known.
        leader: Option<SocketAddr>,
        /// Term of control in which it is named.
        term: u64,
    },
    /// The connection failed or made no sense.
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

/// A heartbeat whose answer is still to come.
struct SentBeat {
    sequence: u64,
    /// When it was sent, by the steady clock.
    at: Instant,
    /// When it was sent, by the clock of leases.
    lease_from: Instant,
}

/// A connection on which this instance has been welcomed.
pub(super) struct ControlSession<'a, O> {
    settings: &'a ClientSettings<O>,
    keeper: &'a mut ViewKeeper<O>,
    sender: MessageSender<PeerSocket, ControlMessage>,
    receiver: MessageReceiver<PeerSocket, ControlMessage>,
    sent: VecDeque<SentBeat>,
    heard_at: Instant,
    next_beat: Instant,
}

impl<'a, O: FleetObserver> ControlSession<'a, O> {
    /// Connects, introduces this instance and waits to be welcomed.
    pub(super) async fn open(
        settings: &'a ClientSettings<O>,
        keeper: &'a mut ViewKeeper<O>,
        target: SocketAddr,
    ) -> Result<Self, SessionEnd> {
        let deadline = settings.timer.now() + WELCOME_TIMEOUT;
        let welcomed = introduce(settings, keeper, target);
        let welcomed = settings.timer.within(deadline, welcomed).await;
        let stream = welcomed.ok_or(SessionEnd::Failed("it does not answer".to_owned()))??;
        let (sender, receiver) = stream.split();
        let now = Instant::now();
        Ok(Self {
            settings,
            keeper,
            sender,
            receiver,
            sent: VecDeque::new(),
            heard_at: now,
            next_beat: now,
        })
    }

    /// Keeps the lease until the connection ends.
    pub(super) async fn run(mut self) -> SessionEnd {
        let mut leaving = self.settings.stop.is_stopping();
        loop {
            let timer = &self.settings.timer;
            let silence_until = self.silence_until();
            let done = tokio::select! {
                message = self.receiver.receive() => match message {
                    Ok(message) => self.handle(message.body).await,
                    Err(error) => Err(error.into()),
                },
                () = self.settings.observer.news() => {
                    self.next_beat = Instant::now();
                    Ok(())
                }
                () = self.settings.stop.stopped(), if !leaving => {
                    leaving = true;
                    self.next_beat = Instant::now();
                    Ok(())
                }
                () = self.settings.gate.report_due() => {
                    self.next_beat = Instant::now();
                    Ok(())
                }
                () = timer.at(self.next_beat) => self.beat().await,
                () = timer.at(silence_until) => {
                    Err(SessionEnd::Failed("it has fallen silent".to_owned()))
                }
            };
            if let Err(end) = done {
                return end;
            }
        }
    }

    /// Returns when the other side has been silent for too long; it speaks only when asked.
    fn silence_until(&self) -> Instant {
        let asked = self.sent.front().map(|sent| sent.at);
        asked.unwrap_or(self.next_beat).max(self.heard_at) + SILENCE_MAX
    }

    async fn beat(&mut self) -> Result<(), SessionEnd> {
        // Taken first: a suspension from here on shortens the lease.
        let lease_from = BootClock::now();
        let sequence = self.keeper.next_sequence();
        let settings = self.settings;
        let view = self.keeper.named();
        let held = settings.cell.held();
        let report = settings.observer.report(view, &held.view);
        let heartbeat = Heartbeat {
            sequence,
            incarnation: settings.incarnation.get().0,
            view: view.0,
            leaving: settings.stop.is_stopping(),
            shares: Some(settings.gate.report()),
            upstreams: report.upstreams,
            health: report.health,
            groups: report.groups,
            // The handshake on this connection named it.
            instance: String::new(),
            view_digest: self.keeper.digest(),
            members: self.keeper.members_known(),
        };
        let now = Instant::now();
        self.sent.push_back(SentBeat {
            sequence,
            at: now,
            lease_from,
        });
        self.next_beat = now + settings.heartbeat;
        let message = ControlMessage {
            body: Some(Body::Heartbeat(heartbeat)),
        };
        let sent = self.sender.send(&message);
        match settings.timer.within(now + SILENCE_MAX, sent).await {
            Some(sent) => Ok(sent?),
            None => Err(SessionEnd::Failed("it takes nothing more".to_owned())),
        }
    }

    async fn handle(&mut self, body: Option<Body>) -> Result<(), SessionEnd> {
        match body {
            Some(Body::HeartbeatReply(reply)) => self.replied(reply).await,
            Some(Body::NotLeader(message)) => Err(message.into()),
            _ => Err(SessionEnd::Failed(
                "it sent what nobody asked for".to_owned(),
            )),
        }
    }

    async fn replied(&mut self, reply: HeartbeatReply) -> Result<(), SessionEnd> {
        self.heard_at = Instant::now();
        let Some(lease_from) = self.lease_from(reply.sequence) else {
            return Err(SessionEnd::Failed(
                "it answered what was not asked".to_owned(),
            ));
        };
        if let Some(members) = &reply.members {
            self.keeper.learn_members(&self.settings.control, members);
        }
        if let Some(update) = &reply.update {
            let applied = self.keeper.apply(update).await;
            let end = applied.map_err(|error| SessionEnd::Failed(error.to_string()))?;
            // Control waits for the new number before it finishes a change.
            self.next_beat = Instant::now();
            if end == UpdateEnd::Crossed {
                // Without the update the lease would be one on a view that is over.
                return Ok(());
            }
        }
        if reply.lease_ms > 0 {
            let lease = Duration::from_millis(reply.lease_ms);
            self.keeper.extend(lease_from + lease);
            if let Some(shares) = &reply.shares {
                self.settings.gate.replied(shares, lease);
            }
        }
        Ok(())
    }

    /// Returns when the lease of a heartbeat begins, and forgets the earlier ones.
    fn lease_from(&mut self, sequence: u64) -> Option<Instant> {
        while let Some(sent) = self.sent.pop_front() {
            if sent.sequence == sequence {
                return Some(sent.lease_from);
            }
        }
        None
    }
}

async fn introduce<O: FleetObserver>(
    settings: &ClientSettings<O>,
    keeper: &ViewKeeper<O>,
    target: SocketAddr,
) -> Result<MessageStream<PeerSocket, ControlMessage>, SessionEnd> {
    let until = settings.timer.now() + CONNECT_TIMEOUT;
    let socket = settings
        .timer
        .within(until, settings.dialer.connect(target));
    let socket = socket.await;
    let socket = socket.ok_or(SessionEnd::Failed("it cannot be reached".to_owned()))?;
    let socket = socket.map_err(|error| SessionEnd::Failed(error.to_string()))?;
    let secured = settings.security.client(socket, PeerRole::Control).await;
    let socket = secured.map_err(|error| SessionEnd::Failed(error.to_string()))?;
    let mut stream = MessageStream::new(socket, settings.cluster.clone());
    let handshake = Handshake {
        instance: settings.instance.to_string(),
        incarnation: settings.incarnation.get().0,
        data_centre: settings.data_centre.to_string(),
        peer_address: settings.peer_address.to_string(),
        view: keeper.named().0,
    };
    let message = ControlMessage {
        body: Some(Body::Handshake(handshake)),
    };
    stream.send(&message).await?;
    match stream.receive().await?.body {
        Some(Body::Welcome(welcome)) => {
            settings.incarnation.set(Incarnation(welcome.incarnation));
            Ok(stream)
        }
        Some(Body::NotLeader(message)) => Err(message.into()),
        _ => Err(SessionEnd::Failed("it did not welcome this".to_owned())),
    }
}
