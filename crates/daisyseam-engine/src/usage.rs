//! Counts requests that begin to run at databases, per organisation and window.

#[cfg(test)]
mod tests;

use crate::{
    DatabaseReply,
    RefusalKind,
    attempt::{
        Fence,
        refusal, //
    },
    link::{
        LinkCall,
        LinkError,
        LinkVerb, //
    }, //
};
use daisyseam_model::OrganisationId;
use daisyseam_wire::{
    UsageCount,
    UsageReport,
    UsageWindow, //
};
use parking_lot::Mutex;
use std::{
    collections::BTreeMap,
    time::{
        Duration,
        SystemTime, //
    }, //
};
use tokio::time::Instant;

/// Time between two reports of a window that has not ended.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait after the end of a window for the replies to its requests. Requests without a reply
/// by then count.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Time after which a report is made again unless its heartbeat was answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of counts in a heartbeat, which keeps it under 3 KB. The others follow with the
/// next heartbeats.
const COUNTS_MAX: usize = 100;

/// Maximum number of windows that wait for a decision of control; beyond, the oldest is dropped.
/// Control does not collect more.
const WINDOWS_MAX: usize = 24;

/// Round trip beyond which a reply does not correct the end of the window, since it is not known
/// when on the way control wrote it.
const ROUND_TRIP_MAX: Duration = Duration::from_millis(200);

/// Counts requests; does nothing until control sends a window.
#[derive(Debug)]
pub(crate) struct UsageMeter {
    /// When this process started, by the wall clock, in milliseconds since 1970.
    born_ms: u64,
    state: Mutex<Option<MeterState>>,
}

/// Counts and what control knows of them.
#[derive(Debug)]
struct MeterState {
    /// `None` until the leader knows the time. Requests until then belong to the first window.
    clock: Option<MeterClock>,
    /// Control term whose leader has the reports.
    term: u64,
    windows: BTreeMap<u64, WindowCounts>,
    reported_at: Option<Instant>,
    /// The report whose heartbeat has not been answered.
    unanswered: Option<SentReport>,
}

/// Assigns the monotonic clock to windows.
#[derive(Clone, Copy, Debug)]
struct MeterClock {
    window: u64,
    ends_at: Instant,
    length: Duration,
}

#[derive(Debug, Default)]
struct WindowCounts {
    counts: BTreeMap<OrganisationId, RequestCount>,
    /// Number of counted requests without a reply.
    open: usize,
    /// Whether the counts no longer change, since they were reported as final.
    is_closed: bool,
    /// Whether control has the final counts.
    is_known: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct RequestCount {
    count: u64,
    /// The count that control has.
    known: u64,
}

#[derive(Debug)]
struct SentReport {
    sequence: u64,
    sent_at: Instant,
    reports: Vec<UsageReport>,
}

impl Default for UsageMeter {
    fn default() -> Self {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let born_ms = since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0));
        Self {
            born_ms,
            state: Mutex::new(None),
        }
    }
}

