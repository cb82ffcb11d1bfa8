//! The grantor of shares, in the memory of control's leader.

use super::{
    HolderId,
    HoldingId,
    RateKey,
    RateShare,
    ShareReply,
    ShareReport,
    account::Account, //
};
use crate::Moment;
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

/// Splits rates and bursts among instances and counts what each of them may still hold.
///
/// No other ledger may grant at the same time: a leader uses its ledger only while it is leader,
/// and the ledger of the next one has a higher epoch. A new ledger grants nothing for one lease
/// time, in which instances report what they hold; what nobody has reported by then is free.
///
/// # Examples
///
/// ```
/// use daisyseam_coord::{Moment, quota::{HolderId, QuotaLedger, RateKey, RateShare, ShareReport}};
/// use daisyseam_model::{Incarnation, InstanceId};
/// use std::time::Duration;
///
/// let lease = Duration::from_millis(1_000);
/// let mut ledger = QuotaLedger::new(1, Moment::ORIGIN, lease);
/// let key = RateKey::parse("keepers").unwrap();
/// let total = RateShare::from_document(10.0, 5.0);
/// ledger.set_totals(Moment::ORIGIN, [(key.clone(), total)]);
/// let holder = HolderId {
///     instance: InstanceId::new("entry-1").unwrap(),
///     incarnation: Incarnation(1),
/// };
/// let now = Moment::from_millis(1_100);
/// let mut report = ShareReport { sequence: 1, ..ShareReport::default() };
/// report.holding = ledger.report(now, &holder, &report).unwrap().holding;
/// report.sequence = 2;
/// let reply = ledger.report(now, &holder, &report).unwrap();
/// assert!(reply.renewed);
/// assert_eq!(reply.grants[0].granted.share, total);
/// ```
#[derive(Debug)]
pub struct QuotaLedger {
    epoch: u64,
    /// Time from the receipt of a report after which the holder's shares are over for certain.
    lease: Duration,
    /// Moment from which nothing of earlier epochs is held any more.
    open_from: Moment,
    next_holding: u64,
    holders: BTreeMap<HolderId, Holder>,
    leases: BTreeSet<(Moment, HolderId)>,
    accounts: BTreeMap<RateKey, Account>,
    dirty: BTreeSet<RateKey>,
    splits: u64,
}

impl QuotaLedger {
    /// Makes the ledger of a new leader.
    ///
    /// `lease` is counted on this instance's clock and covers the drift of any other clock.
    pub fn new(epoch: u64, now: Moment, lease: Duration) -> Self {
        Self {
            epoch,
            lease,
            open_from: now + lease,
            next_holding: 1,
            holders: BTreeMap::new(),
            leases: BTreeSet::new(),
            accounts: BTreeMap::new(),
            dirty: BTreeSet::new(),
            splits: 0,
        }
    }

    /// Takes over the rates and bursts of the document in force.
    ///
    /// A lower rate is in force once the holders have returned what is over it.
    pub fn set_totals<I>(&mut self, now: Moment, totals: I)
    where
        I: IntoIterator<Item = (RateKey, RateShare)>,
    {
        let mut next: BTreeMap<RateKey, RateShare> = totals.into_iter().collect();
        for (key, account) in &mut self.accounts {
            let total = next.remove(key).unwrap_or_default();
            if total != account.total() {
                account.set_total(now, total);
                self.dirty.insert(key.clone());
            }
        }
        for (key, total) in next {
            let account = Account::new(self.open_from.max(now), total);
            self.accounts.insert(key.clone(), account);
            self.dirty.insert(key);
        }
        self.tick(now);
    }

    /// Opens the ledger before its time: every holder of an earlier epoch has reported to this one.
    pub fn open(&mut self, now: Moment) {
        if now >= self.open_from {
            return;
        }
        self.open_from = now;
        for account in self.accounts.values_mut() {
            account.open_by(now);
        }
        self.dirty.extend(self.accounts.keys().cloned());
        self.tick(now);
    }

    /// Returns whether a holder has reported under its holding.
    pub fn has_adopted(&self, holder: &HolderId) -> bool {
        let known = self.holders.get(holder);
        known.is_some_and(|known| known.adopted)
    }

    /// Takes a report in and answers it; nothing to a report that is older than another.
    pub fn report(
        &mut self,
        now: Moment,
        holder: &HolderId,
        report: &ShareReport,
    ) -> Option<ShareReply> {
        self.expire(now);
        let known = self.holders.get(holder);
        if known.is_some_and(|known| known.sequence >= report.sequence) {
            return None;
        }
        let Some(known) = self
            .holders
            .get_mut(holder)
            .filter(|known| known.holding == report.holding)
        else {
            return Some(self.offer(now, holder, report.sequence));
        };
        known.sequence = report.sequence;
        if !known.adopted {
            let base = report.entries.iter().any(|entry| !entry.base.is_empty());
            if base && now >= self.open_from {
                // What it holds of an earlier epoch counts as over by now.
                self.forget(now, &holder.clone());
                return Some(self.offer(now, holder, report.sequence));
            }
            known.adopted = true;
        }
        known.leaving = report.leaving;
        self.prolong(now, holder);
        self.enter(now, holder, report);
        self.split(now, (!report.leaving).then_some(holder));
        Some(self.answer(holder, report.sequence))
    }

