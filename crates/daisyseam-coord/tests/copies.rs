//! Tests the record of how many databases have each acknowledged commit of a group.

use daisyseam_coord::fleet::{
    CaughtUpCommand,
    CommandOutcome,
    CopiesCommand,
    FleetCommand,
    FleetState,
    GroupCommand,
    RefusalReason,
    SubmitNewestCommand,
    UpstreamCommand,
    VoterCommand, //
};
use daisyseam_model::{
    DocumentNumber,
    GroupId,
    LogPosition,
    PrimaryState,
    Term,
    UpstreamId,
    ViewNumber, //
};

const SUPERSEDED: CommandOutcome = CommandOutcome::Refused(RefusalReason::Superseded);

fn group() -> GroupId {
    "bookings-db".parse().unwrap()
}

/// Applies a command as it is read from the log.
fn apply(state: &mut FleetState, command: &FleetCommand) -> CommandOutcome {
    let read = FleetCommand::decode(&command.encode()).expect("a command");
    assert_eq!(read, *command);
    state.apply(&read)
}

fn submit(state: &mut FleetState, number: u64, replicas: usize) {
    let text = format!(
        "number = {number}\ncluster = \"shellrest\"\n\n\
         [[region]]\nname = \"khomas\"\n\n\
         [[data_centre]]\nname = \"khomas-1\"\nregion = \"khomas\"\n\n\
         [[group]]\nname = \"bookings-db\"\nacknowledging_replicas = {replicas}\nslots = 5\n\n\
         [[service]]\nname = \"bookings\"\ngroup = \"bookings-db\"\n"
    );
    let command = SubmitNewestCommand {
        number: DocumentNumber(number),
        text,
        source: String::new(),
        operator: "amalia".to_owned(),
        accepted_unix_ms: 0,
    };
    apply(state, &FleetCommand::SubmitNewest(command));
    let document = state.view().document.as_ref().expect("a sound document");
    assert!(document.groups.contains_key(&group()));
}

fn found(state: &mut FleetState) {
    let command = GroupCommand {
        group: group(),
        expected: Term(0),
        term: Term(1),
        primary: PrimaryState::Active("copy-0".parse().unwrap()),
        lineage_start: LogPosition::default(),
    };
    assert_eq!(
        apply(state, &FleetCommand::Group(command)),
        CommandOutcome::Done
    );
}

fn list(state: &mut FleetState, number: u16, born_ms: u64) {
    let address = format!("127.0.0.1:{}", 6_000 + number).parse().unwrap();
    let command = UpstreamCommand {
        upstream: format!("copy-{number}").parse().unwrap(),
        group: group(),
        data_centre: "khomas-1".parse().unwrap(),
        address,
        admin_address: address,
        leaving: false,
        born_ms,
    };
    assert_eq!(
        apply(state, &FleetCommand::Upstream(command)),
        CommandOutcome::Done
    );
}

fn catch_up(state: &mut FleetState, number: u16, born_ms: u64) {
    let command = CaughtUpCommand {
        upstream: format!("copy-{number}").parse().unwrap(),
        born_ms,
    };
    assert_eq!(
        apply(state, &FleetCommand::CaughtUp(command)),
        CommandOutcome::Done
    );
}

fn record(state: &mut FleetState, copies: usize, since: ViewNumber) -> CommandOutcome {
    let command = CopiesCommand {
        group: group(),
        copies,
        since,
    };
    apply(state, &FleetCommand::Copies(command))
}

/// Returns the recorded number, and the view that raises of it have to name.
fn known(state: &FleetState) -> (usize, ViewNumber) {
    let restored = FleetState::decode(&state.encode()).expect("a snapshot");
    let guarantee = state.guaranteed_copies(&group());
    assert_eq!(restored.guaranteed_copies(&group()), guarantee);
    let guarantee = guarantee.expect("a record");
    (guarantee.copies, guarantee.since)
}

/// Starts a group that asks for one replica, with three voters.
fn start() -> FleetState {
    let mut state = FleetState::default();
    submit(&mut state, 1, 1);
    assert_eq!(record(&mut state, 0, ViewNumber(0)), CommandOutcome::Done);
    found(&mut state);
    for number in 0..3 {
        list(&mut state, number, 1);
        catch_up(&mut state, number, 1);
    }
    assert_eq!(known(&state).0, 2, "no commit was acknowledged before");
    state
}

#[test]
fn a_group_that_an_earlier_version_ran_has_no_known_number() {
    let mut state = FleetState::default();
    submit(&mut state, 1, 1);
    found(&mut state);
    assert_eq!(state.guaranteed_copies(&group()), None);
    let before = state.view().number;
    record(&mut state, 0, ViewNumber(0));
    assert_eq!(known(&state).0, 0);
    assert!(known(&state).1 > before, "instances confirm a new view");
}

