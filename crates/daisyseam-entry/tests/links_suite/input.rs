//! Tests of invalid input to the daemon: announcements and settings.

use crate::support::{
    FakeControl,
    LOOPBACK,
    ViewParts,
    start_daemon, //
};
use daisyseam_entry::{
    EntryArguments,
    EntryDaemon,
    EntrySettings,
    StartError, //
};
use daisyseam_runtime::SettingReader;
use proptest::prelude::*;
use std::{
    collections::BTreeMap,
    time::Duration, //
};
use test_case::test_case;

const VALID_ANNOUNCEMENT: &str = r#"{"cluster":"shellrest","upstream":"one","group":"bookings-db",
"data_centre":"khomas-1","address":"127.0.0.1:5432","admin_address":"127.0.0.1:8008",
"state":{"promised":1,"end":{"term":1,"position":7},"role":"primary"},"leaving":false}"#;

async fn announce(text: String) -> (u16, String) {
    let control = FakeControl::start(ViewParts::new().0).await;
    let daemon = start_daemon("entry-1", control.address).await;
    let url = format!("http://{}/announce", daemon.http_address());
    let client = reqwest::Client::new();
    let response = client.post(url).body(text).send().await.expect("an answer");
    let status = response.status().as_u16();
    (status, response.text().await.expect("a response body"))
}

#[test_case(VALID_ANNOUNCEMENT, 200, "next_ms"; "valid")]
#[test_case("{", 400, "cannot be read"; "truncated")]
#[test_case("\u{0}\u{1}\u{2}", 400, "cannot be read"; "not text")]
#[test_case(&VALID_ANNOUNCEMENT.replace("shellrest", "brandvold"), 403, "cluster `shellrest`"; "another cluster")]
#[test_case(&VALID_ANNOUNCEMENT.replace("\"one\"", "\"One!\""), 400, "not a name"; "invalid name")]
#[test_case(&VALID_ANNOUNCEMENT.replace("127.0.0.1:5432", "db.example:5432"), 400, "socket address"; "host name instead of an address")]
#[test_case(&format!("{VALID_ANNOUNCEMENT}{}", " ".repeat(64 << 10)), 413, ""; "too large")]
#[tokio::test]
async fn an_announcement_gets_a_specific_answer(text: &str, status: u16, words: &str) {
    let (answered, body) = announce(text.to_owned()).await;
    assert_eq!(answered, status, "{body}");
    assert!(body.contains(words), "{body}");
}

#[tokio::test]
async fn an_announcement_reaches_control_with_the_next_heartbeat() {
    let control = FakeControl::start(ViewParts::new().0).await;
    let daemon = start_daemon("entry-1", control.address).await;
    let url = format!("http://{}/announce", daemon.http_address());
    let client = reqwest::Client::new();
    let sent = client.post(url).body(VALID_ANNOUNCEMENT).send().await;
    assert!(sent.expect("an answer").status().is_success());
    let heard = control.wait_for_heartbeat(|heartbeat| !heartbeat.upstreams.is_empty());
    let report = heard.await.upstreams[0].clone();
    assert_eq!((report.upstream.as_str(), report.position), ("one", 7));
    assert!(report.primary);
}

#[tokio::test]
async fn a_port_in_use_is_reported() {
    let control = FakeControl::start(ViewParts::new().0).await;
    let first = start_daemon("entry-1", control.address).await;
    let settings = EntrySettings {
        caller_listen: first.caller_address(),
        ..settings(&[]).expect("valid settings")
    };
    let refused = EntryDaemon::start(settings).await.err();
    let address = first.caller_address();
    assert!(matches!(refused, Some(StartError::Listen(at, _)) if at == address));
}

#[tokio::test]
async fn a_stop_without_control_completes() {
    let daemon = start_daemon("entry-1", LOOPBACK).await;
    assert!(daemon.stop(Duration::from_secs(5)).await);
}

fn settings(changes: &[(&str, &str)]) -> Result<EntrySettings, Vec<String>> {
    let mut variables: BTreeMap<String, String> = [
        ("DAISYSEAM_CLUSTER", "shellrest"),
        ("DAISYSEAM_INSTANCE", "entry-2"),
        ("DAISYSEAM_DATA_CENTRE", "khomas-1"),
        ("DAISYSEAM_CONTROL", "127.0.0.1:1, 127.0.0.1:2"),
        ("DAISYSEAM_PEER_LISTEN", "127.0.0.1:0"),
        ("DAISYSEAM_HTTP_LISTEN", "127.0.0.1:0"),
    ]
    .into_iter()
    .map(|(name, value)| (name.to_owned(), value.to_owned()))
    .collect();
    for (name, value) in changes {
        variables.insert((*name).to_owned(), (*value).to_owned());
    }
    let reader = SettingReader::new(variables);
    EntrySettings::from_arguments(EntryArguments::default(), reader)
        .map_err(|problems| problems.iter().map(ToString::to_string).collect())
}

#[test]
fn settings_come_from_variables_and_a_flag_takes_precedence() {
    let read = settings(&[]).expect("valid settings");
    assert_eq!(read.instance.as_str(), "entry-2");
    assert_eq!(read.control.len(), 2);
    let arguments = EntryArguments {
        instance: Some("entry-9".to_owned()),
        ..EntryArguments::default()
    };
    let variables = [("DAISYSEAM_INSTANCE".to_owned(), "entry-2".to_owned())];
    let mut reader = SettingReader::new(variables.into());
    EntrySettings::read(arguments, &mut reader);
    let problems = reader.finish(Some(())).expect_err("most is missing");
    let named = |flag: &str| problems.iter().any(|problem| problem.name.contains(flag));
    assert!(!named("--instance"));
    assert!(named("--cluster") && named("--control") && named("--peer-advertise"));
}

#[test]
fn every_problem_of_the_settings_is_listed() {
    let problems = settings(&[
        ("DAISYSEAM_CLUSTER", "No Name"),
        ("DAISYSEAM_CONTROL", "nowhere"),
        ("DAISYSEAM_SOURCE", "1.2.3"),
        ("DAISYSEAM_CALLER_LISTEN", "6432"),
    ])
    .expect_err("there are problems");
    for flag in ["--cluster", "--control", "--source", "--caller-listen"] {
        let named = problems.iter().any(|problem| problem.starts_with(flag));
        assert!(named, "{flag} is not in {problems:?}");
    }
}

proptest! {
    #[test]
    fn settings_of_any_text_are_read_or_refused(
        name in prop::sample::select(vec![
            "DAISYSEAM_CLUSTER",
            "DAISYSEAM_CONTROL",
            "DAISYSEAM_PEER_LISTEN",
            "DAISYSEAM_SOURCE",
            "DAISYSEAM_METRICS",
        ]),
        value in ".{0,80}",
    ) {
        if let Err(problems) = settings(&[(name, &value)]) {
            let flag = name.trim_start_matches("DAISYSEAM_").replace('_', "-").to_lowercase();
            let prefix = format!("--{flag}");
            // A valid but unspecified listen address requires an address to advertise.
            let sound = value.parse::<std::net::SocketAddr>().is_ok();
            let fits = |problem: &String| {
                problem.starts_with(&prefix) || sound && problem.starts_with("--peer-advertise")
            };
            prop_assert!(problems.iter().all(fits), "{problems:?}");
        }
    }
}
