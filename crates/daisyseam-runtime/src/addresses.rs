//! Where control is looked for.

use parking_lot::Mutex;
use std::{
    net::SocketAddr,
    sync::Arc, //
};

/// Addresses of control instances, shared by all who look for the leader; cheap to clone.
///
/// Some come from the settings, which may be out of date; others are learned from control itself.
#[derive(Clone, Debug, Default)]
pub struct ControlAddresses(Arc<Mutex<AddressLists>>);

#[derive(Debug, Default)]
struct AddressLists {
    seeds: Vec<SocketAddr>,
    learned: Vec<SocketAddr>,
}

impl ControlAddresses {
    /// Starts with the addresses of the settings.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        let cell = Self::default();
        cell.set_seeds(seeds);
        cell
    }

    /// Replaces the addresses of the settings.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.0.lock().seeds = seeds;
    }

    /// Replaces the learned addresses; no addresses change nothing.
    pub fn learn(&self, members: Vec<SocketAddr>) {
        if !members.is_empty() {
            self.0.lock().learned = members;
        }
    }

    /// Lists all, the learned ones first.
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
