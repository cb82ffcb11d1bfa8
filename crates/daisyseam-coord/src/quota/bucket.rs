//! A token bucket whose rate and burst change with grants and returns.

use super::{
    DemandEntry,
    GrantEntry,
    MILLI,
    RateKey,
    RateShare,
    TransferTotal,
    demand::{
        DemandMeter,
        WaitingQueue, //
    },
    token_reserve, //
};
use crate::Moment;
use std::time::Duration;

/// Fine units per thousandth of a token. A rate in thousandths per second multiplied by
/// nanoseconds gives fine units without rounding.
const FINE_PER_MILLI: u128 = 1_000_000_000;

/// Fine units per token.
const FINE_PER_TOKEN: u128 = FINE_PER_MILLI * MILLI as u128;

/// Tokens that accrue at the rate of a share up to its burst.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TokenStore {
    fine_units: u128,
    at: Moment,
}

impl TokenStore {
    pub(super) fn starting_at(at: Moment) -> Self {
        Self { fine_units: 0, at }
    }

    /// Starts accruing tokens at `now` if that is earlier than the current start.
    pub(super) fn start_no_later_than(&mut self, now: Moment) {
        self.at = self.at.min(now);
    }

    /// Adds the tokens accrued since the last call.
    pub(super) fn advance(&mut self, now: Moment, share: RateShare) {
        let passed = now.since(self.at).as_nanos();
        self.fine_units += passed * u128::from(share.rate);
        self.at = self.at.max(now);
        self.clamp(share);
    }

    /// Drops tokens beyond the burst.
    pub(super) fn clamp(&mut self, share: RateShare) {
        self.fine_units = self
            .fine_units
            .min(u128::from(share.burst) * FINE_PER_MILLI);
    }

    pub(super) fn take_one(&mut self) -> bool {
        if self.fine_units < FINE_PER_TOKEN {
            return false;
        }
        self.fine_units -= FINE_PER_TOKEN;
        true
    }

    pub(super) fn available_milli(&self) -> u64 {
        u64::try_from(self.fine_units / FINE_PER_MILLI).unwrap_or(u64::MAX)
    }

    pub(super) fn add_milli(&mut self, tokens: u64) {
        self.fine_units += u128::from(tokens) * FINE_PER_MILLI;
    }

    pub(super) fn take_milli(&mut self, tokens: u64) {
        let fine_units = u128::from(tokens) * FINE_PER_MILLI;
        assert!(
            fine_units <= self.fine_units,
            "took more tokens than are available"
        );
        self.fine_units -= fine_units;
    }

    /// Returns the time until this many tokens are available, or `None` if the rate is zero and they
    /// never will be.
    fn time_until(&self, tokens: usize, rate: u64) -> Option<Duration> {
        let wanted = tokens as u128 * FINE_PER_TOKEN;
        let missing = wanted.saturating_sub(self.fine_units);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        let nanos = missing.div_ceil(u128::from(rate).max(1));
        (rate > 0).then(|| Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX)))
    }
}

/// Token bucket with one instance's share of a rate limit.
///
/// # Examples
///
/// ```
/// use daisyseam_coord::{Moment, quota::{GrantEntry, RateKey, RateShare, ShareBucket, TransferTotal}};
///
/// let share = RateShare { rate: 10_000, burst: 2_000 };
/// let mut bucket = ShareBucket::new(Moment::ORIGIN);
/// let granted = GrantEntry {
///     key: RateKey::parse("keepers").unwrap(),
///     granted: TransferTotal { share, tokens: 0 },
///     recalled: RateShare::default(),
///     on_demand: false,
/// };
/// bucket.apply(Moment::ORIGIN, &granted);
/// assert!(!bucket.take(Moment::ORIGIN));
/// assert!(bucket.take(Moment::from_millis(100)));
/// ```
#[derive(Clone, Debug)]
pub struct ShareBucket {
    base: RateShare,
    granted: TransferTotal,
    returned: TransferTotal,
    /// Total that the ledger recalls; returned with the next report.
    recalled: RateShare,
    /// Whether tokens are granted on demand; unused tokens are then returned with each report.
    on_demand: bool,
    tokens: TokenStore,
    demand: DemandMeter,
    waiting: WaitingQueue,
}

impl ShareBucket {
    /// Creates a bucket without a share.
    pub fn new(now: Moment) -> Self {
        Self {
            base: RateShare::default(),
            granted: TransferTotal::default(),
            returned: TransferTotal::default(),
            recalled: RateShare::default(),
            on_demand: false,
            tokens: TokenStore::starting_at(now),
            demand: DemandMeter::default(),
            waiting: WaitingQueue::default(),
        }
    }

    /// Returns the share held now.
    pub fn share(&self) -> RateShare {
        self.base
            .saturating_add(self.granted.share)
            .saturating_sub(self.returned.share)
    }

    /// Counts a request towards the demand, whether or not it is admitted.
    pub fn count(&mut self, now: Moment) {
        self.demand.count(now);
    }

    /// Takes a token if one is available.
    pub fn take(&mut self, now: Moment) -> bool {
        self.tokens.advance(now, self.share());
        self.tokens.take_one()
    }

    /// Sets the state of the queue of requests waiting for a token.
    pub fn set_waiting(&mut self, waiting: WaitingQueue) {
        self.waiting = waiting;
    }

