//! The log position that a session's reads must include.

use crate::{
    identity::CallerRights,
    route::{
        ReadFloor,
        ReadTarget, //
    },
    samples::PositionSamples, //
};
use daisyseam_coord::floor::GroupFloors;
use daisyseam_model::{
    GroupId,
    LogPosition,
    document::ReadConsistency, //
};
use smallvec::SmallVec;
use tokio::time::Instant;

/// The positions of a session's last commits, in each group that it has written in.
#[derive(Clone, Debug, Default)]
pub(super) struct CommitFloor {
    floors: GroupFloors,
    /// Groups in which the database did not report the position of the last commit.
    unknown_in: SmallVec<[GroupId; 1]>,
}

impl CommitFloor {
    /// Records an acknowledged write of the session. If the database did not report a position,
    /// the session's reads in the group stay on the primary.
    pub(super) fn committed(&mut self, group: &GroupId, position: Option<LogPosition>) {
        self.unknown_in.retain(|other| other != group);
        match position {
            Some(position) => {
                self.floors.floor_mut(group).raise(position);
            }
            None => self.unknown_in.push(group.clone()),
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
        let own = match service.consistency {
            ReadConsistency::Primary => return ReadFloor::default(),
            ReadConsistency::Bounded => None,
            ReadConsistency::Session => self.floors.floor(&service.group).position(),
        };
        let at_primary = ReadFloor {
            own,
            target: ReadTarget::Primary,
        };
        let is_unknown = self.unknown_in.contains(&service.group);
        if service.consistency == ReadConsistency::Session && is_unknown {
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
