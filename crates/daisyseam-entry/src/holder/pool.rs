//! The actor that owns the connection pool and request queue of a held database.

use super::{
    handle::{
        HolderLimits,
        HolderShared,
        PoolCounts,
        release_error, //
    },
    pooled::{
        HeldConnection,
        PooledConnection,
        Registration,
        SlotPermit, //
    },
    queue::{
        SlotQueue,
        SlotWaiter, //
    }, //
};
use crate::database::{
    DatabaseConnection,
    OpenError, //
};
use daisyseam_coord::fair_queue::ServiceNumber;
use daisyseam_model::{
    ErrorKind,
    LogPosition,
    RequestError, //
};
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};
use rand::Rng;
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::sync::oneshot;

/// Largest number of connections being opened to a database at the same time.
const CONCURRENT_OPENS_MAX: usize = 2;

/// Number of idle connections kept ready beyond those in use.
const SPARE_CONNECTIONS: usize = 1;

/// Initial delay before the next attempt after a connection failed to open.
const OPEN_DELAY_MIN: Duration = Duration::from_millis(20);

/// Longest delay before the next attempt after a connection failed to open.
const OPEN_DELAY_MAX: Duration = Duration::from_millis(500);

/// Messages to the actor.
#[derive(Debug)]
pub(super) enum HolderMessage {
    /// A request for a connection.
    CheckOut(SlotWaiter),
    /// A connection was returned and can be reused.
    Returned(Box<HeldConnection>, ServiceNumber),
    /// A checked-out connection is being closed.
    Discarded(ServiceNumber),
    /// A connection is closed and its slot is free.
    SlotFreed,
    /// A connection was opened, or failed to open.
    Opened(Result<Box<HeldConnection>, OpenError>),
    /// The delay after a failed attempt is over; connections may be opened again.
    Retry,
    /// Changes the limits.
    Limits(HolderLimits),
    /// Drops the idle connections.
    DropIdle,
    /// Releases the database: stops handing out connections, and replies when none is left.
    Release(oneshot::Sender<()>),
}

/// Actor of a held database.
pub(super) struct HolderActor;

impl Actor for HolderActor {
    type Msg = HolderMessage;
    type State = HolderPool;
    type Arguments = Arc<HolderShared>;

    async fn pre_start(
        &self,
        myself: ActorRef<HolderMessage>,
        shared: Arc<HolderShared>,
    ) -> Result<HolderPool, ActorProcessingErr> {
        let mut pool = HolderPool {
            limits: shared.settings.limits,
            queue: SlotQueue::new(shared.settings.limits),
            shared,
            myself,
            idle: Vec::new(),
            open: 0,
            opening: 0,
            checked_out: 0,
            backoff: OPEN_DELAY_MIN,
            backing_off: false,
            release_reply: None,
        };
        pool.open_ahead();
        Ok(pool)
    }

    async fn handle(
        &self,
        _myself: ActorRef<HolderMessage>,
        message: HolderMessage,
        pool: &mut HolderPool,
    ) -> Result<(), ActorProcessingErr> {
        pool.handle(message);
        Ok(())
    }
}

/// Connection pool and request queue of a database.
pub(super) struct HolderPool {
    shared: Arc<HolderShared>,
    myself: ActorRef<HolderMessage>,
    limits: HolderLimits,
    idle: Vec<HeldConnection>,
    queue: SlotQueue,
    open: usize,
    opening: usize,
    checked_out: usize,
    backoff: Duration,
    backing_off: bool,
    release_reply: Option<oneshot::Sender<()>>,
}

impl HolderPool {
    fn handle(&mut self, message: HolderMessage) {
        match message {
            HolderMessage::CheckOut(waiter) => self.enqueue(waiter),
            HolderMessage::Returned(held, service) => {
                self.finish_service(service);
                self.return_connection(*held);
            }
            HolderMessage::Discarded(service) => self.finish_service(service),
            HolderMessage::SlotFreed => self.open -= 1,
            HolderMessage::Opened(result) => self.handle_opened(result),
            HolderMessage::Retry => self.backing_off = false,
            HolderMessage::Limits(limits) => {
                self.limits = limits;
                self.queue.set_limits(limits);
            }
            HolderMessage::DropIdle => self.idle.clear(),
            HolderMessage::Release(reply) => {
                self.queue.refuse_all(&release_error());
                self.release_reply = Some(reply);
            }
        }
        self.serve_queue();
        self.open_ahead();
        self.finish_release();
        self.shared.counts.store(PoolCounts {
            open: self.open,
            checked_out: self.checked_out,
            queued: self.queue.len(),
        });
    }

    fn enqueue(&mut self, waiter: SlotWaiter) {
        if self.release_reply.is_some() {
            waiter.refuse(release_error());
            return;
        }
        self.queue.push(waiter);
    }

