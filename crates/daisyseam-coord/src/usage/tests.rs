//! The clock, and the decisions on windows under crashes, resends, leader changes and lost answers.

use super::{
    CountingProcess,
    InstanceReport,
    ReportOutcome,
    UsageLedger,
    UsageSettings,
    UsageStep,
    WindowClock, //
};
use crate::{
    Moment,
    fleet::{
        CloseUsageCommand,
        CommandOutcome,
        FleetCommand,
        FleetState,
        PENDING_WINDOWS_MAX,
        RefusalReason,
        UsageCounts, //
    }, //
};
use daisyseam_model::Incarnation;
use proptest::prelude::*;
use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

const WINDOW: Duration = Duration::from_secs(5);
/// Start of a window.
const START_UNIX_MS: u64 = 353_445_120 * 5_000;
const SETTINGS: UsageSettings = UsageSettings {
    window: WINDOW,
    delay: Duration::from_secs(10),
    holder_change_wait: Duration::from_secs(3),
};

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Sends the time stamps of clocks that are ahead by the given numbers of milliseconds.
fn send_times(clock: &mut WindowClock, now_ms: u64, errors_ms: &[i64]) {
    for (number, error_ms) in errors_ms.iter().enumerate() {
        let unix_ms = (START_UNIX_MS + now_ms).saturating_add_signed(*error_ms);
        clock.record(at(now_ms), Incarnation(number as u64), unix_ms);
    }
}

/// Guards against a minority of wrong clocks shifting the windows.
#[test]
fn a_minority_of_wrong_clocks_does_not_move_the_estimate() {
    let mut clock = WindowClock::new(WINDOW);
    let errors = [-600_000, 3, 600_000, -2, 0, 1, 600_000];
    send_times(&mut clock, 1_000, &errors);
    clock.tick(at(1_000), errors.len());
    let (window, left) = clock.current(at(1_000)).expect("most clocks are known");
    assert_eq!(window, 353_445_120);
    assert!(left.abs_diff(Duration::from_secs(4)) <= Duration::from_millis(3));
}

/// Guards against an estimate from the first few clocks, which may be the wrong ones.
#[test]
fn the_first_estimate_waits_for_most_clocks_or_a_while() {
    let mut clock = WindowClock::new(WINDOW);
    send_times(&mut clock, 0, &[60_000, 0]);
    clock.tick(at(10), 5);
    assert_eq!(clock.window(), None);
    clock.tick(at(2_000), 5);
    assert!(clock.window().is_some());
}

/// Guards against requests that move to another window when clocks jump, and against windows that
/// occur twice.
#[test]
fn the_estimate_changes_between_windows_only_and_never_goes_back() {
    let mut clock = WindowClock::new(WINDOW);
    send_times(&mut clock, 0, &[0, 0, 0]);
    clock.tick(at(0), 3);
    for now_ms in [1_000, 2_000, 4_900] {
        send_times(&mut clock, now_ms, &[-3_000, -3_000, -3_000]);
        clock.tick(at(now_ms), 3);
        let left = Duration::from_millis(5_000 - now_ms);
        assert_eq!(clock.current(at(now_ms)), Some((353_445_120, left)));
    }
    clock.tick(at(5_000), 3);
    let (window, left) = clock.current(at(5_000)).expect("an estimate");
    assert_eq!(window, 353_445_121);
    assert_eq!(
        left,
        Duration::from_secs(8),
        "it ends when true time says so"
    );
}

/// Guards against a leader that stands still for a while and then numbers windows wrongly.
#[test]
fn windows_that_passed_while_the_leader_stood_still_are_skipped() {
    let mut clock = WindowClock::new(WINDOW);
    send_times(&mut clock, 0, &[0]);
    clock.tick(at(0), 1);
    clock.tick(at(21_000), 1);
    assert_eq!(
        clock.current(at(21_000)),
        Some((353_445_124, Duration::from_secs(4)))
    );
}

/// A model of control: the log is a state that commands are applied to in one order; commands may
/// be lost with the leader that proposed them.
struct Model {
    now_ms: u64,
    term: u64,
    leader: usize,
    ledger: UsageLedger,
    state: FleetState,
    /// Commands that are not committed yet.
    proposed: Vec<FleetCommand>,
    /// The report in progress.
    sending: Option<u64>,
    /// Counts of two instances by window.
    counted: [BTreeMap<u64, u64>; 2],
    sequence: u64,
    /// Every report that reached the receiver: time, holder, token, window and content.
    received: Vec<(u64, usize, u64, u64, UsageCounts)>,
}

