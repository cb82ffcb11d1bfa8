//! Leases on views under clock drift up to the bound, delayed and duplicated messages, and changes
//! of leader.

use daisyseam_coord::{
    Moment,
    view_lease::{
        LeaseClaim,
        LeaseRefusal,
        LeaseSettings,
        LeaseTable, //
    }, //
};
use daisyseam_model::{
    Incarnation,
    InstanceId,
    ViewNumber, //
};
use proptest::prelude::*;
use std::time::Duration;

const INSTANCES: usize = 3;

#[derive(Clone, Copy, Debug)]
enum Event {
    Advance(u64),
    Heartbeat(usize),
    /// Delivers a message; with the flag set, the message also stays in flight and may be delivered
    /// again.
    Deliver(usize, bool),
    Drop(usize),
    /// An instance confirms the view it holds; it has ended all work under earlier views.
    Confirm(usize),
    NewView,
    /// Another member, with another clock, becomes the leader.
    ChangeLeader(usize),
}

fn events() -> impl Strategy<Value = Event> {
    prop_oneof![
        10 => (1_u64..400).prop_map(Event::Advance),
        10 => (0..INSTANCES).prop_map(Event::Heartbeat),
        20 => (any::<usize>(), prop::bool::weighted(0.1)).prop_map(|(m, stays)| Event::Deliver(m, stays)),
        2 => any::<usize>().prop_map(Event::Drop),
        8 => (0..INSTANCES).prop_map(Event::Confirm),
        4 => Just(Event::NewView),
        1 => (0..INSTANCES).prop_map(Event::ChangeLeader),
    ]
}

#[derive(Clone, Copy, Debug)]
enum Message {
    /// Instance, the view it reports, and the time of sending on its own clock.
    Heartbeat(usize, ViewNumber, Moment),
    /// Instance, newest view, the time at which the heartbeat was sent, and the lease duration.
    Reply(usize, ViewNumber, Moment, Duration),
}

#[derive(Clone, Debug)]
struct Instance {
    name: InstanceId,
    held: ViewNumber,
    confirmed: ViewNumber,
    until: Moment,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_instance_acts_on_an_old_view_after_a_completed_change(
        // Parts per 100,000: any two of these rates differ by at most 5 in 100.
        rates in prop::collection::vec(100_000_u64..=105_000, INSTANCES),
        clocks in prop::collection::vec(100_000_u64..=105_000, INSTANCES),
        script in prop::collection::vec(events(), 1..300),
    ) {
        let settings = LeaseSettings::default();
        let local = |now: u64, rate: u64| {
            Moment::after_origin(Duration::from_micros(now * rate / 100))
        };
        let mut now = 0_u64;
        let mut leader = 0;
        let mut newest = ViewNumber(1);
        let mut table = LeaseTable::new(settings, local(now, clocks[leader]));
        let mut messages: Vec<Message> = Vec::new();
        let instance = |number: usize| Instance {
            name: InstanceId::new(&format!("entry-{number}")).expect("a valid name"),
            held: ViewNumber(0),
            confirmed: ViewNumber(0),
            until: Moment::ORIGIN,
        };
        let mut instances: Vec<Instance> = (0..INSTANCES).map(instance).collect();
        for event in script {
            match event {
                Event::Advance(millis) => now += millis,
                Event::Heartbeat(number) => {
                    let reported = instances[number].confirmed;
                    messages.push(Message::Heartbeat(number, reported, local(now, rates[number])));
                }
                Event::Drop(message) if !messages.is_empty() => {
                    messages.swap_remove(message % messages.len());
                }
                Event::Deliver(message, stays) if !messages.is_empty() => {
                    let index = message % messages.len();
                    let message = messages[index];
                    if !stays {
                        messages.swap_remove(index);
                    }
                    match message {
                        Message::Heartbeat(number, view, sent) => {
                            let claim = LeaseClaim {
                                instance: &instances[number].name,
                                incarnation: Incarnation(number as u64 + 1),
                                view,
                            };
                            let granted = table.grant(local(now, clocks[leader]), claim, newest);
                            if let Ok(lease) = granted {
                                messages.push(Message::Reply(number, newest, sent, lease));
                            }
                        }
                        Message::Reply(number, view, sent, lease) => {
                            let instance = &mut instances[number];
                            instance.held = instance.held.max(view);
                            instance.until = instance.until.max(sent + lease);
                        }
                    }
                }
                Event::Confirm(number) => instances[number].confirmed = instances[number].held,
                Event::NewView => newest = ViewNumber(newest.0 + 1),
                Event::ChangeLeader(next) => {
                    leader = next;
                    table = LeaseTable::new(settings, local(now, clocks[leader]));
                }
                Event::Drop(_) | Event::Deliver(..) => {}
            }
            for (instance, rate) in instances.iter().zip(&rates) {
                let acts = local(now, *rate) < instance.until;
                let finished = |view| table.is_change_complete(local(now, clocks[leader]), view);
                let next = ViewNumber(instance.confirmed.0 + 1);
                prop_assert!(!(acts && finished(next)), "{instance:?} acts on a view before {next:?}");
            }
        }
    }
}

#[test]
fn an_instance_that_does_not_confirm_is_refused_a_lease_eventually() {
    let settings = LeaseSettings::default();
    let mut table = LeaseTable::new(settings, Moment::ORIGIN);
    let name = InstanceId::new("entry-1").expect("a valid name");
    let claim = LeaseClaim {
        instance: &name,
        incarnation: Incarnation(1),
        view: ViewNumber(1),
    };
    let first = table.grant(Moment::ORIGIN, claim, ViewNumber(2));
    assert_eq!(first, Ok(settings.duration));
    let late = Moment::ORIGIN + settings.lag_max + Duration::from_millis(1);
    assert_eq!(
        table.grant(late, claim, ViewNumber(3)),
        Err(LeaseRefusal::Lagging)
    );
    let claim = LeaseClaim {
        view: ViewNumber(3),
        ..claim
    };
    assert_eq!(
        table.grant(late, claim, ViewNumber(3)),
        Ok(settings.duration)
    );
}

#[test]
fn an_incarnation_that_was_just_assigned_is_not_silent() {
    let mut table = LeaseTable::new(LeaseSettings::default(), Moment::ORIGIN);
    let entry = InstanceId::new("entry-1").expect("a valid name");
    let now = Moment::from_millis(60_000);
    table.register(now, &entry, Incarnation(7));
    let later = Moment::from_millis(60_100);
    assert_eq!(
        table.silence(later, Incarnation(7)),
        Duration::from_millis(100)
    );
    assert!(
        !table.may_hold(later, Incarnation(7)),
        "it has no lease yet"
    );
    assert!(
        table.is_change_complete(later, ViewNumber(9)),
        "it acts on no view"
    );
}
