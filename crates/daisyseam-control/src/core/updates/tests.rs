//! Updates of the view are shared by all entries that hold the same earlier view.

use super::ViewUpdates;
use daisyseam_coord::fleet::{
    EvacuateCommand,
    FleetCommand,
    FleetState,
    JoinCommand,
    SubmitNewestCommand, //
};
use daisyseam_model::{
    DocumentNumber,
    FleetView,
    ViewNumber, //
};

/// A state with a document and this many entries.
fn fleet(entries: usize) -> FleetState {
    let mut state = FleetState::default();
    submit(&mut state, 1);
    for number in 0..entries {
        state.apply(&FleetCommand::Join(JoinCommand {
            instance: format!("entry-{number}").parse().unwrap(),
            data_centre: "khomas-1".parse().unwrap(),
            peer_address: "127.0.0.1:7000".parse().unwrap(),
        }));
    }
    state
}

fn submit(state: &mut FleetState, number: u64) {
    state.apply(&FleetCommand::SubmitNewest(SubmitNewestCommand {
        number: DocumentNumber(number),
        text: format!(
            r#"number = {number}
cluster = "shellrest"
region = [{{ name = "khomas" }}]
data_centre = [{{ name = "khomas-1", region = "khomas" }}]
group = [{{ name = "bookings-db", databases = 3, slots = 5 }}]
service = [{{ name = "bookings", group = "bookings-db" }}]
"#
        ),
        source: String::new(),
        operator: String::new(),
        accepted_unix_ms: 0,
    }));
}

/// Guards against a leader whose work for one change of the view grows with the number of entries.
#[test]
fn an_update_is_computed_once_for_all_entries_with_the_same_view() {
    let mut state = fleet(3);
    let held = state.view().number;
    submit(&mut state, 2);
    let mut updates = ViewUpdates::default();
    for held in [held, ViewNumber(0)] {
        let first = updates.get(&state, held).unwrap();
        let second = updates.get(&state, held).unwrap();
        assert_eq!(
            first.bytes().as_ptr(),
            second.bytes().as_ptr(),
            "from view {held:?}"
        );
    }
    assert!(updates.get(&state, state.view().number).is_none());
}

#[test]
fn each_update_leads_from_its_view_to_the_newest() {
    let mut state = FleetState::default();
    let mut updates = ViewUpdates::default();
    let mut held: Vec<(FleetView, String)> = vec![(FleetView::default(), String::new())];
    for step in 1..=12 {
        match step % 3 {
            0 => submit(&mut state, step),
            1 => {
                state.apply(&FleetCommand::Join(JoinCommand {
                    instance: format!("entry-{step}").parse().unwrap(),
                    data_centre: "khomas-1".parse().unwrap(),
                    peer_address: "127.0.0.1:7000".parse().unwrap(),
                }));
            }
            _ => {
                state.apply(&FleetCommand::Evacuate(EvacuateCommand {
                    data_centre: "khomas-1".parse().unwrap(),
                    out: step % 2 == 0,
                }));
            }
        }
        let newest = state.view();
        let mut reached = Vec::new();
        for (view, text) in held.iter().filter(|(view, _)| view.number != newest.number) {
            let update = updates.get(&state, view.number).unwrap();
            let update = update.decoded().unwrap();
            let (next, text) = update.apply(view, text).unwrap();
            assert_eq!(next, **newest, "from view {:?}", view.number);
            reached.push((next, text));
        }
        held.extend(reached.pop());
    }
    assert!(held.len() > 8);
}
