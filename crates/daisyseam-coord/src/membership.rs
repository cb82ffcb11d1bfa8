//! Assignment of databases to the instances that hold their connections.
//!
//! There are two ways. [`wanted_holders`] is for control, which assigns one holder to each database.
//! [`ranked_holders`] needs no assignment: every instance derives the same order of holders from the
//! view, and uses the next one while the first does not respond.
//!
//! With [`wanted_holders`] each database has one holder, in its own data centre if an instance is available there. A holder
//! is kept as long as it is eligible. A new holder is the least loaded instance; ties are broken by
//! rendezvous hashing of the names, so that every control member makes the same choice.
//!
//! # Examples
//!
//! ```
//! use daisyseam_coord::membership::wanted_holders;
//! use daisyseam_model::FleetView;
//!
//! assert!(wanted_holders(&FleetView::default()).is_empty());
//! ```

use crate::quota::RateKey;
use daisyseam_model::{
    DataCentreId,
    FleetView,
    InstanceId,
    InstanceView,
    RegionId,
    UpstreamId, //
};
use smallvec::SmallVec;
use std::collections::BTreeMap;

/// Number of instances that hold connections to one database in [`ranked_holders`].
pub const RANKED_HOLDERS: usize = 3;

/// Number of instances of a data centre that may hold the tokens of one rate in [`rate_homes`].
pub const RATE_HOMES: usize = 2;

/// Returns the instances that hold connections to a database, most preferred first.
///
/// Instances in the database's data centre come first, then others in its region; among equally
/// near ones the order is by rendezvous hashing, so that the loss of an instance changes the order
/// of no others. Instances that are leaving or that `is_eligible` rejects are left out.
pub fn ranked_holders<'a>(
    view: &'a FleetView,
    upstream: &UpstreamId,
    data_centre: &DataCentreId,
    is_eligible: impl Fn(&InstanceId, &InstanceView) -> bool,
) -> SmallVec<[&'a InstanceId; RANKED_HOLDERS]> {
    let home = region(view, data_centre);
    let candidates = view.instances.iter().filter_map(|(name, instance)| {
        let is_same = instance.data_centre == *data_centre;
        let is_near = is_same || home.is_some() && region(view, &instance.data_centre) == home;
        let usable = is_near && !instance.leaving && is_eligible(name, instance);
        usable.then(|| ((!is_same, mixed_rank(upstream.as_str(), name)), name))
    });
    first_ranked(candidates, RANKED_HOLDERS).collect()
}

/// Returns the instances of a data centre that hold the tokens of a rate for all of them, most
/// preferred first.
///
/// The order is by rendezvous hashing, as for [`ranked_holders`].
pub fn rate_homes<'a>(
    view: &'a FleetView,
    rate: &RateKey,
    data_centre: &DataCentreId,
) -> SmallVec<[&'a InstanceId; RATE_HOMES]> {
    let rate = rate.to_string();
    let candidates = view.instances.iter().filter_map(|(name, instance)| {
        let usable = instance.data_centre == *data_centre && !instance.leaving;
        usable.then(|| (mixed_rank(&rate, name), name))
    });
    first_ranked(candidates, RATE_HOMES).collect()
}

/// Returns the first names in the order of their keys.
fn first_ranked<'a, K: Ord>(
    candidates: impl Iterator<Item = (K, &'a InstanceId)>,
    limit: usize,
) -> impl Iterator<Item = &'a InstanceId> {
    let mut best: Vec<(K, &InstanceId)> = Vec::with_capacity(limit + 1);
    for candidate in candidates {
        let index = best.partition_point(|(key, _)| *key < candidate.0);
        if index < limit {
            best.insert(index, candidate);
            best.truncate(limit);
        }
    }
    best.into_iter().map(|(_, name)| name)
}

fn region<'a>(view: &'a FleetView, data_centre: &DataCentreId) -> Option<&'a RegionId> {
    let document = view.document.as_ref()?;
    let entry = document.data_centres.get(data_centre)?;
    Some(&entry.region)
}

