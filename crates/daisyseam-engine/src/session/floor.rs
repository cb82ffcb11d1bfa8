//! The position that a session's reads may not go behind.

use crate::{
    identity::CallerRights,
    route::ReadFloor,
    samples::PositionSamples, //
};
use daisyseam_coord::floor::SessionFloor;
use daisyseam_model::{
    GroupId,
    LogPosition,
    document::ReadConsistency, //
};
use tokio::time::Instant;

/// The last commit of a session, in the history of the group where it was made.
#[derive(Clone, Debug, Default)]
pub(super) struct CommitFloor {
    group: Option<GroupId>,
    floor: SessionFloor,
    unknown: bool,
}

impl CommitFloor {
    /// Learns that a write of the session has been acknowledged; a position that was not told
    /// keeps its reads on the primary.
    pub(super) fn committed(&mut self, group: &GroupId, position: Option<LogPosition>) {
        if self.group.as_ref() != Some(group) {
            *self = Self {
                group: Some(group.clone()),
                ..Self::default()
            };
        }
        match position {
            Some(position) => {
                self.floor.raise(position);
                self.unknown = false;
            }
            None => self.unknown = true,
        }
    }

    /// Returns what a read that began at a moment must see.
    pub(super) fn of_read(
        &self,
        rights: &CallerRights,
        samples: &PositionSamples,
        began: Instant,
    ) -> ReadFloor {
        let service = &rights.service;
        let here = self.group.as_ref() == Some(&service.group);
        let own = self.floor.position().filter(|_| here);
        let own = match service.consistency {
            ReadConsistency::Primary => return ReadFloor::Primary(None),
            ReadConsistency::Bounded => None,
            ReadConsistency::Session if here && self.unknown => {
                return ReadFloor::Primary(own);
            }
            ReadConsistency::Session => own,
        };
        let Some(bound) = service.max_staleness else {
            return ReadFloor::Position(own);
        };
        match samples.floor(&service.group, began, bound) {
            Some(told) => ReadFloor::Position(own.max(Some(told))),
            None => ReadFloor::Primary(own),
        }
    }
}
