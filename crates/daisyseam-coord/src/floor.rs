//! The position that a session has seen, and the token in which it travels between instances.

use daisyseam_model::{
    ClusterId,
    GroupId,
    LogPosition,
    OrganisationId,
    Position,
    Term, //
};
use displaydoc::Display;
use sha2::{
    Digest,
    Sha256, //
};
use std::error::Error;

/// Version that tokens start with.
const TOKEN_VERSION: &str = "1";

/// Longest token that is looked at, in bytes.
const TOKEN_BYTES_MAX: usize = 64;

/// Why a token is not accepted.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum TokenError {
    /// the text is not a session token
    Malformed,
    /// the token has a version that is not known here
    Version,
    /// the token belongs to another cluster, organisation or group, or was changed
    Scope,
}

impl Error for TokenError {}

/// What a token is bound to.
#[derive(Clone, Copy, Debug)]
pub struct TokenScope<'a> {
    /// Cluster.
    pub cluster: &'a ClusterId,
    /// Organisation; none for an open route.
    pub organisation: Option<&'a OrganisationId>,
    /// Group whose history the position is in.
    pub group: &'a GroupId,
}

/// The position in one group's history that a session's reads may not go behind.
///
/// It never goes back: not by a late answer, and not by a token.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SessionFloor {
    position: Option<LogPosition>,
}

impl SessionFloor {
    /// Returns the position; none until the session has seen one.
    pub fn position(&self) -> Option<LogPosition> {
        self.position
    }

    /// Raises the floor to a position that the session has seen; returns whether it changed.
    pub fn raise(&mut self, seen: LogPosition) -> bool {
        let raised = self.position.is_none_or(|position| position < seen);
        if raised {
            self.position = Some(seen);
        }
        raised
    }

    /// Raises the floor to the position of a token.
    ///
    /// # Errors
    ///
    /// [`TokenError`] when the text is no token of this scope; the floor stays as it is.
    pub fn accept(&mut self, token: &str, scope: TokenScope<'_>) -> Result<(), TokenError> {
        self.raise(decode(token, scope)?);
        Ok(())
    }

    /// Writes the floor as a token; none until the session has seen a position.
    pub fn token(&self, scope: TokenScope<'_>) -> Option<String> {
        self.position.map(|position| encode(position, scope))
    }
}

fn encode(at: LogPosition, scope: TokenScope<'_>) -> String {
    let check = check_value(at, scope);
    format!(
        "{TOKEN_VERSION}-{:x}-{:x}-{check:016x}",
        at.term.0, at.position.0
    )
}

fn decode(token: &str, scope: TokenScope<'_>) -> Result<LogPosition, TokenError> {
    if token.len() > TOKEN_BYTES_MAX {
        return Err(TokenError::Malformed);
    }
    let mut parts = token.split('-');
    match parts.next() {
        Some(TOKEN_VERSION) => {}
        Some(version) if is_number(version) => return Err(TokenError::Version),
        _ => return Err(TokenError::Malformed),
    }
    let term = hexadecimal(parts.next())?;
    let position = hexadecimal(parts.next())?;
    let check = hexadecimal(parts.next())?;
    if parts.next().is_some() {
        return Err(TokenError::Malformed);
    }
    let at = LogPosition {
        term: Term(term),
        position: Position(position),
    };
    if check == check_value(at, scope) {
        Ok(at)
    } else {
        Err(TokenError::Scope)
    }
}

fn is_number(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}

fn hexadecimal(part: Option<&str>) -> Result<u64, TokenError> {
    let part = part.ok_or(TokenError::Malformed)?;
    if part.starts_with('+') {
        return Err(TokenError::Malformed);
    }
    u64::from_str_radix(part, 16).map_err(|_| TokenError::Malformed)
}

/// Finds tokens of another scope and typing errors; it is no signature.
fn check_value(at: LogPosition, scope: TokenScope<'_>) -> u64 {
    let organisation = scope.organisation.map_or("", OrganisationId::as_str);
    let mut hasher = Sha256::new();
    // Names hold no NUL, so the fields cannot run into each other.
    for name in [scope.cluster.as_str(), organisation, scope.group.as_str()] {
        hasher.update(name);
        hasher.update([0]);
    }
    hasher.update(at.term.0.to_be_bytes());
    hasher.update(at.position.0.to_be_bytes());
    let digest = hasher.finalize();
    digest
        .iter()
        .take(8)
        .fold(0, |value, byte| (value << 8) | u64::from(*byte))
}
