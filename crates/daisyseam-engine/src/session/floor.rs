//! The log position that a session's reads must include.

use crate::{
    identity::CallerRights,
    route::{
        ReadFloor,
        ReadPlace, //
    },
    samples::PositionSamples, //
};
use daisyseam_coord::floor::SessionFloor;
use daisyseam_model::{
    GroupId,
    LogPosition,
    document::ReadConsistency, //
};
use tokio::time::Instant;

/// The position of a session's last commit and the group that it was made in.
#[derive(Clone, Debug, Default)]
pub(super) struct CommitFloor {
    group: Option<GroupId>,
    floor: SessionFloor,
    unknown: bool,
}

impl CommitFloor {
    /// Records an acknowledged write of the session. If the database did not report a position,
    /// the session's reads stay on the primary.
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

    /// Returns the floor of a read that started at `began`.
    pub(super) fn of_read(
        &self,
        rights: &CallerRights,
        samples: &PositionSamples,
        began: Instant,
    ) -> ReadFloor {
        let service = &rights.service;
        let here = self.group.as_ref() == Some(&service.group);
        let own = match service.consistency {
            ReadConsistency::Primary => return ReadFloor::default(),
            ReadConsistency::Bounded => None,
            ReadConsistency::Session => self.floor.position().filter(|_| here),
        };
        let at_primary = ReadFloor {
            own,
            place: ReadPlace::Primary,
        };
        if service.consistency == ReadConsistency::Session && here && self.unknown {
            return at_primary;
        }
        let Some(bound) = service.max_staleness else {
            let place = ReadPlace::Reached(own);
            return ReadFloor { own, place };
        };
        match samples.floor(&service.group, began, bound) {
            Some(told) => ReadFloor {
                own,
                place: ReadPlace::Reached(own.max(Some(told))),
            },
            None => at_primary,
        }
    }
}
