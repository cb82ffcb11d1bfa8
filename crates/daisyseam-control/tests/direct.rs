//! Groups whose databases acknowledge by themselves: no acknowledged commit is lost, no term has two
//! primaries, whatever is cut, crashes, comes back empty, leaves or answers nothing.

#[expect(dead_code, reason = "the other test files use the rest")]
mod support;

#[expect(dead_code, reason = "the other test files use the rest")]
mod core_support;

use crate::core_support::{
    World,
    direct::{
        Copy,
        DirectGroup, //
    },
    document, //
};
use daisyseam_wire::{
    EvacuateRequest,
    SubmitNewestRequest,
    control_message::Body, //
};
use rand::Rng;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::SeedableRng, //
};

/// A fleet with a primary and replicas that entries write to, all of them settled.
fn ready(copies: usize, raises: bool) -> World {
    ready_in(World::new(3, 0, 2), copies, raises)
}

fn ready_in(mut world: World, copies: usize, raises: bool) -> World {
    world.direct = Some(DirectGroup::new(copies, raises));
    let text = document(1).replace("databases = 3", "acknowledging_replicas = 1");
    world.order(Body::SubmitNewest(SubmitNewestRequest {
        number: 1,
        text,
        source: String::new(),
        operator: "amalia".to_owned(),
    }));
    world.writes = true;
    world.pass_until("the fleet is up", |world| {
        world.primary(0).is_some() && world.primary(1).is_some() && settled(world) == copies
    });
    assert_eq!(
        group(&world).promotes,
        0,
        "the primary that there was stays"
    );
    world
}

fn group(world: &World) -> &DirectGroup {
    world.direct.as_ref().expect("a group")
}

fn copy<'a>(world: &'a mut World, name: &str) -> &'a mut Copy {
    let group = world.direct.as_mut().expect("a group");
    let mut copies = group.copies.iter_mut();
    copies.find(|copy| copy.name == name).expect("a copy")
}

fn settled(world: &World) -> usize {
    let Some(leader) = world.leader() else {
        return 0;
    };
    let fleet = world.core(leader).fleet();
    let names = fleet.view().upstreams.keys();
    names.filter(|name| fleet.has_caught_up(name)).count()
}

/// Lets time pass until entries write to another primary than before; returns how long it took.
fn moves(world: &mut World, former: &str) -> u64 {
    let begun = world.now;
    world.pass_until("another is primary", |world| {
        world.primary(1).is_some_and(|primary| primary != former)
    });
    let took = world.now - begun;
    let before = group(world).acknowledged.len();
    world.pass(300);
    assert!(group(world).acknowledged.len() > before, "it takes writes");
    took
}

fn active(world: &World) -> String {
    world.active().expect("a primary")
}

#[test]
fn a_crashed_primary_is_replaced() {
    for raises in [false, true] {
        let mut world = ready(3, raises);
        let former = active(&world);
        let now = world.now;
        world
            .direct
            .as_mut()
            .expect("a group")
            .crash(now, 0, 20_000);
        let took = moves(&mut world, &former);
        println!("{took} ms of virtual time");
        assert!(took < 4_500, "{took} ms of virtual time");
        world.pass_until("the former comes back", |world| group(world).copies[0].up);
        world.pass(3_000);
        let back = &group(&world).copies[0];
        assert!(!back.leads && back.log.len() > 10, "it follows");
    }
}

/// A fleet whose members lie far apart.
fn far() -> World {
    ready_in(far_members(), 3, false)
}

fn far_members() -> World {
    let mut world = World::new(3, 0, 2);
    world.distance = 20;
    world.tuning = daisyseam_control::ControlTuning::wide_area();
    for member in 0..3 {
        world.stop(member);
        world.start(member);
    }
    world
}

#[test]
fn a_crashed_primary_is_replaced_between_areas() {
    let mut world = far();
    let former = active(&world);
    let now = world.now;
    world
        .direct
        .as_mut()
        .expect("a group")
        .crash(now, 0, 20_000);
    let took = moves(&mut world, &former);
    println!("{took} ms of virtual time");
    assert!(took < 5_000, "{took} ms of virtual time");
}