#[derive(Clone, Debug)]
enum Event {
    /// Time passes.
    Wait(u64),
    /// An instance counts requests.
    Count(usize, u64),
    /// An instance reports all its windows; those that have ended as final if the flag is set.
    Report(usize, bool),
    /// The first of the proposed commands are committed, up to a number.
    Commit(usize),
    /// The report in progress ends.
    Answer(ReportOutcome),
    /// Another member leads; the proposed commands are committed if the flag is set.
    Lead(usize, bool),
    /// The state is restored from its snapshot.
    Restore,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let outcome = prop_oneof![
        Just(ReportOutcome::Accepted),
        Just(ReportOutcome::Failed),
        Just(ReportOutcome::Deferred),
    ];
    let event = prop_oneof![
        6 => (1..3_000_u64).prop_map(Event::Wait),
        4 => (0..2_usize, 1..50_u64).prop_map(|(from, count)| Event::Count(from, count)),
        6 => (0..2_usize, any::<bool>()).prop_map(|(from, last)| Event::Report(from, last)),
        4 => (1..4_usize).prop_map(Event::Commit),
        4 => outcome.prop_map(Event::Answer),
        2 => (0..3_usize, any::<bool>()).prop_map(|(leader, kept)| Event::Lead(leader, kept)),
        1 => Just(Event::Restore),
    ];
    prop::collection::vec(event, 1..200)
}

impl Model {
    fn new() -> Self {
        Self {
            now_ms: 0,
            term: 1,
            leader: 0,
            ledger: UsageLedger::new(SETTINGS, at(0)),
            state: FleetState::default(),
            proposed: Vec::new(),
            sending: None,
            counted: Default::default(),
            sequence: 0,
            received: Vec::new(),
        }
    }

    fn window(&self) -> u64 {
        (START_UNIX_MS + self.now_ms) / 5_000
    }

    fn run(&mut self, event: &Event) {
        match event {
            Event::Wait(millis) => self.now_ms += millis,
            Event::Count(from, count) => {
                *self.counted[*from].entry(self.window()).or_default() += count;
            }
            Event::Report(from, last) => self.report(*from, *last),
            Event::Commit(count) => self.commit(*count),
            Event::Answer(outcome) => {
                if let Some(window) = self.sending.take()
                    && self
                        .ledger
                        .handle_outcome(at(self.now_ms), window, *outcome)
                {
                    self.proposed.push(FleetCommand::AcknowledgeUsage(window));
                }
            }
            Event::Lead(leader, kept) => {
                if *kept {
                    self.commit(usize::MAX);
                }
                self.proposed.clear();
                self.sending = None;
                self.term += 1;
                self.leader = *leader;
                self.ledger = UsageLedger::new(SETTINGS, at(self.now_ms));
            }
            Event::Restore => {
                let restored = FleetState::decode(&self.state.encode()).expect("a snapshot");
                assert_eq!(restored.usage(), self.state.usage());
                self.state = restored;
            }
        }
        self.step();
    }

    fn report(&mut self, from: usize, last: bool) {
        let current = self.window();
        let incarnation = Incarnation(from as u64);
        self.sequence += 1;
        let unix_ms = START_UNIX_MS + self.now_ms;
        self.ledger
            .record_time(at(self.now_ms), incarnation, unix_ms);
        let reports = self.counted[from]
            .iter()
            .map(|(window, count)| InstanceReport {
                window: *window,
                is_final: last && *window < current,
                counts: vec![(format!("org-{from}").parse().expect("a name"), *count)],
            });
        let process = CountingProcess {
            instance: format!("entry-{from}").parse().expect("a name"),
            born_ms: 1,
        };
        let from = (incarnation, self.sequence);
        self.ledger
            .record(self.state.usage(), process, from, reports);
    }

    fn commit(&mut self, count: usize) {
        let count = count.min(self.proposed.len());
        for command in self.proposed.drain(..count) {
            let command = FleetCommand::decode(&command.encode()).expect("a command");
            self.state.apply(&command);
        }
    }