    /// Returns whether requests wait and the rate of the share is below the demand.
    pub(super) fn is_short(&self, now: Moment) -> bool {
        self.waiting.length > 0 && self.share().rate < self.demand_rate(now)
    }

    /// Returns the time until this many tokens have accrued at the current share, ignoring the limit
    /// of the burst, or `None` if they never will.
    pub fn time_until(&mut self, now: Moment, tokens: usize) -> Option<Duration> {
        let share = self.share();
        self.tokens.advance(now, share);
        if share.burst < MILLI {
            return None;
        }
        self.tokens.time_until(tokens, share.rate)
    }

    /// Returns the demand in thousandths of a statement per second.
    pub fn demand_rate(&self, now: Moment) -> u64 {
        self.demand.demand_rate(now, self.waiting)
    }

    /// Applies the latest totals of granted and recalled share.
    pub fn apply(&mut self, now: Moment, grant: &GrantEntry) {
        self.tokens.advance(now, self.share());
        let latest = self.granted.latest(grant.granted);
        self.tokens.add_milli(latest.tokens - self.granted.tokens);
        self.granted = latest;
        self.tokens.clamp(self.share());
        self.recalled = grant.recalled;
        self.on_demand = grant.on_demand;
    }

    /// Returns whether tokens of this rate are granted on demand.
    pub(super) fn is_on_demand(&self) -> bool {
        self.on_demand
    }

    /// Returns the tokens that waiting requests need beyond those available, in thousandths.
    pub(super) fn token_shortfall(&mut self, now: Moment) -> u64 {
        self.tokens.advance(now, self.share());
        let waiting = self.waiting.length as u64 * MILLI;
        waiting.saturating_sub(self.tokens.available_milli() / MILLI * MILLI)
    }

    /// Returns the burst of spent tokens, and tokens that neither waiting requests nor the reserve
    /// need.
    pub(super) fn return_unused(&mut self, now: Moment) {
        self.tokens.advance(now, self.share());
        let held = self.share();
        let waiting = self.waiting.length as u64 * MILLI;
        let reserve = token_reserve(self.demand_rate(now));
        let needed = (waiting + reserve).min(self.tokens.available_milli() / MILLI * MILLI);
        let spare = RateShare {
            rate: held.rate,
            burst: held.burst.saturating_sub(needed),
        };
        self.return_share(spare, 0);
    }

    /// Returns whether a recall is to be answered with the next report.
    pub(super) fn has_pending_recall(&self) -> bool {
        !self.recalled.saturating_sub(self.returned.share).is_empty()
    }

    /// Returns the recalled share to the ledger; until this call it keeps accruing tokens here.
    pub(super) fn return_recalled(&mut self, now: Moment) {
        self.tokens.advance(now, self.share());
        let recalled = self.recalled.saturating_sub(self.returned.share);
        self.return_share(recalled, self.proportional_tokens(recalled));
    }

    /// Returns the whole share to the ledger, with its tokens.
    pub fn return_all(&mut self, now: Moment) {
        self.tokens.advance(now, self.share());
        let all = self.share();
        self.return_share(all, self.proportional_tokens(all));
    }

    /// Drops the whole share and its tokens because the lease has expired.
    pub(super) fn expire(&mut self, end: Moment) {
        self.returned.share = self.base.saturating_add(self.granted.share);
        self.tokens = TokenStore::starting_at(end);
    }

    /// Starts a registration with another ledger, carrying over the current share.
    pub(super) fn begin_registration(&mut self, now: Moment) {
        self.tokens.advance(now, self.share());
        self.base = self.share();
        self.granted = TransferTotal::default();
        self.returned = TransferTotal::default();
        self.recalled = RateShare::default();
    }

    pub(super) fn returned(&self) -> TransferTotal {
        self.returned
    }

    /// Returns whether the registration began with a share or has been granted one.
    pub(super) fn has_been_granted(&self) -> bool {
        !self.base.is_empty() || self.granted != TransferTotal::default()
    }

    pub(super) fn entry(&mut self, key: &RateKey, now: Moment) -> DemandEntry {
        DemandEntry {
            key: key.clone(),
            demand_rate: self.demand_rate(now),
            token_shortfall: self.token_shortfall(now),
            base: self.base,
            applied: self.granted,
            returned: self.returned,
        }
    }

    /// Returns the number of tokens proportional to a part of the share.
    fn proportional_tokens(&self, part: RateShare) -> u64 {
        let held = self.share().burst;
        let product = u128::from(self.tokens.available_milli()) * u128::from(part.burst.min(held));
        u64::try_from(product / u128::from(held.max(1))).unwrap_or(u64::MAX)
    }

    /// Returns a part of the share with this many tokens, or with more if the remaining burst has no
    /// room for the rest.
    fn return_share(&mut self, part: RateShare, tokens_to_move: u64) {
        let held = self.share();
        let part = RateShare {
            rate: part.rate.min(held.rate),
            burst: part.burst.min(held.burst),
        };
        self.returned.share = self.returned.share.saturating_add(part);
        if part.burst == 0 {
            return;
        }
        let tokens = self.tokens.available_milli();
        let overflow = tokens.saturating_sub(held.burst - part.burst);
        let moved = tokens_to_move.max(overflow).min(part.burst);
        self.tokens.take_milli(moved);
        self.returned.tokens += moved;
        self.tokens.clamp(self.share());
    }
}