#[test]
fn a_planned_move_between_areas() {
    let mut world = far();
    let former = active(&world);
    copy(&mut world, &former).leaving = true;
    let took = moves(&mut world, &former);
    println!("{took} ms of virtual time");
    assert!(took < 4_000, "{took} ms of virtual time");
}

#[test]
fn a_lost_leader_of_control_between_areas() {
    let mut world = far();
    let mut times = Vec::new();
    for _ in 0..20 {
        let leader = world.leader().expect("a leader");
        world.stop(leader);
        let lost_at = world.now;
        world.pass_until("another leads", |world| world.leader().is_some());
        times.push(world.now - lost_at);
        world.start(leader);
        world.pass(2_000);
    }
    times.sort_unstable();
    println!("p50 {} ms, greatest {} ms", times[10], times[19]);
    assert!(times[19] < 3_000, "{times:?}");
    assert_eq!(group(&world).promotes, 0, "the primary stays");
}

#[test]
fn a_planned_move_waits_for_a_copy_that_has_all() {
    for raises in [false, true] {
        let mut world = ready(3, raises);
        let former = active(&world);
        copy(&mut world, &former).leaving = true;
        let took = moves(&mut world, &former);
        println!("{took} ms of virtual time");
        assert!(took < 3_500, "{took} ms of virtual time");
        assert_eq!(group(&world).promotes, 1);
    }
}

#[test]
fn a_group_without_writes_moves_too() {
    let mut world = ready(3, false);
    for copy in &mut world.direct.as_mut().expect("a group").copies {
        copy.early = true;
    }
    let now = world.now;
    world.direct.as_mut().expect("a group").crash(now, 0, 3_000);
    let former = active(&world);
    moves(&mut world, &former);
    world.writes = false;
    for _ in 0..3 {
        let former = active(&world);
        copy(&mut world, &former).leaving = true;
        world.pass_until("another is primary", |world| {
            world.primary(1).is_some_and(|primary| primary != former)
        });
        copy(&mut world, &former).leaving = false;
        world.pass_until("all are settled", |world| settled(world) == 3);
        world.pass(7_000);
    }
    assert_eq!(group(&world).promotes, 4);
}

#[test]
fn an_order_on_the_primarys_data_centre_moves_it() {
    let mut world = World::new(3, 0, 2);
    let mut databases = DirectGroup::new(3, false);
    databases.copies[2].data_centre = "khomas-2";
    world.direct = Some(databases);
    let text = document(1).replace("databases = 3", "acknowledging_replicas = 1");
    world.order(Body::SubmitNewest(SubmitNewestRequest {
        number: 1,
        text,
        source: String::new(),
        operator: "amalia".to_owned(),
    }));
    world.writes = true;
    world.pass_until("the fleet is up", |world| {
        settled(world) == 3 && world.primary(1).is_some()
    });
    let former = active(&world);
    world.order(Body::Evacuate(EvacuateRequest {
        data_centre: "khomas-1".to_owned(),
        out: true,
    }));
    moves(&mut world, &former);
    assert_eq!(active(&world), "copy-2");
}

#[test]
fn nobody_is_named_while_an_instance_may_act_on_the_former() {
    for delay in 0..10 {
        let mut world = ready(3, false);
        world.pass(delay * 20);
        world.entries[1].cut = true;
        let now = world.now;
        let databases = world.direct.as_mut().expect("a group");
        assert!(databases.wipe(now, 0, 20_000, true));
        databases.copies[0].announce_now();
        let until = world.entries[1].lease_until;
        world.pass_until("another is named", |world| group(world).promotes > 0);
        assert!(world.now > until, "{} is before {until}", world.now);
    }
}

#[test]
fn a_running_copy_does_not_count_as_stopped() {
    for delay in 0..10 {
        let mut world = ready(3, false);
        world.pass(delay * 30);
        let former = active(&world);
        // Control hears nothing of the primary, which goes on with the copies that run.
        copy(&mut world, &former).cut = true;
        world.stalls_fences = true;
        let now = world.now;
        world.pass(12_000);
        assert_eq!(group(&world).promotes, 0, "since {now}");
        world.stalls_fences = false;
        world.pass_until("another is named", |world| group(world).promotes > 0);
    }
}

