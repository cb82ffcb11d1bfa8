//! Tests submissions of the newest document, evacuations of data centres, and single announcements.

#[expect(dead_code, reason = "the other test files use the rest")]
mod support;

#[expect(dead_code, reason = "the other test file uses the rest")]
mod core_support;

use crate::core_support::{
    GROUP,
    Simulation,
    document,
    report, //
};
use daisyseam_model::{
    PrimaryState,
    UpstreamId,
    UpstreamView,
    document::DOCUMENT_BYTES_MAX, //
};
use daisyseam_wire::{
    AnnounceRequest,
    EvacuateRequest,
    SourceReply,
    SourceRequest,
    SubmitNewestReply,
    SubmitNewestRequest,
    UpstreamReport,
    control_message::Body, //
};
use test_case::test_case;

/// A document under which databases acknowledge commits by themselves.
fn direct_document(number: u64) -> String {
    document(number).replace("databases = 3", "acknowledging_replicas = 1")
}

fn newest(number: u64, text: &str) -> Body {
    Body::SubmitNewest(SubmitNewestRequest {
        number,
        text: text.to_owned(),
        source: format!("source of {number}"),
        operator: "amalia".to_owned(),
    })
}

fn submit(sim: &mut Simulation, number: u64, text: &str) -> SubmitNewestReply {
    match sim.order(newest(number, text)) {
        Body::SubmittedNewest(reply) => reply,
        other => panic!("{other:?}"),
    }
}

fn source(sim: &mut Simulation) -> SourceReply {
    match sim.order(Body::Source(SourceRequest {})) {
        Body::SourceShown(reply) => reply,
        other => panic!("{other:?}"),
    }
}

fn evacuate(sim: &mut Simulation, data_centre: &str, out: bool) -> bool {
    let data_centre = data_centre.to_owned();
    match sim.order(Body::Evacuate(EvacuateRequest { data_centre, out })) {
        Body::Evacuated(reply) => reply.known,
        other => panic!("{other:?}"),
    }
}

/// Announces a database, with changes to the report.
fn announce(
    sim: &mut Simulation,
    database: usize,
    edit: impl FnOnce(&mut daisyseam_wire::UpstreamReport),
) {
    let mut report = report(&sim.databases[database]);
    report.address = format!("127.0.0.1:{}", 5_000 + database);
    report.born_ms = 1_000;
    edit(&mut report);
    let request = AnnounceRequest {
        report: Some(report),
        gone: false,
    };
    let answer = sim.order(Body::Announce(request));
    assert!(matches!(answer, Body::Announced(_)), "{answer:?}");
}

fn leave(sim: &mut Simulation, database: usize) {
    let request = AnnounceRequest {
        report: Some(report(&sim.databases[database])),
        gone: true,
    };
    let answer = sim.order(Body::Announce(request));
    assert!(matches!(answer, Body::Announced(_)), "{answer:?}");
}

fn upstream(sim: &Simulation, name: &str) -> Option<UpstreamView> {
    let leader = sim.leader().expect("a leader");
    let view = sim.core(leader).fleet().view();
    view.upstreams.get(name).cloned()
}

fn active(sim: &Simulation) -> Option<UpstreamId> {
    let leader = sim.leader()?;
    let group = sim.core(leader).fleet().view().groups.get(GROUP)?;
    group.primary.active().cloned()
}

/// Starts a fleet whose databases acknowledge commits by themselves and have been announced.
fn direct_sim() -> Simulation {
    let mut sim = Simulation::new(3, 0, 1);
    for database in &mut sim.databases {
        database.direct = true;
    }
    assert!(submit(&mut sim, 1, &direct_document(1)).acknowledged);
    for database in 0..3 {
        announce(&mut sim, database, |_| {});
    }
    sim
}

#[test]
fn the_highest_number_is_in_force_whatever_comes_later() {
    let mut sim = Simulation::new(3, 0, 1);
    assert!(submit(&mut sim, 7, &document(7)).acknowledged);
    let late = submit(&mut sim, 3, &document(3));
    assert_eq!((late.acknowledged, late.number), (true, 7));
    let again = submit(&mut sim, 7, &document(7));
    assert_eq!((again.acknowledged, again.number), (true, 7));
    let shown = source(&mut sim);
    assert_eq!((shown.number, shown.source.as_str()), (7, "source of 7"));
    sim.advance_until("the entry has it", |sim| {
        sim.entries[0].view.document_number.0 == 7
    });
}

