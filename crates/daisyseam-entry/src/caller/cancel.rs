//! Cancel requests and the sessions that they address.

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

/// No statement is running; a cancel request has no effect.
const IDLE: u8 = 0;
/// A statement is running.
const RUNNING: u8 = 1;
/// A statement is running and its cancellation was requested.
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
    /// Registers a session under an unused process id until the registration is dropped.
    pub(super) fn register(&self) -> CancelRegistration {
        let mut random = rand::rng();
        let flag = Arc::new(CancelFlag::default());
        let secret = random.random();
        let mut sessions = self.sessions.lock();
        let process_id = loop {
            let number = random.random_range(1..i32::MAX);
            if !sessions.contains_key(&number) {
                break number;
            }
        };
        let session = RegisteredSession {
            secret,
            flag: Arc::clone(&flag),
        };
        sessions.insert(process_id, session);
        drop(sessions);
        CancelRegistration {
            registry: self.clone(),
            process_id,
            secret,
            flag,
        }
    }

    /// Cancels the running statement of a session; has no effect unless id and secret match.
    pub(super) fn cancel(&self, process_id: i32, secret: i32) {
        let sessions = self.sessions.lock();
        if let Some(session) = sessions
            .get(&process_id)
            .filter(|found| found.secret == secret)
        {
            session.flag.request();
        }
    }
}

/// A session's entry in the registry, removed on drop.
#[derive(Debug)]
pub(super) struct CancelRegistration {
    registry: CancelRegistry,
    /// Process id sent to the caller.
    pub(super) process_id: i32,
    /// Secret key sent to the caller.
    pub(super) secret: i32,
    /// Signals cancel requests to the session.
    pub(super) flag: Arc<CancelFlag>,
}

impl Drop for CancelRegistration {
    fn drop(&mut self) {
        self.registry.sessions.lock().remove(&self.process_id);
    }
}

/// Signals to one session that its running statement is to be cancelled.
#[derive(Debug, Default)]
pub(super) struct CancelFlag {
    state: AtomicU8,
    wake: Notify,
}

impl CancelFlag {
    /// Accepts cancel requests until the guard is dropped.
    pub(super) fn start(self: &Arc<Self>) -> RunningGuard {
        self.state.store(RUNNING, Ordering::Release);
        RunningGuard(Arc::clone(self))
    }

    /// Ignores cancel requests from now on.
    pub(super) fn end(&self) {
        self.state.store(IDLE, Ordering::Release);
    }

    /// Waits for a cancel request for the running statement; completes once per request.
    pub(super) async fn requested(&self) {
        loop {
            let reset = self.state.compare_exchange(
                REQUESTED,
                RUNNING,
                Ordering::AcqRel,
                Ordering::Acquire,
            );
            if reset.is_ok() {
                return;
            }
            self.wake.notified().await;
        }
    }

    fn request(&self) {
        let requested =
            self.state
                .compare_exchange(RUNNING, REQUESTED, Ordering::AcqRel, Ordering::Acquire);
        if requested.is_ok() {
            self.wake.notify_one();
        }
    }
}

/// Accepts cancel requests for a running statement until dropped.
pub(super) struct RunningGuard(Arc<CancelFlag>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.end();
    }
}
