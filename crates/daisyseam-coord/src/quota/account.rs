//! Ledger account of one rate limit: the share of each holder and the free remainder.

use super::{
    DemandEntry,
    GrantEntry,
    HolderId,
    MILLI,
    RateKey,
    RateShare,
    TOKEN_RESERVE,
    TransferTotal,
    bucket::TokenStore,
    split::{
        SplitHolder,
        is_too_small_to_split,
        scale,
        split, //
    }, //
};
use crate::Moment;
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// Differences from the target of at most `1 / SLACK_DIVISOR` are not corrected.
const SLACK_DIVISOR: u64 = 20;

/// Minimum time between two splits of one rate; in between, grants follow the last split.
const SPLIT_EVERY: Duration = Duration::from_millis(50);

/// The account of one rate limit.
///
/// The free remainder accrues tokens like any bucket; they are transferred when it is granted.
#[derive(Debug)]
pub(super) struct Account {
    total: RateShare,
    /// Sum of the shares of all entries; may exceed the total after the total was lowered.
    held: RateShare,
    /// Tokens of the free remainder.
    pool: TokenStore,
    /// Whether the rate is not split and tokens are granted to waiting requests.
    on_demand: bool,
    /// Moment from which the rate may be split again.
    split_from: Moment,
    entries: BTreeMap<HolderId, AccountEntry>,
}

impl Account {
    /// Creates an account without holders; no tokens accrue before `open_from`.
    pub(super) fn new(open_from: Moment, total: RateShare) -> Self {
        Self {
            total,
            held: RateShare::default(),
            pool: TokenStore::starting_at(open_from),
            on_demand: false,
            split_from: Moment::ORIGIN,
            entries: BTreeMap::new(),
        }
    }

    /// Starts accruing tokens at `now` if the account would open later.
    pub(super) fn open_by(&mut self, now: Moment) {
        self.pool.start_by(now);
    }

    pub(super) fn total(&self) -> RateShare {
        self.total
    }

    pub(super) fn held(&self) -> RateShare {
        self.held
    }

    pub(super) fn is_closed(&self) -> bool {
        self.total.is_empty() && self.entries.is_empty()
    }

    pub(super) fn set_total(&mut self, now: Moment, total: RateShare) {
        self.pool.advance(now, self.free());
        self.total = total;
        self.split_from = now;
        self.pool.clamp(self.free());
    }

    /// Records a holder's report entry.
    pub(super) fn enter(&mut self, now: Moment, holder: &HolderId, told: &DemandEntry) {
        self.pool.advance(now, self.free());
        let base = told.base;
        let held = &mut self.held;
        let entry = self.entries.entry(holder.clone()).or_insert_with(|| {
            *held = held.plus(base);
            AccountEntry::new(base)
        });
        let before = (entry.share(), entry.returned.tokens);
        entry.wanted = told.wanted;
        entry.lacking = told.lacking;
        entry.applied = entry.applied.latest(told.applied);
        entry.returned = entry.returned.latest(told.returned);
        let handed = before.0.saturating_sub(entry.share());
        let tokens = (entry.returned.tokens - before.1).min(handed.burst);
        *held = held.saturating_sub(handed);
        let free = self.free();
        self.pool.add_milli(tokens);
        self.pool.clamp(free);
    }

    /// Reclaims the share of a holder; its unspent tokens are lost.
    pub(super) fn forget(&mut self, now: Moment, holder: &HolderId) {
        self.pool.advance(now, self.free());
        if let Some(entry) = self.entries.remove(holder) {
            self.held = self.held.saturating_sub(entry.share());
        }
    }

    /// Returns the state to send to a holder, or `None` if the holder has acknowledged all of it.
    pub(super) fn news(&self, key: &RateKey, holder: &HolderId) -> Option<GrantEntry> {
        let entry = self.entries.get(holder)?;
        let asked = entry.asked.saturating_sub(entry.returned.share);
        let known = entry.granted == entry.applied && asked.is_empty();
        (!known).then(|| GrantEntry {
            key: key.clone(),
            granted: entry.granted,
            asked: entry.asked,
            on_demand: self.on_demand,
        })
    }

    /// Updates whether tokens are granted on demand with this many holders, and returns the result.
    pub(super) fn choose_mode(&mut self, holders: usize) -> bool {
        self.on_demand = is_too_small_to_split(self.total, holders, self.on_demand);
        self.on_demand
    }

