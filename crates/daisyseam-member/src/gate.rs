//! Rates and bursts over the whole fleet, as this instance's share of them.

mod counters;
mod state;

use self::state::{
    GateState,
    QueueGuard, //
};
use crate::{
    HeldView,
    ViewCell, //
};
use daisyseam_coord::quota::{
    RateKey, //
    TokenUnavailable,
};
use daisyseam_model::{
    ErrorKind,
    FleetView,
    OrganisationId,
    RequestError,
    ServiceId, //
};
use daisyseam_runtime::{
    BootClock,
    MetricClient,
    TimerService, //
};
use daisyseam_wire::{
    WireShareReply,
    WireShareReport, //
};
use parking_lot::Mutex;
use std::{
    future::Future,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};

/// Longest wait for a lease where only one moment is given.
const VIEW_WAIT: Duration = Duration::from_secs(2);

/// Time between two looks at whether a report is due while requests wait.
const REPORT_LOOK: Duration = Duration::from_millis(25);

/// Until when a request waits to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmitTimes {
    /// For its turn, where this instance has a share of the rate.
    pub token: Instant,
    /// For the lease on the view and for a share, where there is none.
    pub share: Instant,
}

/// Waits for a turn until a moment, and for a lease no longer than [`VIEW_WAIT`] of it.
impl From<Instant> for AdmitTimes {
    fn from(until: Instant) -> Self {
        Self {
            token: until,
            share: until.min(Instant::now() + VIEW_WAIT),
        }
    }
}

/// Admits requests within an organisation's rate and burst.
pub trait RateGate: Clone + Send + Sync + 'static {
    /// Waits for a token, but not past the deadline.
    ///
    /// # Errors
    ///
    /// `RateExceeded` with the time after which to come back.
    fn admit(
        &self,
        organisation: &OrganisationId,
        deadline: Instant,
    ) -> impl Future<Output = Result<(), RequestError>> + Send;

    /// Waits for a token, and for a lease or a share, each up to its time.
    ///
    /// # Errors
    ///
    /// As of [`Self::admit`].
    fn admit_within(
        &self,
        organisation: &OrganisationId,
        times: AdmitTimes,
    ) -> impl Future<Output = Result<(), RequestError>> + Send {
        self.admit(organisation, times.token)
    }

    /// Waits for a token of a service's open route, but not past the deadline.
    ///
    /// # Errors
    ///
    /// `RateExceeded` with the time after which to come back.
    fn admit_open(
        &self,
        service: &ServiceId,
        deadline: Instant,
    ) -> impl Future<Output = Result<(), RequestError>> + Send;

    /// Waits for a token of an open route, and for a lease or a share, each up to its time.
    ///
    /// # Errors
    ///
    /// As of [`Self::admit_open`].
    fn admit_open_within(
        &self,
        service: &ServiceId,
        times: AdmitTimes,
    ) -> impl Future<Output = Result<(), RequestError>> + Send {
        self.admit_open(service, times.token)
    }
}

/// Admits requests within this instance's share of each rate; cheap to clone.
///
/// Requests wait in line for a token. One that could not be served in time even if the whole rate
/// were here is refused at once.
#[derive(Clone)]
pub struct FleetGate {
    shared: Arc<GateShared>,
}

struct GateShared {
    cell: ViewCell,
    timer: TimerService,
    state: Mutex<GateState>,
    metrics: MetricClient,
    /// Changes when shares have changed.
    shares: watch::Sender<()>,
    /// Changes when a report may have become due.
    stirred: watch::Sender<()>,
}

impl FleetGate {
    /// Makes a gate without shares, whose counters nobody reads.
    pub fn new(cell: ViewCell, timer: TimerService) -> Self {
        Self::with_metrics(cell, timer, MetricClient::local())
    }

