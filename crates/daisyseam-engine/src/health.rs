//! Health of the databases as observed by this instance.

#[cfg(test)]
mod tests;

use crate::pool::UpstreamLoad;
use daisyseam_model::{
    UpstreamId,
    ViewNumber, //
};
use parking_lot::Mutex;
use std::{
    collections::HashMap,
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};

/// Time for which a database is avoided after its first failure; doubles with each further one.
const AVOID_INITIAL: Duration = Duration::from_millis(200);

/// Longest time for which a failed database is avoided.
const AVOID_MAX: Duration = Duration::from_secs(2);

/// Time for which a database that lacked a position gets no reads that require one.
const LAG_MEMORY: Duration = Duration::from_millis(100);

/// Time for which a database without a free connection gets reads only if no other one is left.
const EXHAUSTION_MEMORY: Duration = Duration::from_millis(50);

/// Time in which an expected wait that a holder reported counts half.
const WAIT_HALF_LIFE: Duration = Duration::from_millis(500);

/// Consecutive failures after which a database may count as unreachable.
const UNREACHABLE_FAILURES: u32 = 2;

/// Time since the first of consecutive failures after which a database counts as unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(300);

/// Time without a reply, while calls are in flight, after which a database is avoided.
const NO_REPLY_AVOID_AFTER: Duration = Duration::from_millis(500);

/// Time without a reply, while several calls are in flight, after which a database is unreachable.
const NO_REPLY_UNREACHABLE_AFTER: Duration = Duration::from_millis(1_000);

/// Number of unanswered calls in flight from which [`NO_REPLY_UNREACHABLE_AFTER`] applies.
const NO_REPLY_MIN_CALLS: usize = 2;

/// Time without an attempt after which an unreachable database is probed.
const PROBE_AFTER: Duration = Duration::from_millis(1_000);

/// Health of each database, with notification of changes.
#[derive(Debug, Default)]
pub(crate) struct HealthTable {
    upstreams: Mutex<HashMap<UpstreamId, UpstreamHealth>>,
    changes: watch::Sender<()>,
    choices: AtomicU64,
}

#[derive(Debug, Default)]
struct UpstreamHealth {
    failures: u32,
    failing_since: Option<Instant>,
    last_try: Option<Instant>,
    avoid_until: Option<Instant>,
    lagging_until: Option<Instant>,
    exhausted_until: Option<Instant>,
    last_choice: u64,
    /// Expected wait at the holder, and when it was reported.
    wait: Option<(Duration, Instant)>,
    misdirected: Option<ViewNumber>,
    in_flight: usize,
    /// Number of calls in flight over other instances, which observe the database for themselves.
    relayed: usize,
    no_reply_since: Option<Instant>,
    reported_unreachable: bool,
}

/// A database's health as reported to control.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct UpstreamHealthReport {
    /// The database.
    pub(crate) upstream: UpstreamId,
    /// Whether it responds.
    pub(crate) reachable: bool,
    /// Time since it first failed to respond.
    pub(crate) silence: Duration,
}

impl HealthTable {
    /// Records a call as in flight until the guard is dropped.
    pub(crate) fn call_started<'a>(&'a self, upstream: &'a UpstreamId) -> CallGuard<'a> {
        let mut upstreams = self.upstreams.lock();
        let health = entry(&mut upstreams, upstream);
        if health.in_flight == 0 {
            health.no_reply_since = Some(Instant::now());
        }
        health.in_flight += 1;
        CallGuard {
            table: self,
            upstream,
            is_relayed: false,
        }
    }

    /// Records a call over another instance as in flight until the guard is dropped.
    pub(crate) fn relayed_call_started<'a>(&'a self, upstream: &'a UpstreamId) -> CallGuard<'a> {
        let mut upstreams = self.upstreams.lock();
        entry(&mut upstreams, upstream).relayed += 1;
        CallGuard {
            table: self,
            upstream,
            is_relayed: true,
        }
    }

    /// Records a reply.
    pub(crate) fn record_reply(&self, upstream: &UpstreamId) {
        let mut upstreams = self.upstreams.lock();
        let health = entry(&mut upstreams, upstream);
        health.no_reply_since = Some(Instant::now());
        health.failures = 0;
        health.avoid_until = None;
        health.failing_since = None;
        if health.reported_unreachable {
            drop(upstreams);
            self.changes.send_replace(());
        }
    }

    /// Records that a database was chosen; one that has failed is tried by one request at a time.
    pub(crate) fn record_choice(&self, upstream: &UpstreamId) {
        let choice = self.choices.fetch_add(1, Ordering::Relaxed) + 1;
        let mut upstreams = self.upstreams.lock();
        let health = entry(&mut upstreams, upstream);
        health.last_choice = choice;
        if health.failures > 0 {
            health.avoid_until = Some(Instant::now() + AVOID_INITIAL);
        }
    }

