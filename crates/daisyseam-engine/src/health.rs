//! How the databases have answered this instance of late.

#[cfg(test)]
mod tests;

use daisyseam_model::{
    UpstreamId,
    ViewNumber, //
};
use parking_lot::Mutex;
use std::{
    collections::HashMap,
    time::Duration, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};

/// First time for which a database that failed is avoided; it doubles with each failure.
const AVOID: Duration = Duration::from_millis(200);

/// Longest time for which a database that failed is avoided.
const AVOID_MAX: Duration = Duration::from_secs(2);

/// Time for which a database that lacked a position is not asked for one.
const LAG_MEMORY: Duration = Duration::from_millis(100);

/// Failures without anything good between them that make a database unreachable.
const UNREACHABLE_FAILURES: u32 = 2;

/// Time without anything good that makes a database unreachable.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(300);

/// Time without any answer while calls are under way after which a database is avoided.
const SUSPECT_AFTER: Duration = Duration::from_millis(500);

/// Time without any answer while several calls are under way that makes a database unreachable.
const SILENT_AFTER: Duration = Duration::from_millis(1_000);

/// Calls under way whose silence makes a database unreachable.
const SILENT_CALLS: usize = 2;

/// Time without a try after which a database that does not answer is tried on no caller's account.
const PROBE_AFTER: Duration = Duration::from_millis(1_000);

/// What is known of each database; wakes who waits for a change of its health.
#[derive(Debug, Default)]
pub(crate) struct HealthTable {
    upstreams: Mutex<HashMap<UpstreamId, UpstreamHealth>>,
    changes: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct UpstreamHealth {
    failures: u32,
    failing_since: Option<Instant>,
    last_try: Option<Instant>,
    avoid_until: Option<Instant>,
    lagging_until: Option<Instant>,
    misdirected: Option<ViewNumber>,
    under_way: usize,
    quiet_since: Option<Instant>,
    reported_bad: bool,
}

/// A database's health, as control is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct HealthNote {
    /// The database.
    pub(crate) upstream: UpstreamId,
    /// Whether it answers.
    pub(crate) reachable: bool,
    /// Time since it first failed to.
    pub(crate) silence: Duration,
}

impl HealthTable {
    /// Notes that a call is under way until the guard is dropped.
    pub(crate) fn asked<'a>(&'a self, upstream: &'a UpstreamId) -> CallGuard<'a> {
        let mut upstreams = self.upstreams.lock();
        let health = entry(&mut upstreams, upstream);
        if health.under_way == 0 {
            health.quiet_since = Some(Instant::now());
        }
        health.under_way += 1;
        CallGuard {
            table: self,
            upstream,
        }
    }

    /// Notes an answer.
    pub(crate) fn good(&self, upstream: &UpstreamId) {
        let mut upstreams = self.upstreams.lock();
        let health = entry(&mut upstreams, upstream);
        health.quiet_since = Some(Instant::now());
        health.failures = 0;
        health.avoid_until = None;
        health.failing_since = None;
        if health.reported_bad {
            drop(upstreams);
            self.changes.send_replace(());
        }
    }

    /// Notes that a database is about to be asked; one that has failed is asked by one at a time.
    pub(crate) fn chosen(&self, upstream: &UpstreamId) {
        let mut upstreams = self.upstreams.lock();
        if let Some(health) = upstreams.get_mut(upstream)
            && health.failures > 0
        {
            health.avoid_until = Some(Instant::now() + AVOID);
        }
    }

    /// Notes a failure to connect, a lost connection or an answer that did not come.
    pub(crate) fn failed(&self, upstream: &UpstreamId) {
        let mut upstreams = self.upstreams.lock();
        let health = entry(&mut upstreams, upstream);
        let now = Instant::now();
        health.failures = health.failures.saturating_add(1);
        health.failing_since.get_or_insert(now);
        health.last_try = Some(now);
        let doublings = (health.failures - 1).min(8);
        health.avoid_until = Some(now + (AVOID * (1 << doublings)).min(AVOID_MAX));
        let news = health.failures >= UNREACHABLE_FAILURES && !health.reported_bad;
        drop(upstreams);
        if news {
            self.changes.send_replace(());
        }
    }

    /// Notes that a database answered that it has no room for a connection.
    pub(crate) fn busy(&self, upstream: &UpstreamId) {
        self.good(upstream);
        let mut upstreams = self.upstreams.lock();
        entry(&mut upstreams, upstream).avoid_until = Some(Instant::now() + AVOID / 4);
    }

    /// Notes that a database lacked a position.
    pub(crate) fn lagging(&self, upstream: &UpstreamId) {
        let mut upstreams = self.upstreams.lock();
        entry(&mut upstreams, upstream).lagging_until = Some(Instant::now() + LAG_MEMORY);
    }

    /// Notes that another database answers at its address, as a view named it.
    pub(crate) fn misdirected(&self, upstream: &UpstreamId, view: ViewNumber) {
        let mut upstreams = self.upstreams.lock();
        entry(&mut upstreams, upstream).misdirected = Some(view);
    }