#[test]
fn what_is_invalid_is_refused_under_any_number() {
    let mut sim = Simulation::new(3, 0, 1);
    assert!(submit(&mut sim, 7, &document(7)).acknowledged);
    for (number, text) in [
        (8, "number = 8\ncluster = \"another\"\n".to_owned()),
        (8, document(9)),
        (3, "number = 3\n".to_owned()),
        (7, document(6)),
        (9, " ".repeat(DOCUMENT_BYTES_MAX + 1)),
    ] {
        let reply = submit(&mut sim, number, &text);
        assert!(
            !reply.acknowledged && !reply.problems.is_empty(),
            "{number}"
        );
        assert_eq!(reply.number, 7);
    }
    assert_eq!(source(&mut sim).number, 7);
}

#[test]
fn both_ways_to_submit_go_together() {
    let mut sim = Simulation::new(3, 0, 1);
    assert!(submit(&mut sim, 7, &document(7)).acknowledged);
    let next = sim.submit("change-8", 7, 0);
    sim.advance_until("it is accepted", |sim| sim.answer(next).is_some());
    assert!(sim.answer(next).expect("answered").accepted);
    assert_eq!(source(&mut sim).source, "", "it was made without a source");
    let lost = sim.submit("change-8b", 7, 0);
    sim.advance_until("it is refused", |sim| sim.answer(lost).is_some());
    assert_eq!(sim.answer(lost).expect("answered").winner, "change-8");
    assert!(submit(&mut sim, 20, &document(20)).acknowledged);
    let lost = sim.submit("change-9", 8, 0);
    sim.advance_until("it is refused", |sim| sim.answer(lost).is_some());
    assert_eq!(sim.answer(lost).expect("answered").number, 20);
}

#[test]
fn the_source_outlives_every_member_and_only_the_leader_shows_it() {
    let mut sim = Simulation::new(3, 0, 1);
    for number in 1..60 {
        assert!(submit(&mut sim, number * 3, &document(number * 3)).acknowledged);
    }
    for member in 0..3 {
        sim.stop(member);
    }
    for member in 0..3 {
        sim.start(member);
    }
    assert_eq!(source(&mut sim).source, "source of 177");
    let leader = sim.leader().expect("a leader");
    let other = (leader + 1) % 3;
    let asked = Body::Source(SourceRequest {});
    let answer = sim.request(other, asked.clone(), 20);
    assert!(matches!(answer, Some(Body::NotLeader(_))), "{answer:?}");
    sim.disconnected_members.insert(leader);
    sim.advance(1_000);
    let answer = sim.request(leader, asked, 20);
    assert!(matches!(answer, Some(Body::NotLeader(_))), "{answer:?}");
}

#[test]
fn a_leader_that_has_not_applied_its_log_says_nothing() {
    let mut sim = Simulation::new(1, 0, 1);
    for number in 1..4 {
        assert!(submit(&mut sim, number, &document(number)).acknowledged);
    }
    let asked = Body::Source(SourceRequest {});
    let answer = sim.ask_before_it_applies(asked);
    assert!(matches!(answer, Body::NotLeader(_)), "{answer:?}");
}

