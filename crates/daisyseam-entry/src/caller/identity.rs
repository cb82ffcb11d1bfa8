//! Identity of a caller, checked against the current view.

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

/// User name of callers of an open route, which have no key.
pub(super) const OPEN_USER: &str = "open";

/// Authenticated identity of a connection.
#[derive(Clone, Debug)]
pub(super) struct CallerIdentity {
    /// Service given as the database name.
    pub(super) service: ServiceId,
    /// Organisation and key hash; `None` on an open route.
    pub(super) keyed: Option<KeyedIdentity>,
}

/// An organisation and the hash of the key that the caller presented.
#[derive(Clone, Debug)]
pub(super) struct KeyedIdentity {
    pub(super) organisation: OrganisationId,
    pub(super) hash: [u8; 32],
}

impl CallerIdentity {
    /// Returns the organisation, or `None` on an open route.
    pub(super) fn organisation(&self) -> Option<&OrganisationId> {
        self.keyed.as_ref().map(|keyed| &keyed.organisation)
    }

    /// Checks that the view still permits this caller and returns it with the service's group.
    ///
    /// # Errors
    ///
    /// The error kind with which the request is rejected.
    pub(super) fn check(&self, cell: &ViewCell) -> Result<(Arc<FleetView>, GroupId), ErrorKind> {
        let view = match &self.keyed {
            Some(_) => cell.valid()?,
            // An open route exposes no data that the lease protects.
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
        if !has_valid_key(organisation, &self.hash) {
            return Err(ErrorKind::KeyWithdrawn);
        }
        if !may_use_service(organisation, service) {
            return Err(ErrorKind::ServiceDenied);
        }
        Ok(())
    }
}

/// Authenticates a caller by its key.
///
/// # Errors
///
/// `KeyRefused` for an invalid key as well as for an unknown organisation, so that callers cannot
/// find out whether an organisation exists; `ServiceDenied` only after the key is verified.
pub(super) fn authenticate_key(
    document: &Document,
    user: &str,
    service: ServiceId,
    guard: &KeyGuard,
) -> Result<CallerIdentity, RequestError> {
    let found = document.organisations.get_key_value(user);
    let Some((name, organisation)) = found else {
        return Err(ErrorKind::KeyRefused.into());
    };
    if !has_valid_key(organisation, guard.hash()) {
        return Err(ErrorKind::KeyRefused.into());
    }
    if !may_use_service(organisation, &service) {
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

/// Returns whether the view marks a data centre as out of service.
pub(super) fn is_out_of_service(view: &FleetView, data_centre: &str) -> bool {
    let document = view.document.as_ref();
    let entry = document.and_then(|document| document.data_centres.get(data_centre));
    entry.is_some_and(|entry| entry.state == DataCentreState::Out)
}

fn may_use_service(organisation: &OrganisationEntry, service: &ServiceId) -> bool {
    organisation.services.is_empty() || organisation.services.contains(service)
}

/// Compares with every key in constant time, so that timing does not reveal which one matched.
fn has_valid_key(organisation: &OrganisationEntry, hash: &[u8; 32]) -> bool {
    let now = OffsetDateTime::now_utc();
    let none = Choice::from(0);
    let found = organisation.keys.iter().fold(none, |found, key| {
        let valid = Choice::from(u8::from(is_valid_now(key, now)));
        found | (key.hash.ct_eq(hash) & valid)
    });
    found.into()
}

fn is_valid_now(key: &KeyEntry, now: OffsetDateTime) -> bool {
    key.not_before.is_none_or(|start| start <= now) && key.not_after.is_none_or(|end| now < end)
}
