//! The handle for a held database.

use super::{
    admission::{
        AdmissionCheck,
        AdmissionError, //
    },
    observation::{
        ObservationWatch,
        UpstreamObservation, //
    }, //
    pool::{
        HolderActor,
        HolderMessage, //
    },
    queue::{
        CheckedOut,
        SlotWaiter, //
    },
    registry::ConnectionRegistry,
};
use crate::{
    ViewCell,
    database::{
        DatabaseTarget,
        UpstreamProbe, //
    }, //
};
use daisyseam_model::{
    ErrorKind,
    GroupId,
    InstanceId,
    LogPosition,
    OrganisationId,
    RequestError,
    Term,
    UpstreamId,
    announce::UpstreamState, //
};
use daisyseam_runtime::{
    Dialer,
    TimerService, //
};
use displaydoc::Display;
use ractor::{
    Actor,
    ActorRef,
    SpawnErr, //
};
use std::{
    error::Error,
    num::NonZeroU32,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::Duration, //
};
use tokio::{
    sync::{
        Notify,
        oneshot, //
    },
    time::Instant, //
};

/// Longest wait for a fresh state when the last known one does not match the view.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(500);

/// Settings of a holder.
#[derive(Clone)]
pub struct HolderSettings {
    /// This instance.
    pub instance: InstanceId,
    /// The database.
    pub upstream: UpstreamId,
    /// Its group.
    pub group: GroupId,
    /// Address and credentials of the database.
    pub target: Arc<DatabaseTarget>,
    /// Limits of the pool and the queue.
    pub limits: HolderLimits,
    /// Current view of the fleet.
    pub cell: ViewCell,
    /// Outgoing connections.
    pub dialer: Dialer,
    /// Timer service.
    pub timer: TimerService,
    /// Notified when the database's reachability, term or role changes.
    pub change_notify: Arc<Notify>,
}

/// Limits of a holder's pool and queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HolderLimits {
    /// Largest number of connections to the database.
    pub slots: usize,
    /// Largest number of requests waiting for a connection.
    pub queue_length: usize,
}

/// A request for a connection to a held database.
#[derive(Clone, Debug)]
pub struct ConnectionRequest {
    /// Organisation that makes the request; none for an open route.
    pub organisation: Option<OrganisationId>,
    /// Term in which the database must be primary; none for any role.
    pub term: Option<Term>,
    /// Position that the database must have reached.
    pub floor: Option<LogPosition>,
    /// Longest wait for the database to reach that position.
    pub max_wait: Duration,
    /// Time after which the request is refused.
    pub deadline: Instant,
}

/// Why a holder did not hand out a connection; nothing was run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CheckOutError {
    /// The database has not reached the required position; contains its current position.
    Behind(LogPosition),
    /// Any other reason.
    Refused(RequestError),
}

/// the database holder failed to start: {0}
#[derive(Debug, Display)]
pub struct HolderError(SpawnErr);

impl Error for HolderError {}

/// Current counts of a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolCounts {
    /// Connections, including those being opened.
    pub open: usize,
    /// Connections that are checked out.
    pub checked_out: usize,
    /// Requests waiting for a connection.
    pub queued: usize,
}

/// Handle to the holder of a database; cheap to clone.
#[derive(Clone)]
pub struct HolderHandle {
    shared: Arc<HolderShared>,
    actor: ActorRef<HolderMessage>,
}

impl HolderHandle {
    /// Starts a holder for a database.
    ///
    /// # Errors
    ///
    /// [`HolderError`] when the actor cannot be started.
    pub async fn start<P: UpstreamProbe>(
        settings: HolderSettings,
        probe: P,
    ) -> Result<Self, HolderError> {
        let check = AdmissionCheck {
            instance: settings.instance.clone(),
            upstream: settings.upstream.clone(),
        };
        let shared = Arc::new(HolderShared {
            observation: ObservationWatch::start(
                probe,
                settings.timer.clone(),
                Arc::clone(&settings.change_notify),
            ),
            registry: Arc::default(),
            counts: SharedCounts::default(),
            check,
            settings,
        });
        let (actor, _) = Actor::spawn(None, HolderActor, Arc::clone(&shared))
            .await
            .map_err(HolderError)?;
        Ok(Self { shared, actor })
    }

