//! Authentication and authorization of callers against the current view.

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

/// The service and organisation of a session.
#[derive(Clone, Debug)]
pub(crate) struct CallerIdentity {
    /// Service that the caller requested.
    pub(crate) service: ServiceId,
    keyed: Option<KeyedIdentity>,
}

#[derive(Clone, Debug)]
struct KeyedIdentity {
    organisation: OrganisationId,
    hash: [u8; 32],
}

/// What a caller may use according to the current view.
#[derive(Clone, Debug)]
pub(crate) struct CallerRights {
    /// The view and its lease.
    pub(crate) held: Arc<HeldView>,
    /// Configuration of the service.
    pub(crate) service: ServiceEntry,
}

impl CallerRights {
    /// Returns the document; always present, since the service was found in it.
    pub(crate) fn document(&self) -> Option<&Document> {
        self.held.view.document.as_deref()
    }
}

impl CallerIdentity {
    /// Authenticates a caller and checks that it may use the service.
    ///
    /// # Errors
    ///
    /// Returns the kind of error to refuse the session with.
    pub(crate) fn admit(cell: &ViewCell, start: &SessionStart) -> Result<Self, ErrorKind> {
        let held = cell.held();
        let document = held.view.document.as_ref().ok_or(ErrorKind::NoView)?;
        let found = document.services.get_key_value(start.service.as_str());
        let (name, service) = found.ok_or(ErrorKind::UnknownService)?;
        let mut identity = Self {
            service: name.clone(),
            keyed: None,
        };
        // A known key is used even if the service is public; an unknown one is ignored there.
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

    /// Returns the caller's organisation, or `None` for a caller without a key.
    pub(crate) fn organisation(&self) -> Option<&OrganisationId> {
        self.keyed.as_ref().map(|keyed| &keyed.organisation)
    }

    /// Checks that the caller may still use the service according to the current view.
    ///
    /// # Errors
    ///
    /// Returns the kind of error to refuse the request with.
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

    /// Checks that the caller's key is still valid according to the current view, whatever became
    /// of the service. A caller without a key always passes.
    ///
    /// # Errors
    ///
    /// Returns the kind of error to refuse the request with.
    pub(crate) fn check_key(&self, cell: &ViewCell) -> Result<(), ErrorKind> {
        let Some(keyed) = &self.keyed else {
            return Ok(());
        };
        let held = cell.held();
        let document = held.view.document.as_ref().ok_or(ErrorKind::NoView)?;
        keyed.check(document, &self.service)
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
        .any(|key| key.hash == *hash && is_valid_now(key))
}

fn is_valid_now(key: &KeyEntry) -> bool {
    if key.not_before.is_none() && key.not_after.is_none() {
        return true;
    }
    let now = OffsetDateTime::now_utc();
    key.not_before.is_none_or(|start| start <= now) && key.not_after.is_none_or(|end| now < end)
}
