//! The log position that a session's reads must include.

use crate::{
    identity::CallerRights,
    route::{
        ReadFloor,
        ReadTarget, //
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
    position_unknown: bool,
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
                self.position_unknown = false;
            }
            None => self.position_unknown = true,
        }
    }

    /// Returns the floor of a read that started at `began`.
    pub(super) fn read_floor(
        &self,
        rights: &CallerRights,
        samples: &PositionSamples,
        began: Instant,
    ) -> ReadFloor {
        let service = &rights.service;
        let same_group = self.group.as_ref() == Some(&service.group);
        let own = match service.consistency {
            ReadConsistency::Primary => return ReadFloor::default(),
            ReadConsistency::Bounded => None,
            ReadConsistency::Session => self.floor.position().filter(|_| same_group),
        };
        let at_primary = ReadFloor {
            own,
            target: ReadTarget::Primary,
        };
        if service.consistency == ReadConsistency::Session && same_group && self.position_unknown {
            return at_primary;
        }
        let Some(bound) = service.max_staleness else {
            let target = ReadTarget::CaughtUp(own);
            return ReadFloor { own, target };
        };
        match samples.floor(&service.group, began, bound) {
            Some(sampled) => ReadFloor {
                own,
                target: ReadTarget::CaughtUp(own.max(Some(sampled))),
            },
            None => at_primary,
        }
    }
}