    /// Hands idle connections to waiting requests.
    fn serve_queue(&mut self) {
        while let Some(held) = self.take_idle() {
            let Some((service, waiter)) = self.queue.pop() else {
                self.idle.push(held);
                return;
            };
            match self.shared.admit(waiter.term) {
                Ok(position) => self.check_out(held, service, waiter, position),
                Err(refusal) => {
                    self.idle.push(held);
                    self.queue.finish(service);
                    waiter.refuse(refusal.into());
                }
            }
        }
    }

    fn check_out(
        &mut self,
        held: HeldConnection,
        service: ServiceNumber,
        waiter: SlotWaiter,
        position: LogPosition,
    ) {
        self.checked_out += 1;
        assert!(
            self.checked_out <= self.open,
            "more connections are checked out than open"
        );
        let pooled = PooledConnection::new(held, service, waiter.term);
        // The connection is unused if the waiting request has just been abandoned.
        if let Err(Ok((pooled, _))) = waiter.reply.send(Ok((pooled, position))) {
            pooled.release();
        }
    }

    fn finish_service(&mut self, service: ServiceNumber) {
        self.checked_out -= 1;
        self.queue.finish(service);
    }

    fn return_connection(&mut self, held: HeldConnection) {
        if self.open <= self.limits.slots && self.release_reply.is_none() {
            self.idle.push(held);
        }
    }

    fn take_idle(&mut self) -> Option<HeldConnection> {
        while let Some(held) = self.idle.pop() {
            if held.connection.is_alive() {
                return Some(held);
            }
        }
        None
    }

    /// Opens connections for waiting requests, plus the spare ones.
    fn open_ahead(&mut self) {
        if self.release_reply.is_some() || self.backing_off || !self.shared.is_holder() {
            return;
        }
        let wanted = self.checked_out + self.queue.len() + SPARE_CONNECTIONS;
        let wanted = wanted.min(self.limits.slots);
        while self.open < wanted && self.opening < CONCURRENT_OPENS_MAX {
            self.open += 1;
            self.opening += 1;
            assert!(
                self.open <= self.limits.slots,
                "more connections are open than the database has slots"
            );
            self.spawn_opening();
        }
    }

    fn spawn_opening(&self) {
        let shared = Arc::clone(&self.shared);
        let actor = self.myself.clone();
        let permit = SlotPermit::new(actor.clone());
        tokio::spawn(async move {
            let opened = open_connection(&shared, permit).await;
            let _ = actor.cast(HolderMessage::Opened(opened));
        });
    }

    fn handle_opened(&mut self, result: Result<Box<HeldConnection>, OpenError>) {
        self.opening -= 1;
        match result {
            Ok(held) => {
                self.backoff = OPEN_DELAY_MIN;
                self.return_connection(*held);
            }
            Err(error) => self.handle_open_error(&error),
        }
    }

    fn handle_open_error(&mut self, error: &OpenError) {
        let upstream = &self.shared.settings.upstream;
        log::warn!("failed to open a connection to database {upstream}: {error}");
        if self.checked_out == 0 && self.idle.is_empty() && self.opening == 0 {
            let detail = error.to_string();
            self.queue
                .refuse_all(&RequestError::new(ErrorKind::UpstreamUnreachable, detail));
        }
        if self.backing_off {
            return;
        }
        self.backing_off = true;
        let delay = self.backoff.mul_f64(rand::rng().random_range(0.5..1.0));
        self.backoff = (self.backoff * 2).min(OPEN_DELAY_MAX);
        let timer = self.shared.settings.timer.after(delay);
        let actor = self.myself.clone();
        tokio::spawn(async move {
            timer.await;
            let _ = actor.cast(HolderMessage::Retry);
        });
    }

    fn finish_release(&mut self) {
        if self.release_reply.is_none() {
            return;
        }
        self.idle.clear();
        if self.open == 0
            && let Some(reply) = self.release_reply.take()
        {
            // Prevents new connections until the handle stops the actor.
            self.limits.slots = 0;
            let _ = reply.send(());
        }
    }
}

async fn open_connection(
    shared: &HolderShared,
    permit: SlotPermit,
) -> Result<Box<HeldConnection>, OpenError> {
    let settings = &shared.settings;
    let epoch = shared.registry.epoch();
    let opened = DatabaseConnection::open(&settings.target, settings.dialer, &settings.timer);
    let connection = opened.await?;
    let number = shared
        .registry
        .add(connection.closer(), epoch)
        .ok_or(OpenError::Revoked)?;
    Ok(Box::new(HeldConnection {
        connection,
        registration: Registration {
            registry: Arc::clone(&shared.registry),
            number,
        },
        permit,
    }))
}