    /// Makes a gate without shares.
    pub fn with_metrics(cell: ViewCell, timer: TimerService, metrics: MetricClient) -> Self {
        let shared = GateShared {
            cell,
            timer,
            state: Mutex::new(GateState::new(BootClock::now())),
            metrics,
            shares: watch::Sender::new(()),
            stirred: watch::Sender::new(()),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns what control must know of shares, to be sent now.
    pub fn report(&self) -> WireShareReport {
        let view = Arc::clone(&self.shared.cell.held().view);
        let mut state = self.shared.state.lock();
        state.take_document(&view);
        WireShareReport::present(&state.report(BootClock::now()))
    }

    /// Waits until a report should not wait for the next heartbeat.
    pub async fn report_due(&self) {
        let mut stirred = self.shared.stirred.subscribe();
        loop {
            let (due, waiting) = {
                let mut state = self.shared.state.lock();
                (state.is_report_due(BootClock::now()), state.has_waiting())
            };
            if due {
                return;
            }
            // The sender lives in `self`, so waiting cannot fail.
            if waiting {
                let look = Instant::now() + REPORT_LOOK;
                let _ = self.shared.timer.within(look, stirred.changed()).await;
            } else {
                let _ = stirred.changed().await;
            }
        }
    }

    /// Takes the answer to a report in; the lease on shares is `lease` long.
    pub fn replied(&self, reply: &WireShareReply, lease: Duration) {
        match reply.read() {
            Ok(reply) => self
                .shared
                .state
                .lock()
                .apply(BootClock::now(), lease, &reply),
            Err(error) => log::warn!("shares cannot be read: {error}"),
        }
        self.shared.shares.send_replace(());
        self.shared.stirred.send_replace(());
    }

    /// Returns all shares for good: no caller is left.
    pub fn leave(&self) {
        self.shared.state.lock().leave(BootClock::now());
        self.shared.stirred.send_replace(());
    }

    async fn take(&self, key: RateKey, times: AdmitTimes) -> Result<(), RequestError> {
        let metrics = &self.shared.metrics;
        let view = self.view(times.share).await?;
        let Some((guard, deadline)) = self.begin(&view, &key, times)? else {
            metrics.count(counters::TOKEN_AT_ONCE);
            return Ok(());
        };
        self.shared.stirred.send_replace(());
        let mut shares = self.shared.shares.subscribe();
        let timer = &self.shared.timer;
        let Some(_turn) = timer.within(deadline, guard.line().lock()).await else {
            return Err(self.refusal(&key));
        };
        loop {
            let ready = match self.take_now(&key)? {
                None => {
                    metrics.count(counters::TOKEN_WAITED);
                    return Ok(());
                }
                Some(ready) => ready.unwrap_or(deadline).min(deadline),
            };
            if Instant::now() >= deadline {
                return Err(self.refusal(&key));
            }
            let _ = timer.within(ready, shares.changed()).await;
        }
    }

    /// Takes a token if there is one and nobody waits, else a place in the line until a moment.
    fn begin<'a>(
        &'a self,
        view: &FleetView,
        key: &RateKey,
        times: AdmitTimes,
    ) -> Result<Option<(QueueGuard<'a>, Instant)>, RequestError> {
        let mut state = self.shared.state.lock();
        // Taken under the lock, so that no wait for it makes a lease seem longer.
        let now = BootClock::now();
        state.take_document(view);
        state.count(now, key);
        let mut deadline = times.token;
        if state.waiting(key) == 0 {
            match state.take(now, key) {
                Ok(()) => return Ok(None),
                Err(TokenUnavailable::UnknownKey) => return Err(ErrorKind::ServiceDenied.into()),
                Err(TokenUnavailable::Wait(_)) => {}
            }
        }
        if !state.has_share(now, key) {
            deadline = deadline.max(times.share);
        }
        if Instant::now() + state.least_wait(key) > deadline {
            let retry_after = state.retry_after(now, key);
            self.shared.metrics.count(counters::TOKEN_REFUSED_AT_ONCE);
            return Err(rate_exceeded(retry_after));
        }
        let number = state.enter_queue(now, key);
        let line = state.line(key);
        drop(state);
        let guard = QueueGuard::new(&self.shared.state, key.clone(), number, line);
        Ok(Some((guard, deadline)))
    }

    /// Takes a token, or returns when to look again; no moment while there is no share.
    fn take_now(&self, key: &RateKey) -> Result<Option<Option<Instant>>, RequestError> {
        let mut state = self.shared.state.lock();
        match state.take(BootClock::now(), key) {
            Ok(()) => Ok(None),
            Err(TokenUnavailable::UnknownKey) => Err(ErrorKind::ServiceDenied.into()),
            Err(TokenUnavailable::Wait(wait)) => Ok(Some(wait.map(|wait| Instant::now() + wait))),
        }
    }

    /// Returns the view, waiting for a lease that has lapsed.
    async fn view(&self, until: Instant) -> Result<Arc<FleetView>, RequestError> {
        let (cell, timer) = (&self.shared.cell, &self.shared.timer);
        let held = cell.wait_for(timer, until, HeldView::is_valid).await?;
        Ok(Arc::clone(&held.view))
    }

    /// Says why a request that waited gets no token: without a lease there are no shares.
    fn refusal(&self, key: &RateKey) -> RequestError {
        let metrics = &self.shared.metrics;
        if let Err(kind) = self.shared.cell.valid() {
            metrics.count(counters::TOKEN_REFUSED_WITHOUT_LEASE);
            return kind.into();
        }
        let mut state = self.shared.state.lock();
        let now = BootClock::now();
        metrics.count(match state.has_share(now, key) {
            true => counters::TOKEN_REFUSED_WITH_SHARE,
            false => counters::TOKEN_REFUSED_WITHOUT_SHARE,
        });
        rate_exceeded(state.retry_after(now, key))
    }
}

impl RateGate for FleetGate {
    async fn admit(
        &self,
        organisation: &OrganisationId,
        deadline: Instant,
    ) -> Result<(), RequestError> {
        self.admit_within(organisation, deadline.into()).await
    }

    async fn admit_within(
        &self,
        organisation: &OrganisationId,
        times: AdmitTimes,
    ) -> Result<(), RequestError> {
        let key = RateKey::Organisation(organisation.clone());
        self.take(key, times).await
    }

    async fn admit_open(&self, service: &ServiceId, deadline: Instant) -> Result<(), RequestError> {
        self.admit_open_within(service, deadline.into()).await
    }

    async fn admit_open_within(
        &self,
        service: &ServiceId,
        times: AdmitTimes,
    ) -> Result<(), RequestError> {
        self.take(RateKey::Open(service.clone()), times).await
    }
}

fn rate_exceeded(retry_after: Duration) -> RequestError {
    RequestError::from(ErrorKind::RateExceeded).with_retry_after(retry_after)
}
