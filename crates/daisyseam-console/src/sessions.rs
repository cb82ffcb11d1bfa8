//! Signed-in operators, each with a token against forged posts and a draft.

use crate::DocumentDraft;
use base64::{
    Engine,
    engine::general_purpose::URL_SAFE_NO_PAD, //
};
use parking_lot::Mutex;
use rand::Rng;
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};
use subtle::ConstantTimeEq;
use tokio::time::Instant;

/// A session ends when it was not used for this long.
const IDLE_LIMIT: Duration = Duration::from_secs(30 * 60);
/// Most sessions at once; the one unused for longest goes first.
const SESSIONS_MAX: usize = 256;
/// Random bytes in a session name and in a form token.
const TOKEN_BYTES: usize = 32;

/// One signed-in operator.
#[derive(Clone)]
pub(crate) struct OperatorSession {
    pub(crate) operator: String,
    pub(crate) form_token: String,
    pub(crate) draft: Option<DocumentDraft>,
    used: Instant,
}

impl OperatorSession {
    /// Returns whether a form came from a page of this session.
    pub(crate) fn owns_form(&self, token: &str) -> bool {
        self.form_token.as_bytes().ct_eq(token.as_bytes()).into()
    }
}

/// All signed-in operators, by the secret in their cookie.
#[derive(Clone, Default)]
pub(crate) struct SessionTable {
    sessions: Arc<Mutex<BTreeMap<String, OperatorSession>>>,
}

impl SessionTable {
    /// Signs an operator in and returns the secret for the cookie.
    pub(crate) fn open(&self, operator: &str, now: Instant) -> String {
        let secret = random_token();
        let session = OperatorSession {
            operator: operator.to_owned(),
            form_token: random_token(),
            draft: None,
            used: now,
        };
        let mut sessions = self.sessions.lock();
        sessions.retain(|_, session| now - session.used < IDLE_LIMIT);
        if sessions.len() >= SESSIONS_MAX {
            let oldest = sessions
                .iter()
                .min_by_key(|(_, session)| session.used)
                .map(|(secret, _)| secret.clone());
            oldest.and_then(|secret| sessions.remove(&secret));
        }
        sessions.insert(secret.clone(), session);
        secret
    }

    /// Returns the session of a cookie, if it has not ended.
    pub(crate) fn find(&self, secret: &str, now: Instant) -> Option<OperatorSession> {
        let mut sessions = self.sessions.lock();
        let session = sessions.get_mut(secret)?;
        if now - session.used >= IDLE_LIMIT {
            sessions.remove(secret);
            return None;
        }
        session.used = now;
        Some(session.clone())
    }

    /// Replaces the draft of a session.
    pub(crate) fn keep_draft(&self, secret: &str, draft: Option<DocumentDraft>) {
        if let Some(session) = self.sessions.lock().get_mut(secret) {
            session.draft = draft;
        }
    }

    /// Signs an operator out.
    pub(crate) fn close(&self, secret: &str) {
        self.sessions.lock().remove(secret);
    }
}

fn random_token() -> String {
    let bytes: [u8; TOKEN_BYTES] = rand::rng().random();
    URL_SAFE_NO_PAD.encode(bytes)
}
