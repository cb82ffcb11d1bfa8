//! Prints what a view weighs on the wire, by its parts and at the size of two years on.

use daisyseam_model::{
    FleetView,
    GroupView,
    Incarnation,
    InstanceView,
    LogPosition,
    PrimaryState,
    Term,
    UpstreamView, //
};
use daisyseam_wire::WireView;
use prost::Message;
use std::{
    error::Error,
    net::SocketAddr, //
};

/// Databases in a group.
const GROUP_SIZE: usize = 3;

fn main() -> Result<(), Box<dyn Error>> {
    let empty = bytes(0, 0)?;
    println!(
        "a group of 3 databases: {} bytes",
        (bytes(100, 0)? - empty) / 100
    );
    println!("an instance: {} bytes", (bytes(0, 100)? - empty) / 100);
    println!(
        "600 groups, 1,800 databases, 1,600 instances: {} bytes",
        bytes(600, 1_600)?
    );
    Ok(())
}

fn bytes(groups: usize, instances: usize) -> Result<usize, Box<dyn Error>> {
    let view = view(groups, instances)?;
    Ok(WireView::whole(&view, None).encoded_len())
}

fn view(groups: usize, instances: usize) -> Result<FleetView, Box<dyn Error>> {
    let address = SocketAddr::from(([10, 200, 100, 50], 54_321));
    let mut view = FleetView::default();
    for index in 0..instances {
        let instance = InstanceView {
            incarnation: Incarnation(1_000_000),
            data_centre: "otjozondjupa-1".parse()?,
            peer_address: address,
            leaving: false,
        };
        view.instances
            .insert(format!("entry-{index:04}").parse()?, instance);
    }
    for index in 0..groups {
        let name = format!("group-{index:04}");
        for member in 0..GROUP_SIZE {
            let upstream = UpstreamView {
                group: name.parse()?,
                data_centre: "otjozondjupa-1".parse()?,
                address,
                admin_address: address,
                holder: Some(format!("entry-{index:04}").parse()?),
                leaving: false,
                born_ms: 0,
                voter: true,
            };
            view.upstreams
                .insert(format!("{name}-{member}").parse()?, upstream);
        }
        let group = GroupView {
            term: Term(1_000),
            primary: PrimaryState::Active(format!("{name}-0").parse()?),
            lineage_start: LogPosition::default(),
        };
        view.groups.insert(name.parse()?, group);
    }
    Ok(view)
}
