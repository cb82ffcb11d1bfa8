//! Tokens of small rates, which one instance of each data centre holds for all instances there.
//!
//! A rate that is too small to be split among all instances would cost each request a round trip to
//! control. Its homes keep tokens for the whole data centre. A request whose home does not respond takes
//! its token from this instance's own gate, which asks control; since tokens are accounted for wherever they are held, both may happen at once.

use super::RelaySettings;
use crate::{
    DatabaseConnector,
    counters,
    engine::EngineShared,
    urgency::Urgency, //
};
use daisyseam_coord::{
    membership::rate_homes,
    quota::{
        RateKey,
        document_rate,
        needs_homes, //
    }, //
};
use daisyseam_member::{
    AdmissionDeadlines,
    RateGate, //
};
use daisyseam_model::{
    ErrorKind,
    FleetView,
    RequestError, //
};
use daisyseam_runtime::TimerService;
use daisyseam_wire::{
    AdmitOutcome,
    MessageReceiver,
    MessageSender,
    MessageStream,
    PeerRole,
    PeerSocket,
    RelayAdmit,
    RelayAdmitted,
    RelayMessage,
    RelayPing,
    RelayPong,
    StreamError,
    relay_message::Body, //
};
use futures_util::stream::{
    FuturesUnordered,
    StreamExt, //
};
use parking_lot::Mutex;
use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    net::SocketAddr,
    time::Duration, //
};
use tokio::{
    sync::{
        mpsc,
        oneshot, //
    },
    time::Instant, //
};

/// Longest time for opening a connection to a home.
const DIAL_TIMEOUT: Duration = Duration::from_millis(150);

/// Time without a message from a home, while it owes an answer, after which it is asked whether it
/// responds.
const SILENCE_LIMIT: Duration = Duration::from_millis(100);

/// Longest time for the answer to that question.
const PING_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which a home that failed is not asked.
const AVOID_DURATION: Duration = Duration::from_secs(1);

/// Maximum number of requests of one connection that wait at a home.
const WAITING_REQUESTS_MAX: usize = 1_024;

/// Maximum number of requests queued for one connection.
const QUEUED_REQUESTS_MAX: usize = 256;

/// Longest wait that another instance may ask for.
const REQUESTED_WAIT_MAX: Duration = Duration::from_secs(60);

/// A request for a token, and where its answer goes.
struct TokenRequest {
    body: RelayAdmit,
    answer: oneshot::Sender<RelayAdmitted>,
}

/// Connections to the homes of rates.
pub(crate) struct AdmissionClient {
    settings: RelaySettings,
    timer: TimerService,
    homes: Mutex<HashMap<SocketAddr, HomeState>>,
}

#[derive(Default)]
struct HomeState {
    requests: Option<mpsc::Sender<TokenRequest>>,
    avoid_until: Option<Instant>,
}

impl AdmissionClient {
    pub(crate) fn new(settings: RelaySettings, timer: TimerService) -> Self {
        Self {
            settings,
            timer,
            homes: Mutex::default(),
        }
    }

    /// Closes the connections to instances that are no longer in the view.
    pub(crate) fn apply(&self, view: &FleetView) {
        let instances = view.instances.values();
        let addresses: BTreeSet<_> = instances.map(|instance| instance.peer_address).collect();
        let mut homes = self.homes.lock();
        homes.retain(|address, _| addresses.contains(address));
    }

    fn is_avoided(&self, address: SocketAddr) -> bool {
        let homes = self.homes.lock();
        let avoid_until = homes.get(&address).and_then(|home| home.avoid_until);
        avoid_until.is_some_and(|until| Instant::now() < until)
    }

    fn avoid(&self, address: SocketAddr) {
        let mut homes = self.homes.lock();
        let home = homes.entry(address).or_default();
        home.requests = None;
        home.avoid_until = Some(Instant::now() + AVOID_DURATION);
    }

    /// Asks a home; `None` if it does not respond.
    async fn ask(&self, address: SocketAddr, body: RelayAdmit) -> Option<RelayAdmitted> {
        let (answer, answered) = oneshot::channel();
        let request = TokenRequest { body, answer };
        // A full queue means that the home does not keep up.
        self.requests(address).try_send(request).ok()?;
        answered.await.ok()
    }

