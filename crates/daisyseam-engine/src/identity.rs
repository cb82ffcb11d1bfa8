//! On whose behalf a session runs, checked against the present view.

use crate::SessionStart;
use daisyseam_member::{
    HeldView,
    ViewCell, //
};
use daisyseam_model::{
    ErrorKind,
    OrganisationId,
    ServiceId,
    document::{
        Document,
        KeyEntry,
        OrganisationEntry,
        ServiceEntry, //
    }, //
};
use sha2::{
    Digest,
    Sha256, //
};
use std::sync::Arc;
use time::OffsetDateTime;

/// Whom a session runs for, on which service.
#[derive(Clone, Debug)]
pub(crate) struct CallerIdentity {
    /// Service that the caller named.
    pub(crate) service: ServiceId,
    keyed: Option<KeyedIdentity>,
}

#[derive(Clone, Debug)]
struct KeyedIdentity {
    organisation: OrganisationId,
    hash: [u8; 32],
}

/// What the present view says of a caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerRights {
    /// What is held, lease and all.
    pub(crate) held: Arc<HeldView>,
    /// The service.
    pub(crate) service: ServiceEntry,
}

impl CallerRights {
    /// Returns the document, which is there since a service was found in it.
    pub(crate) fn document(&self) -> Option<&Document> {
        self.held.view.document.as_deref()
    }
}

impl CallerIdentity {
    /// Lets a caller in.
    ///
    /// # Errors
    ///
    /// The kind under which the session is refused.
    pub(crate) fn admit(cell: &ViewCell, start: &SessionStart) -> Result<Self, ErrorKind> {
        let held = cell.held();
        let document = held.view.document.as_ref().ok_or(ErrorKind::NoView)?;
        let found = document.services.get_key_value(start.service.as_str());
        let (name, service) = found.ok_or(ErrorKind::UnknownService)?;
        let mut identity = Self {
            service: name.clone(),
            keyed: None,
        };
        // A key that is shown where none is needed counts if it is known.
        let hash: [u8; 32] = Sha256::digest(&start.key).into();
        let owner = document
            .organisations
            .iter()
            .find(|(_, organisation)| holds_key(organisation, &hash));
        match owner {
            Some((_, organisation)) if !may_use(organisation, name) => {
                Err(ErrorKind::ServiceDenied)
            }
            Some((organisation, _)) => {
                let organisation = organisation.clone();
                identity.keyed = Some(KeyedIdentity { organisation, hash });
                Ok(identity)
            }
            None if service.public => Ok(identity),
            None => Err(ErrorKind::KeyRefused),
        }
    }

    /// Returns the organisation; none for a caller without a key.
    pub(crate) fn organisation(&self) -> Option<&OrganisationId> {
        self.keyed.as_ref().map(|keyed| &keyed.organisation)
    }

    /// Checks that the present view still lets the caller in.
    ///
    /// # Errors
    ///
    /// The kind under which the request is refused.
    pub(crate) fn check(&self, cell: &ViewCell) -> Result<CallerRights, ErrorKind> {
        let held = cell.held();
        let document = held.view.document.as_ref().ok_or(ErrorKind::NoView)?;
        let service = document.services.get(&self.service);
        let service = service.ok_or(ErrorKind::UnknownService)?.clone();
        match &self.keyed {
            Some(keyed) => keyed.check(document, &self.service)?,
            None if service.public => {}
            None => return Err(ErrorKind::KeyWithdrawn),
        }
        Ok(CallerRights { held, service })
    }
}

impl KeyedIdentity {
    fn check(&self, document: &Document, service: &ServiceId) -> Result<(), ErrorKind> {
        let organisation = document.organisations.get(&self.organisation);
        let organisation = organisation.ok_or(ErrorKind::KeyWithdrawn)?;
        if !holds_key(organisation, &self.hash) {
            return Err(ErrorKind::KeyWithdrawn);
        }
        match may_use(organisation, service) {
            true => Ok(()),
            false => Err(ErrorKind::ServiceDenied),
        }
    }
}

fn may_use(organisation: &OrganisationEntry, service: &ServiceId) -> bool {
    organisation.services.is_empty() || organisation.services.contains(service)
}

fn holds_key(organisation: &OrganisationEntry, hash: &[u8; 32]) -> bool {
    organisation
        .keys
        .iter()
        .any(|key| key.hash == *hash && is_in_time(key))
}

fn is_in_time(key: &KeyEntry) -> bool {
    if key.not_before.is_none() && key.not_after.is_none() {
        return true;
    }
    let now = OffsetDateTime::now_utc();
    key.not_before.is_none_or(|start| start <= now) && key.not_after.is_none_or(|end| now < end)
}
