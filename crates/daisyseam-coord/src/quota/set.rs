//! The token buckets of one instance and the lease on their shares.

use super::{
    DemandEntry,
    HoldingId,
    MILLI,
    RateKey,
    RateShare,
    ShareBucket,
    ShareReply,
    ShareReport,
    WaitingQueue, //
};
use crate::Moment;
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// The demand is reported again when it has changed by more than `1 / DEMAND_STEP_DIVISOR`.
const DEMAND_STEP_DIVISOR: u64 = 8;

/// Minimum time between two reports outside the heartbeat.
const EAGER_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which reports are sent at the minimum interval after a jump in demand.
const EAGER_TIME: Duration = Duration::from_millis(600);

/// Reason why no token is available.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoToken {
    /// The document contains no such organisation or open route.
    UnknownKey,
    /// The current share has no token left. Holds the time until the next one accrues, or `None`
    /// without a share.
    Wait(Option<Duration>),
}

/// The token buckets of one instance.
///
/// # Examples
///
/// ```
/// use daisyseam_coord::{Moment, quota::{BucketSet, NoToken, RateKey, RateShare}};
///
/// let key = RateKey::parse("keepers").unwrap();
/// let total = RateShare::from_document(10.0, 5.0);
/// let mut set = BucketSet::new();
/// set.set_totals(Moment::ORIGIN, [(key.clone(), total)]);
/// set.count(Moment::ORIGIN, &key);
/// // No share has been granted yet.
/// assert_eq!(set.take(Moment::ORIGIN, &key), Err(NoToken::Wait(None)));
/// assert_eq!(set.report(Moment::ORIGIN, 1).entries[0].wanted, 5_000);
/// ```
#[derive(Debug, Default)]
pub struct BucketSet {
    holding: HoldingId,
    valid_until: Moment,
    leaving: bool,
    last_report: Moment,
    eager_until: Moment,
    buckets: BTreeMap<RateKey, BucketEntry>,
}

impl BucketSet {
    /// Creates a set without shares.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the totals from the document in force.
    ///
    /// The bucket of a removed key is kept while it may hold a grant of the ledger.
    pub fn set_totals<I>(&mut self, now: Moment, totals: I)
    where
        I: IntoIterator<Item = (RateKey, RateShare)>,
    {
        for bucket in self.buckets.values_mut() {
            bucket.total = None;
        }
        for (key, total) in totals {
            let kept = self.buckets.entry(key);
            kept.or_insert_with(|| BucketEntry::new(now)).total = Some(total);
        }
        self.buckets
            .retain(|_, kept| kept.total.is_some() || kept.bucket.was_granted());
    }

    /// Counts a request for a key towards the demand; to be called once per request, admitted or not.
    pub fn count(&mut self, now: Moment, key: &RateKey) {
        if let Some(kept) = self.buckets.get_mut(key) {
            kept.bucket.count(now);
        }
    }

    /// Sets the state of the queue of requests waiting for a token of a key.
    pub fn set_waiting(&mut self, key: &RateKey, waiting: WaitingQueue) {
        if let Some(kept) = self.buckets.get_mut(key) {
            kept.bucket.set_waiting(waiting);
        }
    }

    /// Takes a token.
    ///
    /// # Errors
    ///
    /// Returns [`NoToken`] if none is available.
    pub fn take(&mut self, now: Moment, key: &RateKey) -> Result<(), NoToken> {
        self.end_lapsed(now);
        let kept = self.known(key).ok_or(NoToken::UnknownKey)?;
        if kept.bucket.take(now) {
            return Ok(());
        }
        Err(NoToken::Wait(kept.bucket.time_until(now, 1)))
    }

    /// Returns the minimum wait behind `ahead` requests if this instance had the whole rate; a
    /// request that cannot wait that long is refused at once.
    pub fn least_wait(&mut self, key: &RateKey, ahead: usize) -> Duration {
        let Some(total) = self.known(key).and_then(|kept| kept.total) else {
            return Duration::ZERO;
        };
        if total.rate == 0 {
            return Duration::MAX;
        }
        Duration::from_secs_f64((ahead as u64 * MILLI) as f64 / total.rate as f64)
    }

    /// Returns the time after which a refused request may be retried: when the waiting requests
    /// have been served and a token is left at the current share, or at half of the total rate
    /// without a share.
    pub fn retry_after(&mut self, now: Moment, key: &RateKey, waiting: usize) -> Duration {
        self.end_lapsed(now);
        let least = self.least_wait(key, waiting + 1);
        let Some(kept) = self.known(key) else {
            return Duration::ZERO;
        };
        let own = kept.bucket.time_until(now, waiting + 1);
        own.unwrap_or(least * 2).max(least)
    }

    /// Returns the share held for a key.
    pub fn share(&mut self, now: Moment, key: &RateKey) -> RateShare {
        self.end_lapsed(now);
        let kept = self.buckets.get(key);
        kept.map(|kept| kept.bucket.share()).unwrap_or_default()
    }

    /// Returns the moment until which the shares may be used.
    pub fn valid_until(&self) -> Moment {
        self.valid_until
    }

    /// Returns all shares to the ledger because the instance is stopping.
    pub fn leave(&mut self, now: Moment) {
        self.end_lapsed(now);
        self.leaving = true;
        for kept in self.buckets.values_mut() {
            kept.bucket.surrender_all(now);
        }
    }

