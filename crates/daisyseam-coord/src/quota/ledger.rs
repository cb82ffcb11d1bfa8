//! Ledger of granted shares, kept in memory by the control leader.

use super::{
    HolderId,
    RateKey,
    RateShare,
    RegistrationId,
    ShareReply,
    ShareReport,
    account::{
        Account,
        HolderNumber, //
    }, //
};
use crate::Moment;
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

/// Splits rate limits among instances and tracks what each of them may still hold.
///
/// Only one ledger may grant at a time: a leader uses its ledger only while it leads, and the next
/// leader's ledger has a higher epoch. A new ledger grants nothing for the duration of one lease,
/// while instances report the shares they hold; what nobody has reported by then is free.
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
/// report.registration = ledger.report(now, &holder, &report).unwrap().registration;
/// report.sequence = 2;
/// let reply = ledger.report(now, &holder, &report).unwrap();
/// assert!(reply.renewed);
/// assert_eq!(reply.grants[0].granted.share, total);
/// ```
#[derive(Debug)]
pub struct QuotaLedger {
    epoch: u64,
    /// Time after the receipt of a report at which the holder's shares have certainly expired.
    lease: Duration,
    /// Moment from which all shares of earlier epochs have expired.
    open_from: Moment,
    next_registration: u64,
    numbers: BTreeMap<HolderId, HolderNumber>,
    holders: BTreeMap<HolderNumber, Holder>,
    /// Number of holders that have confirmed their registration.
    confirmed: usize,
    /// Number of those that are not leaving.
    staying: usize,
    /// Holders to split rates among, and whether each is leaving; `None` once one has changed.
    split_holders: Option<Vec<(HolderNumber, bool)>>,
    leases: BTreeSet<(Moment, HolderNumber)>,
    accounts: BTreeMap<RateKey, Account>,
    /// Rates to be split again.
    dirty: BTreeSet<RateKey>,
    splits: u64,
    examined: u64,
}

impl QuotaLedger {
    /// Creates the ledger of a new leader.
    ///
    /// `lease` is measured on the local clock and includes a margin for the drift of other clocks.
    pub fn new(epoch: u64, now: Moment, lease: Duration) -> Self {
        Self {
            epoch,
            lease,
            open_from: now + lease,
            next_registration: 1,
            numbers: BTreeMap::new(),
            holders: BTreeMap::new(),
            confirmed: 0,
            staying: 0,
            split_holders: None,
            leases: BTreeSet::new(),
            accounts: BTreeMap::new(),
            dirty: BTreeSet::new(),
            splits: 0,
            examined: 0,
        }
    }

    /// Sets the totals from the document in force.
    ///
    /// A lowered total takes effect once the holders have returned the excess.
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

    /// Opens the ledger early, because every holder of an earlier epoch has reported to this one.
    pub fn open(&mut self, now: Moment) {
        if now >= self.open_from {
            return;
        }
        self.open_from = now;
        for account in self.accounts.values_mut() {
            account.open_no_later_than(now);
        }
        self.dirty.extend(self.accounts.keys().cloned());
        self.tick(now);
    }

    /// Returns the number of holders that have confirmed their registrations with a report.
    pub fn confirmed_holders(&self) -> usize {
        self.confirmed
    }

    /// Returns whether a holder has confirmed its registration with a report.
    pub fn is_confirmed(&self, holder: &HolderId) -> bool {
        let number = self.numbers.get(holder);
        let known = number.and_then(|number| self.holders.get(number));
        known.is_some_and(|known| known.confirmed)
    }

