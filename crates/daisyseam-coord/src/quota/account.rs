//! Ledger account of one rate limit: the share of each holder and the free remainder.

use super::{
    DemandEntry,
    GrantEntry,
    MILLI,
    RateKey,
    RateShare,
    TransferTotal,
    bucket::TokenStore,
    split::{
        SplitHolder,
        is_too_small_to_split,
        scale,
        split, //
    },
    token_reserve, //
};
use crate::Moment;
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// Differences from the target of at most `1 / TOLERANCE_DIVISOR` are not corrected.
const TOLERANCE_DIVISOR: u64 = 20;

/// Minimum time between two splits of one rate; in between, grants follow the last split.
const SPLIT_INTERVAL_MIN: Duration = Duration::from_millis(50);

/// Number of a holder's registration in the ledger, unique among its holders.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct HolderNumber(pub(super) u64);

/// The account of one rate limit.
///
/// The free remainder accrues tokens like any bucket; they are transferred when it is granted.
#[derive(Debug)]
pub(super) struct Account {
    total: RateShare,
    /// Sum of the shares of all entries; may exceed the total after the total was lowered.
    held: RateShare,
    /// Tokens of the free remainder.
    free_tokens: TokenStore,
    /// Whether the rate is not split and tokens are granted to waiting requests.
    on_demand: bool,
    /// Moment from which the rate may be split again.
    next_split_at: Moment,
    entries: BTreeMap<HolderNumber, AccountEntry>,
    /// Holders whose recall has changed since the last call of [`Account::take_recalled`].
    recalled: Vec<HolderNumber>,
}

impl Account {
    /// Creates an account without holders; no tokens accrue before `open_from`.
    pub(super) fn new(open_from: Moment, total: RateShare) -> Self {
        Self {
            total,
            held: RateShare::default(),
            free_tokens: TokenStore::starting_at(open_from),
            on_demand: false,
            next_split_at: Moment::ORIGIN,
            entries: BTreeMap::new(),
            recalled: Vec::new(),
        }
    }

    /// Starts accruing tokens at `now` if the account would open later.
    pub(super) fn open_no_later_than(&mut self, now: Moment) {
        self.free_tokens.start_no_later_than(now);
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
        self.free_tokens.advance(now, self.free());
        self.total = total;
        self.next_split_at = now;
        self.free_tokens.clamp(self.free());
    }

    /// Records a holder's report entry.
    pub(super) fn apply_report(
        &mut self,
        now: Moment,
        holder: HolderNumber,
        reported: &DemandEntry,
    ) {
        self.free_tokens.advance(now, self.free());
        let base = reported.base;
        let held = &mut self.held;
        let entry = self.entries.entry(holder).or_insert_with(|| {
            *held = held.saturating_add(base);
            AccountEntry::new(base)
        });
        let previous = (entry.share(), entry.returned.tokens);
        entry.demand_rate = reported.demand_rate;
        entry.token_shortfall = reported.token_shortfall;
        entry.applied = entry.applied.latest(reported.applied);
        entry.returned = entry.returned.latest(reported.returned);
        let returned = previous.0.saturating_sub(entry.share());
        let tokens = (entry.returned.tokens - previous.1).min(returned.burst);
        *held = held.saturating_sub(returned);
        let free = self.free();
        self.free_tokens.add_milli(tokens);
        self.free_tokens.clamp(free);
    }

    /// Reclaims the share of a holder; its unspent tokens are lost.
    pub(super) fn remove_holder(&mut self, now: Moment, holder: HolderNumber) {
        self.free_tokens.advance(now, self.free());
        if let Some(entry) = self.entries.remove(&holder) {
            self.held = self.held.saturating_sub(entry.share());
        }
    }

    /// Returns the state to send to a holder, or `None` if the holder has acknowledged all of it.
    pub(super) fn pending_grant(&self, key: &RateKey, holder: HolderNumber) -> Option<GrantEntry> {
        let entry = self.entries.get(&holder)?;
        let recalled = entry.recalled.saturating_sub(entry.returned.share);
        let known = entry.granted == entry.applied && recalled.is_empty();
        (!known).then(|| GrantEntry {
            key: key.clone(),
            granted: entry.granted,
            recalled: entry.recalled,
            on_demand: self.on_demand,
        })
    }

    /// Takes the holders whose recall has changed, so that their next reply has to carry it.
    pub(super) fn take_recalled(&mut self) -> Vec<HolderNumber> {
        std::mem::take(&mut self.recalled)
    }

    /// Updates whether tokens are granted on demand with this many holders, and returns the result.
    pub(super) fn update_mode(&mut self, holders: usize) -> bool {
        self.on_demand = is_too_small_to_split(self.total, holders, self.on_demand);
        self.on_demand
    }

