//! The present incarnation of this instance.

use daisyseam_model::Incarnation;
use std::sync::{
    Arc,
    atomic::{
        AtomicU64,
        Ordering, //
    }, //
};

/// The present incarnation of this instance, shared by its parts.
#[derive(Clone, Debug, Default)]
pub struct IncarnationCell(Arc<AtomicU64>);

impl IncarnationCell {
    /// Returns the incarnation; zero before control has given one.
    pub fn get(&self) -> Incarnation {
        Incarnation(self.0.load(Ordering::Acquire))
    }

    /// Replaces it.
    pub fn set(&self, incarnation: Incarnation) {
        self.0.store(incarnation.0, Ordering::Release);
    }
}