    /// Processes a report and returns the reply, or `None` if a later report was processed before.
    pub fn report(
        &mut self,
        now: Moment,
        holder: &HolderId,
        report: &ShareReport,
    ) -> Option<ShareReply> {
        self.expire(now);
        let number = self.numbers.get(holder).copied();
        let Some((number, known)) =
            number.and_then(|number| Some((number, self.holders.get_mut(&number)?)))
        else {
            return Some(self.register(now, holder, report.sequence));
        };
        if known.sequence >= report.sequence {
            return None;
        }
        known.sequence = report.sequence;
        if known.registration != report.registration {
            // An existing registration ends only when its lease expires; its reply may have been
            // delayed.
            return Some(known.unrenewed_reply());
        }
        if !known.confirmed {
            let base = report.entries.iter().any(|entry| !entry.base.is_empty());
            if base && now >= self.open_from {
                // Shares of earlier epochs count as expired by now.
                self.remove_holder(now, number);
                return Some(self.register(now, holder, report.sequence));
            }
        }
        self.set_standing(number, report.leaving);
        self.renew_lease(now, number);
        self.record_entries(now, number, report);
        self.split_dirty(now, (!report.leaving).then_some(number));
        Some(self.reply(number, report.sequence))
    }

    /// Expires leases and splits the changed rates again.
    pub fn tick(&mut self, now: Moment) {
        self.split_dirty(now, None);
    }

    /// Splits the changed rates again and grants shares to the answered holder.
    fn split_dirty(&mut self, now: Moment, answered: Option<HolderNumber>) {
        self.expire(now);
        if now < self.open_from || self.dirty.is_empty() {
            return;
        }
        for key in std::mem::take(&mut self.dirty) {
            let Some(account) = self.accounts.get_mut(&key) else {
                continue;
            };
            let is_done = if account.update_mode(self.staying) {
                account.grant_on_demand(now, answered)
            } else if account.is_split_due(now) {
                self.splits += 1;
                let holders = &self.holders;
                let split_holders = self
                    .split_holders
                    .get_or_insert_with(|| list_holders(holders));
                !account.rebalance(now, split_holders, answered)
            } else {
                account.grant_by_last_split(now, answered);
                false
            };
            for number in account.take_recalled().into_iter().chain(answered) {
                if let Some(known) = self.holders.get_mut(&number) {
                    known.unacknowledged.insert(key.clone());
                }
            }
            if account.is_closed() {
                self.accounts.remove(&key);
            }
            if !is_done {
                self.dirty.insert(key);
            }
        }
    }

    /// Returns the sum of the shares of a rate that may still be held.
    pub fn outstanding(&self, key: &RateKey) -> RateShare {
        let account = self.accounts.get(key);
        account.map(Account::held).unwrap_or_default()
    }

    /// Returns the number of splits of any rate among all holders.
    pub fn splits(&self) -> u64 {
        self.splits
    }

    /// Returns the number of accounts examined for replies to reports.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// Returns the number of holders whose lease has not expired.
    pub fn holders(&self) -> usize {
        self.holders.len()
    }

    /// Registers a holder; the registration counts once the holder has confirmed it with a report.
    fn register(&mut self, now: Moment, holder: &HolderId, sequence: u64) -> ShareReply {
        let number = HolderNumber(self.next_registration);
        self.next_registration += 1;
        let lease_end = now + self.lease;
        let known = Holder {
            id: holder.clone(),
            registration: RegistrationId {
                epoch: self.epoch,
                number: number.0,
            },
            confirmed: false,
            sequence,
            leaving: false,
            lease_end,
            included: false,
            unacknowledged: BTreeSet::new(),
        };
        let reply = known.unrenewed_reply();
        self.leases.insert((lease_end, number));
        self.numbers.insert(holder.clone(), number);
        self.holders.insert(number, known);
        reply
    }

    /// Records that a holder has reported, and whether it is leaving.
    fn set_standing(&mut self, number: HolderNumber, leaving: bool) {
        let Some(known) = self.holders.get_mut(&number) else {
            return;
        };
        if known.confirmed && known.leaving == leaving {
            return;
        }
        let was_staying = known.is_staying();
        self.confirmed += usize::from(!known.confirmed);
        known.confirmed = true;
        known.leaving = leaving;
        self.staying = self.staying - usize::from(was_staying) + usize::from(known.is_staying());
        self.split_holders = None;
    }