    /// Returns the queue of the connection to a home, which is opened if there is none.
    fn requests(&self, address: SocketAddr) -> mpsc::Sender<TokenRequest> {
        let mut homes = self.homes.lock();
        let home = homes.entry(address).or_default();
        if let Some(requests) = home.requests.as_ref().filter(|queue| !queue.is_closed()) {
            return requests.clone();
        }
        let (requests, queue) = mpsc::channel(QUEUED_REQUESTS_MAX);
        home.requests = Some(requests.clone());
        let (settings, timer) = (self.settings.clone(), self.timer.clone());
        tokio::spawn(async move {
            if let Err(error) = run_connection(&settings, &timer, address, queue).await {
                log::debug!("the connection to the home {address} of a rate ended: {error}");
            }
        });
        requests
    }
}

/// A connection to a home.
struct HomeConnection {
    sender: MessageSender<PeerSocket, RelayMessage>,
    receiver: MessageReceiver<PeerSocket, RelayMessage>,
    waiting: HashMap<u64, oneshot::Sender<RelayAdmitted>>,
    last_number: u64,
    /// When the home was last heard, or first owed an answer after a rest.
    heard_at: Instant,
    /// When the home was asked whether it responds.
    pinged_at: Option<Instant>,
}

/// Carries requests over a connection until it fails or the queue is closed; requests without an
/// answer are dropped, which tells their senders.
async fn run_connection(
    settings: &RelaySettings,
    timer: &TimerService,
    address: SocketAddr,
    mut queue: mpsc::Receiver<TokenRequest>,
) -> Result<(), StreamError> {
    let until = Instant::now() + DIAL_TIMEOUT;
    let dialed = async {
        let socket = settings.dialer.connect(address).await?;
        settings.security.client(socket, PeerRole::Entry).await
    };
    let Some(socket) = timer.within(until, dialed).await else {
        log::debug!("connecting to the home {address} of a rate timed out");
        return Ok(());
    };
    let stream = MessageStream::new(socket?, settings.cluster.clone());
    let (sender, receiver) = stream.split();
    let mut connection = HomeConnection {
        sender,
        receiver,
        waiting: HashMap::new(),
        last_number: 0,
        heard_at: Instant::now(),
        pinged_at: None,
    };
    loop {
        let check_at = connection.check_at();
        tokio::select! {
            message = connection.receiver.receive() => connection.handle(message?),
            request = queue.recv() => match request {
                Some(request) => connection.send(request).await?,
                None => return Ok(()),
            },
            () = timer.at(check_at.unwrap_or(until)), if check_at.is_some() => {
                if connection.pinged_at.is_some() {
                    log::debug!("the home {address} of a rate does not respond");
                    return Ok(());
                }
                connection.ping().await?;
            }
        }
    }
}

impl HomeConnection {
    /// Returns when to check whether the home responds; `None` while it owes no answer.
    fn check_at(&self) -> Option<Instant> {
        match self.pinged_at {
            Some(pinged_at) => Some(pinged_at + PING_TIMEOUT),
            None => (!self.waiting.is_empty()).then_some(self.heard_at + SILENCE_LIMIT),
        }
    }

    async fn send(&mut self, request: TokenRequest) -> Result<(), StreamError> {
        // Callers may have given up.
        self.waiting.retain(|_, answer| !answer.is_closed());
        if self.waiting.is_empty() {
            self.heard_at = Instant::now();
        }
        self.last_number += 1;
        self.waiting.insert(self.last_number, request.answer);
        let message = RelayMessage {
            number: self.last_number,
            body: Some(Body::Admit(request.body)),
        };
        self.sender.send(&message).await
    }

    async fn ping(&mut self) -> Result<(), StreamError> {
        self.pinged_at = Some(Instant::now());
        let message = RelayMessage {
            number: 0,
            body: Some(Body::Ping(RelayPing {})),
        };
        self.sender.send(&message).await
    }

    fn handle(&mut self, message: RelayMessage) {
        self.heard_at = Instant::now();
        self.pinged_at = None;
        if let Some(Body::Admitted(answer)) = message.body
            && let Some(waiting) = self.waiting.remove(&message.number)
        {
            // The caller may have given up.
            let _ = waiting.send(answer);
        }
    }
}