    /// Ends what has run out and splits anew where something has changed.
    pub fn tick(&mut self, now: Moment) {
        self.split(now, None);
    }

    /// Splits anew where something has changed; grants go to the holder that is being answered.
    fn split(&mut self, now: Moment, answered: Option<&HolderId>) {
        self.expire(now);
        if now < self.open_from {
            return;
        }
        if self.dirty.is_empty() {
            return;
        }
        let staying = self.staying();
        let mut seats = None;
        for key in std::mem::take(&mut self.dirty) {
            let Some(account) = self.accounts.get_mut(&key) else {
                continue;
            };
            let is_done = if account.choose_mode(staying) {
                account.grant_tokens(now, answered);
                true
            } else if account.is_split_due(now) {
                self.splits += 1;
                let seats = seats.get_or_insert_with(|| list_seats(&self.holders));
                !account.rebalance(now, seats, answered)
            } else {
                account.grant_by_last_split(now, answered);
                false
            };
            if !is_done {
                self.dirty.insert(key.clone());
            }
            if account.is_closed() {
                self.accounts.remove(&key);
            }
        }
    }

    /// Returns the number of holders whose holding counts and that are not leaving.
    fn staying(&self) -> usize {
        let holders = self.holders.values();
        holders
            .filter(|known| known.adopted && !known.leaving)
            .count()
    }

    /// Returns the sum of what may be held of a key.
    pub fn outstanding(&self, key: &RateKey) -> RateShare {
        let account = self.accounts.get(key);
        account.map(Account::held).unwrap_or_default()
    }

    /// Returns how many times a rate has been split over all holders.
    pub fn splits(&self) -> u64 {
        self.splits
    }

    /// Returns the number of holders whose lease has not run out.
    pub fn holders(&self) -> usize {
        self.holders.len()
    }

    /// Gives a holder a new holding, which must be reported before it counts.
    fn offer(&mut self, now: Moment, holder: &HolderId, sequence: u64) -> ShareReply {
        let holding = match self.holders.get(holder) {
            // A holding in use ends by its lease alone; the answer to it may come late.
            Some(known) => known.holding,
            None => {
                let holding = HoldingId {
                    epoch: self.epoch,
                    number: self.next_holding,
                };
                self.next_holding += 1;
                let until = now + self.lease;
                self.leases.insert((until, holder.clone()));
                self.holders.insert(
                    holder.clone(),
                    Holder {
                        holding,
                        adopted: false,
                        sequence,
                        leaving: false,
                        until,
                        seated: false,
                    },
                );
                holding
            }
        };
        if let Some(known) = self.holders.get_mut(holder) {
            known.sequence = sequence;
        }
        ShareReply {
            holding,
            sequence,
            renewed: false,
            grants: Vec::new(),
        }
    }

    fn prolong(&mut self, now: Moment, holder: &HolderId) {
        let Some(known) = self.holders.get_mut(holder) else {
            return;
        };
        self.leases.remove(&(known.until, holder.clone()));
        known.until = now + self.lease;
        self.leases.insert((known.until, holder.clone()));
    }

    fn enter(&mut self, now: Moment, holder: &HolderId, report: &ShareReport) {
        let Some(known) = self.holders.get_mut(holder) else {
            return;
        };
        for entry in &report.entries {
            let account = self
                .accounts
                .entry(entry.key.clone())
                .or_insert_with(|| Account::new(now, RateShare::default()));
            account.enter(now.max(self.open_from), holder, entry);
            self.dirty.insert(entry.key.clone());
        }
        if known.leaving || !known.seated {
            known.seated = !known.leaving;
            self.dirty.extend(self.accounts.keys().cloned());
        }
    }

    fn answer(&self, holder: &HolderId, sequence: u64) -> ShareReply {
        let Some(known) = self.holders.get(holder) else {
            return ShareReply::default();
        };
        let accounts = self.accounts.iter();
        let grants = accounts.filter_map(|(key, account)| account.news(key, holder));
        ShareReply {
            holding: known.holding,
            sequence,
            renewed: true,
            grants: grants.collect(),
        }
    }

    fn expire(&mut self, now: Moment) {
        while let Some((until, holder)) = self.leases.first().cloned() {
            if until > now {
                return;
            }
            self.forget(until, &holder);
        }
    }

    /// Takes back all that a holder may still have.
    fn forget(&mut self, now: Moment, holder: &HolderId) {
        let Some(known) = self.holders.remove(holder) else {
            return;
        };
        self.leases.remove(&(known.until, holder.clone()));
        for (key, account) in &mut self.accounts {
            account.forget(now, holder);
            self.dirty.insert(key.clone());
        }
    }
}

/// Lists the holders whose holding counts, and whether each is leaving.
fn list_seats(holders: &BTreeMap<HolderId, Holder>) -> Vec<(HolderId, bool)> {
    let counted = holders.iter().filter(|(_, known)| known.adopted);
    counted
        .map(|(holder, known)| (holder.clone(), known.leaving))
        .collect()
}

#[derive(Debug)]
struct Holder {
    holding: HoldingId,
    /// Whether it has reported under its holding.
    adopted: bool,
    sequence: u64,
    leaving: bool,
    until: Moment,
    /// Whether it has had a part in a split.
    seated: bool,
}
