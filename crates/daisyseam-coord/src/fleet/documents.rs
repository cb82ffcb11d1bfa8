//! Accepted documents.

use super::{
    SubmitCommand,
    SubmitOutcome, //
};
use daisyseam_model::DocumentNumber;
use std::{
    collections::VecDeque,
    sync::Arc, //
};

/// Accepted documents of which the text is kept.
pub const HISTORY_LENGTH: usize = 16;
/// Accepted submissions whose identifiers are kept.
const IDS_LENGTH: usize = 4_096;

/// An accepted document.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedDocument {
    /// Its number.
    pub number: DocumentNumber,
    /// Identifier of its submission.
    pub id: String,
    /// Who submitted it.
    pub operator: String,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
    /// Its text; empty once it is no longer kept.
    pub text: Arc<str>,
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
        let resent = self.accepted.iter().find(|document| document.id == id);
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
        self.accepted.push_back(AcceptedDocument {
            number,
            id: command.id.clone(),
            operator: command.operator.clone(),
            accepted_unix_ms: command.accepted_unix_ms,
            text: Arc::from(command.text.as_str()),
        });
        if self.accepted.len() > HISTORY_LENGTH {
            let forgotten = self.accepted.len() - HISTORY_LENGTH - 1;
            self.accepted[forgotten].text = Arc::from("");
        }
        if self.accepted.len() > IDS_LENGTH {
            self.accepted.pop_front();
        }
        (SubmitOutcome::Accepted(number), true)
    }

    fn lost(&self, replaces: u64) -> SubmitOutcome {
        let taken = self
            .accepted
            .iter()
            .find(|document| document.number.0 == replaces + 1);
        SubmitOutcome::Lost {
            current: self.number(),
            winner: taken
                .map(|document| document.id.clone())
                .unwrap_or_default(),
        }
    }
}
