//! Token buckets of this instance and the queues of requests that wait for tokens.

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

/// Upper bound of computed waits, which grow without limit for rates near zero.
const WAIT_MAX: Duration = Duration::from_secs(86_400);

/// Maximum number of reports that are remembered until their replies arrive.
const UNANSWERED_REPORTS_MAX: usize = 64;

/// A fair lock: waiters acquire it in the order of their requests.
pub(super) type TurnLock = Arc<tokio::sync::Mutex<()>>;

/// The buckets and the requests that wait for their tokens.
pub(super) struct GateState {
    origin: Instant,
    document: Option<DocumentNumber>,
    set: BucketSet,
    queues: BTreeMap<RateKey, RequestQueue>,
    next_number: u64,
    sequence: u64,
    unanswered: VecDeque<(u64, Moment)>,
}

#[derive(Default)]
struct RequestQueue {
    turn: TurnLock,
    waiting: BTreeMap<u64, Moment>,
}

impl GateState {
    pub(super) fn new(origin: Instant) -> Self {
        Self {
            origin,
            document: None,
            set: BucketSet::new(),
            queues: BTreeMap::new(),
            next_number: 0,
            sequence: 0,
            unanswered: VecDeque::new(),
        }
    }

    /// Applies the rates of a document that is newer than the last one.
    pub(super) fn update_rates(&mut self, view: &FleetView) {
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
        self.update_waiting();
        self.sequence += 1;
        if self.unanswered.len() == UNANSWERED_REPORTS_MAX {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back((self.sequence, now));
        self.set.report(now, self.sequence)
    }

    pub(super) fn is_report_due(&mut self, now: Instant) -> bool {
        self.update_waiting();
        self.set.is_report_due(self.moment(now))
    }

    pub(super) fn apply(&mut self, now: Instant, lease: Duration, reply: &ShareReply) {
        let now = self.moment(now);
        let sent = self.unanswered.iter();
        let mut sent = sent.filter(|(sequence, _)| *sequence == reply.sequence);
        if let Some((_, at)) = sent.next_back().copied() {
            self.set.apply(now, at, lease, reply);
        }
    }

    pub(super) fn return_shares(&mut self, now: Instant) {
        self.set.leave(self.moment(now));
    }

    pub(super) fn record_request(&mut self, now: Instant, key: &RateKey) {
        self.set.count(self.moment(now), key);
    }

    pub(super) fn take(&mut self, now: Instant, key: &RateKey) -> Result<(), TokenUnavailable> {
        self.set.take(self.moment(now), key)
    }

    /// Returns whether tokens accrue on this instance; otherwise only control can grant them.
    pub(super) fn has_share(&mut self, now: Instant, key: &RateKey) -> bool {
        let now = self.moment(now);
        self.set.share(now, key).rate > 0
    }

    /// Returns the number of requests that wait for a token of a key.
    pub(super) fn waiting_count(&self, key: &RateKey) -> usize {
        self.queues.get(key).map_or(0, |queue| queue.waiting.len())
    }

    pub(super) fn has_waiting(&self) -> bool {
        self.queues.values().any(|queue| !queue.waiting.is_empty())
    }

    /// Returns the minimum time that another request would have to wait.
    pub(super) fn min_wait(&mut self, key: &RateKey) -> Duration {
        let waiting = self.waiting_count(key);
        self.set.min_wait(key, waiting + 1).min(WAIT_MAX)
    }

    pub(super) fn retry_after(&mut self, now: Instant, key: &RateKey) -> Duration {
        let waiting = self.waiting_count(key);
        let now = self.moment(now);
        self.set.retry_after(now, key, waiting).min(WAIT_MAX)
    }

    pub(super) fn turn_lock(&mut self, key: &RateKey) -> TurnLock {
        Arc::clone(&self.queues.entry(key.clone()).or_default().turn)
    }

    pub(super) fn enter_queue(&mut self, now: Instant, key: &RateKey) -> u64 {
        let now = self.moment(now);
        let number = self.next_number;
        self.next_number += 1;
        let queue = self.queues.entry(key.clone()).or_default();
        queue.waiting.insert(number, now);
        number
    }

    fn leave_queue(&mut self, key: &RateKey, number: u64) {
        if let Some(queue) = self.queues.get_mut(key) {
            queue.waiting.remove(&number);
        }
    }

    fn update_waiting(&mut self) {
        for (key, queue) in &self.queues {
            let oldest = queue.waiting.first_key_value().map(|(_, since)| *since);
            let waiting = WaitingQueue {
                length: queue.waiting.len(),
                oldest: oldest.unwrap_or_default(),
            };
            self.set.set_waiting(key, waiting);
        }
    }

    fn moment(&self, at: Instant) -> Moment {
        Moment::after_origin(at.saturating_duration_since(self.origin))
    }
}

/// A position in a queue, which is given up on drop.
pub(super) struct QueueGuard<'a> {
    state: &'a Mutex<GateState>,
    key: RateKey,
    number: u64,
    turn_lock: TurnLock,
}

impl<'a> QueueGuard<'a> {
    pub(super) fn new(
        state: &'a Mutex<GateState>,
        key: RateKey,
        number: u64,
        turn_lock: TurnLock,
    ) -> Self {
        Self {
            state,
            key,
            number,
            turn_lock,
        }
    }

    /// Returns the lock that the request at the head of the queue holds.
    pub(super) fn turn_lock(&self) -> &TurnLock {
        &self.turn_lock
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.state.lock().leave_queue(&self.key, self.number);
    }
}
