//! A shutdown proceeds in order, and nothing is aborted before the deadline.

use daisyseam_coord::{
    Moment,
    drain::{
        DrainCounts,
        DrainPlan,
        DrainPolicy,
        DrainStep, //
    }, //
};
use proptest::prelude::*;
use std::time::Duration;

const POLICY: DrainPolicy = DrainPolicy {
    notice: Duration::from_secs(1),
    deadline: Duration::from_secs(10),
};

fn counts() -> impl Strategy<Value = DrainCounts> {
    (
        0_usize..3,
        0_usize..3,
        0_usize..3,
        0_usize..3,
        any::<bool>(),
    )
        .prop_map(
            |(
                idle_connections,
                busy_connections,
                checked_out_connections,
                held_databases,
                shares,
            )| {
                DrainCounts {
                    idle_connections,
                    busy_connections,
                    checked_out_connections,
                    held_databases,
                    shares,
                }
            },
        )
}

proptest! {
    #[test]
    fn nothing_goes_before_what_needs_it(counts in counts(), now in 0_u64..15_000) {
        let plan = DrainPlan::start(Moment::ORIGIN, POLICY);
        let now = Moment::from_millis(now);
        let callers = counts.idle_connections + counts.busy_connections;
        match plan.next(now, counts) {
            DrainStep::Announce(until) => prop_assert!(now < until),
            DrainStep::CloseIdle(_) => prop_assert!(callers > 0),
            DrainStep::HandOver(_) => prop_assert!(callers == 0 && counts.held_databases + counts.checked_out_connections > 0),
            DrainStep::ReturnShares => {
                prop_assert!(callers + counts.held_databases + counts.checked_out_connections == 0 && counts.shares);
            }
            DrainStep::Leave => prop_assert_eq!(counts, DrainCounts::default()),
            DrainStep::Abort(left) => {
                prop_assert!(now >= plan.deadline());
                prop_assert_eq!(left, counts);
            }
        }
    }
}

#[test]
fn a_shutdown_goes_through_its_steps() {
    let plan = DrainPlan::start(Moment::ORIGIN, POLICY);
    let mut counts = DrainCounts {
        idle_connections: 1,
        busy_connections: 1,
        checked_out_connections: 1,
        held_databases: 1,
        shares: true,
    };
    let deadline = plan.deadline();
    let now = Moment::from_millis(500);
    let notice = Moment::from_millis(1_000);
    assert_eq!(plan.next(now, counts), DrainStep::Announce(notice));
    let now = Moment::from_millis(2_000);
    assert_eq!(plan.next(now, counts), DrainStep::CloseIdle(deadline));
    counts.idle_connections = 0;
    counts.busy_connections = 0;
    assert_eq!(plan.next(now, counts), DrainStep::HandOver(deadline));
    counts.checked_out_connections = 0;
    counts.held_databases = 0;
    assert_eq!(plan.next(now, counts), DrainStep::ReturnShares);
    counts.shares = false;
    assert_eq!(plan.next(now, counts), DrainStep::Leave);
}