    /// Grants the answered holder the tokens that its waiting requests need, and a reserve for its next
    /// requests while at least half of the burst remains.
    ///
    /// The whole rate accrues in the ledger; shares that are still held are recalled. Returns `false`
    /// if the recall has to wait because the last one is too recent.
    pub(super) fn grant_on_demand(&mut self, now: Moment, answered: Option<HolderNumber>) -> bool {
        self.free_tokens.advance(now, self.free());
        let mut is_done = true;
        if self.held.rate > 0 {
            is_done = self.is_split_due(now);
            if is_done {
                self.next_split_at = now + SPLIT_INTERVAL_MIN;
                self.recall_all();
            }
        }
        let Some(entry) = answered.and_then(|holder| self.entries.get_mut(&holder)) else {
            return is_done;
        };
        let token_shortfall = std::mem::take(&mut entry.token_shortfall);
        // Earlier grants may not have reached the holder yet.
        let needed = token_shortfall.saturating_sub(entry.share().burst);
        let available = self.free_tokens.available_milli();
        let mut tokens = needed.min(available) / MILLI * MILLI;
        let left = available - tokens;
        let kept = self.total.burst / 2;
        if left >= kept {
            let wanted = token_shortfall + token_reserve(entry.demand_rate);
            let lacking = wanted.saturating_sub(entry.share().burst + tokens);
            let reserve = lacking.min((left - kept).max(MILLI)).min(left);
            tokens += reserve / MILLI * MILLI;
        }
        entry.granted.share.burst += tokens;
        entry.granted.tokens += tokens;
        self.held.burst += tokens;
        self.free_tokens.take_milli(tokens);
        self.free_tokens.clamp(self.free());
        is_done
    }

    /// Recalls the whole share of every holder that has part of the rate.
    fn recall_all(&mut self) {
        for (holder, entry) in &mut self.entries {
            if entry.share().rate > 0 && entry.recall(entry.share()) {
                self.recalled.push(*holder);
            }
        }
    }

    /// Returns whether the rate may be split again.
    pub(super) fn is_split_due(&self, now: Moment) -> bool {
        now >= self.next_split_at
    }

    /// Grants the answered holder free share up to its target from the last split.
    pub(super) fn grant_by_last_split(&mut self, now: Moment, answered: Option<HolderNumber>) {
        self.free_tokens.advance(now, self.free());
        self.grant(answered);
    }

    /// Splits the rate, grants the answered holder free share up to its target, and recalls the
    /// surplus of holders above theirs.
    ///
    /// Free share stays in the ledger, where it accrues tokens, until the reply to a holder can
    /// carry the grant. `holders` lists all holders and whether each is leaving. Returns whether
    /// another split is needed: free share remains that some holder is missing, or a holder with
    /// demand has no room for a token.
    pub(super) fn rebalance(
        &mut self,
        now: Moment,
        holders: &[(HolderNumber, bool)],
        answered: Option<HolderNumber>,
    ) -> bool {
        self.free_tokens.advance(now, self.free());
        if !holders.is_empty() {
            // A split without holders costs nothing, so it must not delay the split for the first one.
            self.next_split_at = now + SPLIT_INTERVAL_MIN;
        }
        self.add_holders(holders);
        self.set_targets(now, holders);
        let unmet = !self.missing().fits_within(self.free());
        self.grant(answered);
        self.recall_surplus(unmet);
        let free = self.free();
        let missing = self.missing();
        let mut unfinished = missing.rate.min(free.rate) > 0 || missing.burst.min(free.burst) > 0;
        for entry in self.entries.values_mut() {
            unfinished |= entry.update_starvation(now);
        }
        unfinished
    }

    /// Splits the total among the holders that have an entry.
    fn set_targets(&mut self, now: Moment, holders: &[(HolderNumber, bool)]) {
        let included = holders.iter().filter_map(|(holder, leaving)| {
            let entry = self.entries.get(holder)?;
            Some((holder, entry.split_input(*leaving)))
        });
        let (included, inputs): (Vec<&HolderNumber>, Vec<SplitHolder>) = included.unzip();
        let targets = split(self.total, &inputs, now);
        for entry in self.entries.values_mut() {
            entry.target = None;
        }
        for (holder, target) in included.into_iter().zip(targets) {
            if let Some(entry) = self.entries.get_mut(holder) {
                entry.target = Some(target);
            }
        }
    }

