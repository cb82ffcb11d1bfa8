//! The choice among fenced databases.

use super::MemberFacts;
use daisyseam_model::{
    LogPosition,
    UpstreamId, //
};
use std::collections::BTreeMap;

/// Returns how many databases must have promised before one is chosen: so many that each write that
/// a majority by the document's count has is on one of them.
pub(super) fn fence_quorum(members: usize, expected: usize) -> usize {
    let confirmed_by = expected / 2 + 1;
    members.max(expected) - confirmed_by + 1
}

/// Chooses the database with the highest end; among equals one that may stay primary.
pub(super) fn choose(
    ends: &BTreeMap<UpstreamId, LogPosition>,
    members: &[MemberFacts],
    preferred: Option<&UpstreamId>,
) -> Option<(UpstreamId, LogPosition)> {
    let rank = |member: &&MemberFacts| {
        let fit = !member.leaving && member.in_service;
        let named = preferred == Some(&member.upstream);
        (ends[&member.upstream], fit, named)
    };
    let answered = members
        .iter()
        .filter(|member| ends.contains_key(&member.upstream));
    let best = answered.rev().max_by_key(rank)?;
    Some((best.upstream.clone(), ends[&best.upstream]))
}
