//! Sessions of signed-in operators, each with a CSRF token and a draft.

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

/// Time without use after which a session ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30 * 60);
/// Maximum number of sessions; a further one replaces the least recently used.
const SESSIONS_MAX: usize = 256;
/// Random bytes in a session secret and in a form token.
const TOKEN_BYTES: usize = 32;

/// The session of a signed-in operator.
#[derive(Clone)]
pub(crate) struct OperatorSession {
    pub(crate) operator: String,
    pub(crate) form_token: String,
    pub(crate) draft: Option<DocumentDraft>,
    last_used: Instant,
}

impl OperatorSession {
    /// Returns whether a form token belongs to this session.
    pub(crate) fn has_form_token(&self, token: &str) -> bool {
        self.form_token.as_bytes().ct_eq(token.as_bytes()).into()
    }
}

/// All sessions, by the secret in their cookie.
#[derive(Clone, Default)]
pub(crate) struct SessionTable {
    sessions: Arc<Mutex<BTreeMap<String, OperatorSession>>>,
}

impl SessionTable {
    /// Creates a session and returns the secret for its cookie.
    pub(crate) fn create(&self, operator: &str, now: Instant) -> String {
        let secret = random_token();
        let session = OperatorSession {
            operator: operator.to_owned(),
            form_token: random_token(),
            draft: None,
            last_used: now,
        };
        let mut sessions = self.sessions.lock();
        sessions.retain(|_, session| now - session.last_used < IDLE_TIMEOUT);
        if sessions.len() >= SESSIONS_MAX {
            let oldest = sessions
                .iter()
                .min_by_key(|(_, session)| session.last_used)
                .map(|(secret, _)| secret.clone());
            oldest.and_then(|secret| sessions.remove(&secret));
        }
        sessions.insert(secret.clone(), session);
        secret
    }

    /// Returns the session for a cookie, if it has not ended.
    pub(crate) fn find(&self, secret: &str, now: Instant) -> Option<OperatorSession> {
        let mut sessions = self.sessions.lock();
        let session = sessions.get_mut(secret)?;
        if now - session.last_used >= IDLE_TIMEOUT {
            sessions.remove(secret);
            return None;
        }
        session.last_used = now;
        Some(session.clone())
    }

    /// Replaces the draft of a session.
    pub(crate) fn set_draft(&self, secret: &str, draft: Option<DocumentDraft>) {
        if let Some(session) = self.sessions.lock().get_mut(secret) {
            session.draft = draft;
        }
    }

    /// Ends a session.
    pub(crate) fn remove(&self, secret: &str) {
        self.sessions.lock().remove(secret);
    }
}

fn random_token() -> String {
    let bytes: [u8; TOKEN_BYTES] = rand::rng().random();
    URL_SAFE_NO_PAD.encode(bytes)
}