    fn step(&mut self) {
        let live = BTreeSet::from([Incarnation(0), Incarnation(1)]);
        let steps = self.ledger.step(at(self.now_ms), self.state.usage(), &live);
        for step in steps {
            match step {
                UsageStep::Close { command, .. } => {
                    self.proposed.push(FleetCommand::CloseUsage(command));
                }
                UsageStep::Acknowledge(window) => {
                    self.proposed.push(FleetCommand::AcknowledgeUsage(window));
                }
                UsageStep::Send { window, counts } => {
                    assert!(self.sending.is_none(), "two reports at once");
                    self.sending = Some(window);
                    let report = (
                        self.now_ms,
                        self.leader,
                        self.term,
                        window,
                        (*counts).clone(),
                    );
                    self.received.push(report);
                }
            }
        }
    }

    fn check(&self) {
        let mut contents = BTreeMap::new();
        for (_, _, _, window, counts) in &self.received {
            let first = contents.entry(window).or_insert(counts);
            assert_eq!(*first, counts, "window {window} was sent with two contents");
        }
        let tokens = self.received.iter().map(|report| report.2);
        assert!(tokens.is_sorted(), "a token decreased");
        for (index, (sent_at, holder, ..)) in self.received.iter().enumerate() {
            let wait_ms = SETTINGS.holder_change_wait.as_millis() as u64;
            let later = self.received[index..].iter();
            let mut later = later.take_while(|(at, ..)| *at < sent_at + wait_ms);
            let changed = later.any(|(_, other, ..)| other != holder);
            assert!(
                !changed || later.all(|(_, other, ..)| other != holder),
                "the holder changed and came back in {wait_ms} ms"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against two different reports of a window, decreasing tokens and a holder that comes
    /// back within the holder's lease, under crashes, resends, leader changes and lost answers.
    #[test]
    fn no_window_is_sent_with_two_contents(events in events()) {
        let mut model = Model::new();
        for event in &events {
            model.run(event);
        }
        model.check();
    }
}

/// Guards against windows that are never sent, and against lost counts, when nothing fails.
#[test]
fn every_window_is_sent_once_with_the_counts_of_all_instances() {
    let mut model = Model::new();
    for _ in 0..300 {
        let events = [
            Event::Count(0, 2),
            Event::Count(1, 3),
            Event::Report(0, true),
            Event::Report(1, true),
            Event::Commit(usize::MAX),
            Event::Answer(ReportOutcome::Accepted),
            Event::Wait(100),
        ];
        for event in &events {
            model.run(event);
        }
    }
    model.check();
    let windows: Vec<u64> = model.received.iter().map(|report| report.3).collect();
    let first = START_UNIX_MS / 5_000;
    assert_eq!(windows, (first..first + 5).collect::<Vec<_>>());
    for (.., counts) in &model.received {
        let counts: Vec<u64> = counts.values().copied().collect();
        assert_eq!(counts, [100, 150]);
    }
}

fn close(window: u64, count: u64) -> FleetCommand {
    FleetCommand::CloseUsage(CloseUsageCommand {
        window,
        counts: UsageCounts::from([("org-1".parse().expect("a name"), count)]),
    })
}

/// Guards against a second decision on a window, for example of a command that was proposed again.
#[test]
fn a_window_is_decided_once() {
    let mut state = FleetState::default();
    assert_eq!(state.apply(&close(7, 1)), CommandOutcome::Done);
    let decided = state.usage().clone();
    let refused = CommandOutcome::Refused(RefusalReason::Superseded);
    assert_eq!(state.apply(&close(7, 2)), refused);
    assert_eq!(state.apply(&close(6, 2)), refused);
    assert_eq!(*state.usage(), decided);
    assert_eq!(
        state.apply(&FleetCommand::AcknowledgeUsage(7)),
        CommandOutcome::Done
    );
    assert_eq!(state.apply(&close(7, 2)), refused);
    assert!(state.usage().pending().is_empty());
}

/// Guards against a state that grows while the receiver is down.
#[test]
fn windows_that_wait_for_long_are_dropped() {
    let mut state = FleetState::default();
    let windows = PENDING_WINDOWS_MAX as u64 + 5;
    for window in 1..=windows {
        state.apply(&close(window, 1));
    }
    let waiting: Vec<u64> = state.usage().pending().keys().copied().collect();
    assert_eq!(waiting, (6..=windows).collect::<Vec<_>>());
    let dropped = state.usage().recent().filter(|window| !window.acknowledged);
    assert_eq!(dropped.count(), 5);
}
