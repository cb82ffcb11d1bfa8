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
use tokio::{
    sync::Notify,
    time::Instant, //
};

/// Upper bound of computed waits, which grow without limit for rates near zero.
const WAIT_MAX: Duration = Duration::from_secs(86_400);

/// Maximum number of reports that are remembered until their replies arrive.
const UNANSWERED_REPORTS_MAX: usize = 64;

/// Position in a queue: the most urgent first, and among these the first to arrive.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueuePosition {
    urgency: u32,
    number: u64,
}

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
    waiting: BTreeMap<QueuePosition, WaitingRequest>,
}

/// A request that waits for a token.
struct WaitingRequest {
    since: Moment,
    /// Notified when the request has become the first of its queue.
    first: Arc<Notify>,
}

impl RequestQueue {
    /// Returns the number of requests that are served before one of a given urgency.
    fn ahead_of(&self, urgency: u32) -> usize {
        let last = QueuePosition {
            urgency,
            number: u64::MAX,
        };
        self.waiting.range(..=last).count()
    }

    fn notify_first(&self) {
        if let Some((_, request)) = self.waiting.first_key_value() {
            request.first.notify_one();
        }
    }
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

    /// Returns the number of requests that are served before another one of a given urgency.
    pub(super) fn count_ahead(&self, key: &RateKey, urgency: u32) -> usize {
        let queue = self.queues.get(key);
        queue.map_or(0, |queue| queue.ahead_of(urgency))
    }

    /// Returns the minimum time that another request of a given urgency would have to wait.
    pub(super) fn min_wait(&mut self, key: &RateKey, urgency: u32) -> Duration {
        let ahead = self.count_ahead(key, urgency);
        self.set.min_wait(key, ahead + 1).min(WAIT_MAX)
    }

    pub(super) fn retry_after(&mut self, now: Instant, key: &RateKey) -> Duration {
        let waiting = self.waiting_count(key);
        let now = self.moment(now);
        self.set.retry_after(now, key, waiting).min(WAIT_MAX)
    }

    fn enter_queue(
        &mut self,
        now: Instant,
        key: &RateKey,
        urgency: u32,
    ) -> (QueuePosition, Arc<Notify>) {
        let position = QueuePosition {
            urgency,
            number: self.next_number,
        };
        self.next_number += 1;
        let request = WaitingRequest {
            since: self.moment(now),
            first: Arc::default(),
        };
        let first = Arc::clone(&request.first);
        let queue = self.queues.entry(key.clone()).or_default();
        queue.waiting.insert(position, request);
        (position, first)
    }

    fn leave_queue(&mut self, key: &RateKey, position: QueuePosition) {
        if let Some(queue) = self.queues.get_mut(key) {
            queue.waiting.remove(&position);
            queue.notify_first();
        }
    }

    fn is_first(&self, key: &RateKey, position: QueuePosition) -> bool {
        let queue = self.queues.get(key);
        let first = queue.and_then(|queue| queue.waiting.first_key_value());
        first.is_some_and(|(first, _)| *first == position)
    }

    fn update_waiting(&mut self) {
        for (key, queue) in &self.queues {
            let oldest = queue.waiting.values().map(|request| request.since).min();
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
    position: QueuePosition,
    first: Arc<Notify>,
}

impl<'a> QueueGuard<'a> {
    /// Enters the queue of a key; `state` is locked by the caller as `locked`.
    pub(super) fn enter(
        state: &'a Mutex<GateState>,
        locked: &mut GateState,
        now: Instant,
        key: &RateKey,
        urgency: u32,
    ) -> Self {
        let (position, first) = locked.enter_queue(now, key, urgency);
        Self {
            state,
            key: key.clone(),
            position,
            first,
        }
    }

    /// Returns whether the request is the first of its queue; `locked` is the locked state.
    pub(super) fn is_first(&self, locked: &GateState) -> bool {
        locked.is_first(&self.key, self.position)
    }

    /// Waits until the request has become the first of its queue.
    pub(super) async fn became_first(&self) {
        self.first.notified().await;
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.state.lock().leave_queue(&self.key, self.position);
    }
}
