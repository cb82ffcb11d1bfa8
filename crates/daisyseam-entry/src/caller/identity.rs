//! On whose behalf a connection runs, checked against the present view.

use super::key_guard::KeyGuard;
use crate::ViewCell;
use daisyseam_model::{
    ErrorKind,
    FleetView,
    GroupId,
    OrganisationId,
    RequestError,
    ServiceId,
    document::{
        DataCentreState,
        Document,
        KeyEntry,
        OrganisationEntry, //
    }, //
};
use std::sync::Arc;
use subtle::{
    Choice,
    ConstantTimeEq, //
};
use time::OffsetDateTime;

/// User name of callers without a key.
pub(super) const OPEN_USER: &str = "open";

/// Whom a connection runs for, on which service.
#[derive(Clone, Debug)]
pub(super) struct CallerIdentity {
    /// Service that the caller named as its database.
    pub(super) service: ServiceId,
    /// Organisation and key hash; none on an open route.
    pub(super) keyed: Option<KeyedIdentity>,
}

/// An organisation and the hash of the key that was shown for it.
#[derive(Clone, Debug)]
pub(super) struct KeyedIdentity {
    pub(super) organisation: OrganisationId,
    pub(super) hash: [u8; 32],
}

impl CallerIdentity {
    /// Returns the organisation; none on an open route.
    pub(super) fn organisation(&self) -> Option<&OrganisationId> {
        self.keyed.as_ref().map(|keyed| &keyed.organisation)
    }

    /// Checks that the view still lets this caller in, and returns it with the service's group.
    ///
    /// # Errors
    ///
    /// The kind under which the request is refused.
    pub(super) fn check(&self, cell: &ViewCell) -> Result<(Arc<FleetView>, GroupId), ErrorKind> {
        let view = match &self.keyed {
            Some(_) => cell.valid()?,
            // An open route shows nothing that a lease protects.
            None => Arc::clone(&cell.held().view),
        };
        let document = view.document.as_ref().ok_or(ErrorKind::NoView)?;
        let service = document.services.get(&self.service);
        let group = service.ok_or(ErrorKind::UnknownService)?.group.clone();
        match &self.keyed {
            Some(keyed) => keyed.check(document, &self.service)?,
            None if document.open_routes.contains_key(&self.service) => {}
            None => return Err(ErrorKind::KeyWithdrawn),
        }
        Ok((view, group))
    }
}

impl KeyedIdentity {
    fn check(&self, document: &Document, service: &ServiceId) -> Result<(), ErrorKind> {
        let organisation = document.organisations.get(&self.organisation);
        let organisation = organisation.ok_or(ErrorKind::KeyWithdrawn)?;
        if !holds_key(organisation, &self.hash) {
            return Err(ErrorKind::KeyWithdrawn);
        }
        if !may_use(organisation, service) {
            return Err(ErrorKind::ServiceDenied);
        }
        Ok(())
    }
}

/// Admits a caller that showed a key.
///
/// # Errors
///
/// `KeyRefused` without telling whether the organisation exists; `ServiceDenied` after the key.
pub(super) fn admit_keyed(
    document: &Document,
    user: &str,
    service: ServiceId,
    guard: &KeyGuard,
) -> Result<CallerIdentity, RequestError> {
    let found = document.organisations.get_key_value(user);
    let Some((name, organisation)) = found else {
        return Err(ErrorKind::KeyRefused.into());
    };
    if !holds_key(organisation, guard.hash()) {
        return Err(ErrorKind::KeyRefused.into());
    }
    if !may_use(organisation, &service) {
        return Err(ErrorKind::ServiceDenied.into());
    }
    let keyed = KeyedIdentity {
        organisation: name.clone(),
        hash: *guard.hash(),
    };
    Ok(CallerIdentity {
        service,
        keyed: Some(keyed),
    })
}

/// Returns whether the view has taken a data centre out of service.
pub(super) fn is_out(view: &FleetView, data_centre: &str) -> bool {
    let document = view.document.as_ref();
    let entry = document.and_then(|document| document.data_centres.get(data_centre));
    entry.is_some_and(|entry| entry.state == DataCentreState::Out)
}

fn may_use(organisation: &OrganisationEntry, service: &ServiceId) -> bool {
    organisation.services.is_empty() || organisation.services.contains(service)
}

/// Compares with every key, so that the time taken tells nothing of the one that matched.
fn holds_key(organisation: &OrganisationEntry, hash: &[u8; 32]) -> bool {
    let now = OffsetDateTime::now_utc();
    let none = Choice::from(0);
    let found = organisation.keys.iter().fold(none, |found, key| {
        let in_time = Choice::from(u8::from(is_in_time(key, now)));
        found | (key.hash.ct_eq(hash) & in_time)
    });
    found.into()
}

fn is_in_time(key: &KeyEntry, now: OffsetDateTime) -> bool {
    key.not_before.is_none_or(|start| start <= now) && key.not_after.is_none_or(|end| now < end)
}
