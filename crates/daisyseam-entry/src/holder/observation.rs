//! Observes a database's state: by long polling while a request waits for a position, otherwise
//! at a fixed interval.

use crate::database::{
    ProbeError,
    UpstreamProbe, //
};
use daisyseam_model::{
    LogPosition,
    Term,
    announce::{
        UpstreamRole,
        UpstreamState, //
    }, //
};
use daisyseam_runtime::TimerService;
use parking_lot::Mutex;
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    sync::{
        Notify,
        watch, //
    },
    task::JoinHandle,
    time::Instant, //
};

/// Time between two queries while no request waits.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a query without an answer counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time that the database is asked to delay its answer in a long poll.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1_000);

/// Time after a failed long poll before the next.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The last known state of a database.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamObservation {
    /// State of the database, if it has ever answered.
    pub state: Option<UpstreamState>,
    /// Time at which the state was requested; it was read at or after this.
    pub requested_at: Option<Instant>,
    /// Time at which the last answer was received.
    pub last_reply_at: Option<Instant>,
    /// Time of the last answer before queries began to fail; none while the database answers.
    pub no_reply_since: Option<Instant>,
}

impl UpstreamObservation {
    /// Returns the parts of the observation whose change is notified immediately.
    fn notified_parts(&self) -> (bool, Option<(Term, Term, UpstreamRole)>) {
        let state = self.state.as_ref();
        let state = state.map(|state| (state.promised, state.end.term, state.role));
        (self.no_reply_since.is_some(), state)
    }

    /// Records the answer to a query sent at `requested_at`.
    fn record_answer(&mut self, requested_at: Instant, state: UpstreamState) {
        // Answers may arrive out of order; an older state must not replace a newer one.
        let later = self
            .last_reply_at
            .is_none_or(|replied| requested_at >= replied);
        let further = self
            .state
            .as_ref()
            .is_none_or(|known| (state.promised, state.end) >= (known.promised, known.end));
        if later || further {
            self.state = Some(state);
        }
        self.requested_at = self.requested_at.max(Some(requested_at));
        self.last_reply_at = Some(Instant::now());
        self.no_reply_since = None;
    }

    /// Records that a query sent at `requested_at` failed.
    fn record_failure(&mut self, requested_at: Instant) {
        // An answer received since then outweighs this failure.
        if self
            .last_reply_at
            .is_none_or(|replied| replied <= requested_at)
        {
            self.no_reply_since
                .get_or_insert(self.last_reply_at.unwrap_or(requested_at));
        }
    }
}

/// Keeps an [`UpstreamObservation`] up to date until it is dropped.
pub struct ObservationWatch {
    shared: Arc<ObservationShared>,
    tasks: [JoinHandle<()>; 2],
}

impl ObservationWatch {
    /// Starts to observe a database.
    ///
    /// `change_notify` is notified when the database stops answering, answers again, or changes its
    /// term or role.
    pub fn start<P: UpstreamProbe>(
        probe: P,
        timer: TimerService,
        change_notify: Arc<Notify>,
    ) -> Self {
        let shared = Arc::new(ObservationShared {
            observation: watch::Sender::default(),
            wanted: Mutex::default(),
            wanted_changed: Notify::new(),
            refresh: watch::Sender::new(Instant::now()),
            change_notify,
            timer,
        });
        let refresh = refresh_loop(Arc::clone(&shared), probe.clone());
        let poll = long_poll_loop(Arc::clone(&shared), probe);
        Self {
            tasks: [tokio::spawn(refresh), tokio::spawn(poll)],
            shared,
        }
    }

    /// Returns the current observation.
    pub fn observation(&self) -> UpstreamObservation {
        self.shared.observation.borrow().clone()
    }

    /// Queries the database immediately, without waiting for the answer.
    pub fn refresh(&self) {
        self.shared.request_refresh(Instant::now());
    }

    /// Returns a state read after the start of this call, or nothing if the deadline passes.
    ///
    /// Concurrent calls share queries.
    pub async fn fresh_state(&self, deadline: Instant) -> Option<UpstreamState> {
        let called = Instant::now();
        let mut receiver = self.shared.observation.subscribe();
        self.shared.request_refresh(called);
        let answered = receiver
            .wait_for(|observation| observation.requested_at.is_some_and(|at| at >= called));
        let observation = self.shared.timer.within(deadline, answered).await?.ok()?;
        observation.state.clone()
    }

