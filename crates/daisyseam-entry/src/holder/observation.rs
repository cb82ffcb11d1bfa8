//! Observes a database's state: by long polling while a request waits for a position, otherwise at a
//! fixed interval.

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
const IDLE_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a query without an answer counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time that the database is asked to delay its answer in a long poll.
const LONG_POLL: Duration = Duration::from_millis(1_000);

/// Time after a failed long poll before the next.
const LONG_POLL_RETRY: Duration = Duration::from_millis(50);

/// The last known state of a database.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamObservation {
    /// State of the database, if it has ever answered.
    pub state: Option<UpstreamState>,
    /// Time at which the state was requested; it was read at or after this.
    pub asked_at: Option<Instant>,
    /// Time at which the last answer was received.
    pub heard_at: Option<Instant>,
    /// Time of the last answer before queries began to fail; none while the database answers.
    pub silent_since: Option<Instant>,
}

impl UpstreamObservation {
    /// Returns the parts of the observation whose change is notified immediately.
    fn outline(&self) -> (bool, Option<(Term, Term, UpstreamRole)>) {
        let state = self.state.as_ref();
        let state = state.map(|state| (state.promised, state.end.term, state.role));
        (self.silent_since.is_some(), state)
    }

    /// Records the answer to a query sent at `asked`.
    fn record_answer(&mut self, asked: Instant, state: UpstreamState) {
        // Answers may arrive out of order; an older state must not replace a newer one.
        let later = self.heard_at.is_none_or(|heard| asked >= heard);
        let further = self
            .state
            .as_ref()
            .is_none_or(|held| (state.promised, state.end) >= (held.promised, held.end));
        if later || further {
            self.state = Some(state);
        }
        self.asked_at = self.asked_at.max(Some(asked));
        self.heard_at = Some(Instant::now());
        self.silent_since = None;
    }

    /// Records that a query sent at `asked` failed.
    fn record_failure(&mut self, asked: Instant) {
        // An answer received since then outweighs this failure.
        if self.heard_at.is_none_or(|heard| heard <= asked) {
            self.silent_since
                .get_or_insert(self.heard_at.unwrap_or(asked));
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
    /// `news` is notified when the database stops answering, answers again, or changes its term or
    /// role.
    pub fn start<P: UpstreamProbe>(probe: P, timer: TimerService, news: Arc<Notify>) -> Self {
        let shared = Arc::new(ObservationShared {
            observation: watch::Sender::default(),
            wanted: Mutex::default(),
            wanted_changed: Notify::new(),
            refresh: watch::Sender::new(Instant::now()),
            news,
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
        self.shared.want_refresh(Instant::now());
    }

    /// Returns a state read after the start of this call, or nothing if the deadline passes.
    ///
    /// Concurrent calls share queries.
    pub async fn fresh(&self, deadline: Instant) -> Option<UpstreamState> {
        let called = Instant::now();
        let mut receiver = self.shared.observation.subscribe();
        self.shared.want_refresh(called);
        let answered =
            receiver.wait_for(|observation| observation.asked_at.is_some_and(|at| at >= called));
        let observation = self.shared.timer.within(deadline, answered).await?.ok()?;
        observation.state.clone()
    }

    /// Waits until the state satisfies a condition, and returns it; returns nothing if the deadline
    /// passes.
    ///
    /// `at` is the position for which the database is polled.
    pub async fn until(
        &self,
        at: LogPosition,
        deadline: Instant,
        fits: impl Fn(&UpstreamState) -> bool,
    ) -> Option<UpstreamState> {
        let mut receiver = self.shared.observation.subscribe();
        let _wanted = WantedGuard::new(&self.shared, at);
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
    news: Arc<Notify>,
    timer: TimerService,
}

impl ObservationShared {
    fn want_refresh(&self, at: Instant) {
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

    fn publish(&self, asked: Instant, result: Result<UpstreamState, ProbeError>) {
        match result {
            Ok(state) => self.change(|observation| observation.record_answer(asked, state)),
            Err(error) => {
                log::debug!("failed to read the state of a database: {error}");
                self.record_failure(asked);
            }
        }
    }

    fn record_failure(&self, asked: Instant) {
        self.change(|observation| observation.record_failure(asked));
    }

    fn change(&self, change: impl FnOnce(&mut UpstreamObservation)) {
        self.observation.send_modify(|observation| {
            let before = observation.outline();
            change(observation);
            if observation.outline() != before {
                self.news.notify_one();
            }
        });
    }
}

/// Keeps a position requested until dropped.
struct WantedGuard<'a> {
    shared: &'a ObservationShared,
    at: LogPosition,
}

impl<'a> WantedGuard<'a> {
    fn new(shared: &'a ObservationShared, at: LogPosition) -> Self {
        *shared.wanted.lock().entry(at).or_default() += 1;
        shared.wanted_changed.notify_one();
        Self { shared, at }
    }
}

impl Drop for WantedGuard<'_> {
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
        let asked = Instant::now();
        let deadline = asked + PROBE_TIMEOUT;
        match shared.timer.within(deadline, probe.state()).await {
            Some(result) => shared.publish(asked, result),
            None => shared.record_failure(asked),
        }
        // A query that fails immediately must not cause a busy loop.
        let failing = shared.observation.borrow().silent_since.is_some();
        if failing {
            shared.timer.after(LONG_POLL_RETRY).await;
        }
        let wanted = refresh.wait_for(|wanted| *wanted > asked);
        if let Some(Err(_)) = shared.timer.within(asked + IDLE_INTERVAL, wanted).await {
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
        let asked = Instant::now();
        let answer = probe.wait_state(at, LONG_POLL);
        let answer = shared
            .timer
            .within(asked + LONG_POLL + PROBE_TIMEOUT, answer);
        tokio::select! {
            result = answer => match result {
                Some(Ok(state)) => shared.publish(asked, Ok(state)),
                Some(Err(_)) | None => shared.timer.after(LONG_POLL_RETRY).await,
            },
            () = lower_wanted(&shared, at) => {}
        }
    }
}

/// Waits until a lower position is requested, or this one no longer is.
async fn lower_wanted(shared: &ObservationShared, at: LogPosition) {
    loop {
        shared.wanted_changed.notified().await;
        if shared.lowest_wanted().is_none_or(|lowest| lowest < at) {
            return;
        }
    }
}
