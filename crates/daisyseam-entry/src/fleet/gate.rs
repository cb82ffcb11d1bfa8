//! Rates and bursts over the whole fleet, as this instance's share of them.

use crate::{
    RateGate,
    ViewCell, //
};
use daisyseam_coord::{
    Moment,
    quota::{
        BucketSet,
        NoToken,
        RateKey,
        RateShare,
        WaitingLine, //
    }, //
};
use daisyseam_model::{
    DocumentNumber,
    ErrorKind,
    OrganisationId,
    RequestError,
    ServiceId,
    document::Document, //
};
use daisyseam_runtime::TimerService;
use daisyseam_wire::{
    ConvertError,
    WireShareReply,
    WireShareReport, //
};
use parking_lot::Mutex;
use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    sync::Arc,
    time::Duration, //
};
use tokio::{
    sync::Notify,
    time::Instant, //
};

/// Admits requests within the shares that control has granted; cheap to clone.
#[derive(Clone)]
pub struct FleetGate {
    shared: Arc<GateShared>,
}

struct GateShared {
    cell: ViewCell,
    timer: TimerService,
    origin: Instant,
    state: Mutex<GateState>,
    eager: Notify,
}

#[derive(Default)]
struct GateState {
    set: BucketSet,
    document: DocumentNumber,
    lines: BTreeMap<RateKey, VecDeque<LineEntry>>,
    next_ticket: u64,
}

/// One that waits for a token, first come, first served.
struct LineEntry {
    ticket: u64,
    since: Moment,
    turn: Arc<Notify>,
}

/// What an attempt to take a token came to.
enum TakeOutcome {
    Taken,
    /// The next token is expected at this moment, if at all.
    Later(Option<Instant>),
}

