//! How a rate and a burst are to be split among holders.

use super::{
    MILLI,
    RateShare, //
};
use crate::Moment;
use std::time::Duration;

/// Time without a whole token of burst after which a holder goes before those that have one.
const TURN_TIME: Duration = Duration::from_secs(1);

/// Burst for each holder below which a rate is not split, in thousandths: a share could not serve two
/// requests in a row.
const SHARE_BURST_MIN: u64 = 2 * MILLI;

/// Rate for each holder below which a request would wait too long for the next token of its share,
/// in thousandths a second.
const SHARE_RATE_MIN: u64 = 5 * MILLI;

/// Burst for each holder with which a share serves requests at a lower rate than that, in
/// thousandths.
const SLOW_SHARE_BURST_MIN: u64 = 8 * MILLI;

/// Part by which more holders are counted while tokens are granted on demand, so that a holder
/// that comes or goes does not change the way back and forth; as a divisor.
const MARGIN_DIVISOR: u64 = 2;

/// Returns whether a rate is too small for its holders to be of use in shares; `on_demand` says
/// whether its tokens are granted on demand at present.
pub(super) fn is_too_small_to_split(total: RateShare, holders: usize, on_demand: bool) -> bool {
    if holders <= 1 {
        return false;
    }
    let holders = holders as u64;
    let counted = match on_demand {
        true => holders + holders / MARGIN_DIVISOR,
        false => holders,
    };
    let slow = total.rate < SHARE_RATE_MIN * counted;
    total.burst < SHARE_BURST_MIN * counted || slow && total.burst < SLOW_SHARE_BURST_MIN * counted
}

/// What the split needs to know of one holder.
#[derive(Clone, Copy, Debug)]
pub(super) struct SplitHolder {
    /// Wanted rate, in thousandths.
    pub(super) wanted: u64,
    /// Present burst share, in thousandths.
    pub(super) burst: u64,
    /// Moment since which it has wanted a token and had no room for one.
    pub(super) without_since: Option<Moment>,
    /// Whether it is to get nothing.
    pub(super) leaving: bool,
}

/// Splits the whole in proportion to demand, and half of what is not wanted evenly.
///
/// Each holder gets room for a whole token before the rest of the burst is split. If the burst
/// does not suffice for that, only those that want something get a share, by turns if need be.
pub(super) fn split(total: RateShare, holders: &[SplitHolder], now: Moment) -> Vec<RateShare> {
    let present: Vec<bool> = choose(total, holders, now);
    let count = present.iter().filter(|present| **present).count() as u64;
    if count == 0 {
        return vec![RateShare::default(); holders.len()];
    }
    let wanted_sum: u64 = kept(holders, &present).map(|holder| holder.wanted).sum();
    let even = even_part(total.rate, wanted_sum);
    let one = MILLI.min(total.burst / count);
    let rest = total.burst - one * count;
    let part = |wanted: u64, whole: u64| {
        let evenly = scale(whole, even, total.rate.max(1));
        evenly / count + scale(whole - evenly, wanted, wanted_sum.max(1))
    };
    let holders = holders.iter().zip(&present);
    holders
        .map(|(holder, present)| match present {
            false => RateShare::default(),
            true => RateShare {
                rate: part(holder.wanted, total.rate),
                burst: one + part(holder.wanted, rest),
            },
        })
        .collect()
}

/// Chooses the holders that get a share at all.
fn choose(total: RateShare, holders: &[SplitHolder], now: Moment) -> Vec<bool> {
    let count = holders.iter().filter(|holder| !holder.leaving).count() as u64;
    if total.burst / MILLI >= count {
        return holders.iter().map(|holder| !holder.leaving).collect();
    }
    let room = usize::try_from(total.burst / MILLI).unwrap_or(usize::MAX);
    let mut order: Vec<usize> = (0..holders.len())
        .filter(|index| !holders[*index].leaving && holders[*index].wanted > 0)
        .collect();
    order.sort_by_key(|index| rank(&holders[*index], now));
    let mut present = vec![false; holders.len()];
    for index in order.into_iter().take(room) {
        present[index] = true;
    }
    present
}

/// Orders holders: who has waited for a turn, then who has it, then the rest by demand.
fn rank(holder: &SplitHolder, now: Moment) -> (u8, Moment, u64) {
    let by_demand = u64::MAX - holder.wanted;
    match holder.without_since {
        Some(since) if now.since(since) >= TURN_TIME => (0, since, by_demand),
        _ if holder.burst >= MILLI => (1, Moment::ORIGIN, by_demand),
        _ => (2, Moment::ORIGIN, by_demand),
    }
}

/// Returns the part of a rate that is split evenly.
fn even_part(rate: u64, wanted: u64) -> u64 {
    match wanted {
        0 => rate,
        _ => rate.saturating_sub(wanted) / 2,
    }
}

fn kept<'a>(
    holders: &'a [SplitHolder],
    present: &'a [bool],
) -> impl Iterator<Item = &'a SplitHolder> {
    let pairs = holders.iter().zip(present);
    pairs.filter_map(|(holder, present)| present.then_some(holder))
}

/// Returns `whole * part / of`, rounded down.
pub(super) fn scale(whole: u64, part: u64, of: u64) -> u64 {
    let scaled = u128::from(whole) * u128::from(part) / u128::from(of);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
