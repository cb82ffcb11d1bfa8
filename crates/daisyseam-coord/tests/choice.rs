//! Tests the record of the database that is chosen as the next primary.

use daisyseam_coord::fleet::{
    ChooseCommand,
    ChosenPrimary,
    CommandOutcome,
    FleetCommand,
    FleetState,
    GroupCommand,
    RefusalReason, //
};
use daisyseam_model::{
    GroupId,
    LogPosition,
    Position,
    PrimaryState,
    Term, //
};

const REFUSED: CommandOutcome = CommandOutcome::Refused(RefusalReason::Superseded);

fn group() -> GroupId {
    "bookings-db".parse().unwrap()
}

fn chosen(name: &str) -> ChosenPrimary {
    ChosenPrimary {
        upstream: name.parse().unwrap(),
        end: LogPosition {
            term: Term(3),
            position: Position(70),
        },
    }
}

/// Applies a command as it is read from the log.
fn apply(state: &mut FleetState, command: &FleetCommand) -> CommandOutcome {
    let read = FleetCommand::decode(&command.encode()).expect("a command");
    assert_eq!(read, *command);
    state.apply(&read)
}

fn choose(state: &mut FleetState, term: u64, chosen: Option<ChosenPrimary>) -> CommandOutcome {
    let command = ChooseCommand {
        group: group(),
        term: Term(term),
        chosen,
    };
    apply(state, &FleetCommand::Choose(command))
}

fn change(state: &mut FleetState, expected: u64, term: u64, primary: PrimaryState) {
    let command = GroupCommand {
        group: group(),
        expected: Term(expected),
        term: Term(term),
        primary,
        lineage_start: LogPosition::default(),
    };
    let outcome = apply(state, &FleetCommand::Group(command));
    assert_eq!(outcome, CommandOutcome::Done);
}

fn fenced() -> FleetState {
    let mut state = FleetState::default();
    let first = PrimaryState::Active("db-0".parse().unwrap());
    change(&mut state, 0, 3, first);
    change(&mut state, 3, 4, PrimaryState::Fenced);
    state
}

#[test]
fn a_choice_stays_until_it_is_withdrawn() {
    let mut state = fenced();
    assert_eq!(
        choose(&mut state, 4, Some(chosen("db-1"))),
        CommandOutcome::Done
    );
    assert_eq!(choose(&mut state, 4, Some(chosen("db-2"))), REFUSED);
    change(&mut state, 4, 5, PrimaryState::Fenced);
    assert_eq!(state.chosen_primary(&group()), Some(&chosen("db-1")));
    assert_eq!(choose(&mut state, 4, None), REFUSED, "of an earlier term");
    assert_eq!(choose(&mut state, 5, None), CommandOutcome::Done);
    assert_eq!(
        choose(&mut state, 5, Some(chosen("db-2"))),
        CommandOutcome::Done
    );
}

#[test]
fn an_active_primary_ends_a_choice_and_admits_none() {
    let mut state = fenced();
    choose(&mut state, 4, Some(chosen("db-1")));
    change(
        &mut state,
        4,
        4,
        PrimaryState::Active("db-1".parse().unwrap()),
    );
    assert_eq!(state.chosen_primary(&group()), None);
    assert_eq!(choose(&mut state, 4, Some(chosen("db-2"))), REFUSED);
}

#[test]
fn a_snapshot_keeps_a_choice_and_reads_one_from_before_choices() {
    let mut state = fenced();
    let before = state.encode();
    let view = state.view().number;
    choose(&mut state, 4, Some(chosen("db-1")));
    assert_eq!(state.view().number, view, "entries need not hear of it");
    let restored = FleetState::decode(&state.encode()).expect("a snapshot");
    assert_eq!(restored.chosen_primary(&group()), Some(&chosen("db-1")));
    choose(&mut state, 4, None);
    assert_eq!(state.encode(), before, "no choice adds no bytes");
    let restored = FleetState::decode(&before).expect("a snapshot");
    assert_eq!(restored.chosen_primary(&group()), None);
}

#[test]
fn a_snapshot_keeps_the_former_primary_until_there_is_another() {
    let state = fenced();
    let former = state.former_primary(&group()).cloned();
    assert!(former.is_some());
    let mut restored = FleetState::decode(&state.encode()).expect("a snapshot");
    assert_eq!(restored.former_primary(&group()), former.as_ref());
    change(
        &mut restored,
        4,
        4,
        PrimaryState::Active("db-1".parse().unwrap()),
    );
    assert_eq!(restored.former_primary(&group()), None);
}