    /// Returns whether a report should be sent before the next heartbeat.
    ///
    /// This is the case when returned share may be needed elsewhere, when waiting requests need
    /// tokens that are granted on demand, and for a while after demand has jumped past the share.
    pub fn is_report_due(&mut self, now: Moment) -> bool {
        if now >= self.valid_until || now.since(self.last_report) < EAGER_INTERVAL {
            return false;
        }
        let mut due = false;
        for kept in self.buckets.values_mut() {
            due |= kept.lacks_anew(now);
            if kept.has_leapt(now) {
                self.eager_until = now + EAGER_TIME;
            }
            due |= kept.has_returned() || now < self.eager_until && kept.bucket.is_short(now);
        }
        due
    }

    /// Creates a report for the ledger; `sequence` must grow with each report.
    pub fn report(&mut self, now: Moment, sequence: u64) -> ShareReport {
        self.end_lapsed(now);
        self.last_report = now;
        let mut entries = Vec::new();
        for (key, kept) in &mut self.buckets {
            kept.bucket.surrender_asked(now);
            if kept.bucket.is_on_demand() {
                kept.bucket.surrender_spare(now);
            }
            let entry = kept.bucket.entry(key, now);
            if kept.must_tell(&entry) {
                kept.sent = Some((sequence, entry.clone()));
                entries.push(entry);
            }
        }
        ShareReport {
            holding: self.holding,
            sequence,
            leaving: self.leaving,
            entries,
        }
    }

    /// Applies the reply to a report that was sent at `sent`.
    ///
    /// Returns whether the reply granted a share or renewed the lease.
    pub fn apply(
        &mut self,
        now: Moment,
        sent: Moment,
        lease: Duration,
        reply: &ShareReply,
    ) -> bool {
        self.end_lapsed(now);
        if reply.holding < self.holding {
            return false;
        }
        if reply.holding > self.holding {
            self.rebase(now, reply.holding);
        }
        if reply.renewed {
            self.valid_until = self.valid_until.max(sent + lease);
            self.acknowledge(reply.sequence);
        }
        if now >= self.valid_until {
            return false;
        }
        for grant in &reply.grants {
            if let Some(kept) = self.buckets.get_mut(&grant.key) {
                kept.bucket.apply(now, grant);
                if self.leaving || kept.total.is_none() {
                    kept.bucket.surrender_all(now);
                }
            }
        }
        reply.renewed || !reply.grants.is_empty()
    }

    fn known(&mut self, key: &RateKey) -> Option<&mut BucketEntry> {
        self.buckets
            .get_mut(key)
            .filter(|kept| kept.total.is_some())
    }

    fn end_lapsed(&mut self, now: Moment) {
        if now < self.valid_until {
            return;
        }
        for kept in self.buckets.values_mut() {
            kept.bucket.lapse(now);
        }
    }

    fn rebase(&mut self, now: Moment, holding: HoldingId) {
        let same_ledger = holding.epoch == self.holding.epoch;
        self.holding = holding;
        for kept in self.buckets.values_mut() {
            if same_ledger {
                // The same ledger has already ended the former registration.
                kept.bucket.lapse(now);
            }
            kept.bucket.rebase(now);
            kept.sent = None;
            kept.acked = None;
        }
    }

    fn acknowledge(&mut self, sequence: u64) {
        for kept in self.buckets.values_mut() {
            let told = kept.sent.take_if(|(sent, _)| *sent <= sequence);
            if let Some((_, entry)) = told {
                kept.acked = Some(entry);
            }
        }
    }
}

#[derive(Debug)]
struct BucketEntry {
    bucket: ShareBucket,
    /// Total for the whole fleet; `None` once the key is removed from the document.
    total: Option<RateShare>,
    /// Last entry sent but not acknowledged, with the sequence number of its report.
    sent: Option<(u64, DemandEntry)>,
    acked: Option<DemandEntry>,
}

impl BucketEntry {
    fn new(now: Moment) -> Self {
        Self {
            bucket: ShareBucket::new(now),
            total: None,
            sent: None,
            acked: None,
        }
    }

    /// Returns the last entry sent to the ledger, acknowledged or not.
    fn told(&self) -> Option<&DemandEntry> {
        let sent = self.sent.as_ref().map(|(_, entry)| entry);
        sent.or(self.acked.as_ref())
    }

    /// Returns whether a recall is pending, or returned share has not been reported.
    fn has_returned(&self) -> bool {
        self.bucket.is_asked()
            || self
                .told()
                .is_some_and(|told| told.returned != self.bucket.returned())
    }

    /// Returns whether waiting requests need more tokens, granted on demand, than the unanswered
    /// report asks for.
    fn lacks_anew(&mut self, now: Moment) -> bool {
        if !self.bucket.is_on_demand() {
            return false;
        }
        let asked = self.sent.as_ref().map_or(0, |(_, entry)| entry.lacking);
        self.bucket.lacking(now) > asked
    }

    /// Returns whether the demand has more than doubled since it was last reported.
    fn has_leapt(&self, now: Moment) -> bool {
        if self.bucket.is_on_demand() {
            return false;
        }
        let told = self.told().map_or(0, |told| told.wanted);
        self.bucket.is_short(now) && self.bucket.wanted(now) > 2 * told + MILLI
    }

    /// Returns whether an entry differs from the acknowledged one by more than a small change in
    /// demand.
    fn must_tell(&self, entry: &DemandEntry) -> bool {
        let Some(acked) = &self.acked else {
            return entry.wanted > 0 || !entry.base.is_empty() || entry.applied != entry.returned;
        };
        let step = acked.wanted / DEMAND_STEP_DIVISOR;
        let wants = match self.bucket.share().rate > 0 {
            true => entry.wanted.abs_diff(acked.wanted) > step,
            false => entry.lacking > 0,
        };
        wants
            || entry.base != acked.base
            || entry.applied != acked.applied
            || entry.returned != acked.returned
    }
}