    /// Returns the settings with which the holder was started.
    pub fn settings(&self) -> &HolderSettings {
        &self.shared.settings
    }

    /// Returns whether both handles refer to the same holder.
    pub fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.shared, &other.shared)
    }

    /// Returns the last observation of the database.
    pub fn observation(&self) -> UpstreamObservation {
        self.shared.observation.observation()
    }

    /// Returns the current counts of the pool.
    pub fn counts(&self) -> PoolCounts {
        self.shared.counts.load()
    }

    /// Checks out a connection; also returns the position that the database has reached.
    ///
    /// # Errors
    ///
    /// [`CheckOutError`] when the database may not be used, is behind the requested position, or
    /// has no free slot before the deadline.
    pub async fn check_out(&self, request: ConnectionRequest) -> CheckedOut {
        let position = self.await_usable(request.term, request.deadline).await?;
        if let Some(floor) = request.floor.filter(|floor| position < *floor) {
            self.await_floor(floor, &request).await?;
        }
        let (reply, checked_out) = oneshot::channel();
        let waiter = SlotWaiter {
            weight: self.weight(request.organisation.as_ref()),
            flow: request.organisation,
            term: request.term,
            deadline: request.deadline,
            reply,
        };
        if self.actor.cast(HolderMessage::CheckOut(waiter)).is_err() {
            return Err(CheckOutError::Refused(release_error()));
        }
        let settings = &self.shared.settings;
        let checked_out = self.await_connection(request.term, checked_out);
        match settings.timer.within(request.deadline, checked_out).await {
            Some(Ok(checked_out)) => checked_out,
            Some(Err(_)) => Err(CheckOutError::Refused(release_error())),
            None => Err(CheckOutError::Refused(ErrorKind::DeadlineBeforeSend.into())),
        }
    }

    /// Waits until the database reaches a position in exactly its term, and returns its state.
    pub async fn wait_for_position(
        &self,
        at: LogPosition,
        deadline: Instant,
    ) -> Option<UpstreamState> {
        let fits = |state: &UpstreamState| state.end.term == at.term && state.end >= at;
        self.shared.observation.wait_until(at, deadline, fits).await
    }

    /// Returns a state read after the start of this call, or nothing if the deadline passes.
    pub async fn fresh_state(&self, deadline: Instant) -> Option<UpstreamState> {
        self.shared.observation.fresh_state(deadline).await
    }

    /// Queries the database's state immediately, for example after a change in the view.
    pub fn refresh(&self) {
        self.shared.observation.refresh();
    }

    /// Changes the limits of the holder.
    pub fn set_limits(&self, limits: HolderLimits) {
        let _ = self.actor.cast(HolderMessage::Limits(limits));
    }

    /// Allows connections to be opened again, for example after a new lease.
    pub fn wake(&self) {
        self.refresh();
        let _ = self.actor.cast(HolderMessage::Retry);
    }

    /// Closes every connection immediately, including those in use; new ones may be opened later.
    pub fn close_all(&self) {
        self.shared.registry.close_all();
        let _ = self.actor.cast(HolderMessage::DropIdle);
    }

    /// Closes the connections checked out for transactions of an earlier term.
    pub fn close_before_term(&self, term: Term) {
        self.shared.registry.close_before_term(term);
    }

    /// Stops the holder immediately and closes every connection.
    pub fn stop(&self) {
        self.shared.registry.close_all();
        self.actor.stop(None);
    }

    /// Releases the database: hands out no more connections, waits for running transactions until
    /// the deadline, and returns when every connection is closed.
    pub async fn release(&self, deadline: Instant) {
        let (reply, closed) = oneshot::channel();
        if self.actor.cast(HolderMessage::Release(reply)).is_err() {
            return;
        }
        self.shared.settings.timer.within(deadline, closed).await;
        self.stop();
    }

    /// Waits for a connection, but fails as soon as the view no longer allows its use.
    async fn await_connection(
        &self,
        term: Option<Term>,
        mut checked_out: oneshot::Receiver<CheckedOut>,
    ) -> Result<CheckedOut, oneshot::error::RecvError> {
        let mut changes = self.shared.settings.cell.subscribe();
        loop {
            tokio::select! {
                biased;
                checked_out = &mut checked_out => return checked_out,
                changed = changes.changed() => {
                    if let Err(refusal) = self.shared.admit(term) {
                        return Ok(Err(CheckOutError::Refused(refusal.into())));
                    }
                    if changed.is_err() {
                        return checked_out.await;
                    }
                }
            }
        }
    }

    fn weight(&self, organisation: Option<&OrganisationId>) -> NonZeroU32 {
        let held = self.shared.settings.cell.held();
        let document = held.view.document.as_deref();
        let entry = document
            .zip(organisation)
            .and_then(|(document, organisation)| document.organisations.get(organisation));
        entry
            .and_then(|entry| NonZeroU32::new(entry.weight))
            .unwrap_or(NonZeroU32::MIN)
    }

    async fn await_usable(
        &self,
        term: Option<Term>,
        deadline: Instant,
    ) -> Result<LogPosition, CheckOutError> {
        let shared = &self.shared;
        match shared.admit(term) {
            Ok(position) => return Ok(position),
            Err(AdmissionError::View(error)) => return Err(CheckOutError::Refused(error)),
            Err(AdmissionError::State(_)) => {}
        }
        let deadline = deadline.min(Instant::now() + REFRESH_TIMEOUT);
        shared.observation.fresh_state(deadline).await;
        shared
            .admit(term)
            .map_err(|refusal| CheckOutError::Refused(refusal.into()))
    }

    async fn await_floor(
        &self,
        floor: LogPosition,
        request: &ConnectionRequest,
    ) -> Result<(), CheckOutError> {
        let deadline = request.deadline.min(Instant::now() + request.max_wait);
        let reached = |state: &UpstreamState| state.end >= floor;
        if self
            .shared
            .observation
            .wait_until(floor, deadline, reached)
            .await
            .is_some()
        {
            return Ok(());
        }
        let state = self.shared.observation.observation().state;
        Err(CheckOutError::Behind(
            state.map(|state| state.end).unwrap_or_default(),
        ))
    }
}

