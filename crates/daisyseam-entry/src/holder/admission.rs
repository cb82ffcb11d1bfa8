//! Checks whether a held database may currently be used.

use super::observation::UpstreamObservation;
use crate::ViewCell;
use daisyseam_model::{
    ErrorKind,
    FleetView,
    GroupView,
    InstanceId,
    LogPosition,
    RequestError,
    Term,
    UpstreamId,
    announce::{
        UpstreamRole,
        UpstreamState, //
    }, //
};

/// Why a database may not be used.
#[derive(Debug)]
pub(super) enum AdmissionError {
    /// The view does not allow it.
    View(RequestError),
    /// The observed state of the database does not match the view; a newer state may.
    State(RequestError),
}

impl From<AdmissionError> for RequestError {
    fn from(refusal: AdmissionError) -> Self {
        match refusal {
            AdmissionError::View(error) | AdmissionError::State(error) => error,
        }
    }
}

/// Checks a held database against the view.
#[derive(Clone, Debug)]
pub(super) struct AdmissionCheck {
    pub(super) instance: InstanceId,
    pub(super) upstream: UpstreamId,
}

impl AdmissionCheck {
    /// Returns whether the view, under a valid lease, names this instance as the holder.
    pub(super) fn is_holder(&self, cell: &ViewCell) -> bool {
        let Ok(view) = cell.valid() else {
            return false;
        };
        let entry = view.upstreams.get(&self.upstream);
        entry.is_some_and(|entry| entry.holder.as_ref() == Some(&self.instance))
    }

    /// Returns the database's position if it may be used as the primary of a term, or for reads.
    pub(super) fn admit(
        &self,
        cell: &ViewCell,
        observation: &UpstreamObservation,
        term: Option<Term>,
    ) -> Result<LogPosition, AdmissionError> {
        let view = cell
            .valid()
            .map_err(|kind| AdmissionError::View(kind.into()))?;
        let group = self.check_view(&view, term)?;
        let Some(state) = observation
            .state
            .as_ref()
            .filter(|_| observation.no_reply_since.is_none())
        else {
            return Err(AdmissionError::State(unreachable_error(
                "the database does not report its state",
            )));
        };
        let fits = match term {
            Some(term) => is_primary_of(state, term),
            None => is_in_lineage(state, group),
        };
        if fits {
            Ok(state.end)
        } else {
            Err(AdmissionError::State(unreachable_error(
                "the database's term or role does not match the view",
            )))
        }
    }

    fn check_view<'a>(
        &self,
        view: &'a FleetView,
        term: Option<Term>,
    ) -> Result<&'a GroupView, AdmissionError> {
        let refuse = |kind: ErrorKind, detail: &str| {
            Err(AdmissionError::View(RequestError::new(kind, detail)))
        };
        let held = view
            .upstreams
            .get(&self.upstream)
            .filter(|upstream| upstream.holder.as_ref() == Some(&self.instance));
        let Some(upstream) = held else {
            return refuse(
                ErrorKind::UpstreamUnreachable,
                "the database is held by another instance",
            );
        };
        let Some(group) = view.groups.get(&upstream.group) else {
            return refuse(ErrorKind::NoPrimary, "the database's group is unknown");
        };
        let Some(term) = term else {
            if upstream.leaving {
                return refuse(
                    ErrorKind::UpstreamUnreachable,
                    "the database is leaving the fleet",
                );
            }
            return Ok(group);
        };
        if group.term == term && group.primary.active() == Some(&self.upstream) {
            Ok(group)
        } else {
            refuse(
                ErrorKind::NoPrimary,
                "the database is not the primary of that term",
            )
        }
    }
}

/// Returns whether a database is the primary of exactly this term.
pub(crate) fn is_primary_of(state: &UpstreamState, term: Term) -> bool {
    state.role == UpstreamRole::Primary && state.promised == term
}

/// Returns whether a database's log lies within the lineage of the view.
///
/// A log of an older term is a prefix of the lineage only up to the position from which the current
/// primary continued; entries past it belong to an abandoned branch.
pub(crate) fn is_in_lineage(state: &UpstreamState, group: &GroupView) -> bool {
    state.end.term == group.term || state.end <= group.lineage_start
}

fn unreachable_error(detail: &str) -> RequestError {
    RequestError::new(ErrorKind::UpstreamUnreachable, detail)
}
