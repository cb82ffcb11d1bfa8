//! Who waits for a slot of one database.

use super::{
    handle::HolderRefusal,
    pooled::{
        LoanTerms,
        PooledConnection, //
    }, //
};
use daisyseam_model::{
    ErrorKind,
    LogPosition,
    RequestError, //
};
use std::collections::VecDeque;
use tokio::{
    sync::oneshot,
    time::Instant, //
};

/// A connection and the position that its database had reached when it was lent out.
pub(super) type Lent = Result<(PooledConnection, LogPosition), HolderRefusal>;

/// One that waits for a slot.
#[derive(Debug)]
pub(super) struct SlotWaiter {
    pub(super) terms: LoanTerms,
    pub(super) deadline: Instant,
    pub(super) reply: oneshot::Sender<Lent>,
}

impl SlotWaiter {
    pub(super) fn refuse(self, error: RequestError) {
        // One that has given up needs no answer.
        let _ = self.reply.send(Err(HolderRefusal::Refused(error)));
    }
}

/// Those that wait, first come, first served.
#[derive(Debug, Default)]
pub(super) struct SlotQueue {
    waiters: VecDeque<SlotWaiter>,
}

impl SlotQueue {
    pub(super) fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Takes one in, or refuses it when the queue is full.
    pub(super) fn push(&mut self, waiter: SlotWaiter, length_max: usize) {
        if self.waiters.len() >= length_max {
            self.purge(Instant::now());
        }
        if self.waiters.len() >= length_max {
            waiter.refuse(ErrorKind::QueueFull.into());
            return;
        }
        self.waiters.push_back(waiter);
    }

    /// Takes out the next one that still waits and has time left.
    pub(super) fn pop(&mut self, now: Instant) -> Option<SlotWaiter> {
        while let Some(waiter) = self.waiters.pop_front() {
            if waiter.reply.is_closed() {
                continue;
            }
            if waiter.deadline <= now {
                waiter.refuse(ErrorKind::DeadlineBeforeSend.into());
                continue;
            }
            return Some(waiter);
        }
        None
    }

    /// Drops those that have given up or are late.
    pub(super) fn purge(&mut self, now: Instant) {
        let waiters = std::mem::take(&mut self.waiters);
        for waiter in waiters {
            if waiter.deadline <= now {
                waiter.refuse(ErrorKind::DeadlineBeforeSend.into());
            } else if !waiter.reply.is_closed() {
                self.waiters.push_back(waiter);
            }
        }
    }

    /// Refuses all.
    pub(super) fn refuse_all(&mut self, error: &RequestError) {
        for waiter in self.waiters.drain(..) {
            waiter.refuse(error.clone());
        }
    }
}
