//! Cancel requests: which session they mean, and whether it is running anything.

use parking_lot::Mutex;
use rand::Rng;
use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{
            AtomicU8,
            Ordering, //
        }, //
    }, //
};
use tokio::sync::Notify;

/// Nothing runs, a cancel request has no effect.
const IDLE: u8 = 0;
/// A statement runs.
const RUNNING: u8 = 1;
/// A statement runs and is to be cancelled.
const REQUESTED: u8 = 2;

/// The sessions of this instance that can be cancelled.
#[derive(Clone, Debug, Default)]
pub(super) struct CancelRegistry {
    sessions: Arc<Mutex<HashMap<i32, RegisteredSession>>>,
}

#[derive(Debug)]
struct RegisteredSession {
    secret: i32,
    flag: Arc<CancelFlag>,
}

impl CancelRegistry {
    /// Registers a session under a number that is free; it leaves when the ticket is dropped.
    pub(super) fn register(&self) -> CancelTicket {
        let mut random = rand::rng();
        let flag = Arc::new(CancelFlag::default());
        let secret = random.random();
        let mut sessions = self.sessions.lock();
        let process = loop {
            let number = random.random_range(1..i32::MAX);
            if !sessions.contains_key(&number) {
                break number;
            }
        };
        let session = RegisteredSession {
            secret,
            flag: Arc::clone(&flag),
        };
        sessions.insert(process, session);
        drop(sessions);
        CancelTicket {
            registry: self.clone(),
            process,
            secret,
            flag,
        }
    }

    /// Cancels what a session is running; anything but the right pair has no effect.
    pub(super) fn cancel(&self, process: i32, secret: i32) {
        let sessions = self.sessions.lock();
        if let Some(session) = sessions
            .get(&process)
            .filter(|found| found.secret == secret)
        {
            session.flag.request();
        }
    }
}

/// A session's place in the registry.
#[derive(Debug)]
pub(super) struct CancelTicket {
    registry: CancelRegistry,
    /// Number that the caller is told.
    pub(super) process: i32,
    /// Secret that the caller is told.
    pub(super) secret: i32,
    /// Tells the session of a request.
    pub(super) flag: Arc<CancelFlag>,
}

impl Drop for CancelTicket {
    fn drop(&mut self) {
        self.registry.sessions.lock().remove(&self.process);
    }
}

/// Tells one session that its running statement is to be cancelled.
#[derive(Debug, Default)]
pub(super) struct CancelFlag {
    state: AtomicU8,
    wake: Notify,
}

impl CancelFlag {
    /// Marks that a statement runs until the guard is dropped.
    pub(super) fn start(self: &Arc<Self>) -> RunningGuard {
        self.state.store(RUNNING, Ordering::Release);
        RunningGuard(Arc::clone(self))
    }

    /// Ends the time in which a request to cancel has an effect.
    pub(super) fn end(&self) {
        self.state.store(IDLE, Ordering::Release);
    }

    /// Waits until the running statement is to be cancelled; ready once for each request.
    pub(super) async fn requested(&self) {
        loop {
            let taken = self.state.compare_exchange(
                REQUESTED,
                RUNNING,
                Ordering::AcqRel,
                Ordering::Acquire,
            );
            if taken.is_ok() {
                return;
            }
            self.wake.notified().await;
        }
    }

    fn request(&self) {
        let noted =
            self.state
                .compare_exchange(RUNNING, REQUESTED, Ordering::AcqRel, Ordering::Acquire);
        if noted.is_ok() {
            self.wake.notify_one();
        }
    }
}

/// Marks that a statement runs.
pub(super) struct RunningGuard(Arc<CancelFlag>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.end();
    }
}
