//! Prints the write unavailability of quorum systems, with and without data centre failures.

use daisyseam_coord::quorum::{
    FailureModel,
    GridQuorum,
    MajorityQuorum,
    QuorumSystem, //
};

/// Probability that a member is down.
const MEMBER_DOWN: f64 = 0.01;
/// Probability that a data centre is down or unreachable.
const DATA_CENTRE_DOWN: f64 = 0.001;

fn main() {
    println!(
        "| system | members | data centres | write quorum | independent | with data centres |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for (members, centres) in [(3, 3), (5, 3), (5, 5), (9, 3), (13, 6)] {
        let system = MajorityQuorum { members };
        print_row(&format!("majority of {members}"), &system, centres);
    }
    for (rows, columns, centres) in [(2, 2, 2), (3, 3, 3), (3, 4, 6), (2, 6, 6)] {
        let system = GridQuorum { rows, columns };
        print_row(&format!("grid {rows} x {columns}"), &system, centres);
    }
}

fn print_row(name: &str, system: &impl QuorumSystem, centres: usize) {
    let members = system.members();
    let independent = FailureModel::independent(members, MEMBER_DOWN);
    let correlated = FailureModel {
        data_centres: (0..members).map(|member| member % centres).collect(),
        member_down: MEMBER_DOWN,
        data_centre_down: DATA_CENTRE_DOWN,
    };
    println!(
        "| {name} | {members} | {centres} | {} | {:.2e} | {:.2e} |",
        system.write_size(),
        1.0 - independent.write_availability(system),
        1.0 - correlated.write_availability(system),
    );
}
