//! Computes how a rate limit is split among holders.

use super::{
    MILLI,
    RateShare, //
};
use crate::Moment;
use std::time::Duration;

/// Time without burst for a whole token after which a holder takes precedence over those that
/// have it.
const TURN_WAIT_MAX: Duration = Duration::from_secs(1);

/// Burst per holder below which a rate is not split, in thousandths: a share could not serve two
/// requests in a row.
const SHARE_BURST_MIN: u64 = 2 * MILLI;

/// Rate per holder below which a request would wait too long for the next token of its share, in
/// thousandths per second.
const SHARE_RATE_MIN: u64 = 5 * MILLI;

/// Burst per holder that makes a share useful even below [`SHARE_RATE_MIN`], in thousandths.
const SLOW_SHARE_BURST_MIN: u64 = 8 * MILLI;

/// Hysteresis: while tokens are granted on demand, `1 / HYSTERESIS_DIVISOR` more holders are assumed,
/// so that a single holder joining or leaving does not toggle the mode.
const HYSTERESIS_DIVISOR: u64 = 2;

/// Returns whether shares of a rate would be too small to be useful for this many holders;
/// `on_demand` is the current mode.
pub(super) fn is_too_small_to_split(total: RateShare, holders: usize, on_demand: bool) -> bool {
    if holders <= 1 {
        return false;
    }
    let holders = holders as u64;
    let counted = match on_demand {
        true => holders + holders / HYSTERESIS_DIVISOR,
        false => holders,
    };
    let slow = total.rate < SHARE_RATE_MIN * counted;
    total.burst < SHARE_BURST_MIN * counted || slow && total.burst < SLOW_SHARE_BURST_MIN * counted
}

/// Input of the split for one holder.
#[derive(Clone, Copy, Debug)]
pub(super) struct SplitHolder {
    /// Demand, in thousandths of a statement per second.
    pub(super) demand_rate: u64,
    /// Current burst share, in thousandths.
    pub(super) burst: u64,
    /// Since when the holder has had demand but no room for a token.
    pub(super) starved_since: Option<Moment>,
    /// Whether the holder is leaving and gets nothing.
    pub(super) leaving: bool,
}

/// Splits the total in proportion to demand, and half of the unused rate evenly.
///
/// Each holder first gets burst for one whole token; the rest of the burst is split. If the burst
/// is too small for that, only holders with demand get a share, taking turns if necessary.
pub(super) fn split(total: RateShare, holders: &[SplitHolder], now: Moment) -> Vec<RateShare> {
    let included: Vec<bool> = choose_recipients(total, holders, now);
    let count = included.iter().filter(|included| **included).count() as u64;
    if count == 0 {
        return vec![RateShare::default(); holders.len()];
    }
    let demand_sum: u64 = included_holders(holders, &included)
        .map(|holder| holder.demand_rate)
        .sum();
    let even = even_part(total.rate, demand_sum);
    let one = MILLI.min(total.burst / count);
    let rest = total.burst - one * count;
    let part = |demand_rate: u64, whole: u64| {
        let evenly = scale(whole, even, total.rate.max(1));
        evenly / count + scale(whole - evenly, demand_rate, demand_sum.max(1))
    };
    let holders = holders.iter().zip(&included);
    holders
        .map(|(holder, included)| match included {
            false => RateShare::default(),
            true => RateShare {
                rate: part(holder.demand_rate, total.rate),
                burst: one + part(holder.demand_rate, rest),
            },
        })
        .collect()
}

/// Chooses the holders that get a share.
fn choose_recipients(total: RateShare, holders: &[SplitHolder], now: Moment) -> Vec<bool> {
    let count = holders.iter().filter(|holder| !holder.leaving).count() as u64;
    if total.burst / MILLI >= count {
        return holders.iter().map(|holder| !holder.leaving).collect();
    }
    let room = usize::try_from(total.burst / MILLI).unwrap_or(usize::MAX);
    let mut order: Vec<usize> = (0..holders.len())
        .filter(|index| !holders[*index].leaving && holders[*index].demand_rate > 0)
        .collect();
    order.sort_by_key(|index| rank(&holders[*index], now));
    let mut included = vec![false; holders.len()];
    for index in order.into_iter().take(room) {
        included[index] = true;
    }
    included
}

/// Sort key of holders: first those that have waited for a turn, the longest first, then those that
/// have burst, then the rest; ties are broken by demand.
fn rank(holder: &SplitHolder, now: Moment) -> (u8, Moment, u64) {
    let by_demand = u64::MAX - holder.demand_rate;
    match holder.starved_since {
        Some(since) if now.since(since) >= TURN_WAIT_MAX => (0, since, by_demand),
        _ if holder.burst >= MILLI => (1, Moment::ORIGIN, by_demand),
        _ => (2, Moment::ORIGIN, by_demand),
    }
}

/// Returns the part of the rate that is split evenly.
fn even_part(rate: u64, demand_rate: u64) -> u64 {
    match demand_rate {
        0 => rate,
        _ => rate.saturating_sub(demand_rate) / 2,
    }
}

fn included_holders<'a>(
    holders: &'a [SplitHolder],
    included: &'a [bool],
) -> impl Iterator<Item = &'a SplitHolder> {
    let pairs = holders.iter().zip(included);
    pairs.filter_map(|(holder, included)| included.then_some(holder))
}

/// Returns `whole * part / of`, rounded down.
pub(super) fn scale(whole: u64, part: u64, of: u64) -> u64 {
    let scaled = u128::from(whole) * u128::from(part) / u128::from(of);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