/// Ranks an instance for a database or a rate. The bits of the hash are mixed once more, because the
/// low avalanche of FNV-1a would give the same order of instances for most subjects.
fn mixed_rank(subject: &str, instance: &InstanceId) -> u64 {
    const MULTIPLIERS: [u64; 2] = [0xff51_afd7_ed55_8ccd, 0xc4ce_b9fe_1a85_ec53];
    let hash = rendezvous_rank(subject, instance);
    let mixed = MULTIPLIERS.iter().fold(hash, |hash, multiplier| {
        (hash ^ (hash >> 33)).wrapping_mul(*multiplier)
    });
    mixed ^ (mixed >> 33)
}

/// Returns the holder that each database should have.
pub fn wanted_holders(view: &FleetView) -> BTreeMap<UpstreamId, Option<InstanceId>> {
    let mut load = LoadTable::from_view(view);
    let mut wanted = BTreeMap::new();
    for (name, upstream) in &view.upstreams {
        let current = upstream.holder.as_ref();
        let current = current.filter(|holder| load.may_keep(holder, &upstream.data_centre));
        if let Some(holder) = current {
            load.add(holder);
            wanted.insert(name.clone(), Some(holder.clone()));
        }
    }
    for (name, upstream) in &view.upstreams {
        if wanted.contains_key(name) {
            continue;
        }
        let chosen = load.choose(name, &upstream.data_centre);
        if let Some(holder) = &chosen {
            load.add(holder);
        }
        wanted.insert(name.clone(), chosen);
    }
    wanted
}

/// Number of databases held by each available instance, and the limits per data centre.
struct LoadTable<'a> {
    view: &'a FleetView,
    held: BTreeMap<&'a InstanceId, usize>,
    available: BTreeMap<&'a DataCentreId, Vec<&'a InstanceId>>,
    limits: BTreeMap<&'a DataCentreId, usize>,
}

impl<'a> LoadTable<'a> {
    fn from_view(view: &'a FleetView) -> Self {
        let mut held = BTreeMap::new();
        let mut available: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (name, instance) in &view.instances {
            if !instance.leaving {
                held.insert(name, 0);
                available
                    .entry(&instance.data_centre)
                    .or_default()
                    .push(name);
            }
        }
        let mut table = Self {
            view,
            held,
            available,
            limits: BTreeMap::new(),
        };
        table.limits = table.count_limits();
        table
    }

    /// Returns the number of databases that an instance may keep, per data centre: one more than an
    /// even share.
    fn count_limits(&self) -> BTreeMap<&'a DataCentreId, usize> {
        let mut upstreams: BTreeMap<&DataCentreId, usize> = BTreeMap::new();
        for upstream in self.view.upstreams.values() {
            *upstreams.entry(&upstream.data_centre).or_default() += 1;
        }
        let limit = |(centre, count): (&'a DataCentreId, usize)| {
            let available = self.available_in(centre).count().max(1);
            (centre, count.div_ceil(available) + 1)
        };
        upstreams.into_iter().map(limit).collect()
    }

    fn available_in(&self, centre: &DataCentreId) -> impl Iterator<Item = &'a InstanceId> {
        let available = self.available.get(centre).map_or(&[][..], Vec::as_slice);
        available.iter().copied()
    }

    fn may_keep(&self, holder: &InstanceId, centre: &DataCentreId) -> bool {
        let Some(held) = self.held.get(holder) else {
            return false;
        };
        if self.available_in(centre).next().is_none() {
            return true;
        }
        let limit = self.limits.get(centre).copied().unwrap_or(usize::MAX);
        &self.view.instances[holder].data_centre == centre && *held < limit
    }

    fn choose(&self, upstream: &UpstreamId, centre: &DataCentreId) -> Option<InstanceId> {
        let rank = |name: &InstanceId| rendezvous_rank(upstream.as_str(), name);
        let key = |name: &&'a InstanceId| (self.held[*name], rank(name));
        let near = self.available_in(centre).min_by_key(key);
        let any = || self.held.keys().copied().min_by_key(key);
        near.or_else(any).cloned()
    }

    fn add(&mut self, holder: &InstanceId) {
        if let Some(held) = self.held.get_mut(holder) {
            *held += 1;
        }
    }
}

/// Ranks an instance for a database or a rate by FNV-1a hash; must not change between releases, so
/// that all instances agree.
fn rendezvous_rank(subject: &str, instance: &InstanceId) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let bytes = subject.bytes().chain([0]).chain(instance.as_str().bytes());
    bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
