//! The queue of requests waiting for a slot of a database.

use super::{
    handle::{
        CheckOutError, //
        HolderLimits,
    },
    pooled::PooledConnection, //
};
use daisyseam_coord::{
    Moment,
    fair_queue::{
        FairQueue,
        Popped,
        PushError,
        PushRequest,
        QueueLimits,
        ServiceNumber, //
    }, //
};
use daisyseam_model::{
    ErrorKind,
    LogPosition,
    OrganisationId,
    RequestError,
    Term, //
};
use std::num::NonZeroU32;
use tokio::{
    sync::oneshot,
    time::Instant, //
};

/// Smallest number of slots at which one is kept out of reach of any single organisation.
const RESERVING_SLOTS_MIN: usize = 3;

/// A connection and the position that its database had reached at check-out, or why there is none.
pub(super) type CheckedOut = Result<(PooledConnection, LogPosition), CheckOutError>;

/// An organisation; none for all open routes together.
pub(super) type SlotFlow = Option<OrganisationId>;

/// A request waiting for a slot.
#[derive(Debug)]
pub(super) struct SlotWaiter {
    pub(super) flow: SlotFlow,
    pub(super) weight: NonZeroU32,
    pub(super) term: Option<Term>,
    pub(super) deadline: Instant,
    pub(super) reply: oneshot::Sender<CheckedOut>,
}

impl SlotWaiter {
    pub(super) fn refuse(self, error: RequestError) {
        // An abandoned request needs no reply.
        let _ = self.reply.send(Err(CheckOutError::Refused(error)));
    }
}

/// Waiting requests, served fairly by the time that their organisations have used connections.
pub(super) struct SlotQueue {
    queue: FairQueue<SlotFlow, SlotWaiter>,
    origin: Instant,
}

impl SlotQueue {
    pub(super) fn new(limits: HolderLimits) -> Self {
        Self {
            queue: FairQueue::new(queue_limits(limits)),
            origin: Instant::now(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn set_limits(&mut self, limits: HolderLimits) {
        self.queue.set_limits(queue_limits(limits));
    }

    /// Enqueues a request, or refuses it.
    pub(super) fn push(&mut self, waiter: SlotWaiter) {
        let now = self.moment(Instant::now());
        let flow = waiter.flow.clone();
        let request = PushRequest {
            flow: &flow,
            weight: waiter.weight,
            deadline: self.moment(waiter.deadline),
        };
        match self.queue.push(now, request, waiter) {
            Ok(pushed) => {
                if let Some(evicted) = pushed.evicted {
                    evicted.refuse(ErrorKind::QueueFull.into());
                }
            }
            Err((PushError::Expired, waiter)) => {
                waiter.refuse(ErrorKind::DeadlineBeforeSend.into());
            }
            Err((PushError::FlowFull | PushError::QueueFull, waiter)) => {
                waiter.refuse(ErrorKind::QueueFull.into());
            }
        }
    }

    /// Removes the next request that is neither abandoned nor expired; the caller must finish its
    /// service.
    pub(super) fn pop(&mut self) -> Option<(ServiceNumber, SlotWaiter)> {
        let now = self.moment(Instant::now());
        loop {
            match self.queue.pop(now)? {
                Popped::Expired(waiter) => waiter.refuse(ErrorKind::DeadlineBeforeSend.into()),
                Popped::Serve { service, item, .. } if item.reply.is_closed() => {
                    self.queue.finish(now, service);
                }
                Popped::Serve { service, item, .. } => return Some((service, item)),
            }
        }
    }

    /// Finishes a service.
    pub(super) fn finish(&mut self, service: ServiceNumber) {
        self.queue.finish(self.moment(Instant::now()), service);
    }

    /// Refuses all waiting requests.
    pub(super) fn refuse_all(&mut self, error: &RequestError) {
        let end = Moment::after_origin(std::time::Duration::MAX);
        while let Some(waiter) = self.queue.take_expired(end) {
            waiter.refuse(error.clone());
        }
    }

    fn moment(&self, at: Instant) -> Moment {
        Moment::after_origin(at.saturating_duration_since(self.origin))
    }
}

fn queue_limits(limits: HolderLimits) -> QueueLimits {
    let slots = limits.slots.max(1);
    let length = limits.queue_length.max(1);
    QueueLimits {
        length,
        flow_length: length,
        flow_in_service: if slots >= RESERVING_SLOTS_MIN {
            slots - 1
        } else {
            slots
        },
    }
}