/// State shared by the handle and the actor.
pub(super) struct HolderShared {
    pub(super) settings: HolderSettings,
    pub(super) registry: Arc<ConnectionRegistry>,
    pub(super) counts: SharedCounts,
    observation: ObservationWatch,
    check: AdmissionCheck,
}

impl HolderShared {
    /// Returns whether connections may be opened: the lease is valid and the view names this
    /// instance as the holder.
    pub(super) fn is_holder(&self) -> bool {
        self.check.is_holder(&self.settings.cell)
    }

    /// Returns the database's position if it may currently be used.
    pub(super) fn admit(&self, term: Option<Term>) -> Result<LogPosition, AdmissionError> {
        let observation = self.observation.observation();
        self.check.admit(&self.settings.cell, &observation, term)
    }
}

/// The latest [`PoolCounts`].
#[derive(Debug, Default)]
pub(super) struct SharedCounts {
    open: AtomicUsize,
    checked_out: AtomicUsize,
    queued: AtomicUsize,
}

impl SharedCounts {
    fn load(&self) -> PoolCounts {
        PoolCounts {
            open: self.open.load(Ordering::Relaxed),
            checked_out: self.checked_out.load(Ordering::Relaxed),
            queued: self.queued.load(Ordering::Relaxed),
        }
    }

    pub(super) fn store(&self, counts: PoolCounts) {
        self.open.store(counts.open, Ordering::Relaxed);
        self.checked_out
            .store(counts.checked_out, Ordering::Relaxed);
        self.queued.store(counts.queued, Ordering::Relaxed);
    }
}

/// Returns the error for a database that is being released to another instance.
pub(super) fn release_error() -> RequestError {
    RequestError::new(
        ErrorKind::UpstreamUnreachable,
        "the database is being released to another instance",
    )
}
