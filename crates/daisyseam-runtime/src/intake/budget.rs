//! The budget of bytes that clients may make a process hold.

use crate::TimerService;
use std::{
    sync::Arc,
    time::Duration, //
};
use tokio::sync::Semaphore;

/// Bytes of unread and unanswered client data in the process; clones share them.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    free: Arc<Semaphore>,
    total: usize,
}

impl ByteBudget {
    /// Creates a budget of which nothing is taken. At most [`u32::MAX`] bytes are used.
    pub fn new(bytes: usize) -> Self {
        let total = bytes.min(u32::MAX as usize).min(Semaphore::MAX_PERMITS);
        Self {
            free: Arc::new(Semaphore::new(total)),
            total,
        }
    }

    /// Returns the bytes that are not taken.
    pub fn free(&self) -> usize {
        self.free.available_permits()
    }

    /// Returns a guard that holds nothing yet.
    pub fn guard(&self) -> ByteGuard {
        ByteGuard {
            budget: self.clone(),
            held: 0,
        }
    }
}

/// Bytes taken from a budget; dropping the guard gives them back.
#[derive(Debug)]
pub struct ByteGuard {
    budget: ByteBudget,
    held: usize,
}

impl ByteGuard {
    /// Returns the bytes that it holds.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Holds another number of bytes; returns false, and changes nothing, if they are not free.
    ///
    /// A number above the whole budget counts as the whole budget, so that one such message at a
    /// time is served.
    pub fn try_hold(&mut self, bytes: usize) -> bool {
        let Some(missing) = self.shrink_or_missing(bytes) else {
            return true;
        };
        match self.budget.free.try_acquire_many(missing) {
            Ok(permit) => {
                permit.forget();
                self.held += missing as usize;
                true
            }
            Err(_) => false,
        }
    }

    /// Like [`try_hold`](Self::try_hold), but waits up to a limit. Cancel safe.
    pub async fn hold(&mut self, bytes: usize, timer: &TimerService, limit: Duration) -> bool {
        if self.try_hold(bytes) {
            return true;
        }
        let Some(missing) = self.shrink_or_missing(bytes) else {
            return true;
        };
        let until = timer.now() + limit;
        let acquired = self.budget.free.acquire_many(missing);
        match timer.within(until, acquired).await {
            Some(Ok(permit)) => {
                permit.forget();
                self.held += missing as usize;
                true
            }
            Some(Err(_)) | None => false,
        }
    }

    /// Gives back the bytes above a number; returns how many are missing to it, if any.
    fn shrink_or_missing(&mut self, bytes: usize) -> Option<u32> {
        let bytes = bytes.min(self.budget.total);
        if let Some(missing) = bytes.checked_sub(self.held).filter(|missing| *missing > 0) {
            // The total fits into 32 bits.
            return u32::try_from(missing).ok();
        }
        self.budget.free.add_permits(self.held - bytes);
        self.held = bytes;
        None
    }
}

impl Drop for ByteGuard {
    fn drop(&mut self) {
        self.budget.free.add_permits(self.held);
    }
}
