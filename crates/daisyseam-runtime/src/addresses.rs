//! Addresses of control instances.

use parking_lot::Mutex;
use std::{
    net::SocketAddr,
    sync::Arc, //
};

/// Addresses of control instances, shared by all clients that search for the leader; cheap to
/// clone.
///
/// Seeds come from the settings, which may be out of date; others are learned from control itself.
#[derive(Clone, Debug, Default)]
pub struct ControlAddresses(Arc<Mutex<AddressLists>>);

#[derive(Debug, Default)]
struct AddressLists {
    seeds: Vec<SocketAddr>,
    learned: Vec<SocketAddr>,
}

impl ControlAddresses {
    /// Creates a list of the addresses from the settings.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        let addresses = Self::default();
        addresses.set_seeds(seeds);
        addresses
    }

    /// Replaces the addresses from the settings.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.0.lock().seeds = seeds;
    }

    /// Replaces the learned addresses; an empty list has no effect.
    pub fn learn(&self, members: Vec<SocketAddr>) {
        if !members.is_empty() {
            self.0.lock().learned = members;
        }
    }

    /// Lists all addresses, the learned ones first.
    pub fn list(&self) -> Vec<SocketAddr> {
        let lists = self.0.lock();
        let mut all = lists.learned.clone();
        for seed in &lists.seeds {
            if !all.contains(seed) {
                all.push(*seed);
            }
        }
        all
    }
}

impl From<Vec<SocketAddr>> for ControlAddresses {
    fn from(seeds: Vec<SocketAddr>) -> Self {
        Self::new(seeds)
    }
}