    /// Grants the answered holder the tokens that its waiting requests need, and one for its next
    /// request while at least half of the burst remains.
    ///
    /// The whole rate accrues in the ledger; shares that are still held are recalled.
    pub(super) fn grant_tokens(&mut self, now: Moment, answered: Option<&HolderId>) {
        self.pool.advance(now, self.free());
        if self.held.rate > 0 {
            self.recall();
        }
        let Some(entry) = answered.and_then(|holder| self.entries.get_mut(holder)) else {
            return;
        };
        let lacking = std::mem::take(&mut entry.lacking);
        // Earlier grants may not have reached the holder yet.
        let needed = lacking.saturating_sub(entry.share().burst);
        let there = self.pool.whole_milli();
        let mut tokens = needed.min(there) / MILLI * MILLI;
        if entry.share().burst + tokens < lacking + TOKEN_RESERVE
            && there - tokens >= self.total.burst / 2
        {
            tokens += TOKEN_RESERVE.min((there - tokens) / MILLI * MILLI);
        }
        entry.granted.share.burst += tokens;
        entry.granted.tokens += tokens;
        self.held.burst += tokens;
        self.pool.take_milli(tokens);
        self.pool.clamp(self.free());
    }

    /// Recalls the whole share of every holder that has part of the rate.
    fn recall(&mut self) {
        for entry in self.entries.values_mut() {
            if entry.share().rate > 0 {
                entry.asked = entry.returned.share.plus(entry.share());
            }
        }
    }

    /// Returns whether the rate may be split again.
    pub(super) fn is_split_due(&self, now: Moment) -> bool {
        now >= self.split_from
    }

    /// Grants the answered holder free share up to its target from the last split.
    pub(super) fn grant_by_last_split(&mut self, now: Moment, answered: Option<&HolderId>) {
        self.pool.advance(now, self.free());
        self.grant(answered);
    }

    /// Splits the rate, grants the answered holder free share up to its target, and recalls the
    /// surplus of holders above theirs.
    ///
    /// Free share stays in the ledger, where it accrues tokens, until the reply to a holder can
    /// carry the grant. `seats` lists all holders and whether each is leaving. Returns whether
    /// another split is needed: free share remains that some holder is missing, or a holder with
    /// demand has no room for a token.
    pub(super) fn rebalance(
        &mut self,
        now: Moment,
        seats: &[(HolderId, bool)],
        answered: Option<&HolderId>,
    ) -> bool {
        self.pool.advance(now, self.free());
        if !seats.is_empty() {
            // A split without holders costs nothing, so it must not delay the split for the first one.
            self.split_from = now + SPLIT_EVERY;
        }
        self.seat(seats);
        self.set_targets(now, seats);
        let unmet = !self.missing().fits(self.free());
        self.grant(answered);
        self.ask(unmet);
        let free = self.free();
        let missing = self.missing();
        let mut waits = missing.rate.min(free.rate) > 0 || missing.burst.min(free.burst) > 0;
        for entry in self.entries.values_mut() {
            waits |= entry.note_turn(now);
        }
        waits
    }

    /// Splits the total among the holders that have an entry.
    fn set_targets(&mut self, now: Moment, seats: &[(HolderId, bool)]) {
        let seated = seats.iter().filter_map(|(holder, leaving)| {
            let entry = self.entries.get(holder)?;
            Some((holder, entry.split_view(*leaving)))
        });
        let (seated, views): (Vec<&HolderId>, Vec<SplitHolder>) = seated.unzip();
        let targets = split(self.total, &views, now);
        for entry in self.entries.values_mut() {
            entry.target = None;
        }
        for (holder, target) in seated.into_iter().zip(targets) {
            if let Some(entry) = self.entries.get_mut(holder) {
                entry.target = Some(target);
            }
        }
    }

    /// Adds an entry for every holder if the burst has room for one token each.
    fn seat(&mut self, seats: &[(HolderId, bool)]) {
        let staying = seats.iter().filter(|(_, leaving)| !leaving);
        if self.total.burst / MILLI < staying.clone().count() as u64 {
            return;
        }
        for (holder, _) in staying {
            self.entries
                .entry(holder.clone())
                .or_insert_with(|| AccountEntry::new(RateShare::default()));
        }
    }