#[test]
fn nobody_is_named_while_too_too_few_can_be_stopped() {
    let mut world = ready(3, false);
    let now = world.now;
    let databases = world.direct.as_mut().expect("a group");
    databases.crash(now, 0, 12_000);
    databases.crash(now, 1, 60_000);
    world.pass(10_000);
    assert_eq!(group(&world).promotes, 0);
    world.pass_until("the former primary answers", |world| {
        world.active().is_some()
    });
}

#[test]
fn a_copy_that_came_back_empty_does_not_count_until_it_has_caught_up() {
    let mut world = ready(3, false);
    for database in &mut world.direct.as_mut().expect("a group").copies {
        // Commits are on the primary and the first replica only.
        database.isolated = database.name == "copy-2";
    }
    world.pass(500);
    let now = world.now;
    let databases = world.direct.as_mut().expect("a group");
    assert!(databases.wipe(now, 1, 500, false));
    databases.crash(now + 1, 0, 9_000);
    world.pass(8_000);
    assert_eq!(
        group(&world).promotes,
        0,
        "the log of the primary is missed"
    );
    world.direct.as_mut().expect("a group").mend();
    world.pass_until("the primary is back", |world| world.primary(1).is_some());
    let before = group(&world).acknowledged.len();
    world.pass(1_000);
    assert!(group(&world).acknowledged.len() > before, "it takes writes");
}

#[test]
fn a_copy_that_left_the_list_while_it_ran_counts_until_it_is_forgotten() {
    let mut world = ready(3, false);
    let silent = copy(&mut world, "copy-1");
    (silent.cut, silent.isolated) = (true, true);
    world.pass_until("it is dropped", |world| {
        world.entries[1].view.upstreams.len() == 2
    });
    // Control still hears nothing of it, but commits are on it and on the primary only.
    copy(&mut world, "copy-1").isolated = false;
    copy(&mut world, "copy-2").isolated = true;
    let before = group(&world).acknowledged.len();
    world.pass(5_000);
    assert!(group(&world).acknowledged.len() > before, "it takes writes");
    let now = world.now;
    world.direct.as_mut().expect("a group").crash(now, 0, 9_000);
    world.pass(8_000);
    assert_eq!(
        group(&world).promotes,
        0,
        "the log of the primary is missed"
    );
    world.direct.as_mut().expect("a group").mend();
    world.pass_until("the primary is back", |world| world.primary(1).is_some());
    world.pass_until("all are settled", |world| settled(world) == 3);
}

#[test]
fn a_copy_that_left_the_list_is_forgotten_after_long() {
    let mut world = ready(3, false);
    let now = world.now;
    let databases = world.direct.as_mut().expect("a group");
    databases.crash(now, 2, 900_000);
    world.pass_until("it is dropped", |world| {
        world.entries[1].view.upstreams.len() == 2
    });
    world.pass(62_000);
    let former = active(&world);
    let now = world.now;
    let databases = world.direct.as_mut().expect("a group");
    databases.crash(now, 0, 900_000);
    world.pass_until("another is named", |world| {
        world.active().is_some_and(|primary| primary != former)
    });
}

#[test]
fn a_primary_that_only_entries_miss_is_moved() {
    let mut world = ready(3, false);
    let former = active(&world);
    copy(&mut world, &former).hidden = true;
    moves(&mut world, &former);
}

#[test]
fn a_primary_that_only_control_misses_stays_a_while() {
    let mut world = ready(3, false);
    let former = active(&world);
    copy(&mut world, &former).cut = true;
    world.pass(3_000);
    assert_eq!(active(&world), former);
}

#[test]
fn a_database_that_is_gone_is_dropped() {
    let mut world = ready(3, false);
    let now = world.now;
    let databases = world.direct.as_mut().expect("a group");
    databases.wipe(now, 2, 25_000, true);
    world.pass_until("it is dropped", |world| {
        world.entries[1].view.upstreams.len() == 2
    });
    assert!(world.now - now < 4_000, "{}", world.now - now);
    world.pass_until("it is back", |world| settled(world) == 3);
}

