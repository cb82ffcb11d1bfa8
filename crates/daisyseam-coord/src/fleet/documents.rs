//! Accepted documents.

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

/// Most accepted documents of which the text is kept.
pub const HISTORY_LENGTH: usize = 16;
/// Most bytes of text kept of documents before the one in force; of the last one it is kept in any
/// case, so that instances get the next as a change of it.
pub const HISTORY_BYTES: usize = 256 << 10;
/// Accepted submissions whose identifiers are kept.
const IDS_LENGTH: usize = 4_096;

/// An accepted document.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedDocument {
    /// Its number.
    pub number: DocumentNumber,
    /// Identifier of its submission; empty if it has none.
    pub id: String,
    /// Who submitted it.
    pub operator: String,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
    /// Its text; empty once it is no longer kept.
    pub text: Arc<str>,
    /// What it was made from; empty if that is not known, or once another is in force.
    pub source: Arc<str>,
}

/// The accepted documents, oldest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DocumentLedger {
    pub(super) accepted: VecDeque<AcceptedDocument>,
}

impl DocumentLedger {
    /// Returns the document in force.
    pub fn current(&self) -> Option<&AcceptedDocument> {
        self.accepted.back()
    }

    /// Returns a document whose text is kept.
    pub fn get(&self, number: DocumentNumber) -> Option<&AcceptedDocument> {
        let found = self.accepted.iter().rev();
        let mut found = found.filter(|document| document.number == number);
        found.next().filter(|document| !document.text.is_empty())
    }

    /// Lists the documents, newest first.
    pub fn newest_first(&self) -> impl Iterator<Item = &AcceptedDocument> {
        self.accepted.iter().rev()
    }

    /// Returns the number of the document in force; 0 if there is none.
    pub fn number(&self) -> DocumentNumber {
        self.current()
            .map_or_else(DocumentNumber::default, |current| current.number)
    }

    /// Returns what a submission would get without being decided: the first answer of a resend, or
    /// a race that is lost already.
    pub fn answer_known(&self, id: &str, replaces: u64) -> Option<SubmitOutcome> {
        let mut accepted = self.accepted.iter().filter(|_| !id.is_empty());
        let resent = accepted.find(|document| document.id == id);
        if let Some(document) = resent {
            return Some(SubmitOutcome::Accepted(document.number));
        }
        (replaces != self.number().0).then(|| self.lost(replaces))
    }

    pub(super) fn submit(&mut self, command: &SubmitCommand) -> (SubmitOutcome, bool) {
        if let Some(known) = self.answer_known(&command.id, command.replaces) {
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
        self.forget_texts();
        if self.accepted.len() > IDS_LENGTH {
            self.accepted.pop_front();
        }
    }

    /// Drops the texts that are too old or too many.
    fn forget_texts(&mut self) {
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

    fn lost(&self, replaces: u64) -> SubmitOutcome {
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