    /// Returns the sum of what all holders are missing to their targets.
    fn missing(&self) -> RateShare {
        let needs = self.entries.values().map(AccountEntry::need);
        needs.fold(RateShare::default(), |sum, need| sum.plus(need))
    }

    /// Grants a holder what it is missing to its target, as far as free share allows.
    fn grant(&mut self, holder: Option<&HolderId>) {
        let free = self.free();
        let Some(entry) = holder.and_then(|holder| self.entries.get_mut(holder)) else {
            return;
        };
        let need = entry.need();
        let share = RateShare {
            rate: need.rate.min(free.rate),
            burst: need.burst.min(free.burst),
        };
        let along = scale(self.pool.whole_milli(), share.burst, free.burst.max(1)).min(share.burst);
        entry.granted.share = entry.granted.share.plus(share);
        entry.granted.tokens += along;
        self.held = self.held.plus(share);
        self.pool.take_milli(along);
        self.pool.clamp(self.free());
        assert!(
            (share.rate == 0 || self.held.rate <= self.total.rate)
                && (share.burst == 0 || self.held.burst <= self.total.burst),
            "granted more than the free share"
        );
    }

    /// Recalls the surplus of each holder while the total is exceeded or a need is unmet.
    fn ask(&mut self, unmet: bool) {
        let over = !self.held.fits(self.total);
        for entry in self.entries.values_mut() {
            let Some(target) = entry.target else {
                continue;
            };
            let part = match (over, unmet) {
                (true, _) => entry.share().saturating_sub(target),
                (false, true) => entry.surplus(target),
                (false, false) => RateShare::default(),
            };
            entry.asked = entry.returned.share.plus(part);
        }
    }

    fn free(&self) -> RateShare {
        self.total.saturating_sub(self.held)
    }
}

/// State of one holder in an account.
#[derive(Debug)]
struct AccountEntry {
    wanted: u64,
    /// Unmet token need of its waiting requests at the last report.
    lacking: u64,
    base: RateShare,
    granted: TransferTotal,
    applied: TransferTotal,
    returned: TransferTotal,
    asked: RateShare,
    /// Target from the last split, if the holder took part in it.
    target: Option<RateShare>,
    /// Since when the holder has had demand but no room for a token.
    without_since: Option<Moment>,
}

impl AccountEntry {
    fn new(base: RateShare) -> Self {
        Self {
            wanted: 0,
            lacking: 0,
            base,
            granted: TransferTotal::default(),
            applied: TransferTotal::default(),
            returned: TransferTotal::default(),
            asked: RateShare::default(),
            target: None,
            without_since: None,
        }
    }

    /// Returns the upper bound of what the holder has now.
    fn share(&self) -> RateShare {
        self.base
            .plus(self.granted.share)
            .saturating_sub(self.returned.share)
    }

    fn split_view(&self, leaving: bool) -> SplitHolder {
        SplitHolder {
            wanted: self.wanted,
            burst: self.share().burst,
            without_since: self.without_since,
            leaving,
        }
    }

    /// Returns what is missing to the target, ignoring differences within the tolerance.
    fn need(&self) -> RateShare {
        let share = self.share();
        let target = self.target.unwrap_or_default();
        let part = |have: u64, want: u64| {
            let missing = want.saturating_sub(have);
            let matters = missing > want / SLACK_DIVISOR;
            if matters { missing } else { 0 }
        };
        RateShare {
            rate: part(share.rate, target.rate),
            burst: part(share.burst, target.burst),
        }
    }

    /// Returns what exceeds the target, ignoring differences within the tolerance.
    fn surplus(&self, target: RateShare) -> RateShare {
        let share = self.share();
        let part = |have: u64, want: u64| {
            let over = have.saturating_sub(want);
            let matters = over > have / SLACK_DIVISOR;
            if matters { over } else { 0 }
        };
        RateShare {
            rate: part(share.rate, target.rate),
            burst: part(share.burst, target.burst),
        }
    }

    /// Updates since when the holder has had demand but no room for a token; returns whether that is
    /// so now.
    fn note_turn(&mut self, now: Moment) -> bool {
        let without = self.wanted > 0 && self.share().burst < MILLI;
        self.without_since = without.then(|| self.without_since.unwrap_or(now));
        without
    }
}
