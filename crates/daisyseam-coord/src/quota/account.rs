//! One rate in the ledger: what each holder has of it and what is free.

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

/// A share that lies nearer to its target than one part in so many is left as it is.
const SLACK_DIVISOR: u64 = 20;

/// Least time between two splits of one rate; in between, grants follow the last one.
const SPLIT_EVERY: Duration = Duration::from_millis(50);

/// The account of one rate.
///
/// The free part is a bucket too: it accrues tokens, which go along when it is granted.
#[derive(Debug)]
pub(super) struct Account {
    total: RateShare,
    /// Sum of the shares of all entries; may exceed the total after that has been lowered.
    held: RateShare,
    pool: TokenStore,
    /// Whether nothing is split and tokens are granted to waiting requests.
    on_demand: bool,
    /// Moment from which the rate may be split anew.
    split_from: Moment,
    entries: BTreeMap<HolderId, AccountEntry>,
}

impl Account {
    /// Opens an account; nothing is free and nothing accrues before `open_from`.
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

    /// Lets the free part accrue from a moment on, if that is earlier than when it opens.
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

    /// Enters what a holder says.
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

    /// Takes back all that a holder has; its tokens are lost.
    pub(super) fn forget(&mut self, now: Moment, holder: &HolderId) {
        self.pool.advance(now, self.free());
        if let Some(entry) = self.entries.remove(holder) {
            self.held = self.held.saturating_sub(entry.share());
        }
    }

    /// Returns what a holder does not know yet.
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

    /// Decides whether tokens are granted on demand among so many holders, and returns it.
    pub(super) fn choose_mode(&mut self, holders: usize) -> bool {
        self.on_demand = is_too_small_to_split(self.total, holders, self.on_demand);
        self.on_demand
    }

    /// Grants the waiting requests of the holder that is being answered the tokens that they lack,
    /// and one for its next request while half of the burst is left.
    ///
    /// The whole rate accrues here; shares that are still out are asked back.
    pub(super) fn grant_tokens(&mut self, now: Moment, answered: Option<&HolderId>) {
        self.pool.advance(now, self.free());
        if self.held.rate > 0 {
            self.recall();
        }
        let Some(entry) = answered.and_then(|holder| self.entries.get_mut(holder)) else {
            return;
        };
        let lacking = std::mem::take(&mut entry.lacking);
        // What was granted before may not have arrived yet.
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

    /// Asks all holders with a share of the rate to return what they have.
    fn recall(&mut self) {
        for entry in self.entries.values_mut() {
            if entry.share().rate > 0 {
                entry.asked = entry.returned.share.plus(entry.share());
            }
        }
    }

    /// Returns whether the rate may be split anew.
    pub(super) fn is_split_due(&self, now: Moment) -> bool {
        now >= self.split_from
    }

    /// Grants what is free to the holder that is being answered, up to its part by the last split.
    pub(super) fn grant_by_last_split(&mut self, now: Moment, answered: Option<&HolderId>) {
        self.pool.advance(now, self.free());
        self.grant(answered);
    }

    /// Splits the rate, grants what is free to the holder that is being answered, up to its target,
    /// and asks those above theirs to return.
    ///
    /// What is free stays here, where it accrues tokens, until its holder can be told of it.
    /// `seats` lists all holders and whether each is leaving. Returns whether something is free
    /// that another holder lacks, or somebody waits for a turn, so that the split is not done.
    pub(super) fn rebalance(
        &mut self,
        now: Moment,
        seats: &[(HolderId, bool)],
        answered: Option<&HolderId>,
    ) -> bool {
        self.pool.advance(now, self.free());
        if !seats.is_empty() {
            // A split among nobody costs nothing, and the first holder need not wait after it.
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

    /// Splits the whole among the holders that have an entry.
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

    /// Gives each holder an entry if the burst has room for a token of each.
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

    /// Returns what all holders lack to their targets.
    fn missing(&self) -> RateShare {
        let needs = self.entries.values().map(AccountEntry::need);
        needs.fold(RateShare::default(), |sum, need| sum.plus(need))
    }

    /// Hands a holder what it lacks of its target, as far as that is free.
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
            "more was granted than there is"
        );
    }

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

/// What one holder has of an account.
#[derive(Debug)]
struct AccountEntry {
    wanted: u64,
    /// Tokens that its waiting requests lacked at its last report.
    lacking: u64,
    base: RateShare,
    granted: TransferTotal,
    applied: TransferTotal,
    returned: TransferTotal,
    asked: RateShare,
    /// Its part by the last split; none if it had none then.
    target: Option<RateShare>,
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

    /// Returns the most that the holder can have now.
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

    /// Returns what is missing to the target, if it matters.
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

    /// Returns what lies over the target, if it matters.
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

    /// Notes since when a wanted token has had no room; returns whether it has none now.
    fn note_turn(&mut self, now: Moment) -> bool {
        let without = self.wanted > 0 && self.share().burst < MILLI;
        self.without_since = without.then(|| self.without_since.unwrap_or(now));
        without
    }
}
