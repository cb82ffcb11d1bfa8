//! History of accepted documents.

use super::{
    SubmitCommand,
    SubmitNewestCommand,
    SubmitOutcome, //
};
use daisyseam_model::DocumentNumber;
use std::{
    collections::VecDeque,
    sync::Arc, //
};

/// Maximum number of accepted documents whose text is kept.
pub const HISTORY_LENGTH: usize = 16;
/// Maximum total size in bytes of the kept texts of replaced documents.
///
/// The last replaced text is kept regardless of its size, so that instances can receive the new
/// document as a difference to it.
pub const HISTORY_BYTES: usize = 256 << 10;
/// Number of accepted submissions whose identifiers are kept.
const SUBMISSION_IDS_MAX: usize = 4_096;

/// An accepted document.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedDocument {
    /// Its number.
    pub number: DocumentNumber,
    /// Identifier of its submission; empty if the submission had none.
    pub id: String,
    /// Operator who submitted it.
    pub operator: String,
    /// Time of acceptance in Unix milliseconds.
    pub accepted_unix_ms: u64,
    /// Its text; empty once it is no longer kept.
    pub text: Arc<str>,
    /// Source that it was generated from; empty if unknown, or once another document is in force.
    pub source: Arc<str>,
}

/// The accepted documents, oldest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DocumentHistory {
    pub(super) accepted: VecDeque<AcceptedDocument>,
}

impl DocumentHistory {
    /// Returns the document in force.
    pub fn current(&self) -> Option<&AcceptedDocument> {
        self.accepted.back()
    }

    /// Returns a document by number, if its text is still kept.
    pub fn get(&self, number: DocumentNumber) -> Option<&AcceptedDocument> {
        let found = self.accepted.iter().rev();
        let mut found = found.filter(|document| document.number == number);
        found.next().filter(|document| !document.text.is_empty())
    }

    /// Iterates over the documents, newest first.
    pub fn newest_first(&self) -> impl Iterator<Item = &AcceptedDocument> {
        self.accepted.iter().rev()
    }

    /// Returns the number of the document in force; 0 if there is none.
    pub fn number(&self) -> DocumentNumber {
        self.current()
            .map_or_else(DocumentNumber::default, |current| current.number)
    }

    /// Returns the result of a submission if it is known without applying it.
    ///
    /// This is the first result for a resend, or a loss if the document to replace is no longer in
    /// force.
    pub fn known_outcome(&self, id: &str, replaces: u64) -> Option<SubmitOutcome> {
        let mut accepted = self.accepted.iter().filter(|_| !id.is_empty());
        let resent = accepted.find(|document| document.id == id);
        if let Some(document) = resent {
            return Some(SubmitOutcome::Accepted(document.number));
        }
        (replaces != self.number().0).then(|| self.lost_outcome(replaces))
    }

    pub(super) fn submit(&mut self, command: &SubmitCommand) -> (SubmitOutcome, bool) {
        if let Some(known) = self.known_outcome(&command.id, command.replaces) {
            return (known, false);
        }
        let number = DocumentNumber(self.number().0 + 1);
        self.accept(AcceptedDocument {
            number,
            id: command.id.clone(),
            operator: command.operator.clone(),
            accepted_unix_ms: command.accepted_unix_ms,
            text: Arc::from(command.text.as_str()),
            source: Arc::default(),
        });
        (SubmitOutcome::Accepted(number), true)
    }

    /// Accepts a document if its number is the highest; returns whether it was accepted.
    pub(super) fn submit_newest(&mut self, command: &SubmitNewestCommand) -> bool {
        if command.number <= self.number() {
            return false;
        }
        self.accept(AcceptedDocument {
            number: command.number,
            id: String::new(),
            operator: command.operator.clone(),
            accepted_unix_ms: command.accepted_unix_ms,
            text: Arc::from(command.text.as_str()),
            source: Arc::from(command.source.as_str()),
        });
        true
    }

    fn accept(&mut self, document: AcceptedDocument) {
        if let Some(former) = self.accepted.back_mut() {
            former.source = Arc::default();
        }
        self.accepted.push_back(document);
        self.evict_texts();
        if self.accepted.len() > SUBMISSION_IDS_MAX {
            self.accepted.pop_front();
        }
    }

    /// Drops old texts beyond [`HISTORY_LENGTH`] and [`HISTORY_BYTES`].
    fn evict_texts(&mut self) {
        let mut bytes = 0;
        for (age, document) in self.accepted.iter_mut().rev().enumerate().skip(1) {
            if document.text.is_empty() {
                break;
            }
            bytes += document.text.len();
            if age > 1 && (age >= HISTORY_LENGTH || bytes > HISTORY_BYTES) {
                document.text = Arc::default();
            }
        }
    }

    fn lost_outcome(&self, replaces: u64) -> SubmitOutcome {
        let taken = self
            .accepted
            .iter()
            .find(|document| document.number.0 > replaces);
        SubmitOutcome::Lost {
            current: self.number(),
            winner: taken
                .map(|document| document.id.clone())
                .unwrap_or_default(),
        }
    }
}
