//! Quorum systems: quorum intersection, and availability compared with the closed formulas.

use daisyseam_coord::quorum::{
    FailureModel,
    GridQuorum,
    MajorityQuorum,
    MemberSet,
    QuorumSystem, //
};
use test_case::test_case;

/// Formula (1): write availability of a solid grid.
fn grid_write(rows: i32, columns: i32, down: f64) -> f64 {
    let up = 1.0 - down;
    (1.0 - down.powi(rows)).powi(columns) - (1.0 - up.powi(rows) - down.powi(rows)).powi(columns)
}

/// Formula (3): read availability of a solid grid under the modified protocol.
fn grid_read(rows: i32, columns: i32, down: f64) -> f64 {
    let up = 1.0 - down;
    let all_bad = (1.0 - up.powi(rows)).powi(columns);
    1.0 - (all_bad - (1.0 - up.powi(rows) - down.powi(rows)).powi(columns))
}

#[test_case(2, 2, 0.05, 1.40e-2; "two by two")]
#[test_case(4, 4, 0.05, 1.21e-3; "four by four")]
#[test_case(2, 6, 0.10, 5.86e-2; "two by six")]
fn availability_matches_the_formulas_and_the_published_table(
    rows: usize,
    columns: usize,
    down: f64,
    published: f64,
) {
    let grid = GridQuorum { rows, columns };
    let model = FailureModel::independent(grid.members(), down);
    let (rows, columns) = (rows as i32, columns as i32);
    let write = model.write_availability(&grid);
    assert!((write - grid_write(rows, columns, down)).abs() < 1e-9);
    assert!((model.read_availability(&grid) - grid_read(rows, columns, down)).abs() < 1e-9);
    assert!((1.0 - write - published).abs() < published * 0.005);
}

fn assert_quorums_intersect(system: &impl QuorumSystem) {
    let all: MemberSet = (1 << system.members()) - 1;
    for up in 0..=all {
        if system.can_write(up) {
            assert!(
                !system.can_write(all & !up),
                "two write quorums are disjoint"
            );
            assert!(
                !system.can_read(all & !up),
                "a read and a write quorum are disjoint"
            );
            assert!(up.count_ones() as usize >= system.write_size());
        }
    }
}

#[test]
fn write_quorums_intersect_all_quorums() {
    for members in 1..=9 {
        assert_quorums_intersect(&MajorityQuorum { members });
    }
    for (rows, columns) in [(2, 2), (2, 3), (3, 3), (3, 4), (2, 6)] {
        assert_quorums_intersect(&GridQuorum { rows, columns });
    }
}

#[test]
fn data_centre_loss_stops_a_grid_but_not_a_majority_spread_over_data_centres() {
    let model = FailureModel {
        data_centres: vec![0, 1, 2, 0, 1, 2, 0, 1, 2],
        member_down: 0.0,
        data_centre_down: 0.1,
    };
    let grid = GridQuorum {
        rows: 3,
        columns: 3,
    };
    let all_up = 0.9_f64.powi(3);
    assert!((model.write_availability(&grid) - all_up).abs() < 1e-9);
    let two_up = all_up + 3.0 * 0.9 * 0.9 * 0.1;
    let majority = MajorityQuorum { members: 9 };
    assert!((model.write_availability(&majority) - two_up).abs() < 1e-9);
}
