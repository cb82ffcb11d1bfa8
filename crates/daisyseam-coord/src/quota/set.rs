//! The token buckets of one instance and the lease on their shares.

use super::{
    DemandEntry,
    MILLI,
    RateKey,
    RateShare,
    RegistrationId,
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
const EARLY_REPORT_INTERVAL_MIN: Duration = Duration::from_millis(50);

/// Time for which reports are sent at the minimum interval after a jump in demand.
const FREQUENT_REPORT_DURATION: Duration = Duration::from_millis(600);

/// Reason why no token is available.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenUnavailable {
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
/// use daisyseam_coord::{Moment, quota::{BucketSet, TokenUnavailable, RateKey, RateShare}};
///
/// let key = RateKey::parse("keepers").unwrap();
/// let total = RateShare::from_document(10.0, 5.0);
/// let mut set = BucketSet::new();
/// set.set_totals(Moment::ORIGIN, [(key.clone(), total)]);
/// set.count(Moment::ORIGIN, &key);
/// // No share has been granted yet.
/// assert_eq!(set.take(Moment::ORIGIN, &key), Err(TokenUnavailable::Wait(None)));
/// assert_eq!(set.report(Moment::ORIGIN, 1).entries[0].demand_rate, 5_000);
/// ```
#[derive(Debug, Default)]
pub struct BucketSet {
    registration: RegistrationId,
    valid_until: Moment,
    leaving: bool,
    last_report: Moment,
    frequent_until: Moment,
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
            let record = self.buckets.entry(key);
            record.or_insert_with(|| BucketEntry::new(now)).total = Some(total);
        }
        self.buckets
            .retain(|_, record| record.total.is_some() || record.bucket.has_been_granted());
    }

    /// Counts a request for a key towards the demand; to be called once per request, admitted or not.
    pub fn count(&mut self, now: Moment, key: &RateKey) {
        if let Some(record) = self.buckets.get_mut(key) {
            record.bucket.count(now);
        }
    }

    /// Sets the state of the queue of requests waiting for a token of a key.
    pub fn set_waiting(&mut self, key: &RateKey, waiting: WaitingQueue) {
        if let Some(record) = self.buckets.get_mut(key) {
            record.bucket.set_waiting(waiting);
        }
    }

    /// Takes a token.
    ///
    /// # Errors
    ///
    /// Returns [`TokenUnavailable`] if none is available.
    pub fn take(&mut self, now: Moment, key: &RateKey) -> Result<(), TokenUnavailable> {
        self.expire_shares(now);
        let record = self.configured(key).ok_or(TokenUnavailable::UnknownKey)?;
        if record.bucket.take(now) {
            return Ok(());
        }
        Err(TokenUnavailable::Wait(record.bucket.time_until(now, 1)))
    }

    /// Returns the minimum wait behind `ahead` requests if this instance had the whole rate; a
    /// request that cannot wait that long is refused at once.
    pub fn min_wait(&mut self, key: &RateKey, ahead: usize) -> Duration {
        let Some(total) = self.configured(key).and_then(|record| record.total) else {
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
        self.expire_shares(now);
        let least = self.min_wait(key, waiting + 1);
        let Some(record) = self.configured(key) else {
            return Duration::ZERO;
        };
        let own = record.bucket.time_until(now, waiting + 1);
        own.unwrap_or(least * 2).max(least)
    }

    /// Returns the share held for a key.
    pub fn share(&mut self, now: Moment, key: &RateKey) -> RateShare {
        self.expire_shares(now);
        let record = self.buckets.get(key);
        record
            .map(|record| record.bucket.share())
            .unwrap_or_default()
    }

    /// Returns the moment until which the shares may be used.
    pub fn valid_until(&self) -> Moment {
        self.valid_until
    }

    /// Returns all shares to the ledger because the instance is stopping.
    pub fn leave(&mut self, now: Moment) {
        self.expire_shares(now);
        self.leaving = true;
        for record in self.buckets.values_mut() {
            record.bucket.return_all(now);
        }
    }

    /// Returns whether a report should be sent before the next heartbeat.
    ///
    /// This is the case when returned share may be needed elsewhere, when waiting requests need
    /// tokens that are granted on demand, and for a while after demand has jumped past the share.
    pub fn is_report_due(&mut self, now: Moment) -> bool {
        if now >= self.valid_until || now.since(self.last_report) < EARLY_REPORT_INTERVAL_MIN {
            return false;
        }
        let mut due = false;
        for record in self.buckets.values_mut() {
            due |= record.needs_more_tokens(now);
            if record.has_demand_jumped(now) {
                self.frequent_until = now + FREQUENT_REPORT_DURATION;
            }
            due |= record.has_unreported_return()
                || now < self.frequent_until && record.bucket.is_short(now);
        }
        due
    }

    /// Creates a report for the ledger; `sequence` must grow with each report.
    pub fn report(&mut self, now: Moment, sequence: u64) -> ShareReport {
        self.expire_shares(now);
        self.last_report = now;
        let mut entries = Vec::new();
        for (key, record) in &mut self.buckets {
            record.bucket.return_recalled(now);
            if record.bucket.is_on_demand() {
                record.bucket.return_unused(now);
            }
            let entry = record.bucket.entry(key, now);
            if record.must_report(&entry) {
                record.sent = Some((sequence, entry.clone()));
                entries.push(entry);
            }
        }
        ShareReport {
            registration: self.registration,
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
        self.expire_shares(now);
        if reply.registration < self.registration {
            return false;
        }
        if reply.registration > self.registration {
            self.begin_registration(now, reply.registration);
        }
        if reply.renewed {
            self.valid_until = self.valid_until.max(sent + lease);
            self.acknowledge(reply.sequence);
        }
        if now >= self.valid_until {
            return false;
        }
        for grant in &reply.grants {
            if let Some(record) = self.buckets.get_mut(&grant.key) {
                record.bucket.apply(now, grant);
                if self.leaving || record.total.is_none() {
                    record.bucket.return_all(now);
                }
            }
        }
        reply.renewed || !reply.grants.is_empty()
    }

    fn configured(&mut self, key: &RateKey) -> Option<&mut BucketEntry> {
        self.buckets
            .get_mut(key)
            .filter(|record| record.total.is_some())
    }

    fn expire_shares(&mut self, now: Moment) {
        if now < self.valid_until {
            return;
        }
        for record in self.buckets.values_mut() {
            record.bucket.expire(now);
        }
    }

    fn begin_registration(&mut self, now: Moment, registration: RegistrationId) {
        let same_ledger = registration.epoch == self.registration.epoch;
        self.registration = registration;
        for record in self.buckets.values_mut() {
            if same_ledger {
                // The same ledger has already ended the former registration.
                record.bucket.expire(now);
            }
            record.bucket.begin_registration(now);
            record.sent = None;
            record.acked = None;
        }
    }

    fn acknowledge(&mut self, sequence: u64) {
        for record in self.buckets.values_mut() {
            let acknowledged = record.sent.take_if(|(sent, _)| *sent <= sequence);
            if let Some((_, entry)) = acknowledged {
                record.acked = Some(entry);
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
    fn last_sent(&self) -> Option<&DemandEntry> {
        let sent = self.sent.as_ref().map(|(_, entry)| entry);
        sent.or(self.acked.as_ref())
    }

    /// Returns whether a recall is pending, or returned share has not been reported.
    fn has_unreported_return(&self) -> bool {
        self.bucket.has_pending_recall()
            || self
                .last_sent()
                .is_some_and(|last_sent| last_sent.returned != self.bucket.returned())
    }

    /// Returns whether waiting requests need more tokens, granted on demand, than the unanswered
    /// report asks for.
    fn needs_more_tokens(&mut self, now: Moment) -> bool {
        if !self.bucket.is_on_demand() {
            return false;
        }
        let requested = self
            .sent
            .as_ref()
            .map_or(0, |(_, entry)| entry.token_shortfall);
        self.bucket.token_shortfall(now) > requested
    }

    /// Returns whether the demand has more than doubled since it was last reported.
    fn has_demand_jumped(&self, now: Moment) -> bool {
        if self.bucket.is_on_demand() {
            return false;
        }
        let reported = self
            .last_sent()
            .map_or(0, |last_sent| last_sent.demand_rate);
        self.bucket.is_short(now) && self.bucket.demand_rate(now) > 2 * reported + MILLI
    }

    /// Returns whether an entry differs from the acknowledged one by more than a small change in
    /// demand.
    fn must_report(&self, entry: &DemandEntry) -> bool {
        let Some(acked) = &self.acked else {
            return entry.demand_rate > 0
                || !entry.base.is_empty()
                || entry.applied != entry.returned;
        };
        let step = acked.demand_rate / DEMAND_STEP_DIVISOR;
        let wants = match self.bucket.share().rate > 0 {
            true => entry.demand_rate.abs_diff(acked.demand_rate) > step,
            false => entry.token_shortfall > 0,
        };
        wants
            || entry.base != acked.base
            || entry.applied != acked.applied
            || entry.returned != acked.returned
    }
}