    fn renew_lease(&mut self, now: Moment, number: HolderNumber) {
        let Some(known) = self.holders.get_mut(&number) else {
            return;
        };
        self.leases.remove(&(known.lease_end, number));
        known.lease_end = now + self.lease;
        self.leases.insert((known.lease_end, number));
    }

    fn record_entries(&mut self, now: Moment, number: HolderNumber, report: &ShareReport) {
        let Some(known) = self.holders.get_mut(&number) else {
            return;
        };
        for entry in &report.entries {
            let account = self
                .accounts
                .entry(entry.key.clone())
                .or_insert_with(|| Account::new(now, RateShare::default()));
            account.apply_report(now.max(self.open_from), number, entry);
            self.dirty.insert(entry.key.clone());
        }
        if known.leaving || !known.included {
            known.included = !known.leaving;
            self.dirty.extend(self.accounts.keys().cloned());
        }
    }

    /// Returns the reply with all grants and recalls that the holder has not acknowledged.
    fn reply(&mut self, number: HolderNumber, sequence: u64) -> ShareReply {
        let Some(known) = self.holders.get_mut(&number) else {
            return ShareReply::default();
        };
        let mut grants = Vec::new();
        self.examined += known.unacknowledged.len() as u64;
        let accounts = &self.accounts;
        known.unacknowledged.retain(|key| {
            let account = accounts.get(key);
            let grant = account.and_then(|account| account.pending_grant(key, number));
            let is_pending = grant.is_some();
            grants.extend(grant);
            is_pending
        });
        debug_assert!(
            grants.iter().map(|grant| &grant.key).eq(accounts
                .iter()
                .filter(|(key, account)| account.pending_grant(key, number).is_some())
                .map(|(key, _)| key)),
            "a grant is missing from a reply"
        );
        ShareReply {
            registration: known.registration,
            sequence,
            renewed: true,
            grants,
        }
    }

    fn expire(&mut self, now: Moment) {
        while let Some((lease_end, number)) = self.leases.first().copied() {
            if lease_end > now {
                return;
            }
            self.remove_holder(lease_end, number);
        }
    }

    /// Removes a holder and reclaims its shares.
    fn remove_holder(&mut self, now: Moment, number: HolderNumber) {
        let Some(known) = self.holders.remove(&number) else {
            return;
        };
        self.numbers.remove(&known.id);
        self.leases.remove(&(known.lease_end, number));
        self.confirmed -= usize::from(known.confirmed);
        self.staying -= usize::from(known.is_staying());
        self.split_holders = None;
        for (key, account) in &mut self.accounts {
            account.remove_holder(now, number);
            self.dirty.insert(key.clone());
        }
    }
}

/// Lists the holders that have confirmed their registration, and whether each is leaving.
fn list_holders(holders: &BTreeMap<HolderNumber, Holder>) -> Vec<(HolderNumber, bool)> {
    let counted = holders.iter().filter(|(_, known)| known.confirmed);
    counted
        .map(|(number, known)| (*number, known.leaving))
        .collect()
}

#[derive(Debug)]
struct Holder {
    id: HolderId,
    registration: RegistrationId,
    /// Whether the holder has reported under this registration.
    confirmed: bool,
    sequence: u64,
    leaving: bool,
    /// Expiry of the lease.
    lease_end: Moment,
    /// Whether the holder has been included in the splits.
    included: bool,
    /// Rates with a grant or recall that the holder may not have acknowledged.
    unacknowledged: BTreeSet<RateKey>,
}

impl Holder {
    /// Returns whether the holder takes part in splits and is not leaving.
    fn is_staying(&self) -> bool {
        self.confirmed && !self.leaving
    }

    /// Returns a reply that names the registration but renews nothing.
    fn unrenewed_reply(&self) -> ShareReply {
        ShareReply {
            registration: self.registration,
            sequence: self.sequence,
            renewed: false,
            grants: Vec::new(),
        }
    }
}
