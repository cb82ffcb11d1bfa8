//! A small fleet for whole-path tests, and callers for it.

use daisyseam_bench::{
    fleet::{
        FleetPlan,
        TestFleet,
        example_key, //
    },
    load::{
        CallError,
        CallerSession,
        CallerTarget, //
    }, //
};
use std::{
    future::Future,
    ops::{
        Deref,
        DerefMut, //
    },
    time::Duration, //
};
use tokio::{
    sync::{
        Semaphore,
        SemaphorePermit, //
    },
    time::{
        Instant,
        timeout, //
    }, //
};

/// Fleets that run at once.
static RUNNING: Semaphore = Semaphore::const_new(2);

/// Longest time that anything here may take before the test is taken for hung.
pub(crate) const HANG_GUARD: Duration = Duration::from_secs(120);
/// Organisation of the tests.
pub(crate) const ORGANISATION: &str = "swakop-shells";
/// Service of the tests.
pub(crate) const SERVICE: &str = "bookings";

const DOCUMENT: &str = include_str!("path.toml");

/// Plans three data centres with one entry and one database each.
pub(crate) fn plan(slots: usize) -> FleetPlan {
    let text = DOCUMENT.replace("slots = 5", &format!("slots = {slots}"));
    let mut plan = FleetPlan::new(&text).without_delays();
    plan.entries = 3;
    plan.controls = 3;
    plan
}

/// A fleet and its right to run, as only a few may at once on a small machine.
pub(crate) struct PathFleet {
    fleet: TestFleet,
    _permit: SemaphorePermit<'static>,
}

impl Deref for PathFleet {
    type Target = TestFleet;

    fn deref(&self) -> &TestFleet {
        &self.fleet
    }
}

impl DerefMut for PathFleet {
    fn deref_mut(&mut self) -> &mut TestFleet {
        &mut self.fleet
    }
}

/// Starts a fleet and waits until its service takes writes.
pub(crate) async fn start(plan: FleetPlan) -> PathFleet {
    let permit = RUNNING.acquire().await.expect("it is never closed");
    let ready = TestFleet::start_ready(plan, Instant::now() + HANG_GUARD).await;
    PathFleet {
        fleet: ready.expect("the fleet is ready"),
        _permit: permit,
    }
}

/// Names an entry instance as a caller's target.
pub(crate) fn target(fleet: &TestFleet, entry: usize) -> CallerTarget {
    CallerTarget {
        address: fleet.entries[entry].caller_address(),
        user: ORGANISATION.to_owned(),
        password: example_key(ORGANISATION),
        service: SERVICE.to_owned(),
    }
}

/// Connects to an entry instance.
pub(crate) async fn connect(fleet: &TestFleet, entry: usize, token: Option<&str>) -> CallerSession {
    let session = CallerSession::connect(&target(fleet, entry), token).await;
    session.expect("a session")
}

/// Runs a text of statements.
pub(crate) async fn run(session: &mut CallerSession, text: &str) {
    guarded(session.batch(text)).await.expect("an answer");
}

/// Reads one number.
pub(crate) async fn number(session: &mut CallerSession, text: &str) -> i64 {
    let rows = guarded(session.query(text, &[])).await.expect("rows");
    rows[0].get(0)
}

/// Returns the SQLSTATE of a failure.
pub(crate) fn code<T: std::fmt::Debug>(result: Result<T, CallError>) -> String {
    result.expect_err("a refusal").code().to_owned()
}

/// Lets a test fail that would hang.
pub(crate) async fn guarded<T>(work: impl Future<Output = T>) -> T {
    timeout(HANG_GUARD, work).await.expect("it does not hang")
}
