//! The buckets of this instance and the lines of requests before them.

use daisyseam_coord::{
    Moment,
    quota::{
        BucketSet,
        RateKey,
        ShareReply,
        ShareReport,
        TokenUnavailable,
        WaitingQueue,
        document_rates, //
    }, //
};
use daisyseam_model::{
    DocumentNumber,
    FleetView, //
};
use daisyseam_runtime::BootClock;
use parking_lot::Mutex;
use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    sync::Arc,
    time::Duration, //
};
use tokio::time::Instant;

/// Longest wait that is counted with, for rates near zero.
const WAIT_MAX: Duration = Duration::from_secs(86_400);

/// Most reports whose answers are waited for.
const SENT_MAX: usize = 64;

/// A lock that is handed on in the order in which it was asked for.
pub(super) type TurnLock = Arc<tokio::sync::Mutex<()>>;

/// The buckets and who waits before them.
pub(super) struct GateState {
    origin: Instant,
    document: Option<DocumentNumber>,
    set: BucketSet,
    lines: BTreeMap<RateKey, RequestLine>,
    next_number: u64,
    sequence: u64,
    sent: VecDeque<(u64, Moment)>,
}

#[derive(Default)]
struct RequestLine {
    turn: TurnLock,
    waiting: BTreeMap<u64, Moment>,
}

impl GateState {
    pub(super) fn new(origin: Instant) -> Self {
        Self {
            origin,
            document: None,
            set: BucketSet::new(),
            lines: BTreeMap::new(),
            next_number: 0,
            sequence: 0,
            sent: VecDeque::new(),
        }
    }

    /// Takes over the rates of a document that has not been seen yet.
    pub(super) fn take_document(&mut self, view: &FleetView) {
        let Some(document) = view.document.as_deref() else {
            return;
        };
        if self.document >= Some(view.document_number) {
            return;
        }
        self.document = Some(view.document_number);
        let now = self.moment(BootClock::now());
        self.set.set_totals(now, document_rates(document));
    }

    pub(super) fn report(&mut self, now: Instant) -> ShareReport {
        let now = self.moment(now);
        self.report_waiting();
        self.sequence += 1;
        if self.sent.len() == SENT_MAX {
            self.sent.pop_front();
        }
        self.sent.push_back((self.sequence, now));
        self.set.report(now, self.sequence)
    }

    pub(super) fn is_report_due(&mut self, now: Instant) -> bool {
        self.report_waiting();
        self.set.is_report_due(self.moment(now))
    }

    pub(super) fn apply(&mut self, now: Instant, lease: Duration, reply: &ShareReply) {
        let now = self.moment(now);
        let sent = self.sent.iter();
        let mut sent = sent.filter(|(sequence, _)| *sequence == reply.sequence);
        if let Some((_, at)) = sent.next_back().copied() {
            self.set.apply(now, at, lease, reply);
        }
    }

    pub(super) fn leave(&mut self, now: Instant) {
        self.set.leave(self.moment(now));
    }

    pub(super) fn count(&mut self, now: Instant, key: &RateKey) {
        self.set.count(self.moment(now), key);
    }

    pub(super) fn take(&mut self, now: Instant, key: &RateKey) -> Result<(), TokenUnavailable> {
        self.set.take(self.moment(now), key)
    }

    /// Returns whether tokens accrue here: otherwise only control can give some.
    pub(super) fn has_share(&mut self, now: Instant, key: &RateKey) -> bool {
        let now = self.moment(now);
        self.set.share(now, key).rate > 0
    }

    /// Returns the number of requests that wait for a token of a key.
    pub(super) fn waiting(&self, key: &RateKey) -> usize {
        self.lines.get(key).map_or(0, |line| line.waiting.len())
    }

    pub(super) fn has_waiting(&self) -> bool {
        self.lines.values().any(|line| !line.waiting.is_empty())
    }

    /// Returns the least time that one more request has to wait.
    pub(super) fn least_wait(&mut self, key: &RateKey) -> Duration {
        let waiting = self.waiting(key);
        self.set.min_wait(key, waiting + 1).min(WAIT_MAX)
    }

    pub(super) fn retry_after(&mut self, now: Instant, key: &RateKey) -> Duration {
        let waiting = self.waiting(key);
        let now = self.moment(now);
        self.set.retry_after(now, key, waiting).min(WAIT_MAX)
    }

    pub(super) fn line(&mut self, key: &RateKey) -> TurnLock {
        Arc::clone(&self.lines.entry(key.clone()).or_default().turn)
    }

    pub(super) fn enter_queue(&mut self, now: Instant, key: &RateKey) -> u64 {
        let now = self.moment(now);
        let number = self.next_number;
        self.next_number += 1;
        let line = self.lines.entry(key.clone()).or_default();
        line.waiting.insert(number, now);
        number
    }

    fn leave_queue(&mut self, key: &RateKey, number: u64) {
        if let Some(line) = self.lines.get_mut(key) {
            line.waiting.remove(&number);
        }
    }

    fn report_waiting(&mut self) {
        for (key, line) in &self.lines {
            let oldest = line.waiting.first_key_value().map(|(_, since)| *since);
            let waiting = WaitingQueue {
                length: line.waiting.len(),
                oldest: oldest.unwrap_or_default(),
            };
            self.set.set_waiting(key, waiting);
        }
    }

    fn moment(&self, at: Instant) -> Moment {
        Moment::after_origin(at.saturating_duration_since(self.origin))
    }
}

/// A place in a line; dropping it leaves the line.
pub(super) struct QueueGuard<'a> {
    state: &'a Mutex<GateState>,
    key: RateKey,
    number: u64,
    line: TurnLock,
}

impl<'a> QueueGuard<'a> {
    pub(super) fn new(
        state: &'a Mutex<GateState>,
        key: RateKey,
        number: u64,
        line: TurnLock,
    ) -> Self {
        Self {
            state,
            key,
            number,
            line,
        }
    }

    /// Returns the lock that is this request's turn once it has it.
    pub(super) fn line(&self) -> &TurnLock {
        &self.line
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.state.lock().leave_queue(&self.key, self.number);
    }
}
