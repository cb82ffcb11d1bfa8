//! Admission control: enforces this instance's share of the fleet-wide rates and bursts.

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

/// Longest wait for a lease on the view when the caller gives a single deadline.
const VIEW_LEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which [`FleetGate::report_due`] checks again while requests are queued.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Deadlines of a request that waits for admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionDeadlines {
    /// Deadline for a token, if this instance has a share of the rate.
    pub token: Instant,
    /// Deadline for a lease on the view, and for a share if this instance has none.
    pub share: Instant,
    /// Urgency among the requests for the same rate; 0 is the most urgent.
    pub urgency: u32,
}

/// Uses one deadline for the token, and waits at most [`VIEW_LEASE_TIMEOUT`] for a lease or share.
impl From<Instant> for AdmissionDeadlines {
    fn from(until: Instant) -> Self {
        Self {
            token: until,
            share: until.min(Instant::now() + VIEW_LEASE_TIMEOUT),
            urgency: 0,
        }
    }
}

/// Admits requests within the rate and burst of an organisation or an open route.
pub trait RateGate: Clone + Send + Sync + 'static {
    /// Waits for a token until the deadline.
    ///
    /// # Errors
    ///
    /// `RateExceeded` with the time after which to retry.
    fn admit(
        &self,
        organisation: &OrganisationId,
        deadline: Instant,
    ) -> impl Future<Output = Result<(), RequestError>> + Send;

    /// Waits for a token with separate deadlines for the token and for a lease or share.
    ///
    /// # Errors
    ///
    /// The same as for [`Self::admit`].
    fn admit_within(
        &self,
        organisation: &OrganisationId,
        deadlines: AdmissionDeadlines,
    ) -> impl Future<Output = Result<(), RequestError>> + Send {
        self.admit(organisation, deadlines.token)
    }

    /// Waits until the deadline for a token of a service's open route.
    ///
    /// # Errors
    ///
    /// `RateExceeded` with the time after which to retry.
    fn admit_open(
        &self,
        service: &ServiceId,
        deadline: Instant,
    ) -> impl Future<Output = Result<(), RequestError>> + Send;

    /// Waits for a token of an open route with separate deadlines, as [`Self::admit_within`] does.
    ///
    /// # Errors
    ///
    /// The same as for [`Self::admit_open`].
    fn admit_open_within(
        &self,
        service: &ServiceId,
        deadlines: AdmissionDeadlines,
    ) -> impl Future<Output = Result<(), RequestError>> + Send {
        self.admit_open(service, deadlines.token)
    }
}

/// Admits requests within this instance's share of each rate; cheap to clone.
///
/// Requests queue for tokens in the order of urgency, and those of one urgency in arrival order. A
/// request is rejected immediately if even the whole rate of the fleet could not serve it before its
/// deadline.
#[derive(Clone)]
pub struct FleetGate {
    shared: Arc<GateShared>,
}

struct GateShared {
    cell: ViewCell,
    timer: TimerService,
    state: Mutex<GateState>,
    metrics: MetricClient,
    /// Notifies waiting requests that the shares have changed.
    shares: watch::Sender<()>,
    /// Notifies [`FleetGate::report_due`] that a report may have become due.
    report_wakeup: watch::Sender<()>,
}

impl FleetGate {
    /// Creates a gate without shares that does not export its counters.
    pub fn new(cell: ViewCell, timer: TimerService) -> Self {
        Self::with_metrics(cell, timer, MetricClient::local())
    }

