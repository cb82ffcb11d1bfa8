//! A simulated fleet whose entries tell clients of commits once enough voters have them.

use super::{
    GROUP,
    Simulation,
    clients::ClientLedger,
    direct::DirectGroup,
    document, //
};
use daisyseam_wire::{
    AnnounceRequest,
    SubmitNewestRequest,
    UpstreamReport,
    control_message::Body, //
};

/// Starts a fleet of databases that have all caught up, with entries that tell their clients of
/// commits.
pub(crate) fn start_fleet(copies: usize, replicas: usize, trusts_databases: bool) -> Simulation {
    let mut sim = Simulation::new(3, 0, 2);
    let mut databases = DirectGroup::new(copies, false);
    databases.clients = Some(ClientLedger::new(trusts_databases));
    databases.replicas = replicas;
    sim.direct = Some(databases);
    sim.order(submit_replicas(1, replicas));
    sim.writes = true;
    sim.advance_until("the fleet is up", |sim| {
        sim.primary(0).is_some() && sim.primary(1).is_some() && settled(sim) == copies
    });
    sim
}

/// Returns the submission of a document that asks for a number of replicas.
pub(crate) fn submit_replicas(number: u64, replicas: usize) -> Body {
    let policy = format!("acknowledging_replicas = {replicas}");
    Body::SubmitNewest(SubmitNewestRequest {
        number,
        text: document(number).replace("databases = 3", &policy),
        source: String::new(),
        operator: "amalia".to_owned(),
    })
}

pub(crate) fn group(sim: &mut Simulation) -> &mut DirectGroup {
    sim.direct.as_mut().expect("a group")
}

pub(crate) fn told(sim: &Simulation) -> usize {
    let group = sim.direct.as_ref().expect("a group");
    group.clients.as_ref().expect("clients").told.len()
}

pub(crate) fn missing(sim: &Simulation) -> usize {
    let group = sim.direct.as_ref().expect("a group");
    group.clients.as_ref().expect("clients").missing
}

pub(crate) fn promotions(sim: &Simulation) -> usize {
    sim.direct.as_ref().expect("a group").promotions
}

pub(crate) fn settled(sim: &Simulation) -> usize {
    let Some(leader) = sim.leader() else {
        return 0;
    };
    let fleet = sim.core(leader).fleet();
    let names = fleet.view().upstreams.keys();
    names.filter(|name| fleet.has_caught_up(name)).count()
}

/// Ends all faults of control.
pub(crate) fn heal_control(sim: &mut Simulation) {
    sim.disconnected_members.clear();
    for member in 0..3 {
        if !sim.runs(member) {
            sim.start(member);
        }
    }
}

/// Ends all faults, and expects that clients are told of commits again and that none is missing.
pub(crate) fn heal(sim: &mut Simulation) {
    heal_control(sim);
    for entry in &mut sim.entries {
        (entry.side, entry.disconnected) = (0, false);
    }
    let now = sim.now;
    let databases = group(sim);
    databases.heal();
    let remaining = databases.copies.iter().filter(|copy| !copy.gone).count();
    for _ in remaining..databases.replicas + 1 {
        databases.join(now, 0, false);
    }
    sim.advance(2_000);
    let before = told(sim);
    sim.advance_until("clients of a healed group are told of commits", |sim| {
        told(sim) > before && sim.active().is_some()
    });
    group(sim).check_all_told();
}

pub(crate) fn listed(sim: &Simulation) -> usize {
    let leader = sim.leader().expect("a leader");
    sim.core(leader).fleet().view().upstreams.len()
}

/// Expects that nobody takes over from a crashed primary until it is back.
pub(crate) fn wait_for_the_primary_alone(sim: &mut Simulation) {
    let now = sim.now;
    let before = promotions(sim);
    group(sim).crash(now, 0, 20_000);
    sim.advance(15_000);
    assert_eq!(promotions(sim), before, "the log of the primary is missing");
    heal(sim);
}

/// Makes the document ask for a number of replicas, as entries and databases do from then on.
pub(crate) fn require_replicas(sim: &mut Simulation, number: u64, replicas: usize) {
    sim.order(submit_replicas(number, replicas));
    group(sim).replicas = replicas;
}

/// Expects that a lost primary is replaced within the time that an undisturbed loss takes.
pub(crate) fn expect_replacement(sim: &mut Simulation, former: &str) {
    let begun = sim.now;
    sim.advance_until("another is primary", |sim| {
        sim.active().is_some_and(|primary| primary != former)
    });
    let took = sim.now - begun;
    assert!(took < 4_500, "{took} ms of virtual time");
    heal(sim);
}

/// Returns the announcement of a database that does not exist.
pub(crate) fn announce_nowhere(name: &str, born_ms: u64) -> Body {
    Body::Announce(AnnounceRequest {
        report: Some(UpstreamReport {
            upstream: name.to_owned(),
            group: GROUP.to_owned(),
            data_centre: "khomas-1".to_owned(),
            address: "127.0.0.1:9".to_owned(),
            admin_address: "127.0.0.1:9".to_owned(),
            born_ms,
            sequence: 1,
            ..UpstreamReport::default()
        }),
        gone: false,
    })
}

/// Sends a request to each member of control, which may all be cut off.
pub(crate) fn request_everywhere(sim: &mut Simulation, body: &Body) {
    for member in 0..3 {
        sim.request(member, body.clone(), 1);
    }
}

/// Sets whether a database is silent: it runs, and neither control nor other databases reach it.
pub(crate) fn set_silent(sim: &mut Simulation, number: usize, is_silent: bool) {
    let copy = &mut group(sim).copies[number];
    copy.disconnected = is_silent;
    copy.hidden_from_entries = is_silent;
    copy.isolated = is_silent;
}

pub(crate) fn voters(sim: &Simulation) -> usize {
    let leader = sim.leader().expect("a leader");
    let fleet = sim.core(leader).fleet();
    fleet.voter_count(&GROUP.parse().expect("a sound name"))
}