impl<D: DatabaseConnector, G: RateGate> EngineShared<D, G> {
    /// Takes a token of a rate, from its home if it has one.
    ///
    /// # Errors
    ///
    /// The same as for [`RateGate::admit_within`].
    pub(crate) async fn admit(
        &self,
        key: RateKey,
        deadlines: AdmissionDeadlines,
    ) -> Result<(), RequestError> {
        if let Some((admissions, home)) = self.rate_home(&key) {
            self.settings.metrics.count(counters::TOKEN_RELAYED);
            let now = Instant::now();
            let body = RelayAdmit {
                rate: key.to_string(),
                token_ms: wait_ms(now, deadlines.token),
                share_ms: wait_ms(now, deadlines.share),
                priority: Urgency::of_priority(deadlines.urgency).to_wire(),
            };
            match admissions.ask(home, body).await {
                Some(answer) if answer.outcome() == AdmitOutcome::Granted => return Ok(()),
                Some(answer) if answer.outcome() == AdmitOutcome::Exceeded => {
                    let retry_after = Duration::from_millis(answer.retry_after_ms.into());
                    return Err(
                        RequestError::from(ErrorKind::RateExceeded).with_retry_after(retry_after)
                    );
                }
                _ => admissions.avoid(home),
            }
            self.settings.metrics.count(counters::TOKEN_NO_HOME);
        }
        self.admit_here(&key, deadlines).await
    }

    /// Returns the address of the home to ask for a token; `None` if this instance is to take it itself.
    fn rate_home(&self, key: &RateKey) -> Option<(&AdmissionClient, SocketAddr)> {
        let admissions = self.admissions.as_ref()?;
        let held = self.settings.cell.held();
        if !held.is_valid() {
            return None;
        }
        let view = &held.view;
        let total = document_rate(view.document.as_ref()?, key)?;
        if !needs_homes(total, view.instances.len()) {
            return None;
        }
        for home in rate_homes(view, key, &self.settings.data_centre) {
            if *home == self.settings.instance {
                return None;
            }
            let address = view.instances.get(home)?.peer_address;
            if !admissions.is_avoided(address) {
                return Some((admissions, address));
            }
        }
        None
    }

    /// Takes a token from this instance's share.
    async fn admit_here(
        &self,
        key: &RateKey,
        deadlines: AdmissionDeadlines,
    ) -> Result<(), RequestError> {
        let gate = &self.settings.gate;
        match key {
            RateKey::Organisation(organisation) => gate.admit_within(organisation, deadlines).await,
            RateKey::Open(service) => gate.admit_open_within(service, deadlines).await,
        }
    }

    /// Takes a token for another instance.
    async fn admit_for_peer(&self, number: u64, request: RelayAdmit) -> RelayMessage {
        let now = Instant::now();
        let deadlines = AdmissionDeadlines {
            token: now + requested(request.token_ms),
            share: now + requested(request.share_ms),
            urgency: Urgency::from_wire(request.priority).to_priority(),
        };
        let outcome = match RateKey::parse(&request.rate) {
            Some(key) if !self.settings.stop.is_stopping() => {
                self.admit_here(&key, deadlines).await
            }
            _ => Err(ErrorKind::NoView.into()),
        };
        let answer = match outcome {
            Ok(()) => (AdmitOutcome::Granted, Duration::ZERO),
            Err(error) if error.kind == ErrorKind::RateExceeded => (
                AdmitOutcome::Exceeded,
                error.retry_after.unwrap_or_default(),
            ),
            Err(_) => (AdmitOutcome::Unknown, Duration::ZERO),
        };
        let (outcome, retry_after) = answer;
        RelayMessage {
            number,
            body: Some(Body::Admitted(RelayAdmitted {
                outcome: outcome.into(),
                retry_after_ms: millis(retry_after),
            })),
        }
    }
}

/// Serves a connection on which another instance asks for tokens; `first` is its first message.
pub(super) async fn serve_admissions<D, G>(
    engine: &EngineShared<D, G>,
    stream: MessageStream<PeerSocket, RelayMessage>,
    first: RelayMessage,
) -> Result<(), StreamError>
where
    D: DatabaseConnector,
    G: RateGate,
{
    let (mut sender, mut receiver) = stream.split();
    let mut waiting = FuturesUnordered::new();
    let mut next = Some(first);
    loop {
        if let Some(message) = next.take() {
            match message.body {
                Some(Body::Admit(request)) => {
                    waiting.push(engine.admit_for_peer(message.number, request));
                }
                Some(Body::Ping(_)) => {
                    let pong = RelayMessage {
                        number: message.number,
                        body: Some(Body::Pong(RelayPong {})),
                    };
                    sender.send(&pong).await?;
                }
                _ => return Ok(()),
            }
        }
        tokio::select! {
            Some(answer) = waiting.next(), if !waiting.is_empty() => sender.send(&answer).await?,
            message = receiver.receive(), if waiting.len() < WAITING_REQUESTS_MAX => {
                next = Some(message?);
            }
        }
    }
}

fn wait_ms(now: Instant, until: Instant) -> u32 {
    millis(until.saturating_duration_since(now))
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn requested(millis: u32) -> Duration {
    Duration::from_millis(millis.into()).min(REQUESTED_WAIT_MAX)
}
