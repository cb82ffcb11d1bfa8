//! Leases on views with clocks that drift up to the bound, late and doubled messages, and leaders
//! that come and go.

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
    Pass(u64),
    Beat(usize),
    /// A message arrives; with the flag it stays on the way as well.
    Arrive(usize, bool),
    Lose(usize),
    /// What an instance still did under earlier views ends.
    Confirm(usize),
    Change,
    /// Another member leads, with another clock.
    Lead(usize),
}

fn events() -> impl Strategy<Value = Event> {
    prop_oneof![
        10 => (1_u64..400).prop_map(Event::Pass),
        10 => (0..INSTANCES).prop_map(Event::Beat),
        20 => (any::<usize>(), prop::bool::weighted(0.1)).prop_map(|(m, stays)| Event::Arrive(m, stays)),
        2 => any::<usize>().prop_map(Event::Lose),
        8 => (0..INSTANCES).prop_map(Event::Confirm),
        4 => Just(Event::Change),
        1 => (0..INSTANCES).prop_map(Event::Lead),
    ]
}

#[derive(Clone, Copy, Debug)]
enum Envelope {
    /// Instance, the view it names, when it was sent by its own clock.
    Heartbeat(usize, ViewNumber, Moment),
    /// Instance, newest view, when the heartbeat was sent, how long the lease holds.
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
    fn a_finished_change_is_acted_against_by_nobody(
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
        let mut table = LeaseTable::begin(settings, local(now, clocks[leader]));
        let mut envelopes: Vec<Envelope> = Vec::new();
        let instance = |number: usize| Instance {
            name: InstanceId::new(&format!("entry-{number}")).expect("a sound name"),
            held: ViewNumber(0),
            confirmed: ViewNumber(0),
            until: Moment::ORIGIN,
        };
        let mut instances: Vec<Instance> = (0..INSTANCES).map(instance).collect();
        for event in script {
            match event {
                Event::Pass(millis) => now += millis,
                Event::Beat(number) => {
                    let named = instances[number].confirmed;
                    envelopes.push(Envelope::Heartbeat(number, named, local(now, rates[number])));
                }
                Event::Lose(envelope) if !envelopes.is_empty() => {
                    envelopes.swap_remove(envelope % envelopes.len());
                }
                Event::Arrive(envelope, stays) if !envelopes.is_empty() => {
                    let index = envelope % envelopes.len();
                    let envelope = envelopes[index];
                    if !stays {
                        envelopes.swap_remove(index);
                    }
                    match envelope {
                        Envelope::Heartbeat(number, view, sent) => {
                            let claim = LeaseClaim {
                                instance: &instances[number].name,
                                incarnation: Incarnation(number as u64 + 1),
                                view,
                            };
                            let granted = table.grant(local(now, clocks[leader]), claim, newest);
                            if let Ok(lease) = granted {
                                envelopes.push(Envelope::Reply(number, newest, sent, lease));
                            }
                        }
                        Envelope::Reply(number, view, sent, lease) => {
                            let instance = &mut instances[number];
                            instance.held = instance.held.max(view);
                            instance.until = instance.until.max(sent + lease);
                        }
                    }
                }
                Event::Confirm(number) => instances[number].confirmed = instances[number].held,
                Event::Change => newest = ViewNumber(newest.0 + 1),
                Event::Lead(next) => {
                    leader = next;
                    table = LeaseTable::begin(settings, local(now, clocks[leader]));
                }
                Event::Lose(_) | Event::Arrive(..) => {}
            }
            for (instance, rate) in instances.iter().zip(&rates) {
                let acts = local(now, *rate) < instance.until;
                let finished = |view| table.is_finished(local(now, clocks[leader]), view);
                let next = ViewNumber(instance.confirmed.0 + 1);
                prop_assert!(!(acts && finished(next)), "{instance:?} acts against view {next:?}");
            }
        }
    }
}

#[test]
fn an_instance_that_never_confirms_gets_no_lease_in_the_end() {
    let settings = LeaseSettings::default();
    let mut table = LeaseTable::begin(settings, Moment::ORIGIN);
    let name = InstanceId::new("entry-1").expect("a sound name");
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
fn an_incarnation_that_was_just_given_is_not_silent() {
    let mut table = LeaseTable::begin(LeaseSettings::default(), Moment::ORIGIN);
    let entry = InstanceId::new("entry-1").expect("a sound name");
    let now = Moment::from_millis(60_000);
    table.admit(now, &entry, Incarnation(7));
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
        table.is_finished(later, ViewNumber(9)),
        "it acts on no view"
    );
}
