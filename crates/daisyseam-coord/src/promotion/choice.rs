//! Selection of the new primary among fenced databases.

use super::MemberFacts;
use daisyseam_model::{
    LogPosition,
    UpstreamId, //
};
use std::collections::BTreeMap;

/// Returns how many databases must have promised the term before one is chosen.
///
/// It is the smallest number that overlaps with every majority of the databases that the document
/// expects, so that at least one of them has each acknowledged write.
pub(super) fn fence_quorum(members: usize, expected: usize) -> usize {
    let confirmed_by = expected / 2 + 1;
    members.max(expected) - confirmed_by + 1
}

/// Chooses the database whose log ends last.
///
/// Ties go to a database that can remain primary, then to the preferred one.
pub(super) fn choose(
    ends: &BTreeMap<UpstreamId, LogPosition>,
    members: &[MemberFacts],
    preferred: Option<&UpstreamId>,
) -> Option<(UpstreamId, LogPosition)> {
    let rank = |member: &&MemberFacts| {
        let is_eligible = !member.leaving && member.in_service;
        let is_preferred = preferred == Some(&member.upstream);
        (ends[&member.upstream], is_eligible, is_preferred)
    };
    let answered = members
        .iter()
        .filter(|member| ends.contains_key(&member.upstream));
    let best = answered.rev().max_by_key(rank)?;
    Some((best.upstream.clone(), ends[&best.upstream]))
}
