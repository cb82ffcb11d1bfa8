//! Cache of classified query texts, so that a repeated text is parsed only once.

use super::classify::{
    ClassifiedText,
    StatementKind,
    classify, //
};
use parking_lot::Mutex;
use std::{
    collections::HashMap,
    sync::Arc, //
};

/// Maximum number of texts in a generation.
const GENERATION_CAPACITY: usize = 1_024;

/// Maximum size of a cached text in bytes.
const TEXT_BYTES_MAX: usize = 4_096;

/// Cache with two generations: once the young one is full, it replaces the old one.
#[derive(Debug, Default)]
pub(super) struct StatementCache {
    generations: Mutex<CacheGenerations>,
}

#[derive(Debug, Default)]
struct CacheGenerations {
    young: HashMap<Arc<str>, Arc<ClassifiedText>>,
    old: HashMap<Arc<str>, Arc<ClassifiedText>>,
}

impl StatementCache {
    /// Returns the classification of a text.
    pub(super) fn classify(&self, text: &str) -> Arc<ClassifiedText> {
        if let Some(found) = self.generations.lock().find(text) {
            return found;
        }
        let class = Arc::new(classify(text));
        // A trace context is unique to its request, so a text that contains one is never reused.
        if text.len() <= TEXT_BYTES_MAX && class.hints.trace.is_none() {
            self.generations
                .lock()
                .insert(text.into(), Arc::clone(&class));
        }
        class
    }

    /// Records that a database treated a text as a write.
    pub(super) fn mark_write(&self, text: &str) {
        let mut class = ClassifiedText::clone(&self.classify(text));
        for statement in &mut class.statements {
            if matches!(statement.kind, StatementKind::Read { .. }) {
                statement.kind = StatementKind::Write;
            }
        }
        if text.len() <= TEXT_BYTES_MAX {
            let class = Arc::new(class);
            self.generations.lock().insert(text.into(), class);
        }
    }
}

impl CacheGenerations {
    fn find(&mut self, text: &str) -> Option<Arc<ClassifiedText>> {
        if let Some(found) = self.young.get(text) {
            return Some(Arc::clone(found));
        }
        let (text, found) = self.old.remove_entry(text)?;
        self.insert(text, Arc::clone(&found));
        Some(found)
    }

    fn insert(&mut self, text: Arc<str>, class: Arc<ClassifiedText>) {
        if self.young.len() >= GENERATION_CAPACITY {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(text, class);
    }
}
