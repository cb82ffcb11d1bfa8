//! Session floors never decrease, and tokens are accepted only in their own scope.

use daisyseam_coord::floor::{
    SessionFloor,
    TokenError,
    TokenScope, //
};
use daisyseam_model::{
    ClusterId,
    GroupId,
    LogPosition,
    OrganisationId,
    Position,
    Term, //
};
use proptest::prelude::*;

struct Names {
    cluster: ClusterId,
    organisation: OrganisationId,
    group: GroupId,
}

impl Names {
    fn new(cluster: &str, organisation: &str, group: &str) -> Self {
        Self {
            cluster: ClusterId::new(cluster).unwrap(),
            organisation: OrganisationId::new(organisation).unwrap(),
            group: GroupId::new(group).unwrap(),
        }
    }

    fn scope(&self) -> TokenScope<'_> {
        TokenScope {
            cluster: &self.cluster,
            organisation: Some(&self.organisation),
            group: &self.group,
        }
    }
}

fn at(term: u64, position: u64) -> LogPosition {
    LogPosition {
        term: Term(term),
        position: Position(position),
    }
}

proptest! {
    #[test]
    fn arbitrary_tokens_never_panic_and_never_lower_the_floor(
        token in "\\PC{0,80}|1-[0-9a-f]{0,20}-[0-9a-f]{0,20}-[0-9a-f]{0,20}",
        term: u64,
        position: u64,
    ) {
        let names = Names::new("here", "keepers", "bookings");
        let mut floor = SessionFloor::default();
        floor.raise(at(term, position));
        let before = floor.position();
        let _ = floor.accept(&token, names.scope());
        prop_assert!(floor.position() >= before);
    }

    #[test]
    fn a_token_restores_its_position_in_its_own_scope_only(term: u64, position: u64) {
        let names = Names::new("here", "keepers", "bookings");
        let mut floor = SessionFloor::default();
        floor.raise(at(term, position));
        let token = floor.token(names.scope()).unwrap();

        let mut restored = SessionFloor::default();
        prop_assert_eq!(restored.accept(&token, names.scope()), Ok(()));
        prop_assert_eq!(restored, floor);
        for other in [
            Names::new("there", "keepers", "bookings"),
            Names::new("here", "vets", "bookings"),
            Names::new("here", "keepers", "deposits"),
        ] {
            let mut restored = SessionFloor::default();
            let refused = restored.accept(&token, other.scope());
            prop_assert_eq!(refused, Err(TokenError::Scope));
            prop_assert_eq!(restored.position(), None);
        }
    }

    #[test]
    fn a_floor_only_rises(positions in prop::collection::vec((0_u64..4, 0_u64..100), 1..20)) {
        let mut floor = SessionFloor::default();
        let mut highest = None;
        for (term, position) in positions {
            let seen = Some(at(term, position));
            prop_assert_eq!(floor.raise(at(term, position)), seen > highest);
            highest = highest.max(seen);
            prop_assert_eq!(floor.position(), highest);
        }
    }
}

#[test]
fn a_token_of_a_later_version_is_rejected_as_such() {
    let names = Names::new("here", "keepers", "bookings");
    let mut floor = SessionFloor::default();
    let refused = floor.accept("2-1-1-0", names.scope());
    assert_eq!(refused, Err(TokenError::Version));
}