    /// Records a failure to connect, a lost connection or a missing reply.
    pub(crate) fn record_failure(&self, upstream: &UpstreamId) {
        let mut upstreams = self.upstreams.lock();
        let health = entry(&mut upstreams, upstream);
        let now = Instant::now();
        health.failures = health.failures.saturating_add(1);
        health.failing_since.get_or_insert(now);
        health.last_try = Some(now);
        let doublings = (health.failures - 1).min(8);
        health.avoid_until = Some(now + (AVOID_INITIAL * (1 << doublings)).min(AVOID_MAX));
        let is_change = health.failures >= UNREACHABLE_FAILURES && !health.reported_unreachable;
        drop(upstreams);
        if is_change {
            self.changes.send_replace(());
        }
    }

    /// Records that a database responded but refused a connection.
    pub(crate) fn record_refused_connection(&self, upstream: &UpstreamId) {
        self.record_reply(upstream);
        let mut upstreams = self.upstreams.lock();
        entry(&mut upstreams, upstream).avoid_until = Some(Instant::now() + AVOID_INITIAL / 4);
    }

    /// Records that there was no free connection to a database in time.
    pub(crate) fn record_exhausted(&self, upstream: &UpstreamId) {
        let mut upstreams = self.upstreams.lock();
        let until = Instant::now() + EXHAUSTION_MEMORY;
        entry(&mut upstreams, upstream).exhausted_until = Some(until);
    }

    /// Returns the load of a database whose connections other instances hold, as far as it is known
    /// here.
    pub(crate) fn relayed_load(&self, upstream: &UpstreamId) -> UpstreamLoad {
        let upstreams = self.upstreams.lock();
        let health = upstreams.get(upstream);
        health.map_or_else(UpstreamLoad::default, |health| UpstreamLoad {
            full: health
                .exhausted_until
                .is_some_and(|until| Instant::now() < until),
            checked_out: health.in_flight + health.relayed,
            last_claim: health.last_choice,
        })
    }

    /// Records the expected wait that a holder of a database has reported.
    pub(crate) fn record_wait(&self, upstream: &UpstreamId, wait: Duration) {
        let mut upstreams = self.upstreams.lock();
        entry(&mut upstreams, upstream).wait = Some((wait, Instant::now()));
    }

    /// Returns the expected wait for a database that other instances hold; `None` if none of them
    /// has reported one.
    pub(crate) fn expected_wait(&self, upstream: &UpstreamId) -> Option<Duration> {
        let upstreams = self.upstreams.lock();
        let (wait, reported_at) = upstreams.get(upstream)?.wait?;
        let halvings = reported_at.elapsed().as_secs_f64() / WAIT_HALF_LIFE.as_secs_f64();
        Some(wait.mul_f64(0.5_f64.powf(halvings)))
    }

    /// Records that a database lacked a position.
    pub(crate) fn record_lag(&self, upstream: &UpstreamId) {
        let mut upstreams = self.upstreams.lock();
        entry(&mut upstreams, upstream).lagging_until = Some(Instant::now() + LAG_MEMORY);
    }

    /// Records that another database responds at the address given in a view.
    pub(crate) fn record_misdirected(&self, upstream: &UpstreamId, view: ViewNumber) {
        let mut upstreams = self.upstreams.lock();
        entry(&mut upstreams, upstream).misdirected = Some(view);
    }

    /// Returns whether other databases should be preferred; `view` is the view that lists it now.
    pub(crate) fn is_avoided(&self, upstream: &UpstreamId, view: ViewNumber) -> bool {
        let upstreams = self.upstreams.lock();
        let health = upstreams.get(upstream);
        health.is_some_and(|health| health.avoid_until(Instant::now(), view).is_some())
    }

    /// Returns until when calls that only this database can serve should be held back. They are
    /// while it has failed more than once or does not reply.
    pub(crate) fn hold_until(&self, upstream: &UpstreamId, view: ViewNumber) -> Option<Instant> {
        let upstreams = self.upstreams.lock();
        let health = upstreams.get(upstream)?;
        let until = health.avoid_until(Instant::now(), view)?;
        (health.failures != 1).then_some(until)
    }

