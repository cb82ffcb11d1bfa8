//! Which instance holds which database.
//!
//! Each database has one holder, in its own data centre where there is one. Holders stay where they
//! are while they may; a new one is the least loaded, and among equals the one that rendezvous
//! hashing by names ranks first, so that every member of control would choose the same.
//!
//! # Examples
//!
//! ```
//! use daisyseam_coord::membership::wanted_holders;
//! use daisyseam_model::FleetView;
//!
//! assert!(wanted_holders(&FleetView::default()).is_empty());
//! ```

use daisyseam_model::{
    DataCentreId,
    FleetView,
    InstanceId,
    UpstreamId, //
};
use std::collections::BTreeMap;

/// Returns the holder that every database should have.
pub fn wanted_holders(view: &FleetView) -> BTreeMap<UpstreamId, Option<InstanceId>> {
    let mut load = LoadTable::of(view);
    let mut wanted = BTreeMap::new();
    for (name, upstream) in &view.upstreams {
        let kept = upstream.holder.as_ref();
        let kept = kept.filter(|holder| load.keeps(holder, &upstream.data_centre));
        if let Some(holder) = kept {
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

/// How many databases each instance holds, by data centre.
struct LoadTable<'a> {
    view: &'a FleetView,
    held: BTreeMap<&'a InstanceId, usize>,
    able: BTreeMap<&'a DataCentreId, Vec<&'a InstanceId>>,
    limits: BTreeMap<&'a DataCentreId, usize>,
}

impl<'a> LoadTable<'a> {
    fn of(view: &'a FleetView) -> Self {
        let mut held = BTreeMap::new();
        let mut able: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (name, instance) in &view.instances {
            if !instance.leaving {
                held.insert(name, 0);
                able.entry(&instance.data_centre).or_default().push(name);
            }
        }
        let mut table = Self {
            view,
            held,
            able,
            limits: BTreeMap::new(),
        };
        table.limits = table.count_limits();
        table
    }

    /// Returns by data centre how many databases an instance may keep: one more than its part.
    fn count_limits(&self) -> BTreeMap<&'a DataCentreId, usize> {
        let mut upstreams: BTreeMap<&DataCentreId, usize> = BTreeMap::new();
        for upstream in self.view.upstreams.values() {
            *upstreams.entry(&upstream.data_centre).or_default() += 1;
        }
        let limit = |(centre, count): (&'a DataCentreId, usize)| {
            let able = self.able_in(centre).count().max(1);
            (centre, count.div_ceil(able) + 1)
        };
        upstreams.into_iter().map(limit).collect()
    }

    fn able_in(&self, centre: &DataCentreId) -> impl Iterator<Item = &'a InstanceId> {
        let able = self.able.get(centre).map_or(&[][..], Vec::as_slice);
        able.iter().copied()
    }

    fn keeps(&self, holder: &InstanceId, centre: &DataCentreId) -> bool {
        let Some(held) = self.held.get(holder) else {
            return false;
        };
        if self.able_in(centre).next().is_none() {
            return true;
        }
        let limit = self.limits.get(centre).copied().unwrap_or(usize::MAX);
        &self.view.instances[holder].data_centre == centre && *held < limit
    }

    fn choose(&self, upstream: &UpstreamId, centre: &DataCentreId) -> Option<InstanceId> {
        let rank = |name: &InstanceId| rendezvous_rank(upstream, name);
        let key = |name: &&'a InstanceId| (self.held[*name], rank(name));
        let near = self.able_in(centre).min_by_key(key);
        let any = || self.held.keys().copied().min_by_key(key);
        near.or_else(any).cloned()
    }

    fn add(&mut self, holder: &InstanceId) {
        if let Some(held) = self.held.get_mut(holder) {
            *held += 1;
        }
    }
}

/// Ranks an instance for a database; stable over releases, so that members agree.
fn rendezvous_rank(upstream: &UpstreamId, instance: &InstanceId) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let bytes = upstream
        .as_str()
        .bytes()
        .chain([0])
        .chain(instance.as_str().bytes());
    bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