#[test]
fn a_document_that_asks_for_more_replicas_does_not_raise_the_number() {
    let mut state = start();
    submit(&mut state, 2, 2);
    let (copies, since) = known(&state);
    assert_eq!(copies, 2);
    assert_eq!(record(&mut state, 3, since), CommandOutcome::Done);
    assert_eq!(known(&state), (3, since));
}

#[test]
fn a_document_that_asks_for_fewer_replicas_lowers_the_number() {
    let mut state = start();
    submit(&mut state, 2, 2);
    let (_, since) = known(&state);
    record(&mut state, 3, since);
    submit(&mut state, 3, 1);
    assert_eq!(known(&state).0, 2);
}

#[test]
fn a_raise_that_was_decided_before_fewer_copies_were_asked_for_is_refused() {
    let mut state = start();
    submit(&mut state, 2, 2);
    let (_, since) = known(&state);
    submit(&mut state, 3, 1);
    submit(&mut state, 4, 2);
    assert_eq!(record(&mut state, 3, since), SUPERSEDED);
    assert_eq!(known(&state).0, 2);
}

#[test]
fn a_removed_database_lowers_the_number_and_invalidates_raises() {
    let mut state = start();
    let (_, since) = known(&state);
    for number in 1..3 {
        let name = format!("copy-{number}").parse().unwrap();
        apply(&mut state, &FleetCommand::DropUpstream(name));
    }
    assert_eq!(known(&state).0, 1);
    assert_eq!(record(&mut state, 2, since), SUPERSEDED);
}

#[test]
fn a_learner_that_is_removed_changes_nothing() {
    let mut state = start();
    list(&mut state, 3, 1);
    assert_eq!(state.voter_count(&group()), 3, "it has not caught up");
    let before = known(&state);
    let name = "copy-3".parse().unwrap();
    apply(&mut state, &FleetCommand::DropUpstream(name));
    assert_eq!(known(&state), before);
}

/// Guards against instances that count a process that has lost the log of the one before.
#[test]
fn a_restarted_voter_counts_for_elections_but_not_for_commits_until_it_has_caught_up() {
    let mut state = start();
    list(&mut state, 2, 5);
    let name: UpstreamId = "copy-2".parse().unwrap();
    assert!(!state.view().upstreams[&name].voter);
    assert_eq!(
        state.voter_count(&group()),
        3,
        "its former process was counted"
    );
    let restored = FleetState::decode(&state.encode()).expect("a snapshot");
    assert_eq!(restored.view().upstreams, state.view().upstreams);
    catch_up(&mut state, 2, 5);
    assert!(state.view().upstreams[&name].voter);
    let restored = FleetState::decode(&state.encode()).expect("a snapshot");
    assert_eq!(restored.view().upstreams, state.view().upstreams);
}

fn voter_command(number: u16, born_ms: u64) -> VoterCommand {
    VoterCommand {
        upstream: format!("copy-{number}").parse().unwrap(),
        born_ms,
    }
}

fn suspend(state: &mut FleetState, number: u16) -> CommandOutcome {
    let command = voter_command(number, 1);
    apply(state, &FleetCommand::SuspendVoter(command))
}

fn demote(state: &mut FleetState, number: u16) -> CommandOutcome {
    let command = voter_command(number, 1);
    apply(state, &FleetCommand::DemoteVoter(command))
}

#[test]
fn a_suspended_voter_counts_for_elections_but_not_for_commits() {
    let mut state = start();
    assert_eq!(suspend(&mut state, 2), CommandOutcome::Done);
    let name: UpstreamId = "copy-2".parse().unwrap();
    assert!(!state.view().upstreams[&name].voter);
    assert!(state.has_caught_up(&name), "its log has what it confirmed");
    assert_eq!(state.voter_count(&group()), 3);
    let restored = FleetState::decode(&state.encode()).expect("a snapshot");
    assert_eq!(restored.view().upstreams, state.view().upstreams);
    list(&mut state, 2, 1);
    assert!(!state.view().upstreams[&name].voter, "until it catches up");
}

#[test]
fn a_voter_is_only_demoted_while_no_instance_counts_it() {
    let mut state = start();
    assert_eq!(demote(&mut state, 2), SUPERSEDED);
    suspend(&mut state, 2);
    catch_up(&mut state, 2, 1);
    assert_eq!(demote(&mut state, 2), SUPERSEDED);
    suspend(&mut state, 2);
    let (_, since) = known(&state);
    assert_eq!(demote(&mut state, 2), CommandOutcome::Done);
    assert_eq!(state.voter_count(&group()), 2);
    assert_eq!(record(&mut state, 3, since), SUPERSEDED);
}