    /// Adds an entry for every holder if the burst has room for one token each.
    fn add_holders(&mut self, holders: &[(HolderNumber, bool)]) {
        let staying = holders.iter().filter(|(_, leaving)| !leaving);
        if self.total.burst / MILLI < staying.clone().count() as u64 {
            return;
        }
        for (holder, _) in staying {
            self.entries
                .entry(*holder)
                .or_insert_with(|| AccountEntry::new(RateShare::default()));
        }
    }

    /// Returns the sum of what all holders are missing to their targets.
    fn missing(&self) -> RateShare {
        let needs = self.entries.values().map(AccountEntry::need);
        needs.fold(RateShare::default(), |sum, need| sum.saturating_add(need))
    }

    /// Grants a holder what it is missing to its target, as far as free share allows.
    fn grant(&mut self, holder: Option<HolderNumber>) {
        let free = self.free();
        let Some(entry) = holder.and_then(|holder| self.entries.get_mut(&holder)) else {
            return;
        };
        let need = entry.need();
        let share = RateShare {
            rate: need.rate.min(free.rate),
            burst: need.burst.min(free.burst),
        };
        let tokens = scale(
            self.free_tokens.available_milli(),
            share.burst,
            free.burst.max(1),
        )
        .min(share.burst);
        entry.granted.share = entry.granted.share.saturating_add(share);
        entry.granted.tokens += tokens;
        self.held = self.held.saturating_add(share);
        self.free_tokens.take_milli(tokens);
        self.free_tokens.clamp(self.free());
        assert!(
            (share.rate == 0 || self.held.rate <= self.total.rate)
                && (share.burst == 0 || self.held.burst <= self.total.burst),
            "granted more than the free share"
        );
    }

    /// Recalls the surplus of each holder while the total is exceeded or a need is unmet.
    fn recall_surplus(&mut self, unmet: bool) {
        let over = !self.held.fits_within(self.total);
        for (holder, entry) in &mut self.entries {
            let Some(target) = entry.target else {
                continue;
            };
            let part = match (over, unmet) {
                (true, _) => entry.share().saturating_sub(target),
                (false, true) => entry.surplus(target),
                (false, false) => RateShare::default(),
            };
            if entry.recall(part) {
                self.recalled.push(*holder);
            }
        }
    }

    fn free(&self) -> RateShare {
        self.total.saturating_sub(self.held)
    }
}

/// State of one holder in an account.
#[derive(Debug)]
struct AccountEntry {
    demand_rate: u64,
    /// Unmet token need of its waiting requests at the last report.
    token_shortfall: u64,
    base: RateShare,
    granted: TransferTotal,
    applied: TransferTotal,
    returned: TransferTotal,
    recalled: RateShare,
    /// Target from the last split, if the holder took part in it.
    target: Option<RateShare>,
    /// Since when the holder has had demand but no room for a token.
    starved_since: Option<Moment>,
}

impl AccountEntry {
    fn new(base: RateShare) -> Self {
        Self {
            demand_rate: 0,
            token_shortfall: 0,
            base,
            granted: TransferTotal::default(),
            applied: TransferTotal::default(),
            returned: TransferTotal::default(),
            recalled: RateShare::default(),
            target: None,
            starved_since: None,
        }
    }

    /// Returns the upper bound of what the holder has now.
    fn share(&self) -> RateShare {
        self.base
            .saturating_add(self.granted.share)
            .saturating_sub(self.returned.share)
    }

    /// Recalls a part of the share; returns whether that changes what is recalled.
    fn recall(&mut self, part: RateShare) -> bool {
        let recalled = self.returned.share.saturating_add(part);
        std::mem::replace(&mut self.recalled, recalled) != recalled
    }

    fn split_input(&self, leaving: bool) -> SplitHolder {
        SplitHolder {
            demand_rate: self.demand_rate,
            burst: self.share().burst,
            starved_since: self.starved_since,
            leaving,
        }
    }

    /// Returns what is missing to the target, ignoring differences within the tolerance.
    fn need(&self) -> RateShare {
        let share = self.share();
        let target = self.target.unwrap_or_default();
        let part = |have: u64, want: u64| {
            let missing = want.saturating_sub(have);
            let matters = missing > want / TOLERANCE_DIVISOR;
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
            let matters = over > have / TOLERANCE_DIVISOR;
            if matters { over } else { 0 }
        };
        RateShare {
            rate: part(share.rate, target.rate),
            burst: part(share.burst, target.burst),
        }
    }

    /// Updates since when the holder has had demand but no room for a token; returns whether that is
    /// so now.
    fn update_starvation(&mut self, now: Moment) -> bool {
        let starved = self.demand_rate > 0 && self.share().burst < MILLI;
        self.starved_since = starved.then(|| self.starved_since.unwrap_or(now));
        starved
    }
}
