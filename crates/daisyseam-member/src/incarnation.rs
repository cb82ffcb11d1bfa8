//! Current incarnation of this instance.

use daisyseam_model::Incarnation;
use std::sync::{
    Arc,
    atomic::{
        AtomicU64,
        Ordering, //
    }, //
};

/// The current incarnation of this instance, shared by its parts.
#[derive(Clone, Debug, Default)]
pub struct IncarnationCell(Arc<AtomicU64>);

impl IncarnationCell {
    /// Returns the incarnation, which is zero before control has assigned one.
    pub fn get(&self) -> Incarnation {
        Incarnation(self.0.load(Ordering::Acquire))
    }

    /// Replaces the incarnation.
    pub fn set(&self, incarnation: Incarnation) {
        self.0.store(incarnation.0, Ordering::Release);
    }
}
