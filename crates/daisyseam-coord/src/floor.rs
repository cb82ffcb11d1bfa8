//! The minimum position for reads of a session, and the token that carries it between instances.

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
use smallvec::SmallVec;
use std::error::Error;

/// Version prefix of tokens.
const TOKEN_VERSION: &str = "1";

/// Maximum length of a token that is parsed, in bytes.
const TOKEN_BYTES_MAX: usize = 64;

/// Reason why a token is rejected.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum TokenError {
    /// the text is not a session token
    Malformed,
    /// the token version is not supported
    Version,
    /// the token belongs to another cluster, organisation or group, or was altered
    Scope,
}

impl Error for TokenError {}

/// Scope that a token is bound to.
#[derive(Clone, Copy, Debug)]
pub struct TokenScope<'a> {
    /// Cluster that issued the token.
    pub cluster: &'a ClusterId,
    /// Organisation of the session; `None` for an open route.
    pub organisation: Option<&'a OrganisationId>,
    /// Group whose history the position belongs to.
    pub group: &'a GroupId,
}

/// The minimum position in a group's history that the reads of a session must observe.
///
/// It never decreases, neither through a delayed response nor through a token.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SessionFloor {
    position: Option<LogPosition>,
}

impl SessionFloor {
    /// Returns the position, or `None` until the session has observed one.
    pub fn position(&self) -> Option<LogPosition> {
        self.position
    }

    /// Raises the floor to a position that the session has observed; returns whether it changed.
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
    /// [`TokenError`] when the text is not a token of this scope; the floor is unchanged.
    pub fn accept(&mut self, token: &str, scope: TokenScope<'_>) -> Result<(), TokenError> {
        self.raise(decode(token, scope)?);
        Ok(())
    }

    /// Returns the floor as a token, or `None` until the session has observed a position.
    pub fn token(&self, scope: TokenScope<'_>) -> Option<String> {
        self.position.map(|position| encode(position, scope))
    }
}

/// The floors of a session in all groups that it has used.
///
/// A session uses another group when its service moves, and may return to an earlier one. Positions
/// of different groups are not comparable.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GroupFloors {
    floors: SmallVec<[(GroupId, SessionFloor); 1]>,
}

impl GroupFloors {
    /// Returns the floor in a group, which has no position until the session has observed one.
    pub fn floor(&self, group: &GroupId) -> SessionFloor {
        let mut floors = self.floors.iter();
        let known = floors.find(|(of, _)| of == group);
        known.map_or_else(SessionFloor::default, |(_, floor)| *floor)
    }

    /// Returns the floor in a group for a change.
    pub fn floor_mut(&mut self, group: &GroupId) -> &mut SessionFloor {
        let known = self.floors.iter().position(|(of, _)| of == group);
        let index = known.unwrap_or_else(|| {
            self.floors.push((group.clone(), SessionFloor::default()));
            self.floors.len() - 1
        });
        &mut self.floors[index].1
    }
}

fn encode(at: LogPosition, scope: TokenScope<'_>) -> String {
    let checksum = checksum(at, scope);
    format!(
        "{TOKEN_VERSION}-{:x}-{:x}-{checksum:016x}",
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
    let term = parse_hexadecimal(parts.next())?;
    let position = parse_hexadecimal(parts.next())?;
    let received = parse_hexadecimal(parts.next())?;
    if parts.next().is_some() {
        return Err(TokenError::Malformed);
    }
    let at = LogPosition {
        term: Term(term),
        position: Position(position),
    };
    if received == checksum(at, scope) {
        Ok(at)
    } else {
        Err(TokenError::Scope)
    }
}

fn is_number(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}

fn parse_hexadecimal(part: Option<&str>) -> Result<u64, TokenError> {
    let part = part.ok_or(TokenError::Malformed)?;
    if part.starts_with('+') {
        return Err(TokenError::Malformed);
    }
    u64::from_str_radix(part, 16).map_err(|_| TokenError::Malformed)
}

/// Computes a checksum that detects tokens of another scope and typing errors; it is not a
/// signature.
fn checksum(at: LogPosition, scope: TokenScope<'_>) -> u64 {
    let organisation = scope.organisation.map_or("", OrganisationId::as_str);
    let mut hasher = Sha256::new();
    // Names contain no NUL, so the separated fields are unambiguous.
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