    /// Waits until the state satisfies a condition, and returns it; returns nothing if the deadline
    /// passes.
    ///
    /// `at` is the position for which the database is polled.
    pub async fn wait_until(
        &self,
        at: LogPosition,
        deadline: Instant,
        fits: impl Fn(&UpstreamState) -> bool,
    ) -> Option<UpstreamState> {
        let mut receiver = self.shared.observation.subscribe();
        let _wanted = WantedPosition::new(&self.shared, at);
        let reached =
            receiver.wait_for(|observation| observation.state.as_ref().is_some_and(&fits));
        let observation = self.shared.timer.within(deadline, reached).await?.ok()?;
        observation.state.clone()
    }
}

impl Drop for ObservationWatch {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

struct ObservationShared {
    observation: watch::Sender<UpstreamObservation>,
    wanted: Mutex<BTreeMap<LogPosition, usize>>,
    wanted_changed: Notify,
    refresh: watch::Sender<Instant>,
    change_notify: Arc<Notify>,
    timer: TimerService,
}

impl ObservationShared {
    fn request_refresh(&self, at: Instant) {
        self.refresh.send_if_modified(|wanted| {
            let later = at > *wanted;
            if later {
                *wanted = at;
            }
            later
        });
    }

    /// Returns the lowest requested position that the database is not known to have reached.
    fn lowest_wanted(&self) -> Option<LogPosition> {
        let end = self
            .observation
            .borrow()
            .state
            .as_ref()
            .map(|state| state.end);
        let wanted = self.wanted.lock();
        wanted
            .keys()
            .copied()
            .find(|at| end.is_none_or(|end| end < *at))
    }

    fn publish(&self, requested_at: Instant, result: Result<UpstreamState, ProbeError>) {
        match result {
            Ok(state) => self.change(|observation| observation.record_answer(requested_at, state)),
            Err(error) => {
                log::debug!("failed to read the state of a database: {error}");
                self.record_failure(requested_at);
            }
        }
    }

    fn record_failure(&self, requested_at: Instant) {
        self.change(|observation| observation.record_failure(requested_at));
    }

    fn change(&self, change: impl FnOnce(&mut UpstreamObservation)) {
        self.observation.send_modify(|observation| {
            let before = observation.notified_parts();
            change(observation);
            if observation.notified_parts() != before {
                self.change_notify.notify_one();
            }
        });
    }
}

/// Keeps a position requested until dropped.
struct WantedPosition<'a> {
    shared: &'a ObservationShared,
    at: LogPosition,
}

impl<'a> WantedPosition<'a> {
    fn new(shared: &'a ObservationShared, at: LogPosition) -> Self {
        *shared.wanted.lock().entry(at).or_default() += 1;
        shared.wanted_changed.notify_one();
        Self { shared, at }
    }
}

impl Drop for WantedPosition<'_> {
    fn drop(&mut self) {
        let mut wanted = self.shared.wanted.lock();
        if let Some(count) = wanted.get_mut(&self.at) {
            *count -= 1;
            if *count == 0 {
                wanted.remove(&self.at);
            }
        }
    }
}

async fn refresh_loop<P: UpstreamProbe>(shared: Arc<ObservationShared>, probe: P) {
    let mut refresh = shared.refresh.subscribe();
    loop {
        let requested_at = Instant::now();
        let deadline = requested_at + PROBE_TIMEOUT;
        match shared.timer.within(deadline, probe.state()).await {
            Some(result) => shared.publish(requested_at, result),
            None => shared.record_failure(requested_at),
        }
        // A query that fails immediately must not cause a busy loop.
        let failing = shared.observation.borrow().no_reply_since.is_some();
        if failing {
            shared.timer.after(RETRY_DELAY).await;
        }
        let wanted = refresh.wait_for(|wanted| *wanted > requested_at);
        if let Some(Err(_)) = shared
            .timer
            .within(requested_at + IDLE_POLL_INTERVAL, wanted)
            .await
        {
            return;
        }
    }
}

async fn long_poll_loop<P: UpstreamProbe>(shared: Arc<ObservationShared>, probe: P) {
    loop {
        let Some(at) = shared.lowest_wanted() else {
            shared.wanted_changed.notified().await;
            continue;
        };
        let requested_at = Instant::now();
        let answer = probe.wait_state(at, LONG_POLL_WAIT);
        let answer = shared
            .timer
            .within(requested_at + LONG_POLL_WAIT + PROBE_TIMEOUT, answer);
        tokio::select! {
            result = answer => match result {
                Some(Ok(state)) => shared.publish(requested_at, Ok(state)),
                Some(Err(_)) | None => shared.timer.after(RETRY_DELAY).await,
            },
            () = wait_for_lower_wanted(&shared, at) => {}
        }
    }
}

/// Waits until a lower position is requested, or this one no longer is.
async fn wait_for_lower_wanted(shared: &ObservationShared, at: LogPosition) {
    loop {
        shared.wanted_changed.notified().await;
        if shared.lowest_wanted().is_none_or(|lowest| lowest < at) {
            return;
        }
    }
}