    /// Returns whether a database recently lacked a position.
    pub(crate) fn is_lagging(&self, upstream: &UpstreamId) -> bool {
        let upstreams = self.upstreams.lock();
        let until = upstreams
            .get(upstream)
            .and_then(|health| health.lagging_until);
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Removes databases that are no longer in the view.
    pub(crate) fn retain(&self, keep: impl Fn(&UpstreamId) -> bool) {
        self.upstreams.lock().retain(|upstream, _| keep(upstream));
    }

    /// Returns what to report to control: all unreachable databases, and those that have become
    /// reachable again.
    pub(crate) fn take_reports(&self) -> Vec<UpstreamHealthReport> {
        let now = Instant::now();
        let mut reports = Vec::new();
        for (upstream, health) in self.upstreams.lock().iter_mut() {
            let reachable = !health.is_unreachable(now);
            if reachable && !health.reported_unreachable {
                continue;
            }
            health.reported_unreachable = !reachable;
            reports.push(UpstreamHealthReport {
                upstream: upstream.clone(),
                reachable,
                silence: health.silence(now),
            });
        }
        reports
    }

    /// Returns the health of a database, as of now.
    pub(crate) fn current(&self, upstream: &UpstreamId) -> Option<UpstreamHealthReport> {
        let now = Instant::now();
        let upstreams = self.upstreams.lock();
        let health = upstreams.get(upstream)?;
        Some(UpstreamHealthReport {
            upstream: upstream.clone(),
            reachable: !health.is_unreachable(now),
            silence: health.silence(now),
        })
    }

    /// Returns the unreachable databases that have not been tried for a while, and marks them as
    /// tried now.
    pub(crate) fn take_probes(&self) -> Vec<UpstreamId> {
        let now = Instant::now();
        let mut upstreams = self.upstreams.lock();
        let due = upstreams.iter_mut().filter(|(_, health)| {
            let tried = health.last_try.is_some_and(|at| now < at + PROBE_AFTER);
            health.reported_unreachable && health.in_flight == 0 && !tried
        });
        let probes = due.map(|(upstream, health)| {
            health.last_try = Some(now);
            upstream.clone()
        });
        probes.collect()
    }

    /// Returns when a change should be reported to control: `now` if one is due, `None` if none is
    /// expected.
    pub(crate) fn next_report_at(&self, now: Instant) -> Option<Instant> {
        let upstreams = self.upstreams.lock();
        let moments = upstreams
            .values()
            .filter_map(|health| health.next_report_at(now));
        moments.min()
    }

    /// Returns a receiver that is notified when the health of a database may have changed.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }
}

impl UpstreamHealth {
    fn avoid_until(&self, now: Instant, view: ViewNumber) -> Option<Instant> {
        if self.misdirected == Some(view) {
            return Some(now + AVOID_MAX);
        }
        if self.no_reply_for(now) >= NO_REPLY_AVOID_AFTER {
            return Some(now + AVOID_INITIAL);
        }
        self.avoid_until.filter(|until| now < *until)
    }

    fn is_unreachable(&self, now: Instant) -> bool {
        let no_reply = self.in_flight >= NO_REPLY_MIN_CALLS
            && self.no_reply_for(now) >= NO_REPLY_UNREACHABLE_AFTER;
        no_reply || self.unreachable_at().is_some_and(|at| at <= now)
    }

    /// Returns how long the calls in flight have been without a reply.
    fn no_reply_for(&self, now: Instant) -> Duration {
        let since = self.no_reply_since.filter(|_| self.in_flight > 0);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    fn unreachable_at(&self) -> Option<Instant> {
        let enough = self.failures >= UNREACHABLE_FAILURES;
        let since = self.failing_since.filter(|_| enough)?;
        Some(since + UNREACHABLE_AFTER)
    }

    fn next_report_at(&self, now: Instant) -> Option<Instant> {
        match self.reported_unreachable {
            true => (!self.is_unreachable(now)).then_some(now),
            false => self.unreachable_at(),
        }
    }

    fn silence(&self, now: Instant) -> Duration {
        let failing = self.failing_since;
        let failing = failing.map(|since| now.saturating_duration_since(since));
        failing.unwrap_or_default().max(self.no_reply_for(now))
    }
}

/// Counts a call as in flight until dropped.
pub(crate) struct CallGuard<'a> {
    table: &'a HealthTable,
    upstream: &'a UpstreamId,
    is_relayed: bool,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        let mut upstreams = self.table.upstreams.lock();
        if let Some(health) = upstreams.get_mut(self.upstream) {
            let count = match self.is_relayed {
                true => &mut health.relayed,
                false => &mut health.in_flight,
            };
            *count = count.saturating_sub(1);
        }
    }
}

fn entry<'a>(
    upstreams: &'a mut HashMap<UpstreamId, UpstreamHealth>,
    upstream: &UpstreamId,
) -> &'a mut UpstreamHealth {
    if !upstreams.contains_key(upstream) {
        upstreams.insert(upstream.clone(), UpstreamHealth::default());
    }
    // Inserted above if it was missing.
    upstreams
        .get_mut(upstream)
        .expect("the database has an entry")
}