impl FleetGate {
    /// Makes a gate without shares.
    pub fn new(cell: ViewCell, timer: TimerService) -> Self {
        let shared = GateShared {
            cell,
            timer,
            origin: Instant::now(),
            state: Mutex::default(),
            eager: Notify::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns what control must know of the shares held and wanted here.
    pub fn report(&self, sequence: u64) -> WireShareReport {
        let now = self.moment(Instant::now());
        let mut state = self.shared.state.lock();
        WireShareReport::present(&state.set.report(now, sequence))
    }

    /// Takes shares in that answer a report sent at a moment.
    ///
    /// # Errors
    ///
    /// [`ConvertError`] when the message cannot be read; nothing is changed then.
    pub fn apply(
        &self,
        sent: Instant,
        lease: Duration,
        reply: &WireShareReply,
    ) -> Result<(), ConvertError> {
        let reply = reply.read()?;
        let now = self.moment(Instant::now());
        let sent = self.moment(sent);
        let mut state = self.shared.state.lock();
        if state.set.apply(now, sent, lease, &reply) {
            for line in state.lines.values() {
                wake_first(line);
            }
        }
        Ok(())
    }

    /// Waits until a report should not wait for the next heartbeat.
    pub async fn report_due(&self) {
        self.shared.eager.notified().await;
    }

    /// Gives every share back for good, as the instance stops.
    pub fn leave(&self) {
        let now = self.moment(Instant::now());
        self.shared.state.lock().set.leave(now);
        self.shared.eager.notify_one();
    }

    async fn take(&self, key: RateKey, deadline: Instant) -> Result<(), RequestError> {
        let view = self.shared.cell.valid()?;
        let document = view.document.as_deref().ok_or(ErrorKind::NoView)?;
        let turn = Arc::new(Notify::new());
        let place = {
            let mut state = self.shared.state.lock();
            let now = self.moment(Instant::now());
            state.follow(now, document);
            state.set.count(now, &key);
            self.enter(&mut state, key, &turn, deadline)?
        };
        loop {
            let until = match place.try_take()? {
                TakeOutcome::Taken => return Ok(()),
                TakeOutcome::Later(at) => at.unwrap_or(deadline).min(deadline),
            };
            self.shared.timer.within(until, turn.notified()).await;
            if Instant::now() >= deadline {
                return Err(place.refusal());
            }
        }
    }

    /// Joins the line of a key, unless its turn cannot come in time.
    fn enter(
        &self,
        state: &mut GateState,
        key: RateKey,
        turn: &Arc<Notify>,
        deadline: Instant,
    ) -> Result<LinePlace, RequestError> {
        let now = Instant::now();
        let since = self.moment(now);
        let ahead = state.lines.get(&key).map_or(0, VecDeque::len);
        let least = state.set.least_wait(&key, ahead);
        if now + least.min(Duration::from_secs(86_400)) > deadline {
            let later = state.set.retry_after(since, &key, ahead);
            return Err(exceeded(later));
        }
        state.next_ticket += 1;
        let ticket = state.next_ticket;
        let entry = LineEntry {
            ticket,
            since,
            turn: Arc::clone(turn),
        };
        state.lines.entry(key.clone()).or_default().push_back(entry);
        state.tell_line(&key);
        if state.set.is_report_due(since) {
            self.shared.eager.notify_one();
        }
        Ok(LinePlace {
            gate: self.clone(),
            key,
            ticket,
        })
    }

    fn moment(&self, at: Instant) -> Moment {
        Moment::after_origin(at.saturating_duration_since(self.shared.origin))
    }
}

impl RateGate for FleetGate {
    async fn admit(
        &self,
        organisation: &OrganisationId,
        deadline: Instant,
    ) -> Result<(), RequestError> {
        let key = RateKey::Organisation(organisation.clone());
        self.take(key, deadline).await
    }

    async fn admit_open(&self, service: &ServiceId, deadline: Instant) -> Result<(), RequestError> {
        self.take(RateKey::Open(service.clone()), deadline).await
    }
}

/// A place in the line of a key; dropping it leaves the line.
struct LinePlace {
    gate: FleetGate,
    key: RateKey,
    ticket: u64,
}

impl LinePlace {
    /// Takes a token if it is this one's turn and there is one.
    fn try_take(&self) -> Result<TakeOutcome, RequestError> {
        let now = Instant::now();
        let moment = self.gate.moment(now);
        let mut state = self.gate.shared.state.lock();
        let first = state.lines.get(&self.key).and_then(VecDeque::front);
        if first.is_none_or(|first| first.ticket != self.ticket) {
            return Ok(TakeOutcome::Later(None));
        }
        match state.set.take(moment, &self.key) {
            Ok(()) => Ok(TakeOutcome::Taken),
            Err(NoToken::UnknownKey) => Err(ErrorKind::ServiceDenied.into()),
            Err(NoToken::Wait(wait)) => {
                // The share may be far too small for what waits: control is told at once.
                if state.set.is_report_due(moment) {
                    self.gate.shared.eager.notify_one();
                }
                Ok(TakeOutcome::Later(wait.map(|wait| now + wait)))
            }
        }
    }

    fn refusal(&self) -> RequestError {
        let now = self.gate.moment(Instant::now());
        let mut state = self.gate.shared.state.lock();
        let waiting = state.lines.get(&self.key).map_or(0, VecDeque::len);
        exceeded(state.set.retry_after(now, &self.key, waiting))
    }
}

impl Drop for LinePlace {
    fn drop(&mut self) {
        let mut state = self.gate.shared.state.lock();
        let Some(line) = state.lines.get_mut(&self.key) else {
            return;
        };
        line.retain(|entry| entry.ticket != self.ticket);
        wake_first(line);
        state.tell_line(&self.key);
        state.lines.retain(|_, line| !line.is_empty());
    }
}

impl GateState {
    /// Takes over the rates of a document that has come into force.
    fn follow(&mut self, now: Moment, document: &Document) {
        if self.document == document.number {
            return;
        }
        self.document = document.number;
        let organisations = document.organisations.iter().map(|(name, entry)| {
            let total = RateShare::from_document(entry.rate, entry.burst);
            (RateKey::Organisation(name.clone()), total)
        });
        let routes = document.open_routes.iter().map(|(service, route)| {
            let total = RateShare::from_document(route.rate, route.burst);
            (RateKey::Open(service.clone()), total)
        });
        self.set.set_totals(now, organisations.chain(routes));
    }

    /// Tells the bucket of a key what waits there.
    fn tell_line(&mut self, key: &RateKey) {
        let line = self.lines.get(key);
        let oldest = line.and_then(VecDeque::front).map(|first| first.since);
        let waiting = WaitingLine {
            length: line.map_or(0, VecDeque::len),
            oldest: oldest.unwrap_or_default(),
        };
        self.set.set_waiting(key, waiting);
    }
}

fn wake_first(line: &VecDeque<LineEntry>) {
    if let Some(first) = line.front() {
        first.turn.notify_one();
    }
}

fn exceeded(later: Duration) -> RequestError {
    RequestError::from(ErrorKind::RateExceeded).with_retry_after(later)
}