impl UsageMeter {
    /// Counts a call that is about to be sent. Dropping the guard leaves it counted.
    pub(crate) fn start(
        &self,
        now: Instant,
        organisation: Option<&OrganisationId>,
        call: &LinkCall<'_>,
    ) -> Option<MeteredCall<'_>> {
        let organisation = organisation.filter(|_| is_counted(call))?;
        let mut state = self.state.lock();
        let state = state.as_mut()?;
        let window = state.window_at(now);
        let counts = state.windows.entry(window).or_default();
        if counts.is_closed {
            return None;
        }
        counts.open += 1;
        counts.counts.entry(organisation.clone()).or_default().count += 1;
        Some(MeteredCall {
            meter: self,
            window,
            organisation: organisation.clone(),
            has_run: true,
        })
    }

    /// Returns the report for the heartbeat of a sequence number; `None` if nothing is counted.
    pub(crate) fn report(&self, now: Instant, sequence: u64) -> Option<Vec<UsageReport>> {
        let mut state = self.state.lock();
        let state = state.as_mut()?;
        if let Some(sent) = &state.unanswered
            && now - sent.sent_at < ANSWER_TIMEOUT
        {
            return Some(Vec::new());
        }
        state.unanswered = None;
        let reports = state.take_reports(now, self.born_ms);
        if !reports.is_empty() {
            state.unanswered = Some(SentReport {
                sequence,
                sent_at: now,
                reports: reports.clone(),
            });
        }
        Some(reports)
    }

    /// Makes the next report due at once, before the process stops.
    pub(crate) fn hasten(&self) {
        if let Some(state) = self.state.lock().as_mut() {
            state.reported_at = None;
        }
    }

    /// Handles the window in the reply to the heartbeat of a sequence number; `None` stops counting.
    pub(crate) fn handle_reply(
        &self,
        sequence: u64,
        (sent_at, now): (Instant, Instant),
        window: Option<&UsageWindow>,
    ) {
        let mut state = self.state.lock();
        let Some(reply) = window.filter(|reply| reply.window_ms > 0) else {
            *state = None;
            return;
        };
        let round_trip = now - sent_at;
        let clock = (reply.window > 0).then(|| MeterClock {
            window: reply.window,
            ends_at: sent_at + round_trip / 2 + Duration::from_millis(reply.left_ms),
            length: Duration::from_millis(reply.window_ms),
        });
        let state = state.get_or_insert_with(|| MeterState::new(reply.term));
        if let Some(clock) = clock {
            state.set_clock(clock, round_trip);
        }
        state.acknowledge(sequence, reply);
    }

    /// Removes a call that was refused without having run.
    fn remove(&self, window: u64, organisation: &OrganisationId) {
        let mut state = self.state.lock();
        let counts = state
            .as_mut()
            .and_then(|state| state.windows.get_mut(&window));
        let Some(counts) = counts.filter(|counts| !counts.is_closed) else {
            return;
        };
        if let Some(count) = counts.counts.get_mut(organisation) {
            count.count = count.count.saturating_sub(1);
        }
    }

    fn finish(&self, window: u64) {
        let mut state = self.state.lock();
        let counts = state
            .as_mut()
            .and_then(|state| state.windows.get_mut(&window));
        if let Some(counts) = counts {
            counts.open = counts.open.saturating_sub(1);
        }
    }
}

impl MeterState {
    fn new(term: u64) -> Self {
        Self {
            clock: None,
            term,
            windows: BTreeMap::new(),
            reported_at: None,
            unanswered: None,
        }
    }

    /// Returns the window of a moment; 0 while it is not known.
    fn window_at(&self, now: Instant) -> u64 {
        let window = self.clock.map_or(0, |clock| clock.window_at(now));
        // A correction of the clock must not add to a window that may have been reported.
        let newest = self.windows.last_key_value();
        newest.map_or(window, |(newest, _)| window.max(*newest))
    }

    fn set_clock(&mut self, clock: MeterClock, round_trip: Duration) {
        match self.clock {
            Some(_) if round_trip > ROUND_TRIP_MAX => {}
            Some(_) => self.clock = Some(clock),
            None => {
                self.clock = Some(clock);
                let unassigned = self.windows.remove(&0).unwrap_or_default();
                self.windows.insert(clock.window, unassigned);
                // Nothing was counted before, and the leader need not wait for that.
                self.windows.entry(clock.window - 1).or_default();
            }
        }
    }

    /// Records what control knows after a reply.
    fn acknowledge(&mut self, sequence: u64, reply: &UsageWindow) {
        if reply.term != self.term {
            // The leader of another term has none of the earlier reports.
            self.term = reply.term;
            self.unanswered = None;
            for counts in self.windows.values_mut() {
                counts.forget_known();
            }
        }
        if let Some(sent) = self.unanswered.take_if(|sent| sent.sequence == sequence) {
            for report in sent.reports {
                if let Some(counts) = self.windows.get_mut(&report.window) {
                    counts.record_known(&report);
                }
            }
        }
        self.windows
            .retain(|window, _| *window == 0 || *window > reply.decided);
    }

    fn take_reports(&mut self, now: Instant, born_ms: u64) -> Vec<UsageReport> {
        let Some(clock) = self.clock else {
            return Vec::new();
        };
        let current = self.window_at(now);
        self.windows.entry(current).or_default();
        while self.windows.len() > WINDOWS_MAX {
            self.windows.pop_first();
        }
        let due = |at| now - at >= REPORT_INTERVAL;
        let interval_ended = self.reported_at.is_none_or(due);
        let mut reports = Vec::new();
        let mut room = COUNTS_MAX;
        for (window, counts) in &mut self.windows {
            let is_settled = *window < current
                && (counts.open == 0 || now >= clock.end_of(*window) + SETTLE_TIME);
            if counts.is_known || !is_settled && !interval_ended {
                continue;
            }
            let (changed, is_all) = counts.changed(room);
            room -= changed.len();
            let is_final = is_settled && is_all;
            if changed.is_empty() && !is_final {
                continue;
            }
            counts.is_closed |= is_final;
            reports.push(UsageReport {
                window: *window,
                is_final,
                counts: changed,
                born_ms,
                term: self.term,
            });
        }
        if interval_ended {
            self.reported_at = Some(now);
        }
        reports
    }
}