#[test]
fn a_leader_answers_once_it_has_applied_what_is_committed() {
    let mut sim = Simulation::new(1, 0, 1);
    assert!(submit(&mut sim, 1, &document(1)).acknowledged);
    let asked = Body::Source(SourceRequest {});
    let change = newest(2, &document(2));
    let (before, after) = sim.ask_before_a_change_is_applied(change, asked);
    assert_eq!(before, None, "it waits");
    match after {
        Some(Body::SourceShown(reply)) => assert_eq!(reply.source, "source of 2"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_storm_of_large_documents_does_not_pile_up() {
    let mut sim = Simulation::new(1, 0, 1);
    let filler = format!("\n# {}\n", "x".repeat(100_000));
    for number in 1..200 {
        let text = document(number) + &filler;
        assert!(submit(&mut sim, number, &text).acknowledged);
    }
    let ledger = sim.core(0).fleet().documents();
    let kept: usize = ledger.newest_first().map(|kept| kept.text.len()).sum();
    assert!(kept < 500_000, "{kept} bytes of text are kept");
    let sources = ledger.newest_first().filter(|kept| !kept.source.is_empty());
    assert_eq!(sources.count(), 1);
    let log = sim.core(0).log();
    let tail = log.last_index().0 - log.snapshot_index().0;
    assert!(tail < 100, "{tail} entries are kept");
}

#[test]
fn an_order_on_a_data_centre_moves_its_primary_and_comes_back() {
    let mut sim = Simulation::new(3, 0, 1);
    for database in &mut sim.databases {
        database.data_centre = match database.name.as_str() {
            "bookings-0" => "khomas-1",
            _ => "khomas-2",
        };
    }
    let first = sim.submit("change-1", 0, 0);
    sim.advance_until("the fleet is up", |sim| {
        sim.answer(first).is_some() && sim.primary(0).is_some()
    });
    assert_eq!(sim.primary(0).as_deref(), Some("bookings-0"));
    assert!(!evacuate(&mut sim, "windhoek-9", true), "it is not known");
    for _ in 0..2 {
        assert!(evacuate(&mut sim, "khomas-1", true));
    }
    let leader = sim.leader().expect("a leader");
    let view = sim.core(leader).fleet().view().clone();
    assert_eq!(view.evacuated.len(), 1);
    sim.advance_until("the primary has moved", |sim| {
        sim.primary(0)
            .is_some_and(|primary| primary != "bookings-0")
    });
    sim.stop(leader);
    sim.advance_until("another leads", |sim| sim.leader().is_some());
    let view = sim.core(sim.leader().expect("a leader")).fleet().view();
    assert_eq!(view.evacuated.len(), 1, "it outlives the leader");
    for _ in 0..2 {
        assert!(evacuate(&mut sim, "khomas-1", false));
    }
    sim.advance_until("the entry knows", |sim| {
        sim.entries[0].view.evacuated.is_empty()
    });
}

#[test]
fn a_new_group_keeps_the_primary_that_it_has_and_nobody_holds_its_databases() {
    let mut sim = direct_sim();
    sim.databases[0].state.promised.0 = 3;
    sim.advance_until("the primary is known", |sim| active(sim).is_some());
    assert_eq!(active(&sim).expect("active").as_str(), "bookings-0");
    let leader = sim.leader().expect("a leader");
    let group = sim.core(leader).fleet().view().groups[GROUP].clone();
    assert!(matches!(group.primary, PrimaryState::Active(_)));
    assert_eq!(sim.promotions, 0, "nobody was promoted");
    sim.advance(3_000);
    let upstreams = &sim.entries[0].view.upstreams;
    assert_eq!(upstreams.len(), 3);
    assert!(upstreams.values().all(|upstream| upstream.holder.is_none()));
}

#[test]
fn announcements_change_nothing_when_they_are_late() {
    let mut sim = direct_sim();
    sim.advance_until("the primary is known", |sim| active(sim).is_some());
    announce(&mut sim, 1, |report| {
        (report.sequence, report.leaving) = (5, true)
    });
    assert!(upstream(&sim, "bookings-1").expect("known").leaving);
    announce(&mut sim, 1, |report| report.sequence = 4);
    assert!(upstream(&sim, "bookings-1").expect("known").leaving);
    announce(&mut sim, 1, |report| {
        (report.sequence, report.born_ms) = (9, 900)
    });
    let known = upstream(&sim, "bookings-1").expect("known");
    assert_eq!((known.born_ms, known.leaving), (1_000, true));
    announce(&mut sim, 1, |report| {
        (report.sequence, report.born_ms) = (1, 2_000)
    });
    let known = upstream(&sim, "bookings-1").expect("known");
    assert_eq!((known.born_ms, known.leaving), (2_000, false), "it is back");
    let before = sim.core(sim.leader().expect("a leader")).log().commit();
    for sequence in 2..5 {
        announce(&mut sim, 1, |report| {
            (report.sequence, report.born_ms) = (sequence, 2_000)
        });
    }
    let after = sim.core(sim.leader().expect("a leader")).log().commit();
    assert_eq!(before, after, "a repeat is not written");
}

#[test_case(|report| report.sequence = u64::MAX; "sequence")]
#[test_case(|report| report.born_ms = u64::MAX; "start time")]
#[test_case(|report| report.address = "127.0.0.1:0".to_owned(); "port zero")]
#[test_case(|report| report.address = "127.0.0.1:70000".to_owned(); "port out of range")]
fn an_announcement_out_of_range_does_not_hide_later_ones(odd: fn(&mut UpstreamReport)) {
    let mut sim = direct_sim();
    sim.advance_until("the primary is known", |sim| active(sim).is_some());
    let address = upstream(&sim, "bookings-1").expect("known").address;
    announce(&mut sim, 1, odd);
    let known = upstream(&sim, "bookings-1").expect("still known");
    assert_eq!((known.address, known.born_ms), (address, 1_000));
    announce(&mut sim, 1, |report| {
        (report.sequence, report.leaving) = (5, true)
    });
    assert!(upstream(&sim, "bookings-1").expect("known").leaving);
}

#[test]
fn a_resend_is_answered_no_sooner_than_what_it_repeats() {
    let mut sim = direct_sim();
    sim.advance_until("the primary is known", |sim| active(sim).is_some());
    let leader = sim.leader().expect("a leader");
    for member in (0..3).filter(|member| *member != leader) {
        sim.disconnected_members.insert(member);
    }
    let mut report = report(&sim.databases[1]);
    report.address = "127.0.0.1:5001".to_owned();
    (report.born_ms, report.sequence, report.leaving) = (1_000, 6, true);
    let announce = Body::Announce(AnnounceRequest {
        report: Some(report),
        gone: false,
    });
    for _ in 0..3 {
        let answer = sim.request(leader, announce.clone(), 20);
        assert_eq!(answer, None, "nothing of it is durable");
    }
    sim.disconnected_members.clear();
    let answer = sim.order(announce);
    assert!(matches!(answer, Body::Announced(_)), "{answer:?}");
    assert!(upstream(&sim, "bookings-1").expect("known").leaving);
}

#[test]
fn a_word_of_another_group_or_of_nobody_changes_nothing() {
    let mut sim = direct_sim();
    sim.advance_until("the primary is known", |sim| active(sim).is_some());
    announce(&mut sim, 1, |report| {
        (report.group, report.sequence) = ("nobody-db".to_owned(), 8);
    });
    assert_eq!(
        upstream(&sim, "bookings-1").expect("known").group.as_str(),
        GROUP
    );
    announce(&mut sim, 1, |report| {
        (report.upstream, report.group) = ("stray-1".to_owned(), "nobody-db".to_owned());
    });
    announce(&mut sim, 1, |report| {
        report.upstream = "Not A Name".to_owned()
    });
    sim.advance(500);
    assert!(upstream(&sim, "stray-1").is_none());
}

#[test]
fn a_reused_address_belongs_to_the_newest() {
    let mut sim = direct_sim();
    sim.advance_until("the primary is known", |sim| active(sim).is_some());
    announce(&mut sim, 2, |report| {
        (report.upstream, report.born_ms) = ("early-9".to_owned(), 900);
    });
    assert!(upstream(&sim, "early-9").is_none(), "it was there before");
    assert!(!upstream(&sim, "bookings-2").expect("known").leaving);
    announce(&mut sim, 2, |report| {
        (report.upstream, report.born_ms) = ("late-9".to_owned(), 3_000);
    });
    assert!(upstream(&sim, "late-9").is_some());
    let former = upstream(&sim, "bookings-2");
    assert!(former.is_none_or(|former| former.leaving), "it is gone");
}

#[test]
fn a_database_that_is_gone_stays_gone_until_it_starts_again() {
    let mut sim = direct_sim();
    sim.advance_until("the primary is known", |sim| active(sim).is_some());
    leave(&mut sim, 2);
    announce(&mut sim, 2, |report| report.sequence = 70);
    let known = upstream(&sim, "bookings-2");
    assert!(known.is_none_or(|known| known.leaving));
    announce(&mut sim, 2, |report| report.born_ms = 5_000);
    assert!(!upstream(&sim, "bookings-2").expect("known").leaving);
}