    /// Returns whether another database should be preferred; `view` is the one that names it now.
    pub(crate) fn is_avoided(&self, upstream: &UpstreamId, view: ViewNumber) -> bool {
        let upstreams = self.upstreams.lock();
        let health = upstreams.get(upstream);
        health.is_some_and(|health| health.avoid_until(Instant::now(), view).is_some())
    }

    /// Returns until when calls that only this database can serve should be held: while it has
    /// failed more than once, or is silent.
    pub(crate) fn hold_until(&self, upstream: &UpstreamId, view: ViewNumber) -> Option<Instant> {
        let upstreams = self.upstreams.lock();
        let health = upstreams.get(upstream)?;
        let until = health.avoid_until(Instant::now(), view)?;
        (health.failures != 1).then_some(until)
    }

    /// Returns whether a database lacked a position a moment ago.
    pub(crate) fn is_lagging(&self, upstream: &UpstreamId) -> bool {
        let upstreams = self.upstreams.lock();
        let until = upstreams
            .get(upstream)
            .and_then(|health| health.lagging_until);
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Forgets databases that are gone.
    pub(crate) fn retain(&self, keep: impl Fn(&UpstreamId) -> bool) {
        self.upstreams.lock().retain(|upstream, _| keep(upstream));
    }

    /// Returns what control should be told now: all that do not answer, and those that answer
    /// again.
    pub(crate) fn notes(&self) -> Vec<HealthNote> {
        let now = Instant::now();
        let mut notes = Vec::new();
        for (upstream, health) in self.upstreams.lock().iter_mut() {
            let reachable = !health.is_bad(now);
            if reachable && !health.reported_bad {
                continue;
            }
            health.reported_bad = !reachable;
            notes.push(HealthNote {
                upstream: upstream.clone(),
                reachable,
                silence: health.silence(now),
            });
        }
        notes
    }

    /// Returns the databases that do not answer and that nobody has tried for a while; they count
    /// as tried from now on.
    pub(crate) fn take_probes(&self) -> Vec<UpstreamId> {
        let now = Instant::now();
        let mut upstreams = self.upstreams.lock();
        let due = upstreams.iter_mut().filter(|(_, health)| {
            let tried = health.last_try.is_some_and(|at| now < at + PROBE_AFTER);
            health.reported_bad && health.under_way == 0 && !tried
        });
        let probes = due.map(|(upstream, health)| {
            health.last_try = Some(now);
            upstream.clone()
        });
        probes.collect()
    }

    /// Returns when control should be told of a change, `now` if it should be at once; none while
    /// there is none to come.
    pub(crate) fn news_at(&self, now: Instant) -> Option<Instant> {
        let upstreams = self.upstreams.lock();
        let moments = upstreams.values().filter_map(|health| health.news_at(now));
        moments.min()
    }

    /// Returns a receiver that is woken when the health of a database may have changed.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }
}

impl UpstreamHealth {
    fn avoid_until(&self, now: Instant, view: ViewNumber) -> Option<Instant> {
        if self.misdirected == Some(view) {
            return Some(now + AVOID_MAX);
        }
        if self.quiet(now) >= SUSPECT_AFTER {
            return Some(now + AVOID);
        }
        self.avoid_until.filter(|until| now < *until)
    }

    fn is_bad(&self, now: Instant) -> bool {
        let silent = self.under_way >= SILENT_CALLS && self.quiet(now) >= SILENT_AFTER;
        silent || self.bad_at().is_some_and(|at| at <= now)
    }

    /// Returns for how long calls under way have had no answer.
    fn quiet(&self, now: Instant) -> Duration {
        let since = self.quiet_since.filter(|_| self.under_way > 0);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    fn bad_at(&self) -> Option<Instant> {
        let enough = self.failures >= UNREACHABLE_FAILURES;
        let since = self.failing_since.filter(|_| enough)?;
        Some(since + UNREACHABLE_AFTER)
    }

    fn news_at(&self, now: Instant) -> Option<Instant> {
        match self.reported_bad {
            true => (!self.is_bad(now)).then_some(now),
            false => self.bad_at(),
        }
    }

    fn silence(&self, now: Instant) -> Duration {
        let failing = self.failing_since;
        let failing = failing.map(|since| now.saturating_duration_since(since));
        failing.unwrap_or_default().max(self.quiet(now))
    }
}

/// A call that is under way until this is dropped.
pub(crate) struct CallGuard<'a> {
    table: &'a HealthTable,
    upstream: &'a UpstreamId,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        let mut upstreams = self.table.upstreams.lock();
        if let Some(health) = upstreams.get_mut(self.upstream) {
            health.under_way = health.under_way.saturating_sub(1);
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
    // Just inserted if it was not there.
    upstreams
        .get_mut(upstream)
        .expect("the database has an entry")
}