    /// Creates a gate without shares.
    pub fn with_metrics(cell: ViewCell, timer: TimerService, metrics: MetricClient) -> Self {
        let shared = GateShared {
            cell,
            timer,
            state: Mutex::new(GateState::new(BootClock::now())),
            metrics,
            shares: watch::Sender::new(()),
            report_wakeup: watch::Sender::new(()),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns the report on shares to send to control now.
    pub fn report(&self) -> WireShareReport {
        let view = Arc::clone(&self.shared.cell.held().view);
        let mut state = self.shared.state.lock();
        state.update_rates(&view);
        WireShareReport::present(&state.report(BootClock::now()))
    }

    /// Waits until a report should be sent before the next regular heartbeat.
    pub async fn report_due(&self) {
        let mut report_wakeup = self.shared.report_wakeup.subscribe();
        loop {
            let (due, waiting) = {
                let mut state = self.shared.state.lock();
                (state.is_report_due(BootClock::now()), state.has_waiting())
            };
            if due {
                return;
            }
            // `self` owns the sender, so the wait cannot fail.
            if waiting {
                let next_poll = Instant::now() + REPORT_POLL_INTERVAL;
                let _ = self
                    .shared
                    .timer
                    .within(next_poll, report_wakeup.changed())
                    .await;
            } else {
                let _ = report_wakeup.changed().await;
            }
        }
    }

    /// Applies the reply to a report; `lease` is the duration of the lease on shares.
    pub fn handle_reply(&self, reply: &WireShareReply, lease: Duration) {
        match reply.read() {
            Ok(reply) => self
                .shared
                .state
                .lock()
                .apply(BootClock::now(), lease, &reply),
            Err(error) => log::warn!("cannot decode the reply on rate shares: {error}"),
        }
        self.shared.shares.send_replace(());
        self.shared.report_wakeup.send_replace(());
    }

    /// Returns all shares permanently, once no caller is connected any more.
    pub fn return_shares(&self) {
        self.shared.state.lock().return_shares(BootClock::now());
        self.shared.report_wakeup.send_replace(());
    }

    async fn acquire_token(
        &self,
        key: RateKey,
        deadlines: AdmissionDeadlines,
    ) -> Result<(), RequestError> {
        let metrics = &self.shared.metrics;
        let view = self.leased_view(deadlines.share).await?;
        let Some((guard, deadline)) = self.take_or_enqueue(&view, &key, deadlines)? else {
            metrics.count(counters::TOKEN_AT_ONCE);
            return Ok(());
        };
        self.shared.report_wakeup.send_replace(());
        let mut shares = self.shared.shares.subscribe();
        let timer = &self.shared.timer;
        loop {
            let turn = self.try_turn(&key, &guard)?;
            let is_late = Instant::now() >= deadline;
            match turn {
                TurnOutcome::Taken => {
                    metrics.count(counters::TOKEN_WAITED);
                    return Ok(());
                }
                _ if is_late => return Err(self.refusal_error(&key)),
                TurnOutcome::Early(ready) => {
                    let ready = ready.unwrap_or(deadline).min(deadline);
                    let changed = timer.within(ready, shares.changed());
                    let _ = self.unless_cut_off(changed).await?;
                }
                TurnOutcome::Behind => {
                    let first = timer.within(deadline, guard.became_first());
                    self.unless_cut_off(first).await?;
                }
            }
        }
    }

    /// Takes a token if one is available and no request waits; otherwise enqueues the request and
    /// returns its deadline.
    fn take_or_enqueue<'a>(
        &'a self,
        view: &FleetView,
        key: &RateKey,
        deadlines: AdmissionDeadlines,
    ) -> Result<Option<(QueueGuard<'a>, Instant)>, RequestError> {
        let mut state = self.shared.state.lock();
        // Read under the lock, so that time spent waiting for the lock cannot make a lease seem longer.
        let now = BootClock::now();
        state.update_rates(view);
        state.record_request(now, key);
        let mut deadline = deadlines.token;
        if state.count_ahead(key, deadlines.urgency) == 0 {
            match state.take(now, key) {
                Ok(()) => return Ok(None),
                Err(TokenUnavailable::UnknownKey) => return Err(ErrorKind::ServiceDenied.into()),
                Err(TokenUnavailable::Wait(_)) => {}
            }
        }
        if !state.has_share(now, key) {
            deadline = deadline.max(deadlines.share);
        }
        if Instant::now() + state.min_wait(key, deadlines.urgency) > deadline {
            let retry_after = state.retry_after(now, key);
            self.shared.metrics.count(counters::TOKEN_REFUSED_AT_ONCE);
            return Err(rate_exceeded(retry_after));
        }
        let queue = &self.shared.state;
        let guard = QueueGuard::enter(queue, &mut state, now, key, deadlines.urgency);
        Ok(Some((guard, deadline)))
    }

    /// Tries to take a token for a request that waits.
    fn try_turn(&self, key: &RateKey, guard: &QueueGuard<'_>) -> Result<TurnOutcome, RequestError> {
        let mut state = self.shared.state.lock();
        if !guard.is_first(&state) {
            return Ok(TurnOutcome::Behind);
        }
        match state.take(BootClock::now(), key) {
            Ok(()) => Ok(TurnOutcome::Taken),
            Err(TokenUnavailable::UnknownKey) => Err(ErrorKind::ServiceDenied.into()),
            Err(TokenUnavailable::Wait(wait)) => {
                Ok(TurnOutcome::Early(wait.map(|wait| Instant::now() + wait)))
            }
        }
    }

    /// Returns the view, after waiting for a valid lease if necessary.
    async fn leased_view(&self, until: Instant) -> Result<Arc<FleetView>, RequestError> {
        let (cell, timer) = (&self.shared.cell, &self.shared.timer);
        match cell.wait_for(timer, until, HeldView::is_valid).await {
            Ok(held) => Ok(Arc::clone(&held.view)),
            Err(_) if cell.is_cut_off() => Err(self.cut_off_error()),
            Err(kind) => Err(kind.into()),
        }
    }

    /// Waits for a future, but fails once there is no valid lease and control is silent.
    async fn unless_cut_off<T>(&self, future: impl Future<Output = T>) -> Result<T, RequestError> {
        let (cell, timer) = (&self.shared.cell, &self.shared.timer);
        tokio::select! {
            biased;
            output = future => Ok(output),
            () = cell.cut_off(timer) => Err(self.cut_off_error()),
        }
    }

    fn cut_off_error(&self) -> RequestError {
        self.shared
            .metrics
            .count(counters::TOKEN_REFUSED_CONTROL_SILENT);
        ErrorKind::NoView.into()
    }

    /// Counts that control has become silent.
    pub(crate) fn count_control_silence(&self) {
        self.shared.metrics.count(counters::CONTROL_SILENT);
    }

    /// Returns the error of a request that waited in vain: `NoView` without a lease, because there are
    /// no shares then, and `RateExceeded` otherwise.
    fn refusal_error(&self, key: &RateKey) -> RequestError {
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

/// Result of an attempt to take a token for a request that waits.
enum TurnOutcome {
    /// It has a token.
    Taken,
    /// It is the first, and there is no token before the given time, which is unknown without a share.
    Early(Option<Instant>),
    /// Others are served before it.
    Behind,
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
        deadlines: AdmissionDeadlines,
    ) -> Result<(), RequestError> {
        let key = RateKey::Organisation(organisation.clone());
        self.acquire_token(key, deadlines).await
    }

    async fn admit_open(&self, service: &ServiceId, deadline: Instant) -> Result<(), RequestError> {
        self.admit_open_within(service, deadline.into()).await
    }

    async fn admit_open_within(
        &self,
        service: &ServiceId,
        deadlines: AdmissionDeadlines,
    ) -> Result<(), RequestError> {
        self.acquire_token(RateKey::Open(service.clone()), deadlines)
            .await
    }
}

fn rate_exceeded(retry_after: Duration) -> RequestError {
    RequestError::from(ErrorKind::RateExceeded).with_retry_after(retry_after)
}