#[test]
fn a_silent_database_is_dropped_after_long() {
    let mut world = ready(3, false);
    let now = world.now;
    world
        .direct
        .as_mut()
        .expect("a group")
        .crash(now, 2, 60_000);
    world.pass(14_000);
    assert_eq!(world.entries[1].view.upstreams.len(), 3);
    world.pass_until("it is dropped", |world| {
        world.entries[1].view.upstreams.len() == 2
    });
    assert!(world.now - now < 19_000, "{}", world.now - now);
    for _ in 0..20 {
        world.pass(100);
        assert_eq!(world.entries[1].view.upstreams.len(), 2, "it stays off");
    }
}

/// Steps of the random run; `DAISYSEAM_DIRECT_STEPS` asks for more.
fn steps() -> usize {
    let given = std::env::var("DAISYSEAM_DIRECT_STEPS").ok();
    given.and_then(|given| given.parse().ok()).unwrap_or(120)
}

/// First seed of the random runs; `DAISYSEAM_DIRECT_SEED` sets another.
fn first_seed() -> u64 {
    let given = std::env::var("DAISYSEAM_DIRECT_SEED").ok();
    given
        .and_then(|given| given.parse().ok())
        .unwrap_or(20_261_204)
}

#[test]
fn no_acknowledged_commit_is_lost() {
    let mut left = steps();
    let mut seed = first_seed();
    while left > 0 {
        let count = left.min(60);
        println!("seed {seed}, {count} steps");
        play(seed, count);
        left -= count;
        seed += 1;
    }
}

fn play(seed: u64, count: usize) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let copies = random.random_range(3..=4);
    let world = match random.random_bool(0.3) {
        true => far_members(),
        false => World::new(3, 0, 2),
    };
    let mut world = ready_in(world, copies, random.random());
    let early = random.random();
    for copy in &mut world.direct.as_mut().expect("a group").copies {
        copy.early = early;
    }
    for _ in 0..count {
        disturb(&mut world, &mut random, copies);
        let millis = random.random_range(1..1_200);
        world.pass(millis);
    }
    mend(&mut world);
}

fn disturb(world: &mut World, random: &mut ChaCha8Rng, copies: usize) {
    let number = random.random_range(0..copies);
    let member = random.random_range(0..3);
    let millis = random.random_range(100..5_000);
    let now = world.now;
    let databases = world.direct.as_mut().expect("a group");
    match random.random_range(0..22) {
        0..=1 => databases.crash(now, number, millis),
        2 => drop(databases.wipe(now, number, millis, false)),
        3 => drop(databases.wipe(now, number, millis, true)),
        4 => databases.copies[number].leaving = true,
        5 => databases.copies[number].leaving = false,
        6 => databases.copies[number].cut = true,
        7 => databases.copies[number].hidden = true,
        8 => databases.copies[number].isolated = true,
        9 => databases.copies[number].deaf = true,
        10..=13 => {
            let copy = &mut databases.copies[number];
            (copy.cut, copy.hidden, copy.isolated, copy.deaf) = (false, false, false, false);
        }
        14 => drop(world.cut_members.insert(member)),
        15 | 16 => world.cut_members.clear(),
        17 => world.stop(member),
        18 | 19 => (0..3).for_each(|member| start(world, member)),
        20 => world.entries[number % 2].cut = true,
        _ => world.entries.iter_mut().for_each(|entry| entry.cut = false),
    }
}

fn start(world: &mut World, member: usize) {
    if !world.runs(member) {
        world.start(member);
    }
}

fn mend(world: &mut World) {
    world.cut_members.clear();
    for member in 0..3 {
        start(world, member);
    }
    for entry in &mut world.entries {
        entry.cut = false;
    }
    world.direct.as_mut().expect("a group").mend();
    world.pass(2_000);
    let before = group(world).acknowledged.len();
    world.pass_until("a mended group takes writes", |world| {
        group(world).acknowledged.len() > before && world.active().is_some()
    });
}