impl MeterClock {
    fn window_at(&self, now: Instant) -> u64 {
        if now < self.ends_at {
            return self.window;
        }
        let passed = (now - self.ends_at).as_millis() / self.length.as_millis().max(1);
        self.window + 1 + u64::try_from(passed).unwrap_or(0)
    }

    /// Returns when a window ends; the end of the current one if that is later.
    fn end_of(&self, window: u64) -> Instant {
        let ago = u32::try_from(self.window.saturating_sub(window)).unwrap_or(u32::MAX);
        let later = u32::try_from(window.saturating_sub(self.window)).unwrap_or(u32::MAX);
        let end = self.ends_at + self.length.saturating_mul(later);
        let ago = self.length.saturating_mul(ago);
        end.checked_sub(ago).unwrap_or(end)
    }
}

impl WindowCounts {
    /// Returns up to `room` counts that control does not have, and whether these are all.
    fn changed(&self, room: usize) -> (Vec<UsageCount>, bool) {
        let counts = self.counts.iter();
        let mut changed = counts.filter(|(_, count)| count.count != count.known);
        let reported = changed.by_ref().take(room);
        let reported = reported.map(|(organisation, count)| UsageCount {
            organisation: organisation.to_string(),
            count: count.count,
        });
        (reported.collect(), changed.next().is_none())
    }

    fn record_known(&mut self, report: &UsageReport) {
        for reported in &report.counts {
            if let Some(count) = self.counts.get_mut(reported.organisation.as_str()) {
                count.known = reported.count;
            }
        }
        self.is_known |= report.is_final;
    }

    fn forget_known(&mut self) {
        self.is_known = false;
        for count in self.counts.values_mut() {
            count.known = 0;
        }
    }
}

/// A counted call. Unless a reply says that it did not run, it stays counted.
pub(crate) struct MeteredCall<'a> {
    meter: &'a UsageMeter,
    window: u64,
    organisation: OrganisationId,
    has_run: bool,
}

impl MeteredCall<'_> {
    /// Records the outcome.
    pub(crate) fn finish(mut self, outcome: &Result<DatabaseReply, LinkError>) {
        self.has_run = has_run(outcome);
    }
}

impl Drop for MeteredCall<'_> {
    fn drop(&mut self) {
        if !self.has_run {
            self.meter.remove(self.window, &self.organisation);
        }
        self.meter.finish(self.window);
    }
}

/// Returns whether a call counts as a request. A statement with the identifier of a caller's request
/// counts, and a transaction counts once, at its begin.
fn is_counted(call: &LinkCall<'_>) -> bool {
    match call.verb {
        LinkVerb::Run(_) => call.id.is_some() && !call.in_transaction,
        // A begin that takes no new work only checks that a primary leads.
        LinkVerb::Begin(_) => call.fence != Fence::Leased,
        LinkVerb::Commit | LinkVerb::Rollback => false,
    }
}

/// Returns whether a call began to run, as far as is known: it did unless a reply says otherwise.
fn has_run(outcome: &Result<DatabaseReply, LinkError>) -> bool {
    match outcome {
        Ok(reply) => match refusal(reply) {
            None
            | Some(
                RefusalKind::Aborted
                | RefusalKind::Failed
                | RefusalKind::TimedOut
                | RefusalKind::Unknown,
            ) => true,
            Some(
                RefusalKind::Busy
                | RefusalKind::Lagging
                | RefusalKind::ReadOnly
                | RefusalKind::Misdirected
                | RefusalKind::TooManyConnections
                | RefusalKind::UnknownStatement
                | RefusalKind::Malformed,
            ) => false,
        },
        Err(LinkError::Lost | LinkError::HolderLost | LinkError::TimedOut) => true,
        Err(
            LinkError::Acquire(_)
            | LinkError::NotHolder
            | LinkError::NotSent
            | LinkError::SetUpLost
            | LinkError::Fenced,
        ) => false,
    }
}
